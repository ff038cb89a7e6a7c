"""Steps of connection.feature."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

from behave import given, then, when

from tanagerturn.gateway.callers.response_end import RESET_ON_CLOSE
from tanagerturn.gateway.connection import connect

LARGE_BODY = bytes(3_500_000)
SETTLE_S = 0.01
"""Time in seconds in which loopback delivers bytes and a reset."""


@given("a connection whose peer has sent {size:d} bytes and then reset it")
def peer_resets(context, size):
    context.size, context.peer_ends = size, "resets"


@given("a connection whose peer has sent {size:d} bytes and waits")
def peer_waits(context, size):
    context.size, context.peer_ends = size, "waits"


@given("a connection whose peer has sent {size:d} bytes and closed it")
def peer_closes(context, size):
    context.size, context.peer_ends = size, "closes"


@when("nothing is written")
@when("a byte is written before the first read")
@when("two writes fail before the first read")
@when("a large body is written, then read")
@when("reading waits while a body is written")
@when("writing ends before the first read")
@when("this side aborts the connection")
@when("this side closes the connection")
def interleave(context):
    name = context.scenario.steps[1].name

    async def repeat():
        return [await play(context, name) for _ in range(20)]

    context.reads = asyncio.run(repeat())


async def play(context, name):
    """Let the peer end while the loop does not run; return bytes and error."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        tcp = await connect(f"127.0.0.1:{port}", 1.0)
        peer, _ = listener.accept()
    reading = None
    if name == "reading waits while a body is written":
        reading = asyncio.create_task(read_all(tcp))
        tcp.write(LARGE_BODY)
        await asyncio.sleep(0)
    peer.sendall(bytes(context.size))
    end_peer(peer, context.peer_ends)
    # The loop does not run, so that the end is known to the kernel alone.
    time.sleep(SETTLE_S)
    if name in WRITERS:
        WRITERS[name](tcp)
    if reading is None:
        await asyncio.sleep(0.0)
        reading = asyncio.create_task(read_all(tcp))
    try:
        async with asyncio.timeout(2.0):
            return await reading
    finally:
        tcp.abort()
        peer.close()


def end_peer(peer, how):
    if how == "resets":
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    if how != "waits":
        peer.close()


def write_twice(tcp):
    """Fail twice at the socket itself, as a writer in another thread would."""
    sock = tcp.transport.get_extra_info("socket")._sock
    for _ in range(2):
        with contextlib.suppress(OSError):
            sock.send(b"x")
    tcp.write(b"x")


WRITERS = {
    "a byte is written before the first read": lambda tcp: tcp.write(b"x"),
    "two writes fail before the first read": write_twice,
    "a large body is written, then read": lambda tcp: tcp.write(LARGE_BODY),
    "reading waits while a body is written": lambda tcp: tcp.write(LARGE_BODY),
    "writing ends before the first read": lambda tcp: tcp.end_writing(),
    "this side aborts the connection": lambda tcp: tcp.abort(),
    "this side closes the connection": lambda tcp: tcp.close(),
}


async def read_all(tcp):
    size = 0
    try:
        while data := await tcp.read():
            size += len(data)
    except ConnectionError as error:
        return size, str(error) or type(error).__name__
    return size, ""


@then("what is read ends with an error, at each of 20 repetitions")
def ends_with_error(context):
    assert len(context.reads) == 20
    assert all(error for _, error in context.reads), context.reads


@then("what is read ends in order, at each of 20 repetitions")
def ends_in_order(context):
    assert context.reads == [(context.size, "")] * 20, context.reads
