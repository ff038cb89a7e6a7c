"""Current time on the monotonic clock and the wall clock, passed by callers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Moment:
    """Current time on the monotonic clock and the wall clock."""

    monotonic_s: float
    """Monotonic time in seconds; used for all timeouts and intervals."""
    wall_ms: int
    """Wall-clock time in milliseconds since the Unix epoch; used only to initialize the
    clock of a new group."""
