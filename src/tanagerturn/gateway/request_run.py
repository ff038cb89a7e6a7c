"""A request in progress at a gateway, and the time limits that its route sets."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.configuration import RequestKind
from tanagerturn.gateway.fingerprints import fingerprint_of
from tanagerturn.serving.streams.endings import MoveState

if TYPE_CHECKING:
    import asyncio

    from tanagerturn.gateway.backends.exchange import ResponseHead
    from tanagerturn.gateway.backends.forwarded import ForwardedCall
    from tanagerturn.gateway.callers.exchange import Exchange
    from tanagerturn.gateway.configuration import Account, Route, ServiceName
    from tanagerturn.gateway.event_stream import StreamProgress
    from tanagerturn.gateway.messages import InboundRequest, KvCopy
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId
    from tanagerturn.serving.quarantine.evidence import Fingerprint
    from tanagerturn.serving.rollouts.messages import Side
    from tanagerturn.serving.streams.endings import Framing
    from tanagerturn.serving.streams.origins import StreamOrigin

MIN_FIRST_EVENT_TIMEOUT_S: Final = 0.25
"""Minimum time in seconds without a response from a backend server after which a
repeatable request is sent to another one; two engine steps and a round trip take far
less."""

TIMEOUT_PER_OBJECTIVE: Final = 3.0
"""Timeouts for the first event and for a pause within a stream, as a multiple of the
route's latency and pause objectives."""

MIN_PAUSE_TIMEOUT_S: Final = 2.0
"""Minimum time in seconds without data within a stream after which the stream is
resumed at another backend server, if its route allows it; a sound one may be silent for
more than a second."""

REPEATED_ATTEMPT_FRACTION: Final = 0.95
"""A request whose deadline is shorter than this fraction of its route's timeout counts
as a repeated caller attempt: callers spread the route's timeout over all their
attempts."""

MIGRATION_LEAD_S: Final = 1.1
"""Time in seconds before an engine stops at which its streams are migrated: short
streams have finished by then, and a migration takes some tens of milliseconds."""

LEAST_URGENT_ENGINE_PRIORITY: Final = 9
"""Least urgent priority that engines accept; 0 is the most urgent."""


class Refusal(Exception):
    """Raised when the gateway itself responds to a request, with an error status.

    Args:
        status: HTTP status of the response.
        cause: Reason for the error, as logged.
        retry_after_s: Time in seconds after which the caller may retry; None if it must
            not retry.
        detail: Text for the caller; empty for none.
    """

    def __init__(
        self,
        status: int,
        cause: str,
        retry_after_s: float | None = None,
        detail: str = "",
    ) -> None:
        super().__init__(cause)
        self.status = status
        """HTTP status of the response."""
        self.cause = cause
        """Reason for the error, as logged."""
        self.retry_after_s = retry_after_s
        """Time in seconds after which the caller may retry; None if it must not
        retry."""
        self.detail = detail
        """Text for the caller; empty for none."""


class NoPath(Refusal):
    """Raised when this gateway does not reach the backend servers of a service."""


class BackendTimeout(Exception):
    """Raised when a backend server sent no data within the timeout."""


@dataclass(frozen=True)
class BackendFailure:
    """Complete response by which a backend server failed a request."""

    backend: Backend
    """Backend server that made the response."""
    head: ResponseHead
    """Head of the response."""
    body: bytes | bytearray
    """Body of the response."""


