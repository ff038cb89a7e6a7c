"""Decides as a request is written whether its backend server may still get it.

A choice is kept while a limit is asked for, a connection opens or a KV cache is copied,
and what was known of the backend server may have changed meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.fleet import start_of

if TYPE_CHECKING:
    from tanagerturn.gateway.request_run import RequestRun
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.backend import Backend

CONTINUATION_MARGIN_S: Final = 0.5
"""Time in seconds before the bound for draining from which no request is continued at
a leaving engine: this gateway may have learned of the departure after its
acknowledgment, and the request is still on its way."""


@dataclass(frozen=True)
class Obstacle:
    """Why a backend server may not get a request now."""

    cause: str
    """What happened, for logs and responses."""
    is_lasting: bool
    """Whether it also holds at any later time within which the request is of use."""


def find_obstacle(
    state: GatewayState,
    run: RequestRun,
    backend: Backend,
    now_s: float,
    *,
    continues: bool,
) -> Obstacle | None:
    """Return why a chosen backend server may no longer get a request; None if it may.

    Args:
        state: State of the gateway.
        run: The request.
        backend: The backend server as it was chosen.
        now_s: Current boot-clock time in seconds.
        continues: The request goes on there from a copy of its KV cache, which no
            other backend server has.
    """
    until_s = _departure_end_s(state, backend, now_s, continues=continues)
    if until_s is not None and now_s >= until_s:
        return Obstacle("left", is_lasting=True)
    paused_until_s = state.backend_limits.paused_until_s.get(backend.id, now_s)
    if now_s < paused_until_s:
        is_lasting = until_s is not None and paused_until_s >= until_s
        return Obstacle("asked for a pause", is_lasting)
    if not state.may_send(run, backend, now_s):
        return Obstacle("was withdrawn from the request by a rollout", is_lasting=False)
    return None


def _departure_end_s(
    state: GatewayState, backend: Backend, now_s: float, *, continues: bool
) -> float | None:
    """Return when a leaving backend server gets no request any more.

    Args:
        state: State of the gateway.
        backend: The backend server as it was chosen; what is known of its start counts.
        now_s: Current boot-clock time in seconds.
        continues: The request goes on there from a copy of its KV cache.

    Returns:
        Boot-clock time in seconds; None if it does not leave.
    """
    departure = state.fleet.departures.by_start.get(start_of(backend))
    if departure is None and not state.fleet.view.is_leaving(backend):
        return None
    if not continues:
        return now_s
    if departure is not None:
        bound_s = departure.learned_s + state.settings.drain_s
    elif backend.stops_at_ms is not None:
        bound_s = backend.stops_at_ms / 1000
    else:
        return now_s
    return bound_s - CONTINUATION_MARGIN_S
