"""Interfaces that call execution depends on: the clock and the backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from tanagerturn.serving.requests import call as calls

if TYPE_CHECKING:
    from tanagerturn.schema import serving_pb2 as pb
    from tanagerturn.serving.requests.permission import Permission


@dataclass(frozen=True)
class CallPolicy:
    """Settings of a service that apply to a call."""

    max_attempts: int
    """Attempts that may be permitted in total."""
    has_outcome_query: bool
    """Whether the service has an outcome query."""
    answer_limit_bytes: int
    """Maximum size of an answer body that is stored, in bytes."""


class Clock(Protocol):
    """Source of the current time."""

    def wall_ms(self) -> int:
        """Return the wall clock time in milliseconds."""
        ...

    def monotonic_s(self) -> float:
        """Return the monotonic clock time in seconds."""
        ...

    def pause(self, seconds: float) -> None:
        """Block for the given time."""
        ...


SendEvent = calls.NotSent | calls.Answered | calls.AnswerLost
QueryEvent = calls.QueryExecuted | calls.QueryNotExecuted | calls.QueryFailed


class BackendCalls(Protocol):
    """Calls to the backend servers."""

    def choose(self, record: pb.RequestRecord) -> str:
        """Return the backend server for the next attempt; empty when none is up."""
        ...

    def send(self, record: pb.RequestRecord, permission: Permission) -> SendEvent:
        """Send the attempt on a new connection.

        The permission is checked after connecting, before the first byte is sent.
        """
        ...

    def ask(self, record: pb.RequestRecord) -> QueryEvent:
        """Query the service for the outcome of the call."""
        ...
