"""One request on its way through a gateway, and what its route allows."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.configuration import RequestKind

if TYPE_CHECKING:
    import asyncio

    from tanagerturn.gateway.attempt import AnswerHead
    from tanagerturn.gateway.configuration import Account, Route, ServiceName
    from tanagerturn.gateway.events import StreamProgress
    from tanagerturn.gateway.messages import InboundRequest, KvCopy
    from tanagerturn.gateway.server import Exchange
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId

SILENCE_LEAST_S: Final = 0.25
"""Silence of a backend server after which a repeatable request goes elsewhere, at
least; two engine steps and a round trip are far shorter."""

SILENCE_OBJECTIVES: Final = 3.0
"""The same silence as a multiple of the route's objective."""

PAUSE_LEAST_S: Final = 1.0
"""Silence within a stream after which it may go on elsewhere, at least."""

RETURNED_SHARE: Final = 0.95
"""A caller with less patience than this part of its route's time was here before:
callers are given that time for all their attempts together."""

MOVE_BEFORE_S: Final = 1.1
"""Time before an engine's end at which its streams are moved: short ones have
ended by then, and a move takes some tens of milliseconds."""

LAST_ENGINE_PRIORITY: Final = 9
"""Least urgent rank that engines know."""


class Refusal(Exception):
    """A request that a gateway answers itself.

    Args:
        status: HTTP status.
        cause: Why, as logged.
        retry_after_s: Time to come back after; None when it must not come back.
    """

    def __init__(
        self, status: int, cause: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(cause)
        self.status = status
        """HTTP status."""
        self.cause = cause
        """Why, as logged."""
        self.retry_after_s = retry_after_s
        """Time to come back after."""


class GoneSilent(Exception):
    """A backend server sent nothing for too long."""


@dataclass(eq=False)
class Run:
    """One request on its way."""

    request: InboundRequest
    """Its head."""
    exchange: Exchange
    """Its connection."""
    route: Route
    """Route that it takes."""
    service: ServiceName
    """Service that gets it."""
    account: Account | None
    """Client account; None on anonymous routes."""
    deadline_s: float
    """Boot clock at which nobody waits for it any more."""
    progress: StreamProgress
    """Events that the caller has."""
    tried: set[BackendId] = field(default_factory=set)
    """Backend servers that it was sent to or that could not be reached."""
    sent: int = 0
    """Backend servers that it was sent to."""
    unreached: int = 0
    """Backend servers that could not be reached."""
    may_have_run: bool = False
    """A backend server may have begun to run it."""
    has_begun: bool = False
    """Its begin was counted for usage."""
    cause: str = ""
    """What the last failure was."""
    backend: Backend | None = None
    """Backend server that has it now."""
    moving: asyncio.Task[Moved | None] | None = None
    """Move to another engine that is under way."""
    failure: tuple[AnswerHead, bytes] | None = None
    """A backend server's own failure, to be passed on when nothing better comes."""
    expected_s: float = 0.0
    """Expected time to the first event when it was sent last."""
    pace: float = 1.0
    """Observed over expected time to first events there, part of `expected_s`."""
    first_event_s: float = 0.0
    """Time to the first event that was passed on."""
    charged_units: float = 0.0
    """Units that its client account was charged."""
    held_s: float = 0.0
    """Time from its arrival to its first sending."""
    passed_on_s: float = 0.0
    """Longest time from bytes of a backend server to their sending to the caller."""
    last_event_s: float = 0.0
    """Boot clock when the last events were passed on."""
    longest_pause_s: float = 0.0
    """Longest time between events that were passed on."""

    @property
    def resumable(self) -> bool:
        """Whether it may go on at another backend server."""
        return self.route.kind is RequestKind.STREAM and self.route.resumable

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route.kind is RequestKind.IDEMPOTENT or self.resumable

    def time_left_s(self, now_s: float) -> float:
        """Return the time until nobody waits for it."""
        return self.deadline_s - now_s


@dataclass(frozen=True)
class Moved:
    """A run that goes on at another engine, from a copy of its memory."""

    backend: Backend
    """Engine that holds the copy."""
    kv_copy: KvCopy
    """The copy."""


def has_to_move(run: Run, now_s: float) -> bool:
    """Tell whether a stream would be cut by the end of its engine."""
    backend = run.backend
    if backend is None or not backend.leaving or not run.progress.count:
        return False
    if run.request.prompt is None or backend.gone_at_ms is None:
        return False
    return now_s >= backend.gone_at_ms / 1000 - MOVE_BEFORE_S


def waited_before_s(request: InboundRequest, route: Route) -> float:
    """Return the time since a caller's first attempt, 0 at its first."""
    patience_s = request.patience_s
    if patience_s is None or patience_s >= RETURNED_SHARE * route.timeout_s:
        return 0.0
    return route.timeout_s - patience_s


def silence_s(run: Run) -> float:
    """Return the silence before a first event after which a run goes elsewhere."""
    return max(SILENCE_LEAST_S, SILENCE_OBJECTIVES * run.route.objective_s)


def pause_s(run: Run) -> float:
    """Return the silence within a stream after which a run goes elsewhere."""
    return max(PAUSE_LEAST_S, SILENCE_OBJECTIVES * run.route.pause_objective_s)


def engine_priority(run: Run) -> int | None:
    """Return the rank for an engine; None for plain services."""
    if run.request.prompt is None:
        return None
    return min(LAST_ENGINE_PRIORITY, max(0, rank_of(run)))


def rank_of(run: Run) -> int:
    """Return the rank of a request; a client account's goes before its route's."""
    if run.account is not None and run.account.priority is not None:
        return run.account.priority
    return run.route.priority
