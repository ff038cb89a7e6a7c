"""Steps of server.feature."""

from __future__ import annotations

import asyncio
import socket

from behave import given, then, when

from support.gateway_world import CallerResponse, read_response
from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends.pool import ConnectionPool
from tanagerturn.gateway.configuration import IngressLimits
from tanagerturn.gateway.server import HttpServer
from tanagerturn.serving.backends.messages import BackendId

LIMITS = IngressLimits(2048, 4096, 0.2, 0.5)
GET = "GET /{n} HTTP/1.1\r\nHost: a\r\n\r\n"


class RecordingServer:
    """A server on loopback that records request bodies."""

    def __init__(self, delay_s=0.0):
        self.delay_s = delay_s
        self.bodies = []

    async def handle(self, exchange):
        """Respond with the request's target."""
        self.bodies.append(exchange.body)
        await asyncio.sleep(self.delay_s)
        await exchange.respond(200, [], exchange.target.encode())

    async def connect(self):
        """Start the server and open one connection."""
        self.http_server = HttpServer(self.handle, lambda: LIMITS)
        await self.http_server.listen("127.0.0.1:0")
        port = self.http_server.listener.sockets[0].getsockname()[1]
        self.port = port
        return await asyncio.open_connection("127.0.0.1", port)


@given("a server with configured limits")
def server(context):
    context.server = RecordingServer()


@given("a server that responds to a request after 0.3 s")
def slow_server(context):
    context.server = RecordingServer(0.3)


MALFORMED_REQUESTS = {
    "a head that is too large": b"GET / HTTP/1.1\r\nX-Big: " + b"x" * 4000,
    "a body that is too large": (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + b"x" * 9000
    ),
    "half a head and then nothing": b"GET / HTTP/1.1\r\nHost:",
    "a length and chunked encoding": (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "data that is not HTTP": b"\x16\x03\x01 hello\r\n\r\n",
}


@when("a caller sends {what}")
def caller_sends(context, what):
    async def run():
        reader, writer = await context.server.connect()
        if what == "two pipelined requests":
            writer.write((GET.format(n=1) + GET.format(n=2)).encode())
            return [await read_response(reader), await read_response(reader)]
        if what == "a chunked body":
            head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            for part in (head, b"3\r\nabc\r\n", b"2\r\nde\r\n0\r\n\r\n"):
                writer.write(part)
                await asyncio.sleep(0.02)
            return [await read_response(reader)]
        writer.write(MALFORMED_REQUESTS[what])
        answer = await read_response(reader)
        context.bytes_after_response = await asyncio.wait_for(reader.read(), 1.0)
        return [answer]

    context.answers = asyncio.run(run())


@then("the caller gets {status:d} and the connection is closed")
def gets_status_and_close(context, status):
    assert context.answers[0].status == status, context.answers
    assert context.bytes_after_response == b""


@then("the caller gets two responses in order")
def responses_in_order(context):
    assert [answer.body for answer in context.answers] == [b"/1", b"/2"]


@then("the server reads the whole body")
def reads_whole_body(context):
    assert context.answers[0].status == 200
    assert context.server.bodies == [b"abcde"]


@when("a caller is idle for 0.8 of the idle limit between two requests")
def caller_idles(context):
    async def run():
        reader, writer = await context.server.connect()
        answers = []
        for number in (1, 2):
            writer.write(GET.format(n=number).encode())
            answers.append(await read_response(reader))
            await asyncio.sleep(0.8 * LIMITS.idle_timeout_s)
        context.bytes_after_response = await asyncio.wait_for(reader.read(), 5.0)
        return answers

    context.answers = asyncio.run(run())


@then("both requests get a response")
def both_get_response(context):
    assert [answer.status for answer in context.answers] == [200, 200]


@then("a connection that stays idle longer is closed")
def idle_connection_closed(context):
    assert context.bytes_after_response == b""


@when("the server is drained during a request and then closed")
def server_drained_and_closed(context):
    async def run():
        reader, writer = await context.server.connect()
        writer.write(GET.format(n=1).encode())
        await asyncio.sleep(0.1)
        context.server.http_server.drain()
        context.server.http_server.close()
        first = await read_response(reader)
        writer.write(GET.format(n=2).encode())
        return [first, await read_response(reader)]

    context.answers = asyncio.run(run())


@then("the running request gets a response")
def running_request_gets_response(context):
    assert context.answers[0].status == 200
    assert context.answers[0].headers["connection"] == "close"


@then("the next request fails because the connection is closed")
def next_request_fails(context):
    assert context.answers[1] == CallerResponse(0, {}, b"", False)
    assert len(context.server.bodies) == 1


def silence_until_close_s(sock):
    """Return the shortest and the longest silence after which the kernel closes.

    With a user timeout, keep-alive probes give up at the first one that is due after
    it, whatever their maximum number.
    """
    tcp = socket.IPPROTO_TCP
    idle_s = sock.getsockopt(tcp, socket.TCP_KEEPIDLE)
    interval_s = sock.getsockopt(tcp, socket.TCP_KEEPINTVL)
    timeout_s = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT) / 1000
    closed_s = idle_s
    while closed_s < max(timeout_s, idle_s + interval_s):
        closed_s += interval_s
    return closed_s - idle_s, closed_s


