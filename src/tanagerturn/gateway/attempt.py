"""One sending of a request to a backend server, and how it ended."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from tanagerturn.gateway.http1 import end_to_end

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tanagerturn.gateway.dialect import Dialect
    from tanagerturn.gateway.messages import BackendReply, RawHeaders
    from tanagerturn.gateway.pool import BackendConnection


class AnswerBroken(Exception):
    """A backend server's answer did not come or is not whole.

    Args:
        reason: What was seen.
    """


@dataclass(frozen=True)
class AnswerHead:
    """Begin of a backend server's answer."""

    reply: BackendReply
    """What it tells."""
    headers: RawHeaders
    """Headers that concern the caller."""


class BackendExchange:
    """A request on a connection to a backend server, and its answer.

    Args:
        connection: Connection to send it on.
        dialect: Decodes the answer's head.
        attempt_id: Id that the answer has to echo.
    """

    def __init__(
        self, connection: BackendConnection, dialect: Dialect, attempt_id: str
    ) -> None:
        self.connection = connection
        """Connection that carries it."""
        self.dialect = dialect
        """Decodes the answer's head."""
        self.attempt_id = attempt_id
        """Id that the answer has to echo."""
        self.http = h11.Connection(h11.CLIENT)
        """State of the protocol."""
        self.request: h11.Request | None = None
        """Head that was sent."""
        self.is_complete = False
        """The whole answer came."""
        self.keep_alive_s: float | None = None
        """Time after which the backend server closes the idle connection."""
        self.closes = False
        """The backend server closes the connection after its answer."""

    def send(self, method: str, target: str, headers: RawHeaders, body: bytes) -> None:
        """Send the whole request."""
        if body or method not in ("GET", "HEAD", "DELETE"):
            headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        self.request = h11.Request(
            method=method.encode(), target=target.encode("latin-1"), headers=headers
        )
        wire = self.connection.wire
        head = self.http.send(self.request) or b""
        data = self.http.send(h11.Data(data=body)) or b"" if body else b""
        self.http.send(h11.EndOfMessage())
        wire.write(head + data)

    async def head(self) -> AnswerHead:
        """Wait for the begin of the answer.

        An answer to an earlier request on this connection is passed over: it
        came late, or twice.

        Raises:
            AnswerBroken: No answer came, or bytes that are none.
        """
        while True:
            event = await self._event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise AnswerBroken("no answer before the connection ended")
            headers = list(event.headers.raw_items())
            reply = self.dialect.decode_reply(event.status_code, headers)
            if reply.attempt_id in ("", self.attempt_id):
                self.keep_alive_s = reply.keep_alive_s
                self.closes = reply.closes
                return AnswerHead(reply, end_to_end(headers))
            await self._pass_over()

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        Raises:
            AnswerBroken: It ended before it was whole.
        """
        while True:
            event = await self._event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.is_complete = True
                return
            else:
                raise AnswerBroken("the connection ended within the answer")

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        wire = self.connection.wire
        if not self.is_complete or self.closes:
            return False
        if not wire.is_usable or wire.has_unread:
            return False
        if self.http.trailing_data[0] or wire.unsent_bytes:
            return False
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    async def _event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            while True:
                event = self.http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self.http.receive_data(await self.connection.wire.read())
        except h11.RemoteProtocolError as error:
            raise AnswerBroken(f"bytes that are no answer: {error}") from error
        except ConnectionError as error:
            raise AnswerBroken(f"the connection broke: {error}") from error

    async def _pass_over(self) -> None:
        """Read an answer that belongs to another request to its end."""
        async for _ in self.pieces():
            pass
        self.is_complete = False
        rest, ended = self.http.trailing_data
        self.http = h11.Connection(h11.CLIENT)
        assert self.request is not None
        self.http.send(self.request)
        if self.http.our_state is h11.SEND_BODY:
            length = dict(self.request.headers).get(b"content-length", b"0")
            if int(length):
                self.http.send(h11.Data(data=bytes(int(length))))
            self.http.send(h11.EndOfMessage())
        if rest:
            self.http.receive_data(rest)
        if ended:
            self.http.receive_data(b"")


async def read_whole(exchange: BackendExchange, limit_bytes: int) -> bytes:
    """Return the whole body of an answer.

    Raises:
        AnswerBroken: It is not whole, or larger than the limit.
    """
    parts: list[bytes] = []
    size = 0
    async for piece in exchange.pieces():
        size += len(piece)
        if size > limit_bytes:
            raise AnswerBroken(f"the body is larger than {limit_bytes} bytes")
        parts.append(piece)
    # A pause lets an extra answer that follows at once be seen before reuse.
    await asyncio.sleep(0)
    return b"".join(parts)
