"""Clocks whose times the actors pass to the replicated log."""

from __future__ import annotations

import time

from tanagerturn import clocks


class Clocks:
    """Monotonic clock and wall clock of this host; a subclass may use other clocks."""

    def monotonic_s(self) -> float:
        """Return the time of the monotonic clock in seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return the time of the wall clock in milliseconds since the Unix epoch."""
        return clocks.wall_ms()
