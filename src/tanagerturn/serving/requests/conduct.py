"""Carries out calls that may not be repeated, with ports that are passed in.

`call.step` decides; this module does what it says with the ledger and the
wire, one action after the other, and returns what to tell the caller.
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
    RecordMovedError,
)
from tanagerturn.serving.requests.held import Existing, Permitted
from tanagerturn.serving.requests.layout import record_key
from tanagerturn.serving.requests.replies import Reply, ReplyKind, reply_to

if TYPE_CHECKING:
    from expression import Result

    from tanagerturn.schema import serving_pb2 as pb
    from tanagerturn.serving.requests.held import Held, NewRequest
    from tanagerturn.serving.requests.ledger import RequestLedger
    from tanagerturn.serving.requests.permission import Permission
    from tanagerturn.serving.requests.ports import CallPolicy, Clock, Wire

QUERY_PAUSE_S: Final = 0.2
"""Wait between outcome queries, in seconds; doubled each time."""


@dataclass
class Work:
    """One call while it is carried out."""

    policy: CallPolicy
    """What the settings say."""
    wire: Wire
    """Calls to the backend servers."""
    new: NewRequest | None = None
    """The request, when this process accepted it."""
    record: pb.RequestRecord | None = None
    """The record that the first commit was to write."""
    held: Held | None = None
    """The record as this process last stored or read it."""
    permission: Permission | None = None
    """Permission for the attempt."""
    answer: pb.Answer | None = None
    """The answer, once it is known."""
    refusal: Reply | None = None
    """Reply that goes before what the record says."""


class Conductor:
    """Carries out calls that may not be repeated; safe for several threads.

    Args:
        ledger: Ledger of this process.
        clock: The present time.
    """

    def __init__(self, ledger: RequestLedger, clock: Clock) -> None:
        self.ledger = ledger
        """Ledger of this process."""
        self.clock = clock
        """The present time."""
        self.active: set[str] = set()
        """Store keys of the records that a thread of this process works on."""
        self.unfinished: dict[str, tuple[Held, pb.Answer, int]] = {}
        """Answers whose commit is not confirmed, with their size limit."""
        self.lock = threading.Lock()
        """Guards `active` and `unfinished`."""

    def run(self, new: NewRequest, policy: CallPolicy, wire: Wire) -> Reply:
        """Accept a request and carry it out.

        Args:
            new: The request, of a kind that may not be repeated.
            policy: What the settings say about it.
            wire: Its calls to the backend servers.
        """
        work = Work(policy, wire, new=new)
        work.record = self.ledger.make_record(new, self.clock.wall_ms())
        first = calls.open_call(policy.tries, policy.has_query)
        return self._conduct(record_key(work.record), work, first)

    def settle(self, held: Held, policy: CallPolicy, wire: Wire) -> Reply:
        """Settle a request that a dead process may have sent.

        The caller waits until the permission of the dead process has ended.
        """
        work = Work(policy, wire, record=held.record, held=held)
        first = calls.settle_call(policy.has_query)
        return self._conduct(record_key(held.record), work, first)

    def keep_unfinished(self, held: Held, answer: pb.Answer, limit_bytes: int) -> None:
        """Remember an answer whose commit is not confirmed."""
        with self.lock:
            self.unfinished[record_key(held.record)] = (held, answer, limit_bytes)

    def finish_unfinished(self) -> int:
        """Try again to commit answers; return how many are left."""
        with self.lock:
            waiting = list(self.unfinished.items())
        for key, (held, answer, limit) in waiting:
            done = self.ledger.finish(held, answer, self.clock.wall_ms(), limit)
            if done.is_error() and isinstance(done.error, CommitUnknownError):
                continue
            with self.lock:
                self.unfinished.pop(key, None)
        with self.lock:
            return len(self.unfinished)

    def is_active(self, key: str) -> bool:
        """Tell whether this process works on the record now."""
        with self.lock:
            return key in self.active or key in self.unfinished

    def _conduct(self, key: str, work: Work, first: calls.Step) -> Reply:
        with self.lock:
            if key in self.active:
                return Reply(ReplyKind.RUNNING)
            self.active.add(key)
        try:
            call, action = first
            while True:
                outcome = self._carry_out(action, work)
                if isinstance(outcome, Reply):
                    return outcome
                call, action = calls.step(outcome, call)
        finally:
            with self.lock:
                self.active.discard(key)

    @singledispatchmethod
    def _carry_out(self, action: object, work: Work) -> calls.Event | Reply:
        raise TypeError(f"not an action: {action!r}")

    @_carry_out.register
    def _(self, action: calls.CommitAttempt, work: Work) -> calls.Event | Reply:
        assert work.record is not None
        server = work.wire.choose(work.held.record if work.held else work.record)
        if not server and work.held is None:
            reason = "no backend server is up"
            return self._not_accepted(work, StepError("choose", "", reason))
        if not server:
            return calls.NoServer()
        asked_at_s = self.clock.monotonic_s()
        now_ms = self.clock.wall_ms()
        if work.held is not None:
            again = self.ledger.permit_again(
                work.held, True, server, now_ms, asked_at_s
            )
            return self._attempt_committed(work, again)
        assert work.new is not None
        accepted = self.ledger.accept_and_permit(work.new, server, now_ms, asked_at_s)
        if accepted.is_error() and not isinstance(accepted.error, CommitUnknownError):
            return self._not_accepted(work, accepted.error)
        if accepted.is_error():
            return calls.CommitLost()
        if isinstance(accepted.ok, Existing):
            return reply_to(work.new, accepted.ok.held.record)
        return self._permitted(work, accepted.ok)

    def _not_accepted(self, work: Work, error: StepError) -> Reply:
        """Refuse a request, unless its key was accepted at another time."""
        if isinstance(error, KeyReusedError):
            return Reply(ReplyKind.KEY_REUSED, step=error.step, reason=error.reason)
        self._read_again(work, error)
        if work.refusal is not None:
            return work.refusal
        assert work.held is not None
        return reply_to(work.new, work.held.record)

    def _attempt_committed(
        self, work: Work, committed: Result[Permitted, StepError]
    ) -> calls.Event:
        if committed.is_ok():
            return self._permitted(work, committed.ok)
        if isinstance(committed.error, CommitUnknownError):
            return calls.CommitLost()
        self._read_again(work, committed.error)
        return calls.Displaced()

    def _permitted(self, work: Work, permitted: Permitted) -> calls.Event:
        work.held = permitted.held
        work.permission = permitted.permission
        return calls.Committed()

    @_carry_out.register
    def _(self, action: calls.Send, work: Work) -> calls.Event:
        assert work.held is not None
        assert work.permission is not None
        event = work.wire.send(work.held.record, work.permission)
        if isinstance(event, calls.Answered):
            work.answer = event.answer
        return event

    @_carry_out.register
    def _(self, action: calls.AskOutcome, work: Work) -> calls.Event:
        assert work.held is not None
        event = work.wire.ask(work.held.record)
        if isinstance(event, calls.QueryRan):
            work.answer = event.answer
        if isinstance(event, calls.QueryFailed):
            self.clock.pause(QUERY_PAUSE_S)
        return event

    @_carry_out.register
    def _(self, action: calls.CommitAnswer, work: Work) -> calls.Event:
        assert work.held is not None
        limit = work.policy.answer_limit_bytes
        now_ms = self.clock.wall_ms()
        event = self._end(
            work, self.ledger.finish(work.held, action.answer, now_ms, limit)
        )
        if isinstance(event, calls.CommitLost):
            self.keep_unfinished(work.held, action.answer, limit)
        return event

    @_carry_out.register
    def _(self, action: calls.CommitNotRun, work: Work) -> calls.Event:
        assert work.held is not None
        now_ms = self.clock.wall_ms()
        ended = self.ledger.not_run(
            work.held, action.proof, action.reason, "dispatch", now_ms
        )
        return self._end(work, ended)

    @_carry_out.register
    def _(self, action: calls.CommitUnknown, work: Work) -> calls.Event:
        assert work.held is not None
        now_ms = self.clock.wall_ms()
        ended = self.ledger.lose_track(work.held, action.reason, "dispatch", now_ms)
        return self._end(work, ended)

    @_carry_out.register
    def _(self, action: calls.Abandon, work: Work) -> calls.Event:
        assert work.record is not None
        reason = "the commit was not confirmed"
        now_ms = self.clock.wall_ms()
        return self._end(work, self.ledger.abandon(work.record, reason, now_ms))

    def _end(self, work: Work, ended: Result[Held, StepError]) -> calls.Event:
        if ended.is_ok():
            work.held = ended.ok
            return calls.Committed()
        error = ended.error
        if isinstance(error, RecordMovedError | OwnerFencedError):
            self._read_again(work, error)
            return calls.Displaced()
        return calls.CommitLost()

    def _read_again(self, work: Work, error: StepError) -> None:
        assert work.record is not None
        found = self.ledger.read_record(work.record)
        if found.is_error():
            work.refusal = Reply(
                ReplyKind.OUTCOME_UNKNOWN, step=error.step, reason=error.reason
            )
        elif found.ok is None:
            work.refusal = Reply(
                ReplyKind.NOT_ACCEPTED, step=error.step, reason=error.reason
            )
        else:
            work.held = found.ok

    @_carry_out.register
    def _(self, action: calls.ReplyRecord, work: Work) -> Reply:
        if work.refusal is not None:
            return work.refusal
        if work.held is None:
            return Reply(ReplyKind.OUTCOME_UNKNOWN, step="accept")
        reply = reply_to(work.new, work.held.record)
        if reply.kind is ReplyKind.ANSWERED and work.answer is not None:
            return Reply(ReplyKind.ANSWERED, answer=work.answer)
        return reply

    @_carry_out.register
    def _(self, action: calls.ReplyAnswer, work: Work) -> Reply:
        return Reply(ReplyKind.ANSWERED, answer=work.answer)

    @_carry_out.register
    def _(self, action: calls.ReplyUnknown, work: Work) -> Reply:
        reason = "the outcome could not be committed"
        return Reply(ReplyKind.OUTCOME_UNKNOWN, step="commit", reason=reason)
