"""Translates HTTP headers of requests and responses, and calls to backend servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import orjson
from expression import Error, Ok, Result

from tanagerturn.clocks import to_ms
from tanagerturn.coordination.errors import RefusedError, StepError
from tanagerturn.gateway.connection import end_to_end_headers
from tanagerturn.gateway.messages import (
    AttemptId,
    BackendReply,
    BackendReport,
    InboundRequest,
    KvCopy,
    LoadHint,
    Prompt,
    PromptPart,
    PromptPartId,
    UnknownRunError,
)

if TYPE_CHECKING:
    from tanagerturn.gateway.messages import Forwarding, RawHeaders

STEP: Final = "decode request"

RESERVED_HEADERS: Final = frozenset(
    (
        b"authorization",
        b"content-length",
        b"expect",
        b"last-event-id",
        b"x-deadline-ms",
        b"x-tenant",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-priority",
        b"x-kv-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
"""Request headers, in lower case, that only the system may send to backend servers;
such headers from callers are dropped."""

MISDIRECTED_STATUS: Final = 421
"""HTTP status by which a backend server refuses, without running it, a request that was
meant for an earlier backend server at the same address."""

UNKNOWN_RUN_STATUS: Final = 404
"""HTTP status by which an engine states that it runs no request with an id."""

RUN_FIELDS: Final = 3
"""Least number of fields of a running request in a report."""

MIN_RETRY_AFTER_S: Final = 0.01
"""Smallest value of the header `Retry-After`, in seconds."""

KNOWN_LOAD_FIELDS: Final = 4
"""Number of fields of the header `X-Instance-Load` whose meaning is known."""

MAX_TIME_PERCENT: Final = 10_000
"""Largest percentage of the usual time that is taken from a load report."""

MAX_COUNT_DIGITS: Final = 18
"""Maximum number of digits of a figure in a load report."""

NO_INSTANCE: Final = b"none"
"""Id of no backend server."""


def decode_request(
    method: str, target: str, headers: RawHeaders
) -> Result[InboundRequest, StepError]:
    """Decode request line and headers of a caller's request.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Headers as received.

    Returns:
        The request without its body; a `RefusedError` if a header that holds
        numbers can't be decoded.
    """
    fields = _header_fields(headers)
    try:
        return Ok(_decode_head(method, target, headers, fields))
    except ValueError as error:
        return Error(RefusedError(STEP, "", str(error)))


def _decode_head(
    method: str, target: str, headers: RawHeaders, fields: dict[bytes, str]
) -> InboundRequest:
    deadline_ms = fields.get(b"x-deadline-ms")
    last_event = fields.get(b"last-event-id")
    scheme, _, key = fields.get(b"authorization", "").partition(" ")
    forwarded_headers = [
        (name, value)
        for name, value in end_to_end_headers(headers)
        if name.lower() not in RESERVED_HEADERS
    ]
    return InboundRequest(
        method=method,
        target=target,
        path=target.partition("?")[0],
        host=fields.get(b"host", "").partition(":")[0].lower(),
        # Callers send a new X-Request-Id with each attempt.
        attempt_id=AttemptId(fields.get(b"x-request-id", "")),
        caller_timeout_s=float(deadline_ms) / 1000 if deadline_ms else None,
        key=key.strip() if scheme.lower() == "bearer" else "",
        last_event_id=int(last_event) if last_event else None,
        prompt=_decode_prompt(fields),
        resumed_attempt_id=AttemptId(fields.get(b"resumes", "")),
        forwarded_headers=forwarded_headers,
    )


def _decode_prompt(fields: dict[bytes, str]) -> Prompt | None:
    # X-Token-Usage is PROMPT_TOKENS,MAX_OUTPUT_TOKENS: the tokens that the request may
    # use, not those that it has used.
    usage = fields.get(b"x-token-usage")
    if not usage:
        return None
    prompt_tokens, _, output_tokens = usage.partition(",")
    # X-Prefix-Hash is a comma-separated list of prompt parts, each as ID:TOKENS.
    prefix_parts = fields.get(b"x-prefix-hash", "")
    parts = tuple(
        _decode_prompt_part(entry) for entry in prefix_parts.split(",") if entry.strip()
    )
    length_hint = fields.get(b"x-length-hint")
    return Prompt(
        model=fields.get(b"x-model", ""),
        prompt_tokens=int(prompt_tokens),
        max_output_tokens=int(output_tokens or 0),
        parts=parts,
        expected_output_tokens=int(float(length_hint)) if length_hint else None,
    )


def _decode_prompt_part(entry: str) -> PromptPart:
    part_id, _, tokens = entry.strip().partition(":")
    return PromptPart(PromptPartId(part_id), int(tokens))


def encode_forwarding(
    request: InboundRequest, forwarding: Forwarding, address: str
) -> RawHeaders:
    """Return the headers of a request that is forwarded to a backend server.

    Args:
        request: The caller's request.
        forwarding: Values that the gateway adds to the request as headers.
        address: IP address and port of the backend server, sent as `Host` if the
            caller sent none.
    """
    deadline_ms = max(1, to_ms(forwarding.time_left_s))
    headers = [
        *request.forwarded_headers,
        (b"X-Deadline-Ms", str(deadline_ms).encode()),
        (b"X-Expect-Instance", forwarding.backend_id.encode()),
    ]
    if not any(name.lower() == b"host" for name, _ in headers):
        headers.insert(0, (b"Host", address.encode()))
    if forwarding.client_account:
        headers.append((b"X-Tenant", forwarding.client_account.encode()))
    if forwarding.last_event_id is not None:
        headers.append((b"Last-Event-Id", str(forwarding.last_event_id).encode()))
    if forwarding.kv_copy is not None:
        kv_copy = forwarding.kv_copy
        headers.append(
            (b"Kv-From", f"{kv_copy.source_address}/{kv_copy.handle}".encode())
        )
    if forwarding.engine_priority is not None:
        priority = str(forwarding.engine_priority).encode()
        headers.append((b"X-Request-Priority", priority))
    return headers


def encode_migration(attempt_id: str, target_address: str) -> tuple[str, bytes]:
    """Return path and body of a call that migrates a request to another engine.

    The called engine stops the request and copies its KV cache to the target engine.

    Args:
        attempt_id: Id of the running request at its engine.
        target_address: IP address and port of the engine that gets the copy.
    """
    # "last" marks the final copy: the engine stops the request before copying.
    body = {"id": attempt_id, "target": target_address, "last": True}
    return "/v1/kv-move", orjson.dumps(body)


def decode_migration(
    status: int, body: bytes, source_address: str
) -> Result[KvCopy, StepError]:
    """Decode the response to a migration call.

    Args:
        status: HTTP status.
        body: Body of the response.
        source_address: IP address and port of the engine that was called.

    Returns:
        The copy of the KV cache; a `RefusedError` if the engine made no copy.
    """
    if status == UNKNOWN_RUN_STATUS:
        reason = f"HTTP status {status}, no such request runs"
        return Error(UnknownRunError("migrate request", source_address, reason))
    if status != 200:
        return Error(
            RefusedError(
                "migrate request", source_address, f"HTTP status {status}, expected 200"
            )
        )
    try:
        handle = orjson.loads(body)["handle"]
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        return Error(
            RefusedError("migrate request", source_address, f"invalid body: {error!r}")
        )
    return Ok(KvCopy(source_address, str(handle)))


def decode_report(
    status: int, body: bytes, address: str
) -> Result[BackendReport, StepError]:
    """Decode a backend server's response at the report path.

    Args:
        status: HTTP status.
        body: Body of the response.
        address: IP address and port of the backend server.

    Returns:
        The report; a `RefusedError` if the status is not 200 or the body is not
        valid.
    """
    if status != 200:
        return Error(
            RefusedError(
                "read backend report", address, f"HTTP status {status}, expected 200"
            )
        )
    try:
        # leaves_ms is the time until the backend server stops; announcements of a
        # backend server that is being reclaimed do not state it.
        fields = orjson.loads(body)
        leaves_ms = fields.get("leaves_ms")
        leaving_in_ms = None if leaves_ms is None else max(0, int(leaves_ms))
        born = fields.get("born")
        born_ms = born if type(born) is int else None
        runs = _decode_runs(fields.get("runs"))
        return Ok(BackendReport(leaving_in_ms, runs, born_ms))
    except (orjson.JSONDecodeError, AttributeError, TypeError, ValueError) as error:
        return Error(
            RefusedError("read backend report", address, f"invalid body: {error!r}")
        )


def _decode_runs(entries: object) -> dict[str, int] | None:
    """Decode the list of running requests, `[ID, TOKENS, EVENTS, PRIORITY]` each.

    Returns:
        Number of events made by id; None if the list or an entry is invalid, since that
        entry could be any request's.
    """
    if not isinstance(entries, list):
        return None
    runs = {}
    for entry in entries:
        if not isinstance(entry, list) or len(entry) < RUN_FIELDS:
            return None
        run_id, events = entry[0], entry[2]
        if not isinstance(run_id, str) or type(events) is not int:
            return None
        runs[run_id] = events
    return runs


def encode_unexecuted_call() -> RawHeaders:
    """Return the headers of a call that each backend server refuses to execute.

    It names an instance that does not exist, so it gets status 421.
    """
    return [(b"X-Expect-Instance", NO_INSTANCE)]


def decode_reply(status: int, headers: RawHeaders) -> BackendReply:
    """Decode status and headers of a backend server's response."""
    fields = _header_fields(headers)
    connection = fields.get(b"connection", "").lower()
    return BackendReply(
        status=status,
        attempt_id=fields.get(b"x-request-id", ""),
        has_backend_proof=b"x-server-stamp" in fields,
        states_not_run=b"x-not-executed" in fields,
        is_wrong_backend=status == MISDIRECTED_STATUS,
        load=_decode_load(fields.get(b"x-instance-load", "")),
        keep_alive_s=_decode_keep_alive_s(fields.get(b"keep-alive", "")),
        limit_per_s=_decode_limit(fields.get(b"server-limit", "")),
        pause_s=_decode_pause_s(status, fields.get(b"retry-after", "")),
        is_leaving=fields.get(b"server-leaving", "") == "1",
        brittle_per_s=_decode_limit(fields.get(b"server-brittle", "")),
        closes_connection="close" in connection,
    )