@when("a connection is opened, pooled and used again")
def connection_pooled(context):
    async def play():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ConnectionPool()
        connection = await pool.acquire(BackendId("i-1"), address, 1.0, boot_s())
        sock = connection.tcp.transport.get_extra_info("socket")
        context.silences = [silence_until_close_s(sock)]
        pool.release(connection, 5.0, boot_s())
        context.silences.append(silence_until_close_s(sock))
        again = await pool.acquire(BackendId("i-1"), address, 1.0, boot_s())
        assert again is connection
        context.silences.append(silence_until_close_s(sock))
        connection.close()
        server.close()

    asyncio.run(play())


@then("the kernel closes it after 3 to 4 s of silence in use, and after 2 s when idle")
def kernel_closes(context):
    in_use, idle, again = context.silences
    assert in_use == again == (3, 4), context.silences
    assert idle[1] == 2, context.silences


@when("a request arrives in the turn in which the server is closed")
def arrives_at_close(context):
    async def play():
        reader, writer = await context.server.connect()
        server = context.server.http_server
        while not server.connections:
            await asyncio.sleep(0.01)
        tcp = next(iter(server.connections)).tcp
        receive = tcp.data_received

        def receive_and_close(data):
            receive(data)
            server.close()
            context.busy = [server.is_busy]

        tcp.data_received = receive_and_close
        writer.write(GET.format(n=1).encode())
        await asyncio.sleep(0.1)
        context.busy.append(server.is_busy)
        answer = await read_response(reader)
        await asyncio.sleep(0.05)
        context.busy.append(server.is_busy)
        assert answer.status == 200, answer

    asyncio.run(play())


@then("the server is busy from then on, and idle after the answer")
def busy_until_answer(context):
    assert context.busy == [True, True, False], context.busy


@given("a server that responds {status:d} and states a length of 5")
def server_with_length(context, status):
    context.server = RecordingServer()

    async def handle(exchange):
        await exchange.respond(status, [(b"Content-Length", b"5")], b"")

    context.server.handle = handle


@when("a request of method {method} arrives")
def sends_method(context, method):
    async def run():
        reader, writer = await context.server.connect()
        responses = []
        for _ in range(2):
            writer.write(f"{method} /1 HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            async with asyncio.timeout(1.0):
                responses.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write_eof()
        async with asyncio.timeout(1.0):
            context.rest = await reader.read()
        context.responses = responses

    asyncio.run(run())


@then(
    "the caller gets {status:d} with length 5 and no body, and the next request is"
    " served"
)
def no_body(context, status):
    for response in context.responses:
        assert response.startswith(f"HTTP/1.1 {status} ".encode()), response
        assert response.lower().count(b"content-length: 5") == 1, response
        assert b"content-length: 0" not in response.lower(), response
    assert context.rest == b""
