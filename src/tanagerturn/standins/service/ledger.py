"""Ledger of a service's executions by idempotency key."""

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
    """State of an idempotency key, as an outcome query reports it."""

    EXECUTED = "executed"
    """The call was executed; its response is stored."""
    RUNNING = "running"
    """An execution of the call has started and not ended."""
    NEVER = "never"
    """The call was not executed; its key is refused from now on."""


@dataclass(frozen=True)
class StoredOutcome:
    """Outcome of an idempotency key, with the stored response if there is one."""

    outcome: Outcome
    """State of the key."""
    body: bytes = b""
    """Body of the first execution's response; empty unless the key is executed."""


def expected_response_fields(
    method: str, path: str, key: str, body: bytes
) -> dict[str, str]:
    """Return the fields by which a response is matched to its call.

    Args:
        method: HTTP method of the call.
        path: Path of the call at the service.
        key: Idempotency key of the call; empty for a lookup.
        body: Body of the call.

    Returns:
        Fields of the response that together occur in no other call's response.
    """
    return {
        "method": method,
        "path": path,
        "key": key,
        "body_digest": xxhash.xxh64_hexdigest(body),
    }


class Ledger:
    """Executions of one service, shared by all its hosts; thread-safe.

    It simulates the service's own database. It counts repeated executions of a key
    instead of preventing them, so that tests can detect them.
    """

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        """Number of executions by idempotency key."""
        self.responses: dict[str, bytes] = {}
        """Body of the first execution's response, by idempotency key."""
        self.running: Counter[str] = Counter()
        """Number of executions that have started and not ended, by idempotency key."""
        self.refused_keys: set[str] = set()
        """Keys that were declared not executed and are always refused."""
        self.refused_call_count = 0
        """Number of calls refused because of their key."""
        self.lookups = 0
        """Number of lookups."""
        self.lock = threading.Lock()
        """Guards all attributes."""

    def begin(self, key: str) -> bool:
        """Start an execution.

        Returns:
            False if the key was declared not executed, so that the call is refused.
        """
        with self.lock:
            if key in self.refused_keys:
                self.refused_call_count += 1
                return False
            self.running[key] += 1
            return True

    def abandon(self, key: str) -> None:
        """Undo `begin` after the host stopped before the execution."""
        with self.lock:
            self.running[key] -= 1

    def execute(self, key: str, fields: Mapping[str, str]) -> bytes:
        """Count and end an execution that `begin` started.

        Args:
            key: Idempotency key.
            fields: Fields that identify the call; see `expected_response_fields`.

        Returns:
            Body of the response.
        """
        with self.lock:
            self.running[key] -= 1
            self.executions[key] += 1
            number = len(self.executions)
            response = orjson.dumps(
                {**fields, "number": number, "execution": self.executions[key]}
            )
            self.responses.setdefault(key, response)
            return response

    def look_up(self, fields: Mapping[str, str]) -> bytes:
        """Count a lookup and return the body of its response.

        Args:
            fields: Fields that identify the call; see `expected_response_fields`.
        """
        with self.lock:
            self.lookups += 1
        return orjson.dumps(fields)

    def outcome(self, key: str) -> StoredOutcome:
        """Return the outcome of a key.

        A key that has neither been executed nor is running is refused from now on,
        so that the reported outcome stays true.
        """
        with self.lock:
            if key in self.responses:
                return StoredOutcome(Outcome.EXECUTED, self.responses[key])
            if self.running[key] > 0:
                return StoredOutcome(Outcome.RUNNING)
            self.refused_keys.add(key)
            return StoredOutcome(Outcome.NEVER)

    def repeated_keys(self) -> list[str]:
        """Return the keys that were executed more than once."""
        with self.lock:
            return sorted(key for key, n in self.executions.items() if n > 1)
