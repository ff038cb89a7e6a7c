"""Fault injection: which requests a stand-in handles wrongly, chosen by a seed."""

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
"""Number of values of a 64-bit hash."""


class Fault(Enum):
    """A fault that a stand-in injects into one request.

    Engines do not implement DIE_AFTER_EXECUTION, ANSWER_LATE and ANSWER_TWICE; plain
    services do not implement DIE_MID_ANSWER, STALL and WRONG_REQUEST_ID. They count
    such a fault as chosen, but handle the request correctly.
    """

    DIE_BEFORE_FIRST_BYTE = "die_before_first_byte"
    """Resets the connection without executing the request."""
    DIE_AFTER_EXECUTION = "die_after_execution"
    """Executes the request, then resets the connection without a response."""
    DIE_MID_ANSWER = "die_mid_answer"
    """Resets the connection in the middle of a streamed response."""
    ANSWER_LATE = "answer_late"
    """Executes the request, then waits before it sends the response."""
    ANSWER_TWICE = "answer_twice"
    """Sends the same response twice."""
    DELAY = "delay"
    """Waits before it executes the request."""
    STALL = "stall"
    """Stops sending in the middle of a streamed response and keeps the connection
    open."""
    WRONG_REQUEST_ID = "wrong_request_id"
    """Puts the id of another request into the events of the response."""
    REFUSE = "refuse"
    """Responds with status 503 without executing the request."""


@dataclass(frozen=True)
class FaultPlan:
    """The rate of each fault, and the seed that selects the affected requests.

    The selection depends on the seed, the request's key and the number of earlier
    calls with that key, but not on the order in which concurrent requests arrive, so
    runs of equal seed are comparable.
    """

    seed: int = 0
    """Seed of the selection."""
    rates: Mapping[Fault, float] = field(default_factory=dict)
    """Fraction of calls that get each fault; the sum is at most 1."""
    delay_ms: float = 500.0
    """Duration of DELAY and ANSWER_LATE, in milliseconds."""

    def choose(self, key: str, earlier_calls: int) -> Fault | None:
        """Choose the fault of one call.

        Args:
            key: Idempotency key, request id or path of the request.
            earlier_calls: Number of earlier calls with this key.

        Returns:
            The fault to inject; None to handle the call correctly.
        """
        hashed = xxhash.xxh64_intdigest(f"{key}:{earlier_calls}".encode(), self.seed)
        point = hashed / HASH_RANGE
        for fault, rate in self.rates.items():
            if point < rate:
                return fault
            point -= rate
        return None


class FaultInjector:
    """Chooses the fault of each call by a plan, and counts the faults; thread-safe.

    Args:
        plan: Rates and seed of the faults.
    """

    def __init__(self, plan: FaultPlan) -> None:
        self.plan = plan
        """Rates and seed of the faults; may be replaced at any time."""
        self.call_counts: Counter[str] = Counter()
        """Number of calls with each key; counted only while the plan has rates."""
        self.injected: Counter[Fault] = Counter()
        """Number of times that each fault was chosen."""
        self.lock = threading.Lock()
        """Guards `call_counts` and `injected`."""

    def next_fault(self, key: str) -> Fault | None:
        """Choose and count the fault of the next call with a key.

        Args:
            key: Idempotency key, request id or path of the request.

        Returns:
            The fault to inject; None to handle the call correctly.
        """
        if not self.plan.rates:
            return None
        with self.lock:
            fault = self.plan.choose(key, self.call_counts[key])
            self.call_counts[key] += 1
            if fault is not None:
                self.injected[fault] += 1
        return fault
