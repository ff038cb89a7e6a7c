"""What a service executed, by idempotency key; shared by the service's hosts."""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import orjson
import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping


class Outcome(Enum):
    """What became of a key, as the outcome query tells."""

    EXECUTED = "executed"
    """The stored answer is there."""
    RUNNING = "running"
    """An execution has begun and not ended."""
    NEVER = "never"
    """Not executed, and refused from now on."""


@dataclass(frozen=True)
class StoredAnswer:
    """Outcome of a key with the answer when there is one."""

    outcome: Outcome
    """What became of the key."""
    body: bytes = b""
    """The answer of the first execution."""


def expected_answer(method: str, path: str, key: str, body: bytes) -> dict[str, str]:
    """Return the fields that identify the answer to one call.

    Args:
        method: HTTP method.
        path: Path at the service.
        key: Idempotency key, or empty.
        body: Body that was sent.

    Returns:
        Fields that only the answer to this call has.
    """
    return {
        "method": method,
        "path": path,
        "key": key,
        "body_digest": xxhash.xxh64_hexdigest(body),
    }


class Ledger:
    """Executions of one service; its hosts share one ledger.

    It stands for the service's own database: it does not prevent a second
    execution, it counts it.
    """

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        """Executions of each idempotency key."""
        self.answers: dict[str, bytes] = {}
        """Answer of each key's first execution."""
        self.running: Counter[str] = Counter()
        """Executions that have begun and not ended."""
        self.refused: set[str] = set()
        """Keys that are refused for ever."""
        self.refusals = 0
        """Calls refused because of their key."""
        self.lookups = 0
        """Lookups answered."""
        self.lock = threading.Lock()
        """Guards all of it."""

    def begin(self, key: str) -> bool:
        """Start an execution; False when the key is refused for ever."""
        with self.lock:
            if key in self.refused:
                self.refusals += 1
                return False
            self.running[key] += 1
            return True

    def abandon(self, key: str) -> None:
        """Undo a start: the host died before it executed."""
        with self.lock:
            self.running[key] -= 1

    def execute(self, key: str, fields: Mapping[str, str]) -> bytes:
        """End an execution and return its answer."""
        with self.lock:
            self.running[key] -= 1
            self.executions[key] += 1
            number = len(self.executions)
            answer = orjson.dumps(
                {**fields, "number": number, "execution": self.executions[key]}
            )
            self.answers.setdefault(key, answer)
            return answer

    def look_up(self, fields: Mapping[str, str]) -> bytes:
        """Answer a lookup."""
        with self.lock:
            self.lookups += 1
        return orjson.dumps(fields)

    def outcome(self, key: str) -> StoredAnswer:
        """Tell what became of a key; an unknown key is refused from now on."""
        with self.lock:
            if key in self.answers:
                return StoredAnswer(Outcome.EXECUTED, self.answers[key])
            if self.running[key] > 0:
                return StoredAnswer(Outcome.RUNNING)
            self.refused.add(key)
            return StoredAnswer(Outcome.NEVER)

    def doubled(self) -> list[str]:
        """Return the keys that were executed more than once."""
        with self.lock:
            return sorted(key for key, n in self.executions.items() if n > 1)
