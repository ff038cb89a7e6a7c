"""Clock of an entry process."""

from __future__ import annotations

import time

from tanagerturn.clocks import wall_ms


class SystemClock:
    """Reads the clocks of the host."""

    def wall_ms(self) -> int:
        """Return the wall clock time in milliseconds since the Unix epoch."""
        return wall_ms()

    def monotonic_s(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def pause(self, seconds: float) -> None:
        """Block the calling thread for a number of seconds."""
        time.sleep(seconds)
