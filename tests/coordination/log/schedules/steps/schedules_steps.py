"""Steps of schedules.feature.

Run one schedule: PYTHONPATH=src:tests python -m support.log_run "KIND" SEED
"""

from __future__ import annotations

from behave import then, when

from support.environment import long_run
from support.log_run import failures

LONG_FACTOR = 20


@when('{count:d} seeded schedules of "{kind}" run')
def run_schedules(context, count, kind):
    total = count * LONG_FACTOR if long_run() else count
    context.failures = failures(kind, range(total))


@then("no schedule violates an invariant")
def no_violations(context):
    assert not context.failures, "\n".join(context.failures)
