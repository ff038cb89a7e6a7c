"""UDP sockets between gateways."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING, Final, cast

from tanagerturn.gateway.logs import component_log

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_DATAGRAM_BYTES: Final = 65_535
"""Maximum size of a received datagram in bytes."""

MAX_RECEIVED_AT_ONCE: Final = 64
"""Maximum number of datagrams that are read at once; handling one takes up to 0.3 ms,
and callers wait meanwhile."""

MAX_UNSENT: Final = 1_000
"""Maximum number of datagrams that wait for space in the socket's buffer."""

log = component_log("mesh")


class UdpEndpoint(asyncio.DatagramProtocol):
    """A UDP socket that passes each datagram to a callback as soon as it arrives.

    Args:
        on_datagram: Called with each datagram and its sender, as `ip:port`.
    """

    def __init__(self, on_datagram: Callable[[bytes, str], None]) -> None:
        self.on_datagram = on_datagram
        """Called with each datagram and its sender, as `ip:port`."""
        self.transport: asyncio.DatagramTransport | None = None
        """The open socket; None before it is open."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the open socket."""
        # The event loop's transport class does not inherit from the interface.
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a received datagram to the callback."""
        self.on_datagram(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Log that a host rejected an earlier datagram."""
        log.debug("datagram_refused", reason=str(exc))

    def send(self, data: bytes, ip: str, port: int) -> None:
        """Send one datagram; it is dropped if the socket is not open."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, (ip, port))

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()


class PolledUdpSocket:
    """A UDP socket whose datagrams are read together when `poll` is called.

    With a hundred datagrams per second, waking the event loop for each of them costs
    about as much processor time as handling it.

    Args:
        on_datagram: Called with each datagram and its sender, as `ip:port`.
    """

    def __init__(self, on_datagram: Callable[[bytes, str], None]) -> None:
        self.on_datagram = on_datagram
        """Called with each datagram and its sender, as `ip:port`."""
        self.socket: socket.socket | None = None
        """The open socket; None before `listen` and after `close`."""
        self.unsent: deque[tuple[bytes, tuple[str, int]]] = deque(maxlen=MAX_UNSENT)
        """Datagrams for which the socket's buffer had no space, with their
        recipients; the oldest are dropped first."""

    def listen(self, ip: str, port: int) -> None:
        """Open the socket.

        Raises:
            OSError: The port can't be used.
        """
        family = socket.AF_INET6 if ":" in ip else socket.AF_INET
        opened = socket.socket(family, socket.SOCK_DGRAM)
        try:
            opened.setblocking(False)
            opened.bind((ip, port))
        except OSError:
            opened.close()
            raise
        self.socket = opened

    def poll(self) -> bool:
        """Send what is unsent, and pass the received datagrams to the callback.

        Returns:
            Whether all datagrams that have arrived were read.
        """
        if self.socket is None:
            return True
        while self.unsent and self._try_send(*self.unsent[0]):
            self.unsent.popleft()
        for _ in range(MAX_RECEIVED_AT_ONCE):
            try:
                data, sender = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return True
            except OSError as error:
                # A host rejected an earlier datagram.
                log.debug("datagram_refused", reason=str(error))
                continue
            self.on_datagram(data, f"{sender[0]}:{sender[1]}")
        return False

    def send(self, data: bytes, ip: str, port: int) -> None:
        """Send one datagram; it is dropped if the socket is not open."""
        if self.socket is None:
            return
        if self.unsent or not self._try_send(data, (ip, port)):
            self.unsent.append((data, (ip, port)))

    def close(self) -> None:
        """Close the socket."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def _try_send(self, data: bytes, recipient: tuple[str, int]) -> bool:
        """Send a datagram; return False if the socket's buffer has no space for it."""
        assert self.socket is not None
        try:
            self.socket.sendto(data, recipient)
        except BlockingIOError:
            return False
        except OSError as error:
            log.debug("datagram_refused", reason=str(error))
        return True
