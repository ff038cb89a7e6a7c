"""What the request handlers of an entry process share."""

from __future__ import annotations

import random
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from tanagerturn.actors import ask
from tanagerturn.clocks import wall_ms
from tanagerturn.entry.directory import Choose, Ended, IsLeaving, Place
from tanagerturn.entry.moves import RunningDrafts
from tanagerturn.serving.backends.messages import BackendId, RequestId
from tanagerturn.serving.retries.budget import RetryBudget
from tanagerturn.serving.retries.hedging import LatencyWindow, hedge_after_s
from tanagerturn.serving.routing.messages import RouteRequest
from tanagerturn.shared.problems import ProblemError

if TYPE_CHECKING:
    from collections.abc import Iterable

    import pykka

    from tanagerturn.entry.callers import CallerCall
    from tanagerturn.entry.gate import Gate
    from tanagerturn.entry.jobs import PatientJobs
    from tanagerturn.entry.metrics import EntryMetrics
    from tanagerturn.entry.transport import BackendAnswer, BackendTransport
    from tanagerturn.serving.backends.messages import AvailabilityZone, Completion
    from tanagerturn.serving.requests.executor import CallExecutor
    from tanagerturn.serving.requests.ledger import RequestLedger
    from tanagerturn.serving.routing.messages import RouteDecision

NO_BACKEND_RETRY_S: Final = 2.0
HEDGE_THREADS: Final = 16


@dataclass
class TokenCount:
    """Tokens made for a request, counted while its body is read."""

    tokens: int = 0
    """Tokens so far."""


@dataclass(frozen=True)
class CallerResponse:
    """What a caller gets."""

    status: int
    """HTTP status."""
    headers: list[tuple[str, str]]
    """Response headers."""
    body: Iterable[bytes]
    """Body, or its parts as they come."""
    made: TokenCount = field(default_factory=TokenCount)
    """Tokens made for it, final once the body was read."""


@dataclass
class Deadline:
    """End of a request's time, on the monotonic clock."""

    at_s: float
    """Monotonic time in seconds."""

    def left_s(self) -> float:
        """Return the seconds left, 0 at the least."""
        return max(0.0, self.at_s - time.monotonic())


@dataclass(frozen=True)
class Parts:
    """The parts of one entry process that handlers call."""

    directory: pykka.ActorRef[Any]
    """Knows the backend servers."""
    transport: BackendTransport
    """Sends requests to them."""
    ledger: RequestLedger
    """Commits request records."""
    conductor: CallExecutor
    """Carries out calls that may not be repeated."""
    jobs: PatientJobs
    """Runs patient requests that no caller waits for."""
    gate: Gate
    """Lets requests in."""
    metrics: EntryMetrics
    """Counters of the process."""
    zone: AvailabilityZone
    """Availability zone of this process."""
    drafts: RunningDrafts = field(default_factory=RunningDrafts)
    """Streams that run now."""
    budget: RetryBudget = field(default_factory=RetryBudget)
    """Retries by service and client account."""
    random: random.Random = field(default_factory=random.Random)
    """Jitter of retries."""
    latencies: dict[tuple[str, str], LatencyWindow] = field(default_factory=dict)
    """Latencies of lookups, by service and path prefix."""
    hedges: ThreadPoolExecutor = field(
        default_factory=lambda: ThreadPoolExecutor(HEDGE_THREADS, "hedge")
    )
    """Threads of hedged lookups."""

    def latency_of(self, call: CallerCall) -> LatencyWindow:
        """Return the latencies of a call's kind."""
        key = (call.service.name, call.method + call.path.split("/", 2)[1])
        return self.latencies.setdefault(key, LatencyWindow())

    def hedge_after_s(self, call: CallerCall) -> float | None:
        """Return when to send a lookup a second time; None for never."""
        percentile = call.service.hedge_percentile
        return hedge_after_s(self.latency_of(call), percentile) if percentile else None

    def choose(
        self,
        call: CallerCall,
        excluded: frozenset[BackendId] = frozenset(),
        model: str = "",
    ) -> RouteDecision:
        """Choose a backend server and count the attempt there.

        Raises:
            ProblemError: None can take the request now.
        """
        route = RouteRequest(
            service=call.service.name,
            model=model,
            priority=call.priority,
            deadline_ms=wall_ms() + call.deadline_ms,
            excluded=excluded,
            zone=self.zone,
            prefix_blocks=call.prompt.blocks,
            prompt_tokens=call.prompt.tokens,
            output_tokens=call.prompt.output_tokens,
        )
        chosen = ask(self.directory, Choose(RequestId(call.request_id), route))
        if chosen.is_error():
            raise ProblemError(
                503,
                "No backend server",
                str(chosen.error),
                step="route",
                retry_after_s=NO_BACKEND_RETRY_S,
            )
        decision: RouteDecision = chosen.ok
        return decision

    def place(self, call: CallerCall, backend_id: BackendId) -> str:
        """Count an attempt at a named backend server.

        Returns:
            Its address; empty when it takes no new work.
        """
        message = Place(RequestId(call.request_id), backend_id)
        return str(ask(self.directory, message))

    def is_leaving(self, backend_id: BackendId) -> bool:
        """Tell whether a backend server leaves or is to be reclaimed."""
        return bool(ask(self.directory, IsLeaving(backend_id)))

    def ended(
        self,
        call: CallerCall,
        backend_id: BackendId,
        failed: bool = False,
        completion: Completion | None = None,
    ) -> None:
        """Take an attempt off its backend server."""
        message = Ended(backend_id, RequestId(call.request_id), failed, completion)
        self.directory.tell(message)


@dataclass
class Attempts:
    """Backend servers that failed a request so far."""

    excluded: set[BackendId] = field(default_factory=set)
    """Not to be chosen again."""
    count: int = 0
    """Attempts made."""


def backend_headers(call: CallerCall, attempt: int, left_s: float) -> dict[str, str]:
    """Return the headers of one attempt at a backend server."""
    headers = dict(call.headers)
    headers["X-Request-Id"] = call.request_id
    headers["X-Attempt"] = str(attempt)
    headers["X-Deadline-Ms"] = str(round(left_s * 1000))
    headers["X-Priority"] = ("", "urgent", "normal", "low")[call.priority]
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    return headers


def answer_response(answer: BackendAnswer, request_id: str) -> CallerResponse:
    """Return a backend server's answer as the caller's response."""
    headers = [*answer.headers, ("Content-Length", str(len(answer.body)))]
    headers.append(("X-Request-Id", request_id))
    return CallerResponse(answer.status, headers, [answer.body])
