"""Connections between gateways, which carry one-way frames, calls and responses."""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result
from google.protobuf.message import DecodeError

from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import StepError, UnavailableError
from tanagerturn.gateway.callers.memory_budget import Purpose
from tanagerturn.gateway.callers.memory_gate import MemoryRefused
from tanagerturn.gateway.connection import TcpConnection, connect
from tanagerturn.gateway.link_liveness import LinkLiveness
from tanagerturn.gateway.logs import component_log
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from tanagerturn.gateway.callers.memory_budget import Reservation
    from tanagerturn.gateway.callers.memory_gate import MemoryGate

    FrameHandler = Callable[[gpb.Frame, str], Awaitable[gpb.Frame | None]]

FRAME_LIMIT_BYTES: Final = 16 * 1024 * 1024
"""Maximum size of a frame in bytes; above the largest configuration and snapshot
chunk."""

CONNECT_TIMEOUT_S: Final = 0.6
"""Timeout of opening a link in seconds; hosts of a region respond within
milliseconds."""

RECONNECT_DELAY_S: Final = 0.1
"""Delay in seconds after a failed attempt to open a link before the next one."""

UNSENT_LIMIT_BYTES: Final = 8 * 1024 * 1024
"""Number of unsent bytes of a link from which on one-way frames are dropped; the
replicated log of the state group sends its messages again."""

SMALL_FRAME_BYTES: Final = 64 * 1024
"""Number of bytes of an incomplete frame from which on they are counted against the
memory budget."""

FRAME_COPIES: Final = 2
"""Number of times that a large frame is held: as received, and decoded."""

FRAME_LENGTH_HEADER: Final = struct.Struct("!I")

log = component_log("links")


