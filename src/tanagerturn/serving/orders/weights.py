"""Load budget of the weight store: concurrency, spacing and pauses after failures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

MAX_CONCURRENT_LOADS: Final = 2
"""Default maximum number of concurrent loads from the weight store."""

SAME_WEIGHTS_SPACING_MS: Final = 5_000
"""Minimum time in milliseconds between the starts of two loads of the same weights."""

URGENT_RESERVED_LOADS: Final = 1
"""Number of concurrent loads that are reserved for urgent services."""

INITIAL_PAUSE_MS: Final = 2_000
"""Pause in milliseconds after a first failed load; each consecutive one doubles it."""

MAX_PAUSE_MS: Final = 120_000
"""Longest pause before jitter, in milliseconds."""

JITTER_SHARE: Final = 0.25
"""Largest share by which a pause is lengthened or shortened at random."""


@dataclass(frozen=True)
class WeightsName:
    """Name of weights in the weight store."""

    model: str
    """Name of the model."""
    version: str
    """Version of the model."""
    adapter: str = ""
    """Name of the adapter; empty for the weights of the model itself."""


class WeightBudget:
    """Limits the loads of all engines from the weight store.

    Args:
        max_concurrent_loads: Number of loads that the weight store accepts
            concurrently.
    """

    def __init__(self, max_concurrent_loads: int = MAX_CONCURRENT_LOADS) -> None:
        self.max_concurrent_loads = max_concurrent_loads
        """Number of loads that the weight store accepts concurrently."""
        self.last_started_ms: dict[WeightsName, int] = {}
        """Time in milliseconds at which the last load of each weights started."""
        self.failed_loads: dict[WeightsName, int] = {}
        """Number of consecutive failed loads of each weights."""
        self.paused_until_ms: dict[WeightsName, int] = {}
        """Time in milliseconds before which weights are not loaded after a failure."""

    def blocking_reason(
        self, weights: WeightsName, active_loads: int, urgent: bool, now_ms: int
    ) -> str:
        """Return why a load may not start now; empty if it may.

        Args:
            weights: Weights to load.
            active_loads: Number of loads in progress, of any weights.
            urgent: Whether the load is for an urgent service.
            now_ms: Current time in milliseconds.
        """
        if now_ms < self.paused_until_ms.get(weights, 0):
            return "these weights were refused lately"
        limit = self.max_concurrent_loads
        if not urgent and limit > URGENT_RESERVED_LOADS:
            limit -= URGENT_RESERVED_LOADS
        if active_loads >= limit:
            return f"{active_loads} loads run already"
        last_started_ms = self.last_started_ms.get(weights)
        if (
            last_started_ms is not None
            and now_ms < last_started_ms + SAME_WEIGHTS_SPACING_MS
        ):
            return "the same weights began to load just now"
        return ""

    def on_started(self, weights: WeightsName, now_ms: int) -> None:
        """Record that a load of weights started at `now_ms`."""
        self.last_started_ms[weights] = now_ms

    def on_ended(
        self, weights: WeightsName, done: bool, now_ms: int, random: Random
    ) -> None:
        """Record the end of a load; each consecutive failure lengthens the pause.

        Args:
            weights: The weights.
            done: Whether they were loaded.
            now_ms: Current time in milliseconds.
            random: Source of the jitter of the pause.
        """
        if done:
            self.failed_loads.pop(weights, None)
            return
        failed_count = self.failed_loads.get(weights, 0)
        self.failed_loads[weights] = failed_count + 1
        pause_ms = min(MAX_PAUSE_MS, INITIAL_PAUSE_MS << min(failed_count, 10))
        jitter = 1.0 + JITTER_SHARE * random.uniform(-1.0, 1.0)
        self.paused_until_ms[weights] = now_ms + int(pause_ms * jitter)
