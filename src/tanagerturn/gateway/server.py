"""Serves HTTP/1.1 connections: one task a connection, one handler a request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import h11

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.http1 import Wire
from tanagerturn.gateway.logs import part_log

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from tanagerturn.gateway.configuration import IngressLimits
    from tanagerturn.gateway.messages import RawHeaders

    Handler = Callable[["Exchange"], Coroutine[object, object, None]]

IDLE_MARGIN_S: Final = 1.0
"""An idle connection is closed this much after the limit, so that a request sent
just within it still finds it open."""

LISTEN_BACKLOG: Final = 512
"""New connections that the kernel keeps until they are accepted."""

log = part_log("server")


class CallerFault(Exception):
    """A caller broke the protocol or a limit; it gets the status.

    Args:
        status: HTTP status of the answer.
        reason: What was wrong.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        """HTTP status of the answer."""
        self.reason = reason
        """What was wrong."""


class Exchange:
    """One request on a connection, and the way to answer it.

    Args:
        connection: Connection that it came on.
        request: Its head.
        body: Its whole body.
        arrived_s: Boot clock when its head was complete.
    """

    def __init__(
        self,
        connection: HttpConnection,
        request: h11.Request,
        body: bytes,
        arrived_s: float,
    ) -> None:
        self.connection = connection
        """Connection that it came on."""
        self.method = request.method.decode("ascii")
        """HTTP method."""
        self.target = request.target.decode("latin-1")
        """Path and query, as sent."""
        self.headers: RawHeaders = list(request.headers.raw_items())
        """Headers, as sent."""
        self.body = body
        """Whole body."""
        self.arrived_s = arrived_s
        """Boot clock when the head was complete."""
        self.status = 0
        """Status of the answer; 0 before it has begun."""
        self.attempt_id = ""
        """Id that the caller gave; empty until its head is decoded."""

    async def respond(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a whole answer."""
        length = (b"Content-Length", str(len(body)).encode())
        self.start(status, [*headers, length])
        if body:
            self.send(body)
        await self.finish()

    def start(self, status: int, headers: RawHeaders) -> None:
        """Begin an answer; without a length its body is sent in chunks."""
        self.status = status
        if self.connection.closes_after_answer():
            headers = [*headers, (b"Connection", b"close")]
        event = h11.Response(status_code=status, headers=headers)
        self.connection.transmit(event)

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self.connection.transmit(h11.Data(data=data))

    async def drain(self) -> None:
        """Wait until the caller has read enough to be sent more."""
        await self.connection.wire.drain()

    async def finish(self) -> None:
        """End the answer as complete."""
        self.connection.transmit(h11.EndOfMessage())
        await self.connection.wire.drain()

    def break_off(self) -> None:
        """Close the connection, so that the answer is seen to be cut."""
        self.connection.wire.close()


class HttpConnection:
    """One connection of a caller.

    Args:
        wire: The open connection.
        server: Server that accepted it.
    """

    def __init__(self, wire: Wire, server: HttpServer) -> None:
        self.wire = wire
        """The open connection."""
        self.server = server
        """Server that accepted it."""
        limits = server.limits()
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        """State of the protocol."""
        self.handling: asyncio.Task[None] | None = None
        """Handler of the present request."""
        wire.on_gone = self._on_gone

    def closes_after_answer(self) -> bool:
        """Whether the present answer is the last one on this connection."""
        return self.server.is_draining

    def transmit(self, event: h11.Event) -> None:
        """Send one event of an answer."""
        data = self.http.send(event)
        if data:
            self.wire.write(data)

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one():
                pass
        except ConnectionError as error:
            log.debug("connection_broke", peer=self.wire.peer, reason=str(error))
        except CallerFault as fault:
            await self._refuse(fault)
        except h11.RemoteProtocolError as error:
            await self._refuse(CallerFault(error.error_status_hint, str(error)))
        finally:
            self.wire.close()
            self.server.connections.discard(self)

    async def _serve_one(self) -> bool:
        request = await self._next_head()
        if request is None:
            return False
        arrived_s = boot_s()
        body = await self._read_body(request)
        exchange = Exchange(self, request, body, arrived_s)
        self.server.running += 1
        self.handling = asyncio.create_task(self.server.handler(exchange))
        if self.wire.is_ended:
            self._on_gone()
        try:
            await self.handling
        except asyncio.CancelledError:
            if not self.wire.is_ended:
                raise
            return False
        finally:
            self.server.running -= 1
            self.handling = None
        return self._is_reusable()

    def _is_reusable(self) -> bool:
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if not self.wire.is_usable or self.server.is_closed:
            return False
        self.http.start_next_cycle()
        return True

    async def _next_head(self) -> h11.Request | None:
        limits = self.server.limits()
        self.http._max_incomplete_event_size = limits.header_bytes
        event = self.http.next_event()
        if event is h11.NEED_DATA:
            try:
                async with asyncio.timeout(limits.idle_timeout_s + IDLE_MARGIN_S):
                    data = await self.wire.read()
            except TimeoutError:
                return None
            self.http.receive_data(data)
            event = self.http.next_event()
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                while event is h11.NEED_DATA:
                    self.http.receive_data(await self.wire.read())
                    event = self.http.next_event()
        except TimeoutError:
            raise CallerFault(408, "the head took too long") from None
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
                    raise CallerFault(413, "the body is too large")
                parts.append(bytes(event.data))
                continue
            if event is not h11.NEED_DATA:
                raise ConnectionResetError("the caller left within its body")
            if self.http.they_are_waiting_for_100_continue:
                self.transmit(h11.InformationalResponse(status_code=100, headers=[]))
            try:
                async with asyncio.timeout(limits.idle_timeout_s):
                    self.http.receive_data(await self.wire.read())
            except TimeoutError:
                raise CallerFault(408, "the body took too long") from None

    async def _refuse(self, fault: CallerFault) -> None:
        log.info(
            "caller_fault",
            peer=self.wire.peer,
            status=fault.status,
            reason=fault.reason,
        )
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        self.transmit(h11.Response(status_code=fault.status, headers=headers))
        self.transmit(h11.EndOfMessage())

    def _on_gone(self) -> None:
        if self.handling is not None and not self.handling.done():
            self.handling.cancel()


class HttpServer:
    """Listens on one address.

    Args:
        handler: Answers one request.
        limits: Returns the limits in force.
    """

    def __init__(self, handler: Handler, limits: Callable[[], IngressLimits]) -> None:
        self.handler = handler
        """Answers one request."""
        self.limits = limits
        """Returns the limits in force."""
        self.running = 0
        """Requests that are being handled."""
        self.is_draining = False
        """Answers end their connections."""
        self.is_closed = False
        """No request is taken any more."""
        self.connections: set[HttpConnection] = set()
        """Open connections."""
        self.tasks: set[asyncio.Task[None]] = set()
        """Tasks of open connections."""
        self.listener: asyncio.Server | None = None
        """The listener; None before the start."""

    async def listen(self, address: str) -> None:
        """Accept connections.

        Args:
            address: IP number and port.

        Raises:
            OSError: The address can't be used.
        """
        ip, _, port = address.rpartition(":")
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: Wire(self._accept), ip, int(port), backlog=LISTEN_BACKLOG
        )

    def drain(self) -> None:
        """End each connection with its next answer."""
        self.is_draining = True

    def close(self) -> None:
        """Stop accepting, and close connections without a request.

        Others are closed with the end of their answer.
        """
        self.is_closed = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.handling is None and not connection.wire.has_unread:
                connection.wire.close()

    def _accept(self, wire: Wire) -> None:
        connection = HttpConnection(wire, self)
        self.connections.add(connection)
        task = asyncio.create_task(connection.run())
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("handler_failed", reason=repr(task.exception()))


def _check_framing(request: h11.Request) -> None:
    names = [name for name, _ in request.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise CallerFault(400, "both a length and chunks are announced")
