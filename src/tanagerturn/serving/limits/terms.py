"""Limits of client accounts over all gateways, and the outcomes of checking them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MIN_RETRY_AFTER_S: Final = 0.05
"""Shortest retry delay, in seconds."""


@dataclass(frozen=True)
class AccountLimit:
    """Limit of one client account over all gateways."""

    rate_per_s: float
    """Number of units that the account may use per second."""
    burst: float
    """Number of units that the account may use at once after a pause."""


@dataclass(frozen=True)
class Tolerance:
    """Tolerated excess over a limit in any time window."""

    units: float
    """Number of tolerated units per window, in addition to `share`."""
    share: float
    """Tolerated share of the units that the limit allows in a window."""
    window_s: float
    """Length of the window in seconds."""

    def excess_units(self, limit: AccountLimit) -> float:
        """Return the number of units that may exceed a limit in one window."""
        allowed = limit.rate_per_s * self.window_s + limit.burst
        return self.units + self.share * allowed


@dataclass(frozen=True)
class Admitted:
    """The request is within the limit and was charged."""


@dataclass(frozen=True)
class Exceeded:
    """The request is over the limit and was not charged."""

    retry_after_s: float
    """Seconds after which the request would be within the limit."""
