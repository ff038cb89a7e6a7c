"""A loopback proxy that can delay, drop or reset what it forwards."""

from __future__ import annotations

import asyncio
import math
import socket
import struct
import time
from contextlib import contextmanager
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class ProxyFault(Enum):
    """Fault that a proxy applies to its connections."""

    NONE = "passes everything on"
    DELAYED = "passes everything on late"
    CUT_TO_SERVER = "bytes to the server vanish"
    CUT_TO_CLIENT = "bytes to the client vanish"
    SILENT = "bytes vanish both ways"


DELAY_S = 0.15
"""Delay of each chunk in seconds; above the latency objective of plain routes."""

READ_BYTES = 65_536


class Proxy:
    """Forwards connections to one server.

    Args:
        listen: IP address and port to listen on; port 0 selects a free one.
        target: IP address and port of the server.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        """IP address and port on which the proxy listens."""
        self.target = target
        """IP address and port of the server."""
        self.fault = ProxyFault.NONE
        """Fault that is applied now."""
        self.disturbances = 0
        """Number of faults of the server, or of connections to it, in progress."""
        self.disturbance_count = 0
        """Number of such faults until now."""
        self.disturbed_s: list[tuple[float, float]] = []
        """Monotonic time in seconds of the begin and end of each such fault; the end of
        one in progress is infinite."""
        self.is_earlier_build = False
        """Whether the server runs an earlier build."""
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        ip, _, port = self.listen.rpartition(":")
        self.listener = await asyncio.start_server(self._serve, ip, int(port))
        self.listen = f"{ip}:{self.listener.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset all connections."""
        with self.disturbed():
            reset_connections(self.writers)

    def close_connections(self) -> None:
        """Close all connections in order, also within a message."""
        with self.disturbed():
            for writer in self.writers:
                writer.transport.abort()

    @contextmanager
    def disturbed(self) -> Iterator[None]:
        """Count a fault of the server, or of connections to it, while it lasts."""
        self.disturbances += 1
        self.disturbance_count += 1
        index, begin_s = len(self.disturbed_s), time.monotonic()
        self.disturbed_s.append((begin_s, math.inf))
        try:
            yield
        finally:
            self.disturbances -= 1
            self.disturbed_s[index] = (begin_s, time.monotonic())

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.listener is not None:
            self.listener.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, _, port = self.target.rpartition(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            # The server is down: reset the client's connection.
            reset_connections({writer})
            return
        pair = {writer, server_writer}
        self.writers |= pair
        try:
            are_intact = await asyncio.gather(
                self._forward(reader, server_writer, ProxyFault.CUT_TO_SERVER, pair),
                self._forward(server_reader, writer, ProxyFault.CUT_TO_CLIENT, pair),
            )
            if all(are_intact):
                # The bytes on their way are delivered before the end.
                server_writer.close()
                writer.close()
            else:
                reset_connections(pair)
        except asyncio.CancelledError:
            # The run has ended.
            reset_connections(pair)
        finally:
            self.writers -= pair

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drop_fault: ProxyFault,
        pair: set[asyncio.StreamWriter],
    ) -> bool:
        """Forward one direction until its end; return whether all was forwarded."""
        is_intact = True
        try:
            while data := await reader.read(READ_BYTES):
                if self.fault is ProxyFault.DELAYED:
                    await asyncio.sleep(DELAY_S)
                # Bytes after dropped ones are dropped, too: TCP never skips bytes.
                is_intact = is_intact and self.fault not in (
                    drop_fault,
                    ProxyFault.SILENT,
                )
                if is_intact:
                    writer.write(data)
                    await writer.drain()
            is_intact = is_intact and self.fault is not ProxyFault.SILENT
            if is_intact:
                writer.write_eof()
        except OSError:
            # An error of one connection resets both.
            reset_connections(pair)
            return False
        return is_intact


def reset_connections(writers: set[asyncio.StreamWriter]) -> None:
    """Reset connections, so that no peer takes the end for that of a message."""
    for writer in writers:
        sock = writer.transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
