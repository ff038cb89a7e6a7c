"""Steps of cluster.feature; each scenario has its own event loop."""

from __future__ import annotations

import asyncio

import orjson
from behave import given, then, when

from support.host_disks import SLOW_SYNC_S, SYNC_S
from support.rollout_fleet import BOUND, OLD, TARGET, Arrivals, Fault, RolloutFleet
from tanagerturn.clocks import boot_s

RATE_PER_S = 60.0
"""Requests per second of all callers."""

FAULTS = {
    "good": Fault(),
    "failing": Fault(0.5),
    "slow": Fault(0.6, is_slow=True),
    "failing later": Fault(0.5, after_s=3.0),
    "slow to buy": Fault(0.8, is_slow=True, path="/buy/"),
}

SPREAD_S = 0.3
"""Time in seconds until all gateways have applied a new state, on a busy machine."""


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def start(context, gateways, without=(), sync_s=SYNC_S):
    context.loop = asyncio.new_event_loop()
    context.fleet = RolloutFleet(gateways, 1, without, sync_s)

    def close():
        context.loop.run_until_complete(context.fleet.close())
        context.loop.close()

    context.closers.append(close)

    async def begin():
        await context.fleet.start()
        # Versions are looked up once before they get requests.
        await context.fleet.cluster.wait_until(
            lambda: all(
                g.rollouts is None or g.rollouts.is_ready()
                for g in context.fleet.cluster.gateways.values()
            )
        )

    run(context, begin())


async def wait_for_support(fleet):
    """Wait until each gateway knows that all gateways and voters support rollouts.

    An order that comes earlier is refused with 503, after which operators ask again.
    """
    gateways = fleet.cluster.gateways.values()
    await fleet.cluster.wait_until(
        lambda: not any(g.rollouts.unsupporting(boot_s()) for g in gateways)
    )


@given("{gateways:d} gateways with rollouts and backend servers of v1")
def fleet_started(context, gateways):
    start(context, gateways)
    run(context, wait_for_support(context.fleet))


@given("{gateways:d} gateways with rollouts, slow disks and backend servers of v1")
def slow_fleet_started(context, gateways):
    start(context, gateways, sync_s=SLOW_SYNC_S)
    run(context, wait_for_support(context.fleet))


@given(
    "{gateways:d} gateways of which {hosts} have no rollouts, and backend servers of v1"
)
def mixed_fleet_started(context, gateways, hosts):
    start(context, gateways, tuple(int(host[1:]) for host in hosts.split(",")))


@when(
    "v2, whose responses are {quality}, is ordered in {duration_s:d} s, and "
    "{later_s:d} s later {event}"
)
def rollout_runs(context, quality, duration_s, later_s, event):
    fleet = context.fleet
    fleet.fault = FAULTS[quality]

    async def disturb():
        await asyncio.sleep(later_s)
        if event == "the holder is killed":
            holder = fleet.holder()
            if holder:
                await fleet.restart([holder])
        elif event == "all gateways are restarted":
            await fleet.restart(list(fleet.cluster.gateways))

    run(context, roll_out(context, duration_s, disturb()))


async def roll_out(context, duration_s, disturbance=None):
    fleet = context.fleet
    fleet.add_task(fleet.callers(RATE_PER_S))
    await asyncio.sleep(1.0)
    answer = await fleet.order(duration_s)
    assert answer.status == 200, answer
    disturbing = asyncio.create_task(disturbance) if disturbance else None
    context.state, context.ended_s = await fleet.watch(duration_s + 1.0)
    context.known_s, context.duration_s = boot_s(), duration_s
    if disturbing is not None:
        await disturbing
    end_s = fleet.ordered_s + duration_s
    await asyncio.sleep(max(1.5, end_s - boot_s()))


@given("{host} is cut off from its peers")
def cut_off(context, host):
    context.fleet.cut_off(host)


@then("v1 got requests of {old_hosts}, and v2 of {target_hosts}")
def hosts_of_versions(context, old_hosts, target_hosts):
    arrivals = context.fleet.arrivals
    assert arrivals[OLD].hosts == set(old_hosts.split(",")), arrivals[OLD].hosts
    hosts = arrivals[TARGET].hosts
    assert hosts == set(target_hosts.split(",")), hosts


