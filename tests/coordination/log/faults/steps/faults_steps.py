"""Steps of faults.feature."""

from __future__ import annotations

from behave import given, then, when

from support.log_faults import FAULTS
from support.log_run import first_failure

SEED_LIMIT = 2000


@given('members with the planted fault "{fault}"')
def planted(context, fault):
    context.node_class = FAULTS[fault]


@when('seeded schedules of "{kind}" run until one fails')
def run_until_failure(context, kind):
    context.failure = first_failure(kind, SEED_LIMIT, context.node_class)


@then('the failure is a violation that says one of "{violations}"')
def is_violation(context, violations):
    assert "ViolationError" in context.failure, context.failure
    said = [v for v in violations.split(" / ") if v in context.failure]
    assert said, context.failure
