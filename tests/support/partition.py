"""Partitions between some gateways of one process and all backend servers."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING, Any, Final

from support.gateway_cluster import RUNNING_HOST

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from tanagerturn.gateway.connection import TcpConnection

USER_TIMEOUT_S: Final = 2.5
"""Time in seconds after which the kernel closes a connection whose bytes are not
acknowledged."""

HANG_S: Final = 60.0
"""Time in seconds for which a connection hangs that can't be opened."""


class Cut(Enum):
    """What a partition does to connections."""

    SILENT = "silent"
    """Open connections carry nothing, and new ones hang."""
    RESET = "reset"
    """Open connections are reset, and new ones refused."""
    REFUSE = "refused"
    """Open connections live on, and new ones are refused."""


class PartitionedNetwork:
    """Connections from gateways to backend servers, which partitions break.

    Args:
        loop: Event loop of the gateways, whose connections are intercepted.
        backend_prefix: Beginning of the IP addresses of all backend servers.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, backend_prefix: str) -> None:
        self.loop = loop
        self.backend_prefix = backend_prefix
        self.cut_hosts: dict[str, Cut] = {}
        """How each partitioned gateway is cut."""
        self.connections: list[tuple[str, TcpConnection]] = []
        """Connections to backend servers, with the host of the gateway."""
        self.original = loop.create_connection
        # The standard library offers no hook for connections, so that the method of
        # this loop is replaced.
        loop.create_connection = self._create_connection  # type: ignore[method-assign]

    async def _create_connection(
        self, factory: Callable[[], Any], ip: str, port: int, **options: Any
    ) -> Any:
        host = RUNNING_HOST.get()
        if not ip.startswith(self.backend_prefix) or not host:
            return await self.original(factory, ip, port, **options)
        cut = self.cut_hosts.get(host)
        if cut is Cut.SILENT:
            await asyncio.sleep(HANG_S)
        if cut is not None:
            raise ConnectionRefusedError(111, f"Connect call failed ('{ip}', {port})")
        transport, tcp = await self.original(factory, ip, port, **options)
        self.connections.append((host, tcp))
        return transport, tcp

    def cut(self, hosts: Collection[str], how: Cut) -> None:
        """Partition gateways from all backend servers."""
        self.cut_hosts.update(dict.fromkeys(hosts, how))
        for host, tcp in self.connections:
            if host not in hosts or not tcp.is_usable:
                continue
            if how is Cut.RESET:
                tcp.transport.abort()
                tcp.connection_lost(ConnectionResetError(104, "Connection reset"))
            elif how is Cut.SILENT:
                self._silence(tcp)

    def heal(self) -> None:
        """End all partitions; silent connections stay silent."""
        self.cut_hosts.clear()

    def _silence(self, tcp: TcpConnection) -> None:
        """Drop what a connection carries, until the kernel would close it."""
        transport = tcp.transport
        transport.pause_reading()
        is_timed = False

        def write(data: bytes) -> None:
            nonlocal is_timed
            if not is_timed:
                is_timed = True
                self.loop.call_later(USER_TIMEOUT_S, break_connection)

        def break_connection() -> None:
            transport.abort()
            tcp.connection_lost(TimeoutError(110, "Connection timed out"))

        transport.write = write
