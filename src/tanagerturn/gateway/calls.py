"""HTTP calls to other systems: the cloud API and the backend servers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import h11
from expression import Error, Ok, Result

from tanagerturn.coordination.errors import StepError, UnavailableError
from tanagerturn.gateway.connection import connect
from tanagerturn.gateway.http_reader import MIN_PART_BYTES, HttpReader

if TYPE_CHECKING:
    from tanagerturn.gateway.connection import TcpConnection
    from tanagerturn.gateway.messages import RawHeaders

BODY_LIMIT_BYTES: Final = 256 * 1024
"""Maximum size of a response body in bytes."""

MAX_INTERIM_RESPONSES: Final = 16
"""Maximum number of interim responses before the response."""


@dataclass(frozen=True)
class CallResponse:
    """Status, body and headers of the response to a call."""

    status: int
    body: bytes
    headers: RawHeaders = field(default_factory=list, repr=False)
    keeps_connection: bool = False
    """Whether the connection may carry another call."""


async def call(
    address: str,
    path: str,
    headers: RawHeaders,
    body: bytes,
    timeout_s: float,
    method: str = "POST",
) -> Result[CallResponse, StepError]:
    """Make one HTTP call on a new connection.

    Args:
        address: IP address and port.
        path: Path and query of the call.
        headers: Headers in addition to Host, Content-Type, Content-Length and
            Connection.
        body: JSON body; empty for a call without a body.
        timeout_s: Timeout of the whole call in seconds.
        method: HTTP method.

    Returns:
        The response; an `UnavailableError` if the call failed, in which case it may
        have been executed.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return Ok(await _call(address, path, headers, body, timeout_s, method))
    except (OSError, h11.RemoteProtocolError) as error:
        reason = str(error) or f"no response within {timeout_s} s"
        return Error(UnavailableError(f"call {path}", address, reason))


async def _call(
    address: str,
    path: str,
    headers: RawHeaders,
    body: bytes,
    timeout_s: float,
    method: str,
) -> CallResponse:
    tcp = await connect(address, timeout_s)
    try:
        return await call_on(
            tcp, address, path, [(b"Connection", b"close"), *headers], body, method
        )
    finally:
        tcp.abort()


async def call_on(
    tcp: TcpConnection,
    address: str,
    path: str,
    headers: RawHeaders,
    body: bytes,
    method: str,
) -> CallResponse:
    """Make one HTTP call on an open connection that carries no other one.

    Args:
        tcp: The connection.
        address: IP address and port that the call names as its host.
        path: Path and query of the call.
        headers: Headers in addition to Host, Content-Type and Content-Length.
        body: JSON body; empty for a call without a body.
        method: HTTP method.

    Raises:
        OSError: The connection broke.
        h11.RemoteProtocolError: The peer violated the protocol.
    """
    http = h11.Connection(h11.CLIENT)
    standard_headers = [
        (b"Host", address.encode()),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(len(body)).encode()),
    ]
    request = h11.Request(
        method=method, target=path, headers=[*standard_headers, *headers]
    )
    head = http.send(request) or b""
    data = http.send(h11.Data(data=body)) or b"" if body else b""
    http.send(h11.EndOfMessage())
    tcp.write(head + data)
    reader = HttpReader(tcp, http)
    status, interim_count, size, body_bytes = 0, 0, 0, bytearray()
    response_headers: RawHeaders = []
    while True:
        event = await reader.next_event()
        if isinstance(event, h11.Response):
            status = event.status_code
            response_headers = list(event.headers.raw_items())
        elif isinstance(event, h11.Data):
            body_bytes += event.data
            size += max(len(event.data), MIN_PART_BYTES)
            if size > BODY_LIMIT_BYTES:
                raise ConnectionResetError(
                    f"the response body exceeds the limit of {BODY_LIMIT_BYTES} bytes"
                )
        elif isinstance(event, h11.EndOfMessage):
            keeps_connection = (
                http.our_state is h11.DONE
                and http.their_state is h11.DONE
                and not http.trailing_data[0]
                and not tcp.has_unread
                and tcp.is_usable
            )
            return CallResponse(
                status, bytes(body_bytes), response_headers, keeps_connection
            )
        elif not isinstance(event, h11.InformationalResponse):
            raise ConnectionResetError(
                "the connection closed before the end of the response"
            )
        else:
            interim_count += 1
            if interim_count > MAX_INTERIM_RESPONSES:
                raise ConnectionResetError(
                    f"more than {MAX_INTERIM_RESPONSES} interim responses"
                )
