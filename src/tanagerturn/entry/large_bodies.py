"""Bounds the memory of large request bodies that are handled at once."""

from __future__ import annotations

import threading
from typing import Final

LARGE_BYTES: Final = 64 * 1024
"""Size in bytes from which a body is counted; smaller ones never wait."""

MAX_BYTES: Final = 4 * 1024 * 1024
"""Maximum size in bytes of the large bodies together. A parsed request takes about six
times the size of its body."""

MAX_WAIT_S: Final = 2.0
"""Longest time in seconds that a request waits until others have ended."""


class LargeBodies:
    """The large bodies of the requests that are handled now."""

    def __init__(self) -> None:
        self.total_bytes = 0
        """Size of the large bodies in bytes."""
        self.changed = threading.Condition()
        """Guards `total_bytes`; notified when it becomes less."""

    def take(self, size_bytes: int) -> bool:
        """Count a body, and wait while there are too many; return whether it may run.

        One may run whatever its size if there is no other.
        """
        if size_bytes < LARGE_BYTES:
            return True
        with self.changed:
            if not self.changed.wait_for(lambda: self._fits(size_bytes), MAX_WAIT_S):
                return False
            self.total_bytes += size_bytes
            return True

    def give_back(self, size_bytes: int) -> None:
        """No longer count a body that was taken."""
        if size_bytes < LARGE_BYTES:
            return
        with self.changed:
            self.total_bytes -= size_bytes
            self.changed.notify_all()

    def _fits(self, size_bytes: int) -> bool:
        return not self.total_bytes or self.total_bytes + size_bytes <= MAX_BYTES
