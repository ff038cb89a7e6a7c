"""HTTP calls to backend servers that report whether any byte may have been sent."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import urllib3

from tanagerturn.coordination.errors import StepError
from tanagerturn.shared.http_pools import WholeHeadConnection, is_delimited, make_pools

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from urllib3.connection import HTTPConnection
    from urllib3.response import BaseHTTPResponse

CONNECT_TIMEOUT_S: Final = 1.0
CONNECTIONS_PER_SERVER: Final = 64
MAX_POOLS: Final = 1024
READ_LIMIT_BYTES: Final = 64 * 1024
RESPONSE_LIMIT_BYTES: Final = 32 * 1024 * 1024
UNFORWARDED_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "transfer-encoding",
        "date",
        "server",
    }
)


class NothingSentError(StepError):
    """No byte of the request was sent, so the call did not run."""


class BrokenCallError(StepError):
    """The call failed after its first byte may have been sent; it may have run."""


@dataclass(frozen=True)
class BackendRequest:
    """A request to a backend server."""

    address: str
    """IP address and port of the backend server."""
    method: str
    """HTTP method."""
    path: str
    """Path with query string."""
    headers: Mapping[str, str]
    """Request headers."""
    body: bytes
    """Request body; empty for none."""
    timeout_s: float
    """Longest wait for the next bytes of the response, in seconds."""


@dataclass(frozen=True)
class BackendResponse:
    """A complete response of a backend server."""

    status: int
    """HTTP status."""
    headers: list[tuple[str, str]]
    """Headers to forward to the caller."""
    body: bytes
    """Response body."""


class BackendStream:
    """A response that is read as it arrives.

    Args:
        response: HTTP response whose body is not read yet.
        address: IP address and port of the backend server.
    """

    def __init__(self, response: BaseHTTPResponse, address: str) -> None:
        self.response = response
        """The HTTP response."""
        self.address = address
        """IP address and port of the backend server."""
        self.status = response.status
        """HTTP status."""

    def chunks(self) -> Iterator[bytes]:
        """Yield received bytes in order, each chunk as soon as it arrives.

        Raises:
            BrokenCallError: The response was aborted or timed out.
        """
        try:
            if self.response.chunked:
                # read_chunked costs less per chunk than read1.
                yield from self.response.read_chunked()
                return
            while chunk := self.response.read1(READ_LIMIT_BYTES):
                yield chunk
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise BrokenCallError("read stream", self.address, str(error)) from error

    def read_whole(self) -> BackendResponse:
        """Return the response with its whole body, and close the connection.

        Raises:
            BrokenCallError: The response is incomplete or too large.
        """
        try:
            return _read_whole(self.response, self.address, READ_LIMIT_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise BrokenCallError("read answer", self.address, str(error)) from error
        finally:
            self.close()

    def set_silence_limit(self, limit_s: float) -> None:
        """Set the read timeout; no effect if the connection is not accessible.

        Args:
            limit_s: Longest wait for the next bytes, in seconds.
        """
        connection = getattr(self.response, "connection", None)
        sock = getattr(connection, "sock", None)
        if sock is not None:
            sock.settimeout(limit_s)

    def close(self) -> None:
        """Close the connection; the backend server sees a disconnect."""
        self.response.close()


class BackendTransport:
    """Sends requests to backend servers; thread-safe.

    Args:
        response_limit_bytes: Maximum size in bytes of a response body that is not
            streamed.
    """

    def __init__(self, response_limit_bytes: int = RESPONSE_LIMIT_BYTES) -> None:
        self.response_limit_bytes = response_limit_bytes
        """Maximum size in bytes of a response body that is not streamed."""
        self.pool = make_pools(MAX_POOLS, CONNECTIONS_PER_SERVER)
        """Pool of persistent connections, for repeatable calls."""

    def call(self, request: BackendRequest) -> BackendResponse:
        """Make a repeatable call over a pooled connection.

        Raises:
            NothingSentError: No connection could be opened.
            BrokenCallError: No complete response was received.
        """
        response = self.open_stream(request).response
        try:
            return _read_whole(response, request.address, self.response_limit_bytes)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise BrokenCallError("read answer", request.address, str(error)) from error
        except BrokenCallError:
            response.close()
            raise
        finally:
            response.release_conn()

    def open_stream(self, request: BackendRequest) -> BackendStream:
        """Make a repeatable call and return its response with the body unread.

        Raises:
            NothingSentError: No connection could be opened.
            BrokenCallError: No response headers were received.
        """
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=request.timeout_s)
        address = request.address
        try:
            response = self.pool.request(
                request.method,
                f"http://{address}{request.path}",
                body=request.body or None,
                headers=dict(request.headers),
                timeout=timeout,
                preload_content=False,
                redirect=False,
                decode_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise NothingSentError("connect", address, str(error)) from error
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ) as error:
            raise BrokenCallError("send", address, str(error)) from error
        return BackendStream(response, address)

    def call_once(
        self, request: BackendRequest, may_send: Callable[[], bool]
    ) -> BackendResponse:
        """Make a non-repeatable call over a new connection.

        Args:
            request: The request.
            may_send: Function that returns whether the request may be sent; called
                once, after connecting and before the first byte.

        Raises:
            NothingSentError: No byte of the request was sent.
            BrokenCallError: No complete response was received.
        """
        address = request.address
        ip, _, port = address.rpartition(":")
        connection = WholeHeadConnection(
            ip.strip("[]"), int(port), timeout=CONNECT_TIMEOUT_S
        )
        try:
            self._connect(connection, address)
            if not may_send():
                raise NothingSentError("send", address, "permission to send ended")
            return self._exchange(connection, request)
        finally:
            connection.close()

    def _connect(self, connection: HTTPConnection, address: str) -> None:
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise NothingSentError("connect", address, str(error)) from error

    def _exchange(
        self, connection: HTTPConnection, request: BackendRequest
    ) -> BackendResponse:
        if connection.sock is not None:
            connection.sock.settimeout(request.timeout_s)
        connection.timeout = request.timeout_s
        try:
            connection.request(
                request.method,
                request.path,
                body=request.body,
                headers=dict(request.headers),
                preload_content=False,
            )
            return _read_whole(
                connection.getresponse(), request.address, self.response_limit_bytes
            )
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ) as error:
            raise BrokenCallError("exchange", request.address, str(error)) from error


def _read_whole(
    response: BaseHTTPResponse, address: str, limit_bytes: int
) -> BackendResponse:
    """Read a complete response; a body over the limit is an error.

    So is one that only the end of its connection would show to be complete.
    """
    if not is_delimited(response):
        reason = "the answer has neither a length nor chunks"
        raise BrokenCallError("read answer", address, reason)
    body_parts = []
    remaining_bytes = limit_bytes + 1
    # Only a read that reaches the end shows that the response is complete.
    while part := response.read(remaining_bytes):
        body_parts.append(part)
        remaining_bytes -= len(part)
        if remaining_bytes <= 0:
            raise BrokenCallError("read answer", address, "the answer is too large")
    headers = response.headers.items()
    forwarded_headers = [
        (n, v) for n, v in headers if n.lower() not in UNFORWARDED_HEADERS
    ]
    return BackendResponse(response.status, forwarded_headers, b"".join(body_parts))
