"""Reads and writes trace files: JSON lines, optionally compressed with gzip."""

from __future__ import annotations

import gzip
import io
import zlib
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import orjson

from tanagerturn.replay._decode import DecodeError, decode, encode
from tanagerturn.replay.trace import (
    EVENT_TYPES,
    FORMAT_VERSION,
    Trace,
    TraceEvent,
    TraceHeader,
    TraceRequest,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_LINE_BYTES: Final = 1 << 20
MAX_FAULTS: Final = 20
HEADER_TYPE: Final = "trace"
REQUEST_TYPE: Final = "request"
GZIP_MAGIC: Final = b"\x1f\x8b"


class TraceError(Exception):
    """A trace file can't be read or is invalid.

    Args:
        source: Name of the file.
        faults: Line number and reason of the first faults; line 0 stands for the
            whole file.
    """

    def __init__(self, source: str, faults: list[tuple[int, str]]) -> None:
        super().__init__(source, faults)
        self.source = source
        """Name of the file."""
        self.faults = faults
        """Line number and reason of the first faults; line 0 is the whole file."""

    def __str__(self) -> str:
        return "\n".join(
            f"{self.source}:{line}: {reason}" for line, reason in self.faults
        )


def read_trace(path: str | Path) -> Trace:
    """Read a trace from a file.

    Args:
        path: File of JSON lines, plain or compressed with gzip.

    Returns:
        The trace.

    Raises:
        TraceError: The file can't be read, or a line is invalid.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise TraceError(str(path), [(0, str(error))]) from error
    return parse_trace(data, str(path))


def parse_trace(data: bytes, source: str = "trace") -> Trace:
    """Read a trace from bytes.

    Args:
        data: JSON lines, plain or compressed with gzip.
        source: Name of the data in error messages.

    Returns:
        The trace, with requests and events in order of time.

    Raises:
        TraceError: The data can't be decompressed, or a line is invalid; the error
            holds at most `MAX_FAULTS` faults, each with its line number.
    """
    parser = _TraceParser()
    try:
        for number, line in enumerate(_read_lines(data), start=1):
            parser.parse_line(number, line)
            if len(parser.faults) >= MAX_FAULTS:
                break
    except (OSError, EOFError, zlib.error) as error:
        parser.faults.append((0, f"gzip data can't be decompressed: {error}"))
    if parser.header is None and not parser.faults:
        parser.faults.append((1, "found no line, want a header"))
    if parser.faults or parser.header is None:
        raise TraceError(source, parser.faults)
    requests = sorted(parser.requests, key=lambda request: request.at_ms)
    events = sorted(parser.events, key=lambda event: event.at_ms)
    return Trace(parser.header, tuple(requests), tuple(events))


def write_trace(trace: Trace, path: str | Path) -> None:
    """Write a trace to a file, compressed with gzip if the name ends in .gz."""
    data = b"".join(line + b"\n" for line in trace_lines(trace))
    path = Path(path)
    if path.suffix == ".gz":
        data = gzip.compress(data, mtime=0)
    path.write_bytes(data)


def trace_lines(trace: Trace) -> Iterator[bytes]:
    """Return the lines of a trace: the header, then requests and events by time."""
    yield _encode_line(HEADER_TYPE, trace.header)
    merged: Iterable[TraceRequest | TraceEvent] = sorted(
        (*trace.requests, *trace.events), key=lambda item: item.at_ms
    )
    names = {kind: name for name, kind in EVENT_TYPES.items()}
    for item in merged:
        if isinstance(item, TraceRequest):
            yield _encode_line(REQUEST_TYPE, item)
        else:
            yield _encode_line(names[type(item)], item)


def _encode_line(name: str, message: object) -> bytes:
    return orjson.dumps({"type": name, **encode(message)})


def _read_lines(data: bytes) -> Iterator[bytes]:
    stream: io.BufferedIOBase = io.BytesIO(data)
    if data.startswith(GZIP_MAGIC):
        stream = gzip.GzipFile(fileobj=stream)
    while line := stream.readline(MAX_LINE_BYTES + 1):
        yield line


class _TraceParser:
    """Parses the lines of a trace and collects their faults."""

    def __init__(self) -> None:
        self.header: TraceHeader | None = None
        self.requests: list[TraceRequest] = []
        self.events: list[TraceEvent] = []
        self.ids: set[str] = set()
        self.faults: list[tuple[int, str]] = []

    def parse_line(self, number: int, line: bytes) -> None:
        """Parse one line; a fault is recorded with the line number."""
        try:
            if len(line) > MAX_LINE_BYTES:
                raise DecodeError("", f"line is longer than {MAX_LINE_BYTES} bytes")
            self._parse_object(number, orjson.loads(line))
        except (orjson.JSONDecodeError, DecodeError) as error:
            self.faults.append((number, str(error)))

    def _parse_object(self, number: int, value: Any) -> None:
        if not isinstance(value, dict):
            raise DecodeError("", f"found {type(value).__name__}, want an object")
        kind = value.pop("type", None)
        if number == 1:
            self._parse_header(kind, value)
        elif kind == REQUEST_TYPE:
            self._add_request(decode(TraceRequest, value))
        elif isinstance(kind, str) and kind in EVENT_TYPES:
            event = decode(EVENT_TYPES[kind], value)
            self._check_time(event.at_ms)
            self.events.append(event)
        else:
            allowed = ", ".join((REQUEST_TYPE, *EVENT_TYPES))
            raise DecodeError("type", f"found {kind!r}, want one of {allowed}")

    def _parse_header(self, kind: object, value: dict[str, Any]) -> None:
        if kind != HEADER_TYPE:
            raise DecodeError("type", f"found {kind!r}, want {HEADER_TYPE!r} first")
        version = value.get("version")
        if version != FORMAT_VERSION:
            raise DecodeError("version", f"found {version!r}, want {FORMAT_VERSION}")
        header = decode(TraceHeader, value)
        if header.duration_ms <= 0:
            raise DecodeError(
                "duration_ms", f"found {header.duration_ms}, want more than 0"
            )
        self.header = header

    def _add_request(self, request: TraceRequest) -> None:
        self._check_time(request.at_ms)
        if request.id in self.ids:
            raise DecodeError("id", f"{request.id!r} is the id of an earlier request")
        if request.deadline_ms <= 0:
            raise DecodeError(
                "deadline_ms", f"found {request.deadline_ms}, want more than 0"
            )
        numbers = (request.body_bytes, request.prompt_tokens, request.max_tokens)
        if min(numbers) < 0 or any(run.blocks < 0 for run in request.prefix):
            raise DecodeError(
                "",
                f"found body_bytes {request.body_bytes}, prompt_tokens "
                f"{request.prompt_tokens}, max_tokens {request.max_tokens} and blocks "
                f"{[run.blocks for run in request.prefix]}, want 0 or more for each",
            )
        if (request.prompt_tokens > 0) != (request.max_tokens > 0):
            raise DecodeError(
                "max_tokens",
                f"found {request.max_tokens} with prompt_tokens "
                f"{request.prompt_tokens}, want both above 0 or both 0",
            )
        if not request.prompt_tokens and not request.path.startswith("/"):
            raise DecodeError(
                "path",
                f"found {request.path!r}, want a path that starts with / because "
                "prompt_tokens is 0",
            )
        self.ids.add(request.id)
        self.requests.append(request)

    def _check_time(self, at_ms: int) -> None:
        duration_ms = self.header.duration_ms if self.header else 0
        if not 0 <= at_ms <= duration_ms:
            raise DecodeError("at_ms", f"found {at_ms}, want 0 to {duration_ms}")
