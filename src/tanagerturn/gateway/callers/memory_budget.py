"""Decides how much memory requests and responses may hold together; no I/O."""

from __future__ import annotations

import math
from enum import Enum
from typing import Final

MIB: Final = 1024 * 1024

DEFAULT_MEMORY_BYTES: Final = 300 * MIB
"""Memory of the host if the settings state none."""

PROCESS_BYTES: Final = 64 * MIB
"""Memory that is left to the process itself: 1.5 times the 40 MB it takes at rest."""

BUDGET_SHARE: Final = 0.5
"""Share of the other memory that the budget gets. The rest is for copies on their way
through the kernel, for the allocator and for the tables of large deployments."""

MIN_BUDGET_BYTES: Final = 16 * MIB
"""Smallest budget; four bodies of the default limit."""

SMALL_BYTES: Final = 64 * 1024
"""Size in bytes up to which a request may use the reserve."""

RATE_WINDOW_S: Final = 0.5
"""Shortest time in seconds over which the progress of a transfer is measured."""

SLOW_BYTES_PER_S: Final = 16 * 1024
"""Progress below which a transfer is refused as soon as another one waits for memory:
the share of 30 transfers of the slowest links, 3.75 Mbit/s."""

PATIENCE_S: Final = 0.5
"""Time in seconds after which a waiting transfer causes the refusal of another one that
makes progress: none has ended meanwhile, so they may all wait for each other."""

MAX_WAIT_S: Final = 2.0
"""Longest time in seconds that a transfer waits for memory in total. Another gateway
serves its caller sooner than a longer wait, and a caller that has disconnected is not
noticed before its bytes have been read."""


class Purpose(Enum):
    """What memory is held for; the value gives two shares of the budget.

    The first one applies to holders of more than `SMALL_BYTES`, the second to the
    others. What lies above the shares of callers is the reserve.
    """

    CALLER = (0.7, 0.85)
    PEER = (0.9, 0.95)
    CONTROL = (0.9, 1.0)
    RESPONSE = (0.95, 0.95)


class Reservation:
    """Memory that one transfer holds.

    Args:
        purpose: What the memory is held for.
        now_s: Current boot-clock time in seconds.
    """

    def __init__(self, purpose: Purpose, now_s: float) -> None:
        self.purpose = purpose
        """What the memory is held for."""
        self.held_bytes = 0
        """Number of bytes held."""
        self.moved_bytes = 0
        """Number of bytes that were received or sent so far."""
        self.is_refusable = True
        """Whether the transfer may be ended to get its memory: not while a request
        runs."""
        self.is_refused = False
        """Whether the transfer was chosen to be ended."""
        self.waits_since_s: float | None = None
        """Boot-clock time in seconds since which the transfer waits for memory; None
        if it does not wait."""
        self._waited_s = 0.0
        self._mark_s = now_s
        self._mark_bytes = 0
        self._last_rate = math.inf

    def on_moved(self, size_bytes: int, now_s: float) -> None:
        """Count bytes that were received or sent."""
        self.moved_bytes += size_bytes
        if now_s - self._mark_s >= RATE_WINDOW_S:
            self._last_rate = self._window_rate(now_s)
            self._mark_s, self._mark_bytes = now_s, self.moved_bytes

    def bytes_per_s(self, now_s: float) -> float:
        """Return the progress in bytes per second; waits for memory don't count.

        Infinite for a transfer that began just now.
        """
        end_s = now_s if self.waits_since_s is None else self.waits_since_s
        if end_s - self._mark_s < RATE_WINDOW_S:
            return self._last_rate
        return self._window_rate(end_s)

    def set_waiting(self, now_s: float, *, is_waiting: bool) -> None:
        """Record that the transfer waits for memory, or no longer does."""
        if is_waiting:
            if self.waits_since_s is None:
                self.waits_since_s = now_s
            return
        if self.waits_since_s is not None:
            self._mark_s += now_s - self.waits_since_s
            self._waited_s += now_s - self.waits_since_s
            self.waits_since_s = None

    def waited_s(self, now_s: float) -> float:
        """Return the total time in seconds for which the transfer has waited."""
        since_s = now_s if self.waits_since_s is None else self.waits_since_s
        return self._waited_s + now_s - since_s

    def _window_rate(self, end_s: float) -> float:
        passed_s = max(RATE_WINDOW_S, end_s - self._mark_s)
        return (self.moved_bytes - self._mark_bytes) / passed_s


