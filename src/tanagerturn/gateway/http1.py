"""HTTP/1.1 connections on the event loop; h11 reads and writes the messages."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s

if TYPE_CHECKING:
    from collections.abc import Callable

READ_AHEAD_LIMIT_BYTES: Final = 256 * 1024
"""Unread bytes of one connection above which reading pauses."""

USER_TIMEOUT_MS: Final = 2_500
"""Sent bytes that are not acknowledged for this long end a connection; a
partition leaves connections open without a reset."""

KEEP_ALIVE_IDLE_S: Final = 2
"""Silence after which the kernel probes a connection."""

KEEP_ALIVE_PROBES: Final = 3

HOP_HEADERS: Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Headers that concern one connection only."""


class Wire(asyncio.Protocol):
    """One TCP connection: bytes in and out, and whether the peer has left.

    Args:
        on_connected: Called with the wire once it is open; None at clients.
    """

    def __init__(self, on_connected: Callable[[Wire], None] | None = None) -> None:
        self.on_connected = on_connected
        """Called once the connection is open."""
        self.on_gone: Callable[[], None] | None = None
        """Called once when the peer closes or the connection breaks."""
        self.transport: asyncio.Transport | None = None
        """The open transport."""
        self.is_ended = False
        """The peer sends no more bytes."""
        self.error: Exception | None = None
        """Why the connection broke; None when the peer closed it in order."""
        self.peer = ""
        """IP number and port of the peer."""
        self.received_s = 0.0
        """Boot clock when the oldest bytes of the last read came."""
        self._received = bytearray()
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._is_paused = False
        self._can_write = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        tune_socket(transport.get_extra_info("socket"))
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else ""
        if self.on_connected is not None:
            self.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Keep received bytes until they are read."""
        if not self._received:
            self.received_s = boot_s()
        self._received += data
        if len(self._received) > READ_AHEAD_LIMIT_BYTES and self.transport is not None:
            self.transport.pause_reading()
            self._is_paused = True
        self._wake_reader()

    def eof_received(self) -> bool:
        """Note that the peer sends no more; the own side stays open."""
        self._end(None)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        self._can_write = True
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)
        self._end(exc)

    def pause_writing(self) -> None:
        """Note that the peer reads too slowly."""
        self._can_write = False

    def resume_writing(self) -> None:
        """Note that the peer has read."""
        self._can_write = True
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)

    @property
    def has_unread(self) -> bool:
        """Whether bytes were received and not read."""
        return bool(self._received)

    @property
    def is_usable(self) -> bool:
        """Whether bytes can be sent and answered."""
        transport = self.transport
        return (
            transport is not None and not self.is_ended and not transport.is_closing()
        )

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and not taken by the kernel."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    async def read(self) -> bytes:
        """Return received bytes; empty after the peer has closed in order.

        Raises:
            ConnectionError: The connection broke.
        """
        while not self._received:
            if self.is_ended:
                if self.error is not None:
                    raise ConnectionResetError(str(self.error))
                return b""
            self._reader = asyncio.get_running_loop().create_future()
            await self._reader
        data = bytes(self._received)
        self._received.clear()
        if self._is_paused and self.transport is not None:
            self._is_paused = False
            self.transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Send bytes; nothing when the connection is gone."""
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the peer has read enough to write on."""
        if self._can_write:
            return
        self._writer = asyncio.get_running_loop().create_future()
        await self._writer

    def close(self) -> None:
        """Close after what was written is sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def _end(self, error: Exception | None) -> None:
        if error is not None:
            self.error = error
        was_ended, self.is_ended = self.is_ended, True
        self._wake_reader()
        if not was_ended and self.on_gone is not None:
            self.on_gone()

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)


def tune_socket(sock: socket.socket) -> None:
    """Send small messages at once, and notice a silent peer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


async def connect(address: str, timeout_s: float) -> Wire:
    """Open a connection.

    Args:
        address: IP number and port.
        timeout_s: Longest time to wait.

    Raises:
        OSError: It could not be opened, `TimeoutError` included.
    """
    ip, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, wire = await loop.create_connection(Wire, ip, int(port))
    return wire


def end_to_end(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the headers that do not concern one connection only."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    dropped = HOP_HEADERS | named
    return [(name, value) for name, value in headers if name.lower() not in dropped]
