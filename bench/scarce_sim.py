"""Simulates admission at many gateways while the engines can't serve all; no network.

Engines serve one request after the other, the most urgent first as the stand-in engine
does: its uncached prompt at a fixed read rate, then its output tokens. A gateway knows
the backlog of the engines as of its last digest, and what it has sent itself since.
Refused callers come again at another gateway.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from tanagerturn.serving.admission.engine_demand import OTHER_ACCOUNTS
from tanagerturn.serving.admission.first_event import Deferred, admit
from tanagerturn.serving.admission.price import ServicePrice
from tanagerturn.serving.admission.scarcity import (
    OUTPUT_TOKEN_S,
    Refuse,
    ScarceRequest,
    decide,
    on_requested,
)

if TYPE_CHECKING:
    from collections.abc import Callable

TOKENS_PER_S = 61_000.0
IDLE_S = 0.12
TIMEOUT_S = 5.0
MAX_ATTEMPTS = 4
DIGEST_DELAY_S = 0.2
MAX_DIGEST_INTERVAL_S = 1.8
SAMPLE_S = 0.05
POLL_S = 0.025
DISPATCH_BACKLOG_S = 0.1
ACCOUNTS_PER_KIND = 6
HOG_FACTOR = 7.5
CHOICES = 6


@dataclass(frozen=True)
class Kind:
    """One kind of request."""

    name: str
    value: float
    prompt_tokens: int
    output_tokens: int
    objective_s: float
    priority: int
    rate_per_s: float

    @property
    def read_s(self) -> float:
        """Engine time of the prompt in seconds."""
        return self.prompt_tokens / TOKENS_PER_S

    @property
    def work_s(self) -> float:
        """Engine time of the request in seconds."""
        return self.read_s + self.output_tokens * OUTPUT_TOKEN_S


KINDS = (
    Kind("rosters", 3.2, 17_000, 220, 0.9, 1, 55.0),
    Kind("answers", 2.7, 9_200, 260, 0.66, 0, 24.0),
    Kind("hints", 0.3, 1_460, 30, 0.54, 2, 85.0),
)
"""The kinds of the specification; it states no output tokens."""

NEEDED_ENGINES = sum(kind.rate_per_s * kind.work_s for kind in KINDS)


@dataclass(eq=False)
class Arrival:
    """One request of a caller."""

    number: int
    at_s: float
    kind: Kind
    account: int
    draw: float
    attempts: int = 0
    first_gateway: int = -1
    first_event_s: float = math.inf
    """Time from the first attempt to the first event; infinity if refused."""

    @property
    def is_in_time(self) -> bool:
        """Whether the first event came within the objective."""
        return self.first_event_s <= self.kind.objective_s


@dataclass(frozen=True)
class Load:
    """Which traffic arrives."""

    seconds: float = 60.0
    waves: float = 0.3
    has_bursts: bool = True
    has_hog: bool = True

    def rate(self, kind: Kind, account: int, now_s: float) -> float:
        """Return the requests per second of one account at a time."""
        rate = kind.rate_per_s / ACCOUNTS_PER_KIND
        phase = KINDS.index(kind) * 2.1
        rate *= 1.0 + self.waves * math.sin(now_s / 20.0 * 2 * math.pi + phase)
        third = self.seconds / 6
        if self.has_bursts and kind.name == "hints" and third <= now_s < third + 4:
            rate *= 4.0
        if self.has_bursts and kind.name == "answers" and 0 <= now_s - 5 * third < 4:
            rate *= 2.5
        is_hog = kind.name == "rosters" and account == 1
        if self.has_hog and is_hog and 2.5 * third <= now_s < 4 * third:
            rate *= HOG_FACTOR
        return rate


def arrivals_of(load: Load, seed: int) -> list[Arrival]:
    """Return the requests of a load, by time."""
    random = Random(seed)
    found: list[Arrival] = []
    for kind in KINDS:
        for account in range(1, ACCOUNTS_PER_KIND + 1):
            peak = kind.rate_per_s / ACCOUNTS_PER_KIND * 1.3 * HOG_FACTOR
            now_s = random.expovariate(peak)
            while now_s < load.seconds:
                if random.random() * peak < load.rate(kind, account, now_s):
                    draw = random.random()
                    number = KINDS.index(kind) * ACCOUNTS_PER_KIND + account
                    found.append(Arrival(0, now_s, kind, number, draw))
                now_s += random.expovariate(peak)
    found.sort(key=lambda each: each.at_s)
    for number, each in enumerate(found):
        each.number = number
    return found


@dataclass
class View:
    """What one gateway knows of the engines."""

    sampled_s: float = 0.0
    backlog: list[float] = field(default_factory=list)
    own: list[tuple[float, int, float, Arrival]] = field(default_factory=list)
    """Sending, engine, work and request of each own one since the sample. The engine
    is the best one by this view, where the known backlog has to grow."""
    believed: int = 0
    """Best engine by this view."""


@dataclass
class Engine:
    """One engine."""

    queue: list[tuple[int, int, float, int, Arrival]] = field(default_factory=list)
    """Waiting requests: priority, order of sending, time of sending, gateway,
    request."""
    queued_s: float = 0.0
    """Work of the waiting requests."""
    free_s: float = 0.0
    """End of the request that runs."""

    def backlog_s(self, now_s: float) -> float:
        """Return the work at the engine."""
        return max(0.0, self.free_s - now_s) + self.queued_s


class Simulation:
    """Engines, views of gateways and the clock.

    Args:
        arrivals: Requests, by time.
        engines: Number of engines.
        gateways: Number of gateways.
        policy: Policy of all gateways.
        seed: Seed of digest times and gateways of requests.
    """

    def __init__(
        self,
        arrivals: list[Arrival],
        engines: int,
        gateways: int,
        policy: Policy,
        seed: int,
    ) -> None:
        self.arrivals = arrivals
        self.engines, self.gateways, self.policy = engines, gateways, policy
        self.random = Random(seed)
        self.machines = [Engine() for _ in range(engines)]
        self.samples: deque[tuple[float, list[float]]] = deque()
        self.views = [View(0.0, [0.0] * engines) for _ in range(gateways)]
        self.heap: list[tuple[float, int, Callable[[float], None]]] = []
        self.count = 0
        self.work_s = 0.0
        self.abandoned_s = 0.0
        self.refused: dict[tuple[str, int], int] = {}
        self.asked: dict[tuple[str, int], int] = {}
        self.admitted: list[tuple[float, float]] = []
        self.slowest_refusal_s = 0.0

    def at(self, when_s: float, action: Callable[[float], None]) -> None:
        """Perform an action at a time."""
        self.count += 1
        heapq.heappush(self.heap, (when_s, self.count, action))

    def run(self) -> None:
        """Run until nothing is left to do."""
        end_s = self.arrivals[-1].at_s + TIMEOUT_S
        for each in self.arrivals:
            self.at(each.at_s, lambda now_s, each=each: self.arrive(each, now_s))
        self.at(0.0, lambda now_s: self._sample(now_s, end_s))
        for gateway in range(self.gateways):
            first_s = self.random.random() * MAX_DIGEST_INTERVAL_S
            self.at(first_s, lambda now_s, g=gateway: self._digest(g, now_s, end_s))
        self.policy.start(self, end_s)
        while self.heap:
            now_s, _, action = heapq.heappop(self.heap)
            action(now_s)

    def arrive(self, request: Arrival, now_s: float) -> None:
        """Let an attempt of a request arrive at a gateway."""
        gateway = self.random.randrange(self.gateways)
        request.attempts += 1
        if request.attempts == 1:
            request.first_gateway = gateway
            key = request.kind.name, gateway
            self.asked[key] = self.asked.get(key, 0) + 1
        self.policy.on_arrival(self, gateway, request, now_s)

    def best(self, gateway: int, now_s: float) -> tuple[int, float]:
        """Return an engine for a request, and the least backlog that is known.

        The selection stands for `serving/routing`: it finds the true best of some
        engines, so that differences between policies come from admission alone.
        """
        view = self.views[gateway]
        view.own = [e for e in view.own if now_s < e[3].at_s + e[3].first_event_s]
        backlog = list(view.backlog)
        for _, engine, work_s, _ in view.own:
            backlog[engine] += work_s
        tried = self.random.sample(range(self.engines), min(CHOICES, self.engines))
        best = min(tried, key=lambda e: self.machines[e].backlog_s(now_s))
        least = min(backlog)
        near = [e for e, b in enumerate(backlog) if b <= least + 0.01]
        view.believed = self.random.choice(near)
        return best, least

    def send(self, gateway: int, request: Arrival, engine: int, now_s: float) -> None:
        """Send a request to an engine."""
        machine, work_s = self.machines[engine], request.kind.work_s
        self.count += 1
        entry = (request.kind.priority, self.count, now_s, gateway, request)
        heapq.heappush(machine.queue, entry)
        machine.queued_s += work_s
        view = self.views[gateway]
        view.own.append((now_s, view.believed, work_s, request))
        self.work_s += work_s
        self.admitted.append((now_s, work_s))
        if now_s >= machine.free_s:
            self._serve(machine, now_s)

    def _serve(self, machine: Engine, now_s: float) -> None:
        """Start the most urgent request that waits at an engine."""
        if not machine.queue or now_s < machine.free_s:
            return
        _, _, sent_s, gateway, request = heapq.heappop(machine.queue)
        kind = request.kind
        machine.queued_s = max(0.0, machine.queued_s - kind.work_s)
        if now_s - request.at_s > TIMEOUT_S:
            # The caller has left, and the gateway has cancelled the request.
            self._serve(machine, now_s)
            return
        machine.free_s = now_s + kind.work_s
        first_event_s = now_s + kind.read_s + IDLE_S
        request.first_event_s = first_event_s - request.at_s
        wait_s = now_s - sent_s
        if request.first_event_s > TIMEOUT_S:
            self.abandoned_s += kind.work_s
        self.at(
            first_event_s,
            lambda now_s: self.policy.on_first_event(gateway, wait_s, now_s),
        )
        self.at(machine.free_s, lambda now_s: self._serve(machine, now_s))

    def refuse(
        self,
        gateway: int,
        request: Arrival,
        now_s: float,
        retry_after_s: float | None,
    ) -> None:
        """Refuse an attempt; the caller comes again if it is told when."""
        if request.attempts == 1:
            key = request.kind.name, gateway
            self.refused[key] = self.refused.get(key, 0) + 1
        if retry_after_s is None or request.attempts >= MAX_ATTEMPTS:
            return
        when_s = now_s + retry_after_s * (1.0 + 0.5 * self.random.random())
        if when_s < request.at_s + TIMEOUT_S:
            self.at(when_s, lambda now_s: self.arrive(request, now_s))

    def _sample(self, now_s: float, end_s: float) -> None:
        backlog = [each.backlog_s(now_s) for each in self.machines]
        self.samples.append((now_s, backlog))
        while self.samples[0][0] < now_s - 2 * DIGEST_DELAY_S:
            self.samples.popleft()
        if now_s < end_s:
            self.at(now_s + SAMPLE_S, lambda now_s: self._sample(now_s, end_s))

    def _digest(self, gateway: int, now_s: float, end_s: float) -> None:
        """Renew a gateway's view, and send what the policy tells peers."""
        sampled_s, backlog = self.samples[0]
        for at_s, each in self.samples:
            if at_s <= now_s - DIGEST_DELAY_S:
                sampled_s, backlog = at_s, each
        view = self.views[gateway]
        view.sampled_s, view.backlog = sampled_s, backlog
        view.own = [each for each in view.own if each[0] > sampled_s]
        self.policy.on_digest(self, gateway, now_s)
        if now_s < end_s:
            next_s = (
                now_s + 0.05 + self.random.random() * (MAX_DIGEST_INTERVAL_S - 0.05)
            )
            self.at(next_s, lambda now_s: self._digest(gateway, now_s, end_s))


