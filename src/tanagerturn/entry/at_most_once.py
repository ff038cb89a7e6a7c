"""Non-repeatable calls: recorded durably first, then sent at most once."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from tanagerturn.entry.components import (
    CallerResponse,
    Deadline,
    EntryComponents,
    backend_headers,
)
from tanagerturn.entry.stored_requests import (
    make_new_request,
    make_stored_answer,
    reply_response,
)
from tanagerturn.entry.transport import (
    BackendRequest,
    BackendResponse,
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
QUERY_TIME_FRACTION: Final = 0.2
"""Fraction of the remaining time reserved for the outcome query."""

MAX_QUERY_TIME_S: Final = 1.0


class ServiceCalls:
    """Sends one call, and its outcome query, to a plain service.

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
        self.excluded: set[BackendId] = set()
        """Backend servers to which no byte could be sent."""
        self.chosen: RouteDecision | None = None
        """Backend server of the current attempt; None between attempts."""

    def choose(self, record: serving_pb2.RequestRecord) -> str:
        """Choose the backend server of the next attempt; return its id, or empty."""
        try:
            self.chosen = self.components.choose(self.call, frozenset(self.excluded))
        except ProblemError:
            return ""
        return self.chosen.backend_id

    def send(
        self, record: serving_pb2.RequestRecord, permission: Permission
    ) -> SendEvent:
        """Send the call on a new connection.

        Args:
            record: Record of the request.
            permission: Committed permission, checked before the first byte is sent.
        """
        assert self.chosen is not None
        started_s = time.monotonic()
        try:
            response = self._exchange(self.chosen, permission)
        except NothingSentError as error:
            self.excluded.add(self.chosen.backend_id)
            self._end_attempt(failed=True)
            return calls.NotSent(str(error))
        except BrokenCallError as error:
            self._end_attempt(failed=True)
            return calls.AnswerLost(str(error))
        elapsed_ms = round((time.monotonic() - started_s) * 1000)
        self._end_attempt(completion=Completion(elapsed_ms))
        return calls.Answered(make_stored_answer(response))

    def ask(self, record: serving_pb2.RequestRecord) -> QueryEvent:
        """Send the service's outcome query for the call."""
        query = self.call.service.outcome_query
        path = query.path.replace("{key}", self.call.idempotency_key)
        try:
            response = self._query(path)
        except (NothingSentError, BrokenCallError) as error:
            return calls.QueryFailed(str(error))
        except ProblemError as error:
            return calls.QueryFailed(error.detail)
        return read_outcome(query, response)

    def release(self) -> None:
        """End an attempt for which a backend server was chosen but nothing was sent."""
        if self.chosen is not None:
            self._end_attempt()

    def _exchange(
        self, chosen: RouteDecision, permission: Permission
    ) -> BackendResponse:
        remaining_s = self.deadline.remaining_s()
        query_time_s = min(MAX_QUERY_TIME_S, QUERY_TIME_FRACTION * remaining_s)
        request = BackendRequest(
            chosen.address,
            self.call.method,
            self.call.path,
            backend_headers(self.call, permission.attempt, remaining_s),
            self.call.body,
            remaining_s - query_time_s,
        )
        return self.components.transport.call_once(
            request, lambda: permission.allows(time.monotonic())
        )

    def _query(self, path: str) -> BackendResponse:
        decision = self.components.choose(self.call)
        try:
            query = BackendRequest(
                decision.address, "GET", path, {}, b"", QUERY_TIMEOUT_S
            )
            return self.components.transport.call(query)
        finally:
            self.components.end_attempt(self.call, decision.backend_id)

    def _end_attempt(
        self, failed: bool = False, completion: Completion | None = None
    ) -> None:
        assert self.chosen is not None
        self.components.end_attempt(
            self.call, self.chosen.backend_id, failed, completion
        )
        self.chosen = None


def run_at_most_once(components: EntryComponents, call: CallerCall) -> CallerResponse:
    """Run a non-repeatable call.

    Raises:
        ProblemError: The call did not run, its outcome is unknown, or it still runs.
    """
    service_calls = ServiceCalls(components, call)
    try:
        reply = components.call_executor.run(
            make_new_request(call), call_policy(call.service), service_calls
        )
    finally:
        service_calls.release()
    components.metrics.replies.labels(kind=reply.kind.name.lower()).inc()
    return reply_response(reply, call.request_id)


def call_policy(service: settings_pb2.Service) -> CallPolicy:
    """Return the policy for non-repeatable calls from the service's settings."""
    return CallPolicy(
        max_attempts=ATTEMPT_LIMIT,
        has_outcome_query=bool(service.outcome_query.path),
        answer_limit_bytes=service.answer_limit_bytes,
    )


def read_outcome(
    query: settings_pb2.OutcomeQuery, response: BackendResponse
) -> QueryEvent:
    """Return the event for the response to an outcome query."""
    if response.status == query.executed_status:
        return calls.QueryExecuted(make_stored_answer(response))
    if response.status == query.not_executed_status:
        return calls.QueryNotExecuted()
    return calls.QueryFailed(f"the outcome query was answered {response.status}")
