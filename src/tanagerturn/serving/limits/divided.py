"""Limits of client accounts divided among gateways by demand; without I/O.

Each gateway reports the demand of its callers to its peers. A gateway's share of a
limit is its share of the total demand, so the shares add up to the limit if all
gateways know the same demand. The last reported demand of a silent peer counts for
`DEMAND_MAX_AGE_S` and is then ignored, because the peer may have stopped.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.limits.buckets import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable

DEMAND_TIME_CONSTANT_S: Final = 2.0
"""Time constant of the exponentially smoothed demand, in seconds."""

DEMAND_MAX_AGE_S: Final = 4.0
"""Age in seconds from which the reported demand of a peer is ignored. It is longer than
a restart or a short partition, so that the share of the peer is not granted twice."""

EVENLY_DIVIDED_SHARE: Final = 0.1
"""Share of a limit that is divided evenly among gateways, for callers without demand
so far."""

MAX_DEBT_SHARE: Final = 0.3
"""Share of the tolerated excess up to which all gateways together may go into debt."""

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


@dataclass
class AccountState:
    """Limit, bucket and demand of one client account at one gateway."""

    name: str
    """Id of the client account."""
    limit: AccountLimit
    """Limit of the account over all gateways."""
    bucket: TokenBucket
    """Bucket with this gateway's share of the limit."""
    demand_per_s: float = 0.0
    """Smoothed demand of local callers, in units per second."""
    demand_updated_s: float = 0.0
    """Monotonic time of the last decay of `demand_per_s` in seconds."""
    peer_demands: dict[str, tuple[float, float]] = field(default_factory=dict)
    """Demand at each peer in units per second, with the monotonic time of its report in
    seconds."""

    def decay_demand(self, now_s: float) -> None:
        """Decay the smoothed demand up to `now_s`, a monotonic time in seconds."""
        passed_s = max(0.0, now_s - self.demand_updated_s)
        self.demand_per_s *= math.exp(-passed_s / DEMAND_TIME_CONSTANT_S)
        self.demand_updated_s = now_s

    def peer_demand_per_s(self, now_s: float) -> float:
        """Return the sum of the peers' recently reported demands, in units per second.

        Args:
            now_s: Monotonic time in seconds.
        """
        return sum(
            demand
            for demand, at_s in self.peer_demands.values()
            if now_s - at_s < DEMAND_MAX_AGE_S
        )


class DividedLimits:
    """This gateway's shares of the limits of all client accounts.

    Args:
        tolerance: Tolerated excess over each limit, over all gateways together.
    """

    def __init__(self, tolerance: Tolerance) -> None:
        self.tolerance = tolerance
        """Tolerated excess over each limit, over all gateways together."""
        self.gateways = 1
        """Number of gateways that share the limits, including this one."""
        self.accounts: dict[str, AccountState] = {}
        """State of each client account with a limit, by account."""

    def replace_limits(self, limits: dict[str, AccountLimit], now_s: float) -> None:
        """Apply the limits of a configuration.

        Args:
            limits: Limit of each client account over all gateways.
            now_s: Monotonic time in seconds.
        """
        self.accounts = {
            name: self._account(name, limit, now_s) for name, limit in limits.items()
        }

    def on_peer_demand(
        self, gateway: str, demand: Iterable[tuple[str, float]], now_s: float
    ) -> None:
        """Record the demand that a peer reports.

        Args:
            gateway: Id of the peer gateway.
            demand: Client accounts with their demand in units per second; accounts
                that are not named have no demand.
            now_s: Monotonic time in seconds.
        """
        reported = dict(demand)
        for name, account in self.accounts.items():
            account.peer_demands[gateway] = (reported.get(name, 0.0), now_s)

    def try_charge(self, name: str, units: float, now_s: float) -> Admitted | Exceeded:
        """Charge a request if its account is within its limit.

        Args:
            name: Client account; one without a limit is always admitted.
            units: Number of units that the request uses.
            now_s: Monotonic time in seconds.
        """
        account = self.accounts.get(name)
        if account is None:
            return Admitted()
        account.decay_demand(now_s)
        account.demand_per_s += units / DEMAND_TIME_CONSTANT_S
        self._update_rate(account, now_s)
        max_debt = MAX_DEBT_SHARE * self.tolerance.units / self.gateways
        wait_s = account.bucket.wait_s(max(0.0, units - max_debt), now_s)
        if wait_s > 0:
            return Exceeded(max(MIN_RETRY_AFTER_S, wait_s))
        account.bucket.charge(units, now_s)
        return Admitted()

    def apply_correction(self, name: str, units: float, now_s: float) -> None:
        """Charge units that another gateway admitted; negative units are refunded.

        Args:
            name: Client account; one without a limit is ignored.
            units: Number of units.
            now_s: Monotonic time in seconds.
        """
        account = self.accounts.get(name)
        if account is not None:
            account.bucket.charge(units, now_s)

    def demands_by_account(self, now_s: float) -> list[tuple[str, float]]:
        """Return the demand of local callers, in units per second by client account.

        Accounts with a demand of at most one unit per second are omitted.
        """
        reported = []
        for name, account in self.accounts.items():
            account.decay_demand(now_s)
            if account.demand_per_s > 1.0:
                reported.append((name, account.demand_per_s))
        return reported

    def share(self, account: AccountState, now_s: float) -> float:
        """Return this gateway's share of the limit of an account, 0 to 1."""
        account.decay_demand(now_s)
        total = account.demand_per_s + account.peer_demand_per_s(now_s)
        even_share = 1.0 / max(1, self.gateways)
        if total <= 0.0:
            return even_share
        return (
            EVENLY_DIVIDED_SHARE * even_share
            + (1 - EVENLY_DIVIDED_SHARE) * account.demand_per_s / total
        )

    def _account(self, name: str, limit: AccountLimit, now_s: float) -> AccountState:
        known = self.accounts.get(name)
        if known is None:
            even_share = 1.0 / max(1, self.gateways)
            rate, burst = limit.rate_per_s * even_share, limit.burst * even_share
            return AccountState(name, limit, TokenBucket(rate, burst, now_s))
        known.limit = limit
        self._update_rate(known, now_s)
        return known

    def _update_rate(self, account: AccountState, now_s: float) -> None:
        share = self.share(account, now_s)
        limit = account.limit
        account.bucket.set_rate(limit.rate_per_s * share, limit.burst * share, now_s)
