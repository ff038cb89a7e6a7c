"""Budget of the weight store: loads at once, spread in time, and refusals."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

LOADS_AT_ONCE: Final = 2
SAME_WEIGHTS_SPACING_MS: Final = 5_000
"""Loads of the same weights start this far apart."""

URGENT_RESERVE: Final = 1
"""Loads at once that only urgent services may use."""

REFUSED_PAUSE_MS: Final = 2_000
REFUSED_PAUSE_MAX_MS: Final = 120_000
JITTER_SHARE: Final = 0.25


@dataclass(frozen=True)
class WeightsName:
    """What is loaded from the weight store."""

    model: str
    """Model."""
    version: str
    """Version."""
    adapter: str = ""
    """Adapter; empty for the model itself."""


class WeightBudget:
    """One budget of loads for all engines.

    Args:
        loads_at_once: Loads that the weight store takes at a time.
    """

    def __init__(self, loads_at_once: int = LOADS_AT_ONCE) -> None:
        self.loads_at_once = loads_at_once
        """Loads that the weight store takes at a time."""
        self.started_ms: dict[WeightsName, int] = {}
        """Last start of a load, by weights."""
        self.refusals: dict[WeightsName, int] = {}
        """Refused loads since the last one that ended well, by weights."""
        self.paused_until_ms: dict[WeightsName, int] = {}
        """Weights that aren't loaded before a time."""

    def why_not(
        self, weights: WeightsName, loading: int, urgent: bool, now_ms: int
    ) -> str:
        """Return why a load may not start now, or an empty text.

        Args:
            weights: What would be loaded.
            loading: Loads that run now.
            urgent: The load is for an urgent service.
            now_ms: Present time.
        """
        if now_ms < self.paused_until_ms.get(weights, 0):
            return "these weights were refused lately"
        room = self.loads_at_once
        if not urgent and room > URGENT_RESERVE:
            room -= URGENT_RESERVE
        if loading >= room:
            return f"{loading} loads run already"
        started_ms = self.started_ms.get(weights)
        if started_ms is not None and now_ms < started_ms + SAME_WEIGHTS_SPACING_MS:
            return "the same weights began to load just now"
        return ""

    def on_started(self, weights: WeightsName, now_ms: int) -> None:
        """Note that a load starts."""
        self.started_ms[weights] = now_ms

    def on_ended(
        self, weights: WeightsName, done: bool, now_ms: int, random: Random
    ) -> None:
        """Note that a load ended; each failure in a row pauses for longer."""
        if done:
            self.refusals.pop(weights, None)
            return
        refusals = self.refusals.get(weights, 0)
        self.refusals[weights] = refusals + 1
        pause_ms = min(REFUSED_PAUSE_MAX_MS, REFUSED_PAUSE_MS << min(refusals, 10))
        jitter = 1.0 + JITTER_SHARE * random.uniform(-1.0, 1.0)
        self.paused_until_ms[weights] = now_ms + int(pause_ms * jitter)
