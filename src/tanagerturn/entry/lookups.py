"""Calls that may be repeated: tried again within a budget, perhaps hedged."""

from __future__ import annotations

import threading
import time
from concurrent.futures import FIRST_COMPLETED, Future, wait
from typing import TYPE_CHECKING, Final

from tanagerturn.entry.parts import (
    Attempts,
    CallerResponse,
    Deadline,
    Parts,
    answer_response,
    backend_headers,
)
from tanagerturn.entry.transport import (
    BackendAnswer,
    BackendRequest,
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
"""A caller who retries by itself says so with this header."""


class AttemptFailedError(Exception):
    """An attempt failed.

    Args:
        failure: How far it got.
        reason: What went wrong.
        answer: The backend server's answer, when one came.
    """

    def __init__(
        self, failure: Failure, reason: str, answer: BackendAnswer | None = None
    ) -> None:
        super().__init__(reason)
        self.failure = failure
        """How far it got."""
        self.answer = answer
        """The backend server's answer, when one came."""


class LookupRun:
    """One call that may be repeated, over its attempts.

    Args:
        parts: Parts of the entry process.
        call: The caller's request.
    """

    def __init__(self, parts: Parts, call: CallerCall) -> None:
        self.parts = parts
        """Parts of the entry process."""
        self.call = call
        """The caller's request."""
        self.deadline = Deadline(time.monotonic() + call.deadline_ms / 1000)
        """End of the request's time."""
        self.attempts = Attempts()
        """Attempts so far."""
        self.sent = False
        """Bytes of some attempt left."""
        self.lock = threading.Lock()
        """Guards the attempts, which a hedge shares."""
        self.budget = BudgetKey(call.service.name, call.account.name)
        """Whose retries it uses."""
        self.retried_by_caller = any(n == RETRY_HEADER for n, _ in call.headers)
        """Another layer retries this call already."""

    def run(self) -> BackendAnswer:
        """Return the answer of the first attempt that succeeds.

        Raises:
            ProblemError: No backend server answered within the deadline.
        """
        self.parts.budget.on_first_attempt(self.budget, self.call.service.retry_budget)
        while True:
            try:
                return self._try()
            except AttemptFailedError as error:
                if not self._retry(error):
                    return self._give_up(error)

    def _try(self) -> BackendAnswer:
        hedge_s = self.parts.hedge_after_s(self.call)
        if hedge_s is None or self.call.kind != IDEMPOTENT:
            return self._attempt(self._choose())
        return self._hedged(hedge_s)

    def _hedged(self, hedge_s: float) -> BackendAnswer:
        pool = self.parts.hedges
        running: set[Future[BackendAnswer]] = {
            pool.submit(self._attempt, self._choose())
        }
        done, running = wait(running, min(hedge_s, self.deadline.left_s()))
        if not done and self.parts.budget.take(self.budget):
            self.parts.metrics.hedges.inc()
            try:
                second = self._choose(same_again=False)
                running.add(pool.submit(self._attempt, second))
            except ProblemError:
                self.parts.metrics.hedges_without_server.inc()
        failed: AttemptFailedError | None = None
        while True:
            for future in done:
                error = future.exception()
                if error is None:
                    return future.result()
                if not isinstance(error, AttemptFailedError):
                    raise error
                failed = error
            if not running:
                assert failed is not None
                raise failed
            done, running = wait(running, return_when=FIRST_COMPLETED)

    def _choose(self, same_again: bool = True) -> RouteDecision:
        with self.lock:
            try:
                decision = self._choose_other(same_again)
            except ProblemError as error:
                error.outcome = OUTCOME_UNKNOWN if self.sent else NOT_RUN
                raise
            self.attempts.count += 1
            self.attempts.excluded.add(decision.backend_id)
            return decision

    def _choose_other(self, same_again: bool) -> RouteDecision:
        try:
            return self.parts.choose(self.call, frozenset(self.attempts.excluded))
        except ProblemError:
            if not self.attempts.excluded or not same_again:
                raise
            return self.parts.choose(self.call)

    def _attempt(self, decision: RouteDecision) -> BackendAnswer:
        started_s = time.monotonic()
        left_s = self.deadline.left_s()
        try:
            answer = self.parts.transport.call(
                BackendRequest(
                    decision.address,
                    self.call.method,
                    self.call.path,
                    backend_headers(self.call, self.attempts.count, left_s),
                    self.call.body,
                    left_s,
                )
            )
        except NothingSentError as error:
            self.parts.ended(self.call, decision.backend_id, failed=True)
            raise AttemptFailedError(Failure(Phase.NOT_SENT), str(error)) from error
        except BrokenCallError as error:
            self.sent = True
            self.parts.ended(self.call, decision.backend_id, failed=True)
            raise AttemptFailedError(Failure(Phase.SENT), str(error)) from error
        self.sent = True
        return self._check(decision, answer, time.monotonic() - started_s)

    def _check(
        self, decision: RouteDecision, answer: BackendAnswer, elapsed_s: float
    ) -> BackendAnswer:
        failure = Failure(Phase.ANSWERED, answer.status, retry_after_of(answer))
        failed = answer.status >= 500
        completion = None if failed else Completion(round(elapsed_s * 1000))
        self.parts.ended(self.call, decision.backend_id, failed, completion)
        if failed and is_retryable(failure):
            raise AttemptFailedError(failure, f"status {answer.status}", answer)
        self.parts.latency_of(self.call).record(elapsed_s)
        return answer

    def _retry(self, error: AttemptFailedError) -> bool:
        if self.attempts.count >= ATTEMPT_LIMIT:
            return False
        if not may_retry(error.failure, self.call.kind, self.retried_by_caller):
            return False
        wait_s = wait_before_retry(
            self.attempts.count,
            error.failure.retry_after_s,
            self.deadline.left_s(),
            self.parts.random,
        )
        if wait_s is None or not self.parts.budget.take(self.budget):
            return False
        self.parts.metrics.retries.inc()
        time.sleep(wait_s)
        return True

    def _give_up(self, error: AttemptFailedError) -> BackendAnswer:
        if error.answer is not None:
            return error.answer
        outcome = OUTCOME_UNKNOWN if self.sent else NOT_RUN
        raise ProblemError(
            502, "Backend servers failed", str(error), outcome=outcome, step="call",
            retry_after_s=1,
        ) from error  # fmt: skip


def run_lookup(parts: Parts, call: CallerCall) -> CallerResponse:
    """Run a call that may be repeated.

    Raises:
        ProblemError: No backend server answered within the deadline.
    """
    return answer_response(LookupRun(parts, call).run(), call.request_id)


def retry_after_of(answer: BackendAnswer) -> float:
    """Return the wait in seconds that an answer asks for; 0 for none."""
    for name, value in answer.headers:
        if name.lower() == "retry-after" and value.isdigit():
            return float(value)
    return 0.0
