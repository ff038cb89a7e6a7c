"""Ends of responses that neither a length nor chunks delimit."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.connection import SENT_CHECK_INTERVAL_S

if TYPE_CHECKING:
    from tanagerturn.gateway.connection import TcpConnection

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of SO_LINGER (on, 0 s) with which a close resets the connection."""

ORDERLY_CLOSE: Final = struct.pack("ii", 0, 0)

SEND_TIME_S: Final = 0.25
"""Longest time in seconds for the written bytes of an incomplete response to be
acknowledged: a reset drops all others, and some round trips suffice."""


class ResponseEnd:
    """The end of a response that the close of its connection marks as complete.

    Callers of HTTP/1.0 get such responses. From its head to its end, the kernel resets
    the connection whenever it is closed: also if the process ends or is killed.

    Args:
        tcp: Connection that carries the response.
    """

    def __init__(self, tcp: TcpConnection) -> None:
        self.tcp = tcp
        """Connection that carries the response."""
        self.is_incomplete = False
        """Whether such a response has begun, and its end is not yet sent."""

    def begin(self) -> None:
        """Let a close reset the connection; called before the head is sent."""
        self.is_incomplete = True
        self._set_linger(RESET_ON_CLOSE)

    async def complete(self) -> None:
        """Let a close end the response, once the kernel has all its bytes."""
        await self.tcp.flush()
        self._set_linger(ORDERLY_CLOSE)
        self.is_incomplete = False

    async def break_off(self) -> None:
        """Reset the connection if its response is incomplete.

        The caller keeps what it acknowledges within `SEND_TIME_S`; a task that is
        cancelled does not wait for that.
        """
        if not self.is_incomplete:
            return
        task = asyncio.current_task()
        assert task is not None
        end_s = boot_s() + SEND_TIME_S
        while self.tcp.unacknowledged_bytes and boot_s() < end_s:
            if task.cancelling():
                break
            await asyncio.sleep(SENT_CHECK_INTERVAL_S)
        self.tcp.abort()

    def _set_linger(self, value: bytes) -> None:
        if not self.tcp.is_closing:
            assert self.tcp.transport is not None
            sock = self.tcp.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
