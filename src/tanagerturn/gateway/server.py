"""HTTP/1.1 server: one task per connection and one handler call per request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.callers.body_reader import READ_AHEAD_BYTES
from tanagerturn.gateway.callers.decoding_turns import DecodingTurns
from tanagerturn.gateway.callers.http_connection import HttpConnection
from tanagerturn.gateway.callers.memory_budget import (
    DEFAULT_MEMORY_BYTES,
    MemoryBudget,
    Purpose,
    budget_bytes,
)
from tanagerturn.gateway.callers.memory_gate import MemoryGate
from tanagerturn.gateway.connection import TcpConnection
from tanagerturn.gateway.logs import component_log

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from tanagerturn.gateway.callers.exchange import Exchange
    from tanagerturn.gateway.configuration import IngressLimits

    Handler = Callable[[Exchange], Coroutine[object, object, None]]

LISTEN_BACKLOG: Final = 512
"""Maximum number of new connections that the kernel queues until they are accepted."""

ACCEPTS_PER_TURN: Final = 16
"""Number of connections that are accepted in one turn of the event loop, before idle
ones are closed for them."""

OVERLOAD_FACTOR: Final = 1.2
"""Number of connections as a multiple of the limit from which on a new one is closed
although no other connection is idle or has half a request."""

log = component_log("server")


class HttpServer:
    """HTTP server on one address.

    Args:
        handler: Responds to one request.
        limits: Returns the limits on requests that are in force.
        memory: Memory budget of the process; None for one of its own.
        purpose: What requests hold memory for.
        max_connections: Number of open connections from which on idle ones are closed
            for new ones; None for no limit.
        turns: Room for decoding in the process; None for room of its own.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], IngressLimits],
        memory: MemoryGate | None = None,
        purpose: Purpose = Purpose.CALLER,
        max_connections: int | None = None,
        turns: DecodingTurns | None = None,
    ) -> None:
        self.handler = handler
        """Responds to one request."""
        self.limits = limits
        """Returns the limits on requests that are in force."""
        self.memory = memory or MemoryGate(
            MemoryBudget(budget_bytes(DEFAULT_MEMORY_BYTES))
        )
        """Memory budget of the process."""
        self.purpose = purpose
        """What requests hold memory for."""
        self.max_connections = max_connections
        """Number of open connections from which on idle ones are closed for new ones;
        None for no limit."""
        self.turns = turns or DecodingTurns()
        """Room for decoding in the process."""
        self.idle_connections: dict[HttpConnection, None] = {}
        """Connections without a request, the one that is idle longest first."""
        self.running_count = 0
        """Number of requests that are being handled."""
        self.is_draining = False
        """Whether each connection is closed after its next response."""
        self.is_closed = False
        """Whether no further request is accepted."""
        self.connections: set[HttpConnection] = set()
        """Open connections."""
        self.tasks: set[asyncio.Task[None]] = set()
        """Tasks of open connections."""
        self.listener: asyncio.Server | None = None
        """Listener for connections; None before `listen`."""

    async def listen(self, address: str) -> None:
        """Accept connections on an address.

        Args:
            address: IP address and port.

        Raises:
            OSError: The address can't be used.
        """
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: TcpConnection(self._on_connected, READ_AHEAD_BYTES),
            ip,
            int(port),
            backlog=ACCEPTS_PER_TURN,
        )
        # asyncio accepts as many connections per turn as its backlog has; only the
        # kernel's queue is made longer.
        for listening in self.listener.sockets:
            with listening.dup() as copy:
                copy.listen(LISTEN_BACKLOG)

    @property
    def is_busy(self) -> bool:
        """Whether a request is handled, or a part of one has arrived."""
        return any(connection.has_request for connection in self.connections)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.is_draining = True

    def close(self) -> None:
        """Stop accepting connections, and close those without a request.

        Each other connection is closed when its response is complete.
        """
        self.is_closed = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if not connection.has_request:
                connection.tcp.close()

    def end_requests(self, retry_after_s: float) -> None:
        """Let all requests get a response at once: their handlers are cancelled.

        Those whose rest has not arrived are refused, since they have not run.

        Args:
            retry_after_s: Time in seconds after which refused callers may retry.
        """
        for connection in list(self.connections):
            if connection.handler_task is not None:
                connection.handler_task.cancel()
            elif connection.is_receiving:
                connection.refuse_incomplete(retry_after_s)

    def on_closed(self, connection: HttpConnection) -> None:
        """Forget a connection that was closed."""
        self.connections.discard(connection)
        self.idle_connections.pop(connection, None)

    def _on_connected(self, tcp: TcpConnection) -> None:
        connection = HttpConnection(tcp, self)
        limit = self.max_connections
        if limit is not None and len(self.connections) >= limit:
            self._close_idle(connection, limit)
        self.connections.add(connection)
        self.idle_connections[connection] = None
        task = asyncio.create_task(connection.run())
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _close_idle(self, new: HttpConnection, limit: int) -> None:
        """Close the connection that is idle longest, for the descriptor of a new one.

        If none is idle, the one whose request has been arriving for longest; if all
        have requests, the new one once there are far too many.
        """
        oldest = next(iter(self.idle_connections), None)
        if oldest is None:
            arriving = [c for c in self.connections if c.is_receiving]
            oldest = min(arriving, key=lambda c: c.receiving_since_s, default=None)
        if oldest is None:
            if len(self.connections) < OVERLOAD_FACTOR * limit:
                return
            oldest = new
        self.memory.refusals.add(
            f"descriptors_{self.purpose.name.lower()}",
            boot_s(),
            connections=len(self.connections),
        )
        self.on_closed(oldest)
        oldest.tcp.abort()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("handler_failed", reason=repr(task.exception()))
