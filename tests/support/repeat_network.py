"""Gateways that share evidence against repeated requests, in simulated time."""

from __future__ import annotations

from dataclasses import dataclass

from support.quarantine_network import Engine, QuarantineNetwork, Traffic
from tanagerturn.gateway.repeats import (
    apply_suspect_requests,
    encode_suspect_requests,
    reported_requests,
    trial_turn,
)
from tanagerturn.serving.quarantine.evidence import CrashId, Fingerprint
from tanagerturn.serving.quarantine.repeats import RepeatQuarantine

POLL = Fingerprint(7)
"""A sound request that comes again as often as the crashing ones."""

MAX_ATTEMPTS = 2
"""Number of engines to which one attempt of a caller may be sent."""


@dataclass
class RepeatAttempt:
    """One request at an engine."""

    gateway: int
    fingerprint: Fingerprint
    ends_s: float
    is_bad: bool
    is_trial: bool
    tries_left: int


class RepeatNetwork(QuarantineNetwork):
    """Gateways with evidence of their own, and engines that crash under some requests.

    `bad_parts` of the traffic is the number of requests that crash engines.
    """

    def __init__(self, traffic: Traffic, seed: int) -> None:
        super().__init__(traffic, seed)
        self.crashes: dict[Fingerprint, list[float]] = {}
        """Times in seconds of the crashes under each bad request."""
        self.arrivals: list[tuple[Fingerprint, float, float]] = []
        """Fingerprint and time in seconds of each arrival of a bad request at engines,
        and for how long the gateway that sent it had run."""
        self.polls: list[tuple[float, bool]] = []
        """Time in seconds of each attempt of `POLL`, and whether it was rejected."""
        self.request_count = 0

    def make_node(self) -> RepeatQuarantine:
        """Return the evidence of a gateway that has just started."""
        return RepeatQuarantine()

    def reported(self, node: RepeatQuarantine) -> list[Fingerprint]:
        """Return the suspects that a gateway's digest reports."""
        return reported_requests(node, self.now_s)

    def encode(self, node: RepeatQuarantine, suspects: list[Fingerprint]):
        """Return the message that reports suspects to peers."""
        return encode_suspect_requests(node, suspects, self.now_s)

    def apply(self, node: RepeatQuarantine, message) -> None:
        """Merge a peer's message."""
        apply_suspect_requests(node, message, self.now_s)

    def late_arrivals(self, delay_s: float) -> int:
        """Return the most arrivals of one request later than its third crash.

        Args:
            delay_s: Time in seconds after the third crash from which they count, and
                for which the gateways that sent them had run.
        """
        return max(
            (
                sum(
                    f == bad and s > crashes_s[2] + delay_s and ran_s > delay_s
                    for f, s, ran_s in self.arrivals
                )
                for bad, crashes_s in self.crashes.items()
                if len(crashes_s) >= 3
            ),
            default=0,
        )

    def rejected_polls(self, from_s: float) -> float:
        """Return the share of rejected attempts of `POLL` from a time on."""
        sent = [rejected for s, rejected in self.polls if s >= from_s]
        assert len(sent) >= 20, f"only {len(sent)} polls"
        return sum(sent) / len(sent)

    def _ticker(self, number: int):
        return lambda: self.nodes[number].update(self.now_s)

    def _request(self, *, is_bad: bool) -> None:
        traffic, now_s = self.traffic, self.now_s
        if is_bad and now_s < traffic.bad_from_s:
            return
        self.request_count += 1
        if is_bad:
            fingerprint = Fingerprint(1 + self.random.randrange(traffic.bad_parts))
        elif self.random.random() < 0.5:
            fingerprint = POLL
        else:
            fingerprint = Fingerprint(1000 + self.request_count)
        gateway = self.random.randrange(len(self.nodes))
        node = self.nodes[gateway]
        is_trial = False
        if node.is_quarantined(fingerprint):
            names = [str(number) for number in range(len(self.nodes))]
            names.remove(str(gateway))
            turn = trial_turn(fingerprint, str(gateway), names)
            is_trial = any(e.back_s <= now_s for e in self.engines) and node.try_again(
                fingerprint, turn, now_s
            )
        is_rejected = node.is_quarantined(fingerprint) and not is_trial
        if fingerprint == POLL:
            self.polls.append((now_s, is_rejected))
        if not is_rejected:
            attempt = RepeatAttempt(
                gateway, fingerprint, 0.0, is_bad, is_trial, MAX_ATTEMPTS
            )
            self._send(attempt)

    def _send(self, attempt: RepeatAttempt) -> None:
        up = [engine for engine in self.engines if engine.back_s <= self.now_s]
        if not up:
            return
        engine = min(up, key=lambda e: (len(e.attempts), self.random.random()))
        if attempt.is_bad:
            ran_s = self.now_s - self.started_s[attempt.gateway]
            self.arrivals.append((attempt.fingerprint, self.now_s, ran_s))
        if attempt.is_trial:
            self.nodes[attempt.gateway].on_tried(attempt.fingerprint, self.now_s)
        attempt.tries_left -= 1
        attempt.ends_s = self.now_s + self.random.uniform(0.05, 0.12)
        engine.attempts.append(attempt)
        boot = engine.boot
        self._at(attempt.ends_s, lambda: self._end(engine, boot, attempt))

    def _end(self, engine: Engine, boot: int, attempt: RepeatAttempt) -> None:
        if engine.boot != boot or attempt not in engine.attempts:
            return
        if attempt.is_bad:
            self.crashes.setdefault(attempt.fingerprint, []).append(self.now_s)
            self._crash(engine)
            return
        engine.attempts.remove(attempt)
        node = self.nodes[attempt.gateway]
        node.on_ran_well(attempt.fingerprint, self.now_s, self.now_s)

    def _crash(self, engine: Engine) -> None:
        crash = CrashId(1000 * engine.number + engine.boot)
        broken, engine.attempts = engine.attempts, []
        engine.boot += 1
        engine.back_s = self.now_s + 4.0
        for attempt in broken:
            node = self.nodes[attempt.gateway]
            node.on_crash(
                crash, attempt.fingerprint, self.now_s, is_trial=attempt.is_trial
            )
        for attempt in broken:
            node = self.nodes[attempt.gateway]
            if attempt.tries_left and not node.is_suspect(attempt.fingerprint):
                self._send(attempt)

    def _lose_engines(self) -> None:
        super()._lose_engines()
        # Engines that come back crash again, without a request as the cause.
        if self.now_s < self.traffic.bad_from_s + 9.0:
            self._at(self.now_s + 4.5, self._lose_engines)
