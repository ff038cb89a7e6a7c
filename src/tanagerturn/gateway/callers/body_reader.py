"""Reads request bodies into one buffer each, as the memory budget permits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import h11

from tanagerturn.gateway.callers.chunked_bodies import (
    BodyTooLarge,
    ChunkedDecoder,
    InvalidChunks,
)
from tanagerturn.gateway.callers.decoding_turns import needs_room

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.gateway.callers.decoding_turns import DecodingTurns
    from tanagerturn.gateway.callers.memory_budget import Reservation
    from tanagerturn.gateway.callers.memory_gate import MemoryGate
    from tanagerturn.gateway.configuration import IngressLimits
    from tanagerturn.gateway.http_reader import HttpReader

READ_AHEAD_BYTES: Final = 16 * 1024
"""Number of unread bytes of a caller above which reading pauses."""

SIZED_PIECE_BYTES: Final = READ_AHEAD_BYTES
"""Number of bytes of a body of known length that are copied in one turn of the event
loop."""

CHUNKED_PIECE_BYTES: Final = 8 * 1024
"""Number of bytes of a chunked body that are decoded at once; 1,360 of the smallest
chunks take about 1 ms."""

BUFFER_BYTES: Final = 48 * 1024
"""What an unfinished request holds besides its body: unread bytes and the parser."""

MANY_HEADERS: Final = 64
"""Number of headers above which they are counted as memory."""

HEADER_BYTES: Final = 400
"""What a short header takes in all forms in which it is kept."""

MAX_PARSED_CHUNKS: Final = 16
"""Number of lines of a chunked body up to which h11 decodes it, which is faster for
short bodies that arrived with their head."""

REFUSED_STATUS: Final = 503
"""Status of requests that are refused for want of memory; they have not run."""

UNSENT_HEADERS: Final = (b"transfer-encoding", b"expect")
"""Headers left out when a head is parsed again without its body."""


class InvalidRequest(Exception):
    """Raised when a request violates the protocol or a limit, or lacks memory.

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


class RequestMemory:
    """What one request holds of the memory budget; nothing if it arrived at once.

    Args:
        gate: The budget.
        open_reservation: Opens the reservation of the request.
    """

    def __init__(
        self, gate: MemoryGate, open_reservation: Callable[[], Reservation]
    ) -> None:
        self.gate = gate
        """The budget."""
        self.open_reservation = open_reservation
        """Opens the reservation of the request."""
        self.reservation: Reservation | None = None
        """The reservation; None before the first bytes are counted."""
        self.head_bytes = 0
        """What the head holds."""

    def count(self, body_bytes: int, moved_bytes: int) -> bool:
        """Set the size of the body so far; return whether reading may go on."""
        if self.reservation is None:
            self.reservation = self.open_reservation()
        held_bytes = BUFFER_BYTES + self.head_bytes + body_bytes
        return self.gate.hold(self.reservation, held_bytes, moved_bytes)

    async def wait(self) -> None:
        """Wait until more may be read.

        Raises:
            MemoryRefused: The request is refused.
        """
        if self.reservation is not None:
            await self.gate.wait(self.reservation)

    def on_complete(self, body_bytes: int) -> None:
        """Keep what a whole request holds; it is no longer refused."""
        if self.reservation is not None:
            self.count(body_bytes, 0)
            self.reservation.is_refusable = False

    def release(self) -> None:
        """Release the memory of the request."""
        self.head_bytes = 0
        if self.reservation is not None:
            self.gate.release(self.reservation)
            self.reservation = None