@dataclass(eq=False)
class RequestRun:
    """State of a caller's request from its admission until its response is complete."""

    request: InboundRequest
    """Decoded request head."""
    exchange: Exchange
    """Request and response on the caller's connection."""
    route: Route
    """Route that matched."""
    service: ServiceName
    """Service that the route selected."""
    account: Account | None
    """Client account; None on anonymous routes."""
    deadline_s: float
    """Boot-clock time in seconds after which the caller no longer waits."""
    progress: StreamProgress
    """Stream events that the caller has received."""
    tried_backend_ids: set[BackendId] = field(default_factory=set)
    """Ids of the backend servers with an attempt for this request, unreachable ones
    included."""
    sent_count: int = 0
    """Number of backend servers that the request was sent to."""
    rollout_side: Side | None = None
    """Versions at which it may run during a rollout; None before that was drawn."""
    rollout_number: int = 0
    """Number of the order for which `rollout_side` was drawn; 0 before."""
    tried_peers: set[str] = field(default_factory=set)
    """Hosts of the peer gateways that the request was forwarded to."""
    forwarded: ForwardedCall | None = None
    """What the peer gateway that forwarded the request states of it; None if the
    request came from its caller."""
    origin: StreamOrigin | None = None
    """Where the stream began, which may go on only at that software version; None
    before its first event."""
    unreachable_count: int = 0
    """Number of attempts that failed because the backend server was unreachable."""
    may_have_run: bool = False
    """Whether a backend server may have started to execute the request."""
    is_in_flight: bool = False
    """Whether the request was sent to a backend server or a peer gateway that has not
    answered it yet."""
    is_start_counted: bool = False
    """Whether the start of the request was counted for usage."""
    cause: str = ""
    """Why the last failed attempt failed; empty if none failed."""
    backend: Backend | None = None
    """Backend server of the current attempt; None between attempts."""
    is_trial: bool = False
    """Whether the request is let through although it, or its prompt, is
    quarantined."""
    is_withdrawn: bool = False
    """Whether the gateway closed the backend connection, since the request or a part of
    its prompt was quarantined meanwhile."""
    has_run_well: bool = False
    """Whether the current attempt has been found harmless to its engine."""
    writing_since_s: float = 0.0
    """Boot-clock time in seconds of the first data of the current attempt's response
    body; 0 before it."""
    migration_task: asyncio.Task[Migration | None] | None = None
    """Task that migrates the request to another engine; None if none was started."""
    move: MoveState = MoveState.NONE
    """State of the order that migrates the current attempt."""
    framing: Framing | None = None
    """How the current attempt's response is delimited; None before its head."""
    backend_failure: BackendFailure | None = None
    """Response of a backend server that failed the request, forwarded if no other
    attempt succeeds; None if there is none."""
    expected_s: float = 0.0
    """Expected time to the first event in seconds, estimated at the last attempt."""
    pace: float = 1.0
    """Ratio of observed to expected time to the first event at the backend server of
    the last attempt; `expected_s` includes it as a factor."""
    time_factor: float = 1.0
    """Factor of the speed of the backend server of the last attempt; `expected_s`
    includes it as well."""
    unqueued_s: float = 0.0
    """Part of `expected_s` in which the request does not wait for others."""
    work_s: float = 0.0
    """Engine time of the request in seconds; 0 unless its price is shared."""
    is_price_paid: bool = False
    """Whether the shared price of engine time has admitted the request."""
    price_reason: str = ""
    """Why the shared price refused the request; empty if it did not."""
    first_event_s: float = 0.0
    """Time in seconds from the arrival of the request to the first forwarded event; 0
    before that event."""
    charged_units: float = 0.0
    """Units charged to the client account."""
    held_s: float = 0.0
    """Time in seconds from the arrival of the request to its first forwarding."""
    passed_on_s: float = 0.0
    """Longest time in seconds from receiving bytes of a backend server to writing them
    to the caller."""
    last_event_s: float = 0.0
    """Boot-clock time in seconds at which the last events were forwarded; 0 before the
    first."""
    longest_pause_s: float = 0.0
    """Longest time in seconds between two forwarded parts of a stream."""

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """Hash that all attempts of the request have in common."""
        return fingerprint_of(self.request, self.account, self.exchange.body)

    @property
    def is_resumable(self) -> bool:
        """Whether the stream may be resumed at another backend server."""
        return self.route.kind is RequestKind.STREAM and self.route.is_resumable

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may be executed more than once."""
        return self.route.kind is RequestKind.IDEMPOTENT or self.is_resumable

    def writing_s(self, now_s: float) -> float | None:
        """Return for how many seconds the backend server has been writing its response.

        None before the first data of the current attempt.
        """
        return now_s - self.writing_since_s if self.writing_since_s else None

    def time_left_s(self, now_s: float) -> float:
        """Return the time to the deadline in seconds; negative after the deadline."""
        return self.deadline_s - now_s


@dataclass(frozen=True)
class Migration:
    """The migration of a request to an engine with a copy of its KV cache."""

    backend: Backend
    """Engine that holds the copy."""
    kv_copy: KvCopy
    """The copy of the KV cache."""


def must_migrate(run: RequestRun, now_s: float) -> bool:
    """Return whether a stream must be migrated before its engine stops."""
    backend = run.backend
    if backend is None or not backend.leaving or not run.progress.event_count:
        return False
    if run.request.prompt is None or backend.stops_at_ms is None:
        return False
    return now_s >= backend.stops_at_ms / 1000 - MIGRATION_LEAD_S


def earlier_wait_s(request: InboundRequest, route: Route) -> float:
    """Return the time in seconds that the caller spent on earlier attempts.

    It is 0 at the caller's first attempt.
    """
    caller_timeout_s = request.caller_timeout_s
    if (
        caller_timeout_s is None
        or caller_timeout_s >= REPEATED_ATTEMPT_FRACTION * route.timeout_s
    ):
        return 0.0
    return route.timeout_s - caller_timeout_s


def first_event_timeout_s(run: RequestRun) -> float:
    """Return the time in seconds to wait for a first event before another attempt."""
    return max(
        MIN_FIRST_EVENT_TIMEOUT_S, TIMEOUT_PER_OBJECTIVE * run.route.latency_objective_s
    )


def pause_timeout_s(run: RequestRun) -> float:
    """Return the time in seconds to wait for stream data before another attempt."""
    return max(MIN_PAUSE_TIMEOUT_S, TIMEOUT_PER_OBJECTIVE * run.route.pause_objective_s)


def engine_priority(run: RequestRun) -> int | None:
    """Return the priority to send to an engine; None for plain services."""
    if run.request.prompt is None:
        return None
    return min(LEAST_URGENT_ENGINE_PRIORITY, max(0, request_priority(run)))


def request_priority(run: RequestRun) -> int:
    """Return the priority of a request: its client account's, else its route's."""
    if run.account is not None and run.account.priority is not None:
        return run.account.priority
    return run.route.priority
