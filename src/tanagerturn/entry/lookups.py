"""Repeatable calls to plain services: retried within a budget, hedged if configured."""

from __future__ import annotations

import threading
import time
from concurrent.futures import FIRST_COMPLETED, Future, wait
from typing import TYPE_CHECKING, Final

from tanagerturn.entry.components import (
    Attempts,
    CallerResponse,
    Deadline,
    EntryComponents,
    backend_headers,
    to_caller_response,
)
from tanagerturn.entry.transport import (
    BackendRequest,
    BackendResponse,
    BrokenCallError,
    NothingSentError,
)
from tanagerturn.schema.serving_pb2 import IDEMPOTENT
from tanagerturn.serving.backends.messages import Completion
from tanagerturn.serving.retries.backoff import wait_before_retry
from tanagerturn.serving.retries.budget import BudgetKey
from tanagerturn.serving.retries.failures import Failure, Phase, is_retryable, may_retry
from tanagerturn.shared.problems import NOT_RUN, OUTCOME_UNKNOWN, ProblemError

if TYPE_CHECKING:
    from tanagerturn.entry.callers import CallerCall
    from tanagerturn.serving.routing.messages import RouteDecision

ATTEMPT_LIMIT: Final = 3
RETRY_HEADER: Final = "x-retry-attempt"
"""Header by which a caller reports that it already retries the call."""


class AttemptFailedError(Exception):
    """An attempt failed.

    Args:
        failure: Phase of the failure, with status and retry delay if known.
        reason: Cause of the failure.
        response: The backend server's response; None if no response arrived.
    """

    def __init__(
        self, failure: Failure, reason: str, response: BackendResponse | None = None
    ) -> None:
        super().__init__(reason)
        self.failure = failure
        """Phase of the failure, with status and retry delay if known."""
        self.response = response
        """The backend server's response; None if no response arrived."""