class BodyReader:
    """Reads the body of one request.

    Args:
        reader: Reads the events of the request; gets a new HTTP state after a chunked
            body.
        limits: Limits on the request.
        memory: What the request holds.
        turns: Room for decoding, which all connections share.
        send_continue: Tells the caller to send the body.
    """

    def __init__(
        self,
        reader: HttpReader,
        limits: IngressLimits,
        memory: RequestMemory,
        turns: DecodingTurns,
        send_continue: Callable[[], None],
    ) -> None:
        self.reader = reader
        """Reads the events of the request."""
        self.limits = limits
        """Limits on the request."""
        self.memory = memory
        """What the request holds."""
        self.turns = turns
        """Room for decoding, which all connections share."""
        self.send_continue = send_continue
        """Tells the caller to send the body."""

    async def read(self, request: h11.Request) -> bytes | bytearray:
        """Return the whole body.

        Raises:
            ConnectionError: The connection broke, or closed before the end.
            InvalidRequest: The body violates the protocol or a limit.
            MemoryRefused: The request is refused for want of memory.
        """
        is_chunked = _check_framing(request, self.limits.body_bytes)
        if not is_chunked or self._is_short_chunked():
            return await self._read_parsed()
        body = bytearray()
        is_whole = False
        try:
            await self._read_chunked(request, body)
            is_whole = True
        finally:
            if not is_whole:
                # An exception may keep the frame for longer than the body is needed.
                body.clear()
        self.memory.on_complete(len(body))
        return body

    async def _read_parsed(self) -> bytes | bytearray:
        """Read a body of known length, or one that h11 decodes."""
        first, body = b"", bytearray()
        is_whole = False
        try:
            while True:
                event = self.reader.http.next_event()
                if isinstance(event, h11.EndOfMessage):
                    is_whole = True
                    self.memory.on_complete(len(body) or len(first))
                    return body or first
                if isinstance(event, h11.Data):
                    if not first:
                        first = bytes(event.data)
                    else:
                        body = body or bytearray(first)
                        body += event.data
                    if max(len(body), len(first)) > self.limits.body_bytes:
                        raise _too_large(self.limits.body_bytes)
                    continue
                if event is not h11.NEED_DATA:
                    raise _incomplete()
                data = await self._receive(len(body) or len(first), SIZED_PIECE_BYTES)
                self.reader.http.receive_data(data)
        finally:
            if not is_whole:
                body.clear()

    def _is_short_chunked(self) -> bool:
        """Return whether a chunked body of few chunks has arrived as a whole."""
        data, _ = self.reader.http.trailing_data
        if data.count(b"\n") > MAX_PARSED_CHUNKS or not data.endswith(b"\r\n"):
            return False
        decoder = ChunkedDecoder(bytearray(), len(data), len(data))
        try:
            decoder.feed(data)
        except (InvalidChunks, BodyTooLarge):
            return False
        return decoder.is_done

    async def _read_chunked(self, request: h11.Request, body: bytearray) -> None:
        limits = self.limits
        decoder = ChunkedDecoder(body, limits.body_bytes, limits.header_bytes)
        data, _ = self.reader.http.trailing_data
        try:
            for start in range(0, len(data), CHUNKED_PIECE_BYTES):
                piece = data[start : start + CHUNKED_PIECE_BYTES]
                if needs_room(piece, decoder.data_left):
                    await self.turns.wait(piece)
                decoder.feed(piece)
            while not decoder.is_done:
                data = await self._receive(len(body), CHUNKED_PIECE_BYTES)
                if not data:
                    raise _incomplete()
                if needs_room(data, decoder.data_left):
                    await self.turns.wait(data)
                decoder.feed(data)
        except BodyTooLarge:
            raise _too_large(limits.body_bytes) from None
        except InvalidChunks as error:
            raise InvalidRequest(400, str(error)) from None
        self.reader.http = _after_body(request, limits.header_bytes, decoder.rest)

    async def _receive(self, body_bytes: int, limit_bytes: int) -> bytes:
        """Return the next bytes, once there is memory for them.

        Empty if the caller sends no more.
        """
        if self.reader.http.they_are_waiting_for_100_continue:
            self.send_continue()
        if not self.memory.count(body_bytes, 0):
            await self.memory.wait()
        tcp = self.reader.tcp
        if tcp.has_unread:
            # Other tasks run between two pieces.
            await asyncio.sleep(0)
        try:
            async with asyncio.timeout(self.limits.idle_timeout_s):
                data = await tcp.read(limit_bytes)
        except TimeoutError:
            raise InvalidRequest(
                408,
                f"no data of the request body within {self.limits.idle_timeout_s} s",
            ) from None
        self.memory.count(body_bytes + len(data), len(data))
        return data


def _check_framing(request: h11.Request, limit_bytes: int) -> bool:
    """Return whether a body is chunked.

    Raises:
        InvalidRequest: The framing is ambiguous, or the announced length exceeds the
            limit.
    """
    is_chunked = has_length = False
    for name, value in request.headers:
        if name == b"transfer-encoding":
            is_chunked = True
        elif name == b"content-length":
            has_length = True
            if int(value) > limit_bytes:
                raise _too_large(limit_bytes)
    if is_chunked and has_length:
        raise InvalidRequest(
            400, "the request has both Content-Length and Transfer-Encoding"
        )
    return is_chunked


def _after_body(request: h11.Request, header_bytes: int, rest: bytes) -> h11.Connection:
    """Return the HTTP state after a body that was decoded without h11.

    Args:
        request: Head of the request.
        header_bytes: Maximum size of a head in bytes.
        rest: Bytes that follow the body.
    """
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
    lines = [request.method, b" ", request.target, b" HTTP/", request.http_version]
    for name, value in request.headers.raw_items():
        if name.lower() not in UNSENT_HEADERS:
            lines += (b"\r\n", name, b": ", value)
    http.receive_data(b"".join(lines) + b"\r\n\r\n")
    http.next_event()
    http.next_event()
    if rest:
        http.receive_data(rest)
    return http


def _too_large(limit_bytes: int) -> InvalidRequest:
    return InvalidRequest(
        413, f"the request body exceeds the limit of {limit_bytes} bytes"
    )


def _incomplete() -> ConnectionResetError:
    return ConnectionResetError(
        "the connection closed before the end of the request body"
    )
