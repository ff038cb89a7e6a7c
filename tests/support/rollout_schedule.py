"""Seeded simulation of one rollout with gateways, backend servers and the holder."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from tanagerturn.serving.rollouts.controller import STEP_MS, RolloutController
from tanagerturn.serving.rollouts.evidence import CellKey, VersionEvidence
from tanagerturn.serving.rollouts.messages import (
    ExposureBound,
    Permission,
    RolloutOrder,
    RolloutState,
    Side,
)
from tanagerturn.serving.rollouts.splitter import Splitter

if TYPE_CHECKING:
    from collections.abc import Callable

ROUTES = ("search", "compare", "export")
ROUTE_WEIGHTS = (0.6, 0.3, 0.1)
OBJECTIVE_MS = 400.0
COMMIT_MS = 50
RENEWAL_MS = 200


@dataclass
class Scenario:
    """One rollout and what happens during it; times in milliseconds from the order."""

    seed: int
    gateways: int
    rate: float
    duration_ms: int
    late_ms: int
    fault: str = ""
    """Empty for a good version, or KIND-WHEN: failures or slow; start, late, load,
    route."""
    disturbances: tuple[str, ...] = ()
    """Of grey old, grey new, burst, slow zone, kill, pause, partition, not ready, cut
    off."""
    backends: int = 6


FAULTS = tuple(
    f"{kind}-{when}"
    for kind in ("failures", "slow")
    for when in ("start", "late", "load", "route")
)
DISTURBANCES = (
    "grey old",
    "grey new",
    "burst",
    "slow zone",
    "kill",
    "pause",
    "partition",
)


def draw_scenario(seed: int, gateways: int, is_good: bool) -> Scenario:
    """Return a random rollout in which the last stage fits the bound.

    Its duration is long enough for two exchanges with all gateways, and the budget
    covers the exposure until a fault under full load is known.
    """
    random = Random(seed)
    late_ms = max(200.0, 1000 * gateways / 120 if gateways > 30 else 0.0)
    while True:
        scenario = Scenario(
            seed,
            gateways,
            random.choice((5, 20, 60, 150, 300, 600)),
            random.choice((6000, 12000, 20000, 30000, 60000)),
            int(random.uniform(late_ms, 2000)),
            "" if is_good else random.choice(FAULTS),
            tuple(word for word in DISTURBANCES if random.random() < 0.2),
        )
        loop_ms = 0.6 * scenario.late_ms + 0.6 * (100 + 9 * gateways) + 200
        is_long = 0.8 * scenario.duration_ms >= 2.5 * loop_ms + 1500
        budget_ms = 0.1 * scenario.duration_ms + 50_000 / scenario.rate
        if is_long and budget_ms >= 2 * loop_ms + 700:
            return scenario


@dataclass
class Outcome:
    """What a rollout came to."""

    state: RolloutState = RolloutState.ACTIVE
    ended_ms: int = 0
    reason: str = ""
    seen: int = 0
    exposed: int = 0
    bad: int = 0
    bad_before_end: int = 0
    """Number of bad responses before the rollout ended."""
    fiftieth_ms: float = float("inf")
    late_sends: int = 0
    last_exposed_ms: float = 0.0
    """Time of the last request to the target."""
    shares: list[tuple[int, float]] = field(default_factory=list)

    def within_bound(self, bound: ExposureBound) -> bool:
        """Return whether a bad version stayed within the bound."""
        allowed = bound.share * self.seen + bound.allowance
        return self.exposed <= allowed and not self.late_sends


class Gateway:
    """A gateway's counters and its permission."""

    def __init__(self, name: str, started_ms: int, spread_ms: float) -> None:
        self.name = name
        self.evidence = VersionEvidence(1, started_ms)
        self.splitter = Splitter()
        self.permission: Permission | None = None
        self.spread_ms = spread_ms
        self.cut_off = (0.0, 0.0)
        self.running: dict[int, tuple[CellKey, float]] = {}


