"""Simulation of gateways that choose among engines of different speed; no network.

An engine runs up to `SLOTS` requests at a time and queues the others. Its time for a
unit of work is a lasting factor of the engine times a momentary one, which is drawn
anew every `STEP_S`. Each gateway knows its own requests at once, and the reports of the
engines and the requests of the other gateways as they were some time ago.
"""

from __future__ import annotations

import heapq
import statistics
from collections import deque
from dataclasses import dataclass
from random import Random

from tanagerturn.serving.routing.speed import EngineSpeed, ServiceSpeeds
from tanagerturn.serving.routing.spread import (
    plain_load,
    sample_size,
    spread_choice,
    unknown_requests,
)

SLOTS = 8
WORK_S = 0.1
LASTING = (0.55, 1.2, 1.2, 1.2)
SLOW = 2.5
SLOW_SHARE = 0.3
STEP_S = 0.6
DIGEST_S = 0.5
"""Time between two digests that a gateway gets of a peer's measurements."""
WARM_UP = 0.4
"""Share of the requests at the beginning that are not measured."""


@dataclass
class Setting:
    """Size of a simulation, and how old the gateways' knowledge is."""

    gateways: int
    age_s: float
    engines: int = 30
    load: float = 0.6
    requests: int = 8_000
    seed: int = 1
    only_own_reports: bool = False
    """Reports arrive with the responses to the gateway's own requests only."""


class Engine:
    """One simulated engine, whose completion times follow from its arrivals."""

    def __init__(self, number, random):
        self.lasting = LASTING[number % len(LASTING)]
        self.random = random
        self.phase_s = random.random() * STEP_S
        self.steps = []
        self.free_s = [0.0] * SLOTS
        self.ends = []
        self.counts = deque([(-1e9, 0)], maxlen=4_000)
        """Time and number of requests at the engine after each change."""

    def momentary(self, at_s):
        """Return the momentary factor at a time."""
        step = max(0, int((at_s + self.phase_s) / STEP_S))
        while len(self.steps) <= step:
            is_slow = self.random.random() < SLOW_SHARE
            self.steps.append(SLOW if is_slow else 1.0)
        return self.steps[step]

    def end_of(self, work_s, at_s):
        """Return when work that arrives now would be done."""
        at_s = max(at_s, self.free_s[0])
        left_s = work_s * self.lasting
        while True:
            factor = self.momentary(at_s)
            step_ends = (int((at_s + self.phase_s) / STEP_S) + 1) * STEP_S
            room_s = step_ends - self.phase_s - at_s + 1e-9
            if left_s * factor <= room_s:
                return at_s + left_s * factor
            left_s -= room_s / factor
            at_s += room_s

    def accept(self, work_s, at_s):
        """Run work that arrives now; return when it is done."""
        end_s = self.end_of(work_s, at_s)
        heapq.heapreplace(self.free_s, end_s)
        self.settle(at_s)
        heapq.heappush(self.ends, end_s)
        self.counts.append((at_s, len(self.ends)))
        return end_s

    def settle(self, at_s):
        """Count the requests that have ended."""
        while self.ends and self.ends[0] <= at_s:
            self.counts.append((heapq.heappop(self.ends), len(self.ends)))

    def count_at(self, at_s):
        """Return the number of requests at an earlier time."""
        for since_s, count in reversed(self.counts):
            if since_s <= at_s:
                return count
        return 0


class Gateway:
    """One gateway: its own requests, and what it learned of the engines."""

    def __init__(self, engines):
        self.own = [deque() for _ in range(engines)]
        """Start and end time of its recent requests at each engine."""
        self.speeds = [EngineSpeed("b1") for _ in range(engines)]
        self.service = ServiceSpeeds()
        self.service.response_s = WORK_S
        self.pending = []
        self.turn = 0
        self.next_digest_s = 0.0


