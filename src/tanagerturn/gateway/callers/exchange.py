"""A request on a connection of the server, and its response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, cast

import h11

from tanagerturn.gateway.callers.memory_budget import Purpose
from tanagerturn.gateway.connection import WRITE_WINDOW_BYTES

if TYPE_CHECKING:
    from tanagerturn.gateway.backends.forwarded import ForwardedCall
    from tanagerturn.gateway.callers.http_connection import HttpConnection
    from tanagerturn.gateway.callers.memory_budget import Reservation
    from tanagerturn.gateway.messages import RawHeaders

NOT_MODIFIED: Final = 304
"""Status of a response that never has a body."""


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
        body: bytes | bytearray,
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
        self.response_memory: Reservation | None = None
        """What a response that is read whole holds of the memory budget; None if it
        is small."""

    async def respond(
        self, status: int, headers: RawHeaders, body: bytes | bytearray
    ) -> None:
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
        if len(body) > WRITE_WINDOW_BYTES:
            await self._send_large(memoryview(body))
        elif body:
            self.send(body)
        await self.finish()

    async def hold_response(self, size_bytes: int) -> None:
        """Count the bytes of a response that is read whole; wait for memory for more.

        Args:
            size_bytes: Size of the response so far.
        """
        gate = self.connection.server.memory
        if self.response_memory is None:
            abort = self.connection.tcp.abort
            self.response_memory = gate.open(Purpose.RESPONSE, abort)
            # The request has run; its response is needed.
            self.response_memory.is_refusable = False
        if not gate.hold(self.response_memory, size_bytes, 0):
            await gate.wait(self.response_memory)

    def release_memory(self) -> None:
        """Release what the response holds of the memory budget."""
        if self.response_memory is not None:
            self.connection.server.memory.release(self.response_memory)
            self.response_memory = None

    async def _send_large(self, body: memoryview) -> None:
        """Send a body as the caller reads it.

        A caller that reads slowly loses its connection if others need the memory.
        """
        gate, memory = self.connection.server.memory, self.response_memory
        if memory is not None:
            memory.is_refusable = True
        for start in range(0, len(body), WRITE_WINDOW_BYTES):
            part = body[start : start + WRITE_WINDOW_BYTES]
            self.send(part)
            await self.drain()
            if memory is not None:
                gate.hold(memory, memory.held_bytes, len(part))

    def start(self, status: int, headers: RawHeaders) -> None:
        """Send the head of a response; without a length its body is chunked.

        For a caller of HTTP/1.0, the end of the connection is then that of the body.
        """
        self.status = status
        if self.forwarded is not None:
            headers = [*headers, *self.forwarded.answer_headers()]
        if self.connection.closes_after_response():
            headers = [*headers, (b"Connection", b"close")]
        event = h11.Response(status_code=status, headers=headers)
        self.connection.send_event(event)

    def send(self, data: bytes | bytearray | memoryview) -> None:
        """Send a part of the response body."""
        self.connection.send_event(h11.Data(data=cast("bytes", data)))

    async def drain(self) -> None:
        """Wait until the caller has read enough for further data to be sent."""
        await self.connection.tcp.drain()

    async def finish(self) -> None:
        """Complete the response."""
        await self.connection.finish_response()

    def abort(self) -> None:
        """End the connection, so that the caller sees an incomplete response."""
        self.connection.break_off_response()