class RolloutSimulation:
    """Runs one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = s = scenario
        self.random = random = Random(repr(s))
        self.bound = ExposureBound()
        self.order = RolloutOrder("rosters", "v2", s.duration_ms, 1, 0)
        self.outcome = Outcome()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.now = 0.0
        self.count = 0
        longest_ms = 100 + 9 * s.gateways
        self.gateways = [
            Gateway(f"g{i}", 0, random.uniform(20, longest_ms))
            for i in range(s.gateways)
        ]
        self.interval_ms = 250 if s.gateways <= 30 else 1000 * s.gateways / 120
        self.ready_ms = random.uniform(300, min(3000, 0.2 * s.duration_ms))
        if "not ready" in s.disturbances:
            self.ready_ms = float("inf")
        self.fraction = random.uniform(0.15, 0.6)
        self.slowness = random.uniform(4, 8)
        self.onset_ms = random.uniform(0.3, 0.6) * s.duration_ms
        self.load_share = random.uniform(0.2, 0.6)
        self.bad_route = random.choice(ROUTES)
        self.burst_ms = random.uniform(0.2, 0.8) * s.duration_ms
        self.recent: list[float] = []
        self.committed = (RolloutState.ACTIVE, 0.0)
        self.controller: RolloutController | None = self._take_over()
        self.paused_until = 0.0
        for gateway in self.gateways:
            if "cut off" in s.disturbances:
                gateway.cut_off = (0.5 * s.duration_ms, float("inf"))
            if "partition" in s.disturbances and random.random() < 0.1:
                start = random.uniform(0, s.duration_ms)
                gateway.cut_off = (start, start + random.uniform(1000, 5000))
            self._after(random.uniform(0, self.interval_ms), self._report, gateway)
        for kind, action in (("kill", self._kill), ("pause", self._pause)):
            if kind in s.disturbances:
                self._after(random.uniform(0.1, 0.6) * s.duration_ms, action)
        self._after(0, self._step)
        self._after(0, self._renew)
        self._after(0, self._arrive)

    def run(self) -> Outcome:
        """Run until the duration ends."""
        while self.events and self.events[0][0] < self.scenario.duration_ms:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.outcome

    def _after(self, delay_ms: float, action: Callable[..., None], *args) -> None:
        self.count += 1
        at = self.now + delay_ms
        heapq.heappush(self.events, (at, self.count, lambda: action(*args)))

    # The holder of the lease

    def _take_over(self) -> RolloutController:
        state, share = self.committed
        return RolloutController(self.order, self.bound, int(self.now), state, share)

    def _kill(self) -> None:
        self.controller = None

        def start() -> None:
            self.controller = self._take_over()

        self._after(self.random.uniform(500, 2500), start)

    def _pause(self) -> None:
        self.paused_until = self.now + self.random.uniform(300, 2500)

    def _step(self) -> None:
        self._after(STEP_MS, self._step)
        controller = self.controller
        if controller is None or self.now < self.paused_until:
            return
        ready = {"v1", "v2"} if self.now >= self.ready_ms else {"v1"}
        names = [g.name for g in self.gateways]
        decision = controller.step(int(self.now), ready, names)
        if (decision.state, decision.share) != self.committed:
            self._after(COMMIT_MS, self._commit, controller, decision)
        else:
            self.decision = decision

    def _commit(self, controller, decision) -> None:
        if controller is not self.controller:
            return
        if self.committed[0] is RolloutState.ACTIVE is not decision.state:
            self.outcome.state, self.outcome.reason = decision.state, decision.reason
            self.outcome.ended_ms = int(self.now)
            self.outcome.bad_before_end = self.outcome.bad
        self.committed = (decision.state, decision.share)
        self.outcome.shares.append((int(self.now), decision.share))
        self.decision = decision
        self._issue()

    decision = None

    def _renew(self) -> None:
        self._after(RENEWAL_MS, self._renew)
        if self.controller is not None and self.now >= self.paused_until:
            self._issue()

    def _issue(self) -> None:
        decision = self.decision
        if decision is None or not decision.valid_ms:
            return
        if (decision.state, decision.share) != self.committed:
            return
        permission = Permission(
            "rosters", "v2", 1, *self.committed, int(self.now), decision.valid_ms
        )
        for gateway in self.gateways:
            if self.random.random() < 0.95 and not self._is_cut_off(gateway):
                self._after(gateway.spread_ms, self._apply, gateway, permission)

    def _apply(self, gateway: Gateway, permission: Permission) -> None:
        known = gateway.permission
        if known is None or known.issued_ms < permission.issued_ms:
            gateway.permission = permission
            gateway.evidence.permission_ms = permission.issued_ms

    def _is_cut_off(self, gateway: Gateway) -> bool:
        return gateway.cut_off[0] <= self.now < gateway.cut_off[1]

    def _report(self, gateway: Gateway) -> None:
        self._after(self.interval_ms, self._report, gateway)
        if self._is_cut_off(gateway) or self.random.random() < 0.05:
            return
        latest = max(150.0, self.scenario.late_ms - self.interval_ms)
        gateway.evidence.set_waiting(
            (key, (self.now - start) / OBJECTIVE_MS)
            for key, start in gateway.running.values()
        )
        evidence = VersionEvidence(1, 0)
        evidence.merge(gateway.evidence)
        delay = self.random.uniform(50, latest)
        self._after(delay, self._receive, gateway.name, evidence)

    def _receive(self, name: str, evidence: VersionEvidence) -> None:
        if self.now < self.paused_until:
            self._after(self.paused_until - self.now, self._receive, name, evidence)
        elif self.controller is not None:
            self.controller.on_evidence(name, evidence, int(self.now))

    # Callers and backend servers

    def _in_burst(self) -> bool:
        is_burst = "burst" in self.scenario.disturbances
        return is_burst and 0 <= self.now - self.burst_ms < 1500

    def _arrive(self) -> None:
        rate = self.scenario.rate * (3 if self._in_burst() else 1)
        self._after(self.random.expovariate(rate / 1000.0), self._arrive)
        self.outcome.seen += 1
        gateway = self.random.choice(self.gateways)
        permission, now = gateway.permission, int(self.now)
        side = gateway.splitter.choose(permission, now, self.random.random())
        route = self.random.choices(ROUTES, ROUTE_WEIGHTS)[0]
        backend = self.random.randrange(self.scenario.backends)
        is_target = side is Side.TARGET
        version = "v2" if is_target else "v1"
        key = CellKey(route, version, f"b{backend}" if is_target else "")
        gateway.evidence.on_started(key)
        failed, ratio = self._usual(is_target, backend)
        if is_target:
            self.outcome.exposed += 1
            self.outcome.last_exposed_ms = self.now
            self.outcome.late_sends += self.now > self.outcome.fiftieth_ms + 5000
            self.recent = [t for t in self.recent if t > self.now - 500]
            self.recent.append(self.now)
            if self._is_bad(route) and self.random.random() < self.fraction:
                failed = failed or self.scenario.fault.startswith("failures")
                if self.scenario.fault.startswith("slow"):
                    ratio *= self.slowness
                self._after(ratio * OBJECTIVE_MS, self._count_bad)
        number = self.outcome.seen
        gateway.running[number] = (key, self.now)
        self._after(ratio * OBJECTIVE_MS, self._end, gateway, number, failed, ratio)

    def _usual(self, is_target: bool, backend: int) -> tuple[bool, float]:
        words = self.scenario.disturbances
        ratio = self.random.lognormvariate(-1.2, 0.4)
        failed = self.random.random() < 0.003
        if backend == 0 and ("grey new" if is_target else "grey old") in words:
            failed = failed or self.random.random() < 0.3
            ratio *= 4
        if "slow zone" in words and backend % 3 == 1:
            ratio *= 3
        return failed, ratio * (2 if self._in_burst() else 1)

    def _is_bad(self, route: str) -> bool:
        fault = self.scenario.fault
        if fault.endswith("late"):
            return self.now >= self.onset_ms
        if fault.endswith("load"):
            return len(self.recent) > 0.5 * self.scenario.rate * self.load_share
        if fault.endswith("route"):
            return route == self.bad_route
        return bool(fault)

    def _count_bad(self) -> None:
        self.outcome.bad += 1
        if self.outcome.bad == 50:
            self.outcome.fiftieth_ms = self.now

    def _end(self, gateway: Gateway, number: int, failed: bool, ratio: float) -> None:
        key, _ = gateway.running.pop(number)
        if not failed:
            gateway.evidence.on_time(key, ratio)
        gateway.evidence.on_ended(key, failed=failed)
