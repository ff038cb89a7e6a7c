"""Token bucket: a rate with a burst, which may go into debt."""

from __future__ import annotations


class TokenBucket:
    """A rate per second with a burst.

    Args:
        rate_per_s: Units added per second.
        burst: Most units that add up.
        now_s: Present monotonic clock in seconds.
    """

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        """Units added per second."""
        self.burst = burst
        """Most units that add up."""
        self.units = burst
        """Units at hand; less than 0 is debt."""
        self.filled_s = now_s
        """Time up to which units were added."""

    def __repr__(self) -> str:
        return f"TokenBucket(units={self.units:.1f}, rate_per_s={self.rate_per_s})"

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the rate and the burst from now on."""
        self._fill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.units = min(self.units, burst)

    def wait_s(self, units: float, now_s: float) -> float:
        """Return how long until so many units are at hand; 0 when they are."""
        self._fill(now_s)
        missing = min(units, self.burst) - self.units
        return max(0.0, missing / self.rate_per_s)

    def take(self, units: float, now_s: float) -> None:
        """Take units, into debt if need be; less than 0 gives units back."""
        self._fill(now_s)
        self.units = min(self.burst, self.units - units)

    def _fill(self, now_s: float) -> None:
        added = max(0.0, now_s - self.filled_s) * self.rate_per_s
        self.units = min(self.burst, self.units + added)
        self.filled_s = max(self.filled_s, now_s)
