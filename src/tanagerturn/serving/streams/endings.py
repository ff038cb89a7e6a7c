"""Decides what may count as the end of a backend server's response; no I/O.

A response without a length and without chunks ends when its connection closes (RFC
9112, section 6.3). The connection also closes when the backend server stops the request
for a move, exits or is killed, so the close alone does not show that the response is
complete. What shows it has to come from the process that wrote the response: another
one may answer at the same address and under the same id soon after a crash.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

REPORT_AGE_S: Final = 0.5
"""Time in seconds by which the state in a report may be older than its request."""


class Framing(Enum):
    """How the end of a response body is marked (RFC 9112, section 6.3)."""

    LENGTH = "length"
    """By the number of bytes that the head states; also for no body."""
    CHUNKED = "chunked"
    """By a chunk of size 0."""
    CLOSE = "close"
    """By the close of the connection."""


class MoveState(Enum):
    """State of the order that stops a stream at its engine and copies its KV cache."""

    NONE = "none"
    """No order was sent."""
    PENDING = "pending"
    """The order was sent and is not answered."""
    MOVED = "moved"
    """The engine stopped the stream and made the copy."""
    UNKNOWN_RUN = "unknown_run"
    """The engine answered that it runs no such request."""
    FAILED = "failed"
    """The engine answered with another error, or its answer is lost or malformed; it
    may have stopped the stream."""


class EndProof(Enum):
    """What shows, or has to show, that a response is complete."""

    FRAMING = "framing"
    """The length or the last chunk: complete."""
    COUNT = "count"
    """The number of events, which allows no further one: complete."""
    MOVE = "move"
    """The answer to the order to move the stream has to be awaited."""
    REPORT = "report"
    """A report of the backend server has to be read, which lists its requests."""
    CONNECTION = "connection"
    """The process that wrote the response has to answer on another connection."""
    NONE = "none"
    """Nothing can show it: incomplete."""


class ReportVerdict(Enum):
    """What a report shows of a response whose connection has closed."""

    COMPLETE = "complete"
    INCOMPLETE = "incomplete"
    UNDECIDED = "undecided"
    """The report may be older than the end of the response."""


class StartVerdict(Enum):
    """What a report shows of the process that made it."""

    SAME = "same"
    """It wrote the response."""
    OTHER = "other"
    """It started later."""
    UNKNOWN = "unknown"
    """The report does not state its start."""


@dataclass(frozen=True)
class ResponseEnd:
    """The end of a response, as it was received."""

    framing: Framing
    """How the end of the body is marked."""
    is_generation: bool = False
    """Whether the response is the event stream of a generation."""
    move: MoveState = MoveState.NONE
    """State of the order to move the stream."""
    event_count: int = 0
    """Number of events that were forwarded during this request."""
    last_event_id: int | None = None
    """Id of the last event that the caller has; None before the first. It equals
    `event_count` if the ids count the events of the whole stream."""
    max_output_tokens: int = 0
    """Maximum number of tokens of the generation, each event having one or more; 0 if
    it is unknown."""


def required_proof(end: ResponseEnd) -> EndProof:
    """Return what shows, or has to show, that a response is complete."""
    if end.framing is not Framing.CLOSE:
        return EndProof.FRAMING
    if end.is_generation:
        if not end.event_count and end.last_event_id is None:
            return EndProof.NONE
        if end.last_event_id == end.event_count >= end.max_output_tokens > 0:
            return EndProof.COUNT
    if end.move is MoveState.PENDING:
        return EndProof.MOVE
    if end.move in (MoveState.MOVED, MoveState.FAILED):
        return EndProof.NONE
    # After `UNKNOWN_RUN` too: the stream may have ended while the order was on its way.
    return EndProof.REPORT if end.is_generation else EndProof.CONNECTION


def judge_start(stated_born_ms: int | None, born_ms: int) -> StartVerdict:
    """Return whether a report comes from the start that wrote a response.

    Args:
        stated_born_ms: Wall-clock time of the start that the report states, in
            milliseconds; None if it states none.
        born_ms: The same of the start that was announced before the request was sent.
            It has not ended between that and the report, so it wrote the response.
    """
    if stated_born_ms is None:
        return StartVerdict.UNKNOWN
    return StartVerdict.SAME if stated_born_ms == born_ms else StartVerdict.OTHER


def judge_report(
    runs: Mapping[str, int] | None,
    attempt_id: str,
    event_count: int,
    move: MoveState,
    written_s: float,
) -> ReportVerdict:
    """Return what a report shows that was requested after the end of a response.

    Args:
        runs: Number of events made of each request that the report lists, by attempt
            id; None if it has no valid list.
        attempt_id: Id of the attempt.
        event_count: Number of events of the stream that the caller has.
        move: State of the order to move the stream.
        written_s: Time in seconds from the first event to the request of the report.
    """
    if runs is None:
        # Without an order, it is enough that the backend server has not exited.
        is_enough = move is MoveState.NONE
        return ReportVerdict.COMPLETE if is_enough else ReportVerdict.INCOMPLETE
    made = runs.get(attempt_id)
    if made is None:
        # An older state does not list the request yet.
        is_newer = written_s > REPORT_AGE_S
        return ReportVerdict.COMPLETE if is_newer else ReportVerdict.UNDECIDED
    if made > event_count:
        return ReportVerdict.INCOMPLETE
    return ReportVerdict.UNDECIDED
