"""Executes non-repeatable calls through injected interfaces.

`call.step` selects the next action of a call. This module performs the action with the
ledger and the backend calls, and returns the reply to the caller.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.errors import StepError
from tanagerturn.serving.requests import call as calls
from tanagerturn.serving.requests.errors import (
    CommitUnknownError,
    KeyReusedError,
    OwnerFencedError,
    RecordConflictError,
)
from tanagerturn.serving.requests.layout import record_key
from tanagerturn.serving.requests.replies import Reply, ReplyKind, reply_to_request
from tanagerturn.serving.requests.stored import ExistingRequest, Permitted

if TYPE_CHECKING:
    from expression import Result

    from tanagerturn.schema import serving_pb2 as pb
    from tanagerturn.serving.requests.ledger import RequestLedger
    from tanagerturn.serving.requests.permission import Permission
    from tanagerturn.serving.requests.ports import BackendCalls, CallPolicy, Clock
    from tanagerturn.serving.requests.stored import NewRequest, StoredRecord

QUERY_RETRY_DELAY_S: Final = 0.2
"""Pause in seconds after a failed outcome query."""


@dataclass
class CallContext:
    """Mutable state of one call during its execution."""

    policy: CallPolicy
    """Settings of the service that apply to the call."""
    backend_calls: BackendCalls
    """Calls to the backend servers."""
    new_request: NewRequest | None = None
    """The request; None if this process took over its record."""
    record: pb.RequestRecord | None = None
    """The record before its first commit, or as it was taken over."""
    stored_record: StoredRecord | None = None
    """The record as this process last wrote or read it; None before that."""
    permission: Permission | None = None
    """Permission for the current attempt; None before the first attempt."""
    answer: pb.Answer | None = None
    """Response of the service to the call; None until it is known."""
    refusal: Reply | None = None
    """Reply to send instead of the outcome in the record; None to use the record."""


class CallExecutor:
    """Executes non-repeatable calls; thread-safe.

    Args:
        ledger: Request ledger of this process.
        clock: Source of the current time.
    """

    def __init__(self, ledger: RequestLedger, clock: Clock) -> None:
        self.ledger = ledger
        """Request ledger of this process."""
        self.clock = clock
        """Source of the current time."""
        self.active: set[str] = set()
        """Store keys of the records that a thread of this process is processing."""
        self.unconfirmed_answers: dict[str, tuple[StoredRecord, pb.Answer, int]] = {}
        """Responses whose commit is not confirmed, by store key, each with its record
        and the maximum size of a stored body in bytes."""
        self.lock = threading.Lock()
        """Lock of `active` and `unconfirmed_answers`."""

    def run(
        self, new_request: NewRequest, policy: CallPolicy, backend_calls: BackendCalls
    ) -> Reply:
        """Accept a request and execute its call.

        Args:
            new_request: The request, whose call kind must be non-repeatable.
            policy: Settings of the service that apply to the call.
            backend_calls: Calls to the backend servers.

        Returns:
            The reply to the caller.
        """
        context = CallContext(policy, backend_calls, new_request=new_request)
        context.record = self.ledger.make_record(new_request, self.clock.wall_ms())
        first_step = calls.start_call(policy.max_attempts, policy.has_outcome_query)
        return self._execute(record_key(context.record), context, first_step)

    def settle(
        self, held: StoredRecord, policy: CallPolicy, backend_calls: BackendCalls
    ) -> Reply:
        """Determine the outcome of a request that a dead process may have sent.

        Before calling this method, wait until the permission of the dead process has
        expired.

        Args:
            held: Record of the request, owned by this process.
            policy: Settings of the service that apply to the call.
            backend_calls: Calls to the backend servers.

        Returns:
            The reply to a caller that sends the request again.
        """
        context = CallContext(
            policy, backend_calls, record=held.record, stored_record=held
        )
        first_step = calls.start_settlement(policy.has_outcome_query)
        return self._execute(record_key(held.record), context, first_step)

    def add_unconfirmed_answer(
        self, held: StoredRecord, answer: pb.Answer, limit_bytes: int
    ) -> None:
        """Retain a response whose commit is not confirmed, to commit it later.

        Args:
            held: Record of the request.
            answer: The response.
            limit_bytes: Maximum size of a stored body in bytes.
        """
        with self.lock:
            self.unconfirmed_answers[record_key(held.record)] = (
                held,
                answer,
                limit_bytes,
            )

    def retry_unconfirmed_answers(self) -> int:
        """Retry the commits of responses whose commit is not confirmed.

        Returns:
            Number of responses whose commit is still not confirmed.
        """
        with self.lock:
            unconfirmed = list(self.unconfirmed_answers.items())
        for key, (held, answer, limit) in unconfirmed:
            committed = self.ledger.finish(held, answer, self.clock.wall_ms(), limit)
            if committed.is_error() and isinstance(committed.error, CommitUnknownError):
                continue
            with self.lock:
                self.unconfirmed_answers.pop(key, None)
        with self.lock:
            return len(self.unconfirmed_answers)

    def is_active(self, key: str) -> bool:
        """Return whether this process still processes the record with a store key."""
        with self.lock:
            return key in self.active or key in self.unconfirmed_answers

    def _execute(self, key: str, context: CallContext, first_step: calls.Step) -> Reply:
        with self.lock:
            if key in self.active:
                return Reply(ReplyKind.RUNNING)
            self.active.add(key)
        try:
            call, action = first_step
            while True:
                outcome = self._perform(action, context)
                if isinstance(outcome, Reply):
                    return outcome
                call, action = calls.step(outcome, call)
        finally:
            with self.lock:
                self.active.discard(key)

    @singledispatchmethod
    def _perform(self, action: object, context: CallContext) -> calls.Event | Reply:
        raise TypeError(f"expected a call action, got {action!r}")

    @_perform.register
    def _(
        self, action: calls.CommitAttempt, context: CallContext
    ) -> calls.Event | Reply:
        assert context.record is not None
        server = context.backend_calls.choose(
            context.stored_record.record if context.stored_record else context.record
        )
        if not server and context.stored_record is None:
            reason = "no backend server is up"
            return self._not_accepted(context, StepError("choose", "", reason))
        if not server:
            return calls.NoBackendServer()
        requested_at_s = self.clock.monotonic_s()
        now_ms = self.clock.wall_ms()
        if context.stored_record is not None:
            again = self.ledger.permit_again(
                context.stored_record, True, server, now_ms, requested_at_s
            )
            return self._on_attempt_committed(context, again)
        assert context.new_request is not None
        accepted = self.ledger.accept_and_permit(
            context.new_request, server, now_ms, requested_at_s
        )
        if accepted.is_error() and not isinstance(accepted.error, CommitUnknownError):
            return self._not_accepted(context, accepted.error)
        if accepted.is_error():
            return calls.CommitUnconfirmed()
        if isinstance(accepted.ok, ExistingRequest):
            return reply_to_request(
                context.new_request, accepted.ok.stored_record.record
            )
        return self._store_permission(context, accepted.ok)

    def _not_accepted(self, context: CallContext, error: StepError) -> Reply:
        """Return the reply to a request that was not accepted.

        If its idempotency key was accepted before, the reply states the outcome of the
        earlier request.
        """
        if isinstance(error, KeyReusedError):
            return Reply(ReplyKind.KEY_REUSED, step=error.step, reason=error.reason)
        self._reload_record(context, error)
        if context.refusal is not None:
            return context.refusal
        assert context.stored_record is not None
        return reply_to_request(context.new_request, context.stored_record.record)

    def _on_attempt_committed(
        self, context: CallContext, committed: Result[Permitted, StepError]
    ) -> calls.Event:
        if committed.is_ok():
            return self._store_permission(context, committed.ok)
        if isinstance(committed.error, CommitUnknownError):
            return calls.CommitUnconfirmed()
        self._reload_record(context, committed.error)
        return calls.OwnershipLost()

    def _store_permission(
        self, context: CallContext, permitted: Permitted
    ) -> calls.Event:
        context.stored_record = permitted.stored_record
        context.permission = permitted.permission
        return calls.Committed()

    @_perform.register
    def _(self, action: calls.Send, context: CallContext) -> calls.Event:
        assert context.stored_record is not None
        assert context.permission is not None
        event = context.backend_calls.send(
            context.stored_record.record, context.permission
        )
        if isinstance(event, calls.Answered):
            context.answer = event.answer
        return event

    @_perform.register
    def _(self, action: calls.QueryOutcome, context: CallContext) -> calls.Event:
        assert context.stored_record is not None
        event = context.backend_calls.ask(context.stored_record.record)
        if isinstance(event, calls.QueryExecuted):
            context.answer = event.answer
        if isinstance(event, calls.QueryFailed):
            self.clock.pause(QUERY_RETRY_DELAY_S)
        return event

    @_perform.register
    def _(self, action: calls.CommitAnswer, context: CallContext) -> calls.Event:
        assert context.stored_record is not None
        limit = context.policy.answer_limit_bytes
        now_ms = self.clock.wall_ms()
        event = self._on_end_committed(
            context,
            self.ledger.finish(context.stored_record, action.answer, now_ms, limit),
        )
        if isinstance(event, calls.CommitUnconfirmed):
            self.add_unconfirmed_answer(context.stored_record, action.answer, limit)
        return event

    @_perform.register
    def _(self, action: calls.CommitNotRun, context: CallContext) -> calls.Event:
        assert context.stored_record is not None
        now_ms = self.clock.wall_ms()
        ended = self.ledger.end_not_run(
            context.stored_record, action.proof, action.reason, "dispatch", now_ms
        )
        return self._on_end_committed(context, ended)

    @_perform.register
    def _(self, action: calls.CommitUnknown, context: CallContext) -> calls.Event:
        assert context.stored_record is not None
        now_ms = self.clock.wall_ms()
        ended = self.ledger.end_unknown(
            context.stored_record, action.reason, "dispatch", now_ms
        )
        return self._on_end_committed(context, ended)

    @_perform.register
    def _(self, action: calls.Abandon, context: CallContext) -> calls.Event:
        assert context.record is not None
        reason = "the commit was not confirmed"
        now_ms = self.clock.wall_ms()
        return self._on_end_committed(
            context, self.ledger.abandon(context.record, reason, now_ms)
        )

    def _on_end_committed(
        self, context: CallContext, ended: Result[StoredRecord, StepError]
    ) -> calls.Event:
        if ended.is_ok():
            context.stored_record = ended.ok
            return calls.Committed()
        error = ended.error
        if isinstance(error, RecordConflictError | OwnerFencedError):
            self._reload_record(context, error)
            return calls.OwnershipLost()
        return calls.CommitUnconfirmed()

    def _reload_record(self, context: CallContext, error: StepError) -> None:
        assert context.record is not None
        found = self.ledger.read_record(context.record)
        if found.is_error():
            context.refusal = Reply(
                ReplyKind.OUTCOME_UNKNOWN, step=error.step, reason=error.reason
            )
        elif found.ok is None:
            context.refusal = Reply(
                ReplyKind.NOT_ACCEPTED, step=error.step, reason=error.reason
            )
        else:
            context.stored_record = found.ok

    @_perform.register
    def _(self, action: calls.ReplyRecord, context: CallContext) -> Reply:
        if context.refusal is not None:
            return context.refusal
        if context.stored_record is None:
            return Reply(ReplyKind.OUTCOME_UNKNOWN, step="accept")
        reply = reply_to_request(context.new_request, context.stored_record.record)
        if reply.kind is ReplyKind.ANSWERED and context.answer is not None:
            return Reply(ReplyKind.ANSWERED, answer=context.answer)
        return reply

    @_perform.register
    def _(self, action: calls.ReplyAnswer, context: CallContext) -> Reply:
        return Reply(ReplyKind.ANSWERED, answer=context.answer)

    @_perform.register
    def _(self, action: calls.ReplyUnknown, context: CallContext) -> Reply:
        reason = "the outcome could not be committed"
        return Reply(ReplyKind.OUTCOME_UNKNOWN, step="commit", reason=reason)
