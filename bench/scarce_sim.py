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

from tanagerturn.serving.admission.scarcity import OUTPUT_TOKEN_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from scarce_policies import Policy

TOKENS_PER_S = 61_000.0
IDLE_S = 0.12
TIMEOUT_S = 5.0
MAX_ATTEMPTS = 4
DIGEST_DELAY_S = 0.2
MAX_DIGEST_INTERVAL_S = 1.8
SAMPLE_S = 0.05
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
            lambda now_s: self.policy.on_first_event(
                gateway, wait_s, kind.work_s, now_s
            ),
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