class Link:
    """An outgoing link to a peer gateway, opened when it is needed.

    Args:
        address: IP address and port of the peer.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        """IP address and port of the peer."""
        self.tcp: TcpConnection | None = None
        """The last connection; None before the first one."""
        self.liveness = LinkLiveness(0.0)
        """Response timeout of the last connection."""
        self.pending_calls: dict[int, asyncio.Future[gpb.Frame]] = {}
        """Calls that wait for their response, by number."""
        self.next_call_number = 1
        """Number of the next call."""
        self.opening_task: asyncio.Task[TcpConnection] | None = None
        """The last attempt to connect; None before the first one."""
        self.connect_failed_s = -1e9
        """Event loop time in seconds of the last failed attempt to connect; -1e9 before
        the first one."""
        self.tasks: set[asyncio.Task[None]] = set()
        """Tasks that read the connection, and that send one-way frames once it is
        open."""

    def send_one_way(self, frame: gpb.Frame) -> None:
        """Send a one-way frame, which may get lost."""
        tcp = self._usable_connection()
        if tcp is None:
            self._track(asyncio.create_task(self._open_and_send(frame)))
            return
        if tcp.unsent_bytes < UNSENT_LIMIT_BYTES:
            self._send(tcp, frame)

    async def call(
        self, frame: gpb.Frame, timeout_s: float
    ) -> Result[gpb.Frame, StepError]:
        """Send a call and return its response.

        Returns:
            The response; an `UnavailableError` if none was received within `timeout_s`
            seconds, in which case the call may have been executed.
        """
        response: asyncio.Future[gpb.Frame] = asyncio.get_running_loop().create_future()
        number = self.next_call_number
        self.next_call_number += 1
        try:
            async with asyncio.timeout(timeout_s):
                tcp = await self._connected()
                frame.call = number
                self.pending_calls[number] = response
                self._send(tcp, frame)
                return Ok(await response)
        except OSError as error:
            reason = str(error) or f"no response within {timeout_s} s"
            return Error(UnavailableError("call gateway", self.address, reason))
        finally:
            self.pending_calls.pop(number, None)

    def close(self) -> None:
        """Close the connection; the next frame opens a new one."""
        if self.tcp is not None:
            self.tcp.abort()

    def _track(self, task: asyncio.Task[None]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open_and_send(self, frame: gpb.Frame) -> None:
        try:
            tcp = await self._connected()
        except OSError as error:
            log.debug("link_not_opened", peer=self.address, reason=str(error))
            return
        self._send(tcp, frame)

    def _send(self, tcp: TcpConnection, frame: gpb.Frame) -> None:
        """Send a frame, and a probe if no frame was received for a while."""
        now_s = boot_s()
        data = encode_frame(frame)
        self.liveness.on_sent(len(data), expects_response=bool(frame.call), now_s=now_s)
        if self.liveness.needs_probe(now_s):
            probe = encode_frame(
                gpb.Frame(call=self.next_call_number, probe=gpb.Probe())
            )
            self.next_call_number += 1
            self.liveness.on_sent(len(probe), expects_response=True, now_s=now_s)
            data += probe
        tcp.write(data)

    def _usable_connection(self) -> TcpConnection | None:
        """Return the open connection, unless it is closed or silent."""
        tcp = self.tcp
        if tcp is None or not tcp.is_usable:
            return None
        if self.liveness.is_silent(boot_s()):
            log.info("link_silent", peer=self.address, bytes=self.liveness.sent_bytes)
            tcp.abort()
            return None
        return tcp

    async def _connected(self) -> TcpConnection:
        tcp = self._usable_connection()
        if tcp is not None:
            return tcp
        if self.opening_task is None or self.opening_task.done():
            self.opening_task = asyncio.create_task(self._open())
            # Retrieves the error: asyncio warns of one that no caller awaits any more.
            self.opening_task.add_done_callback(_log_open_error)
        return await asyncio.shield(self.opening_task)

    async def _open(self) -> TcpConnection:
        loop = asyncio.get_running_loop()
        wait_s = self.connect_failed_s + RECONNECT_DELAY_S - loop.time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        try:
            tcp = await connect(self.address, CONNECT_TIMEOUT_S)
        except OSError:
            self.connect_failed_s = loop.time()
            raise
        self.tcp = tcp
        self.liveness = LinkLiveness(boot_s())
        self._track(asyncio.create_task(self._read(tcp)))
        return tcp

    async def _read(self, tcp: TcpConnection) -> None:
        try:
            async for frame in read_frames(tcp):
                if tcp is self.tcp:
                    self.liveness.on_received(boot_s())
                response = self.pending_calls.pop(frame.call, None)
                if response is not None and not response.done():
                    response.set_result(frame)
        except (ConnectionError, DecodeError, ValueError) as error:
            log.info("link_broke", peer=self.address, reason=str(error))
        tcp.abort()
        if tcp is not self.tcp:
            # The pending calls wait for responses on a newer connection.
            return
        for response in self.pending_calls.values():
            if not response.done():
                response.set_exception(
                    ConnectionResetError("the link closed before the response")
                )
        self.pending_calls.clear()


class Links:
    """All links of a gateway, and its listener for links of peers.

    Args:
        handler: Handles a frame of a peer; returns the response to a call.
        memory: Memory budget for large frames that peers send; None for no limit.
    """

    def __init__(self, handler: FrameHandler, memory: MemoryGate | None = None) -> None:
        self.handler = handler
        """Handles a frame of a peer; returns the response to a call."""
        self.memory = memory
        """Memory budget for large frames that peers send; None for no limit."""
        self.links: dict[str, Link] = {}
        """Outgoing links by IP address and port of the peer."""
        self.listener: asyncio.Server | None = None
        """Listener for links of peers; None before `listen`."""
        self.tasks: set[asyncio.Task[None]] = set()
        """Readers of incoming links and handlers of calls."""

    async def listen(self, address: str) -> None:
        """Accept links of peers on an IP address and port.

        Raises:
            OSError: The address can't be used.
        """
        ip, _, port = address.rpartition(":")
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: TcpConnection(self._on_connected), ip, int(port)
        )

    def close(self) -> None:
        """Close the listener and all links."""
        if self.listener is not None:
            self.listener.close()
        for link in self.links.values():
            link.close()
        for task in self.tasks:
            task.cancel()

    def link_to(self, address: str) -> Link:
        """Return the link to a gateway, by IP address and port."""
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link(address)
        return link

    def close_unknown(self, known_addresses: set[str]) -> None:
        """Close links to addresses that are no longer known."""
        for address in set(self.links) - known_addresses:
            self.links.pop(address).close()

    def _on_connected(self, tcp: TcpConnection) -> None:
        self._track(asyncio.create_task(self._serve(tcp)))

    def _track(self, task: asyncio.Task[None]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, tcp: TcpConnection) -> None:
        try:
            async for frame in read_frames(tcp, self.memory):
                if frame.call:
                    self._track(asyncio.create_task(self._respond(tcp, frame)))
                else:
                    await self.handler(frame, tcp.peer)
                # A peer that does not read responses gets no further ones.
                await tcp.drain()
        except MemoryRefused:
            log.debug("incoming_link_broke", peer=tcp.peer, reason="no memory")
        except (ConnectionError, DecodeError, ValueError) as error:
            log.debug("incoming_link_broke", peer=tcp.peer, reason=str(error))
        tcp.abort()

    async def _respond(self, tcp: TcpConnection, frame: gpb.Frame) -> None:
        if frame.WhichOneof("kind") == "probe":
            response: gpb.Frame | None = gpb.Frame(done=gpb.Done())
        else:
            response = await self.handler(frame, tcp.peer)
        if response is None:
            response = gpb.Frame(failure=gpb.Failure(reason="unknown call"))
        response.call = frame.call
        tcp.write(encode_frame(response))


def _log_open_error(task: asyncio.Task[TcpConnection]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.debug("link_not_opened", reason=str(task.exception()))


def encode_frame(frame: gpb.Frame) -> bytes:
    """Return the bytes of a frame, preceded by their length."""
    body = frame.SerializeToString()
    return FRAME_LENGTH_HEADER.pack(len(body)) + body


async def read_frames(
    tcp: TcpConnection, memory: MemoryGate | None = None
) -> AsyncIterator[gpb.Frame]:
    """Yield received frames until the other side closes the connection.

    Args:
        tcp: Connection that carries the frames.
        memory: Memory budget for large frames; None for no limit.

    Raises:
        ConnectionError: The connection broke.
        DecodeError: The bytes are not a valid frame.
        ValueError: A frame exceeds the size limit.
        MemoryRefused: A frame is refused for want of memory.
    """
    buffered = bytearray()
    frame_memory = _FrameMemory(memory, tcp)
    try:
        while data := await tcp.read():
            buffered += data
            await frame_memory.hold(len(buffered), len(data))
            while len(buffered) >= FRAME_LENGTH_HEADER.size:
                (size,) = FRAME_LENGTH_HEADER.unpack_from(buffered)
                if size > FRAME_LIMIT_BYTES:
                    raise ValueError(
                        f"a frame of {size} bytes exceeds the limit of"
                        f" {FRAME_LIMIT_BYTES} bytes"
                    )
                end = FRAME_LENGTH_HEADER.size + size
                if len(buffered) < end:
                    break
                yield gpb.Frame.FromString(
                    bytes(buffered[FRAME_LENGTH_HEADER.size : end])
                )
                del buffered[:end]
            if len(buffered) <= SMALL_FRAME_BYTES:
                frame_memory.release()
    finally:
        frame_memory.release()


class _FrameMemory:
    """What an incomplete frame holds of the memory budget; nothing if it is small."""

    def __init__(self, gate: MemoryGate | None, tcp: TcpConnection) -> None:
        self.gate = gate
        self.tcp = tcp
        self.reservation: Reservation | None = None

    async def hold(self, size_bytes: int, received_bytes: int) -> None:
        if self.gate is None or size_bytes <= SMALL_FRAME_BYTES:
            return
        if self.reservation is None:
            self.reservation = self.gate.open(
                Purpose.PEER, lambda: self.tcp.interrupt(MemoryRefused)
            )
        held_bytes = FRAME_COPIES * size_bytes
        if not self.gate.hold(self.reservation, held_bytes, received_bytes):
            await self.gate.wait(self.reservation)

    def release(self) -> None:
        if self.gate is not None and self.reservation is not None:
            self.gate.release(self.reservation)
            self.reservation = None
