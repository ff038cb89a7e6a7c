"""Queue of updates to piggyback on packets, and the budget of sent bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from sortedcontainers import SortedDict

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.schema import membership_pb2 as mpb

UPDATE_OVERHEAD_BYTES: Final = 3
"""Size of the field tag and length of one update in a packet."""

QUEUE_LIMIT: Final = 2000
"""Most queued updates; the most often sent ones are dropped first."""


class GossipQueue:
    """Updates to send, least often sent first.

    Only the newest update of a process is queued; each is sent a limited number of
    times.
    """

    def __init__(self) -> None:
        self.order: SortedDict[tuple[int, int], str] = SortedDict()
        """Processes by number of times sent, then by age."""
        self.keys: dict[str, tuple[int, int]] = {}
        """Key in `order` by process."""
        self.last_number = 0
        """Last number used to make keys unique."""

    def __len__(self) -> int:
        return len(self.keys)

    def add(self, process: str) -> None:
        """Queue the newest update of a process, as not sent yet."""
        self._insert(process, 0)
        if len(self.keys) > QUEUE_LIMIT:
            _, dropped = self.order.popitem()
            del self.keys[dropped]

    def take(
        self,
        free_bytes: int,
        copies: int,
        make_update: Callable[[str], mpb.Update | None],
    ) -> list[mpb.Update]:
        """Return updates for one packet.

        Args:
            free_bytes: Free bytes in the packet.
            copies: Number of times one update is sent.
            make_update: Returns the newest update of a process, None if it is unknown.
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
            if update and key[0] + 1 < copies:
                self._insert(process, key[0] + 1)
        return updates

    def _insert(self, process: str, times_sent: int) -> None:
        self._remove(process)
        self.last_number += 1
        key = (times_sent, self.last_number)
        self.keys[process] = key
        self.order[key] = process

    def _remove(self, process: str) -> None:
        key = self.keys.pop(process, None)
        if key is not None:
            del self.order[key]


class ByteBudget:
    """Token bucket that limits sent bytes.

    Args:
        bytes_per_s: Fill rate; the capacity is the bytes of one second.
    """

    def __init__(self, bytes_per_s: int) -> None:
        self.bytes_per_s = bytes_per_s
        """Fill rate in bytes per second."""
        self.available = float(bytes_per_s)
        """Bytes that may be sent now; negative after packets that can't be deferred."""
        self.filled_at_ms: int | None = None
        """Time of the last fill in milliseconds, or None before the first."""

    def fill(self, now_ms: int) -> None:
        """Add the bytes for the time since the last fill."""
        if self.filled_at_ms is not None:
            gained = (now_ms - self.filled_at_ms) * self.bytes_per_s / 1000
            self.available = min(float(self.bytes_per_s), self.available + gained)
        self.filled_at_ms = now_ms

    def spend(self, size: int) -> None:
        """Subtract sent bytes."""
        self.available = max(-float(self.bytes_per_s), self.available - size)
