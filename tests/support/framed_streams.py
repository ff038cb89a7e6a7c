"""Streams of stand-in engines whose responses are delimited in each way of HTTP/1.1."""

from __future__ import annotations

from typing import TYPE_CHECKING

from support.gateway_world import STAMP
from tanagerturn.serving.streams.endings import Framing

if TYPE_CHECKING:
    from support.gateway_world import ReceivedRequest


class FramedStream:
    """Response to one request as a stream of events.

    Args:
        call: The request.
        framing: How the end of the response is marked.
        length_bytes: Size of the whole body in bytes; only used with a length.
    """

    def __init__(
        self, call: ReceivedRequest, framing: Framing, length_bytes: int = 0
    ) -> None:
        self.call = call
        """The request."""
        self.framing = framing
        """How the end of the response is marked."""
        self.length_bytes = length_bytes
        """Size of the whole body in bytes; only used with a length."""

    async def begin(self) -> None:
        """Send the head."""
        delimiters = {
            Framing.LENGTH: f"Content-Length: {self.length_bytes}\r\n",
            Framing.CHUNKED: "Transfer-Encoding: chunked\r\n",
            Framing.CLOSE: "",
        }
        await self.call.send(
            "HTTP/1.1 200 OK\r\n"
            f"X-Request-Id: {self.call.headers['x-request-id']}\r\n{STAMP}\r\n"
            f"Content-Type: text/event-stream\r\n{delimiters[self.framing]}\r\n"
        )

    async def event(self, number: int, text: str, *, cut: bool = False) -> None:
        """Send one event, or only its first half if `cut`."""
        data = event_text(number, text)
        data = data[: len(data) // 2] if cut else data
        if self.framing is Framing.CHUNKED:
            data = f"{len(data):x}\r\n{data}\r\n"
        await self.call.send(data)

    async def end(self) -> None:
        """Send the end of the complete response."""
        if self.framing is Framing.CHUNKED:
            await self.call.send("0\r\n\r\n")
        if self.framing is Framing.CLOSE:
            self.close()

    def close(self) -> None:
        """Close the connection in order; without a length or chunks it is the end.

        Only the sending side is closed, since a close with unread data sends a reset.
        """
        if not self.call.writer.is_closing():
            self.call.writer.write_eof()


def event_text(number: int, text: str) -> str:
    """Return the bytes of one event."""
    return f"id: {number}\ndata: {text}{number}\n\n"