class Simulation:
    """One run of one policy."""

    def __init__(self, policy, setting):
        self.policy, self.setting = policy, setting
        self.random = Random(setting.seed)
        self.engines = [
            Engine(n, Random(setting.seed * 1000 + n)) for n in range(setting.engines)
        ]
        self.gateways = [Gateway(setting.engines) for _ in range(setting.gateways)]
        for gateway in self.gateways:
            gateway.turn = self.random.randrange(setting.engines)

    def run(self):
        """Return the completion times of the measured requests in seconds."""
        setting = self.setting
        slowness = 1 + SLOW_SHARE * (SLOW - 1)
        capacity = sum(SLOTS / (WORK_S * e.lasting * slowness) for e in self.engines)
        rate = setting.load * capacity
        now_s, times_s = 0.0, []
        for number in range(setting.requests):
            now_s += self.random.expovariate(rate)
            gateway = self.random.choice(self.gateways)
            work_s = WORK_S * self.random.lognormvariate(-0.125, 0.5)
            chosen = self.choose(gateway, work_s, now_s)
            engine = self.engines[chosen]
            end_s = engine.accept(work_s, now_s)
            self.sent(gateway, chosen, now_s, end_s)
            if number >= WARM_UP * setting.requests:
                times_s.append(end_s - now_s)
        return times_s

    def sent(self, gateway, chosen, now_s, end_s):
        """Record a request that the gateway sent."""
        speed = gateway.speeds[chosen]
        running = sum(self.known_running(gateway, chosen, now_s))
        expected_s = WORK_S * plain_load(running, SLOTS)
        momentary = speed.momentary(gateway.service.decay, now_s)
        gateway.own[chosen].append((now_s, end_s))
        entry = (end_s, chosen, now_s, expected_s, momentary)
        heapq.heappush(gateway.pending, entry)

    def learn(self, gateway, now_s):
        """Apply the responses that the gateway got so far."""
        service = gateway.service
        while gateway.pending and gateway.pending[0][0] <= now_s:
            end_s, chosen, sent_s, expected_s, momentary = heapq.heappop(
                gateway.pending
            )
            speed = gateway.speeds[chosen]
            at_s = end_s - self.setting.age_s
            percent = round(100 * self.engines[chosen].momentary(at_s))
            if at_s > speed.reported_s:
                speed.on_report(percent, service.decay, at_s)
            measured_s = end_s - sent_s
            during = (momentary + speed.momentary(service.decay, end_s)) / 2
            speed.on_measured(measured_s, expected_s, during)
            service.on_response(measured_s)
        if not self.setting.only_own_reports:
            at_s = now_s - self.setting.age_s
            for speed, engine in zip(gateway.speeds, self.engines, strict=True):
                if at_s > speed.reported_s:
                    speed.report, speed.reported_s = engine.momentary(at_s), at_s
        if now_s >= gateway.next_digest_s:
            gateway.next_digest_s = now_s + DIGEST_S
            peer = self.random.choice(self.gateways)
            if peer is not gateway:
                pairs = zip(gateway.speeds, peer.speeds, strict=True)
                for speed, theirs in pairs:
                    speed.on_peer(theirs.log_ratio, theirs.samples)
        if service.is_refresh_due(now_s):
            service.refresh(gateway.speeds, now_s)

    def known_running(self, gateway, index, now_s):
        """Return the own and the others' requests at an engine, as known."""
        then_s = now_s - self.setting.age_s
        own = gateway.own[index]
        while own and own[0][1] <= then_s:
            own.popleft()
        engine = self.engines[index]
        engine.settle(now_s)
        own_then = sum(start_s <= then_s for start_s, _ in own)
        own_now = sum(end_s > now_s for _, end_s in own)
        others = max(0, engine.count_at(then_s) - own_then)
        return own_now, others

    def choose(self, gateway, work_s, now_s):
        """Return the index of the engine of a request."""
        engines, policy = self.engines, self.policy
        count = len(engines)
        if policy == "oracle":
            return min(range(count), key=lambda i: engines[i].end_of(work_s, now_s))
        if policy == "round robin":
            gateway.turn = (gateway.turn + 1) % count
            return gateway.turn
        if policy == "two choices":
            pair = self.random.sample(range(count), 2)
            return min(pair, key=lambda i: sum(self.known_running(gateway, i, now_s)))
        self.learn(gateway, now_s)
        known = [self.known_running(gateway, i, now_s) for i in range(count)]
        running = [own + others for own, others in known]
        if policy == "least load":
            return min(range(count), key=lambda i: (running[i], i))
        return self.choose_by_speed(gateway, known, now_s)

    def choose_by_speed(self, gateway, known, now_s):
        """Choose by the speeds that the policy knows."""
        service, policy = gateway.service, self.policy
        factors = []
        middle_s = now_s + min(0.5, service.response_s / 2)
        for speed, engine in zip(gateway.speeds, self.engines, strict=True):
            if policy == "lasting":
                factors.append(speed.lasting * speed.mean_report)
            elif policy == "momentary":
                factors.append(speed.momentary(service.decay, middle_s))
            elif policy == "true speeds":
                factors.append(engine.lasting * engine.momentary(now_s))
            else:
                factors.append(speed.time_factor(service.decay, middle_s))
        loads = [plain_load(own + others, SLOTS) for own, others in known]
        costs = [f * load for f, load in zip(factors, loads, strict=True)]
        added = [f / SLOTS for f in factors]
        size = sample_size(len(costs), is_plain=True)
        sample = self.random.sample(range(len(costs)), min(len(costs), size))
        others_sum = sum(known[index][1] for index in sample)
        unknown = unknown_requests(others_sum, self.setting.age_s, service.response_s)
        chosen = spread_choice(
            [costs[index] for index in sample],
            [added[index] for index in sample],
            unknown,
            self.random.random(),
        )
        return sample[chosen]


POLICIES = (
    "round robin",
    "least load",
    "two choices",
    "lasting",
    "momentary",
    "both",
    "true speeds",
    "oracle",
)


def simulate(policy, setting):
    """Return the mean and the 95th percentile of the completion times in seconds."""
    times_s = sorted(Simulation(policy, setting).run())
    return statistics.fmean(times_s), times_s[int(0.95 * len(times_s))]
