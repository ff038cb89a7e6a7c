"""Steps of decoding_turns.feature."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from collections import Counter
from http.client import HTTPConnection

from behave import given, then, when

from support import chunk_crowd
from support.loop_turns import LoopTurns
from tanagerturn.gateway.callers.decoding_turns import DecodingTurns, measure_piece
from tanagerturn.gateway.configuration import IngressLimits
from tanagerturn.gateway.server import HttpServer

PIECE_BYTES = 8 * 1024
LOAD_S = 1.5
"""Time in seconds from the first bodies to the ordinary request."""

CALL_TIMEOUT_S = 10.0
REQUESTS = 5
"""Number of ordinary requests, one after the other."""


class Bodies:
    """Bodies that are decoded piece by piece, and the turns in which they were."""

    def __init__(self):
        self.pieces = []
        self.turns = DecodingTurns()
        self.turn = 0
        self.chunks_by_turn = Counter()
        self.done = []
        self.largest_lead = 0
        self.ended_in_turn = {}

    def add(self, bodies, pieces, chunk_bytes):
        """Add bodies of a number of pieces."""
        piece = chunk_crowd.make_chunks(chunk_bytes, PIECE_BYTES)
        self.pieces += [(piece, pieces)] * bodies
        self.done += [0] * bodies

    async def decode(self, number):
        """Decode one body."""
        piece, count = self.pieces[number]
        for _ in range(count):
            await self.turns.wait(piece)
            self.chunks_by_turn[self.turn] += measure_piece(piece).chunk_count
            self.done[number] += 1
            self.largest_lead = max(self.largest_lead, max(self.done) - min(self.done))
        self.ended_in_turn[number] = self.turn

    async def decode_all(self, cancelled=0):
        """Decode all bodies; cancel the first ones once they wait."""
        counting = asyncio.create_task(self._count_turns())
        tasks = [
            asyncio.create_task(self.decode(number))
            for number in range(len(self.pieces))
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        for task in tasks[:cancelled]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        counting.cancel()

    async def _count_turns(self):
        while True:
            self.turn += 1
            await asyncio.sleep(0)


@given("{bodies:d} bodies of {pieces:d} pieces in chunks of {chunk:d} byte")
def bodies_of_pieces(context, bodies, pieces, chunk):
    context.bodies = Bodies()
    context.bodies.add(bodies, pieces, chunk)


@given("1 body of {pieces:d} pieces in chunks of {chunk:d} bytes")
def further_body(context, pieces, chunk):
    context.bodies.add(1, pieces, chunk)


@when("they are decoded at the same time")
def decoded(context):
    asyncio.run(context.bodies.decode_all())


@when("all but the last are cancelled while they wait")
def cancelled(context):
    asyncio.run(context.bodies.decode_all(len(context.bodies.pieces) - 1))
    assert len(context.bodies.ended_in_turn) == 1


@then("no turn decodes more than {limit:d} chunks and one piece")
def turns_bounded(context, limit):
    bodies = context.bodies
    assert all(bodies.done[n] == count for n, (_, count) in enumerate(bodies.pieces))
    largest = max(bodies.chunks_by_turn.values())
    assert largest <= limit + measure_piece(bodies.pieces[0][0]).chunk_count, largest


@then("no body is ahead of another one by more than two pieces")
def in_turn(context):
    assert context.bodies.largest_lead <= 2, context.bodies.largest_lead


@then("the last body is decoded within {limit:d} turns")
def last_decoded(context, limit):
    bodies = context.bodies
    ended = bodies.ended_in_turn[len(bodies.pieces) - 1]
    assert ended <= limit, ended


@given("a server")
def server(context):
    async def handle(exchange):
        await exchange.respond(200, [], b"ok")

    limits = IngressLimits(body_bytes=4 * 1024 * 1024)
    context.server = HttpServer(handle, lambda: limits)


@when("{callers:d} callers send bodies in chunks of {chunk:d} bytes")
def callers_send(context, callers, chunk):
    async def run():
        await context.server.listen("127.0.0.1:0")
        port = context.server.listener.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        command = [sys.executable, chunk_crowd.__file__, address, callers, chunk]
        async with LoopTurns() as turns:
            crowd = subprocess.Popen(list(map(str, command)))
            try:
                await asyncio.sleep(LOAD_S)
                context.answers = [
                    await asyncio.to_thread(ask, port) for _ in range(REQUESTS)
                ]
            finally:
                crowd.kill()
                crowd.wait()
        context.server.close()
        context.longest_turn_s = turns.longest_s

    asyncio.run(run())


def ask(port):
    """Return the status of an ordinary request and the time in seconds it took."""
    began_s = time.monotonic()
    connection = HTTPConnection("127.0.0.1", port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request("GET", "/", headers={"Connection": "close"})
        status = connection.getresponse().status
    except TimeoutError:
        status = 0
    finally:
        connection.close()
    return status, time.monotonic() - began_s


@then("ordinary requests are answered within {limit_s:g} s")
def ordinary_answered(context, limit_s):
    for status, took_s in context.answers:
        assert status == 200, context.answers
        assert took_s <= limit_s, context.answers


@then("no turn takes longer than {limit_ms:d} ms")
def turns_short(context, limit_ms):
    assert context.longest_turn_s * 1000 <= limit_ms, context.longest_turn_s