class Policy:
    """How gateways decide; the base class sends everything."""

    name = "send all"

    def start(self, sim: Simulation, end_s: float) -> None:
        """Prepare for a simulation."""

    def on_digest(self, sim: Simulation, gateway: int, now_s: float) -> None:
        """Send a digest to the peers of a gateway."""

    def on_first_event(self, gateway: int, wait_s: float, now_s: float) -> None:
        """Learn how long a request waited at its engine."""

    def on_arrival(
        self, sim: Simulation, gateway: int, request: Arrival, now_s: float
    ) -> None:
        """Decide about an attempt."""
        engine, _ = sim.best(gateway, now_s)
        sim.send(gateway, request, engine, now_s)


class PresentRule(Policy):
    """The rule of first_event.py."""

    name = "present rule"

    def on_arrival(
        self, sim: Simulation, gateway: int, request: Arrival, now_s: float
    ) -> None:
        """Decide about an attempt."""
        engine, backlog_s = sim.best(gateway, now_s)
        kind, waited_s = request.kind, now_s - request.at_s
        decision = admit(
            IDLE_S + backlog_s + kind.read_s,
            kind.read_s,
            waited_s,
            kind.objective_s,
            kind.priority,
            TIMEOUT_S - waited_s,
        )
        if isinstance(decision, Deferred):
            sim.refuse(gateway, request, now_s, decision.retry_after_s)
        else:
            sim.send(gateway, request, engine, now_s)


