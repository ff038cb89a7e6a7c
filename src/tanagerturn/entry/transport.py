"""HTTP calls to backend servers, with an exact account of what left this host."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import urllib3
from urllib3.connection import HTTPConnection

from tanagerturn.coordination.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from urllib3.response import BaseHTTPResponse

CONNECT_TIMEOUT_S: Final = 1.0
CONNECTIONS_PER_SERVER: Final = 64
POOLS: Final = 1024
READ_LIMIT_BYTES: Final = 64 * 1024
ANSWER_LIMIT_BYTES: Final = 32 * 1024 * 1024
NOT_PASSED_BACK: Final = frozenset(
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
    """No byte of the request left this host: the call did not run."""


class BrokenCallError(StepError):
    """The call broke after its first byte may have left; it may have run."""


@dataclass(frozen=True)
class BackendRequest:
    """A request to a backend server."""

    address: str
    """IP number and port of the backend server."""
    method: str
    """HTTP method."""
    path: str
    """Path with query."""
    headers: Mapping[str, str]
    """Headers to send."""
    body: bytes
    """Body to send."""
    timeout_s: float
    """Longest wait for the next bytes of the answer, in seconds."""


@dataclass(frozen=True)
class BackendAnswer:
    """A whole answer of a backend server."""

    status: int
    """HTTP status."""
    headers: list[tuple[str, str]]
    """End-to-end headers."""
    body: bytes
    """Body."""


class BackendStream:
    """An answer that is read as it arrives.

    Args:
        response: The response, its body not yet read.
        address: Address of the backend server.
    """

    def __init__(self, response: BaseHTTPResponse, address: str) -> None:
        self.response = response
        """The response."""
        self.address = address
        """Address of the backend server."""
        self.status = response.status
        """HTTP status."""

    def chunks(self) -> Iterator[bytes]:
        """Yield what has arrived, in order, without waiting for more.

        Raises:
            BrokenCallError: The stream ended before its end.
        """
        try:
            if self.response.chunked:
                # One chunk at a time, with less work for each than read1.
                yield from self.response.read_chunked()
                return
            while chunk := self.response.read1(READ_LIMIT_BYTES):
                yield chunk
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise BrokenCallError("read stream", self.address, str(error)) from error

    def set_silence_limit(self, limit_s: float) -> None:
        """Bound the wait for the next bytes, where the connection is at hand."""
        connection = getattr(self.response, "connection", None)
        sock = getattr(connection, "sock", None)
        if sock is not None:
            sock.settimeout(limit_s)

    def close(self) -> None:
        """Close the connection; the backend server sees the caller as gone."""
        self.response.close()


class BackendTransport:
    """Sends requests to backend servers; safe to use from several threads.

    Args:
        answer_limit_bytes: Largest body of an answer that is read whole.
    """

    def __init__(self, answer_limit_bytes: int = ANSWER_LIMIT_BYTES) -> None:
        self.answer_limit_bytes = answer_limit_bytes
        """Largest body of an answer that is read whole."""
        self.pool = urllib3.PoolManager(
            num_pools=POOLS,
            maxsize=CONNECTIONS_PER_SERVER,
            retries=False,
            block=False,
        )
        """Kept connections, for calls that may be repeated."""

    def call(self, request: BackendRequest) -> BackendAnswer:
        """Make a call that may be repeated, over a kept connection.

        Raises:
            NothingSentError: The connection was refused.
            BrokenCallError: No whole answer came.
        """
        response = self.open_stream(request).response
        try:
            return self._read_whole(response, request.address)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise BrokenCallError("read answer", request.address, str(error)) from error
        except BrokenCallError:
            response.close()
            raise
        finally:
            response.release_conn()

    def open_stream(self, request: BackendRequest) -> BackendStream:
        """Make a call that may be repeated and return its answer unread.

        Raises:
            NothingSentError: The connection was refused.
            BrokenCallError: No answer began.
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
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise BrokenCallError("send", address, str(error)) from error
        return BackendStream(response, address)

    def call_once(
        self, request: BackendRequest, may_send: Callable[[], bool]
    ) -> BackendAnswer:
        """Make a call that may not be repeated, over a fresh connection.

        Args:
            request: The request.
            may_send: Asked once, after connecting and before the first byte.

        Raises:
            NothingSentError: No byte left this host.
            BrokenCallError: No whole answer came.
        """
        address = request.address
        ip, _, port = address.rpartition(":")
        connection = HTTPConnection(
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
    ) -> BackendAnswer:
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
            return self._read_whole(connection.getresponse(), request.address)
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ) as error:
            raise BrokenCallError("exchange", request.address, str(error)) from error

    def _read_whole(self, response: BaseHTTPResponse, address: str) -> BackendAnswer:
        """Read an answer; one over the limit is no answer, not a shorter one."""
        parts = []
        left = self.answer_limit_bytes + 1
        # Only a read that finds the end tells whether the answer was cut short.
        while part := response.read(left):
            parts.append(part)
            left -= len(part)
            if left <= 0:
                raise BrokenCallError("read answer", address, "the answer is too large")
        headers = response.headers.items()
        passed = [(n, v) for n, v in headers if n.lower() not in NOT_PASSED_BACK]
        return BackendAnswer(response.status, passed, b"".join(parts))
