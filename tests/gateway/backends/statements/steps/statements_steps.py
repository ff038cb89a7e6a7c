"""Steps of statements.feature; a gateway and its backend servers are on loopback."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from support.gateway_world import ScriptedBackend, World
from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends import departures, pool

PAUSE = ("X-Not-Executed: 1", "Retry-After: 30")
LEAVING = ("Server-Leaving: 1",)

DEADLINE_MS = 300

SLOW_OPEN_S = 0.3
"""Time in seconds that the second connection takes to open."""


class StatingBackend:
    """Backend server whose first answer makes a statement at a chosen moment.

    Args:
        status: Status of the answer.
        statement: Header lines with the statement.
        moment: When the answer comes, in the words of the feature.
    """

    def __init__(self, status, statement, moment):
        self.status = status
        self.statement = statement
        self.moment = moment
        self.leave = asyncio.Event()
        self.backend = ScriptedBackend("i-1", [self.serve])

    async def serve(self, call):
        """Answer the first request with the statement, and serve the others."""
        if len(self.backend.calls) > 1:
            await call.answer(200, "served")
            return
        if self.moment == "at the deadline that it was given":
            await asyncio.sleep(int(call.headers["x-deadline-ms"]) / 1000)
        elif self.moment == "together with the caller's leaving":
            await self.leave.wait()
        elif self.moment == "behind an answer to another request":
            await call.send(
                "HTTP/1.1 200 X\r\nX-Request-Id: other\r\nX-Server-Stamp: 1a.2b\r\n"
                "Content-Length: 2\r\n\r\nno"
            )
        elif self.moment == "with the id of another request":
            call.headers["x-request-id"] = "other"
        await call.answer(self.status, "", *self.statement)


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def start(context, *backends):
    context.loop = asyncio.new_event_loop()
    context.closers.append(context.loop.close)
    context.world = World(*backends)
    run(context, context.world.start())


@given("a backend server whose refusal asks for a pause and comes {moment}")
def refusal_with_pause(context, moment):
    context.stating = StatingBackend(503, PAUSE, moment)
    start(context, context.stating.backend)


@given("a backend server whose answer states that it leaves and comes {moment}")
def answer_with_departure(context, moment):
    context.stating = StatingBackend(500, LEAVING, moment)
    start(context, context.stating.backend)


@when('a caller sends "{path}", and others send "/look/2" from 0.5 s after it')
def callers_send(context, path):
    world, stating = context.world, context.stating

    async def play():
        first = asyncio.create_task(
            world.send_request(path, headers={"X-Deadline-Ms": str(DEADLINE_MS)})
            if stating.moment != "together with the caller's leaving"
            else leave_with_answer()
        )
        await asyncio.wait((first,), timeout=1.0)
        await asyncio.sleep(0.5)
        for number in range(3):
            headers = {"X-Request-Id": f"later-{number}", "X-Deadline-Ms": "300"}
            await world.send_request("/look/2", headers=headers)

    async def leave_with_answer():
        _, writer = await asyncio.open_connection("127.0.0.1", world.port)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r1\r\n"
            "X-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        writer.write(head.encode())
        while not stating.backend.calls:
            await asyncio.sleep(0.005)
        writer.transport.abort()
        stating.leave.set()

    run(context, play())


@then("the backend server gets {count:d} request")
def request_count(context, count):
    calls = context.world.engines[0].calls
    assert len(calls) == count, [(c.method, c.target) for c in calls]


@given("a backend server that asks for a pause while a second connection opens")
def pause_while_opening(context):
    answer_while_opening(context, 503, *PAUSE)


@given("a backend server that states that it leaves while a second connection opens")
def departure_while_opening(context):
    answer_while_opening(context, 200, "Server-Leaving: 1")


def answer_while_opening(context, status, *headers):
    """Let the first request be answered while the connection for a second one opens."""

    async def answer(call):
        await asyncio.sleep(SLOW_OPEN_S / 2)
        await call.answer(status, "", *headers)

    start(context, ScriptedBackend("i-1", [answer]))
    # Without this, the first connection is one that carries no request.
    context.world.record_lengths()
    opened = []
    original = pool.connect

    async def connect(address, timeout_s):
        opened.append(address)
        if len(opened) > 1:
            await asyncio.sleep(SLOW_OPEN_S)
        return await original(address, timeout_s)

    pool.connect = connect
    context.closers.append(lambda: setattr(pool, "connect", original))


@when('two callers send "/look/1" and "/look/2" at the same time')
def two_callers(context):
    async def play():
        await asyncio.gather(
            *(
                context.world.send_request(f"/look/{n}", headers={"X-Request-Id": n})
                for n in ("1", "2")
            )
        )

    run(context, play())


@given("a leaving backend server that asked for a pause")
def paused_and_leaving(context):
    async def report(call):
        await call.answer(200, "{}")

    start(context, ScriptedBackend("i-1", [report], scripts_calls=True))
    state = context.world.state
    state.backend_limits.on_pause_asked(
        state.fleet.view.backends["i-1"], 30.0, boot_s()
    )


@given("a leaving backend server that answers queries with 503 and a pause")
def queries_refused(context):
    async def refuse(call):
        await call.answer(503, "", "Retry-After: 30")

    start(context, ScriptedBackend("i-1", [refuse], scripts_calls=True))


@when("the gateway learns that it leaves")
def learns_departure(context):
    world = context.world

    async def play():
        world.announce(world.engines[0], leaving=True, reclaimable=True)
        tracker = departures.DepartureTracker(world.state, lambda update, now_s: None)
        tracker.on_leaving("i-1")
        await asyncio.gather(*tracker.queries.values())

    run(context, play())


@then("the backend server gets no further call")
def no_call(context):
    assert not context.world.engines[0].calls


@then("the backend server gets 1 query")
def one_query(context):
    assert len(context.world.engines[0].calls) == 1
