"""What carrying out a call needs from outside: the time and the network."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from tanagerturn.serving.requests import call as calls

if TYPE_CHECKING:
    from tanagerturn.schema import serving_pb2 as pb
    from tanagerturn.serving.requests.permission import Permission


@dataclass(frozen=True)
class CallPolicy:
    """What the service's settings say about a call."""

    tries: int
    """Attempts that may be permitted in all."""
    has_query: bool
    """The service has an outcome query."""
    answer_limit_bytes: int
    """Bytes of an answer that are kept."""


class Clock(Protocol):
    """The present time."""

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds."""
        ...

    def monotonic_s(self) -> float:
        """Return the monotonic clock in seconds."""
        ...

    def pause(self, seconds: float) -> None:
        """Wait."""
        ...


SendEvent = calls.NoByteLeft | calls.Answered | calls.AnswerLost
QueryEvent = calls.QueryRan | calls.QueryDidNotRun | calls.QueryFailed


class Wire(Protocol):
    """Calls to the backend servers."""

    def choose(self, record: pb.RequestRecord) -> str:
        """Return the backend server for the next attempt; empty when none is up."""
        ...

    def send(self, record: pb.RequestRecord, permission: Permission) -> SendEvent:
        """Send the attempt on a fresh connection.

        The permission is checked after connecting, before the first byte.
        """
        ...

    def ask(self, record: pb.RequestRecord) -> QueryEvent:
        """Ask the service what became of the call."""
        ...
