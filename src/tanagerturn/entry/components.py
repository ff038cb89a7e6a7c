"""Components and types that the request handlers of an entry process share."""

from __future__ import annotations

import random
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from tanagerturn.actors import ask
from tanagerturn.clocks import wall_ms
from tanagerturn.entry.directory import AttemptEnded, Choose, IsLeaving, StartAttempt
from tanagerturn.entry.migrations import RunningGenerations
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
    from tanagerturn.entry.transport import BackendResponse, BackendTransport
    from tanagerturn.serving.backends.messages import AvailabilityZone, Completion
    from tanagerturn.serving.requests.executor import CallExecutor
    from tanagerturn.serving.requests.ledger import RequestLedger
    from tanagerturn.serving.routing.messages import RouteDecision

NO_BACKEND_RETRY_S: Final = 2.0
HEDGE_THREADS: Final = 16


@dataclass
class TokenCount:
    """Tokens generated for a request, counted while its response is read."""

    tokens: int = 0
    """Number of tokens so far."""


@dataclass(frozen=True)
class CallerResponse:
    """HTTP response to a caller."""

    status: int
    """HTTP status."""
    headers: list[tuple[str, str]]
    """Response headers."""
    body: Iterable[bytes]
    """Chunks of the body, which may be produced while the body is read."""
    generated: TokenCount = field(default_factory=TokenCount)
    """Count of generated tokens, final once the body was read."""


@dataclass
class Deadline:
    """Deadline of a request, on the monotonic clock."""

    at_s: float
    """Monotonic time of the deadline, in seconds."""

    def remaining_s(self) -> float:
        """Return the time until the deadline, in seconds; 0 after the deadline."""
        return max(0.0, self.at_s - time.monotonic())


@dataclass(frozen=True)
class EntryComponents:
    """Components of one entry process that request handlers call."""

    directory: pykka.ActorRef[Any]
    """`DirectoryActor`, which tracks the backend servers."""
    transport: BackendTransport
    """Sends requests to backend servers."""
    ledger: RequestLedger
    """Commits request records."""
    call_executor: CallExecutor
    """Runs non-repeatable calls."""
    jobs: PatientJobs
    """Runs patient requests in the background."""
    gate: Gate
    """Admits requests."""
    metrics: EntryMetrics
    """Metrics of the process."""
    zone: AvailabilityZone
    """Availability zone of this process."""
    generations: RunningGenerations = field(default_factory=RunningGenerations)
    """Running streams of model engines."""
    budget: RetryBudget = field(default_factory=RetryBudget)
    """Retry budgets by service and client account."""
    random: random.Random = field(default_factory=random.Random)
    """Random generator for the jitter of retries."""
    latencies: dict[tuple[str, str], LatencyWindow] = field(default_factory=dict)
    """Latencies of lookups, by service and by method with first path segment."""
    hedges: ThreadPoolExecutor = field(
        default_factory=lambda: ThreadPoolExecutor(HEDGE_THREADS, "hedge")
    )
    """Threads that run the attempts of hedged lookups."""

    def latency_of(self, call: CallerCall) -> LatencyWindow:
        """Return the latencies recorded for the call's entry in `latencies`."""
        key = (call.service.name, call.method + call.path.split("/", 2)[1])
        return self.latencies.setdefault(key, LatencyWindow())

    def hedge_after_s(self, call: CallerCall) -> float | None:
        """Return the delay before a hedged attempt in seconds; None for no hedge."""
        percentile = call.service.hedge_percentile
        return hedge_after_s(self.latency_of(call), percentile) if percentile else None

    def choose(
        self,
        call: CallerCall,
        excluded: frozenset[BackendId] = frozenset(),
        model: str = "",
    ) -> RouteDecision:
        """Choose a backend server and count the attempt as in flight at this server.

        Args:
            call: The request.
            excluded: Backend servers that must not be chosen.
            model: Model that the server must run; empty for plain services.

        Raises:
            ProblemError: No backend server can accept the request now.
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

    def start_attempt(self, call: CallerCall, backend_id: BackendId) -> str:
        """Count an attempt as in flight at a given backend server.

        Returns:
            IP address and port of the backend server; empty if it accepts no new
            requests.
        """
        message = StartAttempt(RequestId(call.request_id), backend_id)
        return str(ask(self.directory, message))

    def is_leaving(self, backend_id: BackendId) -> bool:
        """Return whether a backend server is leaving or under a reclaim notice."""
        return bool(ask(self.directory, IsLeaving(backend_id)))

    def end_attempt(
        self,
        call: CallerCall,
        backend_id: BackendId,
        failed: bool = False,
        completion: Completion | None = None,
    ) -> None:
        """Report the end of an attempt.

        Args:
            call: The request.
            backend_id: Backend server of the attempt.
            failed: Whether the backend server failed the attempt.
            completion: Measurements of the attempt; None if there are none.
        """
        message = AttemptEnded(
            backend_id, RequestId(call.request_id), failed, completion
        )
        self.directory.tell(message)


@dataclass
class Attempts:
    """Attempts of a request so far."""

    excluded: set[BackendId] = field(default_factory=set)
    """Backend servers to avoid for the next attempt."""
    count: int = 0
    """Number of attempts."""


def backend_headers(
    call: CallerCall, attempt: int, remaining_s: float
) -> dict[str, str]:
    """Return the headers of one backend attempt.

    Args:
        call: The request.
        attempt: Number of the attempt.
        remaining_s: Seconds until the deadline of the request.
    """
    headers = dict(call.headers)
    headers["X-Request-Id"] = call.request_id
    headers["X-Attempt"] = str(attempt)
    headers["X-Deadline-Ms"] = str(round(remaining_s * 1000))
    headers["X-Priority"] = ("", "urgent", "normal", "low")[call.priority]
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    return headers


def to_caller_response(response: BackendResponse, request_id: str) -> CallerResponse:
    """Return the response to the caller that forwards a backend response."""
    headers = [*response.headers, ("Content-Length", str(len(response.body)))]
    headers.append(("X-Request-Id", request_id))
    return CallerResponse(response.status, headers, [response.body])
