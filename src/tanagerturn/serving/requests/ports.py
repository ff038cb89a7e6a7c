"""Interfaces that the execution of calls uses: the clock and the backend servers."""

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
    """Number of attempts that may be permitted in total."""
    has_outcome_query: bool
    """Whether the service has an outcome query."""
    answer_limit_bytes: int
    """Maximum size of a stored response body in bytes."""


class Clock(Protocol):
    """Source of the current time."""

    def wall_ms(self) -> int:
        """Return the wall clock time in milliseconds."""
        ...

    def monotonic_s(self) -> float:
        """Return the monotonic time in seconds."""
        ...

    def pause(self, seconds: float) -> None:
        """Block the calling thread for a number of seconds."""
        ...


SendEvent = calls.NotSent | calls.Answered | calls.AnswerLost
QueryEvent = calls.QueryExecuted | calls.QueryNotExecuted | calls.QueryFailed


class BackendCalls(Protocol):
    """Calls to the backend servers."""

    def choose(self, record: pb.RequestRecord) -> str:
        """Return the id of the server for the next attempt; empty if none is up.

        Args:
            record: Record of the request.
        """
        ...

    def send(self, record: pb.RequestRecord, permission: Permission) -> SendEvent:
        """Send the permitted attempt on a new connection.

        The permission is checked after connecting and before the first byte is sent.
        """
        ...

    def ask(self, record: pb.RequestRecord) -> QueryEvent:
        """Query the service for the outcome of the call."""
        ...