@then("the rollout is {state} in time")
def rollout_ended(context, state):
    assert context.state == state, context.state
    assert context.ended_s <= context.duration_s, context.ended_s


@then("the exposure of v2 is within its bound")
def exposure_bounded(context):
    arrivals = context.fleet.arrivals
    target = arrivals.get(TARGET, Arrivals())
    if context.state == "completed":
        return
    from_s = context.fleet.ordered_s
    total = sum(at_s >= from_s for a in arrivals.values() for at_s in a.at_s)
    limit = BOUND.share * total + BOUND.allowance
    assert len(target.at_s) <= limit, (len(target.at_s), limit)
    if len(target.bad_s) >= 50:
        last_s = target.bad_s[49] + BOUND.rollback_ms / 1000
        assert max(target.at_s) <= last_s


@then("no request runs on a version that is not allowed")
def versions_allowed(context):
    ended = TARGET if context.state == "rolled_back" else OLD
    after_s = context.known_s + SPREAD_S
    late = [s for s in context.fleet.arrivals[ended].at_s if s > after_s]
    assert not late, [s - context.known_s for s in late]
    assert min(context.fleet.arrivals[TARGET].at_s) > context.fleet.ordered_s


@then("at least {share:g} of the requests are served")
def requests_served(context, share):
    counts = context.fleet.statuses()
    assert counts.get(200, 0) >= share * sum(counts.values()), counts


@when("v2 is ordered in {duration_s:d} s while purchases take {work_s:g} s each")
def slow_purchases(context, duration_s, work_s):
    context.fleet.work_s["buy"] = work_s
    context.fleet.deadline_ms = 8_000
    run(context, roll_out(context, duration_s))


@then("each purchase ran once, and was answered or got 502")
def purchases_ran_once(context):
    counts = context.fleet.statuses()
    assert set(counts) <= {200, 502}, counts
    ran = [path for path in context.fleet.paths if path.startswith("/buy/")]
    assert len(ran) == len(set(ran)) > 100, len(ran)


@then("less than {share:g} of the requests are not answered")
def most_answered(context, share):
    counts = context.fleet.statuses()
    assert counts[200] > (1 - share) * sum(counts.values()), counts


@then("these calls are answered")
def calls_answered(context):
    fleet = context.fleet
    for row in context.table:
        answer = run(
            context, fleet.call(row["method"], row["path"], row["body"].encode())
        )
        assert answer.status == int(row["status"]), (row, answer)
    assert orjson.loads(answer.body) == {"state": "active", "target": "v2"}


@then("without a majority of the state group, orders and reads are answered with 503")
def unsure_without_majority(context):
    fleet = context.fleet

    async def ask():
        for host in ("g2", "g3"):
            await fleet.cluster.kill(host)
        order = {"service": "desk", "target": "v2", "duration_s": 60}
        for host in ("g1", "g4"):
            posted = await fleet.call("POST", "/v1/rollouts", order, host)
            read = await fleet.call("GET", "/v1/rollouts/desk", host=host)
            unknown = await fleet.call("GET", "/v1/rollouts/shelf", host=host)
            assert (posted.status, read.status, unknown.status) == (503, 503, 503)

    run(context, ask())


@when("v2 is ordered")
def ordered(context):
    fleet = context.fleet

    async def order():
        fleet.add_task(fleet.callers(RATE_PER_S))
        body = {"service": "desk", "target": TARGET, "duration_s": 12}
        hosts = [h for h, g in fleet.cluster.gateways.items() if g.rollouts]
        host = hosts[0] if hosts else "g1"
        context.answer = await fleet.call("POST", "/v1/rollouts", body, host)
        await asyncio.sleep(1.0)

    run(context, order())


@then("the order is answered with {status:d}, and all requests run on v1")
def order_refused(context, status):
    assert context.answer.status == status, context.answer
    assert set(context.fleet.arrivals) == {OLD}
    counts = context.fleet.statuses()
    assert set(counts) == {200}, counts


@then("digests of gateways without rollouts say nothing of them")
def digests_unchanged(context):
    for gateway in context.fleet.cluster.gateways.values():
        digest = gateway.mesh.last_digest
        assert digest.knows_rollouts == (gateway.settings.rollouts is not None)
        assert not digest.HasField("rollouts")
        assert not digest.HasField("rollout_reports")
