"""Selects records of dead entry hosts for settlement once that is safe.

A record that may not be repeated is returned only after every permission of its
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
    """A record that this process owns and does not process yet."""

    held: StoredRecord
    """The record."""
    not_before_s: float
    """Monotonic clock in seconds from which the previous owner can no longer send."""


class Settler:
    """Finds records that no thread processes; used by one thread.

    Args:
        call_executor: Executor of the calls of this process.
        is_running: Returns whether the patient request with a store key is running in
            this process.
    """

    def __init__(
        self, call_executor: CallExecutor, is_running: Callable[[str], bool]
    ) -> None:
        self.call_executor = call_executor
        """Executor of the calls of this process."""
        self.is_running = is_running
        """Returns whether the patient request with a store key is running here."""
        self.waiting: dict[str, PendingRecord] = {}
        """Records that are not due yet, by store key."""

    def sweep(self) -> Result[list[StoredRecord], StepError]:
        """Take over records of dead owners and return the records that are due.

        Returns:
            Records that this process owns and now has to run again, if they are
            repeatable, or to settle; or why the store did not answer.
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
            self.waiting.pop(key, None)
            return
        known = self.waiting.get(key)
        if known is not None and known.held.revision == held.revision:
            return
        safe = lifecycle.is_repeatable(held.record)
        not_before_s = now_s if safe else earliest_settlement_s(now_s)
        self.waiting[key] = PendingRecord(held, not_before_s)

    def _due(self, now_s: float) -> list[StoredRecord]:
        due = [k for k, w in self.waiting.items() if now_s >= w.not_before_s]
        return [self.waiting.pop(key).held for key in due]
