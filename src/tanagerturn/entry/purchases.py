"""Calls that may not be repeated: durable record first, sent at most once."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from tanagerturn.entry.parts import CallerResponse, Deadline, Parts, backend_headers
from tanagerturn.entry.recorded import kept_answer, make_new_request, reply_response
from tanagerturn.entry.transport import (
    BackendAnswer,
    BackendRequest,
    BrokenCallError,
    NothingSentError,
)
from tanagerturn.serving.backends.messages import BackendId, Completion
from tanagerturn.serving.requests import call as calls
from tanagerturn.serving.requests.ports import CallPolicy
from tanagerturn.shared.problems import ProblemError

if TYPE_CHECKING:
    from tanagerturn.entry.callers import CallerCall
    from tanagerturn.schema import serving_pb2, settings_pb2
    from tanagerturn.serving.requests.permission import Permission
    from tanagerturn.serving.requests.ports import QueryEvent, SendEvent
    from tanagerturn.serving.routing.messages import RouteDecision

ATTEMPT_LIMIT: Final = 3
QUERY_TIMEOUT_S: Final = 1.0
SETTLE_SHARE: Final = 0.2
"""Part of the deadline kept for asking what became of the call."""

LONGEST_SETTLE_S: Final = 1.0


class ServiceWire:
    """Carries one call, or its outcome query, to a plain service.

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
        self.excluded: set[BackendId] = set()
        """Backend servers that refused a connection."""
        self.chosen: RouteDecision | None = None
        """Backend server of the present attempt."""

    def choose(self, record: serving_pb2.RequestRecord) -> str:
        """Return the backend server for the next attempt; empty when none is up."""
        try:
            self.chosen = self.parts.choose(self.call, frozenset(self.excluded))
        except ProblemError:
            return ""
        return self.chosen.backend_id

    def send(
        self, record: serving_pb2.RequestRecord, permission: Permission
    ) -> SendEvent:
        """Send the attempt on a fresh connection."""
        assert self.chosen is not None
        started_s = time.monotonic()
        try:
            answer = self._exchange(self.chosen, permission)
        except NothingSentError as error:
            self.excluded.add(self.chosen.backend_id)
            self._ended(failed=True)
            return calls.NotSent(str(error))
        except BrokenCallError as error:
            self._ended(failed=True)
            return calls.AnswerLost(str(error))
        elapsed_ms = round((time.monotonic() - started_s) * 1000)
        self._ended(completion=Completion(elapsed_ms))
        return calls.Answered(kept_answer(answer))

    def ask(self, record: serving_pb2.RequestRecord) -> QueryEvent:
        """Ask the service what became of the call."""
        query = self.call.service.outcome_query
        path = query.path.replace("{key}", self.call.idempotency_key)
        try:
            answer = self._query(path)
        except (NothingSentError, BrokenCallError) as error:
            return calls.QueryFailed(str(error))
        except ProblemError as error:
            return calls.QueryFailed(error.detail)
        return read_outcome(query, answer)

    def release(self) -> None:
        """Take off an attempt that was chosen and not sent."""
        if self.chosen is not None:
            self._ended()

    def _exchange(self, chosen: RouteDecision, permission: Permission) -> BackendAnswer:
        left_s = self.deadline.left_s()
        settle_s = min(LONGEST_SETTLE_S, SETTLE_SHARE * left_s)
        request = BackendRequest(
            chosen.address,
            self.call.method,
            self.call.path,
            backend_headers(self.call, permission.attempt, left_s),
            self.call.body,
            left_s - settle_s,
        )
        return self.parts.transport.call_once(
            request, lambda: permission.allows(time.monotonic())
        )

    def _query(self, path: str) -> BackendAnswer:
        decision = self.parts.choose(self.call)
        try:
            query = BackendRequest(
                decision.address, "GET", path, {}, b"", QUERY_TIMEOUT_S
            )
            return self.parts.transport.call(query)
        finally:
            self.parts.ended(self.call, decision.backend_id)

    def _ended(
        self, failed: bool = False, completion: Completion | None = None
    ) -> None:
        assert self.chosen is not None
        self.parts.ended(self.call, self.chosen.backend_id, failed, completion)
        self.chosen = None


def run_once(parts: Parts, call: CallerCall) -> CallerResponse:
    """Run a call that may not be repeated.

    Raises:
        ProblemError: It was not run, its outcome is unknown, or it is running.
    """
    wire = ServiceWire(parts, call)
    try:
        reply = parts.conductor.run(
            make_new_request(call), call_policy(call.service), wire
        )
    finally:
        wire.release()
    parts.metrics.replies.labels(kind=reply.kind.name.lower()).inc()
    return reply_response(reply, call.request_id)


def call_policy(service: settings_pb2.Service) -> CallPolicy:
    """Return what a service's settings say about calls that run once."""
    return CallPolicy(
        max_attempts=ATTEMPT_LIMIT,
        has_outcome_query=bool(service.outcome_query.path),
        answer_limit_bytes=service.answer_limit_bytes,
    )


def read_outcome(query: settings_pb2.OutcomeQuery, answer: BackendAnswer) -> QueryEvent:
    """Read the answer of an outcome query."""
    if answer.status == query.executed_status:
        return calls.QueryExecuted(kept_answer(answer))
    if answer.status == query.not_executed_status:
        return calls.QueryNotExecuted()
    return calls.QueryFailed(f"the outcome query was answered {answer.status}")
