"""Pace of an engine: how many times as long as expected its first events take.

The pace detects an engine that takes several times as long as other engines although it
is healthy and reports a normal load. Its measured times to the first event are compared
with the expected ones, and the expected time of its next requests is multiplied by the
pace.
"""

from __future__ import annotations

import math
from typing import Final

TOLERATED_RATIO: Final = 2.0
"""Largest ratio of the measured to the expected time that is attributed to noise:
requests of peer gateways that are not known yet also delay the first event."""

SMOOTHING: Final = 0.3
"""Weight of the latest first event in the moving average of the excess."""

MAX_EXCESS_RATIO: Final = 10.0
"""Largest counted ratio of the measured time to the tolerated one; timeouts handle
engines that are slower."""

DECAY_TIME_CONSTANT_S: Final = 6.0
"""Time constant in seconds with which the excess decays, so that a slow engine gets
requests again."""

MAX_COMPARED_EXPECTATION_S: Final = 2.0
"""Longest expected time in seconds that is compared with the measured one; longer ones
depend on queue lengths that are only estimated."""


class Pace:
    """Pace of one engine, computed from a moving average that decays over time."""

    def __init__(self) -> None:
        self.excess = 0.0
        """Moving average of the ratio of the measured to the tolerated time, minus 1;
        0 within tolerance."""
        self.updated_s = 0.0
        """Monotonic time of the last update of `excess` in seconds."""

    def on_first_event(
        self, measured_s: float, expected_s: float, now_s: float
    ) -> None:
        """Update the excess with the time to one first event.

        Args:
            measured_s: Measured time to the first event in seconds.
            expected_s: Time in seconds that was expected at pace 1.
            now_s: Monotonic time in seconds.
        """
        if not 0 < expected_s <= MAX_COMPARED_EXPECTATION_S:
            return
        excess = (
            min(MAX_EXCESS_RATIO, max(1.0, measured_s / expected_s / TOLERATED_RATIO))
            - 1.0
        )
        previous = self._decayed_excess(now_s)
        self.excess = previous + SMOOTHING * (excess - previous)
        self.updated_s = now_s

    def time_factor(self, now_s: float) -> float:
        """Return the factor on the expected time to the first event, 1 or more."""
        excess = self._decayed_excess(now_s)
        # Adds the part of the ratio above TOLERATED_RATIO to 1.
        return 1.0 + excess * TOLERATED_RATIO if excess > 0.01 else 1.0

    def _decayed_excess(self, now_s: float) -> float:
        return self.excess * math.exp(
            -max(0.0, now_s - self.updated_s) / DECAY_TIME_CONSTANT_S
        )
