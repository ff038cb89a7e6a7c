"""Converts an entry host's access log to a trace."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import orjson

from tanagerturn.replay._decode import DecodeError, decode
from tanagerturn.replay.codec import TraceError
from tanagerturn.replay.trace import (
    FORMAT_VERSION,
    AnswerMode,
    CallKind,
    PrefixRun,
    Priority,
    Trace,
    TraceHeader,
    TraceRequest,
)
from tanagerturn.serving.cache.blocks import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

MAX_FAULTS: Final = 20


@dataclass(frozen=True)
class AccessLogEntry:
    """Fields of one access log entry."""

    time_ms: int
    """Arrival time of the request, in milliseconds since the Unix epoch."""
    request_id: str
    """Id of the request."""
    client_account: str
    """Client account of the caller."""
    service: str
    """Service that was called."""
    call: str
    """Name of the call."""
    kind: CallKind
    """What may be done with the call after a failure."""
    priority: Priority
    """Priority among waiting requests."""
    deadline_ms: int
    """Deadline of the response, in milliseconds after arrival."""
    method: str = "POST"
    """HTTP method."""
    path: str = ""
    """Path below the service; empty for a model request."""
    body_bytes: int = 0
    """Length of the body in bytes."""
    model: str = ""
    """Requested model; empty for a plain service."""
    blocks: tuple[str, ...] = ()
    """Hashes of the prompt's prefix blocks, in order."""
    prompt_tokens: int = 0
    """Number of prompt tokens; 0 for a plain service."""
    max_tokens: int = 0
    """Maximum number of tokens to generate; 0 for a plain service."""
    answer: AnswerMode = AnswerMode.WHOLE
    """How the caller received the response."""


def trace_from_access_log(
    lines: Iterable[bytes],
    name: str,
    firm: str,
    zones: Sequence[str] = (),
    entry_hosts: int = 1,
    source: str = "log",
) -> Trace:
    """Build a trace from an access log.

    The log holds no contents of requests: the trace keeps the length of bodies and
    the hashes of the prefix blocks that prompts share.

    Args:
        lines: Lines of the log in JSON; lines without an access entry are ignored.
        name: Name of the trace.
        firm: Firm whose traffic the log holds.
        zones: Availability zones of the deployment.
        entry_hosts: Number of entry hosts.
        source: Name of the log in error messages.

    Returns:
        The trace; its first request is at time 0.

    Raises:
        TraceError: An access entry is invalid, or the log has no access entry.
    """
    entries: list[AccessLogEntry] = []
    faults: list[tuple[int, str]] = []
    for number, line in enumerate(lines, start=1):
        try:
            value = orjson.loads(line)
        except orjson.JSONDecodeError:
            continue
        fields = _access_fields(value)
        if fields is None:
            continue
        try:
            entries.append(decode(AccessLogEntry, fields))
        except DecodeError as error:
            faults.append((number, str(error)))
    if not entries and not faults:
        faults.append((0, "found no access entry, want at least one"))
    if faults:
        raise TraceError(source, faults[:MAX_FAULTS])
    return _build_trace(entries, name, firm, zones, entry_hosts)


def _access_fields(value: Any) -> object:
    """Return the access entry of a log line; None if the line has no such entry."""
    for name in ("record", "extra", "access"):
        value = value.get(name) if isinstance(value, dict) else None
    return value


def _build_trace(
    entries: list[AccessLogEntry],
    name: str,
    firm: str,
    zones: Sequence[str],
    entry_hosts: int,
) -> Trace:
    start_ms = min(entry.time_ms for entry in entries)
    unique_entries = {entry.request_id: entry for entry in entries}.values()
    requests = tuple(
        sorted(
            (_build_request(entry, start_ms) for entry in unique_entries),
            key=lambda request: request.at_ms,
        )
    )
    header = TraceHeader(
        version=FORMAT_VERSION,
        name=name,
        firm=firm,
        seed=0,
        duration_ms=requests[-1].at_ms + 1,
        availability_zones=tuple(zones),
        entry_hosts=entry_hosts,
        client_accounts=tuple(sorted({request.client_account for request in requests})),
    )
    return Trace(header, requests, ())


def _build_request(entry: AccessLogEntry, start_ms: int) -> TraceRequest:
    prefix = tuple(PrefixRun(block, 1) for block in entry.blocks)
    min_tokens = len(prefix) * BLOCK_TOKENS
    return TraceRequest(
        at_ms=entry.time_ms - start_ms,
        id=entry.request_id,
        client_account=entry.client_account,
        service=entry.service,
        call=entry.call,
        kind=entry.kind,
        priority=entry.priority,
        deadline_ms=entry.deadline_ms,
        method=entry.method,
        path=entry.path,
        body_bytes=entry.body_bytes,
        model=entry.model,
        prefix=prefix,
        prompt_tokens=max(entry.prompt_tokens, min_tokens) if entry.max_tokens else 0,
        max_tokens=entry.max_tokens,
        answer=entry.answer,
    )
