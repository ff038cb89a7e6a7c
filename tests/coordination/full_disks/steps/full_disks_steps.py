"""Steps of full_disks.feature.

Run some: PYTHONPATH=src:tests python -m support.full_disk_schedule FIRST-LAST
"""

from __future__ import annotations

from behave import given, then, when

from support.environment import long_run
from support.full_disk_faults import FAULTS
from support.full_disk_schedule import failure

LONG_FACTOR = 20
SEED_LIMIT = 300


@when("{count:d} seeded schedules of full disks run, without and with restarts")
def run_schedules(context, count):
    seeds = range(count * LONG_FACTOR if long_run() else count)
    found = [
        failure(seed, is_restarting=restarts)
        for seed in seeds
        for restarts in (False, True)
    ]
    context.failures = [each for each in found if each]


@then("each confirms a change within 4 s of the contact time and loses none")
def all_confirm(context):
    assert not context.failures, "\n".join(context.failures)


@given("members with {fault}")
def with_fault(context, fault):
    patch = FAULTS[fault]()
    patch.start()
    context.closers.append(patch.stop)


@when("seeded schedules of full disks run until one fails")
def until_one_fails(context):
    context.failure = ""
    for seed in range(SEED_LIMIT):
        context.failure = failure(seed, is_restarting=bool(seed % 2))
        if context.failure:
            return


@then('the failure contains one of "{violations}"')
def failure_contains(context, violations):
    assert any(each in context.failure for each in violations.split(" / ")), (
        context.failure
    )