class SharedPrice(Policy):
    """The rule of scarcity.py.

    Args:
        report_max_age_s: Replaces the age to which reports count; None leaves it.
        damped: Whether the level follows slowly.
    """

    name = "shared price"

    def __init__(self) -> None:
        self.prices: list[ServicePrice] = []
        self.levels: list[tuple[float, float]] = []
        self.cut_off: set[int] = set()

    def start(self, sim: Simulation, end_s: float) -> None:
        """Prepare for a simulation."""
        self.prices = [ServicePrice() for _ in range(sim.gateways)]

    def on_first_event(self, gateway: int, wait_s: float, now_s: float) -> None:
        """Learn how long a request waited at its engine."""
        self.prices[gateway].on_first_event(wait_s, now_s)

    def on_digest(self, sim: Simulation, gateway: int, now_s: float) -> None:
        """Send a digest to the peers of a gateway."""
        price = self.prices[gateway]
        price.step(sim.engines, sim.gateways, now_s)
        self.levels.append((now_s, min(price.level, 3.0)))
        if gateway in self.cut_off:
            return
        report, sent_s = price.report(now_s), now_s

        def deliver(now_s: float) -> None:
            for peer, each in enumerate(self.prices):
                if peer != gateway and peer not in self.cut_off:
                    each.on_report(str(gateway), report, sent_s, now_s)

        sim.at(now_s + DIGEST_DELAY_S, deliver)

    def on_arrival(
        self, sim: Simulation, gateway: int, request: Arrival, now_s: float
    ) -> None:
        """Decide about an attempt."""
        engine, backlog_s = sim.best(gateway, now_s)
        kind, waited_s = request.kind, now_s - request.at_s
        price = self.prices[gateway]
        scarce = ScarceRequest(
            priority=kind.priority,
            account=request.account or OTHER_ACCOUNTS,
            draw=request.draw,
            read_s=kind.read_s,
            output_tokens=kind.output_tokens,
            idle_s=IDLE_S,
            backlog_s=backlog_s,
            waited_s=waited_s,
            objective_s=kind.objective_s,
            time_left_s=TIMEOUT_S - waited_s,
            nothing_waits=backlog_s <= 0.0,
        )
        if request.attempts == 1:
            on_requested(price, scarce, now_s)
        price.step(sim.engines, sim.gateways, now_s)
        decision = decide(price, scarce, now_s)
        if isinstance(decision, Refuse):
            sim.refuse(gateway, request, now_s, decision.retry_after_s)
        else:
            sim.send(gateway, request, engine, now_s)


