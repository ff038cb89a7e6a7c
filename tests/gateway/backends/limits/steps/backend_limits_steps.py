"""Steps of backend_limits.feature; each scenario has its own event loop."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from support.backend_limit_cluster import BACKEND, BackendLimitCluster
from support.engine_fleet import EngineFleet
from support.limit_cluster import Faults
from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends.limits import BackendLimits

WINDOW_S = 4.0
"""Length in seconds of the windows in which a limit binds."""

CALM_S = 2.0
"""Time in seconds with requests before the first limit."""

RESTART_INTERVAL_S = 3.0


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given(
    "{gateways:d} gateways and {engines:d} engines that take {rate:g} requests a second"
)
def fleet_started(context, gateways, engines, rate):
    context.loop = asyncio.new_event_loop()
    context.fleet, context.rate_per_s = EngineFleet(gateways, engines, seed=1), rate

    def close():
        context.loop.run_until_complete(context.fleet.close())
        context.loop.close()

    context.closers.append(close)

    async def start():
        await context.fleet.start()
        await context.fleet.load(0.0, rate, CALM_S)

    run(context, start())


def name_limit(context, limit_per_s, duration_s):
    fleet = context.fleet
    fleet.engines[0].limit_per_s = limit_per_s
    context.named_s = boot_s()
    run(context, fleet.load(0.0, context.rate_per_s, duration_s))
    context.end_s = boot_s()


@when("the first engine names a limit of {limit:g} for {duration_s:g} s")
def names_limit(context, limit, duration_s):
    name_limit(context, limit, duration_s)


@when("the first engine names no limit for {duration_s:g} s")
def names_no_limit(context, duration_s):
    name_limit(context, None, duration_s)


@when(
    "the first engine names a limit of {limit:g} for {duration_s:g} s while gateways "
    "restart in turn"
)
def names_limit_with_restarts(context, limit, duration_s):
    cluster = context.fleet.cluster

    async def restart_in_turn():
        for host in ("g6", "g5", "g4", "g2"):
            await asyncio.sleep(RESTART_INTERVAL_S)
            await cluster.kill(host)
            await asyncio.sleep(0.5)
            await cluster.start(int(host[1:]), is_first_start=False)

    context.fleet.loop_task = context.loop.create_task(restart_in_turn())
    name_limit(context, limit, duration_s)


@then(
    "from {after_s:g} s on it gets at most {most:d} requests in any 4 s, and at least "
    "{least:d} in all"
)
def within_limit(context, after_s, most, least):
    engine = context.fleet.engines[0]
    from_s = context.named_s + after_s
    arrivals = engine.most_arrivals(from_s, context.end_s, WINDOW_S)
    assert arrivals <= most, f"{arrivals} requests in {WINDOW_S} s"
    total = sum(from_s <= s < context.end_s for s in engine.arrivals_s)
    assert total >= least, f"{total} requests in all"


@then("from {after_s:g} s on it gets at least {least:d} requests in some 4 s")
def gets_share(context, after_s, least):
    engine = context.fleet.engines[0]
    from_s = context.named_s + after_s
    arrivals = engine.most_arrivals(from_s, context.end_s, WINDOW_S)
    assert arrivals >= least, f"{arrivals} requests in {WINDOW_S} s"


@then("at least {percent:d} in 100 requests are served meanwhile")
def served(context, percent):
    sent = [r for r in context.fleet.sound if r.sent_s >= context.named_s]
    share = sum(r.has_begun for r in sent) / len(sent)
    assert share >= percent / 100, f"{share:.2f} of {len(sent)}"


CIRCUMSTANCES = {
    "in calm": {},
    "whose frames are late": {"late_fraction": 0.2, "max_delay_s": 0.3},
    "that do not see a few of the peers": {"unseen_fraction": 0.03},
    "whose owner is stopped for 4 s": {"stopped_s": (4.0, 8.0)},
}


@given("{count:d} gateways {circumstance} and a backend server that names {limit:g}")
def simulated(context, count, circumstance, limit):
    faults = Faults(**CIRCUMSTANCES[circumstance])
    context.cluster = BackendLimitCluster(count, faults, 1, limit)


@when(
    "requests arrive at all of them at {times:g} times the limit for {duration_s:g} s"
)
def requests_arrive(context, times, duration_s):
    context.duration_s = duration_s
    context.cluster.run(times, duration_s)


@then("the backend server gets at most what it bears in any 4 s, and half of its limit")
def borne(context):
    cluster = context.cluster
    limit, tolerance = cluster.limit, cluster.tolerance
    allowed = limit.rate_per_s * tolerance.window_s + tolerance.excess_units(limit)
    highest = cluster.highest_window_units()
    assert highest <= allowed, f"{highest} requests, {allowed} allowed"
    total = len(cluster.admitted)
    assert total >= 0.5 * limit.rate_per_s * context.duration_s, total


@given("two gateways that know a limit of {limit:g} from a response at {at_s:g} s")
def two_gateways(context, limit, at_s):
    context.pair = [BackendLimits("g1"), BackendLimits("g2")]
    context.earlier_reports = []
    respond(context, limit, at_s - 0.5, at_s)


def respond(context, limit, sent_s, at_s):
    """Let the first gateway receive a response, and report to the second."""
    first, second = context.pair
    first.on_response(BACKEND, limit, sent_s, at_s)
    report = first.encode(first.named.statements, at_s + 0.1)
    second.on_reported(report.limits, at_s + 0.1)
    context.earlier_reports.append((report, at_s + 0.1))


@when("a response at {at_s:g} s to a request sent at {sent_s:g} s names {limit}")
def response_names(context, at_s, sent_s, limit):
    respond(context, None if limit == "none" else float(limit), sent_s, at_s)


def known_rates(context):
    return [
        [limit.rate_per_s for limit in each.limits.owned.limits_by_account.values()]
        for each in context.pair
    ]


@then("both know a limit of {limit:g}")
def both_know(context, limit):
    assert known_rates(context) == [[limit], [limit]]


@then("both know no limit")
def both_know_none(context):
    assert known_rates(context) == [[], []]


@then("reports of the earlier limits change nothing")
def late_reports(context):
    *earlier, (_, now_s) = context.earlier_reports
    for report, at_s in earlier:
        for each in report.limits:
            # The report is read late, and states its age at the time of its sending.
            each.named_ago_ms += round(1000 * (now_s - at_s))
        context.pair[1].on_reported(report.limits, now_s)
    both_know_none(context)


@then(
    "the limit is kept while the backend server is known, and forgotten {after_s:g} s "
    "after"
)
def forgotten(context, after_s):
    limits = context.pair[0]
    limits.expire([BACKEND], 10.0 + 100 * after_s)
    both_know(context, 2.0)
    for each in context.pair:
        each.expire([], 10.0 + after_s - 0.2)
    both_know(context, 2.0)
    for each in context.pair:
        each.expire([], 10.0 + after_s + 0.1)
    both_know_none(context)
