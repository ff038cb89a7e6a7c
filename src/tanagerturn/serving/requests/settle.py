"""Selects records of dead owners to run or to settle, once that is safe.

A record of a non-repeatable request is selected only after every permission of its
previous owner has expired.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from tanagerturn.serving.requests import lifecycle
from tanagerturn.serving.requests.layout import record_key
from tanagerturn.serving.requests.permission import earliest_settlement_s
from tanagerturn.serving.requests.takeover import own_open_records, take_over

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.serving.requests.executor import CallExecutor
    from tanagerturn.serving.requests.stored import StoredRecord


@dataclass(frozen=True)
class PendingRecord:
    """A record that this process owns but does not process yet."""

    stored_record: StoredRecord
    """The record."""
    not_before_s: float
    """Monotonic time in seconds from which the previous owner can no longer send."""


class Settler:
    """Finds records that no thread processes; must be used by one thread only.

    Args:
        call_executor: Executor of the calls of this process.
        is_running: Returns whether this process runs the patient request of the record
            with a store key.
    """

    def __init__(
        self, call_executor: CallExecutor, is_running: Callable[[str], bool]
    ) -> None:
        self.call_executor = call_executor
        """Executor of the calls of this process."""
        self.is_running = is_running
        """Returns whether this process runs the patient request with a store key."""
        self.pending: dict[str, PendingRecord] = {}
        """Records that this process must not process yet, by store key."""

    def sweep(self) -> Result[list[StoredRecord], StepError]:
        """Take over the records of dead owners and return the records that are due.

        Returns:
            Records that this process owns and has to run again if they are repeatable,
            and otherwise to settle; or the error of a read from the store.
        """
        clock = self.call_executor.clock
        ledger = self.call_executor.ledger
        ledger.settle_unconfirmed(clock.wall_ms())
        self.call_executor.retry_unconfirmed_answers()
        taken = take_over(ledger, clock.wall_ms())
        if taken.is_error():
            return Error(taken.error)
        # A takeover whose response was lost, in this sweep or an earlier one, left a
        # record that this process owns but that no thread processes.
        owned = own_open_records(ledger)
        if owned.is_error():
            return Error(owned.error)
        now_s = clock.monotonic_s()
        for held in owned.ok:
            self._track(held, now_s)
        return Ok(self._due(now_s))

    def _track(self, held: StoredRecord, now_s: float) -> None:
        key = record_key(held.record)
        if self.call_executor.is_active(key) or self.is_running(key):
            self.pending.pop(key, None)
            return
        known = self.pending.get(key)
        if known is not None and known.stored_record.revision == held.revision:
            return
        is_repeatable = lifecycle.is_repeatable(held.record)
        not_before_s = now_s if is_repeatable else earliest_settlement_s(now_s)
        self.pending[key] = PendingRecord(held, not_before_s)

    def _due(self, now_s: float) -> list[StoredRecord]:
        due = [k for k, p in self.pending.items() if now_s >= p.not_before_s]
        return [self.pending.pop(key).stored_record for key in due]