class QueuePolicy(Policy):
    """Requests wait at their gateway and are sent in an order.

    Args:
        name: Name in the table.
        key: Returns a sort key of a request; the least one is sent first.
        is_fair: Client accounts take turns by the work sent for them.
    """

    def __init__(
        self,
        name: str,
        key: Callable[[Arrival, float], float],
        *,
        is_fair: bool = False,
    ) -> None:
        self.name, self.key, self.is_fair = name, key, is_fair
        self.queues: list[list[Arrival]] = []
        self.sent: list[dict[int, float]] = []

    def start(self, sim: Simulation, end_s: float) -> None:
        """Prepare for a simulation."""
        self.queues = [[] for _ in range(sim.gateways)]
        self.sent = [{} for _ in range(sim.gateways)]
        sim.at(0.0, lambda now_s: self._poll(sim, now_s, end_s))

    def on_arrival(
        self, sim: Simulation, gateway: int, request: Arrival, now_s: float
    ) -> None:
        """Decide about an attempt."""
        self.queues[gateway].append(request)
        self._dispatch(sim, gateway, now_s)

    def _poll(self, sim: Simulation, now_s: float, end_s: float) -> None:
        for gateway, queue in enumerate(self.queues):
            if queue:
                self._dispatch(sim, gateway, now_s)
        if now_s < end_s:
            sim.at(now_s + POLL_S, lambda now_s: self._poll(sim, now_s, end_s))

    def _dispatch(self, sim: Simulation, gateway: int, now_s: float) -> None:
        queue = self.queues[gateway]
        for request in list(queue):
            kind = request.kind
            latest_s = request.at_s + kind.objective_s - IDLE_S - kind.read_s
            if now_s > latest_s:
                queue.remove(request)
                sim.refuse(gateway, request, now_s, None)
        sent = self.sent[gateway]
        while queue:
            engine, backlog_s = sim.best(gateway, now_s)
            if backlog_s > DISPATCH_BACKLOG_S:
                return
            if self.is_fair:
                request = min(queue, key=lambda r: (sent.get(r.account, 0.0), r.at_s))
                floor = min(sent.get(each.account, 0.0) for each in queue)
                sent[request.account] = (
                    max(floor, sent.get(request.account, 0.0)) + request.kind.work_s
                )
            else:
                request = min(queue, key=lambda r: (self.key(r, now_s), r.at_s))
            queue.remove(request)
            sim.send(gateway, request, engine, now_s)


