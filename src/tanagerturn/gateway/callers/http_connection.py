"""One connection of a client of the server."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

import h11

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.callers.body_reader import (
    HEADER_BYTES,
    MANY_HEADERS,
    REFUSED_STATUS,
    BodyReader,
    InvalidRequest,
    RequestMemory,
)
from tanagerturn.gateway.callers.exchange import Exchange
from tanagerturn.gateway.callers.memory_gate import MemoryRefused
from tanagerturn.gateway.callers.response_end import ResponseEnd
from tanagerturn.gateway.http_reader import HttpReader
from tanagerturn.gateway.logs import component_log

if TYPE_CHECKING:
    from tanagerturn.gateway.callers.memory_budget import Reservation
    from tanagerturn.gateway.configuration import IngressLimits
    from tanagerturn.gateway.connection import TcpConnection
    from tanagerturn.gateway.server import HttpServer

IDLE_MARGIN_S: Final = 1.0
"""Time in seconds past the idle timeout at which a connection is closed, so that a
request sent just within the timeout is still served."""

DISCARD_BYTES: Final = 32 * 1024 * 1024
"""Number of bytes of a refused request that are dropped so that its caller can read the
refusal."""

DISCARD_S: Final = 3.0
"""Time in seconds for which they are dropped."""

REFUSED_RETRY_S: Final = (0.5, 1.5)
"""Bounds in seconds of the random time after which the caller of a request that was
refused for want of memory may retry."""

log = component_log("server")


def _closed() -> Reservation:
    raise ConnectionResetError("the connection is closed")


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
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self.reader = HttpReader(tcp, http)
        """Reads the events of requests."""
        self.response_end = ResponseEnd(tcp)
        """End of a response that has neither a length nor chunks."""
        self.memory = RequestMemory(server.memory, self._open_reservation)
        """What the current request holds of the memory budget."""
        self.handler_task: asyncio.Task[None] | None = None
        """Handler of the current request; None between requests."""
        self.is_receiving = False
        """Whether a part of a request has been read, and the rest is awaited."""
        self.receiving_since_s = boot_s()
        """Boot-clock time in seconds at which the connection was opened, or the first
        part of the last head that came in parts was read."""
        self.is_refused = False
        """Whether a request was refused before its rest arrived."""
        tcp.on_disconnect = self._on_disconnect

    @property
    def http(self) -> h11.Connection:
        """HTTP protocol state."""
        return self.reader.http

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
        if isinstance(event, h11.Response) and self._is_ended_by_close(event):
            self.response_end.begin()
        data = self.http.send(event)
        if data:
            self.tcp.write(data)

    async def finish_response(self) -> None:
        """Send the end of a response, and wait until the caller has read enough."""
        self.send_event(h11.EndOfMessage())
        if self.response_end.is_incomplete:
            await self.response_end.complete()
        else:
            await self.tcp.drain()

    def break_off_response(self) -> None:
        """Close the connection, so that the caller sees an incomplete response.

        One that only the close delimits is reset once its handler has ended.
        """
        if not self.response_end.is_incomplete:
            self.tcp.close()

    def _is_ended_by_close(self, response: h11.Response) -> bool:
        """Return whether the close of the connection ends a response's body."""
        version = self.http.their_http_version
        if version is None or version >= b"1.1":
            return False
        return all(name != b"content-length" for name, _ in response.headers)

    async def run(self) -> None:
        """Serve requests until the connection closes."""
        try:
            fault = await self._serve_all()
            if fault is not None:
                await self._refuse(*fault)
        finally:
            self.is_receiving = False
            self.tcp.close()
            self.server.on_closed(self)
            # Without these references, the buffers are freed before the garbage
            # collector finds them.
            self.tcp.on_disconnect = self.tcp.on_connected = None
            self.memory.open_reservation = _closed

    async def _serve_all(self) -> tuple[int, str] | None:
        """Serve requests; return status and reason of the refusal that ends this.

        Only those: an exception would keep the buffers of the request.
        """
        try:
            while await self._serve_one():
                pass
        except ConnectionError as error:
            log.debug("connection_broke", peer=self.tcp.peer, reason=str(error))
        except MemoryRefused:
            return REFUSED_STATUS, "no memory for the request"
        except InvalidRequest as error:
            return error.status, error.reason
        except h11.RemoteProtocolError as error:
            return error.error_status_hint, str(error)
        finally:
            self.memory.release()
        return None

    async def _serve_one(self) -> bool:
        request = await self._read_head()
        if request is None:
            return False
        arrived_s = boot_s()
        self._count_headers(request)
        limits = self.server.limits()
        body_reader = BodyReader(
            self.reader, limits, self.memory, self.server.turns, self._send_continue
        )
        body = await body_reader.read(request)
        self.is_receiving = False
        exchange = Exchange(self, request, body, arrived_s)
        self.server.running_count += 1
        self.handler_task = asyncio.create_task(self.server.handler(exchange))
        if self.tcp.at_eof:
            self._on_disconnect()
        try:
            try:
                await self.handler_task
            finally:
                await self.response_end.break_off()
        except asyncio.CancelledError:
            if not self.tcp.at_eof:
                raise
            return False
        finally:
            self.server.running_count -= 1
            self.handler_task = None
            exchange.release_memory()
            self.memory.release()
        return self._is_reusable()

    def _is_reusable(self) -> bool:
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if not self.tcp.is_usable or self.server.is_closed:
            return False
        self.http.start_next_cycle()
        self.server.idle_connections[self] = None
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
        self.server.idle_connections.pop(self, None)
        self.is_receiving = not self.tcp.at_eof
        if event is h11.NEED_DATA:
            event = await self._read_rest_of_head(limits)
        return event if isinstance(event, h11.Request) else None

    async def _read_rest_of_head(
        self, limits: IngressLimits
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        self.receiving_since_s = boot_s()
        event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED] = h11.NEED_DATA
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                while event is h11.NEED_DATA:
                    size = await self.reader.receive()
                    self.memory.head_bytes += size
                    if not self.memory.count(0, size):
                        raise self._no_memory()
                    event = self.http.next_event()
        except TimeoutError:
            raise InvalidRequest(
                408, f"the request head took longer than {limits.header_timeout_s} s"
            ) from None
        return event

    def _count_headers(self, request: h11.Request) -> None:
        """Count the headers of an unusually large head.

        Raises:
            InvalidRequest: There is no memory for them. Waiting would not free what
                they hold already.
        """
        if len(request.headers) <= MANY_HEADERS:
            return
        self.memory.head_bytes = HEADER_BYTES * len(request.headers)
        if not self.memory.count(0, 0):
            raise self._no_memory()

    def _no_memory(self) -> InvalidRequest:
        kind = f"memory_{self.server.purpose.name.lower()}_head"
        self.server.memory.refusals.add(kind, boot_s())
        return InvalidRequest(REFUSED_STATUS, "no memory for the request head")

    def _open_reservation(self) -> Reservation:
        return self.server.memory.open(
            self.server.purpose, lambda: self.tcp.interrupt(MemoryRefused)
        )

    def _send_continue(self) -> None:
        self.send_event(h11.InformationalResponse(status_code=100, headers=[]))

    async def _refuse(self, status: int, reason: str) -> None:
        """Refuse a request, and let the caller read the refusal."""
        self.is_receiving = False
        if self.is_refused:
            return
        if status != REFUSED_STATUS:
            # Refusals for want of memory are logged where they are decided.
            log.info("caller_fault", peer=self.tcp.peer, status=status, reason=reason)
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if status == REFUSED_STATUS:
            retry_after_s = random.uniform(*REFUSED_RETRY_S)
            headers.append((b"Retry-After", f"{retry_after_s:.3f}".encode()))
        self.send_event(h11.Response(status_code=status, headers=headers))
        self.send_event(h11.EndOfMessage())
        self.tcp.end_writing()
        self.server.idle_connections[self] = None
        await self.tcp.discard(DISCARD_BYTES, DISCARD_S)

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
        if self.memory.reservation is not None:
            self.server.memory.interrupt(self.memory.reservation)

    def _on_disconnect(self) -> None:
        if self.handler_task is not None and not self.handler_task.done():
            self.handler_task.cancel()
        elif self.memory.reservation is not None:
            self.server.memory.resume(self.memory.reservation)
