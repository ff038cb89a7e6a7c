"""TCP connections that carry HTTP/1.1 or frames; h11 parses the HTTP messages."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
import threading
from collections import deque
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s

if TYPE_CHECKING:
    from collections.abc import Callable

READ_AHEAD_LIMIT_BYTES: Final = 64 * 1024
"""Number of unread bytes of one connection above which reading pauses."""

WRITE_WINDOW_BYTES: Final = 64 * 1024
"""Number of bytes of a large body that are written at once; the rest waits until the
write buffer has emptied."""

USER_TIMEOUT_MS: Final = 4_000
"""Time in milliseconds without an acknowledgement of sent bytes after which the kernel
closes a connection; a network partition leaves connections open without a reset. With
it, keep-alive probes give up at the first one that is due later, whatever their number:
the other side may be silent for `USER_TIMEOUT_MS` less `KEEP_ALIVE_IDLE_S`."""

IDLE_USER_TIMEOUT_MS: Final = 1_500
"""The same for idle connections, whose loss costs nothing; one that a partition has cut
must not get a request that can't be repeated."""

SENT_CHECK_INTERVAL_S: Final = 0.005
"""Interval in seconds at which it is checked whether the peer has acknowledged what was
written; the kernel does not report it."""

KEEP_ALIVE_IDLE_S: Final = 1
"""Idle time in seconds after which the kernel sends keep-alive probes."""

KEEP_ALIVE_PROBES: Final = 4

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
"""Headers that apply to a single connection and are not forwarded."""


class _ReadBuffer(threading.local):
    """Buffer into which all connections of a thread read.

    asyncio allocates 256 KiB for each read of a connection without such a buffer.
    """

    def __init__(self) -> None:
        self.view = memoryview(bytearray(READ_AHEAD_LIMIT_BYTES))


_read_buffer = _ReadBuffer()


