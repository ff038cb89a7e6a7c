"""Steps of faults.feature."""

from __future__ import annotations

from behave import given, then, when

from support.log_faults import DEFECTS
from support.log_run import first_failure

SEED_LIMIT = 2000


@given('members with the injected defect "{defect}"')
def inject_defect(context, defect):
    context.node_class = DEFECTS[defect]


@when('seeded schedules of "{kind}" run until one fails')
def run_until_failure(context, kind):
    context.failure = first_failure(kind, SEED_LIMIT, context.node_class)


@then('the failure is a violation that contains one of "{violations}"')
def is_violation(context, violations):
    assert "ViolationError" in context.failure, context.failure
    found_violations = [v for v in violations.split(" / ") if v in context.failure]
    assert found_violations, context.failure
