"""Steps of paths.feature; each scenario has its own event loop."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from support.gateway_world import HOST, KEY
from support.partition import Cut
from support.partition_fleet import EVENT_S, PartitionFleet
from tanagerturn.clocks import boot_s

CALM_S = 1.5
"""Time in seconds with requests before a cut."""

RATE_PER_S = 8.0
"""Requests a second at each gateway."""

KILL_INTERVAL_S = 2.5


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given("{gateways:d} gateways and {engines:d} engines on a network")
def fleet_started(context, gateways, engines):
    context.loop = asyncio.new_event_loop()
    context.fleet = PartitionFleet(gateways, engines, seed=1)

    def close():
        context.loop.run_until_complete(context.fleet.close())
        context.loop.close()

    context.closers.append(close)

    async def start():
        await context.fleet.start()
        await context.fleet.call_all(RATE_PER_S, CALM_S)

    run(context, start())


def cut(context, count, how, duration_s, disturb=None):
    """Cut the last gateways off while callers call all of them."""
    fleet = context.fleet
    hosts = sorted(fleet.cluster.gateways)
    context.cut_hosts = hosts[len(hosts) - count :]
    context.others = hosts[: len(hosts) - count]

    async def play():
        fleet.cut(context.cut_hosts, how)
        context.cut_s = boot_s()
        if disturb is not None:
            fleet.add_task(disturb())
        await fleet.call_all(RATE_PER_S, duration_s)
        context.end_s = boot_s()
        await asyncio.sleep(fleet.deadline_ms / 1000 + 0.2)

    run(context, play())


@when(
    "{count:d} gateways lose their paths to all engines for {duration_s:g} s ({how:w})"
)
def gateways_cut(context, count, duration_s, how):
    cut(context, count, Cut(how), duration_s)


@when("all gateways lose their paths to all engines for {duration_s:g} s ({how:w})")
def all_cut(context, duration_s, how):
    cut(context, len(context.fleet.cluster.gateways), Cut(how), duration_s)


@when(
    "{count:d} gateways lose their paths to all engines for {duration_s:g} s ({how:w}) "
    "and restart"
)
def gateways_cut_and_restarted(context, count, duration_s, how):
    cluster = context.fleet.cluster

    async def restart():
        for host in context.cut_hosts:
            await asyncio.sleep(1.0)
            await cluster.kill(host)
            await cluster.start(int(host[1:]), is_first_start=False)

    cut(context, count, Cut(how), duration_s, restart)


@when(
    "{count:d} gateways are cut off for {duration_s:g} s ({how:w}) while two others "
    "are killed in turn"
)
def peers_killed(context, count, duration_s, how):
    cluster = context.fleet.cluster

    async def kill_in_turn():
        for host in context.others[1:]:
            await asyncio.sleep(KILL_INTERVAL_S)
            await cluster.kill(host)
            await asyncio.sleep(0.5)
            await cluster.start(int(host[1:]), is_first_start=False)

    cut(context, count, Cut(how), duration_s, kill_in_turn)


@then(
    "from {after_s:g} s on at least {percent:d} in 100 first attempts at them are "
    "served"
)
def served_at_cut_hosts(context, after_s, percent):
    from_s = context.cut_s + after_s
    share = context.fleet.served_share(context.cut_hosts, from_s, context.end_s)
    assert share >= percent / 100, f"{share:.2f}"


@then("at least {percent:d} in 100 first attempts at the others are served meanwhile")
def served_at_others(context, percent):
    share = context.fleet.served_share(context.others, context.cut_s, context.end_s)
    assert share >= percent / 100, f"{share:.2f}"


@then("no purchase runs twice, and none that is refused with 503 runs")
def purchases_run_once(context):
    assert not context.fleet.purchases_run_twice()
    assert not context.fleet.false_refusals()


@then(
    "from {after_s:g} s after the cut on they send all requests to engines themselves"
)
def own_paths_used(context, after_s):
    fleet = context.fleet

    async def play():
        fleet.network.heal()
        await fleet.call_all(RATE_PER_S, after_s)
        healed_s = boot_s()
        before = forwarded(fleet, context.cut_hosts)
        await fleet.call_all(RATE_PER_S, 2.0)
        await asyncio.sleep(1.0)
        return healed_s, forwarded(fleet, context.cut_hosts) - before

    healed_s, detoured = run(context, play())
    assert detoured == 0, f"{detoured} requests went through peers"
    share = fleet.served_share(context.cut_hosts, healed_s, boot_s())
    assert share == 1.0, f"{share:.2f}"


def forwarded(fleet, hosts):
    """Return how many requests gateways have served through peers."""
    return sum(
        fleet.cluster.gateways[host].relay.detours.forwarded_count for host in hosts
    )


@then("no gateway has evidence of a crash")
def no_crashes(context):
    for host, gateway in context.fleet.cluster.gateways.items():
        assert not gateway.state.crash_log.seen_s, host


@when("a caller leaves its stream at a gateway that is cut off")
def caller_leaves(context):
    fleet = context.fleet
    fleet.event_count = 150

    async def play():
        fleet.cut(["g6"], Cut.REFUSE)
        await fleet.call_all(RATE_PER_S, 1.0)
        address = fleet.cluster.gateways["g6"].settings.callers_address
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        context.attempt = "leaver"
        writer.write(
            f"POST /notes/9 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: leaver\r\n"
            f"X-Deadline-Ms: 4000\r\nAuthorization: Bearer {KEY}\r\nX-Model: m\r\n"
            "X-Token-Usage: 900,24\r\nX-Prefix-Hash: ffff:900\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        async with asyncio.timeout(2.0):
            await reader.readuntil(b"id: 3\n")
        context.written = fleet.written["leaver"]
        writer.transport.abort()
        await asyncio.sleep(1.5)

    run(context, play())


@then("the engine writes at most {most_s:g} s of events after that")
def engine_stops(context, most_s):
    fleet = context.fleet
    written = fleet.written["leaver"] - context.written
    assert written <= most_s / EVENT_S, f"{written} events"
    assert fleet.runs["leaver"] == 1, fleet.runs["leaver"]


@then("from {after_s:g} s on each first attempt gets 503 within {most_s:g} s")
def refused_at_once(context, after_s, most_s):
    tried = [t for t in context.fleet.tries if t.sent_s >= context.cut_s + after_s]
    assert len(tried) >= 20, len(tried)
    late = [t for t in tried if t.response.status != 503 or t.took_s > most_s]
    assert not late, [(t.response.status, round(t.took_s, 2)) for t in late]
