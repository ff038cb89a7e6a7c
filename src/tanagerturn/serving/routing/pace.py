"""How much slower than expected an engine is; pure.

Answers the pattern of one engine that works several times as long as the others,
though it is healthy and tells a usual load: what its first events took is compared
with what was expected, and the expectation for the next ones grows with it.
"""

from __future__ import annotations

import math
from typing import Final

TOLERATED: Final = 2.0
"""Multiple of the expected time that says nothing: requests of other gateways that
are not known yet take their turns, too."""

LEARNED_SHARE: Final = 0.3
"""Weight of one first event against those before."""

SLOWEST: Final = 10.0
"""Largest pace; one that is slower still fails by its time."""

FORGET_S: Final = 6.0
"""Time constant with which a slow engine is tried again."""

MAX_OBSERVED_EXPECTATION_S: Final = 2.0
"""Longest expectation that is compared: beyond it, queues are guessed."""


class Pace:
    """Observed over expected times of one engine."""

    def __init__(self) -> None:
        self.excess = 0.0
        """Multiple by which it was slower than tolerated, less 1."""
        self.at_s = 0.0
        """Time of the last change."""

    def on_first_event(self, seen_s: float, expected_s: float, now_s: float) -> None:
        """Compare one first event with what was expected at pace 1.

        Args:
            seen_s: Time that it took.
            expected_s: Time that was expected.
            now_s: Present time.
        """
        if not 0 < expected_s <= MAX_OBSERVED_EXPECTATION_S:
            return
        excess = min(SLOWEST, max(1.0, seen_s / expected_s / TOLERATED)) - 1.0
        before = self._aged(now_s)
        self.excess = before + LEARNED_SHARE * (excess - before)
        self.at_s = now_s

    def value(self, now_s: float) -> float:
        """Return the multiple of the expected time to count with, 1 or more."""
        excess = self._aged(now_s)
        # What is over the tolerated multiple is slow by all of it.
        return 1.0 + excess * TOLERATED if excess > 0.01 else 1.0

    def _aged(self, now_s: float) -> float:
        return self.excess * math.exp(-max(0.0, now_s - self.at_s) / FORGET_S)
