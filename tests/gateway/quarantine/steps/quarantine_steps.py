"""Steps of quarantine.feature; each scenario has its own event loop."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from support.engine_fleet import BAD_PART, EngineFleet
from tanagerturn.clocks import boot_s

CONTACT_S = 3.0
"""Time in seconds after which gateways in touch have to act on what any of them saw."""

SOUND_PER_S = 12.0
BAD_PER_S = 4.0
OUTAGE_SOUND_PER_S = 20.0


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given("{gateways:d} gateways and {engines:d} engines that crash under one part")
def fleet_started(context, gateways, engines):
    context.loop = asyncio.new_event_loop()
    context.fleet = EngineFleet(gateways, engines, seed=1)

    def close():
        context.loop.run_until_complete(context.fleet.close())
        context.loop.close()

    context.closers.append(close)
    run(context, context.fleet.start())


@when("sound requests arrive for {duration_s:g} s")
def sound_requests(context, duration_s):
    context.calm_from_s = boot_s()
    run(context, context.fleet.load(0.0, SOUND_PER_S, duration_s))


@when(
    "requests with the part arrive beside sound ones until {after_s:g} s after the "
    "fifth crash"
)
def both_kinds(context, after_s):
    fleet = context.fleet

    async def load():
        context.calm_to_s = boot_s()
        while len(fleet.crashes_s) < 5:
            await fleet.load(BAD_PER_S, SOUND_PER_S, 0.5)
            assert boot_s() < context.calm_to_s + 20.0, "fewer than five crashes"
        fifth_s = sorted(fleet.crashes_s)[4]
        await fleet.load(BAD_PER_S, SOUND_PER_S, fifth_s + after_s - boot_s())
        context.end_s = boot_s()
        await asyncio.sleep(1.0)

    run(context, load())


@then(
    "at most {count:d} requests with the part reach engines later than {after_s:g} s "
    "after the fifth crash"
)
def few_arrivals(context, count, after_s):
    fleet = context.fleet
    fifth_s = sorted(fleet.crashes_s)[4]
    arrivals = fleet.bad_arrivals_after(fifth_s + after_s)
    assert arrivals <= count, f"{arrivals} arrivals, {len(fleet.crashes_s)} crashes"


@then(
    "from {after_s:g} s after the fifth crash sound requests begin at least half as "
    "often as before"
)
def sound_begin(context, after_s):
    fleet = context.fleet
    calm = fleet.begun_share(context.calm_from_s, context.calm_to_s)
    fifth_s = sorted(fleet.crashes_s)[4]
    share = fleet.begun_share(fifth_s + after_s, context.end_s)
    assert share >= 0.5 * calm, f"{share:.2f} after the crashes, {calm:.2f} before"


@then("the last request with the part was rejected as not executed")
def last_rejected(context):
    assert context.fleet.bad_answers[-1].status == 503, context.fleet.bad_answers[-1]


@when("requests with the part arrive beside sound ones until it is quarantined")
def until_quarantined(context):
    fleet = context.fleet

    def is_quarantined() -> bool:
        gateways = fleet.cluster.gateways.values()
        return all(BAD_PART in g.state.quarantine.quarantined for g in gateways)

    async def load():
        await fleet.load(0.0, SOUND_PER_S, 1.0)
        async with asyncio.timeout(20.0):
            while not is_quarantined():
                await fleet.load(BAD_PER_S, SOUND_PER_S, 0.5)

    run(context, load())


@then("an engine that ran before the first crash is left")
def engine_is_left(context):
    # Without one, the part would be tried again soon after the last crash.
    assert any(engine.boots == 1 for engine in context.fleet.engines)


@when('"{host}" restarts and runs for {duration_s:g} s')
def restarts(context, host, duration_s):
    async def restart():
        cluster = context.fleet.cluster
        await cluster.kill(host)
        await cluster.start(int(host[1:]), is_first_start=False)
        await asyncio.sleep(duration_s)

    run(context, restart())


@when("all gateways are killed {after_s:g} s later, and restart")
def all_restart(context, after_s):
    async def restart():
        cluster = context.fleet.cluster
        await asyncio.sleep(after_s)
        hosts = sorted(cluster.gateways)
        for host in hosts:
            await cluster.kill(host)
        for host in hosts:
            await cluster.start(int(host[1:]), is_first_start=False)
        await asyncio.sleep(CONTACT_S)

    run(context, restart())


@then('"{host}" rejects a request with the part and serves a sound one')
def rejects_and_serves(context, host):
    fleet = context.fleet
    rejected = run(context, fleet.send(is_bad=True, host=host))
    assert rejected.status == 503, rejected
    assert float(rejected.headers["retry-after"]) >= 1.0, rejected
    served = run(context, fleet.send(is_bad=False, host=host))
    assert served.status == 200, served
    assert served.is_whole, served


@when("requests with the part arrive one by one until two engines have crashed")
def one_by_one(context):
    run(context, context.fleet.load(0.0, SOUND_PER_S, 1.0))
    run(context, context.fleet.load_until_crashes(2, 20.0))


@then(
    "the next request with the part reaches one engine and is not answered completely"
)
def one_engine(context):
    fleet = context.fleet
    arrivals = len(fleet.bad_arrivals_s)
    answer = run(context, fleet.send(is_bad=True))
    # The first event reaches the caller before the engine crashes.
    assert answer.status == 502 or not answer.is_whole, answer
    assert len(fleet.bad_arrivals_s) == arrivals + 1, fleet.bad_arrivals_s


@given("{gateways:d} gateways and {engines:d} engines without a crashing part")
def sound_fleet(context, gateways, engines):
    fleet_started(context, gateways, engines)


@when("{state}, and all engines end within 1.2 s and are back after {down_s:g} s")
def engines_end(context, state, down_s):
    fleet = context.fleet
    fleet.restart_s = down_s

    async def end_all():
        if state == "requests ran well before":
            await fleet.load(0.0, OUTAGE_SOUND_PER_S, 2.0)
        fleet.first_event_s = 2.0
        load = asyncio.create_task(fleet.load(0.0, OUTAGE_SOUND_PER_S, down_s + 8.0))
        await asyncio.sleep(1.0)
        context.first_back_s = boot_s() + down_s
        for engine in fleet.engines:
            engine.crash()
            await asyncio.sleep(0.4)
        fleet.first_event_s = 0.0
        await load
        context.end_s = boot_s()
        await asyncio.sleep(1.0)

    run(context, end_all())


@then(
    "from {after_s:g} s after the first engine is back at least {share:g} of the "
    "requests begin"
)
def requests_begin(context, after_s, share):
    begun = context.fleet.begun_share(context.first_back_s + after_s, context.end_s)
    assert begun >= share, f"{begun:.3f}"
