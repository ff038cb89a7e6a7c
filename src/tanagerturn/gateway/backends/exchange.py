"""Sends one request on a backend server's connection and reads its response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, cast

import h11

from tanagerturn.gateway.connection import WRITE_WINDOW_BYTES, end_to_end_headers
from tanagerturn.gateway.http_reader import MIN_PART_BYTES, HttpReader
from tanagerturn.gateway.logs import component_log
from tanagerturn.serving.streams.endings import Framing

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from tanagerturn.gateway.backends.pool import BackendConnection
    from tanagerturn.gateway.dialect import Dialect
    from tanagerturn.gateway.messages import BackendReply, RawHeaders


MAX_SKIPPED_RESPONSES: Final = 16
"""Maximum number of interim responses, and of late responses to earlier requests, that
are skipped before the response."""

SKIPPED_BODY_LIMIT_BYTES: Final = 64 * 1024
"""Maximum size in bytes of the body of a late response, which is not forwarded."""

HOLD_STEP_BYTES: Final = 16 * 1024
"""Number of bytes of a response after which they are counted against the budget."""

STATUSES_WITHOUT_BODY: Final = (204, 304)
"""Statuses whose responses have no body, whatever their headers state."""

log = component_log("relay")


class ResponseError(Exception):
    """Raised when a backend server's response is missing, malformed or incomplete.

    Args:
        reason: What was received or missing.
    """


@dataclass(frozen=True)
class ResponseHead:
    """Head of a backend server's response."""

    reply: BackendReply
    """The head as decoded by the dialect."""
    headers: RawHeaders
    """Headers to forward to the caller."""


class BackendExchange:
    """A request on a connection to a backend server, and its response.

    Args:
        connection: Connection that carries the request.
        dialect: Decodes the head of the response.
        attempt_id: Request id that the response has to repeat.
        on_reply: Called with the head of each response that is received, and whether
            it belongs to the request.
    """

    def __init__(
        self,
        connection: BackendConnection,
        dialect: Dialect,
        attempt_id: str,
        on_reply: Callable[[BackendReply, bool], None] = lambda reply, is_own: None,
    ) -> None:
        self.connection = connection
        """Connection that carries the request."""
        self.dialect = dialect
        """Decodes the head of the response."""
        self.attempt_id = attempt_id
        """Request id that the response has to repeat."""
        self.on_reply = on_reply
        """Called with the head of each response, and whether it is the request's."""
        self.framing = Framing.LENGTH
        """How the end of the response body is marked; known once its head was read."""
        self.has_head = False
        """Whether the head of the response was received."""
        self.reader = HttpReader(connection.tcp, h11.Connection(h11.CLIENT))
        """Reads the events of the response."""
        self.request: h11.Request | None = None
        """Head of the request that was sent; None before `send`."""
        self.is_response_complete = False
        """Whether the whole response was received."""
        self.keep_alive_s: float | None = None
        """Idle timeout in seconds that the backend server announced; None if it
        announced none."""
        self.closes_connection = False
        """Whether the backend server closes the connection after its response."""
        self.writing_task: asyncio.Task[None] | None = None
        """Sends a large body as the backend server reads it; None for other bodies."""

    def send(
        self,
        method: str,
        target: str,
        headers: RawHeaders,
        body: bytes | bytearray,
    ) -> None:
        """Send the head and the whole body of the request.

        A large body is sent by a task, since a write of the whole would copy it.
        """
        if body or method not in ("GET", "HEAD", "DELETE"):
            headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        self.request = h11.Request(
            method=method.encode(), target=target.encode("latin-1"), headers=headers
        )
        tcp = self.connection.tcp
        http = self.reader.http
        head = http.send(self.request) or b""
        if len(body) > WRITE_WINDOW_BYTES:
            http.send_with_data_passthrough(_data(body))
            http.send(h11.EndOfMessage())
            tcp.write(head)
            self.writing_task = asyncio.create_task(tcp.write_body(memoryview(body)))
            return
        data = http.send(_data(body)) or b"" if body else b""
        http.send(h11.EndOfMessage())
        tcp.write(head + data)

    def stop_writing(self) -> None:
        """Send no more of a large body; its connection can't be reused then."""
        if self.writing_task is not None:
            self.writing_task.cancel()

    async def read_head(self) -> ResponseHead:
        """Read the head of the response.

        A late or duplicate response to an earlier request on this connection is
        skipped. A refusal is believed only where it can't be a copy of another one:
        the connection has carried no refusal before, since it is closed after each,
        and no response that belongs to another request.

        Raises:
            ResponseError: The response is missing or malformed, or it is a refusal
                that may belong to another request.
        """
        for _ in range(MAX_SKIPPED_RESPONSES):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ResponseError(
                    "the backend server closed the connection before a response"
                )
            headers = list(event.headers.raw_items())
            reply = self.dialect.decode_reply(event.status_code, headers)
            is_own = self._is_own(reply)
            is_doubtful = reply.is_refusal and self.connection.has_stray_responses
            self.on_reply(reply, is_own and not is_doubtful)
            if not is_own:
                self.connection.has_stray_responses = True
                log.info(
                    "stray_response",
                    request=self.attempt_id,
                    backend=self.connection.backend_id,
                    status=reply.status,
                    answers=reply.attempt_id,
                )
                await self._skip_response()
                continue
            if is_doubtful:
                raise ResponseError(
                    f"refused with status {reply.status} after a response to another"
                    " request, so the refusal may belong to another one too"
                )
            self.has_head = True
            assert self.request is not None
            self.framing = _framing_of(event, self.request.method)
            self.connection.echoes_ids |= bool(reply.attempt_id)
            self.keep_alive_s = reply.keep_alive_s
            self.closes_connection = reply.closes_connection or reply.is_refusal
            return ResponseHead(reply, end_to_end_headers(headers))
        raise ResponseError(
            f"more than {MAX_SKIPPED_RESPONSES} interim or late responses"
        )

    def _is_own(self, reply: BackendReply) -> bool:
        """Return whether a response belongs to this request.

        One without an id may be a copy of an earlier response on this connection if
        those stated ids. Refusals may lack the id in any case.
        """
        if reply.attempt_id:
            return reply.attempt_id == self.attempt_id
        return reply.is_refusal or not self.connection.echoes_ids

    async def body_parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they are received.

        Raises:
            ResponseError: The response is malformed or incomplete.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.is_response_complete = True
                return
            else:
                raise ResponseError(
                    "the backend server closed the connection within the response"
                )

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        tcp = self.connection.tcp
        if not self.is_response_complete or self.closes_connection:
            return False
        if self.writing_task is not None and not self.writing_task.done():
            return False
        if not tcp.is_usable or tcp.has_unread:
            return False
        http = self.reader.http
        if http.trailing_data[0] or tcp.unsent_bytes:
            return False
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return await self.reader.next_event()
        except h11.RemoteProtocolError as error:
            raise ResponseError(f"malformed response: {error}") from error
        except ConnectionError as error:
            raise ResponseError(f"the connection broke: {error}") from error

    async def _skip_response(self) -> None:
        """Skip the body of a response that belongs to another request.

        The HTTP state is then as if the current request had just been sent.
        """
        await read_whole(self, SKIPPED_BODY_LIMIT_BYTES)
        self.is_response_complete = False
        unread_bytes, at_eof = self.reader.http.trailing_data
        http = self.reader.http = h11.Connection(h11.CLIENT)
        assert self.request is not None
        http.send(self.request)
        if http.our_state is h11.SEND_BODY:
            length = dict(self.request.headers).get(b"content-length", b"0")
            if int(length):
                # Only the length of the data counts, which is not sent again.
                http.send_with_data_passthrough(_data(range(int(length))))
            http.send(h11.EndOfMessage())
        if unread_bytes:
            http.receive_data(unread_bytes)
        if at_eof:
            http.receive_data(b"")


