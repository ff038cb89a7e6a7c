"""HTTP/1.1 server: one task per connection and one handler call per request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import h11

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.connection import TcpConnection
from tanagerturn.gateway.http_reader import HttpReader
from tanagerturn.gateway.logs import component_log

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from tanagerturn.gateway.backends.forwarded import ForwardedCall
    from tanagerturn.gateway.configuration import IngressLimits
    from tanagerturn.gateway.messages import RawHeaders

    Handler = Callable[["Exchange"], Coroutine[object, object, None]]

IDLE_MARGIN_S: Final = 1.0
"""Time in seconds past the idle timeout at which a connection is closed, so that a
request sent just within the timeout is still served."""

NOT_MODIFIED: Final = 304
"""Status of a response that never has a body."""

LISTEN_BACKLOG: Final = 512
"""Maximum number of new connections that the kernel queues until they are accepted."""

log = component_log("server")


class InvalidRequest(Exception):
    """Raised when a request violates the protocol or exceeds a limit.

    Args:
        status: HTTP status of the response.
        reason: The violation, as logged.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        """HTTP status of the response."""
        self.reason = reason
        """The violation, as logged."""


class Exchange:
    """One request on a connection, and its response.

    Args:
        connection: Connection on which the request arrived.
        request: Head of the request.
        body: Whole body of the request.
        arrived_s: Boot-clock time in seconds at which the head was complete.
    """

    def __init__(
        self,
        connection: HttpConnection,
        request: h11.Request,
        body: bytes,
        arrived_s: float,
    ) -> None:
        self.connection = connection
        """Connection on which the request arrived."""
        self.method = request.method.decode("ascii")
        """HTTP method."""
        self.target = request.target.decode("latin-1")
        """Path and query, as received."""
        self.headers: RawHeaders = list(request.headers.raw_items())
        """Headers, as received."""
        self.body = body
        """Whole body of the request."""
        self.arrived_s = arrived_s
        """Boot-clock time in seconds at which the head was complete."""
        self.status = 0
        """HTTP status of the response; 0 until the response is started."""
        self.attempt_id = ""
        """Request id that the caller sent; empty until the head is decoded."""
        self.forwarded: ForwardedCall | None = None
        """What a peer gateway states of a request that it forwarded; None for requests
        of callers."""

    async def respond(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a whole response.

        A response without a body keeps the length that its headers state, which is that
        of the body which a GET request would get.
        """
        if self.method == "HEAD" or status == NOT_MODIFIED:
            self.start(status, headers)
            await self.finish()
            return
        headers = [h for h in headers if h[0].lower() != b"content-length"]
        length = (b"Content-Length", str(len(body)).encode())
        self.start(status, [*headers, length])
        if body:
            self.send(body)
        await self.finish()

    def start(self, status: int, headers: RawHeaders) -> None:
        """Send the head of a response; without a length its body is chunked."""
        self.status = status
        if self.forwarded is not None:
            headers = [*headers, *self.forwarded.answer_headers()]
        if self.connection.closes_after_response():
            headers = [*headers, (b"Connection", b"close")]
        event = h11.Response(status_code=status, headers=headers)
        self.connection.send_event(event)

    def send(self, data: bytes) -> None:
        """Send a part of the response body."""
        self.connection.send_event(h11.Data(data=data))

    async def drain(self) -> None:
        """Wait until the caller has read enough for further data to be sent."""
        await self.connection.tcp.drain()

    async def finish(self) -> None:
        """Complete the response."""
        self.connection.send_event(h11.EndOfMessage())
        await self.connection.tcp.drain()

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete response."""
        self.connection.tcp.close()


class HttpConnection:
    """One connection of a client of the server.

    Args:
        tcp: The open TCP connection.
        server: Server that accepted the connection.
    """

    def __init__(self, tcp: TcpConnection, server: HttpServer) -> None:
        self.tcp = tcp
        """The open TCP connection."""
        self.server = server
        """Server that accepted the connection."""
        limits = server.limits()
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        """HTTP protocol state."""
        self.reader = HttpReader(tcp, self.http)
        """Reads the events of requests."""
        self.handler_task: asyncio.Task[None] | None = None
        """Handler of the current request; None between requests."""
        self.is_receiving = False
        """Whether a part of a request has been read, and the rest is awaited."""
        self.is_refused = False
        """Whether a request was refused before its rest arrived."""
        tcp.on_disconnect = self._on_disconnect

    @property
    def has_request(self) -> bool:
        """Whether a request is handled, or at least a part of one has arrived."""
        is_handled = self.handler_task is not None
        return is_handled or self.is_receiving or self.tcp.has_unread

    def closes_after_response(self) -> bool:
        """Return whether the connection closes after the current response."""
        return self.server.is_draining

    def send_event(self, event: h11.Event) -> None:
        """Send one event of a response."""
        data = self.http.send(event)
        if data:
            self.tcp.write(data)

    async def run(self) -> None:
        """Serve requests until the connection closes."""
        try:
            while await self._serve_one():
                pass
        except ConnectionError as error:
            log.debug("connection_broke", peer=self.tcp.peer, reason=str(error))
        except InvalidRequest as error:
            await self._send_error(error)
        except h11.RemoteProtocolError as error:
            await self._send_error(InvalidRequest(error.error_status_hint, str(error)))
        finally:
            self.is_receiving = False
            self.tcp.close()
            self.server.connections.discard(self)

    async def _serve_one(self) -> bool:
        request = await self._read_head()
        if request is None:
            return False
        arrived_s = boot_s()
        body = await self._read_body(request)
        self.is_receiving = False
        exchange = Exchange(self, request, body, arrived_s)
        self.server.running_count += 1
        self.handler_task = asyncio.create_task(self.server.handler(exchange))
        if self.tcp.at_eof:
            self._on_disconnect()
        try:
            await self.handler_task
        except asyncio.CancelledError:
            if not self.tcp.at_eof:
                raise
            return False
        finally:
            self.server.running_count -= 1
            self.handler_task = None
        return self._is_reusable()

    def _is_reusable(self) -> bool:
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if not self.tcp.is_usable or self.server.is_closed:
            return False
        self.http.start_next_cycle()
        return True

    async def _read_head(self) -> h11.Request | None:
        limits = self.server.limits()
        self.http._max_incomplete_event_size = limits.header_bytes
        event = self.http.next_event()
        if event is h11.NEED_DATA:
            try:
                async with asyncio.timeout(limits.idle_timeout_s + IDLE_MARGIN_S):
                    await self.reader.receive()
            except TimeoutError:
                return None
            event = self.http.next_event()
        self.is_receiving = not self.tcp.at_eof
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                if event is h11.NEED_DATA:
                    event = await self.reader.next_event()
        except TimeoutError:
            raise InvalidRequest(
                408, f"the request head took longer than {limits.header_timeout_s} s"
            ) from None
        return event if isinstance(event, h11.Request) else None

    async def _read_body(self, request: h11.Request) -> bytes:
        _check_framing(request)
        limits = self.server.limits()
        parts: list[bytes] = []
        size = 0
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    raise InvalidRequest(
                        413,
                        "the request body exceeds the limit of"
                        f" {limits.body_bytes} bytes",
                    )
                parts.append(bytes(event.data))
                continue
            if event is not h11.NEED_DATA:
                raise ConnectionResetError(
                    "the connection closed before the end of the request body"
                )
            if self.http.they_are_waiting_for_100_continue:
                self.send_event(h11.InformationalResponse(status_code=100, headers=[]))
            try:
                async with asyncio.timeout(limits.idle_timeout_s):
                    await self.reader.receive()
            except TimeoutError:
                raise InvalidRequest(
                    408, f"no data of the request body within {limits.idle_timeout_s} s"
                ) from None

    async def _send_error(self, error: InvalidRequest) -> None:
        if self.is_refused:
            return
        log.info(
            "caller_fault",
            peer=self.tcp.peer,
            status=error.status,
            reason=error.reason,
        )
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        self.send_event(h11.Response(status_code=error.status, headers=headers))
        self.send_event(h11.EndOfMessage())

    def refuse_incomplete(self, retry_after_s: float) -> None:
        """Refuse a request whose rest has not arrived, and close the connection.

        Args:
            retry_after_s: Time in seconds after which the caller may retry.
        """
        self.is_receiving, self.is_refused = False, True
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [
                (b"Retry-After", f"{retry_after_s:.3f}".encode()),
                (b"Content-Length", b"0"),
                (b"Connection", b"close"),
            ]
            self.send_event(h11.Response(status_code=503, headers=headers))
            self.send_event(h11.EndOfMessage())
        self.tcp.close()

    def _on_disconnect(self) -> None:
        if self.handler_task is not None and not self.handler_task.done():
            self.handler_task.cancel()


class HttpServer:
    """HTTP server on one address.

    Args:
        handler: Responds to one request.
        limits: Returns the limits on requests that are in force.
    """

    def __init__(self, handler: Handler, limits: Callable[[], IngressLimits]) -> None:
        self.handler = handler
        """Responds to one request."""
        self.limits = limits
        """Returns the limits on requests that are in force."""
        self.running_count = 0
        """Number of requests that are being handled."""
        self.is_draining = False
        """Whether each connection is closed after its next response."""
        self.is_closed = False
        """Whether no further request is accepted."""
        self.connections: set[HttpConnection] = set()
        """Open connections."""
        self.tasks: set[asyncio.Task[None]] = set()
        """Tasks of open connections."""
        self.listener: asyncio.Server | None = None
        """Listener for connections; None before `listen`."""

    async def listen(self, address: str) -> None:
        """Accept connections on an address.

        Args:
            address: IP address and port.

        Raises:
            OSError: The address can't be used.
        """
        ip, _, port = address.rpartition(":")
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: TcpConnection(self._on_connected),
            ip,
            int(port),
            backlog=LISTEN_BACKLOG,
        )

    @property
    def is_busy(self) -> bool:
        """Whether a request is handled, or a part of one has arrived."""
        return any(connection.has_request for connection in self.connections)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.is_draining = True

    def close(self) -> None:
        """Stop accepting connections, and close those without a request.

        Each other connection is closed when its response is complete.
        """
        self.is_closed = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if not connection.has_request:
                connection.tcp.close()

    def end_requests(self, retry_after_s: float) -> None:
        """Let all requests get a response at once: their handlers are cancelled.

        Those whose rest has not arrived are refused, since they have not run.

        Args:
            retry_after_s: Time in seconds after which refused callers may retry.
        """
        for connection in list(self.connections):
            if connection.handler_task is not None:
                connection.handler_task.cancel()
            elif connection.is_receiving:
                connection.refuse_incomplete(retry_after_s)

    def _on_connected(self, tcp: TcpConnection) -> None:
        connection = HttpConnection(tcp, self)
        self.connections.add(connection)
        task = asyncio.create_task(connection.run())
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("handler_failed", reason=repr(task.exception()))


def _check_framing(request: h11.Request) -> None:
    names = [name for name, _ in request.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise InvalidRequest(
            400, "the request has both Content-Length and Transfer-Encoding"
        )
