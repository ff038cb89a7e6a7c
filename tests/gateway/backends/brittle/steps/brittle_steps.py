"""Steps of brittle.feature; each scenario has its own event loop."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from support.brittle_fleet import SLOTS, WORK_S, BrittleFleet, BrittleSimulation
from tanagerturn.clocks import boot_s
from tanagerturn.serving.backends.messages import BackendId
from tanagerturn.serving.limits.brittle import BrittleServices

SIMULATED_WORK_S = 0.5


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given(
    "{gateways:d} gateways and {engines:d} backend servers that bear {bearable:g} "
    "rejections a second"
)
def fleet_started(context, gateways, engines, bearable):
    context.loop = asyncio.new_event_loop()
    context.fleet = BrittleFleet(gateways, engines, 1, bearable)

    def close():
        context.loop.run_until_complete(context.fleet.close())
        context.loop.close()

    context.closers.append(close)

    async def start():
        await context.fleet.start()
        await context.fleet.load_purchases(10.0, 1.0)

    run(context, start())


@when("they become brittle for {duration_s:g} s under {rate:g} purchases a second")
def become_brittle(context, duration_s, rate):
    fleet = context.fleet
    fleet.brittle_since_s = boot_s()
    context.duration_s = duration_s
    run(context, fleet.load_purchases(rate, duration_s))


@then("at most {most:d} of them fall over")
def falls(context, most):
    count = len(context.fleet.crashes_s)
    assert count <= most, f"{count} falls, {context.fleet.rejection_count} rejections"


@then("they run at least half of what they can")
def half_used(context):
    served = sum(t.response.status == 200 for t in context.fleet.tries)
    possible = len(context.fleet.engines) * SLOTS / WORK_S * context.duration_s
    assert served >= 0.5 * possible, f"{served} of {possible:.0f}"


@given("{count:d} gateways before {slots:d} slots, of which {room:d} have room")
def simulated(context, count, slots, room):
    context.simulation = BrittleSimulation(count, slots, room, seed=1)


@when("requests arrive at three times what it serves for {duration_s:g} s")
def arrive(context, duration_s):
    simulation = context.simulation
    context.possible = simulation.slots / SIMULATED_WORK_S * duration_s
    rate_per_s = 3 * simulation.slots / SIMULATED_WORK_S
    simulation.run(rate_per_s, SIMULATED_WORK_S, duration_s)


@then("it rejects at most {most:d} in any second")
def rejects(context, most):
    rejected = context.simulation.most_rejections()
    assert rejected <= most, rejected


@then("it serves at least {share:g} of what it can")
def serves(context, share):
    served = context.simulation.served / context.possible
    assert served >= share, f"{served:.2f}"


@then("own slots of 9, 93 and 200 gateways add up to 6 and 64")
def slots_add_up(context):
    for count in (9, 93, 200):
        hosts = [f"g{number}" for number in range(count)]
        for slots in (6, 64):
            total = 0
            for host in hosts:
                services = BrittleServices(host)
                services.set_gateways(hosts)
                total += services.own_slots(BackendId("i-1"), slots)
            assert total == slots, (count, slots, total)


@given("a gateway that knows that a service is brittle")
def brittle_known(context):
    context.services = BrittleServices("g1")
    context.services.on_response("desk", 3.0, 9.0, 10.0)


@when("a response to an earlier request does not state it")
def earlier_response(context):
    context.services.on_response("desk", None, 9.5, 10.5)


@when("a response to a later request does not state it")
def later_response(context):
    context.services.on_response("desk", None, 10.6, 10.8)


@then("the service is brittle")
def is_brittle(context):
    assert context.services.is_brittle("desk", 11.0)


@then("the service is not brittle")
def is_not_brittle(context):
    assert not context.services.is_brittle("desk", 11.0)
