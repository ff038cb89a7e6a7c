"""Messages of the result file format, version 1, with its reader and writer."""

from __future__ import annotations

import gzip
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING, Final, TypeVar

import orjson

from tanagerturn.replay._decode import DecodeError, decode, encode

if TYPE_CHECKING:
    from collections.abc import Iterable

RESULT_VERSION: Final = 1
T = TypeVar("T")


class CallerOutcome(Enum):
    """Outcome of a request from the caller's point of view."""

    ANSWERED = "answered"
    """The caller got a response of the backend server."""
    NOT_RUN = "not_run"
    """A response reported that the request was not run."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """A response reported that the outcome is unknown."""
    REJECTED = "rejected"
    """The request was refused as invalid."""
    NO_ANSWER = "no_answer"
    """The caller got no response, or an incomplete one."""


@dataclass(frozen=True)
class RunHeader:
    """First line of a result file: the trace, the target and the options of the run."""

    version: int
    """Version of the result file format."""
    tool: str
    """Version of tanagerturn."""
    trace: str
    """Name of the trace."""
    trace_seed: int
    """Seed that the trace was generated with; 0 for a recorded access log."""
    seed: int
    """Seed of the stand-ins."""
    label: str
    """Label of the run in comparisons: a policy or a version."""
    target: str
    """Description of the deployment that was called."""
    speed: float
    """Factor by which requests were sent faster than recorded."""
    from_ms: int
    """Start of the replayed window of the trace, in milliseconds."""
    to_ms: int
    """End of the replayed window of the trace, in milliseconds."""
    settings: str = ""
    """Policies and settings digest of the deployment; empty if the deployment was
    already running before the replay."""


@dataclass(frozen=True)
class RequestResult:
    """Result of one request; times are elapsed real time, in milliseconds."""

    id: str
    """Id of the request in the trace."""
    at_ms: float
    """Intended send time, in milliseconds after the start of the run."""
    client_account: str
    """Client account of the caller."""
    service: str
    """Service that was called."""
    call: str
    """Name of the call."""
    kind: str
    """Value of the call's CallKind."""
    deadline_ms: float
    """Deadline of the response, in milliseconds after the intended send time."""
    outcome: CallerOutcome
    """Outcome from the caller's point of view."""
    status: int = 0
    """HTTP status of the last attempt; 0 if it got no response."""
    late_ms: float = 0.0
    """Delay of the first attempt after the intended send time, in milliseconds."""
    latency_ms: float = 0.0
    """Time from the intended send time to the final outcome, in milliseconds."""
    first_token_ms: float = 0.0
    """Time from the intended send time to the first token of a stream, in
    milliseconds; 0 if no token was received."""
    tokens: int = 0
    """Number of generated tokens received."""
    recomputed_tokens: int = 0
    """Number of tokens computed again, as `usage` in the response reports."""
    attempts: int = 1
    """Number of attempts of the caller."""
    keys: tuple[str, ...] = ()
    """Idempotency keys that were sent."""
    not_run_keys: tuple[str, ...] = ()
    """Idempotency keys that a response reported as not run."""
    right: bool = True
    """Whether the response belongs to this request."""
    in_order: bool = True
    """Whether the tokens came in order and without duplicates."""
    detail: str = ""
    """Description of the fault that was found; empty if there is none."""


@dataclass(frozen=True)
class ExecutionCount:
    """Number of executions of one idempotency key."""

    key: str
    """Idempotency key of the executed calls."""
    times: int
    """Number of executions."""


@dataclass(frozen=True)
class BackendCounts:
    """Counters of one backend server, or executions of a whole plain service."""

    id: str
    """Id of the backend server; the service's name for the executions of a service."""
    service: str
    """Service of the backend server."""
    late_work: int = 0
    """Number of requests that reached the backend server more than 2 s after it
    announced that it is leaving."""
    tokens_generated: int = 0
    """Number of generated tokens; 0 for a plain service."""
    tokens_recomputed: int = 0
    """Number of prompt and continuation tokens that were computed again."""
    executions: tuple[ExecutionCount, ...] = ()
    """Executions by idempotency key; only on the line of a service."""


