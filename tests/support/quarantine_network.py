"""Gateways that share evidence against prompt parts, in simulated time."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tanagerturn.gateway.quarantine import (
    apply_suspects,
    encode_suspects,
    reported_parts,
)
from tanagerturn.gateway.repeats import trial_turn
from tanagerturn.gateway.spread.mesh import (
    BATCH_INTERVAL_S,
    DIGEST_BATCH,
    MAX_DIGESTS_PER_S,
    MIN_DIGEST_INTERVAL_S,
    TICK_S,
)
from tanagerturn.serving.quarantine.evidence import CrashId, PartId
from tanagerturn.serving.quarantine.quarantine import WELL_AFTER_S, PartQuarantine

if TYPE_CHECKING:
    from collections.abc import Callable

BAD_PARTS = (PartId("bad0"), PartId("bad1"))
"""Parts that crash engines."""

FIRST = PartId("f0")
"""First part of all prompts."""

HOP_S = 0.003
"""Time in seconds that a datagram takes."""

DOWN_S = 4.0
"""Time in seconds for which a crashed engine is down."""


@dataclass
class Traffic:
    """Requests and faults of a simulation."""

    gateways: int = 9
    engines: int = 5
    bad_parts: int = 1
    """Number of parts that crash engines, each in requests of its own."""
    bad_per_s: float = 3.0
    """Requests with a bad part per second."""
    sound_per_s: float = 12.0
    """Requests without it per second."""
    middle_parts: int = 12
    """Number of parts after the first one, one in each prompt; the more, the fewer
    requests share each."""
    bad_from_s: float = 5.0
    """Time in seconds from which the bad part crashes engines."""
    is_bad_known: bool = False
    """Whether requests with the bad part run well until `bad_from_s`."""
    loss: float = 0.0
    """Fraction of the datagrams that are lost."""
    restart_s: float = 0.0
    """Interval in seconds at which one gateway restarts; 0 for never."""
    lost_engines: float = 0.0
    """Share of the engines that are lost together at `bad_from_s`, without a cause in
    a prompt."""


@dataclass
class Attempt:
    """One request at an engine."""

    gateway: int
    parts: tuple[PartId, ...]
    begins_s: float
    ends_s: float
    is_bad: bool
    id: str
    is_trial: bool = False


@dataclass
class Engine:
    """One engine and its requests."""

    number: int
    boot: int = 0
    back_s: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)


class QuarantineNetwork:
    """Gateways with evidence of their own, and engines that crash under one part.

    Args:
        traffic: Requests and faults.
        seed: Seed of all random choices.
    """

    def __init__(self, traffic: Traffic, seed: int) -> None:
        self.traffic = traffic
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.nodes = [self.make_node() for _ in range(traffic.gateways)]
        self.started_s = [0.0] * traffic.gateways
        """Time in seconds of each gateway's last start."""
        self.engines = [Engine(number) for number in range(traffic.engines)]
        self.crashes_s: dict[PartId, list[float]] = {}
        """Times in seconds of the crashes under each bad part."""
        self.bad_arrivals: list[tuple[PartId, float, float]] = []
        """Part and time in seconds of each arrival of a bad part, and for how long the
        gateway that sent it had run."""
        self.sound: list[tuple[float, bool]] = []
        """Time in seconds of each sound request, and whether it was rejected."""
        self.quarantined: set[PartId] = set()
        """Parts that any gateway ever quarantined."""
        self.datagrams = 0
        """Number of datagrams with evidence that were sent at once."""

    def run(self, duration_s: float) -> None:
        """Simulate for `duration_s` seconds."""
        traffic, count = self.traffic, self.traffic.gateways
        interval_s = max(MIN_DIGEST_INTERVAL_S, count / MAX_DIGESTS_PER_S)
        for number in range(count):
            offset_s = self.random.random()
            self._every(TICK_S, offset_s * TICK_S, self._ticker(number))
            self._every(BATCH_INTERVAL_S, offset_s * 0.02, self._sender(number))
            self._every(interval_s, offset_s * interval_s, self._digester(number))
        self._poisson(traffic.sound_per_s, lambda: self._request(is_bad=False))
        self._poisson(traffic.bad_per_s, lambda: self._request(is_bad=True))
        if traffic.restart_s:
            self._every(traffic.restart_s, traffic.restart_s, self._restart)
        if traffic.lost_engines:
            self._at(traffic.bad_from_s, self._lose_engines)
        while self.events and self.events[0][0] < duration_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()

    def bad_arrivals_after(self, delay_s: float) -> int:
        """Return how many requests with one part reached engines after its fifth crash.

        Args:
            delay_s: Time in seconds after the fifth crash from which they count, and
                for which the gateways that sent them had run.

        Returns:
            The number of the part with the most such requests.
        """
        return max(
            (
                sum(
                    part == bad and s > crashes_s[4] + delay_s and ran_s > delay_s
                    for part, s, ran_s in self.bad_arrivals
                )
                for bad, crashes_s in self.crashes_s.items()
                if len(crashes_s) >= 5
            ),
            default=0,
        )

    def rejected_share(self, delay_s: float) -> float:
        """Return the share of sound requests rejected after the fifth or last crash.

        With several bad parts, the last of these crashes counts.
        """
        last_s = max(
            (crashes_s[:5][-1] for crashes_s in self.crashes_s.values()),
            default=self.traffic.bad_from_s,
        )
        sent = [rejected for s, rejected in self.sound if s > last_s + delay_s]
        assert len(sent) >= 20, f"only {len(sent)} sound requests"
        return sum(sent) / len(sent)

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (at_s, self.event_count, action))

    def _every(
        self, interval_s: float, first_s: float, action: Callable[[], None]
    ) -> None:
        def act() -> None:
            action()
            self._at(self.now_s + interval_s, act)

        self._at(first_s, act)

    def _poisson(self, rate_per_s: float, action: Callable[[], None]) -> None:
        if not rate_per_s:
            return

        def act() -> None:
            action()
            self._at(self.now_s + self.random.expovariate(rate_per_s), act)

        self._at(self.random.expovariate(rate_per_s), act)

    def _ticker(self, number: int) -> Callable[[], None]:
        def tick() -> None:
            node = self.nodes[number]
            if node.update(self.now_s):
                self.quarantined |= node.quarantined
                for engine in self.engines:
                    engine.attempts = [
                        a
                        for a in engine.attempts
                        if a.gateway != number
                        or a.begins_s <= self.now_s
                        or node.find(a.parts) is None
                    ]

        return tick

    def _sender(self, number: int) -> Callable[[], None]:
        def send() -> None:
            node = self.nodes[number]
            if node.urgent:
                self.datagrams += len(self.nodes) - 1
                self._broadcast(number, node.take_urgent(), spread=False)

        return send

    def _digester(self, number: int) -> Callable[[], None]:
        def digest() -> None:
            suspects = self.reported(self.nodes[number])
            if suspects:
                self._broadcast(number, suspects, spread=True)

        return digest

    def make_node(self):
        """Return the evidence of a gateway that has just started."""
        return PartQuarantine()

    def reported(self, node) -> list:
        """Return the suspects that a gateway's digest reports."""
        return reported_parts(node, self.now_s)

    def encode(self, node, suspects: list):
        """Return the message that reports suspects to peers."""
        return encode_suspects(node, suspects, self.now_s)

    def apply(self, node, message) -> None:
        """Merge a peer's message."""
        apply_suspects(node, message, self.now_s)

    def _broadcast(self, sender: int, suspects: list, *, spread: bool) -> None:
        data = self.encode(self.nodes[sender], suspects)
        peers = [n for n in range(len(self.nodes)) if n != sender]
        self.random.shuffle(peers)
        for index, peer in enumerate(peers):
            if self.random.random() < self.traffic.loss:
                continue
            wait_s = index // DIGEST_BATCH * BATCH_INTERVAL_S if spread else 0.0

            def deliver(peer: int = peer) -> None:
                self.apply(self.nodes[peer], data)

            self._at(self.now_s + HOP_S + wait_s, deliver)

    def _restart(self) -> None:
        number = self.random.randrange(len(self.nodes))
        self.nodes[number] = self.make_node()
        self.started_s[number] = self.now_s

    def _request(self, *, is_bad: bool) -> None:
        traffic, now_s = self.traffic, self.now_s
        is_crashing = is_bad and now_s >= traffic.bad_from_s
        if is_bad and not is_crashing and not traffic.is_bad_known:
            return
        middle = PartId(f"m{self.random.randrange(traffic.middle_parts)}")
        parts = [FIRST, middle]
        bad = self.random.choice(BAD_PARTS[: traffic.bad_parts])
        if is_bad:
            parts.insert(self.random.randrange(3), bad)
        gateway = self.random.randrange(len(self.nodes))
        node = self.nodes[gateway]
        up = [engine for engine in self.engines if engine.back_s <= now_s]
        rejected = node.find(parts)
        is_trial = bool(up) and self._is_tried(gateway, parts)
        is_rejected = rejected is not None and not is_trial
        if not is_bad:
            self.sound.append((now_s, is_rejected))
        if is_rejected or not up:
            return
        engine = min(up, key=lambda e: (len(e.attempts), self.random.random()))
        begins_s = now_s + self._queueing_s()
        ends_s = begins_s + self.random.uniform(0.6, 4.0)
        if is_crashing:
            ends_s = begins_s + self.random.uniform(0.04, 0.13)
            ran_s = now_s - self.started_s[gateway]
            self.bad_arrivals.append((bad, now_s, ran_s))
        attempt = Attempt(
            gateway, tuple(parts), begins_s, ends_s, is_crashing, f"r{now_s}", is_trial
        )
        if is_trial:
            node.on_tried(parts, now_s)
        self.start_attempt(engine, attempt)

    def start_attempt(self, engine: Engine, attempt: Attempt) -> None:
        """Run a request at an engine until it ends."""
        engine.attempts.append(attempt)
        boot = engine.boot
        self._at(attempt.ends_s, lambda: self._end(engine, boot, attempt))
        if not attempt.is_bad:
            self._at(
                attempt.begins_s + WELL_AFTER_S,
                lambda: self._prove(engine, boot, attempt),
            )

    def _is_tried(self, gateway: int, parts: list[PartId]) -> bool:
        """Return whether a gateway lets a request with a quarantined part through."""
        node = self.nodes[gateway]
        part = node.find(parts)
        if part is None:
            return False
        peers = [str(n) for n in range(len(self.nodes)) if n != gateway]
        turn = trial_turn(part, str(gateway), peers)
        up = [e.back_s for e in self.engines if e.back_s <= self.now_s]
        return node.try_again(parts, turn, self.now_s, min(up))

    def _queueing_s(self) -> float:
        """Return the time in seconds until an engine begins to write."""
        return self.random.uniform(0.05, 0.6)

    def _prove(self, engine: Engine, boot: int, attempt: Attempt) -> None:
        if engine.boot == boot and attempt in engine.attempts:
            node = self.nodes[attempt.gateway]
            node.on_ran_well(attempt.parts, attempt.begins_s, self.now_s)

    def _end(self, engine: Engine, boot: int, attempt: Attempt) -> None:
        if engine.boot != boot or attempt not in engine.attempts:
            return
        if attempt.is_bad:
            bad = next(part for part in attempt.parts if part in BAD_PARTS)
            self.crashes_s.setdefault(bad, []).append(self.now_s)
            self._crash(engine)
            return
        engine.attempts.remove(attempt)
        node = self.nodes[attempt.gateway]
        node.on_ran_well(attempt.parts, attempt.begins_s, self.now_s)

    def _crash(self, engine: Engine, down_s: float = DOWN_S) -> None:
        crash = CrashId(1000 * engine.number + engine.boot)
        for attempt in engine.attempts:
            if self.now_s - attempt.begins_s < WELL_AFTER_S:
                self.nodes[attempt.gateway].on_crash(
                    crash,
                    attempt.id,
                    attempt.parts,
                    self.now_s,
                    is_trial=attempt.is_trial,
                )
        engine.attempts = []
        engine.boot += 1
        engine.back_s = self.now_s + down_s
        self._at(engine.back_s, lambda: self._announce_start(crash))

    def _announce_start(self, crash: CrashId) -> None:
        """Let all gateways learn that an engine has ended and is replaced."""
        for node in self.nodes:
            node.crash_log.remember(crash, self.now_s)

    def _lose_engines(self) -> None:
        count = round(self.traffic.lost_engines * len(self.engines))
        for engine in self.random.sample(self.engines, count):
            self._crash(engine)
