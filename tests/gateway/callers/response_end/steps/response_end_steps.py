"""Steps of response_end.feature."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import tempfile
from pathlib import Path

from behave import given, then, when

from support.caller_crowds import CrowdWorld
from support.gateway_programs import CALLERS_PORT
from support.gateway_world import HOST
from support.stream_callers import (
    End,
    StreamCallers,
    open_stream,
    read_rest,
    read_until,
)
from support.upload_engine import STREAM_EVENTS
from tanagerturn.gateway.configuration import IngressLimits
from tanagerturn.gateway.server import HttpServer

LIMITS = IngressLimits(2048, 4096, 0.2, 0.5)
EVENT_STREAM = [(b"Content-Type", b"text/event-stream")]
DATA = "word " * 20


class StreamServer:
    """A server whose streams end in one way after a number of events."""

    def __init__(self, ends, count):
        self.ends = ends
        self.count = count
        self.waiting = 0

    async def handle(self, exchange):
        """Send events, then end the response."""
        exchange.start(200, EVENT_STREAM)
        for number in range(1, self.count + 1):
            exchange.send(f"id: {number}\ndata: {DATA}\n\n".encode())
            if self.ends == "is complete":
                await exchange.drain()
        if self.ends == "is complete":
            await exchange.finish()
        elif self.ends == "is broken off":
            exchange.abort()
        elif self.ends == "loses its handler":
            raise RuntimeError("the handler failed")
        else:
            self.waiting += 1
            await asyncio.Event().wait()

    async def listen(self):
        """Start to listen; return the address."""
        self.http_server = HttpServer(self.handle, lambda: LIMITS)
        await self.http_server.listen("127.0.0.1:0")
        return self.http_server.listener.sockets[0].getsockname()

    async def serve(self, callers, count):
        """Serve until the callers are done, or until the given way to end."""
        while not callers.are_done:
            await asyncio.sleep(0.01)
            if self.waiting < count:
                continue
            if self.ends == "runs when its event loop ends":
                return
            self.http_server.end_requests(1.0)


@given("a server whose stream {ends} after {count:d} events")
def stream_server(context, ends, count):
    context.server = StreamServer(ends, count)


@when("{count:d} callers of HTTP/{version} read the stream to its end")
def callers_read(context, count, version):
    read(context, count, version, 0.0)


@when("{count:d} callers of HTTP/{version} read the stream to its end, {speed}")
def callers_read_at_speed(context, count, version, speed):
    read(context, count, version, 0.002 if speed == "slowly" else 0.0)


def read(context, count, version, pause_s):
    callers = StreamCallers()

    async def play():
        address = await context.server.listen()
        callers.start(count, address, version, pause_s=pause_s)
        await context.server.serve(callers, count)

    asyncio.run(play())
    context.streams = callers.join()
    assert len(context.streams) == count


def describe(streams):
    return [(s.event_count, s.end, s.is_complete, s.body[-40:]) for s in streams]


@then("each caller has {count:d} events, and its response ends {how}")
def response_ends(context, count, how):
    for stream in context.streams:
        assert stream.event_count == count, describe(context.streams)
        if how == "before its last chunk":
            assert not stream.is_complete, describe(context.streams)
        else:
            assert stream.end is End(how), describe(context.streams)


@when("a caller of HTTP/1.0 reads nothing for 2 s")
def caller_does_not_read(context):
    async def play():
        address = await context.server.listen()
        sock = await asyncio.to_thread(open_stream, address, "1.0", "/", ["Host: a"])
        await asyncio.sleep(2.0)
        context.open_count = len(context.server.http_server.connections)
        context.stream = await asyncio.to_thread(read_rest, sock)

    asyncio.run(play())


@then("the server has closed the connection, and the response ends with a reset")
def connection_closed(context):
    assert context.open_count == 0
    assert context.stream.end is End.RESET, context.stream.end
    assert 0 < context.stream.event_count < context.server.count


@given("a gateway process whose engine streams slowly")
def gateway_process(context):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder, ignore_errors=True))
    context.world = CrowdWorld(folder)
    context.closers.append(context.world.close)
    context.world.start()
    context.log_paths += [program.log_path for program in context.world.programs]


@when("a caller of HTTP/1.0 has the first events and the process {ends}")
def process_ends(context, ends):
    gateway = context.world.gateway
    headers = [f"Host: {HOST}", f"X-Request-Id: r{os.urandom(6).hex()}"]
    headers.append("X-Deadline-Ms: 60000")
    address = (gateway.ip, CALLERS_PORT)
    sock = open_stream(address, "1.0", "/draft/x", headers)
    received = read_until(sock, b"id: 2")
    if ends == "is killed":
        gateway.signal(signal.SIGKILL)
        gateway.popen.wait()
        context.stream = read_rest(sock, received)
    else:
        gateway.signal(signal.SIGTERM)
        context.stream = read_rest(sock, received, pause_s=0.03)


@then("the response lacks events, and ends with a reset")
def ends_with_reset(context):
    stream = context.stream
    assert b" 200 " in stream.head, stream.head
    assert 0 < stream.event_count < STREAM_EVENTS, describe([stream])
    assert stream.end is End.RESET, describe([stream])