class TcpConnection(asyncio.BufferedProtocol):
    """One TCP connection with buffered reads that reports when the peer closes it.

    Args:
        on_connected: Called with the connection once it is open; None on the client
            side.
        read_ahead_bytes: Number of unread bytes above which reading pauses.
    """

    def __init__(
        self,
        on_connected: Callable[[TcpConnection], None] | None = None,
        read_ahead_bytes: int = READ_AHEAD_LIMIT_BYTES,
    ) -> None:
        self.on_connected = on_connected
        """Called with the connection once it is open; None on the client side."""
        self.on_disconnect: Callable[[], None] | None = None
        """Called once when the peer closes the connection or the connection breaks;
        None for no call."""
        self.transport: asyncio.Transport | None = None
        """The transport; None before the connection is open."""
        self.at_eof = False
        """Whether the peer sends no more bytes."""
        self.error: Exception | None = None
        """Error that broke the connection, or that this side closed it before the peer
        did; None while it is open and after a normal close by the peer."""
        self.peer = ""
        """IP address and port of the peer; empty before the connection is open."""
        self.read_since_s = 0.0
        """Boot-clock time in seconds at which the first byte of the last read
        arrived."""
        self.read_ahead_bytes = read_ahead_bytes
        """Number of unread bytes above which reading pauses, and that are read at
        once."""
        self._read_buffer = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._drain_waiters: deque[asyncio.Future[None]] = deque()
        self._interruption: type[Exception] | None = None
        self._discard_left: int | None = None
        self._is_reading_paused = False
        self._can_write = True
        self._is_writing_body = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the open transport and set the socket's options."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_socket_options(transport.get_extra_info("socket"))
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else ""
        if self.on_connected is not None:
            self.on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes, which are copied at once."""
        del sizehint
        return _read_buffer.view[: self.read_ahead_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Take the received bytes out of the buffer."""
        self.data_received(_read_buffer.view[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Buffer received bytes until they are read."""
        if self._discard_left is not None:
            self._discard_left -= len(data)
            if self._discard_left <= 0:
                self._wake_reader()
            return
        if not self._read_buffer:
            self.read_since_s = boot_s()
        self._read_buffer += data
        if (
            len(self._read_buffer) > self.read_ahead_bytes
            and self.transport is not None
        ):
            self.transport.pause_reading()
            self._is_reading_paused = True
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record the end of the peer's data; this side stays open for writing."""
        self._on_end(None)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed.

        A close by this side alone ends no message of the peer.
        """
        if exc is None and not self.at_eof:
            exc = ConnectionAbortedError("closed by this side")
        self.resume_writing()
        self._on_end(exc)

    def pause_writing(self) -> None:
        """Make `drain` wait, because the write buffer is full."""
        self._can_write = False

    def resume_writing(self) -> None:
        """Let `drain` return, because the write buffer has emptied."""
        self._can_write = True
        for waiter in self._drain_waiters:
            if not waiter.done():
                waiter.set_result(None)

    @property
    def has_unread(self) -> bool:
        """Whether received bytes have not been read yet."""
        return bool(self._read_buffer)

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open in both directions."""
        transport = self.transport
        return transport is not None and not self.at_eof and not transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the kernel has not accepted yet."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    @property
    def unacknowledged_bytes(self) -> int:
        """Number of written bytes that the peer's kernel has not acknowledged."""
        if self.transport is None or self.transport.is_closing():
            return 0
        sock = self.transport.get_extra_info("socket")
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        return self.unsent_bytes + int(struct.unpack("i", queued)[0])

    async def read(self, limit_bytes: int | None = None) -> bytes:
        """Return received bytes; empty once the peer has closed the connection.

        Args:
            limit_bytes: Maximum number of bytes to return; None for all.

        Raises:
            ConnectionError: The connection broke.
            Exception: That of `interrupt`.
        """
        while not self._read_buffer or self._interruption is not None:
            if self._interruption is not None:
                raise self._interruption
            if self.at_eof:
                if self.error is not None:
                    raise ConnectionResetError(str(self.error))
                return b""
            self._read_waiter = asyncio.get_running_loop().create_future()
            await self._read_waiter
        data = bytes(self._read_buffer[:limit_bytes])
        del self._read_buffer[:limit_bytes]
        if len(self._read_buffer) <= self.read_ahead_bytes:
            self._resume_reading()
        return data

    def interrupt(self, error: type[Exception]) -> None:
        """Let the present or next `read` raise an exception.

        A class, since a stored exception would keep the buffers of the frames that it
        passed.
        """
        self._interruption = error
        self._wake_reader()

    async def discard(self, limit_bytes: int, timeout_s: float) -> None:
        """Drop input until the peer closes, for a bounded time and number of bytes.

        The kernel resets a connection that is closed with unread input, and the peer
        then may not get the last response.

        Args:
            limit_bytes: Number of bytes after which this gives up.
            timeout_s: Time in seconds after which this gives up.
        """
        self._discard_left = limit_bytes - len(self._read_buffer)
        self._read_buffer.clear()
        self._resume_reading()
        try:
            async with asyncio.timeout(timeout_s):
                while not self.at_eof and self._discard_left > 0:
                    self._read_waiter = asyncio.get_running_loop().create_future()
                    await self._read_waiter
        except TimeoutError:
            pass

    def write(self, data: bytes | memoryview) -> None:
        """Send bytes; they are dropped if the connection is closed."""
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer can take more bytes."""
        if self._can_write:
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._drain_waiters.append(waiter)
        try:
            await waiter
        finally:
            self._drain_waiters.remove(waiter)

    async def flush(self) -> None:
        """Wait until the kernel has accepted all written bytes, or it breaks."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.set_write_buffer_limits(high=0)
            await self.drain()

    @property
    def is_closing(self) -> bool:
        """Whether nothing can be written any more."""
        return self.transport is None or self.transport.is_closing()

    async def write_body(self, body: memoryview) -> None:
        """Write a large body as the peer reads it, without a copy of the whole."""
        self._is_writing_body = True
        try:
            for start in range(0, len(body), WRITE_WINDOW_BYTES):
                if self.is_closing:
                    return
                self.write(body[start : start + WRITE_WINDOW_BYTES])
                await self.drain()
        finally:
            self._is_writing_body = False

    async def wait_until_acknowledged(self) -> None:
        """Wait until a peer that sends no more has acknowledged what was written.

        Raises:
            ConnectionError: The peer has reset the connection instead.
        """
        while True:
            self._check_reset()
            if self.error is not None:
                raise ConnectionResetError(str(self.error))
            if not self._is_writing_body and not self.unacknowledged_bytes:
                return
            await asyncio.sleep(SENT_CHECK_INTERVAL_S)

    def set_idle(self, *, is_idle: bool) -> None:
        """Set how long the peer may be silent before the connection is closed."""
        if self.transport is not None and not self.transport.is_closing():
            timeout_ms = IDLE_USER_TIMEOUT_MS if is_idle else USER_TIMEOUT_MS
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def end_writing(self) -> None:
        """Close the connection in this direction once the written bytes are sent."""
        if self.transport is not None and not self.transport.is_closing():
            # The peer may have reset the connection just now.
            with contextlib.suppress(OSError):
                self.transport.write_eof()

    def close(self) -> None:
        """Close the connection once the written bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately and drop unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def _check_reset(self) -> None:
        """Record a reset that asyncio does not notice, since it reads no more."""
        if self.transport is None or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        if number := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.error = OSError(number, "the peer reset the connection")
            self.transport.abort()

    def _on_end(self, error: Exception | None) -> None:
        if error is not None:
            self.error = error
        was_at_eof, self.at_eof = self.at_eof, True
        self._wake_reader()
        if not was_at_eof and self.on_disconnect is not None:
            self.on_disconnect()

    def _resume_reading(self) -> None:
        if self._is_reading_paused and self.transport is not None:
            self._is_reading_paused = False
            self.transport.resume_reading()

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)


def set_socket_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and enable detection of a dead peer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


async def connect(address: str, timeout_s: float) -> TcpConnection:
    """Open a TCP connection.

    Args:
        address: IP address and port.
        timeout_s: Timeout of opening the connection in seconds.

    Raises:
        OSError: The connection could not be opened, or `TimeoutError`.
    """
    ip, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, tcp = await loop.create_connection(TcpConnection, ip, int(port))
    return tcp


def end_to_end_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the headers that are forwarded: those not limited to one connection."""
    connection_headers: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_headers.update(
                part.strip().lower() for part in value.split(b",")
            )
    dropped = HOP_HEADERS | connection_headers
    return [(name, value) for name, value in headers if name.lower() not in dropped]
