"""Queue of member updates to piggyback on packets, and the budget of sent bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from sortedcontainers import SortedDict

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.schema import membership_pb2 as mpb

UPDATE_OVERHEAD_BYTES: Final = 3
"""Size of the field tag and length prefix of one update in a packet, in bytes."""

QUEUE_LIMIT: Final = 2000
"""Largest number of queued updates; those sent most often are dropped first."""


class GossipQueue:
    """Processes whose updates are to be sent, least often sent first.

    Each process is queued once; its newest update is made when a packet is filled and
    is sent a limited number of times.
    """

    def __init__(self) -> None:
        self.order: SortedDict[tuple[int, int], str] = SortedDict()
        """Process ids by the number of times sent, then in the order of insertion."""
        self.key_by_process: dict[str, tuple[int, int]] = {}
        """Key in `order` by process id."""
        self.last_number = 0
        """Last insertion number; it makes the keys in `order` unique."""

    def __len__(self) -> int:
        return len(self.key_by_process)

    def add(self, process: str) -> None:
        """Queue the update of a process, with zero times sent."""
        self._insert(process, 0)
        if len(self.key_by_process) > QUEUE_LIMIT:
            _, dropped = self.order.popitem()
            del self.key_by_process[dropped]

    def take(
        self,
        free_bytes: int,
        max_sends: int,
        make_update: Callable[[str], mpb.Update | None],
    ) -> list[mpb.Update]:
        """Return updates for one packet.

        Args:
            free_bytes: Free bytes in the packet.
            max_sends: Largest number of packets in which one update is sent.
            make_update: Returns the newest update of a process; None if the process is
                not in the member table.
        """
        updates = []
        for key, process in list(self.order.items()[:64]):
            update = make_update(process)
            size = update.ByteSize() + UPDATE_OVERHEAD_BYTES if update else 0
            if size > free_bytes:
                break
            if update:
                updates.append(update)
                free_bytes -= size
            self._remove(process)
            if update and key[0] + 1 < max_sends:
                self._insert(process, key[0] + 1)
        return updates

    def _insert(self, process: str, times_sent: int) -> None:
        self._remove(process)
        self.last_number += 1
        key = (times_sent, self.last_number)
        self.key_by_process[process] = key
        self.order[key] = process

    def _remove(self, process: str) -> None:
        key = self.key_by_process.pop(process, None)
        if key is not None:
            del self.order[key]


class ByteBudget:
    """Token bucket that limits sent bytes.

    Args:
        bytes_per_s: Fill rate in bytes per second; the capacity is one second's bytes.
    """

    def __init__(self, bytes_per_s: int) -> None:
        self.bytes_per_s = bytes_per_s
        """Fill rate in bytes per second; also the capacity in bytes."""
        self.available_bytes = float(bytes_per_s)
        """Bytes that may be sent now; negative after packets that can't be deferred."""
        self.filled_at_ms: int | None = None
        """Monotonic time of the last fill in milliseconds; None before the first."""

    def fill(self, now_ms: int) -> None:
        """Add the bytes for the time since the last fill."""
        if self.filled_at_ms is not None:
            gained = (now_ms - self.filled_at_ms) * self.bytes_per_s / 1000
            self.available_bytes = min(
                float(self.bytes_per_s), self.available_bytes + gained
            )
        self.filled_at_ms = now_ms

    def spend(self, size: int) -> None:
        """Subtract the bytes of a sent packet."""
        self.available_bytes = max(
            -float(self.bytes_per_s), self.available_bytes - size
        )
