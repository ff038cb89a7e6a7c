"""Decides which requests a gateway that was told to stop still sends on; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.request_run import Refusal

if TYPE_CHECKING:
    from tanagerturn.gateway.callers.service_times import ServiceTimes
    from tanagerturn.gateway.request_run import RequestRun

STOPPING_RETRY_S: Final = 0.4
"""Time in seconds after which the caller of a refused request may retry: the load
balancer may still choose this gateway, whose listener closes after some seconds."""


@dataclass(frozen=True)
class Shutdown:
    """Boot-clock times in seconds of a planned stop of the process."""

    listens_until_s: float
    """Time until which the listener for callers is open, since the load balancer may
    still choose this gateway."""
    end_s: float
    """Time by which the last response has to be complete."""


def reject_if_unfinishable(
    run: RequestRun, times: ServiceTimes, shutdown: Shutdown | None, now_s: float
) -> None:
    """Refuse to send a request on whose response would not be complete in time.

    Of a stream that may be resumed elsewhere, only the first event has to come in time;
    but one that arrives on an open connection after the listener has closed could have
    been sent elsewhere, so it must not be cut.

    Args:
        run: The request, which has no attempt in progress.
        times: How long requests lately took.
        shutdown: Times of the planned stop; None if the process was not told to stop.
        now_s: Current boot-clock time in seconds.

    Raises:
        Refusal: The response would most probably come too late.
    """
    if shutdown is None:
        return
    if run.is_resumable and run.exchange.arrived_s <= shutdown.listens_until_s:
        longest_s: float | None = run.route.latency_objective_s
    else:
        longest_s = times.longest_s(run.route.name, now_s)
    time_left_s = run.time_left_s(now_s)
    needed_s = time_left_s if longest_s is None else min(longest_s, time_left_s)
    if now_s + needed_s > shutdown.end_s:
        raise refusal_of_stopping(run)


def refusal_of_stopping(run: RequestRun | None) -> Refusal:
    """Return the response to a request that the stopping process can't serve.

    Args:
        run: The request; None if it was not admitted yet.
    """
    if run is not None and (run.is_in_flight or run.may_have_run):
        return Refusal(502, "the gateway stops before the response; it may have run")
    return Refusal(503, "the gateway stops", STOPPING_RETRY_S)
