"""Limits of client accounts over many gateways, divided by demand; pure.

Each gateway tells the others what its callers ask for. A gateway's part of a
limit is its part of the whole demand, so the parts add up to the limit as far as
all know the same demand. A gateway that hears nothing from another goes on with
the last demand heard for a while, and then without it: it is not known to serve.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.limits.buckets import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable

DEMAND_AGE_S: Final = 2.0
"""Time constant of the smoothed demand."""

DEMAND_KEEP_S: Final = 4.0
"""Time for which the demand of a silent gateway is counted; longer than a restart
or a short partition, so that its part is not given out twice."""

BASE_SHARE: Final = 0.1
"""Part of a limit that is divided evenly, for callers that come anew."""

SLACK_SHARE: Final = 0.3
"""Part of the tolerated excess that all gateways together may go into debt."""

RETRY_LEAST_S: Final = 0.05
"""Shortest time to come back after."""


@dataclass(frozen=True)
class SpreadTerms:
    """Limit of one client account over all gateways."""

    rate_per_s: float
    """Units a second."""
    burst: float
    """Units that may be used at once."""


@dataclass(frozen=True)
class Tolerance:
    """What an account may get beyond its limit in any window, without harm."""

    units: float
    """Units in each window."""
    share: float
    """Part of what the limit allows in a window, besides."""
    window_s: float
    """Length of the windows."""

    def beyond(self, terms: SpreadTerms) -> float:
        """Return the units beyond a limit that any window may hold."""
        allowed = terms.rate_per_s * self.window_s + terms.burst
        return self.units + self.share * allowed


@dataclass(frozen=True)
class Admitted:
    """The request is within the limit and was charged."""


@dataclass(frozen=True)
class Exceeded:
    """The request is over the limit."""

    retry_after_s: float
    """Time after which it would be within the limit."""


@dataclass
class AccountSpread:
    """One client account at one gateway."""

    name: str
    terms: SpreadTerms
    bucket: TokenBucket
    demand_per_s: float = 0.0
    """Smoothed units that own callers ask for."""
    demand_at_s: float = 0.0
    others: dict[str, tuple[float, float]] = field(default_factory=dict)
    """Demand of other gateways, and when it was heard."""

    def age(self, now_s: float) -> None:
        """Let the smoothed demand fade."""
        passed_s = max(0.0, now_s - self.demand_at_s)
        self.demand_per_s *= math.exp(-passed_s / DEMAND_AGE_S)
        self.demand_at_s = now_s

    def others_demand_per_s(self, now_s: float) -> float:
        """Return the demand at other gateways, as heard lately."""
        return sum(
            demand
            for demand, at_s in self.others.values()
            if now_s - at_s < DEMAND_KEEP_S
        )


class SpreadLimits:
    """The parts of all client accounts' limits at one gateway.

    Args:
        tolerance: What accounts may get beyond their limits, over all gateways.
    """

    def __init__(self, tolerance: Tolerance) -> None:
        self.tolerance = tolerance
        """What accounts may get beyond their limits, over all gateways."""
        self.gateways = 1
        """Gateways that take part, this one included."""
        self.accounts: dict[str, AccountSpread] = {}
        """Client accounts with a limit."""

    def set_terms(self, terms: dict[str, SpreadTerms], now_s: float) -> None:
        """Take over the limits of a configuration."""
        self.accounts = {
            name: self._account(name, each, now_s) for name, each in terms.items()
        }

    def on_demand(
        self, gateway: str, demand: Iterable[tuple[str, float]], now_s: float
    ) -> None:
        """Take the demand that another gateway tells."""
        told = dict(demand)
        for name, account in self.accounts.items():
            account.others[gateway] = (told.get(name, 0.0), now_s)

    def take(self, name: str, units: float, now_s: float) -> Admitted | Exceeded:
        """Charge a request, if its account is within its limit.

        Args:
            name: Client account.
            units: What the request counts.
            now_s: Present time.
        """
        account = self.accounts.get(name)
        if account is None:
            return Admitted()
        account.age(now_s)
        account.demand_per_s += units / DEMAND_AGE_S
        self._divide(account, now_s)
        slack = SLACK_SHARE * self.tolerance.units / self.gateways
        wait_s = account.bucket.wait_s(max(0.0, units - slack), now_s)
        if wait_s > 0:
            return Exceeded(max(RETRY_LEAST_S, wait_s))
        account.bucket.take(units, now_s)
        return Admitted()

    def correct(self, name: str, units: float, now_s: float) -> None:
        """Count units that were let in elsewhere; less than 0 gives units back."""
        account = self.accounts.get(name)
        if account is not None:
            account.bucket.take(units, now_s)

    def demands(self, now_s: float) -> list[tuple[str, float]]:
        """Return the demand of own callers by client account."""
        told = []
        for name, account in self.accounts.items():
            account.age(now_s)
            if account.demand_per_s > 1.0:
                told.append((name, account.demand_per_s))
        return told

    def share(self, account: AccountSpread, now_s: float) -> float:
        """Return this gateway's part of an account's limit, 0 to 1."""
        account.age(now_s)
        total = account.demand_per_s + account.others_demand_per_s(now_s)
        even = 1.0 / max(1, self.gateways)
        if total <= 0.0:
            return even
        return BASE_SHARE * even + (1 - BASE_SHARE) * account.demand_per_s / total

    def _account(self, name: str, terms: SpreadTerms, now_s: float) -> AccountSpread:
        known = self.accounts.get(name)
        if known is None:
            even = 1.0 / max(1, self.gateways)
            rate, burst = terms.rate_per_s * even, terms.burst * even
            return AccountSpread(name, terms, TokenBucket(rate, burst, now_s))
        known.terms = terms
        self._divide(known, now_s)
        return known

    def _divide(self, account: AccountSpread, now_s: float) -> None:
        share = self.share(account, now_s)
        terms = account.terms
        account.bucket.set_rate(terms.rate_per_s * share, terms.burst * share, now_s)
