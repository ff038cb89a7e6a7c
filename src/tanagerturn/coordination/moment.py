"""Current time on the monotonic and the wall clock, passed in by callers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Moment:
    """Current time on both clocks."""

    monotonic_s: float
    """Monotonic clock in seconds; used for all timeouts and intervals."""
    wall_ms: int
    """Wall clock in milliseconds; used only to initialize the clock of a new group."""
