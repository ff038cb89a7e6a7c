"""Engines that end for a reason of their own, under requests that share a part."""

from __future__ import annotations

from dataclasses import dataclass

from support.quarantine_network import (
    BAD_PARTS,
    FIRST,
    Attempt,
    Engine,
    QuarantineNetwork,
    Traffic,
)
from tanagerturn.serving.quarantine.evidence import PartId

SECOND = PartId("f1")
"""Part that all prompts have as well, if the first one is not alone."""

OUTAGE_S = 5.0
"""Time in seconds at which the engines begin to end."""

BUSY_S = 1.0
"""Time in seconds before the first end from which engines have not begun to write what
they receive."""

LOOP_LIFE_S = (0.2, 1.5)
"""Shortest and longest time in seconds for which an engine runs in a crash loop."""


@dataclass(frozen=True)
class Outage:
    """Ends of engines without a cause in a request."""

    ended: int
    """Number of engines that end, of those of the traffic."""
    within_s: float
    """Time in seconds within which they end."""
    back_s: float
    """Time in seconds from the first end to the first engine that is back; the others
    follow one by one, 0.3 s apart."""
    rounds: int = 1
    """Number of times that each of these engines ends."""
    is_proven: bool = True
    """Whether requests with the shared part ran well before."""
    is_alone: bool = True
    """Whether only one part is in all requests."""
    bad_share: float = 0.0
    """Share of the requests that have a part which crashes engines."""


class OutageNetwork(QuarantineNetwork):
    """Gateways whose engines end for a reason of their own.

    Args:
        traffic: Requests and faults; `sound_per_s` requests a second share a part.
        outage: Ends of the engines.
        seed: Seed of all random choices.
    """

    def __init__(self, traffic: Traffic, outage: Outage, seed: int) -> None:
        super().__init__(traffic, seed)
        self.outage = outage
        self.first_back_s = 0.0
        """Time in seconds at which the first engine is back for good."""
        self.rejections: list[float] = []
        """Time in seconds of each rejected sound request while an engine was there."""
        self.sound_count = 0
        """Number of sound requests while an engine was there, from 3 s after the first
        one was back for good."""
        self.request_count = 0
        for number, engine in enumerate(self.engines[: outage.ended]):
            self._plan_ends(number, engine)

    def late_rejections(self, delay_s: float) -> int:
        """Return the rejected sound requests later than the first engine was back."""
        return sum(s > self.first_back_s + delay_s for s in self.rejections)

    def _plan_ends(self, number: int, engine: Engine) -> None:
        outage = self.outage
        offset_s = outage.within_s * number / max(1, outage.ended - 1)
        at_s = OUTAGE_S + offset_s
        back_s = OUTAGE_S + outage.back_s + 0.3 * number
        for index in range(outage.rounds):
            down_s = back_s - at_s
            self._at(at_s, lambda down_s=down_s: self._crash(engine, down_s))
            if index + 1 < outage.rounds:
                at_s = back_s + self.random.uniform(*LOOP_LIFE_S)
                back_s = at_s + outage.back_s
        if outage.ended < len(self.engines):
            self.first_back_s = OUTAGE_S + outage.within_s
        else:
            previous_s = self.first_back_s or back_s
            self.first_back_s = min(previous_s, back_s)

    def _queueing_s(self) -> float:
        end_s = OUTAGE_S + self.outage.within_s
        are_all_lost = self.outage.ended == len(self.engines)
        if are_all_lost and OUTAGE_S - BUSY_S <= self.now_s < end_s:
            # The engines are busy: nothing of this is written when they end.
            return end_s + 1.0 - self.now_s
        return super()._queueing_s()

    def _request(self, *, is_bad: bool) -> None:
        del is_bad  # Of all requests, a share has the bad part.
        outage, now_s = self.outage, self.now_s
        if not outage.is_proven and now_s < OUTAGE_S - BUSY_S:
            return
        self.request_count += 1
        parts = [FIRST, PartId(f"own{self.request_count}")]
        if not outage.is_alone:
            parts.insert(1, SECOND)
        is_crashing = self.random.random() < outage.bad_share
        if is_crashing:
            parts.insert(1, BAD_PARTS[0])
        gateway = self.random.randrange(len(self.nodes))
        node = self.nodes[gateway]
        up = [engine for engine in self.engines if engine.back_s <= now_s]
        if not up:
            return
        is_trial = self._is_tried(gateway, parts)
        is_rejected = node.find(parts) is not None and not is_trial
        if not is_crashing:
            self.sound_count += now_s > self.first_back_s + 3.0
            if is_rejected:
                self.rejections.append(now_s)
        if is_rejected:
            return
        engine = min(up, key=lambda e: (len(e.attempts), self.random.random()))
        begins_s = now_s + self._queueing_s()
        ends_s = begins_s + self.random.uniform(0.6, 4.0)
        if is_crashing:
            ends_s = begins_s + self.random.uniform(0.04, 0.13)
            ran_s = now_s - self.started_s[gateway]
            self.bad_arrivals.append((BAD_PARTS[0], now_s, ran_s))
        attempt = Attempt(
            gateway, tuple(parts), begins_s, ends_s, is_crashing, f"r{now_s}", is_trial
        )
        if is_trial:
            node.on_tried(parts, now_s)
        self.start_attempt(engine, attempt)
