"""A loopback proxy that delays, cuts, silences or resets what passes it."""

from __future__ import annotations

import asyncio
from enum import Enum


class ProxyFault(Enum):
    """What a proxy does to the connections that pass it."""

    NONE = "passes everything on"
    DELAYED = "passes everything on late"
    CUT_TO_SERVER = "bytes to the server vanish"
    CUT_TO_CLIENT = "bytes to the client vanish"
    SILENT = "bytes vanish both ways"


DELAY_S = 0.15
"""Delay of each piece; above the objective of plain routes."""

PIECE_BYTES = 65_536


class Proxy:
    """Passes connections on to one server.

    Args:
        listen: IP number and port to listen at; port 0 takes a free one.
        target: IP number and port of the server.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        """IP number and port where clients connect."""
        self.target = target
        """IP number and port of the server."""
        self.fault = ProxyFault.NONE
        """What it does now."""
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        ip, _, port = self.listen.rpartition(":")
        self.listener = await asyncio.start_server(self._serve, ip, int(port))
        self.listen = f"{ip}:{self.listener.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset all connections."""
        abort(self.writers)

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
            # The server does not run; its client sees a reset.
            writer.transport.abort()
            return
        both = {writer, server_writer}
        self.writers |= both
        try:
            await asyncio.gather(
                self._pass(reader, server_writer, ProxyFault.CUT_TO_SERVER, both),
                self._pass(server_reader, writer, ProxyFault.CUT_TO_CLIENT, both),
            )
        except asyncio.CancelledError:
            # The run is over.
            return
        finally:
            self.writers -= both
            abort(both)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: ProxyFault,
        both: set[asyncio.StreamWriter],
    ) -> None:
        """Pass one direction on until it ends; what is cut stays lost."""
        is_whole = True
        try:
            while piece := await reader.read(PIECE_BYTES):
                if self.fault is ProxyFault.DELAYED:
                    await asyncio.sleep(DELAY_S)
                # TCP has no holes: what follows lost bytes is lost, too.
                is_whole = is_whole and self.fault not in (cut, ProxyFault.SILENT)
                if is_whole:
                    writer.write(piece)
                    await writer.drain()
            if is_whole and self.fault is not ProxyFault.SILENT:
                writer.write_eof()
        except OSError:
            # A connection that breaks on one side breaks on the other.
            abort(both)


def abort(writers: set[asyncio.StreamWriter]) -> None:
    """Reset connections."""
    for writer in writers:
        writer.transport.abort()
