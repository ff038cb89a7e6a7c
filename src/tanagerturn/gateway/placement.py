"""Chooses the backend server of one request from what the fleet knows; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.routing.parts import EngineView, place

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from tanagerturn.gateway.fleet import Fleet
    from tanagerturn.gateway.messages import Prompt
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId

OTHER_ZONE_LOAD: Final = 0.1
"""Load, as a part of the slots, that another availability zone counts for."""

OVER_SLOTS: Final = 1.5
"""Requests per slot up to which a plain service's backend server is sent more; it
queues a few, and the load that is known is some tenths of a second old."""


@dataclass(frozen=True)
class Choice:
    """Where a request would go now."""

    backend: Backend
    """The best backend server."""
    is_full: bool
    """It has no place: the request should wait."""
    first_event_s: float = 0.0
    """Expected time to the first event of a generation."""
    own_s: float = 0.0
    """Part of it in which the engine reads the prompt."""
    pace: float = 1.0
    """Observed over expected time to first events there."""


def choose(
    fleet: Fleet,
    service: str,
    prompt: Prompt | None,
    excluded: Collection[BackendId],
    zone: str,
    now_s: float,
) -> Choice | None:
    """Choose the backend server of a request.

    Args:
        fleet: What is known of backend servers.
        service: Service of the request.
        prompt: Prompt of a generation; None for plain requests.
        excluded: Backend servers that must not get it.
        zone: Availability zone of this gateway.
        now_s: Present time.

    Returns:
        The best one; None when there is none.
    """
    backends = fleet.candidates(service, excluded, now_s)
    if not backends:
        return None
    if prompt is None:
        return _least_loaded(fleet, backends, zone, now_s)
    return _for_prompt(fleet, backends, prompt, zone, now_s)


def _least_loaded(
    fleet: Fleet, backends: Sequence[Backend], zone: str, now_s: float
) -> Choice:
    def load(backend: Backend) -> float:
        running = fleet.state(backend.id).work(now_s).running
        away = OTHER_ZONE_LOAD if backend.zone != zone else 0.0
        return running / max(1, backend.slots) + away

    best = min(backends, key=lambda backend: (load(backend), backend.id))
    running = fleet.state(best.id).work(now_s).running
    return Choice(best, running >= OVER_SLOTS * best.slots)


def _for_prompt(
    fleet: Fleet, backends: Sequence[Backend], prompt: Prompt, zone: str, now_s: float
) -> Choice:
    views = [_view(fleet, backend, prompt, zone, now_s) for backend in backends]
    shared = prompt.parts[:-1]
    output = prompt.expected_output_tokens or prompt.most_output_tokens
    subject = shared[-1].id if shared else ""
    chosen = place(views, prompt.prompt_tokens, output, subject)
    view = next(view for view in views if view.id == chosen.id)
    backend = next(backend for backend in backends if backend.id == chosen.id)
    need = prompt.prompt_tokens + output
    no_room = view.running > 0 and view.kv_tokens + need > view.room_tokens
    is_full = view.running >= view.slots or no_room
    first_event_s, own_s = chosen.first_event_ms / 1000, chosen.own_ms / 1000
    return Choice(backend, is_full, first_event_s, own_s, view.pace)


def _view(
    fleet: Fleet, backend: Backend, prompt: Prompt, zone: str, now_s: float
) -> EngineView:
    state = fleet.state(backend.id)
    work = state.work(now_s)
    return EngineView(
        id=backend.id,
        is_near=backend.zone == zone,
        slots=backend.slots,
        running=work.running,
        prompt_tokens=work.prompt_tokens,
        kv_tokens=work.kv_tokens,
        room_tokens=fleet.room_tokens(backend),
        cached_tokens=state.cached_tokens(prompt.parts),
        warmup_left_ms=backend.announcement.warmup_left_ms,
        pace=state.pace.value(now_s),
    )
