"""Connections to backend servers, kept open between requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.http1 import Wire, connect

if TYPE_CHECKING:
    from tanagerturn.serving.backends.messages import BackendId

CONNECT_TIMEOUT_S: Final = 0.5
"""Longest time to open a connection; a lost opening packet is sent again only
after a second, and another backend server answers sooner."""

IDLE_DEFAULT_S: Final = 4.0
"""Time that an idle connection is trusted when the backend server told none."""

IDLE_MARGIN_S: Final = 1.0
"""Connections are dropped this long before the backend server closes them."""

IDLE_MARGIN_SHARE: Final = 0.7
"""Part of the told time that a connection is trusted at most."""

KEPT_MOST: Final = 8
"""Idle connections kept to one backend server."""


@dataclass
class BackendConnection:
    """One open connection to a backend server."""

    backend_id: BackendId
    """Backend server that it was opened to."""
    address: str
    """Its IP number and port."""
    wire: Wire
    """The connection."""
    idle_until_s: float = 0.0
    """Time until which it may be used again."""

    def close(self) -> None:
        """Close it; a backend server then drops what it runs for it."""
        self.wire.abort()


class ConnectionPool:
    """Idle connections by backend server."""

    def __init__(self) -> None:
        self.idle: dict[BackendId, list[BackendConnection]] = {}
        """Idle connections, the last used at the end."""
        self.opened = 0
        """Connections opened since the start."""

    async def take(
        self, backend_id: BackendId, address: str, timeout_s: float, now_s: float
    ) -> BackendConnection:
        """Return an idle connection, or open one.

        Raises:
            OSError: It could not be opened, `TimeoutError` included.
        """
        kept = self.idle.get(backend_id, [])
        while kept:
            connection = kept.pop()
            if connection.address == address and _is_fit(connection, now_s):
                return connection
            connection.close()
        self.opened += 1
        wire = await connect(address, min(timeout_s, CONNECT_TIMEOUT_S))
        return BackendConnection(backend_id, address, wire)

    def give_back(
        self, connection: BackendConnection, keep_alive_s: float | None, now_s: float
    ) -> None:
        """Keep a connection for another request."""
        kept = self.idle.setdefault(connection.backend_id, [])
        if len(kept) >= KEPT_MOST or not connection.wire.is_usable:
            connection.close()
            return
        connection.idle_until_s = now_s + trusted_idle_s(keep_alive_s)
        kept.append(connection)

    def expire(self, known: set[BackendId], now_s: float) -> None:
        """Close connections that may not be used again."""
        for backend_id, kept in list(self.idle.items()):
            fit = [c for c in kept if backend_id in known and _is_fit(c, now_s)]
            for connection in kept:
                if connection not in fit:
                    connection.close()
            if fit:
                self.idle[backend_id] = fit
            else:
                del self.idle[backend_id]

    def drop(self, backend_id: BackendId) -> None:
        """Close the idle connections to a backend server that failed."""
        for connection in self.idle.pop(backend_id, []):
            connection.close()


def trusted_idle_s(keep_alive_s: float | None) -> float:
    """Return how long an idle connection may be used again.

    Args:
        keep_alive_s: Time after which the backend server closes it, if told.
    """
    if keep_alive_s is None:
        return IDLE_DEFAULT_S
    return max(0.0, min(keep_alive_s - IDLE_MARGIN_S, keep_alive_s * IDLE_MARGIN_SHARE))


def _is_fit(connection: BackendConnection, now_s: float) -> bool:
    wire = connection.wire
    return wire.is_usable and not wire.has_unread and now_s < connection.idle_until_s
