"""Seeded plans of faults that stand-ins commit."""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping

HASH_RANGE: Final = float(1 << 64)


class Fault(Enum):
    """What a stand-in does wrong with one request."""

    DIE_BEFORE_FIRST_BYTE = "die_before_first_byte"
    """Closes the connection and does nothing."""
    DIE_AFTER_EXECUTION = "die_after_execution"
    """Executes, then closes the connection without an answer."""
    DIE_MID_ANSWER = "die_mid_answer"
    """Closes the connection in the middle of the answer."""
    ANSWER_LATE = "answer_late"
    """Executes, then waits before it answers."""
    ANSWER_TWICE = "answer_twice"
    """Writes the answer a second time after the first."""
    DELAY = "delay"
    """Waits before it executes."""
    STALL = "stall"
    """Stops in the middle of a stream and keeps the connection open."""
    WRONG_REQUEST_ID = "wrong_request_id"
    """Marks events of the answer with the id of another request."""
    REFUSE = "refuse"
    """Answers 503 and does nothing."""


@dataclass(frozen=True)
class FaultPlan:
    """Which share of requests meets which fault.

    The choice depends on the seed, the request's key and how often the key was
    seen, not on the order in which threads arrive.
    """

    seed: int = 0
    """Seed of the choice."""
    rates: Mapping[Fault, float] = field(default_factory=dict)
    """Share of requests that meet each fault; the sum is at most 1."""
    delay_ms: float = 500.0
    """Wait of DELAY and ANSWER_LATE, in milliseconds."""

    def choose(self, key: str, seen: int) -> Fault | None:
        """Choose the fault of one call.

        Args:
            key: Names the request.
            seen: How often the key was seen before.

        Returns:
            The fault, or None for an orderly answer.
        """
        hashed = xxhash.xxh64_intdigest(f"{key}:{seen}".encode(), self.seed)
        point = hashed / HASH_RANGE
        for fault, rate in self.rates.items():
            if point < rate:
                return fault
            point -= rate
        return None


class FaultCounter:
    """Chooses faults by a plan and counts them; safe for several threads.

    Args:
        plan: The plan to follow.
    """

    def __init__(self, plan: FaultPlan) -> None:
        self.plan = plan
        """The plan that is followed; may be replaced while running."""
        self.seen: Counter[str] = Counter()
        """Calls of each key."""
        self.committed: Counter[Fault] = Counter()
        """Faults committed so far."""
        self.lock = threading.Lock()
        """Guards the counts."""

    def next_fault(self, key: str) -> Fault | None:
        """Choose and count the fault of the next call of a key."""
        if not self.plan.rates:
            return None
        with self.lock:
            fault = self.plan.choose(key, self.seen[key])
            self.seen[key] += 1
            if fault is not None:
                self.committed[fault] += 1
        return fault
