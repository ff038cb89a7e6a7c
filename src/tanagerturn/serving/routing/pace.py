"""Pace of an engine: the ratio of its measured to expected first-event times.

Detects an engine that takes several times as long as the others although it is healthy
and reports a normal load. Its measured times to the first event are compared with the
expected ones, and the expectation for its next requests is raised accordingly.
"""

from __future__ import annotations

import math
from typing import Final

TOLERATED_RATIO: Final = 2.0
"""Largest ratio that is attributed to noise: requests of peer gateways that are not
known yet also delay the first event."""

SMOOTHING: Final = 0.3
"""Weight of the latest first event in the moving average."""

MAX_EXCESS_RATIO: Final = 10.0
"""Largest counted ratio of the measured time to the tolerated one; a slower engine
is handled by timeouts."""

DECAY_TIME_CONSTANT_S: Final = 6.0
"""Time constant in seconds with which the excess decays, so that a slow engine is
tried again."""

MAX_COMPARED_EXPECTATION_S: Final = 2.0
"""Longest expected time in seconds that is compared; longer ones depend on queue
lengths that are only estimated."""


class Pace:
    """Average ratio of measured to expected first-event times of one engine."""

    def __init__(self) -> None:
        self.excess = 0.0
        """Ratio of the measured to the tolerated time, minus 1; 0 within tolerance."""
        self.updated_s = 0.0
        """Monotonic clock of the last update of `excess`, in seconds."""

    def on_first_event(
        self, measured_s: float, expected_s: float, now_s: float
    ) -> None:
        """Compare one first event with the time expected at pace 1.

        Args:
            measured_s: Measured time to the first event, in seconds.
            expected_s: Expected time at pace 1, in seconds.
            now_s: Monotonic clock in seconds.
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

    def value(self, now_s: float) -> float:
        """Return the factor to apply to the expected time, 1 or more."""
        excess = self._decayed_excess(now_s)
        # Beyond tolerance, the whole ratio counts, including its tolerated part.
        return 1.0 + excess * TOLERATED_RATIO if excess > 0.01 else 1.0

    def _decayed_excess(self, now_s: float) -> float:
        return self.excess * math.exp(
            -max(0.0, now_s - self.updated_s) / DECAY_TIME_CONSTANT_S
        )
