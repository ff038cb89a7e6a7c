"""HTTP calls to backend servers, with an exact account of what left this host."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import urllib3
from urllib3.connection import HTTPConnection

from tanagerturn.coordination.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

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
    """Sends requests to backend servers; safe to use from several threads."""

    def __init__(self) -> None:
        self.pool = urllib3.PoolManager(
            num_pools=POOLS,
            maxsize=CONNECTIONS_PER_SERVER,
            retries=False,
            block=False,
        )
        """Kept connections, for calls that may be repeated."""

    def call(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> BackendAnswer:
        """Make a call that may be repeated, over a kept connection.

        Raises:
            NothingSentError: The connection was refused.
            BrokenCallError: No whole answer came.
        """
        stream = self.open_stream(address, method, path, headers, body, timeout_s)
        try:
            data = stream.response.read(ANSWER_LIMIT_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise BrokenCallError("read answer", address, str(error)) from error
        finally:
            stream.response.release_conn()
        return _answer(stream.response.status, stream.response.headers.items(), data)

    def open_stream(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> BackendStream:
        """Make a call that may be repeated and return its answer unread.

        Raises:
            NothingSentError: The connection was refused.
            BrokenCallError: No answer began.
        """
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            response = self.pool.request(
                method,
                f"http://{address}{path}",
                body=body or None,
                headers=dict(headers),
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
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
        may_send: Callable[[], bool],
    ) -> BackendAnswer:
        """Make a call that may not be repeated, over a fresh connection.

        Args:
            address: IP number and port of the backend server.
            method: HTTP method.
            path: Path with query.
            headers: Headers to send.
            body: Body to send.
            timeout_s: Longest time to wait for the answer, in seconds.
            may_send: Asked once, after connecting and before the first byte.

        Raises:
            NothingSentError: No byte left this host.
            BrokenCallError: No whole answer came.
        """
        ip, _, port = address.rpartition(":")
        connection = HTTPConnection(
            ip.strip("[]"), int(port), timeout=CONNECT_TIMEOUT_S
        )
        try:
            self._connect(connection, address)
            if not may_send():
                raise NothingSentError("send", address, "permission to send ended")
            return self._exchange(
                connection, address, method, path, headers, body, timeout_s
            )
        finally:
            connection.close()

    def _connect(self, connection: HTTPConnection, address: str) -> None:
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise NothingSentError("connect", address, str(error)) from error

    def _exchange(
        self,
        connection: HTTPConnection,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> BackendAnswer:
        if connection.sock is not None:
            connection.sock.settimeout(timeout_s)
        connection.timeout = timeout_s
        try:
            connection.request(
                method, path, body=body, headers=dict(headers), preload_content=False
            )
            response = connection.getresponse()
            data = response.read(ANSWER_LIMIT_BYTES)
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ) as error:
            raise BrokenCallError("exchange", address, str(error)) from error
        return _answer(response.status, response.headers.items(), data)


def _answer(
    status: int, headers: Iterable[tuple[str, str]], body: bytes
) -> BackendAnswer:
    passed = [(n, v) for n, v in headers if n.lower() not in NOT_PASSED_BACK]
    return BackendAnswer(status, passed, body)
