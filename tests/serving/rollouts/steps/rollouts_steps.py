"""Steps of rollouts.feature."""

from __future__ import annotations

from random import Random

from behave import given, then

from support.environment import long_run
from support.rollout_schedule import RolloutSimulation, Scenario, draw_scenario
from tanagerturn.serving.rollouts._reports import Reports
from tanagerturn.serving.rollouts.evidence import Cell, CellKey, VersionEvidence, bucket
from tanagerturn.serving.rollouts.messages import (
    ExposureBound,
    Permission,
    RolloutOrder,
    RolloutState,
    Side,
)
from tanagerturn.serving.rollouts.splitter import Splitter
from tanagerturn.serving.rollouts.verdict import WINDOW_MS, VersionTest

LONG_FACTOR = 50
"""Factor on the number of random rollouts of the nightly run."""


def permission_for(share: float, state: RolloutState = RolloutState.ACTIVE):
    return Permission("rosters", "v2", 1, state, share, 0, 1000)


def choices(permission: Permission, count: int, random: Random) -> list[bool]:
    splitter = Splitter()
    drawn = [splitter.choose(permission, 0, random.random()) for _ in range(count)]
    return [side is Side.TARGET for side in drawn]


@given("a gateway with a permission for a share of {share:g}")
def gateway_given(context, share):
    context.share = share
    context.chosen = choices(permission_for(share), 5000, Random(7))


@then("of any successive requests of 5000 fewer than the share and 2 go to the target")
def bounded_then(context):
    # The excess of each run of requests is a difference of two of these sums.
    lowest = total = 0.0
    for is_target in context.chosen:
        total += is_target - context.share
        lowest = min(lowest, total)
        assert total - lowest < 2, (context.share, total, lowest)


@then("over all of them the share is kept within {count:d} requests")
def kept_then(context, count):
    excess = sum(context.chosen) - context.share * len(context.chosen)
    assert abs(excess) <= count, excess


@then("of every second request the share goes to the target too, within {part:g} of it")
def alternating_then(context, part):
    random = Random(8)
    chosen = choices(permission_for(context.share), 100_000, random)[::2]
    share = sum(chosen) / len(chosen)
    assert abs(share - context.share) <= part * context.share, share


@given("200 gateways with a permission for a share of 0.05")
def gateways_given(context):
    random = Random(9)
    permission = permission_for(0.05)
    context.total = sum(sum(choices(permission, 4, random)) for _ in range(200))


@then("of 4 requests of each, {count:d} within {range_:d} go to the target")
def together_then(context, count, range_):
    assert abs(context.total - count) <= range_, context.total


@then("a request with that permission goes to the {side} version")
def expiry_then(context, side):
    row = context.active_outline
    permission = permission_for(1.0, RolloutState(row["state"]))
    chosen = Splitter().choose(permission, int(row["age"]), 0.5)
    assert chosen is Side(side), chosen


@then("reports of two processes in any order add up to their latest counters")
def reports_then(context):
    key = CellKey("search", "v2", "b1")
    reports = []
    for started_ms in (1, 2):
        evidence = VersionEvidence(1, started_ms)
        for _ in range(5):
            evidence.on_started(key)
            evidence.on_time(key, 0.5)
            evidence.on_ended(key, failed=True)
            copy = VersionEvidence(1, started_ms)
            copy.merge(evidence)
            reports.append(copy)
    for seed in range(100):
        random = Random(seed)
        first, second = reports[:5], reports[5:]
        order = [*random.choices(first, k=7), first[-1], *random.choices(second, k=7)]
        order += [second[-1], *random.choices(reports, k=7)]
        known = Reports(RolloutOrder("rosters", "v2", 6000, 1), 0)
        added = Cell()
        for report in order:
            _, target = known.add("g1", report, 0)
            for cell in target.values():
                added.add(cell)
        assert (known.exposed, added.started, added.failed) == (10, 10, 10), seed
        assert sum(added.times) == 10, seed


