"""Connections to backend servers, kept open between requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.connection import TcpConnection, connect

if TYPE_CHECKING:
    from tanagerturn.serving.backends.messages import BackendId

CONNECT_TIMEOUT_S: Final = 0.5
"""Timeout of opening a connection; a lost SYN is sent again only after a second, and
another backend server responds sooner."""

DEFAULT_MAX_IDLE_S: Final = 4.0
"""Longest idle time of a reused connection if the backend server announced none."""

IDLE_MARGIN_S: Final = 1.0
"""Time before the announced idle timeout from which a connection is not reused."""

MAX_IDLE_FRACTION: Final = 0.7
"""Largest fraction of the announced idle timeout within which a connection is
reused."""

MAX_IDLE_CONNECTIONS: Final = 8
"""Maximum number of idle connections to one backend server."""


@dataclass
class BackendConnection:
    """One open connection to a backend server."""

    backend_id: BackendId
    """Backend server that the connection was opened to."""
    address: str
    """Its IP address and port."""
    tcp: TcpConnection
    """The TCP connection."""
    idle_until_s: float = 0.0
    """Boot clock time until which the idle connection may be reused."""

    def close(self) -> None:
        """Close the connection; a backend server then cancels its request."""
        self.tcp.abort()


class ConnectionPool:
    """Idle connections by backend server."""

    def __init__(self) -> None:
        self.idle: dict[BackendId, list[BackendConnection]] = {}
        """Idle connections, the most recently used last."""
        self.opened = 0
        """Number of connections opened since the start."""

    async def acquire(
        self, backend_id: BackendId, address: str, timeout_s: float, now_s: float
    ) -> BackendConnection:
        """Return an idle connection, or open a new one.

        Raises:
            OSError: The connection could not be opened, or `TimeoutError`.
        """
        idle_connections = self.idle.get(backend_id, [])
        while idle_connections:
            connection = idle_connections.pop()
            if connection.address == address and _is_reusable(connection, now_s):
                return connection
            connection.close()
        self.opened += 1
        tcp = await connect(address, min(timeout_s, CONNECT_TIMEOUT_S))
        return BackendConnection(backend_id, address, tcp)

    def release(
        self, connection: BackendConnection, keep_alive_s: float | None, now_s: float
    ) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        idle_connections = self.idle.setdefault(connection.backend_id, [])
        if (
            len(idle_connections) >= MAX_IDLE_CONNECTIONS
            or not connection.tcp.is_usable
        ):
            connection.close()
            return
        connection.idle_until_s = now_s + max_idle_s(keep_alive_s)
        idle_connections.append(connection)

    def expire(self, known: set[BackendId], now_s: float) -> None:
        """Close connections that can't be reused, or to unknown backend servers."""
        for backend_id, idle_connections in list(self.idle.items()):
            reusable = [
                c
                for c in idle_connections
                if backend_id in known and _is_reusable(c, now_s)
            ]
            for connection in idle_connections:
                if connection not in reusable:
                    connection.close()
            if reusable:
                self.idle[backend_id] = reusable
            else:
                del self.idle[backend_id]

    def drop(self, backend_id: BackendId) -> None:
        """Close the idle connections to a backend server that failed."""
        for connection in self.idle.pop(backend_id, []):
            connection.close()


def max_idle_s(keep_alive_s: float | None) -> float:
    """Return how long an idle connection may be reused.

    Args:
        keep_alive_s: Idle timeout that the backend server announced; None if it
            announced none.
    """
    if keep_alive_s is None:
        return DEFAULT_MAX_IDLE_S
    return max(0.0, min(keep_alive_s - IDLE_MARGIN_S, keep_alive_s * MAX_IDLE_FRACTION))


def _is_reusable(connection: BackendConnection, now_s: float) -> bool:
    tcp = connection.tcp
    return tcp.is_usable and not tcp.has_unread and now_s < connection.idle_until_s
