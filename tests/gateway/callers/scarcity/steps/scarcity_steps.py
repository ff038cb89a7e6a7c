"""Steps of scarcity.feature."""

from __future__ import annotations

import asyncio
import math
import time

from behave import given, then, when
from loguru import logger

from support.gateway_world import (
    KEY,
    PROMPT_HEADERS,
    ReceivedRequest,
    ScriptedBackend,
    World,
    gateway_settings,
    report_paces,
)
from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends.state import Work
from tanagerturn.gateway.callers import scarcity
from tanagerturn.gateway.fleet import backend_hash
from tanagerturn.gateway.state import make_state
from tanagerturn.platform.dialect import PlatformDialect
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.admission.engine_demand import DemandKey

PEERS = 3


async def stream(call: ReceivedRequest):
    await call.begin_stream()
    await call.event(1)
    await call.end_stream()


@given("a gateway whose engine has {tokens:d} prompt tokens to read")
def gateway(context, tokens):
    context.tokens, context.setups, context.fields = tokens, [], {}


@given("the service reports its pace")
def reports_pace(context):
    context.setups.append(report_paces)


@given("the client account has priority {priority:d}")
def account_priority(context, priority):
    context.fields["tenants"] = [
        {
            "name": "choir",
            "api_keys": [KEY],
            "unit": "token_count",
            "plain_tokens": 10,
            "rate_per_s": 1000,
            "burst": 4000,
            "priority": priority,
        }
    ]


@given(
    "peers that ask for {rate:g} engine seconds a second at priority {priority:d},"
    " {fault}"
)
def faulty_peers(context, rate, priority, fault):
    def setup(world):
        now_s, state = boot_s(), world.state
        if state.shares_price("desk"):
            state.scarcity.price("desk")
        age_s = 10.0 if fault == "10 s ago" else 0.0
        sent_ms = int((state.wall_clock.read(now_s) - age_s) * 1000)
        for number in range(PEERS):
            digest = gpb.Digest(host=f"g{number + 2}", sent_at_ms=sent_ms)
            digest.knows_prices = fault != "of the previous release"
            entry = digest.prices.add(
                service="desk", level=priority, capacity_factor=1.0
            )
            asked = math.nan if "NaN" in fault else rate / PEERS
            entry.demand.add(priority=priority, engine_seconds=asked)
            scarcity.on_digest(state, digest, now_s)

    context.setups.append(setup)


@given("peers that ask for {rate:g} engine seconds a second at priority {priority:d}")
def peers(context, rate, priority):
    faulty_peers(context, rate, priority, "")


@given("all slots of the engine are taken for {wait_s:g} s")
def slots_taken(context, wait_s):
    def setup(world):
        fleet, engine = world.state.fleet, world.engines[0]
        work = [(backend_hash(engine.id), Work(6, 0, 0))]
        fleet.state(engine.id)
        fleet.on_peer_work("g2", work, boot_s())

        def free():
            fleet.on_peer_work("g2", [], boot_s())
            world.relay.wake()

        asyncio.get_running_loop().call_later(wait_s, free)

    context.setups.append(setup)


def run_world(context, action):
    logged = context.logged = []

    async def run():
        world = World(ScriptedBackend("i-1", [stream]), **context.fields)
        await world.start()
        context.world, fleet = world, world.state.fleet
        if context.tokens:
            fleet.state("i-1")
            work = [(backend_hash("i-1"), Work(2, context.tokens, 0))]
            fleet.on_peer_work("g9", work, boot_s())
        for setup in context.setups:
            setup(world)
        started_s = time.monotonic()
        response = await action(world)
        context.took_s = time.monotonic() - started_s
        return response

    sink = logger.add(lambda m: logged.append(m.record), level=0)
    try:
        return asyncio.run(run())
    finally:
        logger.remove(sink)


@when("a caller posts a prompt")
def posts_prompt(context):
    context.response = run_world(
        context, lambda w: w.send_request("/draft/1", headers=PROMPT_HEADERS)
    )


@when("a caller posts a prompt and the price rises meanwhile")
def price_rises(context):
    async def action(world):
        sent = asyncio.create_task(
            world.send_request("/draft/1", headers=PROMPT_HEADERS)
        )
        await asyncio.sleep(0.1)
        assert len(world.relay.capacity_waiters) == 1
        faulty_peers(context, 50.0, 0, "")
        context.setups[-1](world)
        return await sent

    context.response = run_world(context, action)


@then("it gets {status:d}")
def gets(context, status):
    assert context.response.status == status, (context.response, context.logged)


@then("it gets {status:d} with Retry-After within {limit_s:g} s")
def gets_at_once(context, status, limit_s):
    gets(context, status)
    headers = {name.lower() for name in context.response.headers}
    assert "retry-after" in headers, headers
    assert context.took_s < limit_s, context.took_s


@then('the log names the reason "{reason}"')
def log_names(context, reason):
    fields = [r["extra"] for r in context.logged if r["message"] == "refused"]
    assert [each.get("scarcity") for each in fields] == [reason], context.logged


@then("the gateway's digest has no price")
def no_price(context):
    digest = gpb.Digest()
    scarcity.fill_digest(context.world.state, digest, boot_s())
    assert not digest.prices


@then("a peer that gets its digest knows the demand of the caller's account")
def peer_knows(context):
    now_s = boot_s()
    digest = gpb.Digest(host="g1")
    scarcity.fill_digest(context.world.state, digest, now_s)
    parsed = gpb.Digest.FromString(digest.SerializeToString())
    peer = make_state(gateway_settings(), PlatformDialect(1000), now_s, 1.7e9)
    price = peer.scarcity.price("desk")
    scarcity.on_digest(peer, parsed, now_s)
    key = DemandKey(1, scarcity.account_number("choir"))
    assert price.peers.total.get(key, 0.0) > 0.0, price.peers.total


@then("waiting requests of priority 2, 0 and 1 are woken as 0, 1 and 2")
def woken_in_order(context):
    async def action(world):
        woken = []

        async def wait(priority):
            waiter = asyncio.get_running_loop().create_future()
            world.relay.capacity_waiters[waiter] = priority
            await waiter
            woken.append(priority)

        tasks = [asyncio.create_task(wait(priority)) for priority in (2, 0, 1)]
        await asyncio.sleep(0)
        world.relay.wake()
        await asyncio.gather(*tasks)
        return woken

    assert run_world(context, action) == [0, 1, 2]
