"""Engine time that callers ask for, by priority and client account; without I/O.

Each gateway measures the demand of its own callers and receives that of its peers in
digests, so that all gateways know the same total.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

DEMAND_TIME_CONSTANT_S: Final = 1.5
"""Time constant in seconds of the measured demand: with 165 requests per second,
shorter ones make the sum of all gateways vary by more than a tenth without any
burst."""

MIN_MEASURED_S: Final = 0.3
"""Shortest time in seconds from which a demand is extrapolated."""

MEAN_TIME_CONSTANT_S: Final = 0.5
"""Time constant in seconds of mean waits: a burst fills the slack of requests, some
tenths of a second, in about this time."""

MIN_DEMAND_S: Final = 1e-4
"""Demand in engine seconds per second below which an entry is dropped."""

MAX_REPORTED_ENTRIES: Final = 24
"""Largest number of entries in one report; the smallest ones beyond it are summed by
priority under `OTHER_ACCOUNTS`, which bounds the bytes of a digest."""

OTHER_ACCOUNTS: Final = 0
"""Account number of requests without a client account, and of summed entries."""

LEAST_URGENT: Final = 9
"""Least urgent priority; higher numbers count as this one."""


@dataclass(frozen=True)
class DemandKey:
    """What demand is distinguished by."""

    priority: int
    """Priority, 0 being the most urgent."""
    account: int
    """Hash of the client account; `OTHER_ACCOUNTS` for none."""


Demand = dict[DemandKey, float]
"""Engine seconds per second that are asked for, by priority and client account."""


@dataclass
class DecayingRate:
    """Mean of a rate over about `DEMAND_TIME_CONSTANT_S`."""

    amount: float = 0.0
    """Decayed sum at `at_s`."""
    at_s: float = 0.0
    """Boot-clock time of the last addition in seconds."""

    def read(self, now_s: float) -> float:
        """Return the rate per second."""
        age_s = max(0.0, now_s - self.at_s)
        decayed = self.amount * math.exp(-age_s / DEMAND_TIME_CONSTANT_S)
        return decayed / DEMAND_TIME_CONSTANT_S

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount."""
        self.amount = self.read(now_s) * DEMAND_TIME_CONSTANT_S + amount
        self.at_s = now_s


@dataclass
class RecentMean:
    """Mean of the values of about the last `MEAN_TIME_CONSTANT_S`."""

    total: float = 0.0
    """Decayed sum of the values at `at_s`."""
    weight: float = 0.0
    """Decayed number of values at `at_s`."""
    at_s: float = 0.0
    """Boot-clock time of the last value in seconds."""

    def add(self, value: float, now_s: float) -> None:
        """Add a value."""
        factor = math.exp(-max(0.0, now_s - self.at_s) / MEAN_TIME_CONSTANT_S)
        self.total = self.total * factor + value
        self.weight = self.weight * factor + 1.0
        self.at_s = now_s

    def read(self, now_s: float) -> float:
        """Return the mean; it decays to 0 without values, since nothing waits then."""
        if self.weight == 0.0:
            return 0.0
        age_s = max(0.0, now_s - self.at_s - MEAN_TIME_CONSTANT_S)
        return self.total / self.weight * math.exp(-age_s / MEAN_TIME_CONSTANT_S)


@dataclass
class LocalDemand:
    """Demand of this gateway's callers for one service."""

    sums: dict[DemandKey, DecayingRate] = field(default_factory=dict)
    """Asked engine seconds per second, by key."""
    began_s: float = math.inf
    """Boot-clock time of the first request in seconds; infinity before it."""

    def on_requested(self, key: DemandKey, work_s: float, now_s: float) -> None:
        """Record the first attempt of a request.

        Repeated attempts must not be recorded: they would raise the demand of a
        priority the more of its requests are refused.

        Args:
            key: Priority and client account.
            work_s: Engine time that the request takes, in seconds.
            now_s: Current boot-clock time in seconds.
        """
        self.began_s = min(self.began_s, now_s)
        self.sums.setdefault(key, DecayingRate()).add(work_s, now_s)

    def read(self, now_s: float) -> Demand:
        """Return the present demand; entries that have decayed are dropped."""
        demand: Demand = {}
        # Sums that have just begun hold a part of the demand only.
        since_s = max(MIN_MEASURED_S, now_s - self.began_s)
        seen_share = 1.0 - math.exp(-since_s / DEMAND_TIME_CONSTANT_S)
        for key, each in list(self.sums.items()):
            rate = each.read(now_s) / seen_share
            if rate < MIN_DEMAND_S:
                del self.sums[key]
            else:
                demand[key] = rate
        return demand


class TotalDemand:
    """Sum of the demand that peer gateways reported, kept up to date incrementally."""

    def __init__(self) -> None:
        self.by_sender: dict[str, Demand] = {}
        """Last report of each peer gateway."""
        self.total: Demand = {}
        """Sum of the reports."""

    def replace(self, sender: str, demand: Demand) -> None:
        """Replace the report of a peer gateway; an empty one removes it."""
        for key, rate in self.by_sender.pop(sender, {}).items():
            rest = self.total.get(key, 0.0) - rate
            if rest < MIN_DEMAND_S:
                self.total.pop(key, None)
            else:
                self.total[key] = rest
        if not demand:
            return
        self.by_sender[sender] = demand
        for key, rate in demand.items():
            self.total[key] = self.total.get(key, 0.0) + rate

    def with_local(self, local: Demand) -> Demand:
        """Return the sum of the reports and the demand of this gateway's callers."""
        total = dict(self.total)
        for key, rate in local.items():
            total[key] = total.get(key, 0.0) + rate
        return total


def bounded(demand: Demand) -> Demand:
    """Return a demand with at most `MAX_REPORTED_ENTRIES` and one per priority more."""
    if len(demand) <= MAX_REPORTED_ENTRIES:
        return demand
    largest = sorted(demand, key=lambda key: demand[key], reverse=True)
    kept = {key: demand[key] for key in largest[:MAX_REPORTED_ENTRIES]}
    for key in largest[MAX_REPORTED_ENTRIES:]:
        other = DemandKey(key.priority, OTHER_ACCOUNTS)
        kept[other] = kept.get(other, 0.0) + demand[key]
    return kept


def by_priority(demand: Demand) -> dict[int, float]:
    """Return the demand of each priority, the most urgent one first."""
    totals: dict[int, float] = {}
    for key in sorted(demand, key=lambda key: key.priority):
        totals[key.priority] = totals.get(key.priority, 0.0) + demand[key]
    return totals


def fair_share(rates: Iterable[float], available: float) -> float:
    """Return the largest rate per client account that fits (max-min fairness).

    Args:
        rates: Demand of each client account.
        available: Rate that all of them get together.

    Returns:
        The rate up to which each account is served; infinity if all fit.
    """
    ascending = sorted(rates)
    left = available
    for index, rate in enumerate(ascending):
        share = left / (len(ascending) - index)
        if rate > share:
            return max(0.0, share)
        left -= rate
    return math.inf
