"""Functions that read the system clocks.

Actors and transports call them and pass the time to the code that decides, which reads
no clock itself.
"""

from __future__ import annotations

import time


def wall_ms() -> int:
    """Return the wall clock time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


def monotonic_ms() -> int:
    """Return the monotonic clock in milliseconds; it stops during suspension."""
    return time.monotonic_ns() // 1_000_000


def boot_s() -> float:
    """Return the time since the host's boot in seconds, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def to_ms(seconds: float) -> int:
    """Convert seconds to whole milliseconds, rounded towards zero."""
    return int(seconds * 1000)
