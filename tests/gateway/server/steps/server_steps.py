"""Steps of server.feature."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from support.gateway_world import Answer, read_answer
from tanagerturn.gateway.configuration import IngressLimits
from tanagerturn.gateway.server import HttpServer

LIMITS = IngressLimits(2048, 4096, 0.2, 0.5)
GET = "GET /{n} HTTP/1.1\r\nHost: a\r\n\r\n"


class Desk:
    """A server on loopback that remembers bodies."""

    def __init__(self, delay_s=0.0):
        self.delay_s = delay_s
        self.bodies = []

    async def handle(self, exchange):
        """Answer with the request's target."""
        self.bodies.append(exchange.body)
        await asyncio.sleep(self.delay_s)
        await exchange.respond(200, [], exchange.target.encode())

    async def connect(self):
        """Start the server and open one connection."""
        self.server = HttpServer(self.handle, lambda: LIMITS)
        await self.server.listen("127.0.0.1:0")
        port = self.server.listener.sockets[0].getsockname()[1]
        self.port = port
        return await asyncio.open_connection("127.0.0.1", port)


@given("a server with the limits of the configuration")
def server(context):
    context.desk = Desk()


@given("a server that answers a request after 0.3 s")
def slow_server(context):
    context.desk = Desk(0.3)


SENT = {
    "a head that is too large": b"GET / HTTP/1.1\r\nX-Big: " + b"x" * 4000,
    "a body that is too large": (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + b"x" * 9000
    ),
    "half a head and nothing more": b"GET / HTTP/1.1\r\nHost:",
    "both a length and chunks": (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "no HTTP": b"\x16\x03\x01 hello\r\n\r\n",
}


@when("a caller sends {what}")
def sends(context, what):
    async def run():
        reader, writer = await context.desk.connect()
        if what == "two requests at once":
            writer.write((GET.format(n=1) + GET.format(n=2)).encode())
            return [await read_answer(reader), await read_answer(reader)]
        if what == "a chunked body":
            head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            for part in (head, b"3\r\nabc\r\n", b"2\r\nde\r\n0\r\n\r\n"):
                writer.write(part)
                await asyncio.sleep(0.02)
            return [await read_answer(reader)]
        writer.write(SENT[what])
        answer = await read_answer(reader)
        context.rest = await asyncio.wait_for(reader.read(), 1.0)
        return [answer]

    context.answers = asyncio.run(run())


@then("it gets {status:d} and the connection is closed")
def gets(context, status):
    assert context.answers[0].status == status, context.answers
    assert context.rest == b""


@then("it gets two answers in order")
def in_order(context):
    assert [answer.body for answer in context.answers] == [b"/1", b"/2"]


@then("its body was whole")
def whole(context):
    assert context.answers[0].status == 200
    assert context.desk.bodies == [b"abcde"]


@when("a caller is idle for 0.8 of the idle limit between two requests")
def idles(context):
    async def run():
        reader, writer = await context.desk.connect()
        answers = []
        for number in (1, 2):
            writer.write(GET.format(n=number).encode())
            answers.append(await read_answer(reader))
            await asyncio.sleep(0.8 * LIMITS.idle_timeout_s)
        context.rest = await asyncio.wait_for(reader.read(), 5.0)
        return answers

    context.answers = asyncio.run(run())


@then("both are answered")
def both(context):
    assert [answer.status for answer in context.answers] == [200, 200]


@then("a connection that stays idle longer is closed")
def closed(context):
    assert context.rest == b""


@when("it is told to drain while a request runs, and then closed")
def drains(context):
    async def run():
        reader, writer = await context.desk.connect()
        writer.write(GET.format(n=1).encode())
        await asyncio.sleep(0.1)
        context.desk.server.drain()
        context.desk.server.close()
        first = await read_answer(reader)
        writer.write(GET.format(n=2).encode())
        return [first, await read_answer(reader)]

    context.answers = asyncio.run(run())


@then("the running request is answered")
def answered(context):
    assert context.answers[0].status == 200
    assert context.answers[0].headers["connection"] == "close"


@then("the next request on its connection finds it closed")
def finds_closed(context):
    assert context.answers[1] == Answer(0, {}, b"", False)
    assert len(context.desk.bodies) == 1
