"""The present time of an entry process."""

from __future__ import annotations

import time


class SystemClock:
    """Clocks of the host."""

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds."""
        return time.time_ns() // 1_000_000

    def monotonic_s(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def pause(self, seconds: float) -> None:
        """Wait."""
        time.sleep(seconds)
