"""Capacity of the engines of a service by their measured speed; without I/O.

The planner's constant for the tokens of one engine is made for engines that nobody has
measured. For a service whose engines report how long their work takes, the capacity
follows from measured first events, from the share of the tokens that engines have to
read, and from the slots in use. It is lowered while requests are late or wait at the
engines, since a late or refused request costs its caller more than an engine.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.capacity.counts import ENGINE_TOKENS_PER_S
from tanagerturn.serving.routing.prompt_parts import PREFILL_TOKENS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

READING_SHARE: Final = 0.5
"""Share of the time of an engine that is planned for reading prompts; the remainder is
for bursts and for the steps of running requests."""

MAX_GAIN: Final = 2.2
"""Largest capacity of an engine as a multiple of `ENGINE_TOKENS_PER_S`. Measurements
at a low load say little of a load several times as high."""

MIN_GAIN: Final = 0.5
"""Smallest capacity of an engine as a multiple of `ENGINE_TOKENS_PER_S`."""

SLOT_SHARE: Final = 0.5
"""Share of the slots that is planned to be in use. Each running request delays a first
event by about 6 ms, so that 32 of 64 take up a third of an objective of 0.6 s."""

MAX_BACKLOG_S: Final = 0.4
"""Time in seconds that an engine may take for the unread prompts at it, on average over
all engines, before more engines are planned. Prompts count as unread until the digest
after their first event, so that 0.25 s are usual at `READING_SHARE`."""

LATE_SHARE: Final = 0.02
"""Share of late and refused requests from which more engines are planned."""

RAISE_PER_S: Final = 0.12
"""Relative increase per second of the planned engines while requests are late."""

LOWER_PER_S: Final = 0.01
"""Relative decrease per second of that increase while none are."""

MAX_RAISE: Final = 2.5
"""Largest factor on the planned engines because of late requests."""

MIN_REQUESTS: Final = 10
"""Number of own requests from which the measurements of a gateway count."""

REQUESTS_TIME_CONSTANT_S: Final = 10.0
"""Time constant in seconds of the counts of requests."""

USE_TIME_CONSTANT_S: Final = 5.0
"""Time constant in seconds with which the slots in use are smoothed while they fall."""


@dataclass(frozen=True)
class EngineUse:
    """Present use of the engines of one service by all gateways."""

    running: int
    """Number of requests at the engines."""
    unread_tokens: int
    """Prompt tokens at the engines that are not known to have been read."""
    slots: int
    """Number of slots of one engine."""
    time_factors: Sequence[float]
    """Mean time factor of each ready engine."""
    common_ratio: float
    """Ratio of measured to expected first events of all engines."""


@dataclass(frozen=True)
class EngineCapacity:
    """Capacity of the engines of one service."""

    tokens_per_s: float
    """Tokens per second that callers may request from an engine, on average over the
    ready ones: a slow one counts as a fraction of one."""
    min_engines: float
    """Number of engines that the requests in flight need."""
    raised: float
    """Factor on the number of engines because of late requests, 1 or more."""


class EngineRate:
    """Measurements of one service, from which its capacity follows."""

    def __init__(self) -> None:
        self.asked_tokens = 0.0
        """Decaying sum of the tokens that requests of this gateway asked for."""
        self.read_tokens = 0.0
        """Decaying sum of the tokens of these requests that engines had to read."""
        self.ended = 0.0
        """Decaying number of ended requests of this gateway."""
        self.late = 0.0
        """Decaying number of those that were late or refused."""
        self.request_count = 0
        """Number of sent requests so far."""
        self.counted_s = 0.0
        """Time in seconds to which the sums have decayed."""
        self.raised = 1.0
        """Factor on the number of engines because of late requests."""
        self.used_slots = 0.0
        """Smoothed number of requests at the engines of all gateways."""
        self.updated_s = 0.0
        """Time in seconds of the last `capacity`."""

    def on_sent(self, asked_tokens: int, read_tokens: int, now_s: float) -> None:
        """Count a request that is sent to an engine.

        Args:
            asked_tokens: Tokens that the request asks for.
            read_tokens: Tokens that the engine has to read.
            now_s: Current time in seconds.
        """
        self._decay(now_s)
        self.request_count += 1
        self.asked_tokens += asked_tokens
        self.read_tokens += read_tokens

    def on_first_event(self, now_s: float, *, is_late: bool) -> None:
        """Count a request that had its first event, or was refused for its lateness.

        Args:
            now_s: Current time in seconds.
            is_late: Whether the objective for the first event was missed.
        """
        self._decay(now_s)
        self.ended += 1
        self.late += is_late

    def capacity(self, use: EngineUse, now_s: float) -> EngineCapacity | None:
        """Return the capacity of the engines; None if too little is known of it.

        Args:
            use: Present use of the engines.
            now_s: Current time in seconds.
        """
        self._decay(now_s)
        passed_s = min(5.0, max(0.0, now_s - self.updated_s))
        self.updated_s = now_s
        if self.request_count < MIN_REQUESTS or not use.time_factors:
            return None
        if not self.asked_tokens:
            return None
        engine_count = len(use.time_factors)
        # An engine that takes twice as long has half of the capacity.
        mean_speed = sum(1 / factor for factor in use.time_factors) / engine_count
        read_share = max(0.1, self.read_tokens / self.asked_tokens)
        tokens_per_ms = PREFILL_TOKENS_PER_MS * mean_speed / use.common_ratio
        tokens_per_s = 1000 * tokens_per_ms * READING_SHARE / read_share
        tokens_per_s = min(
            MAX_GAIN * ENGINE_TOKENS_PER_S,
            max(MIN_GAIN * ENGINE_TOKENS_PER_S, tokens_per_s),
        )
        backlog_s = use.unread_tokens / (1000 * tokens_per_ms * engine_count)
        self._update_raise(backlog_s, passed_s)
        self._update_use(use.running, passed_s)
        min_engines = self.used_slots / (SLOT_SHARE * max(1, use.slots))
        return EngineCapacity(tokens_per_s, min_engines, self.raised)

    def _update_raise(self, backlog_s: float, passed_s: float) -> None:
        has_late = self.ended >= 10 and self.late > LATE_SHARE * self.ended
        if has_late or backlog_s > MAX_BACKLOG_S:
            raised = self.raised * (1 + RAISE_PER_S * passed_s)
            self.raised = min(MAX_RAISE, raised)
        else:
            self.raised = max(1.0, self.raised * (1 - LOWER_PER_S * passed_s))

    def _update_use(self, running: int, passed_s: float) -> None:
        if running >= self.used_slots:
            self.used_slots = running
            return
        weight = 1 - math.exp(-passed_s / USE_TIME_CONSTANT_S)
        self.used_slots += weight * (running - self.used_slots)

    def _decay(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self.counted_s)
        self.counted_s = now_s
        memory = math.exp(-passed_s / REQUESTS_TIME_CONSTANT_S)
        self.asked_tokens *= memory
        self.read_tokens *= memory
        self.ended *= memory
        self.late *= memory


def engines_for(tokens_per_s: float, capacity: EngineCapacity) -> float:
    """Return the number of engines that meet a demand in tokens per second."""
    needed = tokens_per_s / capacity.tokens_per_s * capacity.raised
    return max(needed, capacity.min_engines)
