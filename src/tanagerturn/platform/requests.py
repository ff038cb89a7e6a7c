"""Translates heads of requests and answers between the platform and a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import orjson
from expression import Error, Ok, Result

from tanagerturn.clocks import to_ms
from tanagerturn.coordination.errors import RefusedError, StepError
from tanagerturn.gateway.http1 import end_to_end
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
)

if TYPE_CHECKING:
    from tanagerturn.gateway.messages import Forwarding, RawHeaders

STEP: Final = "decode request"

SET_HERE: Final = frozenset(
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
"""Headers that only the system sets for backend servers; a caller's are dropped."""

NOT_RUN_STATUS: Final = 421
"""Another backend server has the address; it has not run the request."""

LEAST_RETRY_AFTER_S: Final = 0.01


def decode_request(
    method: str, target: str, headers: RawHeaders
) -> Result[InboundRequest, StepError]:
    """Decode the head of a caller's request."""
    fields = _fields(headers)
    try:
        return Ok(_decode(method, target, headers, fields))
    except ValueError as error:
        return Error(RefusedError(STEP, "", str(error)))


def _decode(
    method: str, target: str, headers: RawHeaders, fields: dict[bytes, str]
) -> InboundRequest:
    deadline_ms = fields.get(b"x-deadline-ms")
    last_event = fields.get(b"last-event-id")
    scheme, _, key = fields.get(b"authorization", "").partition(" ")
    kept = [
        (name, value)
        for name, value in end_to_end(headers)
        if name.lower() not in SET_HERE
    ]
    return InboundRequest(
        method=method,
        target=target,
        path=target.partition("?")[0],
        host=fields.get(b"host", "").partition(":")[0].lower(),
        # One id an attempt: a caller's next attempt has another one.
        attempt_id=AttemptId(fields.get(b"x-request-id", "")),
        patience_s=float(deadline_ms) / 1000 if deadline_ms else None,
        key=key.strip() if scheme.lower() == "bearer" else "",
        last_event_id=int(last_event) if last_event else None,
        prompt=_prompt(fields),
        forwarded=kept,
    )


def _prompt(fields: dict[bytes, str]) -> Prompt | None:
    # "Usage" tells what the request may use, before it has run.
    usage = fields.get(b"x-token-usage")
    if not usage:
        return None
    prompt_tokens, _, output_tokens = usage.partition(",")
    # The "hash" is a list of parts with their sizes.
    listed = fields.get(b"x-prefix-hash", "")
    parts = tuple(_part(entry) for entry in listed.split(",") if entry.strip())
    hint = fields.get(b"x-length-hint")
    return Prompt(
        model=fields.get(b"x-model", ""),
        prompt_tokens=int(prompt_tokens),
        most_output_tokens=int(output_tokens or 0),
        parts=parts,
        expected_output_tokens=int(float(hint)) if hint else None,
    )


def _part(entry: str) -> PromptPart:
    part_id, _, tokens = entry.strip().partition(":")
    return PromptPart(PromptPartId(part_id), int(tokens))


def encode_forwarding(
    request: InboundRequest, forwarding: Forwarding, address: str
) -> RawHeaders:
    """Return the headers with which a request goes to a backend server."""
    deadline_ms = max(1, to_ms(forwarding.time_left_s))
    headers = [
        *request.forwarded,
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
        copy = forwarding.kv_copy
        headers.append((b"Kv-From", f"{copy.source_address}/{copy.handle}".encode()))
    if forwarding.engine_priority is not None:
        priority = str(forwarding.engine_priority).encode()
        headers.append((b"X-Request-Priority", priority))
    return headers


def encode_move(attempt_id: str, target_address: str) -> tuple[str, bytes]:
    """Return path and body of a call that stops a run and copies its memory."""
    # "last" means the last copy: the run stops first.
    body = {"id": attempt_id, "target": target_address, "last": True}
    return "/v1/kv-move", orjson.dumps(body)


def decode_moved(
    status: int, body: bytes, source_address: str
) -> Result[KvCopy, StepError]:
    """Decode the answer to such a call."""
    if status != 200:
        return Error(RefusedError("move run", source_address, f"status {status}"))
    try:
        handle = orjson.loads(body)["handle"]
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        return Error(RefusedError("move run", source_address, repr(error)))
    return Ok(KvCopy(source_address, str(handle)))


def decode_report(
    status: int, body: bytes, address: str
) -> Result[BackendReport, StepError]:
    """Decode what an engine tells of itself."""
    if status != 200:
        return Error(RefusedError("read report", address, f"status {status}"))
    try:
        # The time left until the engine ends; announcements do not tell it.
        leaves_ms = orjson.loads(body).get("leaves_ms")
        known = None if leaves_ms is None else max(0, int(leaves_ms))
        return Ok(BackendReport(known))
    except (orjson.JSONDecodeError, AttributeError, TypeError, ValueError) as error:
        return Error(RefusedError("read report", address, repr(error)))


def decode_reply(status: int, headers: RawHeaders) -> BackendReply:
    """Decode the head of a backend server's answer."""
    fields = _fields(headers)
    connection = fields.get(b"connection", "").lower()
    return BackendReply(
        status=status,
        attempt_id=fields.get(b"x-request-id", ""),
        is_proven=b"x-server-stamp" in fields,
        not_run=b"x-not-executed" in fields,
        wrong_backend=status == NOT_RUN_STATUS,
        load=_load(fields.get(b"x-instance-load", "")),
        keep_alive_s=_keep_alive_s(fields.get(b"keep-alive", "")),
        closes="close" in connection,
    )


def encode_refusal(retry_after_s: float | None) -> RawHeaders:
    """Return the headers of a gateway's own failure."""
    if retry_after_s is None:
        return []
    seconds = max(LEAST_RETRY_AFTER_S, retry_after_s)
    return [(b"Retry-After", f"{seconds:.3f}".encode())]


def _fields(headers: RawHeaders) -> dict[bytes, str]:
    return {name.lower(): value.decode("latin-1").strip() for name, value in headers}


def _load(value: str) -> LoadHint | None:
    numbers = value.split(",")
    if len(numbers) != 3 or not all(n.strip().isdigit() for n in numbers):
        return None
    running, waiting, slots = (int(number) for number in numbers)
    return LoadHint(running, waiting, slots)


def _keep_alive_s(value: str) -> float | None:
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.strip().isdigit():
            return float(number)
    return None
