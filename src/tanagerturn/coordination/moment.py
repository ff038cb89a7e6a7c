"""The present time, as it is passed in."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Moment:
    """The present time on both clocks."""

    monotonic_s: float
    """Monotonic clock in seconds; decides all that depends on time."""
    wall_ms: int
    """Wall clock in milliseconds; read once in a group's life."""