def is_found_bad(
    random: Random, usual: float, shares: list[float], responses: int
) -> bool:
    """Return whether a version is found bad, by bad shares of its backend servers."""
    test = VersionTest()
    for window in range(1, responses // 20 + 1):
        test.add_others("search", responses_of(random, usual, 200))
        for _ in range(20):
            backend = random.randrange(len(shares))
            key = CellKey("search", "v2", f"b{backend}")
            test.add_target({key: responses_of(random, shares[backend], 1)})
        test.step(window * WINDOW_MS)
    return bool(test.finding)


def responses_of(random: Random, share: float, count: int) -> Cell:
    failed = sum(random.random() < share for _ in range(count))
    cell = Cell(count, failed, ended=count)
    for _ in range(count):
        cell.times[bucket(0.3 * (6 if random.random() < share else 1))] += 1
    return cell


@then(
    "of 200 versions with as many bad responses at most {most:d} is found bad in 2000 "
    "responses"
)
def false_alarms_then(context, most):
    usual = float(context.active_outline["usual"])
    found = [is_found_bad(Random(s), usual, [usual] * 4, 2000) for s in range(200)]
    assert sum(found) <= most, sum(found)


@then(
    "of 200 versions with {excess:g} more at least {least:d} are found bad in 300 "
    "responses"
)
def detections_then(context, excess, least):
    usual = float(context.active_outline["usual"])
    shares = [usual + excess] * 4
    found = [is_found_bad(Random(s), usual, shares, 300) for s in range(200)]
    assert sum(found) >= least, sum(found)


@then("of 50 versions with one defective backend server of 4 none is found bad")
def defective_then(context):
    shares = [0.5, 0.01, 0.01, 0.01]
    assert not any(is_found_bad(Random(s), 0.01, shares, 2000) for s in range(50))


@given("rollouts whose target never becomes ready")
def not_ready_given(context):
    context.outcomes = [
        RolloutSimulation(Scenario(s, 9, 60, 6000, 500, "", ("not ready",))).run()
        for s in range(5)
    ]


@then("each is rolled back in time without a request at the target")
def not_ready_then(context):
    for outcome in context.outcomes:
        assert outcome.state is RolloutState.ROLLED_BACK, outcome
        assert outcome.exposed == 0, outcome


@given("rollouts whose gateways are cut off after half of the duration")
def cut_off_given(context):
    context.outcomes = [
        RolloutSimulation(Scenario(s, 9, 60, 20000, 500, "", ("cut off",))).run()
        for s in range(5)
    ]


@then("the target gets no request later than {most_ms:d} ms after that")
def cut_off_then(context, most_ms):
    for outcome in context.outcomes:
        assert 0 < outcome.last_exposed_ms <= 10_000 + most_ms, outcome


@given("{count:d} random rollouts of good and bad versions at {gateways:d} gateways")
def rollouts_given(context, count, gateways):
    count *= LONG_FACTOR if long_run() else 1
    scenarios = [draw_scenario(s, gateways, s % 2 == 0) for s in range(count)]
    context.runs = [(s, RolloutSimulation(s).run()) for s in scenarios]


@then("at most 1 in 100 good versions is not completed in time")
def good_then(context):
    good = [(s, o) for s, o in context.runs if not s.fault]
    lost = [(s, o) for s, o in good if o.state is not RolloutState.COMPLETED]
    assert len(lost) <= len(good) / 100, lost


@then("no bad version that was found receives more than the bound")
def bound_then(context):
    for scenario, outcome in context.runs:
        if scenario.fault and outcome.state is RolloutState.ROLLED_BACK:
            assert outcome.within_bound(ExposureBound()), (scenario, outcome)


@then("no bad version is completed after {count:d} bad responses")
def found_then(context, count):
    for scenario, outcome in context.runs:
        if scenario.fault and outcome.state is not RolloutState.ROLLED_BACK:
            assert outcome.bad_before_end < count, (scenario, outcome)
