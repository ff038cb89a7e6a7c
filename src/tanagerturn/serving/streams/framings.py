"""Remembers how the responses of each kind have been delimited; no I/O.

The end of a response without a length and chunks has to be shown by a connection that
its backend server answered on before the request, so it has to be known beforehand
which responses may end that way.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final, NamedTuple

from tanagerturn.serving.streams.endings import Framing

if TYPE_CHECKING:
    from tanagerturn.serving.backends.messages import SoftwareVersion

MIN_DELIMITED: Final = 8
"""Number of responses with a length or chunks, and none without, from which the next
one is expected to have them too; backend servers may mix them."""


class FramingHabit(Enum):
    """How the responses of one kind have been delimited."""

    UNKNOWN = "unknown"
    """Too few were received."""
    DELIMITED = "delimited"
    """Each of `MIN_DELIMITED` or more had a length or chunks."""
    CLOSING = "closing"
    """At least one ended with its connection."""


class ResponseKind(NamedTuple):
    """Responses that are expected to be delimited in the same way."""

    service: str
    """Service of the requests."""
    software_version: SoftwareVersion
    """Software version of the backend servers."""
    is_stream: bool
    """Whether the responses are streams."""


class FramingHistory:
    """How responses have been delimited, by their kind."""

    def __init__(self) -> None:
        self.habits: dict[ResponseKind, FramingHabit] = {}
        """Habit of each kind that is known."""
        self.delimited_counts: dict[ResponseKind, int] = {}
        """Number of responses with a length or chunks of each kind that is not known,
        and has one."""
        self.start_is_stated: dict[ResponseKind, bool] = {}
        """Whether all reports of the backend servers of each kind stated their start;
        kinds without a report are missing."""

    def on_response(self, kind: ResponseKind, framing: Framing) -> None:
        """Record a successful response that may have a body."""
        if framing is Framing.CLOSE:
            self.habits[kind] = FramingHabit.CLOSING
        elif kind not in self.habits:
            count = self.delimited_counts[kind] = self.delimited_counts.get(kind, 0) + 1
            if count >= MIN_DELIMITED:
                self.habits[kind] = FramingHabit.DELIMITED

    def on_report(self, kind: ResponseKind, *, states_start: bool) -> None:
        """Record whether a backend server's report states its start."""
        self.start_is_stated[kind] = states_start and self.start_is_stated.get(
            kind, True
        )

    def habit(self, kind: ResponseKind) -> FramingHabit:
        """Return how the responses of a kind have been delimited."""
        return self.habits.get(kind, FramingHabit.UNKNOWN)

    def needs_witness(self, kind: ResponseKind) -> bool:
        """Return whether the next response may end with its connection alone.

        A report that states the start of the backend server shows such an end without
        a connection that is older than the request.
        """
        if self.habit(kind) is FramingHabit.DELIMITED:
            return False
        return not self.start_is_stated.get(kind, False)