def _framing_of(response: h11.Response, method: bytes) -> Framing:
    """Return how the end of a body is marked; h11 has normalized the headers."""
    if method == b"HEAD" or response.status_code in STATUSES_WITHOUT_BODY:
        return Framing.LENGTH
    names = {name for name, _ in response.headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKED
    return Framing.LENGTH if b"content-length" in names else Framing.CLOSE


def _data(body: bytes | bytearray | range) -> h11.Data:
    """Return an h11 event; h11 takes any object that has a length."""
    return h11.Data(data=cast("bytes", body))


async def read_whole(
    exchange: BackendExchange,
    limit_bytes: int,
    hold: Callable[[int], Awaitable[None]] | None = None,
) -> bytearray:
    """Return the whole body of a response.

    Args:
        exchange: Exchange whose response head has been read.
        limit_bytes: Maximum size of the body in bytes.
        hold: Counts the size of a body that is large so far, and returns once there is
            memory for more; None for bodies with a small limit.

    Raises:
        ResponseError: The body is incomplete, malformed or larger than the limit.
    """
    body = bytearray()
    size = held_bytes = 0
    async for body_part in exchange.body_parts():
        size += max(len(body_part), MIN_PART_BYTES)
        if size > limit_bytes:
            raise ResponseError(
                f"the response body exceeds the limit of {limit_bytes} bytes"
            )
        body += body_part
        if hold is not None and len(body) - held_bytes > HOLD_STEP_BYTES:
            held_bytes = len(body)
            await hold(held_bytes)
    # Lets the event loop receive a duplicate response before the connection is reused.
    await asyncio.sleep(0)
    return body
