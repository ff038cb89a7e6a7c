"""One HTTP call to another system: the cloud API, or an order to an engine."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import h11
from expression import Error, Ok, Result

from tanagerturn.coordination.errors import StepError, UnavailableError
from tanagerturn.gateway.http1 import connect

if TYPE_CHECKING:
    from tanagerturn.gateway.messages import RawHeaders

BODY_LIMIT_BYTES: Final = 1024 * 1024
"""Largest body of an answer."""


@dataclass(frozen=True)
class CallAnswer:
    """Answer to a call."""

    status: int
    body: bytes


async def call(
    address: str,
    path: str,
    headers: RawHeaders,
    body: bytes,
    timeout_s: float,
    method: str = "POST",
) -> Result[CallAnswer, StepError]:
    """Send a JSON body, or a question, on a connection of its own.

    Args:
        address: IP number and port.
        path: Path of the call.
        headers: Headers besides the usual ones.
        body: JSON.
        timeout_s: Longest time to wait for the whole answer.
        method: HTTP method.

    Returns:
        The answer; an `UnavailableError` when the call may have been carried out.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return Ok(await _call(address, path, headers, body, timeout_s, method))
    except (OSError, h11.RemoteProtocolError) as error:
        reason = str(error) or "no answer in time"
        return Error(UnavailableError(f"call {path}", address, reason))


async def _call(
    address: str,
    path: str,
    headers: RawHeaders,
    body: bytes,
    timeout_s: float,
    method: str,
) -> CallAnswer:
    wire = await connect(address, timeout_s)
    http = h11.Connection(h11.CLIENT)
    usual = [
        (b"Host", address.encode()),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(len(body)).encode()),
        (b"Connection", b"close"),
    ]
    request = h11.Request(method=method, target=path, headers=[*usual, *headers])
    try:
        head = http.send(request) or b""
        data = http.send(h11.Data(data=body)) or b"" if body else b""
        http.send(h11.EndOfMessage())
        wire.write(head + data)
        status, parts = 0, []
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await wire.read())
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                if sum(map(len, parts)) > BODY_LIMIT_BYTES:
                    raise ConnectionResetError("the answer is too large")
            elif isinstance(event, h11.EndOfMessage):
                return CallAnswer(status, b"".join(parts))
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError("no answer before the connection ended")
    finally:
        wire.abort()
