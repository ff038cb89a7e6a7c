"""Steps of search.feature."""

from __future__ import annotations

from behave import given, then, when

from support.environment import long_run
from support.request_search import Budget, Rules, Search
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests import call as calls
from tanagerturn.serving.requests import life

FIELDS = {
    "crash": "crashes",
    "restart": "restarts",
    "lapse": "lapses",
    "commit": "lost_commits",
    "refused": "refused",
    "answer": "lost_answers",
    "failed_query": "failed_queries",
}


def retry_after_first_byte(event, call):
    if isinstance(event, calls.AnswerLost):
        event = calls.NoByteLeft()
    return calls.step(event, call)


def go_on_unconfirmed(event, call):
    if isinstance(event, calls.CommitLost) and call.stage is calls.Stage.COMMITTING:
        event = calls.Committed()
    return calls.step(event, call)


def send_after_takeover(move, record, now_ms):
    after = life.apply(move, record, now_ms)
    if isinstance(move, life.TakeOver) and after.is_ok():
        after.ok.state = pb.ACCEPTED
    return after


PLANTS = {
    "retries after the first byte": {"step": retry_after_first_byte},
    "takeover sends again": {"apply": send_after_takeover},
    "sends unconfirmed": {"step": go_on_unconfirmed, "sends_unconfirmed": True},
    "settles early": {"settles_early": True},
}


@given("the faults {faults} and a service {query} an outcome query")
def search_set_up(context, faults, query):
    names = FIELDS if long_run() else faults.split()
    counts = dict.fromkeys(FIELDS.values(), 0)
    counts.update({FIELDS[name]: 1 for name in names})
    context.budget = Budget(**counts)
    context.rules = {"has_query": query == "with"}
    context.label = f"{faults}, {query} query"


@given('the planted fault "{plant}"')
def plant_fault(context, plant):
    context.rules.update(PLANTS[plant])


@when("all orders of events are searched")
def search(context):
    context.found = Search(Rules(**context.rules), context.budget).run()
    print(f"\n{context.label}: {context.found.states} states searched")


@then("no fault is found")
def sound(context):
    assert not context.found.faults, context.found.faults


@then('the fault "{fault}" is found')
def faulty(context, fault):
    assert fault in context.found.faults, context.found.faults
    print(f"found: {', '.join(context.found.faults[fault])}")
