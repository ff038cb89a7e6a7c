"""Turns an entry host's access log into a trace."""

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

FAULTS_SHOWN: Final = 20


@dataclass(frozen=True)
class AccessLine:
    """Fields of one line of the access log."""

    time_ms: int
    """When the request came in, as wall clock."""
    request_id: str
    """Names the request."""
    client_account: str
    """Client account of the caller."""
    service: str
    """Service that was called."""
    call: str
    """Name of the call."""
    kind: CallKind
    """What the call allows after a failure."""
    priority: Priority
    """Order among waiting requests."""
    deadline_ms: int
    """Time by which the answer is of use."""
    method: str = "POST"
    """HTTP method."""
    path: str = ""
    """Path below the service."""
    body_bytes: int = 0
    """Length of the body."""
    model: str = ""
    """Model that was asked."""
    blocks: tuple[str, ...] = ()
    """Hashes of the prompt's prefix blocks."""
    prompt_tokens: int = 0
    """Tokens of the prompt."""
    max_tokens: int = 0
    """Tokens asked for."""
    answer: AnswerMode = AnswerMode.WHOLE
    """How the caller took the answer."""


def record_trace(
    lines: Iterable[bytes],
    name: str,
    firm: str,
    zones: Sequence[str] = (),
    entry_hosts: int = 1,
    source: str = "log",
) -> Trace:
    """Make a trace of an access log.

    Contents of requests are not in the log: bodies keep their length and
    prompts the blocks that they share.

    Args:
        lines: Lines of the log in JSON; those of other parts are passed over.
        name: Name of the trace.
        firm: Whose traffic it is.
        zones: Availability zones of the deployment.
        entry_hosts: Number of entry hosts.
        source: Name of the log for errors.

    Returns:
        The trace; its first request is at time 0.

    Raises:
        TraceError: A line of type `access` is not valid, or there is none.
    """
    found: list[AccessLine] = []
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
            found.append(decode(AccessLine, fields))
        except DecodeError as error:
            faults.append((number, str(error)))
    if not found and not faults:
        faults.append((0, "no line of the access log"))
    if faults:
        raise TraceError(source, faults[:FAULTS_SHOWN])
    return _trace_of(found, name, firm, zones, entry_hosts)


def _access_fields(value: Any) -> object:
    """Return the access fields of a log line; None for another line."""
    for name in ("record", "extra", "access"):
        value = value.get(name) if isinstance(value, dict) else None
    return value


def _trace_of(
    found: list[AccessLine], name: str, firm: str, zones: Sequence[str], hosts: int
) -> Trace:
    start_ms = min(line.time_ms for line in found)
    unique = {line.request_id: line for line in found}.values()
    requests = tuple(
        sorted(
            (_request_of(line, start_ms) for line in unique),
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
        entry_hosts=hosts,
        client_accounts=tuple(sorted({request.client_account for request in requests})),
    )
    return Trace(header, requests, ())


def _request_of(line: AccessLine, start_ms: int) -> TraceRequest:
    prefix = tuple(PrefixRun(block, 1) for block in line.blocks)
    least_tokens = len(prefix) * BLOCK_TOKENS
    return TraceRequest(
        at_ms=line.time_ms - start_ms,
        id=line.request_id,
        client_account=line.client_account,
        service=line.service,
        call=line.call,
        kind=line.kind,
        priority=line.priority,
        deadline_ms=line.deadline_ms,
        method=line.method,
        path=line.path,
        body_bytes=line.body_bytes,
        model=line.model,
        prefix=prefix,
        prompt_tokens=max(line.prompt_tokens, least_tokens) if line.max_tokens else 0,
        max_tokens=line.max_tokens,
        answer=line.answer,
    )
