"""Which updates ride on the next packet, and how many bytes may be sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from sortedcontainers import SortedDict

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.schema import membership_pb2 as mpb

UPDATE_OVERHEAD_BYTES: Final = 3
"""Field tag and length of one update in a packet."""

QUEUE_LIMIT: Final = 2000
"""Updates that wait at most; the ones passed on most often are dropped."""


class GossipQueue:
    """Updates to pass on, those passed on least often first.

    Only the newest update of a process waits; each rides a bounded number of
    times.
    """

    def __init__(self) -> None:
        self.order: SortedDict[tuple[int, int], str] = SortedDict()
        """Process by count of copies and age."""
        self.places: dict[str, tuple[int, int]] = {}
        """Place in the order, by process."""
        self.counter = 0
        """Makes places unique."""

    def __len__(self) -> int:
        return len(self.places)

    def add(self, process: str) -> None:
        """Let the newest update of a process ride from now on."""
        self._place(process, 0)
        if len(self.places) > QUEUE_LIMIT:
            _, dropped = self.order.popitem()
            del self.places[dropped]

    def take(
        self, room: int, copies: int, make: Callable[[str], mpb.Update | None]
    ) -> list[mpb.Update]:
        """Return updates for one packet.

        Args:
            room: Bytes that the packet has left.
            copies: How often one update rides.
            make: Returns the newest update of a process.
        """
        updates = []
        for place, process in list(self.order.items()[:64]):
            update = make(process)
            size = update.ByteSize() + UPDATE_OVERHEAD_BYTES if update else 0
            if size > room:
                break
            if update:
                updates.append(update)
                room -= size
            self._remove(process)
            if update and place[0] + 1 < copies:
                self._place(process, place[0] + 1)
        return updates

    def _place(self, process: str, count: int) -> None:
        self._remove(process)
        self.counter += 1
        place = (count, self.counter)
        self.places[process] = place
        self.order[place] = process

    def _remove(self, process: str) -> None:
        place = self.places.pop(process, None)
        if place is not None:
            del self.order[place]


class ByteBudget:
    """A token bucket over sent bytes.

    Args:
        bytes_per_s: Rate at which the bucket fills; it holds what a second gives.
    """

    def __init__(self, bytes_per_s: int) -> None:
        self.bytes_per_s = bytes_per_s
        """Rate at which the bucket fills."""
        self.left = float(bytes_per_s)
        """Bytes that may be sent now; negative after packets that can't wait."""
        self.filled_at_ms: int | None = None
        """When it was last filled."""

    def fill(self, now_ms: int) -> None:
        """Add what the time since the last fill gives."""
        if self.filled_at_ms is not None:
            gained = (now_ms - self.filled_at_ms) * self.bytes_per_s / 1000
            self.left = min(float(self.bytes_per_s), self.left + gained)
        self.filled_at_ms = now_ms

    def spend(self, size: int) -> None:
        """Note sent bytes."""
        self.left = max(-float(self.bytes_per_s), self.left - size)
