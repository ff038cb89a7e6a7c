"""Token bucket whose number of units may become negative (debt)."""

from __future__ import annotations


class TokenBucket:
    """Token bucket with a refill rate and a maximum number of units.

    Args:
        rate_per_s: Units added per second.
        burst: Maximum number of units in the bucket, which starts full.
        now_s: Monotonic time in seconds.
    """

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        """Units added per second."""
        self.burst = burst
        """Maximum number of units in the bucket."""
        self.units = burst
        """Number of available units; a negative number is a debt."""
        self.refilled_at_s = now_s
        """Monotonic time in seconds up to which units were added."""

    def __repr__(self) -> str:
        return f"TokenBucket(units={self.units:.1f}, rate_per_s={self.rate_per_s})"

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the rate and the maximum number of units from `now_s` on.

        Args:
            rate_per_s: Units added per second.
            burst: Maximum number of units in the bucket.
            now_s: Monotonic time in seconds.
        """
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.units = min(self.units, burst)

    def wait_s(self, units: float, now_s: float) -> float:
        """Return the seconds until a number of units is available; 0 if it is now.

        Args:
            units: Number of units; more than `burst` counts as `burst`.
            now_s: Monotonic time in seconds.
        """
        self._refill(now_s)
        missing = min(units, self.burst) - self.units
        return max(0.0, missing / self.rate_per_s)

    def charge(self, units: float, now_s: float) -> None:
        """Charge units, even into debt.

        Args:
            units: Number of units; a negative number is refunded.
            now_s: Monotonic time in seconds.
        """
        self._refill(now_s)
        self.units = min(self.burst, self.units - units)

    def _refill(self, now_s: float) -> None:
        added = max(0.0, now_s - self.refilled_at_s) * self.rate_per_s
        self.units = min(self.burst, self.units + added)
        self.refilled_at_s = max(self.refilled_at_s, now_s)
