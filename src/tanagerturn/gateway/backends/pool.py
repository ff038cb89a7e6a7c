"""Connections to backend servers, kept open between requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.connection import TcpConnection, connect

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.serving.backends.messages import BackendId

CONNECT_TIMEOUT_S: Final = 0.5
"""Timeout of opening a connection in seconds; a lost SYN is sent again only after a
second, and another backend server responds sooner."""

DEFAULT_MAX_IDLE_S: Final = 4.0
"""Longest idle time in seconds of a reused connection if the backend server announced
no idle timeout."""

IDLE_MARGIN_S: Final = 1.0
"""Time in seconds before the announced idle timeout from which a connection is not
reused."""

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
    """IP address and port of the backend server."""
    tcp: TcpConnection
    """The TCP connection."""
    idle_until_s: float = 0.0
    """Boot-clock time in seconds until which the idle connection may be reused."""
    echoes_ids: bool = False
    """Whether a response on this connection stated the id of its request."""
    has_stray_responses: bool = False
    """Whether a response to another request than the pending one was received."""
    answered_s: float = 0.0
    """Boot-clock time in seconds at which the process at the other end first answered;
    0 before that, even if the kernel has accepted the connection for it."""

    @property
    def is_new(self) -> bool:
        """Whether the connection has never been idle."""
        return not self.idle_until_s

    def close(self) -> None:
        """Close the connection; the backend server then cancels the request on it."""
        self.tcp.abort()


class ConnectionPool:
    """Idle connections by backend server."""

    def __init__(self) -> None:
        self.on_idle_broken: Callable[[BackendId], None] = lambda _: None
        """Called with the backend server of an idle connection that an error broke."""
        self.idle_connections: dict[BackendId, list[BackendConnection]] = {}
        """Idle connections by backend server id, the most recently used last."""
        self.opened_count = 0
        """Number of connections opened since the start."""

    async def acquire(
        self,
        backend_id: BackendId,
        address: str,
        timeout_s: float,
        now_s: float,
        *,
        prefers_new: bool = False,
    ) -> BackendConnection:
        """Return an idle connection, or open a new one.

        Args:
            backend_id: Backend server.
            address: IP address and port of the backend server.
            timeout_s: Maximum time for opening a connection in seconds.
            now_s: Current boot-clock time in seconds.
            prefers_new: Whether an idle connection is taken only if a new one can't be
                opened, as for a response that will close its connection.

        Raises:
            OSError: The connection could not be opened, or `TimeoutError`.
        """
        if prefers_new:
            try:
                return await self.open(backend_id, address, timeout_s)
            except OSError:
                if not self.has_idle(backend_id, now_s):
                    raise
        idle_connections = self.idle_connections.get(backend_id, [])
        while idle_connections:
            connection = idle_connections.pop()
            if connection.address == address and _is_reusable(connection, now_s):
                connection.tcp.set_idle(is_idle=False)
                return connection
            connection.close()
        return await self.open(backend_id, address, timeout_s)

    def take_answered(
        self, backend_id: BackendId, address: str, before_s: float, now_s: float
    ) -> BackendConnection | None:
        """Take an idle connection whose process has answered; None if there is none.

        Args:
            backend_id: Backend server.
            address: IP address and port of the backend server.
            before_s: Boot-clock time in seconds by which it had answered.
            now_s: Current boot-clock time in seconds.
        """
        idle_connections = self.idle_connections.get(backend_id, [])
        for connection in reversed(idle_connections):
            has_answered = 0 < connection.answered_s <= before_s
            is_suitable = has_answered and connection.address == address
            if is_suitable and _is_reusable(connection, now_s):
                idle_connections.remove(connection)
                return connection
        return None

    async def open(
        self, backend_id: BackendId, address: str, timeout_s: float
    ) -> BackendConnection:
        """Open a new connection.

        Args:
            backend_id: Backend server.
            address: IP address and port of the backend server.
            timeout_s: Maximum time for opening the connection in seconds.

        Raises:
            OSError: The connection could not be opened, or `TimeoutError`.
        """
        self.opened_count += 1
        tcp = await connect(address, min(timeout_s, CONNECT_TIMEOUT_S))
        return BackendConnection(backend_id, address, tcp)

    def release(
        self, connection: BackendConnection, keep_alive_s: float | None, now_s: float
    ) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        Args:
            connection: Connection on which a response is complete.
            keep_alive_s: Idle timeout in seconds that the backend server announced;
                None if it announced none.
            now_s: Current boot-clock time in seconds.
        """
        connection.idle_until_s = now_s + max_idle_s(keep_alive_s)
        self.put_back(connection)

    def put_back(self, connection: BackendConnection) -> None:
        """Return a connection to the pool until its idle time ends.

        It is closed if it can't be reused.
        """
        idle_connections = self.idle_connections.setdefault(connection.backend_id, [])
        if (
            len(idle_connections) >= MAX_IDLE_CONNECTIONS
            or not connection.tcp.is_usable
        ):
            connection.close()
            return
        connection.tcp.set_idle(is_idle=True)
        idle_connections.append(connection)
        connection.tcp.on_disconnect = lambda: self._on_disconnect(connection)

    def has_idle(self, backend_id: BackendId, now_s: float) -> bool:
        """Return whether an idle connection to a backend server may be reused."""
        idle_connections = self.idle_connections.get(backend_id, ())
        return any(_is_reusable(c, now_s) for c in idle_connections)

    def expire(self, known_backend_ids: set[BackendId], now_s: float) -> None:
        """Close connections that can't be reused, or to unknown backend servers."""
        for backend_id, idle_connections in list(self.idle_connections.items()):
            reusable = [
                c
                for c in idle_connections
                if backend_id in known_backend_ids and _is_reusable(c, now_s)
            ]
            for connection in idle_connections:
                if connection not in reusable:
                    connection.close()
            if reusable:
                self.idle_connections[backend_id] = reusable
            else:
                del self.idle_connections[backend_id]

    def drop_all(self) -> None:
        """Close all idle connections."""
        for backend_id in list(self.idle_connections):
            self.drop(backend_id)

    def drop(self, backend_id: BackendId) -> None:
        """Close the idle connections to a backend server that failed."""
        for connection in self.idle_connections.pop(backend_id, []):
            connection.close()

    def _on_disconnect(self, connection: BackendConnection) -> None:
        is_idle = connection in self.idle_connections.get(connection.backend_id, ())
        if is_idle and connection.tcp.error is not None:
            self.on_idle_broken(connection.backend_id)


def max_idle_s(keep_alive_s: float | None) -> float:
    """Return the time in seconds for which an idle connection may be reused.

    Args:
        keep_alive_s: Idle timeout in seconds that the backend server announced; None if
            it announced none.
    """
    if keep_alive_s is None:
        return DEFAULT_MAX_IDLE_S
    return max(0.0, min(keep_alive_s - IDLE_MARGIN_S, keep_alive_s * MAX_IDLE_FRACTION))


def _is_reusable(connection: BackendConnection, now_s: float) -> bool:
    tcp = connection.tcp
    return tcp.is_usable and not tcp.has_unread and now_s < connection.idle_until_s
