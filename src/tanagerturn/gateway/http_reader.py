"""Parses HTTP messages without holding the event loop, whatever the peer sends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import h11

if TYPE_CHECKING:
    from tanagerturn.gateway.connection import TcpConnection

PIECE_BYTES: Final = 2048
"""Number of bytes that are parsed in one turn of the event loop. The smallest chunk has
6 bytes; parsing and forwarding it takes up to 0.07 ms."""


MAX_STATUS: Final = 599
"""Largest HTTP status (RFC 9110, section 15); h11 rejects only those below 100."""

MIN_PART_BYTES: Final = 256
"""Size in bytes as which a smaller part of a body counts against limits, since parsing
it takes as long."""


class HttpReader:
    """Reads events of HTTP messages from a connection.

    Args:
        tcp: Connection that carries the messages.
        http: HTTP protocol state.
    """

    def __init__(self, tcp: TcpConnection, http: h11.Connection) -> None:
        self.tcp = tcp
        """Connection that carries the messages."""
        self.http = http
        """HTTP protocol state."""

    async def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event.

        Raises:
            ConnectionError: The connection broke.
            h11.RemoteProtocolError: The peer violated the protocol.
        """
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Response) and event.status_code > MAX_STATUS:
                raise h11.RemoteProtocolError(f"{event.status_code} is no HTTP status")
            if event is not h11.NEED_DATA:
                return event
            await self.receive()

    async def receive(self) -> int:
        """Pass the next bytes of the connection to the parser; return their number.

        Raises:
            ConnectionError: The connection broke.
            h11.RemoteProtocolError: The peer violated the protocol.
        """
        if self.tcp.has_unread:
            # Other tasks run between two pieces.
            await asyncio.sleep(0)
        data = await self.tcp.read(PIECE_BYTES)
        if not data and self._may_end_body():
            # A peer that ends with a part of the request unread resets the connection.
            await self.tcp.wait_until_acknowledged()
        self.http.receive_data(data)
        return len(data)

    def _may_end_body(self) -> bool:
        """Return whether the end of the connection may be that of a response."""
        is_client = self.http.our_role is h11.CLIENT
        return is_client and self.http.their_state is h11.SEND_BODY
