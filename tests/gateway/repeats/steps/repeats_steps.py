"""Steps of repeats.feature; each scenario has its own event loop."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from support.engine_fleet import RESTART_S
from support.repeat_fleet import RepeatFleet
from tanagerturn.clocks import boot_s

CONTACT_S = 3.0
"""Time in seconds after which gateways in touch have to act on what any of them saw."""

SOUND_PER_S = 12.0


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given("{gateways:d} gateways and {engines:d} engines that crash under one {kind}")
def fleet_started(context, gateways, engines, kind):
    context.loop = asyncio.new_event_loop()
    context.fleet = RepeatFleet(gateways, engines, kind, seed=1)

    def close():
        context.loop.run_until_complete(context.fleet.close())
        context.loop.close()

    context.closers.append(close)
    run(context, context.fleet.start())


@given("{gateways:d} gateways and {engines:d} engines, and a sound {kind}")
def sound_fleet_started(context, gateways, engines, kind):
    fleet_started(context, gateways, engines, kind)
    context.fleet.crashes_engines = False


@given("crashed engines are back at once")
def back_at_once(context):
    context.fleet.keeps_listeners = True


@when("sound requests arrive for {duration_s:g} s")
def sound_requests(context, duration_s):
    context.calm_from_s = boot_s()
    run(context, context.fleet.load(0.0, SOUND_PER_S, duration_s))
    context.calm_to_s = boot_s()


@when(
    "the request comes again {rate:g} times a second beside sound ones until "
    "{after_s:g} s after the third crash"
)
def comes_again(context, rate, after_s):
    fleet = context.fleet

    async def load():
        await fleet.load_until(3, rate, SOUND_PER_S)
        third_s = sorted(fleet.crashes_s)[2]
        await fleet.load(rate, SOUND_PER_S, third_s + after_s - boot_s())
        context.end_s = boot_s()
        await asyncio.sleep(1.0)

    run(context, load())


@then(
    "the request reaches engines at most {count:d} times later than {after_s:g} s "
    "after the third crash"
)
def few_arrivals(context, count, after_s):
    fleet = context.fleet
    third_s = sorted(fleet.crashes_s)[2]
    arrivals = fleet.bad_arrivals_after(third_s + after_s)
    assert arrivals <= count, f"{arrivals} arrivals, {len(fleet.crashes_s)} crashes"


@then(
    "from {after_s:g} s after the third crash sound requests begin at least {ratio:g} "
    "times as often as before"
)
def sound_begin(context, after_s, ratio):
    fleet = context.fleet
    calm = fleet.begun_share(context.calm_from_s, context.calm_to_s)
    third_s = sorted(fleet.crashes_s)[2]
    share = fleet.begun_share(third_s + after_s, context.end_s)
    assert share >= ratio * calm, f"{share:.2f} after the crashes, {calm:.2f} before"


@then('a repeated sound request beside it is served at "{host}"')
def poll_served(context, host):
    fleet = context.fleet
    answer = run(context, fleet.send_call(fleet.sound_calls()[0], host))
    assert answer.status == 200, answer
    assert answer.is_whole, answer


@then("the last attempt was rejected as not executed")
def last_rejected(context):
    assert context.fleet.bad_answers[-1].status == 503, context.fleet.bad_answers[-1]


@when(
    "the request comes again, one attempt at a time, until {count:d} engines have "
    "crashed"
)
def one_by_one(context, count):
    run(context, context.fleet.load(0.0, SOUND_PER_S, 1.0))
    run(context, context.fleet.load_until_crashes(count, 20.0))


@when("the request comes once while all engines but one are down")
def comes_once(context):
    fleet = context.fleet
    run(context, fleet.load(0.0, SOUND_PER_S, 1.0))
    for engine in fleet.engines[1:]:
        engine.stop()
    run(context, fleet.send(is_bad=True))
    assert len(fleet.crashes_s) == 1, fleet.crashes_s


@when("the engines are back")
def engines_back(context):
    fleet = context.fleet

    async def start_all():
        for engine in fleet.engines[1:]:
            await engine.start()
            await engine.announce()
        await fleet.wait(RESTART_S)
        await fleet.cluster.wait_until(fleet.knows_all_engines)

    run(context, start_all())


@then("its next attempt reaches one engine")
def one_engine(context):
    fleet = context.fleet
    arrivals = len(fleet.bad_arrivals_s)
    answer = run(context, fleet.send(is_bad=True))
    # The first event of a stream reaches the caller before the engine crashes.
    assert answer.status == 502 or not answer.is_whole, answer
    assert len(fleet.bad_arrivals_s) == arrivals + 1, fleet.bad_arrivals_s


@when(
    "the request comes again {rate:g} times a second beside sound ones until {count:d} "
    "engines have crashed"
)
def until_crashes(context, rate, count):
    run(context, context.fleet.load_until(count, rate, SOUND_PER_S))


@when("all rest for {duration_s:g} s")
def rest(context, duration_s):
    run(context, context.fleet.wait(duration_s))


@when("{hosts} are killed, restart and run for {duration_s:g} s")
def restart(context, hosts, duration_s):
    fleet = context.fleet
    known = sorted(fleet.cluster.gateways)
    restarted = {"the last gateway": known[-1:], "all gateways": known}[hosts]

    async def restart_all():
        await fleet.restart(restarted)
        await fleet.wait(duration_s)

    run(context, restart_all())


@then("each gateway rejects the request and serves sound ones")
def rejects_and_serves(context):
    fleet = context.fleet
    for host in sorted(fleet.cluster.gateways):
        rejected = run(context, fleet.send(is_bad=True, host=host))
        assert rejected.status == 503, (host, rejected)
        assert float(rejected.headers["retry-after"]) >= 1.0, rejected
        for call in fleet.sound_calls():
            served = run(context, fleet.send_call(call, host))
            assert served.status == 200, (host, call, served)
            assert served.is_whole, (host, call, served)


@when("the request comes again {rate:g} times a second while all engines end 3 times")
def engines_end(context, rate):
    fleet = context.fleet

    async def end_all():
        for _ in range(3):
            load = asyncio.create_task(fleet.load(rate, SOUND_PER_S, 1.0))
            await asyncio.sleep(0.5)
            for engine in fleet.engines:
                # An engine ends with the next request that it runs.
                engine.ends_at_next_request = True
            await load
            await asyncio.sleep(RESTART_S + 0.5)

    run(context, end_all())


@then(
    "the request is served at all gateways within {limit_s:g} s after the engines are "
    "back"
)
def served_again(context, limit_s):
    fleet = context.fleet
    end_s = boot_s() + limit_s

    async def is_served(host):
        while boot_s() < end_s:
            answer = await fleet.send(is_bad=True, host=host)
            if answer.status == 200 and answer.is_whole:
                return True
            await asyncio.sleep(0.2)
        return False

    async def ask_all():
        hosts = sorted(fleet.cluster.gateways)
        served = await asyncio.gather(*(is_served(host) for host in hosts))
        return dict(zip(hosts, served, strict=True))

    served = run(context, ask_all())
    assert all(served.values()), served
