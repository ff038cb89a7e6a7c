"""Holds requests back while datagrams of peers wait unread.

A gateway that was suspended, or whose event loop was overloaded, knows what was true
before then. What its peers have stated since, such as departures of backend servers, is
in the receive buffer of its socket.
"""

from __future__ import annotations

import asyncio
from typing import Final

UNREAD_S: Final = 0.25
"""Time in seconds since the socket was last found empty from which requests wait; an
idle gateway polls it every 25 ms."""

MAX_WAIT_S: Final = 0.3
"""Maximum time in seconds for which a request waits; a gateway that can't keep up with
its peers still serves."""


class Backlog:
    """Datagrams of peers that have arrived and are not applied."""

    def __init__(self) -> None:
        self.empty_s: float | None = None
        """Boot-clock time in seconds at which the socket was last found empty, or a
        request last waited too long; None before the first time."""
        self.waiters: list[asyncio.Future[None]] = []
        """Requests that wait until the socket is empty."""

    def on_polled(self, now_s: float, *, is_empty: bool) -> None:
        """Record that the socket was polled, and release requests if it is empty.

        Args:
            now_s: Current boot-clock time in seconds.
            is_empty: Whether all datagrams that had arrived were read.
        """
        if not is_empty:
            return
        self.empty_s = now_s
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def is_unread(self, now_s: float) -> bool:
        """Return whether datagrams may have waited for more than `UNREAD_S`.

        Args:
            now_s: Current boot-clock time in seconds.
        """
        return self.empty_s is not None and now_s - self.empty_s > UNREAD_S

    async def wait_until_read(self, now_s: float) -> None:
        """Wait until the datagrams that have arrived are applied, if they are late.

        Args:
            now_s: Current boot-clock time in seconds.
        """
        if not self.is_unread(now_s):
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await waiter
        except TimeoutError:
            # The gateway can't keep up, so that waiting longer would not help either.
            self.on_polled(now_s + MAX_WAIT_S, is_empty=True)