class MemoryBudget:
    """Account of the memory that all transfers of a process hold.

    Args:
        size_bytes: Size of the budget in bytes.
    """

    def __init__(self, size_bytes: int) -> None:
        self.size_bytes = size_bytes
        """Size of the budget in bytes."""
        self.used_bytes = 0
        """Number of bytes held by all reservations."""
        self.reservations: dict[Reservation, None] = {}
        """Reservations in force, the oldest first."""

    def __repr__(self) -> str:
        return f"MemoryBudget({self.used_bytes} of {self.size_bytes} bytes)"

    def open(self, purpose: Purpose, now_s: float) -> Reservation:
        """Return a new reservation of no bytes."""
        reservation = Reservation(purpose, now_s)
        self.reservations[reservation] = None
        return reservation

    def hold(self, reservation: Reservation, held_bytes: int) -> bool:
        """Set what a reservation holds; it may be too much, since it is there.

        Returns:
            Whether the transfer may go on.
        """
        if reservation not in self.reservations:
            return False
        self.used_bytes += held_bytes - reservation.held_bytes
        reservation.held_bytes = held_bytes
        return self.may_go_on(reservation)

    def may_go_on(self, reservation: Reservation, planned_bytes: int = 0) -> bool:
        """Return whether a transfer may take more memory.

        One that holds nearly all that is held may always: a request within the limits
        is served when the process is otherwise idle.

        Args:
            reservation: Reservation of the transfer.
            planned_bytes: Number of bytes that others are about to take.
        """
        large_share, small_share = reservation.purpose.value
        is_small = reservation.held_bytes <= SMALL_BYTES
        share = small_share if is_small else large_share
        if self.used_bytes + planned_bytes <= share * self.size_bytes:
            return True
        return not is_small and self.used_bytes - reservation.held_bytes <= SMALL_BYTES

    def release(self, reservation: Reservation) -> None:
        """Remove a reservation; nothing happens if it was removed before."""
        if reservation in self.reservations:
            del self.reservations[reservation]
            self.used_bytes -= reservation.held_bytes
            reservation.held_bytes = 0

    def choose_refused(self, now_s: float) -> list[Reservation]:
        """Return the transfers to refuse, while others wait for memory.

        These are all that waited for too long, and of those that may be refused the
        one that holds most and progresses least, if it hardly progresses or nothing
        else has freed memory for a while.
        """
        waiting = [r for r in self.reservations if r.waits_since_s is not None]
        if not waiting:
            return []
        refusable = [
            r
            for r in self.reservations
            if r.is_refusable and r.held_bytes and not r.is_refused
        ]
        overdue = [
            r
            for r in refusable
            if r.waits_since_s is not None and r.waited_s(now_s) >= MAX_WAIT_S
        ]
        if overdue or not refusable:
            return overdue
        slowest = [r for r in refusable if r.bytes_per_s(now_s) < SLOW_BYTES_PER_S]
        if slowest:
            return [max(slowest, key=lambda r: _cost(r, now_s))]
        worst = max(refusable, key=lambda r: _cost(r, now_s))
        longest_s = max(now_s - (r.waits_since_s or now_s) for r in waiting)
        has_running = any(
            r.held_bytes > SMALL_BYTES and r.waits_since_s is None
            for r in self.reservations
        )
        return [worst] if longest_s >= PATIENCE_S and not has_running else []


def budget_bytes(memory_bytes: int) -> int:
    """Return the size of the budget of a process.

    Args:
        memory_bytes: Memory of the host in bytes.
    """
    return max(MIN_BUDGET_BYTES, int((memory_bytes - PROCESS_BYTES) * BUDGET_SHARE))


def _cost(reservation: Reservation, now_s: float) -> float:
    """Return the bytes held in relation to the progress.

    A transfer that began just now has no measured progress, and its cost is 0.
    """
    rate = reservation.bytes_per_s(now_s)
    return reservation.held_bytes / (rate + SLOW_BYTES_PER_S)
