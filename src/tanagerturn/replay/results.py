"""Lines of a result file; format version 1."""

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
    """What a caller was left with."""

    ANSWERED = "answered"
    """An answer of the backend server."""
    NOT_RUN = "not_run"
    """It was told that the request was not run."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """It was told that the outcome is not known."""
    REJECTED = "rejected"
    """The request itself was refused as wrong."""
    NO_ANSWER = "no_answer"
    """It got no answer, or a part of one."""


@dataclass(frozen=True)
class RunHeader:
    """First line: what was run."""

    version: int
    """Format version."""
    tool: str
    """Version of tanagerturn."""
    trace: str
    """Name of the trace."""
    trace_seed: int
    """Seed of the trace's recorder."""
    seed: int
    """Seed of the stand-ins."""
    label: str
    """Name for this run in comparisons: a policy or a version."""
    target: str
    """What was called."""
    speed: float
    """How much faster than recorded requests were sent."""
    from_ms: int
    """Start of the replayed window in the trace."""
    to_ms: int
    """End of the replayed window in the trace."""
    settings: str = ""
    """Settings of the deployment, as far as the tool gave them."""


@dataclass(frozen=True)
class RequestResult:
    """What one caller got; times are of the real clock, in milliseconds."""

    id: str
    """Request in the trace."""
    at_ms: float
    """Intended time after the start of the run."""
    client_account: str
    """Client account of the caller."""
    service: str
    """Service that was called."""
    call: str
    """Name of the call."""
    kind: str
    """Kind of the call."""
    deadline_ms: float
    """Time after the intended one by which the answer was of use."""
    outcome: CallerOutcome
    """What the caller was left with."""
    status: int = 0
    """Last HTTP status; 0 for none."""
    late_ms: float = 0.0
    """How late the tool itself was."""
    latency_ms: float = 0.0
    """From the intended time to the end of the answer."""
    first_token_ms: float = 0.0
    """From the intended time to the first token of a stream."""
    tokens: int = 0
    """Tokens received."""
    recomputed_tokens: int = 0
    """Tokens computed again, as the answer tells."""
    attempts: int = 1
    """Times that the caller sent it."""
    keys: tuple[str, ...] = ()
    """Idempotency keys sent."""
    not_run_keys: tuple[str, ...] = ()
    """Keys that were told as not run."""
    right: bool = True
    """Whether the answer is this request's own."""
    in_order: bool = True
    """Whether its tokens came in order, each once."""
    detail: str = ""
    """What was wrong, in words."""


@dataclass(frozen=True)
class ExecutionCount:
    """Executions of one idempotency key."""

    key: str
    """The key."""
    times: int
    """How often it was executed."""


@dataclass(frozen=True)
class BackendCounts:
    """What one backend server, or all hosts of a plain service, did."""

    id: str
    """Backend server, or the service for the executions of all its hosts."""
    service: str
    """Service that it serves."""
    late_work: int = 0
    """Requests that came 2 s after it had said that it leaves."""
    tokens_generated: int = 0
    """Tokens generated."""
    tokens_recomputed: int = 0
    """Prompt and continuation tokens computed again."""
    executions: tuple[ExecutionCount, ...] = ()
    """Executions by key, on the line of the service."""


@dataclass(frozen=True)
class Happening:
    """A line of the timeline."""

    at_ms: float
    """Time after the start of the run."""
    what: str
    """reclaim, lease, settings, starts, price, fault or entry."""
    detail: str
    """What happened, in words."""


@dataclass(frozen=True)
class RunEnd:
    """Last line: figures of the whole run."""

    duration_ms: float
    """Length of the run."""
    cost: float
    """Cost of the hosts, in the unit of the prices."""
    lateness_p50_ms: float
    """Median of the tool's own lateness."""
    lateness_p99_ms: float
    """99th percentile of the tool's own lateness."""
    lateness_max_ms: float
    """Largest lateness of the tool."""


@dataclass(frozen=True)
class RunResults:
    """A whole result file."""

    header: RunHeader
    """What was run."""
    requests: tuple[RequestResult, ...]
    """What callers got."""
    backends: tuple[BackendCounts, ...]
    """What backend servers did."""
    timeline: tuple[Happening, ...]
    """What happened, in order of time."""
    end: RunEnd
    """Figures of the whole run."""

    def __repr__(self) -> str:
        return f"RunResults({self.header.trace!r}, {len(self.requests)} requests)"

    @property
    def executions(self) -> dict[str, int]:
        """Executions by idempotency key, over all services."""
        return {
            count.key: count.times
            for backend in self.backends
            for count in backend.executions
        }


LINE_TYPES: Final[dict[str, type]] = {
    "run": RunHeader,
    "request": RequestResult,
    "backend": BackendCounts,
    "happening": Happening,
    "end": RunEnd,
}


class ResultError(Exception):
    """A result file can't be read."""


def write_results(results: RunResults, path: str | Path) -> None:
    """Write a result file; a name that ends in .gz is compressed."""
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
        ResultError: The file can't be read or a line is not valid.
    """
    path = Path(path)
    try:
        data = path.read_bytes()
        data = gzip.decompress(data) if path.suffix == ".gz" else data
    except (OSError, EOFError) as error:
        raise ResultError(f"{path}: {error}") from error
    found: dict[type, list[object]] = {kind: [] for kind in LINE_TYPES.values()}
    for number, line in enumerate(data.splitlines(), start=1):
        try:
            value = orjson.loads(line)
            kind = LINE_TYPES[value.pop("type")]
            found[kind].append(decode(kind, value))
        except (DecodeError, ValueError, KeyError, AttributeError) as error:
            raise ResultError(f"{path}:{number}: {error}") from error
    if len(found[RunHeader]) != 1 or len(found[RunEnd]) != 1:
        raise ResultError(f"{path}: needs one line `run` and one line `end`")
    return RunResults(
        header=_only(found[RunHeader], RunHeader)[0],
        requests=tuple(_only(found[RequestResult], RequestResult)),
        backends=tuple(_only(found[BackendCounts], BackendCounts)),
        timeline=tuple(_only(found[Happening], Happening)),
        end=_only(found[RunEnd], RunEnd)[0],
    )


def _only(values: list[object], kind: type[T]) -> list[T]:
    return [value for value in values if isinstance(value, kind)]