def queue_policies() -> list[QueuePolicy]:
    """Return the orders that are compared."""

    def smith(request: Arrival, now_s: float) -> float:
        # Importance halves with each priority step; waiting doubles it in 0.3 s.
        weight = 0.5**request.kind.priority * (1.0 + (now_s - request.at_s) / 0.3)
        return -weight / request.kind.work_s

    return [
        QueuePolicy("strict priority", lambda r, _: r.kind.priority),
        QueuePolicy("earliest deadline", lambda r, _: r.at_s + r.kind.objective_s),
        QueuePolicy("Smith's rule, ageing", smith),
        QueuePolicy("fair shares", lambda r, _: 0.0, is_fair=True),
    ]


def planner_benefit(arrivals: list[Arrival], engines: int) -> float:
    """Return the value that a planner gets which knows the next two seconds.

    The engines are one fluid server, so that this bounds what single engines allow.
    Each half second, the requests of the next two seconds are accepted by value for
    work while they fit before their latest end; those of the first half are kept.
    """
    bucket_s, ahead_s, step_s = 0.05, 2.0, 0.5
    free: dict[int, float] = {}
    capacity = engines * bucket_s
    value = 0.0
    index = 0
    now_s = 0.0
    while index < len(arrivals):
        known = []
        for each in arrivals[index:]:
            if each.at_s >= now_s + ahead_s:
                break
            known.append(each)
        known.sort(key=lambda r: r.kind.value / r.kind.work_s, reverse=True)
        planned = dict(free)
        for each in known:
            kind = each.kind
            taken: list[tuple[int, float]] = []
            left = kind.work_s
            latest_s = each.at_s + kind.objective_s - IDLE_S
            last = int((latest_s + kind.work_s - kind.read_s) / bucket_s)
            for bucket in range(int(each.at_s / bucket_s), last + 1):
                part = min(left, planned.get(bucket, capacity))
                if part > 0:
                    taken.append((bucket, part))
                    left -= part
                if left <= 1e-9:
                    break
            if left > 1e-9:
                continue
            for bucket, part in taken:
                planned[bucket] = planned.get(bucket, capacity) - part
                if each.at_s < now_s + step_s:
                    free[bucket] = free.get(bucket, capacity) - part
            if each.at_s < now_s + step_s:
                value += kind.value
        now_s += step_s
        while index < len(arrivals) and arrivals[index].at_s < now_s:
            index += 1
    return value
