"""Price of a unit of engine time, which all gateways share; without I/O.

The price is stated as the *level* up to which requests are served: at level 1.4, all
requests of priority 0, 0.4 of the engine time asked for by priority 1 and nothing of
priority 2 are served. What a request bids for a unit of engine time depends on its
priority only, so a large urgent request never pays for smaller requests that are less
urgent.

Each gateway computes the level from the demand of all gateways and the capacity,
corrected by the time that requests wait at the engines, and moves it towards the median
level of its peers. Within the priority at which the level ends, client accounts get
equal shares of the engine time (max-min), and requests of an account that exceeds its
share are selected by a draw that is equal at all gateways.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from statistics import fmean, median
from typing import Final

from tanagerturn.serving.admission.engine_demand import (
    LEAST_URGENT,
    DecayingRate,
    Demand,
    DemandKey,
    LocalDemand,
    RecentMean,
    TotalDemand,
    bounded,
    by_priority,
    fair_share,
)

REPORT_MAX_AGE_S: Final = 3.0
"""Age in seconds from which a report of a peer gateway is ignored: digests are up to 2
s old in large deployments; longer ones describe a load that may have ended."""

STEP_INTERVAL_S: Final = 0.1
"""Shortest time in seconds between two computations of the level."""

TARGET_BACKLOG_SHARE: Final = 0.15
"""Backlog at the best engine that the level aims at, as a share of the time that the
requests can wait within their objectives. Some backlog keeps all engines busy; the rest
of the time covers reports that are up to 2 s old."""

CORRECTION_TIME_S: Final = 1.0
"""Time in seconds within which the admitted work corrects the backlog. With less than
the mean age of digests, gateways would correct the same backlog twice and the level
would oscillate."""

LEARNING_TIME_S: Final = 6.0
"""Factor on `CORRECTION_TIME_S` for lasting errors of the capacity."""

WORK_TIME_CONSTANT_S: Final = 3.0
"""Time constant in seconds with which the capacity follows the work that engines have
done; twice that over which the work is measured."""

MIN_HEARD_SHARE: Final = 0.8
"""Share of the gateways from which the work done is compared with the capacity. A
gateway that hears from fewer would take what others leave unused as its own part."""

LEVEL_TIME_CONSTANT_S: Final = 0.3
"""Time constant in seconds with which the level follows its computed value."""

PEER_WEIGHT: Final = 0.5
"""Weight of the median level and capacity factor of the peers in each computation."""

MIN_CAPACITY_FACTOR: Final = 0.3
MAX_CAPACITY_FACTOR: Final = 2.5
"""Bounds of the learned ratio of the true to the stated capacity: a third of the speed
of an idle engine was seen beside other workloads, and 1.5 times the stated read
rate."""

MIN_BUDGET_SHARE: Final = 0.05
"""Smallest share of the capacity that is admitted whatever the backlog is, so that the
level recovers when no request is sent that could observe the backlog."""

SLACK_MAX_AGE_S: Final = 10.0
"""Time in seconds for which the slack of a priority counts after its last request."""

SLACK_SMOOTHING: Final = 0.1
"""Weight of the latest request in the mean slack of its priority."""

KNOWN_WEIGHT: Final = 0.5
"""Weight of the backlog that is known from digests beside the measured waits: a wait is
measured only after it has passed, a digest names prompts that have just been sent."""

PEER_WAIT_WEIGHT: Final = 0.5
"""Weight of the waits that peers measured; one gateway of many sends about one request
a second, too few to know the backlog from."""


@dataclass(frozen=True)
class PriceReport:
    """What a gateway tells its peers of one service."""

    level: float
    """Level up to which it serves requests, in priority steps."""
    capacity_factor: float
    """Learned ratio of the true to the stated capacity."""
    wait_s: float
    """Time in seconds that its requests lately waited at engines."""
    done: float
    """Engine seconds per second of its requests that engines lately worked on."""
    demand: Demand
    """Engine seconds per second that its callers ask for."""


@dataclass
class _Slack:
    """Time that the requests of a priority can wait within their objective."""

    mean_s: float
    seen_s: float


@dataclass
class ServicePrice:
    """Price of the engine time of one service, at one gateway."""

    local: LocalDemand = field(default_factory=LocalDemand)
    """Demand of this gateway's callers."""
    peers: TotalDemand = field(default_factory=TotalDemand)
    """Demand that peers reported."""
    reports: dict[str, tuple[PriceReport, float]] = field(default_factory=dict)
    """Last report of each peer and the boot-clock time of its receipt in seconds."""
    without_demand: dict[str, float] = field(default_factory=dict)
    """Boot-clock time in seconds of the last report of each peer whose callers do not
    ask for the service."""
    level: float = LEAST_URGENT + 1.0
    """Level up to which requests are served."""
    capacity_factor: float = 1.0
    """Learned ratio of the true to the stated capacity."""
    waits: RecentMean = field(default_factory=RecentMean)
    """Time in seconds that requests of this gateway lately waited at engines."""
    known: RecentMean = field(default_factory=RecentMean)
    """Backlog in seconds that requests lately expected at the best engine."""
    peer_wait_s: float = 0.0
    """Mean of the waits that peers reported, in seconds; as of the last step."""
    slacks: dict[int, _Slack] = field(default_factory=dict)
    """Slack by priority."""
    demand: Demand = field(default_factory=dict)
    """Demand of all gateways at the last step."""
    shares: dict[int, float] = field(default_factory=dict)
    """Engine seconds per second that each account gets, by priority; at the last
    step."""
    totals: dict[int, float] = field(default_factory=dict)
    """Demand by priority at the last step."""
    capacity_part: float = 0.0
    """This gateway's part of the capacity if all gateways had equal parts, in engine
    seconds per second; at the last step."""
    sent: DecayingRate = field(default_factory=DecayingRate)
    """Engine seconds per second of the requests that this gateway admitted."""
    done: DecayingRate = field(default_factory=DecayingRate)
    """Engine seconds per second of this gateway's requests that engines lately worked
    on."""
    stepped_s: float = -math.inf
    """Boot-clock time of the last step in seconds."""

    @property
    def is_scarce(self) -> bool:
        """Whether requests of any priority that is asked for are refused."""
        return bool(self.totals) and self.level < max(self.totals) + 1.0

    @property
    def price(self) -> float:
        """Return the priority steps, from the least urgent on, that are not served."""
        return max(self.totals) + 1.0 - self.level if self.is_scarce else 0.0

    def on_requested(
        self, key: DemandKey, work_s: float, slack_s: float, now_s: float
    ) -> None:
        """Record the first attempt of a request as demand.

        Args:
            key: Priority and client account.
            work_s: Engine time that the request takes, in seconds.
            slack_s: Time in seconds that it can wait within its objective.
            now_s: Current boot-clock time in seconds.
        """
        self.local.on_requested(key, work_s, now_s)
        known = self.slacks.get(key.priority)
        if known is None or now_s - known.seen_s > SLACK_MAX_AGE_S:
            self.slacks[key.priority] = _Slack(slack_s, now_s)
            return
        known.mean_s += SLACK_SMOOTHING * (slack_s - known.mean_s)
        known.seen_s = now_s

    def on_backlog(self, backlog_s: float, now_s: float) -> None:
        """Record the backlog that a request expects at the best engine."""
        self.known.add(backlog_s, now_s)

    def on_sent(self, work_s: float, now_s: float) -> None:
        """Record the engine time of a request that was admitted."""
        self.sent.add(work_s, now_s)

    def on_first_event(self, wait_s: float, work_s: float, now_s: float) -> None:
        """Record that an engine has read a prompt, and how long the request waited.

        Args:
            wait_s: Time from the sending to the first event in seconds, without what it
                takes at an engine without other prompts.
            work_s: Engine time of the request in seconds.
            now_s: Current boot-clock time in seconds.
        """
        self.done.add(work_s, now_s)
        self.waits.add(max(0.0, wait_s), now_s)

    def on_report(
        self, sender: str, report: PriceReport | None, sent_s: float, now_s: float
    ) -> None:
        """Apply the report of a peer gateway.

        Args:
            sender: Host of the peer gateway.
            report: The report; None if its callers do not ask for the service.
            sent_s: Boot-clock time in seconds at which the peer sent it.
            now_s: Current boot-clock time in seconds.
        """
        if now_s - sent_s > REPORT_MAX_AGE_S:
            return
        if report is None:
            self._forget(sender)
            self.without_demand[sender] = sent_s
            return
        self.without_demand.pop(sender, None)
        self.reports[sender] = report, sent_s
        self.peers.replace(sender, report.demand)

    def report(self, now_s: float) -> PriceReport:
        """Return what to tell the peers."""
        demand = bounded(self.local.read(now_s))
        own_s = self.waits.read(now_s)
        wait_s = own_s + KNOWN_WEIGHT * (self.known.read(now_s) - own_s)
        done = self.done.read(now_s)
        return PriceReport(self.level, self.capacity_factor, wait_s, done, demand)

    def is_below_level(self, priority: int) -> bool:
        """Return whether a priority is served whole."""
        return not self.is_scarce or priority < math.floor(self.level)

    def is_served(self, key: DemandKey, draw: float) -> bool:
        """Return whether what a request bids reaches the price.

        Args:
            key: Priority and client account of the request.
            draw: Number in [0, 1) that selects requests of an account beyond its share.
        """
        if self.is_below_level(key.priority):
            return True
        share = self.shares.get(key.priority)
        return share is not None and draw * self.demand.get(key, 0.0) < share

    def has_part_left(self, now_s: float) -> bool:
        """Return whether this gateway sends less than its part of the capacity."""
        return self.sent.read(now_s) < self.capacity_part

    def is_due(self, now_s: float) -> bool:
        """Return whether the level is to be computed again."""
        return now_s - self.stepped_s >= STEP_INTERVAL_S

    def step(self, engines: float, known_gateways: int, now_s: float) -> None:
        """Compute the level, at most once in `STEP_INTERVAL_S`.

        Args:
            engines: Number of engines that serve requests, a slow one as a fraction.
            known_gateways: Number of gateways, recently lost ones included. Those
                without a fresh report are taken to have the mean demand of the others,
                so a gateway without peers uses its part of the capacity.
            now_s: Current boot-clock time in seconds.
        """
        if not self.is_due(now_s):
            return
        elapsed_s = now_s - self.stepped_s
        self.stepped_s = now_s
        elapsed_s = min(1.0, elapsed_s)
        self._expire(now_s)
        self.demand = self.peers.with_local(self.local.read(now_s))
        self.totals = by_priority(self.demand)
        heard = 1 + len(self.reports) + len(self.without_demand)
        known_share = min(1.0, heard / max(1, known_gateways))
        capacity = engines * known_share
        self.capacity_part = engines * self.capacity_factor / max(1, known_gateways)
        if self.reports:
            self.peer_wait_s = fmean(r.wait_s for r, _ in self.reports.values())
        slack_s = self.least_slack_s(LEAST_URGENT, now_s)
        surplus_s = 0.0
        if slack_s < math.inf:
            target_s = TARGET_BACKLOG_SHARE * slack_s
            # A single late observation must not stop all admissions.
            surplus_s = max(-2.0 * target_s, target_s - self.wait_s(now_s))
        if known_share >= MIN_HEARD_SHARE:
            peers_done = sum(r.done for r, _ in self.reports.values())
            done = self.done.read(now_s) + peers_done
            self._learn_from_work(done / max(1.0, capacity), surplus_s, elapsed_s)
        self._learn_capacity(surplus_s, elapsed_s)
        factor = self.capacity_factor + surplus_s / CORRECTION_TIME_S
        budget = capacity * max(MIN_BUDGET_SHARE, factor)
        self._move_level(budget, elapsed_s)
        self.shares = self._account_shares()

    def wait_s(self, now_s: float) -> float:
        """Return how long requests of all gateways lately waited at engines."""
        own_s = self.waits.read(now_s)
        own_s += KNOWN_WEIGHT * (self.known.read(now_s) - own_s)
        if not self.reports:
            return own_s
        return own_s + PEER_WAIT_WEIGHT * (self.peer_wait_s - own_s)

    def _learn_from_work(
        self, measured: float, surplus_s: float, elapsed_s: float
    ) -> None:
        """Move the capacity factor towards the work that engines have done.

        They have at least the capacity for that; no more if requests wait for long.
        """
        error = measured - self.capacity_factor
        if not self.is_scarce or (error < 0 and surplus_s >= 0):
            return
        self.capacity_factor += min(1.0, elapsed_s / WORK_TIME_CONSTANT_S) * error

    def _learn_capacity(self, surplus_s: float, elapsed_s: float) -> None:
        if self.is_scarce or surplus_s < 0:
            rate = surplus_s / (CORRECTION_TIME_S * LEARNING_TIME_S)
            self.capacity_factor += rate * elapsed_s
        if self.reports:
            agreed = median(r.capacity_factor for r, _ in self.reports.values())
            weight = PEER_WEIGHT * min(1.0, elapsed_s / LEVEL_TIME_CONSTANT_S)
            self.capacity_factor += weight * (agreed - self.capacity_factor)
        self.capacity_factor = min(
            MAX_CAPACITY_FACTOR, max(MIN_CAPACITY_FACTOR, self.capacity_factor)
        )

    def _move_level(self, budget: float, elapsed_s: float) -> None:
        if not self.totals:
            self.level = LEAST_URGENT + 1.0
            return
        top = max(self.totals) + 1.0
        target = self._level_for(budget)
        if self.reports:
            agreed = median(min(top, r.level) for r, _ in self.reports.values())
            target += PEER_WEIGHT * (agreed - target)
        # Levels above the least urgent priority that is asked for mean the same.
        start = min(self.level, top)
        follow = 1.0 - math.exp(-elapsed_s / LEVEL_TIME_CONSTANT_S)
        self.level = start + follow * (target - start)
        if top - self.level < 0.01:
            self.level = top

    def _level_for(self, budget: float) -> float:
        """Return the level at which the admitted work equals a budget."""
        left = budget
        for priority, asked in self.totals.items():
            if asked > left:
                return priority + left / asked
            left -= asked
        return max(self.totals) + 1.0

    def _account_shares(self) -> dict[int, float]:
        """Return each account's engine seconds per second at the partial priority."""
        priority = math.floor(self.level)
        if not self.is_scarce or priority not in self.totals:
            return {}
        rates = [r for key, r in self.demand.items() if key.priority == priority]
        available = (self.level - priority) * self.totals[priority]
        return {priority: fair_share(rates, available)}

    def least_slack_s(self, priority: int, now_s: float) -> float:
        """Return the least slack of this and all more urgent priorities."""
        return min(
            (
                slack.mean_s
                for each, slack in self.slacks.items()
                if each <= priority and now_s - slack.seen_s <= SLACK_MAX_AGE_S
            ),
            default=math.inf,
        )

    def _expire(self, now_s: float) -> None:
        for sender, (_, sent_s) in list(self.reports.items()):
            if now_s - sent_s > REPORT_MAX_AGE_S:
                self._forget(sender)
        for sender, sent_s in list(self.without_demand.items()):
            if now_s - sent_s > REPORT_MAX_AGE_S:
                del self.without_demand[sender]

    def _forget(self, sender: str) -> None:
        if self.reports.pop(sender, None) is not None:
            self.peers.replace(sender, {})
