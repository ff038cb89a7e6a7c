"""Steps of admission.feature."""

from __future__ import annotations

from behave import given, then, when

from support.admission_simulation import PRIORITIES, Load, Simulation, make_ticket
from tanagerturn.serving.admission.admission import Admission
from tanagerturn.serving.admission.tickets import RefusalReason, Refuse

SEED = 20261204


@given(
    "an entry host for {capacity:d} requests with {slots:d} slots, "
    "{reserve:d}% for urgent requests"
)
def entry_host(context, capacity, slots, reserve):
    context.admission = Admission(capacity, reserve / 100)
    context.admission.set_service("pool", slots, reserve / 100, 0.0)


@given("the loads")
def given_loads(context):
    context.loads = [
        Load(
            name=row["name"],
            account=row["account"],
            priority=PRIORITIES[row["priority"]],
            per_s=float(row["per_s"]),
            hold_s=float(row["hold_s"]),
            deadline_s=float(row["deadline_s"]),
        )
        for row in context.table
    ]


@when("they run for {seconds:d} seconds")
def run_loads(context, seconds):
    context.simulation = Simulation(context.admission, context.loads, SEED)
    context.outcomes = context.simulation.run(1e9, seconds)
    for name, outcome in context.outcomes.items():
        counts = (outcome.offered, outcome.done, outcome.refused, outcome.overdue)
        print(f"\n{name}: requests offered, done, refused, overdue: {counts}")


@when("they run for {seconds:d} seconds and then no more requests arrive")
def run_until_arrivals_end(context, seconds):
    context.simulation = Simulation(context.admission, context.loads, SEED)
    context.outcomes = context.simulation.run(seconds, seconds)


@then('{count:d} "{name}" were refused or overdue')
def refused_or_overdue(context, count, name):
    outcome = context.outcomes[name]
    assert outcome.refused + outcome.overdue == count, outcome.refusals[:3]
    assert outcome.done == outcome.offered - count


@then('some "{name}" were refused')
def some_refused(context, name):
    assert context.outcomes[name].refused > 0


@then('{count:d} "{name}" were overdue')
def are_overdue(context, count, name):
    assert context.outcomes[name].overdue == count


@then('{share:d} in 100 "{name}" waited at most {seconds:g} seconds')
def waited_at_most(context, share, name, seconds):
    found = context.outcomes[name].wait_percentile(share)
    assert found <= seconds, found


@then('{share:d} in 100 "{name}" waited over {seconds:g} seconds')
def waited_over(context, share, name, seconds):
    assert context.outcomes[name].wait_percentile(100 - share) > seconds


@then('the last refused "{name}" request is admitted after its retry delay')
def admitted_on_retry(context, name):
    refused_s, refusal = context.outcomes[name].refusals[-1]
    simulation = context.simulation
    retry_s = refused_s + refusal.retry_after_s
    simulation.events = [e for e in simulation.events if e[2] != "arrive"]
    simulation.loads = []
    simulation.run(retry_s, 0.0)
    ticket = make_ticket(10**9, context.loads[0], retry_s)
    assert not isinstance(context.admission.offer(ticket, retry_s), Refuse)


@when("the host starts to shut down")
def start_shutdown(context):
    context.admission.draining = True


@then("a request is refused with {reason:w}")
def is_refused(context, reason):
    load = Load("any", "any", PRIORITIES["urgent"], 1.0, 1.0, 5.0)
    decision = context.admission.offer(make_ticket(1, load, 0.0), 0.0)
    assert isinstance(decision, Refuse)
    assert decision.reason is RefusalReason[reason]
