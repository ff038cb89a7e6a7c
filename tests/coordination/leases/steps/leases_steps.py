"""Steps of leases.feature."""

from __future__ import annotations

from random import Random

from behave import given, then, when

from support.environment import long_run
from support.faulty_client import FaultyClient
from support.lease_schedule import LeaseSchedule
from tanagerturn.coordination.leases import (
    LeaseCore,
    LeaseKeeper,
    LeaseTerms,
    safe_to_order_at,
)
from tanagerturn.coordination.local import LocalStateClient
from tanagerturn.coordination.store import Status


@given('a keeper "{a}" and a keeper "{b}" of one lease of {duration:d} ms')
def two_keepers(context, a, b, duration):
    store = LocalStateClient()
    context.now = 0
    context.keepers = {
        name: LeaseKeeper(
            FaultyClient(store, Random(0), loss=0),
            "control",
            "control",
            name,
            LeaseTerms(duration),
            lambda: context.now,
        )
        for name in (a, b)
    }


@when('"{name}" steps at {now:d} ms')
def step_at(context, name, now):
    context.now = now
    context.keepers[name].step()


@when('"{name}" is cut off')
def cut_off(context, name):
    context.keepers[name].client.isolated = True


@when('"{name}" releases at {now:d} ms')
def release_at(context, name, now):
    context.now = now
    context.keepers[name].release()


@then('"{name}" holds the lease at {now:d} ms with number {number:d}')
def holds(context, name, now, number):
    assert context.keepers[name].held(now)
    assert context.keepers[name].fencing_number == number


@then('"{name}" does not hold the lease at {now:d} ms')
def does_not_hold(context, name, now):
    assert not context.keepers[name].held(now)


@then(
    "an order to them waits {wait:d} ms after a grant of {lease:d} ms with orders "
    "of {longest:d} ms"
)
def waits(context, wait, lease, longest):
    assert safe_to_order_at(5000, LeaseTerms(lease), longest) == 5000 + wait


@then("{count:d} seeded lease schedules have no fault")
def schedules(context, count):
    grants = 0
    for seed in range(count * 10 if long_run() else count):
        schedule = LeaseSchedule(seed, LeaseCore)
        faults = schedule.run()
        grants += len(schedule.numbers)
        assert not faults, (seed, faults[0])
    assert grants > count


class CountsFromAnswer(LeaseCore):
    """Plants a fault: validity starts when the answer came."""

    def on_renewed(self, result, sent_ms, now_ms):
        """Count from the answer."""
        super().on_renewed(result, now_ms, now_ms)


class TrustsAcquisition(LeaseCore):
    """Plants a fault: an acquisition gives a whole duration."""

    def on_acquired(self, result, now_ms):
        """Give a whole duration."""
        super().on_acquired(result, now_ms)
        if result.status == Status.APPLIED:
            self.valid_until_ms = now_ms - 10 + self.terms.usable_ms


def takes_nothing_off(terms: LeaseTerms) -> LeaseCore:
    """Plant a fault: neither drift nor margin is taken off."""
    return LeaseCore(LeaseTerms(terms.duration_ms, drift=0.0, margin_share=0.0))


PLANTED = {
    "counts from the answer": CountsFromAnswer,
    "trusts the acquisition alone": TrustsAcquisition,
    "takes nothing off": takes_nothing_off,
}


@then("seeded lease schedules find a holder that {fault}")
def finds(context, fault):
    assert any(LeaseSchedule(seed, PLANTED[fault]).run() for seed in range(600))
