"""Reads and writes traces as JSON lines, also compressed by gzip."""

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

LINE_LIMIT_BYTES: Final = 1 << 20
FAULTS_SHOWN: Final = 20
HEADER_TYPE: Final = "trace"
REQUEST_TYPE: Final = "request"
GZIP_MAGIC: Final = b"\x1f\x8b"


class TraceError(Exception):
    """A trace can't be read.

    Args:
        source: Name of the file.
        faults: Line number and reason of each fault, the first ones.
    """

    def __init__(self, source: str, faults: list[tuple[int, str]]) -> None:
        super().__init__(source, faults)
        self.source = source
        """Name of the file."""
        self.faults = faults
        """Line number and reason of each fault, the first ones."""

    def __str__(self) -> str:
        return "\n".join(
            f"{self.source}:{line}: {reason}" for line, reason in self.faults
        )


def read_trace(path: str | Path) -> Trace:
    """Read a trace from a file.

    Args:
        path: File of JSON lines, plain or compressed by gzip.

    Returns:
        The trace.

    Raises:
        TraceError: The file can't be read, or a line is not valid.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise TraceError(str(path), [(0, str(error))]) from error
    return parse_trace(data, str(path))


def parse_trace(data: bytes, source: str = "trace") -> Trace:
    """Read a trace from bytes.

    Args:
        data: JSON lines, plain or compressed by gzip.
        source: Name for errors.

    Returns:
        The trace, requests and events in order of time.

    Raises:
        TraceError: A line is not valid; the first faults are given, each with
            its line number.
    """
    reader = _Reader()
    try:
        for number, line in enumerate(_lines(data), start=1):
            reader.take(number, line)
            if len(reader.faults) >= FAULTS_SHOWN:
                break
    except (OSError, EOFError, zlib.error) as error:
        reader.faults.append((0, f"can't be decompressed: {error}"))
    if reader.header is None and not reader.faults:
        reader.faults.append((1, "is empty"))
    if reader.faults or reader.header is None:
        raise TraceError(source, reader.faults)
    requests = sorted(reader.requests, key=lambda request: request.at_ms)
    events = sorted(reader.events, key=lambda event: event.at_ms)
    return Trace(reader.header, tuple(requests), tuple(events))


def write_trace(trace: Trace, path: str | Path) -> None:
    """Write a trace; a name that ends in .gz is compressed."""
    data = b"".join(line + b"\n" for line in trace_lines(trace))
    path = Path(path)
    if path.suffix == ".gz":
        data = gzip.compress(data, mtime=0)
    path.write_bytes(data)


def trace_lines(trace: Trace) -> Iterator[bytes]:
    """Return the lines of a trace: header, then all else in order of time."""
    yield _line(HEADER_TYPE, trace.header)
    merged: Iterable[TraceRequest | TraceEvent] = sorted(
        (*trace.requests, *trace.events), key=lambda item: item.at_ms
    )
    names = {kind: name for name, kind in EVENT_TYPES.items()}
    for item in merged:
        if isinstance(item, TraceRequest):
            yield _line(REQUEST_TYPE, item)
        else:
            yield _line(names[type(item)], item)


def _line(name: str, message: object) -> bytes:
    return orjson.dumps({"type": name, **encode(message)})


def _lines(data: bytes) -> Iterator[bytes]:
    stream: io.BufferedIOBase = io.BytesIO(data)
    if data.startswith(GZIP_MAGIC):
        stream = gzip.GzipFile(fileobj=stream)
    while line := stream.readline(LINE_LIMIT_BYTES + 1):
        yield line


class _Reader:
    """Collects lines and faults."""

    def __init__(self) -> None:
        self.header: TraceHeader | None = None
        self.requests: list[TraceRequest] = []
        self.events: list[TraceEvent] = []
        self.ids: set[str] = set()
        self.faults: list[tuple[int, str]] = []

    def take(self, number: int, line: bytes) -> None:
        """Read one line; a fault is kept with its number."""
        try:
            if len(line) > LINE_LIMIT_BYTES:
                raise DecodeError("", f"longer than {LINE_LIMIT_BYTES} bytes")
            self._take_object(number, orjson.loads(line))
        except (orjson.JSONDecodeError, DecodeError) as error:
            self.faults.append((number, str(error)))

    def _take_object(self, number: int, value: Any) -> None:
        if not isinstance(value, dict):
            raise DecodeError("", "want an object")
        kind = value.pop("type", None)
        if number == 1:
            self._take_header(kind, value)
        elif kind == REQUEST_TYPE:
            self._take_request(decode(TraceRequest, value))
        elif isinstance(kind, str) and kind in EVENT_TYPES:
            event = decode(EVENT_TYPES[kind], value)
            self._check_time(event.at_ms)
            self.events.append(event)
        else:
            allowed = ", ".join((REQUEST_TYPE, *EVENT_TYPES))
            raise DecodeError("type", f"found {kind!r}, want one of {allowed}")

    def _take_header(self, kind: object, value: dict[str, Any]) -> None:
        if kind != HEADER_TYPE:
            raise DecodeError("type", f"found {kind!r}, want {HEADER_TYPE!r} first")
        version = value.get("version")
        if version != FORMAT_VERSION:
            raise DecodeError("version", f"found {version!r}, want {FORMAT_VERSION}")
        header = decode(TraceHeader, value)
        if header.duration_ms <= 0:
            raise DecodeError("duration_ms", "want more than 0")
        self.header = header

    def _take_request(self, request: TraceRequest) -> None:
        self._check_time(request.at_ms)
        if request.id in self.ids:
            raise DecodeError("id", f"{request.id!r} stands twice")
        if request.deadline_ms <= 0:
            raise DecodeError("deadline_ms", "want more than 0")
        numbers = (request.body_bytes, request.prompt_tokens, request.max_tokens)
        if min(numbers) < 0 or any(run.blocks < 0 for run in request.prefix):
            raise DecodeError("", "lengths must not be negative")
        if (request.prompt_tokens > 0) != (request.max_tokens > 0):
            raise DecodeError("max_tokens", "goes with prompt_tokens")
        if not request.prompt_tokens and not request.path.startswith("/"):
            raise DecodeError("path", "want a path that starts with /")
        self.ids.add(request.id)
        self.requests.append(request)

    def _check_time(self, at_ms: int) -> None:
        duration_ms = self.header.duration_ms if self.header else 0
        if not 0 <= at_ms <= duration_ms:
            raise DecodeError("at_ms", f"found {at_ms}, want 0 to {duration_ms}")
