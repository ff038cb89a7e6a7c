"""Lets transfers wait for memory, and refuses those that the budget chooses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.logs import component_log
from tanagerturn.shared.heap import trim_heap

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.gateway.callers.memory_budget import (
        MemoryBudget,
        Purpose,
        Reservation,
    )

CHECK_INTERVAL_S: Final = 0.1
"""Interval in seconds at which transfers are refused while others wait."""

LOG_INTERVAL_S: Final = 1.0
"""Shortest interval in seconds between two log lines of one kind of refusal."""

TRIM_SHARE: Final = 0.1
"""Share of the budget that has to be freed before the heap is trimmed."""

TRIM_INTERVAL_S: Final = 1.0
"""Interval in seconds between two trims; one takes some milliseconds."""

TRIM_TIME_S: Final = 4.0
"""Time in seconds for which the heap is trimmed after memory was freed: buffers of
refused callers stay open for some seconds, and keep the heap from shrinking."""

STEP_BYTES: Final = 64 * 1024
"""Number of bytes that a transfer which goes on is expected to take before the next
release of memory."""

log = component_log("memory")


class MemoryRefused(Exception):
    """Raised where a transfer waits, when it is refused for want of memory."""


class RefusalLog:
    """Counts refusals by kind, and logs each kind at most once per interval."""

    def __init__(self) -> None:
        self.on_refused: Callable[[str], None] = lambda kind: None
        """Called with the kind of each refusal, for the metrics."""
        self.counts: dict[str, int] = {}
        """Number of refusals since the last line, by kind."""
        self.logged_s: dict[str, float] = {}
        """Boot-clock time in seconds of the last line, by kind."""

    def add(self, kind: str, now_s: float, **fields: object) -> None:
        """Count a refusal, and log it unless its kind was logged just now."""
        self.on_refused(kind)
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if now_s - self.logged_s.get(kind, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self.logged_s[kind] = now_s
        count, self.counts[kind] = self.counts[kind], 0
        log.warning("overload_refused", kind=kind, count=count, **fields)


class MemoryGate:
    """The memory budget of a process, and the transfers that wait for it.

    Args:
        budget: The account.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        """The account."""
        self.refusals = RefusalLog()
        """Counts and logs refusals."""
        self.waiters: dict[Reservation, asyncio.Future[bool]] = {}
        """Transfers that wait for memory; the result is whether they may go on. An
        exception would keep the buffers of the frames that it passed."""
        self.refusers: dict[Reservation, Callable[[], None]] = {}
        """Called to refuse a transfer that does not wait for memory."""
        self.timer: asyncio.TimerHandle | None = None
        """Next check while transfers wait; None if none does."""
        self.trim_timer: asyncio.TimerHandle | None = None
        """Next trim of the heap; None if none is due."""
        self.freed_bytes = 0
        """Number of bytes released since trims of the heap were last planned."""
        self.trims_until_s = 0.0
        """Boot-clock time in seconds until which the heap is trimmed repeatedly."""

    def open(self, purpose: Purpose, refuse: Callable[[], None]) -> Reservation:
        """Return a new reservation.

        Args:
            purpose: What the memory is held for.
            refuse: Ends the transfer; called while it does not wait for memory.
        """
        reservation = self.budget.open(purpose, boot_s())
        self.refusers[reservation] = refuse
        return reservation

    def hold(self, reservation: Reservation, held_bytes: int, moved: int) -> bool:
        """Set what a transfer holds.

        Args:
            reservation: Reservation of the transfer.
            held_bytes: Number of bytes that it holds now.
            moved: Number of bytes that it has received since the last call.

        Returns:
            Whether it may go on; else it has to `wait`.
        """
        reservation.on_moved(moved, boot_s())
        is_less = held_bytes < reservation.held_bytes
        may_go_on = self.budget.hold(reservation, held_bytes)
        if is_less:
            self._wake()
        return may_go_on

    async def wait(self, reservation: Reservation) -> None:
        """Wait until a transfer may take more memory.

        Raises:
            MemoryRefused: The transfer is refused.
        """
        if reservation.is_refused:
            # It was refused as it was about to wait.
            raise MemoryRefused
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[bool] = loop.create_future()
        self.waiters[reservation] = waiter
        reservation.set_waiting(boot_s(), is_waiting=True)
        if self.timer is None:
            self.timer = loop.call_later(CHECK_INTERVAL_S, self._check)
        try:
            if not await waiter:
                raise MemoryRefused
        finally:
            self.waiters.pop(reservation, None)
            reservation.set_waiting(boot_s(), is_waiting=False)

    def interrupt(self, reservation: Reservation) -> None:
        """End the wait of a transfer, if it waits for memory."""
        waiter = self.waiters.get(reservation)
        if waiter is not None and not waiter.done():
            waiter.set_result(False)

    def resume(self, reservation: Reservation) -> None:
        """End the wait of a transfer whose peer sends no more."""
        waiter = self.waiters.get(reservation)
        if waiter is not None and not waiter.done():
            waiter.set_result(True)

    def release(self, reservation: Reservation) -> None:
        """Release what a transfer holds, and let others go on."""
        self.freed_bytes += reservation.held_bytes
        self.refusers.pop(reservation, None)
        self.budget.release(reservation)
        self._wake()
        if self.freed_bytes >= TRIM_SHARE * self.budget.size_bytes:
            self.freed_bytes = 0
            self.trims_until_s = boot_s() + TRIM_TIME_S
            if self.trim_timer is None:
                self._plan_trim()

    def _wake(self) -> None:
        """Let the transfers go on that may, the oldest first, so that some end."""
        planned_bytes = 0
        if not self.waiters:
            return
        for reservation in self.budget.reservations:
            waiter = self.waiters.get(reservation)
            if waiter is None or waiter.done():
                continue
            if self.budget.may_go_on(reservation, planned_bytes):
                planned_bytes += STEP_BYTES
                waiter.set_result(True)

    def _check(self) -> None:
        self.timer = None
        now_s = boot_s()
        for reservation in self.budget.choose_refused(now_s):
            self.refusals.add(
                f"memory_{reservation.purpose.name.lower()}",
                now_s,
                held_bytes=reservation.held_bytes,
                used_bytes=self.budget.used_bytes,
                budget_bytes=self.budget.size_bytes,
                waited=reservation.waits_since_s is not None,
            )
            reservation.is_refused = True
            if reservation in self.waiters:
                self.interrupt(reservation)
            else:
                self.refusers[reservation]()
        if self.waiters:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _trim(self) -> None:
        self.trim_timer = None
        trim_heap()
        if boot_s() < self.trims_until_s:
            self._plan_trim()

    def _plan_trim(self) -> None:
        loop = asyncio.get_running_loop()
        self.trim_timer = loop.call_later(TRIM_INTERVAL_S, self._trim)
