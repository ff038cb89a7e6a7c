"""Connections between gateways: frames, calls and their answers."""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result
from google.protobuf.message import DecodeError

from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import StepError, UnavailableError
from tanagerturn.gateway.http1 import Wire, connect
from tanagerturn.gateway.link_silence import LinkSilence
from tanagerturn.gateway.logs import part_log
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    FrameHandler = Callable[[gpb.Frame, str], Awaitable[gpb.Frame | None]]

FRAME_LIMIT_BYTES: Final = 16 * 1024 * 1024
"""Largest frame; above the largest configuration and snapshot chunk."""

CONNECT_TIMEOUT_S: Final = 0.6
"""Longest time to open a link; hosts of a region answer within milliseconds."""

RECONNECT_S: Final = 0.1
"""Time after a failure before a link is opened again."""

UNSENT_LIMIT_BYTES: Final = 8 * 1024 * 1024
"""Unsent bytes above which messages without an answer are dropped; the log of the
state group sends them again."""

LENGTH: Final = struct.Struct("!I")

log = part_log("links")


class Link:
    """An outgoing link to another gateway, opened when it is needed.

    Args:
        address: IP number and port of the other gateway.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        """IP number and port of the other gateway."""
        self.wire: Wire | None = None
        """The open connection."""
        self.silence = LinkSilence(0.0)
        """What the open connection owes."""
        self.calls: dict[int, asyncio.Future[gpb.Frame]] = {}
        """Calls that wait for their answer."""
        self.next_call = 1
        """Number of the next call."""
        self.opening: asyncio.Task[Wire] | None = None
        """Attempt to open the connection."""
        self.failed_at_s = -1e9
        """Loop time of the last failure to open it."""
        self.tasks: set[asyncio.Task[None]] = set()
        """Reader of the connection, and frames that wait for it."""

    def tell(self, frame: gpb.Frame) -> None:
        """Send a frame without an answer; it may get lost."""
        wire = self._usable()
        if wire is None:
            self._keep(asyncio.create_task(self._open_and_tell(frame)))
            return
        if wire.unsent_bytes < UNSENT_LIMIT_BYTES:
            self._send(wire, frame)

    async def call(
        self, frame: gpb.Frame, timeout_s: float
    ) -> Result[gpb.Frame, StepError]:
        """Send a call and return its answer."""
        answer: asyncio.Future[gpb.Frame] = asyncio.get_running_loop().create_future()
        number = self.next_call
        self.next_call += 1
        try:
            async with asyncio.timeout(timeout_s):
                wire = await self._opened()
                frame.call = number
                self.calls[number] = answer
                self._send(wire, frame)
                return Ok(await answer)
        except OSError as error:
            reason = str(error) or "no answer in time"
            return Error(UnavailableError("call gateway", self.address, reason))
        finally:
            self.calls.pop(number, None)

    def close(self) -> None:
        """Close the connection."""
        if self.wire is not None:
            self.wire.abort()

    def _keep(self, task: asyncio.Task[None]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open_and_tell(self, frame: gpb.Frame) -> None:
        try:
            wire = await self._opened()
        except OSError as error:
            log.debug("link_not_opened", peer=self.address, reason=str(error))
            return
        self._send(wire, frame)

    def _send(self, wire: Wire, frame: gpb.Frame) -> None:
        """Send a frame, and ask for an answer if none came for a while."""
        now_s = boot_s()
        data = encode(frame)
        self.silence.on_sent(len(data), asks=bool(frame.call), now_s=now_s)
        if self.silence.needs_probe(now_s):
            probe = encode(gpb.Frame(call=self.next_call, probe=gpb.Probe()))
            self.next_call += 1
            self.silence.on_sent(len(probe), asks=True, now_s=now_s)
            data += probe
        wire.write(data)

    def _usable(self) -> Wire | None:
        """Return the open connection, unless it is gone or silent."""
        wire = self.wire
        if wire is None or not wire.is_usable:
            return None
        if self.silence.is_silent(boot_s()):
            log.info("link_silent", peer=self.address, bytes=self.silence.sent_bytes)
            wire.abort()
            return None
        return wire

    async def _opened(self) -> Wire:
        wire = self._usable()
        if wire is not None:
            return wire
        if self.opening is None or self.opening.done():
            self.opening = asyncio.create_task(self._open())
            # Callers that gave up waiting leave nobody to take its error.
            self.opening.add_done_callback(_take_error)
        return await asyncio.shield(self.opening)

    async def _open(self) -> Wire:
        loop = asyncio.get_running_loop()
        wait_s = self.failed_at_s + RECONNECT_S - loop.time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        try:
            wire = await connect(self.address, CONNECT_TIMEOUT_S)
        except OSError:
            self.failed_at_s = loop.time()
            raise
        self.wire = wire
        self.silence = LinkSilence(boot_s())
        self._keep(asyncio.create_task(self._read(wire)))
        return wire

    async def _read(self, wire: Wire) -> None:
        try:
            async for frame in frames(wire):
                if wire is self.wire:
                    self.silence.on_frame(boot_s())
                answer = self.calls.pop(frame.call, None)
                if answer is not None and not answer.done():
                    answer.set_result(frame)
        except (ConnectionError, DecodeError, ValueError) as error:
            log.info("link_broke", peer=self.address, reason=str(error))
        wire.abort()
        if wire is not self.wire:
            # Another connection carries the calls by now.
            return
        for answer in self.calls.values():
            if not answer.done():
                answer.set_exception(ConnectionResetError("the link broke"))
        self.calls.clear()


class Links:
    """All links of a gateway, and its listener for those of others.

    Args:
        handler: Handles a frame of another gateway; returns the answer to a call.
    """

    def __init__(self, handler: FrameHandler) -> None:
        self.handler = handler
        """Handles a frame of another gateway."""
        self.links: dict[str, Link] = {}
        """Outgoing links by address."""
        self.listener: asyncio.Server | None = None
        """The listener; None before the start."""
        self.tasks: set[asyncio.Task[None]] = set()
        """Readers of incoming links and handlers of calls."""

    async def listen(self, address: str) -> None:
        """Accept links.

        Raises:
            OSError: The address can't be used.
        """
        ip, _, port = address.rpartition(":")
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: Wire(self._accept), ip, int(port)
        )

    def close(self) -> None:
        """Close the listener and all links."""
        if self.listener is not None:
            self.listener.close()
        for link in self.links.values():
            link.close()
        for task in self.tasks:
            task.cancel()

    def to(self, address: str) -> Link:
        """Return the link to a gateway."""
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link(address)
        return link

    def forget(self, known: set[str]) -> None:
        """Close links to gateways that are gone."""
        for address in set(self.links) - known:
            self.links.pop(address).close()

    def _accept(self, wire: Wire) -> None:
        self._keep(asyncio.create_task(self._serve(wire)))

    def _keep(self, task: asyncio.Task[None]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, wire: Wire) -> None:
        try:
            async for frame in frames(wire):
                if frame.call:
                    self._keep(asyncio.create_task(self._answer(wire, frame)))
                else:
                    await self.handler(frame, wire.peer)
        except (ConnectionError, DecodeError, ValueError) as error:
            log.debug("incoming_link_broke", peer=wire.peer, reason=str(error))
        wire.abort()

    async def _answer(self, wire: Wire, frame: gpb.Frame) -> None:
        if frame.WhichOneof("kind") == "probe":
            answer: gpb.Frame | None = gpb.Frame(done=gpb.Done())
        else:
            answer = await self.handler(frame, wire.peer)
        if answer is None:
            answer = gpb.Frame(failure=gpb.Failure(reason="unknown call"))
        answer.call = frame.call
        wire.write(encode(answer))


def _take_error(task: asyncio.Task[Wire]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.debug("link_not_opened", reason=str(task.exception()))


def encode(frame: gpb.Frame) -> bytes:
    """Return a frame behind its length."""
    body = frame.SerializeToString()
    return LENGTH.pack(len(body)) + body


async def frames(wire: Wire) -> AsyncIterator[gpb.Frame]:
    """Yield the frames that come in, until the other side closes.

    Raises:
        ConnectionError: The connection broke.
        DecodeError: Bytes are no frame.
        ValueError: A frame is too large.
    """
    buffered = bytearray()
    while data := await wire.read():
        buffered += data
        while len(buffered) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(buffered)
            if size > FRAME_LIMIT_BYTES:
                raise ValueError(f"a frame of {size} bytes")
            end = LENGTH.size + size
            if len(buffered) < end:
                break
            yield gpb.Frame.FromString(bytes(buffered[LENGTH.size : end]))
            del buffered[:end]
