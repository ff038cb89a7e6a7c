"""Takes over what dead entry hosts left, waits until it is safe, and settles it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from tanagerturn.serving.requests import life
from tanagerturn.serving.requests.layout import record_key
from tanagerturn.serving.requests.permission import settle_not_before
from tanagerturn.serving.requests.takeover import own_records, take_over

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.serving.requests.conduct import Conductor
    from tanagerturn.serving.requests.held import Held


@dataclass(frozen=True)
class Waiting:
    """A record that this process owns and does not work on yet."""

    held: Held
    """The record."""
    not_before_s: float
    """Monotonic clock from which the previous owner can't send any more."""


class Settler:
    """Finds the records that nobody works on; used by one thread.

    Args:
        conductor: Conductor of this process.
        is_running: Tells whether a patient request of a store key runs here.
    """

    def __init__(self, conductor: Conductor, is_running: Callable[[str], bool]) -> None:
        self.conductor = conductor
        """Conductor of this process."""
        self.is_running = is_running
        """Tells whether a patient request of a store key runs here."""
        self.waiting: dict[str, Waiting] = {}
        """Records that wait, by store key."""

    def sweep(self) -> Result[list[Held], StepError]:
        """Take records over and return those that are due.

        Returns:
            Records that this process owns and now has to run again, when they
            may run again, or to settle; or why the store did not answer.
        """
        clock = self.conductor.clock
        ledger = self.conductor.ledger
        ledger.settle_unknown(clock.wall_ms())
        self.conductor.finish_unfinished()
        taken = take_over(ledger, clock.wall_ms())
        if taken.is_error():
            return Error(taken.error)
        # What a lost answer hid, a sweep before or now, is owned and not active.
        owned = own_records(ledger)
        if owned.is_error():
            return Error(owned.error)
        now_s = clock.monotonic_s()
        for held in owned.ok:
            self._wait(held, now_s)
        return Ok(self._due(now_s))

    def _wait(self, held: Held, now_s: float) -> None:
        key = record_key(held.record)
        if self.conductor.is_active(key) or self.is_running(key):
            self.waiting.pop(key, None)
            return
        known = self.waiting.get(key)
        if known is not None and known.held.revision == held.revision:
            return
        safe = life.may_repeat(held.record)
        not_before_s = now_s if safe else settle_not_before(now_s)
        self.waiting[key] = Waiting(held, not_before_s)

    def _due(self, now_s: float) -> list[Held]:
        due = [k for k, w in self.waiting.items() if now_s >= w.not_before_s]
        return [self.waiting.pop(key).held for key in due]
