"""The clocks that actors and transport read and pass on to decisions."""

from __future__ import annotations

import time


def wall_ms() -> int:
    """Return the wall clock in milliseconds."""
    return time.time_ns() // 1_000_000


def monotonic_ms() -> int:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def boot_s() -> float:
    """Return the clock since the host's boot in seconds; it counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def to_ms(seconds: float) -> int:
    """Return a time in whole milliseconds."""
    return int(seconds * 1000)
