"""Closes connections of callers that have stopped reading their responses.

The thread that responds to such a caller blocks. Without a limit, a few callers that
read nothing could occupy all threads of the host.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

from tanagerturn.observe.logs import component_logger

if TYPE_CHECKING:
    from tanagerturn.observe.operations import WsgiServer

log = component_logger("callers")

MAX_READ_IDLE_S: Final = 30.0
"""Longest time in seconds without a read while output is pending."""

CHECK_PERIOD_S: Final = 1.0


def close_idle_readers(server: WsgiServer, now_s: float) -> int:
    """Close connections with pending output that were idle for `MAX_READ_IDLE_S`.

    Args:
        server: Listener for callers.
        now_s: Current wall clock time in seconds, the clock of the server's
            `last_activity`.

    Returns:
        Number of connections closed.
    """
    closed_count = 0
    for channel in list(server.waitress_server.active_channels.values()):
        has_pending_output = channel.total_outbufs_len > 0
        if has_pending_output and now_s - channel.last_activity > MAX_READ_IDLE_S:
            # The server's thread closes the connection, which wakes the blocked
            # thread.
            server.waitress_server.trigger.pull_trigger(channel.handle_close)
            closed_count += 1
    return closed_count


class IdleReaderMonitor:
    """Closes connections of idle readers periodically, in a separate thread.

    Args:
        server: Listener for callers.
    """

    def __init__(self, server: WsgiServer) -> None:
        self.server = server
        """Listener for callers."""
        self.stopping = threading.Event()
        """Set to stop the thread."""
        self.thread = threading.Thread(target=self._run, name="readers", daemon=True)
        """Thread that runs the checks."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the checks."""
        self.stopping.set()
        self.thread.join(timeout=2 * CHECK_PERIOD_S)

    def _run(self) -> None:
        while not self.stopping.wait(CHECK_PERIOD_S):
            closed = close_idle_readers(self.server, time.time())
            if closed:
                log.warning(
                    "Closed {} connections of callers that stopped reading.", closed
                )