@dataclass(frozen=True)
class TimelineEvent:
    """An event of the run: one line of the timeline."""

    at_ms: float
    """Time after the start of the run, in milliseconds."""
    what: str
    """Kind: reclaim, lease, settings, starts, price, fault, entry or unknown."""
    detail: str
    """Description of the event."""


@dataclass(frozen=True)
class RunTotals:
    """Last line of a result file: totals of the run."""

    duration_ms: float
    """Duration of the run in milliseconds."""
    cost: float
    """Cost of the hosts during the run, in the currency of the prices."""
    lateness_p50_ms: float
    """Median of the requests' `late_ms`, in milliseconds."""
    lateness_p99_ms: float
    """99th percentile of the requests' `late_ms`, in milliseconds."""
    lateness_max_ms: float
    """Maximum of the requests' `late_ms`, in milliseconds."""


@dataclass(frozen=True)
class RunResults:
    """Contents of a result file."""

    header: RunHeader
    """Trace, target and options of the run."""
    requests: tuple[RequestResult, ...]
    """Result of each request, in order of the intended send time."""
    backends: tuple[BackendCounts, ...]
    """Counters of the backend servers; empty if the stand-ins ran elsewhere."""
    timeline: tuple[TimelineEvent, ...]
    """Events of the run in order of time; empty if the stand-ins ran elsewhere."""
    end: RunTotals
    """Totals of the run."""

    def __repr__(self) -> str:
        return f"RunResults({self.header.trace!r}, {len(self.requests)} requests)"

    @property
    def executions(self) -> dict[str, int]:
        """Number of executions by idempotency key, over all services."""
        return {
            count.key: count.times
            for backend in self.backends
            for count in backend.executions
        }


LINE_TYPES: Final[dict[str, type]] = {
    "run": RunHeader,
    "request": RequestResult,
    "backend": BackendCounts,
    "happening": TimelineEvent,
    "end": RunTotals,
}


class ResultError(Exception):
    """A result file can't be read or is invalid."""


def write_results(results: RunResults, path: str | Path) -> None:
    """Write a result file, compressed with gzip if the name ends in .gz."""
    names = {kind: name for name, kind in LINE_TYPES.items()}
    messages: Iterable[object] = (
        results.header,
        *results.requests,
        *results.backends,
        *results.timeline,
        results.end,
    )
    lines = [
        orjson.dumps({"type": names[type(message)], **encode(message)})
        for message in messages
    ]
    data = b"\n".join(lines) + b"\n"
    path = Path(path)
    path.write_bytes(gzip.compress(data, mtime=0) if path.suffix == ".gz" else data)


def read_results(path: str | Path) -> RunResults:
    """Read a result file.

    Raises:
        ResultError: The file can't be read, or a line is invalid.
    """
    path = Path(path)
    try:
        data = path.read_bytes()
        data = gzip.decompress(data) if path.suffix == ".gz" else data
    except (OSError, EOFError) as error:
        raise ResultError(f"{path}: {error}") from error
    messages_by_type: dict[type, list[object]] = {
        kind: [] for kind in LINE_TYPES.values()
    }
    for number, line in enumerate(data.splitlines(), start=1):
        try:
            value = orjson.loads(line)
            kind = LINE_TYPES[value.pop("type")]
            messages_by_type[kind].append(decode(kind, value))
        except (DecodeError, ValueError, KeyError, AttributeError) as error:
            raise ResultError(f"{path}:{number}: {error}") from error
    if len(messages_by_type[RunHeader]) != 1 or len(messages_by_type[RunTotals]) != 1:
        raise ResultError(
            f"{path}: found {len(messages_by_type[RunHeader])} lines of type run and "
            f"{len(messages_by_type[RunTotals])} of type end, want one of each"
        )
    return RunResults(
        header=_of_type(messages_by_type[RunHeader], RunHeader)[0],
        requests=tuple(_of_type(messages_by_type[RequestResult], RequestResult)),
        backends=tuple(_of_type(messages_by_type[BackendCounts], BackendCounts)),
        timeline=tuple(_of_type(messages_by_type[TimelineEvent], TimelineEvent)),
        end=_of_type(messages_by_type[RunTotals], RunTotals)[0],
    )


def _of_type(values: list[object], kind: type[T]) -> list[T]:
    return [value for value in values if isinstance(value, kind)]
