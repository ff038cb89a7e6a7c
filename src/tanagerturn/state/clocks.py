"""The clocks that actors read and pass on."""

from __future__ import annotations

import time

from tanagerturn import clocks


class Clocks:
    """The clocks of this host."""

    def monotonic_s(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds."""
        return clocks.wall_ms()