def encode_error_headers(retry_after_s: float | None) -> RawHeaders:
    """Return the headers of an error response that the gateway itself sends.

    Args:
        retry_after_s: Seconds after which the caller may retry; None if the caller
            should not retry.
    """
    if retry_after_s is None:
        return []
    seconds = max(MIN_RETRY_AFTER_S, retry_after_s)
    return [(b"Retry-After", f"{seconds:.3f}".encode())]


def _header_fields(headers: RawHeaders) -> dict[bytes, str]:
    return {name.lower(): value.decode("latin-1").strip() for name, value in headers}


def _decode_load(value: str) -> LoadHint | None:
    """Decode `RUNNING,WAITING,SLOTS`, which `PERCENT` and unknown fields may follow.

    Returns:
        The report; None if one of the first three fields is not a number. An invalid
        percentage counts as none.
    """
    fields = [field.strip() for field in value.split(",")]
    if len(fields) < 3 or not all(_is_count(field) for field in fields[:3]):
        return None
    running, waiting, slots = (int(field) for field in fields[:3])
    time_percent = None
    if len(fields) > 3 and _is_count(fields[3]):
        percent = int(fields[3])
        time_percent = percent if 0 < percent <= MAX_TIME_PERCENT else None
    unknown_fields = max(0, len(fields) - KNOWN_LOAD_FIELDS)
    return LoadHint(running, waiting, slots, time_percent, unknown_fields)


def _is_count(field: str) -> bool:
    # isdigit accepts superscripts, and int refuses numbers of thousands of digits.
    return field.isascii() and field.isdigit() and len(field) <= MAX_COUNT_DIGITS


def _decode_limit(value: str) -> float | None:
    """Return a limit in requests per second; None if there is none or it is invalid."""
    try:
        limit_per_s = float(value)
    except ValueError:
        return None
    return limit_per_s if 0 <= limit_per_s < math.inf else None


def _decode_pause_s(status: int, value: str) -> float | None:
    """Return the pause in seconds that a 503 response asks for; None if it is invalid.

    A pause that is not positive is none, and neither is a date: backend servers state
    seconds.
    """
    try:
        pause_s = float(value) if status == 503 else 0.0
    except ValueError:
        return None
    return pause_s if 0 < pause_s < math.inf else None


def _decode_keep_alive_s(value: str) -> float | None:
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.strip().isdigit():
            return float(number)
    return None
