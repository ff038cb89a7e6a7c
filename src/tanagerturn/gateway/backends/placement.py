"""Chooses the backend server of one request from the state of the fleet; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.backends.speed_placement import choose_by_speed
from tanagerturn.gateway.fleet import service_of
from tanagerturn.serving.routing.prompt_parts import (
    PER_QUEUED_REQUEST_MS,
    PREFILL_TOKENS_PER_MS,
    CandidateEngine,
    Placement,
    place_prompt,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from tanagerturn.gateway.fleet import Fleet
    from tanagerturn.gateway.messages import Prompt
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId

CROSS_ZONE_LOAD: Final = 0.1
"""Load, as a fraction of the slots, added to backend servers in another availability
zone than the gateway's."""

MAX_REQUESTS_PER_SLOT: Final = 1.5
"""Requests per slot from which a backend server of a plain service counts as full. The
value is above 1 because a backend server queues a few requests, and its known load is
some tenths of a second old."""


@dataclass(frozen=True)
class Choice:
    """The backend server to which a request would be sent now."""

    backend: Backend
    """The best backend server."""
    is_full: bool
    """Even the best backend server has no free capacity, so the request should wait."""
    first_event_s: float = 0.0
    """Expected time to the first event of a generation in seconds; 0 for plain
    requests."""
    prompt_read_s: float = 0.0
    """Part of `first_event_s` in which the engine reads this prompt, in seconds; 0 for
    plain requests."""
    pace: float = 1.0
    """Ratio of observed to expected times to the first event at this engine."""
    time_factor: float = 1.0
    """Factor of the speed of this backend server, which the expected times include; 1
    for services whose backend servers report no speed."""
    backlog_s: float = 0.0
    """Part of `first_event_s` in which the request waits for other prompts and for a
    slot, in seconds; 0 for plain requests."""
    nothing_waits: bool = False
    """The engine has a free slot and, as far as is known, no other prompt to read."""


def choose(
    fleet: Fleet,
    service: str,
    prompt: Prompt | None,
    excluded: Collection[BackendId],
    zone: str,
    now_s: float,
    random: Random | None = None,
) -> Choice | None:
    """Choose the backend server of a request.

    Args:
        fleet: State of the backend servers.
        service: Service of the request.
        prompt: Prompt of a generation; None for plain requests.
        excluded: Ids of backend servers that must not get the request.
        zone: Availability zone of this gateway.
        now_s: Current boot-clock time in seconds.
        random: Source of randomness, by which gateways with the same knowledge choose
            differently; None to choose the best one. Only services whose backend
            servers report their speed use it.

    Returns:
        The best backend server; None if none may get the request.
    """
    backends: Sequence[Backend] = fleet.candidates(service, excluded, now_s)
    if not backends:
        return None
    with_room = fleet.with_room(backends, now_s)
    if not with_room:
        return Choice(backends[0], is_full=True)
    backends = with_room
    speeds = fleet.speeds.active(service)
    if speeds is not None:
        chosen = choose_by_speed(
            fleet, speeds, service, backends, prompt, zone, random, now_s
        )
        return Choice(*chosen)
    if prompt is None:
        return _least_loaded(fleet, backends, zone, now_s)
    return _choose_engine(fleet, backends, prompt, zone, now_s)


def _least_loaded(
    fleet: Fleet, backends: Sequence[Backend], zone: str, now_s: float
) -> Choice:
    def load(backend: Backend) -> float:
        running = fleet.state(backend.id).total_work(now_s).running
        zone_load = CROSS_ZONE_LOAD if backend.zone != zone else 0.0
        return running / max(1, backend.slots) + zone_load

    best = min(backends, key=lambda backend: (load(backend), backend.id))
    running = fleet.state(best.id).total_work(now_s).running
    return Choice(best, running >= MAX_REQUESTS_PER_SLOT * best.slots)


def _choose_engine(
    fleet: Fleet, backends: Sequence[Backend], prompt: Prompt, zone: str, now_s: float
) -> Choice:
    views = [_engine_view(fleet, backend, prompt, zone, now_s) for backend in backends]
    shared_parts = prompt.parts[:-1]
    output = prompt.expected_output_tokens or prompt.max_output_tokens
    last_shared_id = shared_parts[-1].id if shared_parts else ""
    chosen = place_prompt(views, prompt.prompt_tokens, output, last_shared_id)
    view = next(view for view in views if view.id == chosen.id)
    backend = next(backend for backend in backends if backend.id == chosen.id)
    return _choice_of(backend, view, chosen, prompt.prompt_tokens + output)


def choice_at(
    fleet: Fleet, backend: Backend, prompt: Prompt | None, zone: str, now_s: float
) -> Choice:
    """Return the choice if a backend server were the only one; see `choose`."""
    service = service_of(backend)
    speeds = fleet.speeds.active(service)
    if speeds is not None:
        only = [backend]
        return Choice(
            *choose_by_speed(fleet, speeds, service, only, prompt, zone, None, now_s)
        )
    if prompt is None:
        return _least_loaded(fleet, [backend], zone, now_s)
    view = _engine_view(fleet, backend, prompt, zone, now_s)
    output = prompt.expected_output_tokens or prompt.max_output_tokens
    chosen = place_prompt([view], prompt.prompt_tokens, output, "")
    return _choice_of(backend, view, chosen, prompt.prompt_tokens + output)


def _choice_of(
    backend: Backend, view: CandidateEngine, chosen: Placement, needed_tokens: int
) -> Choice:
    lacks_kv_capacity = (
        view.running > 0 and view.kv_tokens + needed_tokens > view.kv_capacity_tokens
    )
    is_full = view.running >= view.slots or lacks_kv_capacity
    first_event_s, prompt_read_s = (
        chosen.first_event_ms / 1000,
        chosen.prefill_ms / 1000,
    )
    waiting_ms = view.prompt_tokens / PREFILL_TOKENS_PER_MS
    waiting_ms += PER_QUEUED_REQUEST_MS * max(0, view.running + 1 - view.slots)
    backlog_s = min(first_event_s - prompt_read_s, waiting_ms * view.pace / 1000)
    return Choice(
        backend,
        is_full,
        first_event_s,
        prompt_read_s,
        view.pace,
        backlog_s=backlog_s,
        nothing_waits=not view.prompt_tokens and not is_full,
    )


def _engine_view(
    fleet: Fleet, backend: Backend, prompt: Prompt, zone: str, now_s: float
) -> CandidateEngine:
    state = fleet.state(backend.id)
    work = state.total_work(now_s)
    return CandidateEngine(
        id=backend.id,
        is_near=backend.zone == zone,
        slots=backend.slots,
        running=work.running,
        prompt_tokens=work.prompt_tokens,
        kv_tokens=work.kv_tokens,
        kv_capacity_tokens=fleet.kv_capacity_of(backend),
        cached_tokens=state.cached_tokens(prompt.parts),
        warmup_left_ms=backend.announcement.warmup_left_ms,
        pace=state.pace.time_factor(now_s),
    )
