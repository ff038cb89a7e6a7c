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


@given('keepers "{a}" and "{b}" of one lease of {duration:d} ms')
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


@when('"{name}" runs its due steps at {now:d} ms')
def run_due_steps(context, name, now):
    context.now = now
    context.keepers[name].step()


@when('"{name}" is isolated')
def isolate(context, name):
    context.keepers[name].client.isolated = True


@when('"{name}" releases the lease at {now:d} ms')
def release_at(context, name, now):
    context.now = now
    context.keepers[name].release()


@then('"{name}" holds the lease at {now:d} ms with fencing number {number:d}')
def holds(context, name, now, number):
    assert context.keepers[name].held(now)
    assert context.keepers[name].fencing_number == number


@then('"{name}" does not hold the lease at {now:d} ms')
def does_not_hold(context, name, now):
    assert not context.keepers[name].held(now)


@then(
    "a holder waits {wait:d} ms after the grant of a {lease:d} ms lease "
    "with {longest:d} ms orders"
)
def waits_before_ordering(context, wait, lease, longest):
    assert safe_to_order_at(5000, LeaseTerms(lease), longest) == 5000 + wait


@then("{count:d} seeded lease schedules have no violation")
def schedules(context, count):
    grants = 0
    for seed in range(count * 10 if long_run() else count):
        schedule = LeaseSchedule(seed, LeaseCore)
        violations = schedule.run()
        grants += len(schedule.fencing_numbers)
        assert not violations, (seed, violations[0])
    assert grants > count


class CountsFromAnswer(LeaseCore):
    """Defect: the validity is counted from the response to the renewal."""

    def on_renewed(self, result, sent_ms, now_ms):
        """Count the validity from the time of the response."""
        super().on_renewed(result, now_ms, now_ms)


class ActsOnAcquisition(LeaseCore):
    """Defect: an acquisition lets the holder act without a renewal."""

    def on_acquired(self, result, now_ms):
        """Let the holder act without a renewal."""
        super().on_acquired(result, now_ms)
        if result.status == Status.APPLIED:
            self.valid_until_ms = now_ms - 10 + self.terms.validity_ms


def without_deductions(terms: LeaseTerms) -> LeaseCore:
    """Return a defective core that subtracts neither drift nor margin."""
    return LeaseCore(LeaseTerms(terms.duration_ms, drift=0.0, margin_fraction=0.0))


DEFECTS = {
    "counts validity from the response": CountsFromAnswer,
    "acts on an acquisition without renewal": ActsOnAcquisition,
    "subtracts neither drift nor margin": without_deductions,
}


@then("seeded lease schedules detect a holder that {defect}")
def detects(context, defect):
    assert any(LeaseSchedule(seed, DEFECTS[defect]).run() for seed in range(600))
