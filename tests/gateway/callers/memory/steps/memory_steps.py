"""Steps of memory.feature."""

from __future__ import annotations

import asyncio
import random

from behave import given, then, when

from support.gateway_world import read_response
from tanagerturn.gateway.callers.chunked_bodies import ChunkedDecoder
from tanagerturn.gateway.callers.memory_budget import MIB, MemoryBudget, Purpose
from tanagerturn.gateway.callers.memory_gate import MemoryGate
from tanagerturn.gateway.configuration import IngressLimits
from tanagerturn.gateway.server import HttpServer

LIMITS = IngressLimits(body_bytes=MIB // 2)
CALLERS = 4
RELEASE_TIMEOUT_S = 5.0


class LimitedServer:
    """A server with a small budget, whose handler serves until `may_end` is set."""

    async def start(self):
        """Listen on a free port."""
        self.may_end = asyncio.Event()
        self.gate = MemoryGate(MemoryBudget(MIB))
        self.http = HttpServer(self.handle, lambda: LIMITS, self.gate)
        await self.http.listen("127.0.0.1:0")
        self.port = self.http.listener.sockets[0].getsockname()[1]

    async def handle(self, exchange):
        """Respond once that is permitted."""
        await self.may_end.wait()
        await exchange.respond(200, [], b"ok")

    async def connect(self, announced, sent):
        """Connect, and send a part of a body in pieces."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {announced}\r\n\r\n"
        writer.write(head.encode())
        await asyncio.sleep(0.01)
        writer.write(bytes(sent))
        return reader, writer


async def wait_until(condition):
    async with asyncio.timeout(RELEASE_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


@given("a server with 1 MiB for requests")
def limited_server(context):
    context.server = LimitedServer()


@when("callers {what}")
def callers_end(context, what):
    async def play():
        server = context.server
        await server.start()
        budget = server.gate.budget
        body = MIB // 8
        sent = {
            "disconnect within the body": body - 1,
            "disconnect while memory is short": MIB // 2 - 1,
            "exceed the limit": 2 * MIB,
        }.get(what, body)
        announced = sent if "limit" in what or sent == body else sent + 1
        clients = [await server.connect(announced, sent) for _ in range(CALLERS)]
        if "limit" not in what:
            await wait_until(lambda: budget.used_bytes >= body * CALLERS)
        if "short" in what:
            await wait_until(lambda: server.gate.waiters)
        if "served" in what:
            await wait_until(lambda: server.http.running_count == CALLERS)
        if "response" in what:
            server.may_end.set()
            for reader, _ in clients:
                assert (await read_response(reader)).status == 200
        for _, writer in clients:
            writer.transport.abort()
        await wait_until(lambda: not server.http.connections)
        context.held = budget.used_bytes, len(budget.reservations)

    asyncio.run(play())


@then("nothing is held")
def nothing_held(context):
    assert context.held == (0, 0), context.held


@when("a caller sends 16 times the limit before it reads")
def sends_too_much(context):
    async def play():
        await context.server.start()
        size = 16 * LIMITS.body_bytes
        reader, writer = await context.server.connect(size, size)
        await writer.drain()
        context.answer = await read_response(reader)

    asyncio.run(play())


@then("it reads status 413")
def reads_413(context):
    assert context.answer.status == 413, context.answer


@given("a budget of which large bodies of callers hold all that they may")
def full_budget(context):
    context.budget = MemoryBudget(10 * MIB)
    context.large = [context.budget.open(Purpose.CALLER, 0.0) for _ in range(8)]
    for reservation in context.large:
        if not context.budget.hold(reservation, MIB):
            break


@then("a large body has to wait")
def large_waits(context):
    assert not context.budget.may_go_on(context.large[0])


@then("a small request and a control call may go on")
def small_goes_on(context):
    budget = context.budget
    assert budget.hold(budget.open(Purpose.CALLER, 0.0), 4096)
    assert budget.hold(budget.open(Purpose.CONTROL, 0.0), 4096)


@given("a budget that is used up, and a transfer that waits")
def used_up(context):
    budget = context.budget = MemoryBudget(10 * MIB)
    context.transfers = [budget.open(Purpose.CALLER, 0.0) for _ in range(4)]
    for number, transfer in enumerate(context.transfers, 1):
        budget.hold(transfer, number * MIB)
    context.transfers[0].set_waiting(0.0, is_waiting=True)


@when("a second passes in which all but the largest progress")
def second_passes(context):
    for tenth in range(11):
        for transfer in context.transfers[:-1]:
            transfer.on_moved(20_000, tenth / 10)


@then("the largest is refused")
def largest_refused(context):
    assert context.budget.choose_refused(1.0) == [context.transfers[-1]]


@given("chunked bodies with chunks of 1 to 300 bytes, extensions and trailers")
def chunked_bodies(context):
    numbers = context.random = random.Random(1)
    context.bodies = []
    for _ in range(200):
        chunks = [
            numbers.randbytes(numbers.randint(1, 300))
            for _ in range(numbers.randint(0, 20))
        ]
        extension = numbers.choice((b"", b";a=b", b" ; c"))
        lines = [b"%x%b\r\n%b\r\n" % (len(c), extension, c) for c in chunks]
        trailers = numbers.choice((b"", b"X-A: 1\r\nX-B: 2\r\n"))
        data = b"".join(lines) + b"0\r\n" + trailers + b"\r\nGET /next"
        context.bodies.append((b"".join(chunks), data))


@then("each is decoded from pieces of 1 to 400 bytes, and what follows is left")
def decoded(context):
    for body, data in context.bodies:
        decoder = ChunkedDecoder(bytearray(), len(body), 100)
        left = data
        while left and not decoder.is_done:
            size = context.random.randint(1, 400)
            decoder.feed(left[:size])
            left = left[size:]
        assert decoder.is_done
        assert decoder.body == body
        assert decoder.rest + left == b"GET /next"