class LookupRun:
    """One repeatable call, over all its attempts.

    Args:
        components: Components of the entry process.
        call: The caller's request.
    """

    def __init__(self, components: EntryComponents, call: CallerCall) -> None:
        self.components = components
        """Components of the entry process."""
        self.call = call
        """The caller's request."""
        self.deadline = Deadline(time.monotonic() + call.deadline_ms / 1000)
        """Deadline of the request."""
        self.attempts = Attempts()
        """Attempts made, with the backend servers that they used."""
        self.sent = False
        """Whether some attempt may have sent bytes, so that the call may have run."""
        self.lock = threading.Lock()
        """Guards `attempts`, which a hedged attempt changes from another thread."""
        self.budget = BudgetKey(call.service.name, call.account.name)
        """Service and client account whose retry budget the call uses."""
        self.retried_by_caller = any(n == RETRY_HEADER for n, _ in call.headers)
        """Whether the caller already retries this call itself."""

    def run(self) -> BackendResponse:
        """Return the first successful response, or the response of the last attempt.

        Raises:
            ProblemError: No backend server responded within the deadline.
        """
        self.components.budget.on_first_attempt(
            self.budget, self.call.service.retry_budget
        )
        while True:
            try:
                return self._attempt_or_hedge()
            except AttemptFailedError as error:
                if not self._retry(error):
                    return self._last_response(error)

    def _attempt_or_hedge(self) -> BackendResponse:
        hedge_s = self.components.hedge_after_s(self.call)
        if hedge_s is None or self.call.kind != IDEMPOTENT:
            return self._attempt(self._choose())
        return self._hedged(hedge_s)

    def _hedged(self, hedge_s: float) -> BackendResponse:
        pool = self.components.hedges
        running: set[Future[BackendResponse]] = {
            pool.submit(self._attempt, self._choose())
        }
        done, running = wait(running, min(hedge_s, self.deadline.remaining_s()))
        if not done and self.components.budget.take(self.budget):
            self.components.metrics.hedges.inc()
            try:
                second = self._choose(allow_repeat=False)
                running.add(pool.submit(self._attempt, second))
            except ProblemError:
                self.components.metrics.hedges_without_server.inc()
        last_error: AttemptFailedError | None = None
        while True:
            for future in done:
                error = future.exception()
                if error is None:
                    return future.result()
                if not isinstance(error, AttemptFailedError):
                    raise error
                last_error = error
            if not running:
                assert last_error is not None
                raise last_error
            done, running = wait(running, return_when=FIRST_COMPLETED)

    def _choose(self, allow_repeat: bool = True) -> RouteDecision:
        with self.lock:
            try:
                decision = self._choose_untried(allow_repeat)
            except ProblemError as error:
                error.outcome = OUTCOME_UNKNOWN if self.sent else NOT_RUN
                raise
            self.attempts.count += 1
            self.attempts.excluded.add(decision.backend_id)
            return decision

    def _choose_untried(self, allow_repeat: bool) -> RouteDecision:
        try:
            return self.components.choose(self.call, frozenset(self.attempts.excluded))
        except ProblemError:
            if not self.attempts.excluded or not allow_repeat:
                raise
            return self.components.choose(self.call)

    def _attempt(self, decision: RouteDecision) -> BackendResponse:
        started_s = time.monotonic()
        remaining_s = self.deadline.remaining_s()
        try:
            response = self.components.transport.call(
                BackendRequest(
                    decision.address,
                    self.call.method,
                    self.call.path,
                    backend_headers(self.call, self.attempts.count, remaining_s),
                    self.call.body,
                    remaining_s,
                )
            )
        except NothingSentError as error:
            self.components.end_attempt(self.call, decision.backend_id, failed=True)
            raise AttemptFailedError(Failure(Phase.NOT_SENT), str(error)) from error
        except BrokenCallError as error:
            self.sent = True
            self.components.end_attempt(self.call, decision.backend_id, failed=True)
            raise AttemptFailedError(Failure(Phase.SENT), str(error)) from error
        self.sent = True
        return self._check(decision, response, time.monotonic() - started_s)

    def _check(
        self, decision: RouteDecision, response: BackendResponse, elapsed_s: float
    ) -> BackendResponse:
        failure = Failure(Phase.ANSWERED, response.status, read_retry_after(response))
        failed = response.status >= 500
        completion = None if failed else Completion(round(elapsed_s * 1000))
        self.components.end_attempt(self.call, decision.backend_id, failed, completion)
        if failed and is_retryable(failure):
            raise AttemptFailedError(failure, f"status {response.status}", response)
        self.components.latency_of(self.call).record(elapsed_s)
        return response

    def _retry(self, error: AttemptFailedError) -> bool:
        if self.attempts.count >= ATTEMPT_LIMIT:
            return False
        if not may_retry(error.failure, self.call.kind, self.retried_by_caller):
            return False
        wait_s = wait_before_retry(
            self.attempts.count,
            error.failure.retry_after_s,
            self.deadline.remaining_s(),
            self.components.random,
        )
        if wait_s is None or not self.components.budget.take(self.budget):
            return False
        self.components.metrics.retries.inc()
        time.sleep(wait_s)
        return True

    def _last_response(self, error: AttemptFailedError) -> BackendResponse:
        if error.response is not None:
            return error.response
        outcome = OUTCOME_UNKNOWN if self.sent else NOT_RUN
        raise ProblemError(
            502, "Backend servers failed", str(error), outcome=outcome, step="call",
            retry_after_s=1,
        ) from error  # fmt: skip


def run_lookup(components: EntryComponents, call: CallerCall) -> CallerResponse:
    """Run a repeatable call.

    Raises:
        ProblemError: No backend server responded within the deadline.
    """
    return to_caller_response(LookupRun(components, call).run(), call.request_id)


def read_retry_after(response: BackendResponse) -> float:
    """Return the Retry-After delay of a response in seconds; 0 without one."""
    for name, value in response.headers:
        if name.lower() == "retry-after" and value.isdigit():
            return float(value)
    return 0.0
