"""The present time of an entry process."""

from __future__ import annotations

import time

from tanagerturn.clocks import wall_ms


class SystemClock:
    """Clocks of the host."""

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds."""
        return wall_ms()

    def monotonic_s(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def pause(self, seconds: float) -> None:
        """Wait."""
        time.sleep(seconds)
