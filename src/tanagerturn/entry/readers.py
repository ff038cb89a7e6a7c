"""Drops callers that have stopped reading their answers.

The thread of such a caller waits for it; without an end to that, some callers
who read nothing could take all threads of the host.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

from tanagerturn.observe.logs import component_logger

if TYPE_CHECKING:
    from tanagerturn.observe.operations import WsgiServer

log = component_logger("callers")

LONGEST_SILENCE_S: Final = 30.0
"""Time in which a caller must have read something of what waits for it."""

LOOK_S: Final = 1.0


def drop_idle_readers(server: WsgiServer, now_s: float) -> int:
    """Close the connections on which nothing was read for too long.

    Args:
        server: Listener of the callers.
        now_s: Present wall clock in seconds, as the server notes activity.

    Returns:
        How many are closed.
    """
    dropped = 0
    for channel in list(server.server.active_channels.values()):
        waits = channel.total_outbufs_len > 0
        if waits and now_s - channel.last_activity > LONGEST_SILENCE_S:
            # The server's own thread closes it; the waiting thread is woken.
            server.server.trigger.pull_trigger(channel.handle_close)
            dropped += 1
    return dropped


class ReaderWatch:
    """Looks for idle readers at a steady pace, in a thread of its own.

    Args:
        server: Listener of the callers.
    """

    def __init__(self, server: WsgiServer) -> None:
        self.server = server
        """Listener of the callers."""
        self.stopping = threading.Event()
        """Set at the end."""
        self.thread = threading.Thread(target=self._run, name="readers", daemon=True)
        """Thread that looks."""
        self.thread.start()

    def stop(self) -> None:
        """End the looks."""
        self.stopping.set()
        self.thread.join(timeout=2 * LOOK_S)

    def _run(self) -> None:
        while not self.stopping.wait(LOOK_S):
            dropped = drop_idle_readers(self.server, time.time())
            if dropped:
                log.warning("Dropped {} callers that read nothing.", dropped)
