"""Steps of soak.feature."""

from __future__ import annotations

from behave import then, when

from soak.run import run_soak


@when("seed {seed:d} is played for {length_s:g} s")
def played(context, seed, length_s):
    context.outcome = run_soak(seed, length_s)


@then("no promise was broken")
def kept(context):
    assert not context.outcome.faults, context.outcome
