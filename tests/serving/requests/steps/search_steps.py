"""Steps of search.feature."""

from __future__ import annotations

from behave import given, then, when

from support.environment import long_run
from support.request_search import Budget, Rules, Search
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests import call as calls
from tanagerturn.serving.requests import lifecycle

FIELDS = {
    "crash": "crashes",
    "restart": "restarts",
    "expiry": "expiries",
    "commit": "lost_commits",
    "refused": "refused",
    "answer": "lost_answers",
    "failed_query": "failed_queries",
}


def retry_after_first_byte(event, call):
    if isinstance(event, calls.AnswerLost):
        event = calls.NotSent()
    return calls.step(event, call)


def send_on_unconfirmed_commit(event, call):
    if (
        isinstance(event, calls.CommitUnconfirmed)
        and call.stage is calls.Stage.COMMITTING_ATTEMPT
    ):
        event = calls.Committed()
    return calls.step(event, call)


def send_after_takeover(transition, record, now_ms):
    after = lifecycle.apply(transition, record, now_ms)
    if isinstance(transition, lifecycle.TakeOver) and after.is_ok():
        after.ok.state = pb.ACCEPTED
    return after


INJECTED_DEFECTS = {
    "retry after the first byte": {"step": retry_after_first_byte},
    "send after a takeover": {"apply": send_after_takeover},
    "send on unconfirmed commit": {
        "step": send_on_unconfirmed_commit,
        "sends_after_unconfirmed_commit": True,
    },
    "settle before expiry": {"settles_before_expiry": True},
}


@given("the faults {faults} and a service {query} an outcome query")
def configure_search(context, faults, query):
    names = FIELDS if long_run() else faults.split()
    counts = dict.fromkeys(FIELDS.values(), 0)
    counts.update({FIELDS[name]: 1 for name in names})
    context.budget = Budget(**counts)
    context.rules = {"has_query": query == "with"}
    context.label = f"{faults}, {query} query"


@given('the injected defect "{defect}"')
def inject_defect(context, defect):
    context.rules.update(INJECTED_DEFECTS[defect])


@when("all event orders are searched")
def search(context):
    context.found = Search(Rules(**context.rules), context.budget).run()
    print(f"\n{context.label}: {context.found.states} states searched")


@then("no violation is found")
def no_violation_found(context):
    assert not context.found.violations, context.found.violations


@then('the violation "{violation}" is found')
def violation_found(context, violation):
    assert violation in context.found.violations, context.found.violations
    print(f"events to the violation: {', '.join(context.found.violations[violation])}")
