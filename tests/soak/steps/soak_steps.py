"""Steps of soak.feature."""

from __future__ import annotations

import itertools

from behave import given, then, use_step_matcher, when

from soak.ledger import EVENTS, Ledger
from soak.plan import DISK_GAP_S, Fault, draw_plan
from soak.run import run_soak


@when("seed {seed:d} is played for {length_s:g} s")
def played(context, seed, length_s):
    context.outcome = run_soak(seed, length_s)


@then("no promise was broken")
def kept(context):
    assert not context.outcome.faults, context.outcome


@given('a caller that sent "c1" to {path}')
def sent(context, path):
    context.ledger = Ledger()
    context.ledger.paths["c1"] = context.path = path


@when("two backend servers run it")
def run_twice(context):
    for backend in ("i-1", "i-2"):
        context.ledger.on_run(backend, "c1", context.path)


@when("a backend server runs it after its caller got 503")
def refused_and_run(context):
    answer(context, b"", status=503)
    context.ledger.on_run("i-1", "c1", context.path)


@when("a backend server runs it as {path}")
def run_as(context, path):
    context.ledger.on_run("i-1", "c1", path)


def answer(context, body, *, status=200, is_whole=True, is_proven=True):
    context.ledger.on_answer("c1", status, body, is_whole=is_whole, is_proven=is_proven)


def own_body(context):
    return f"c1:{context.path}".encode()


@when("its caller gets its own answer")
def own_answer(context):
    answer(context, own_body(context))


@when("its caller gets its own answer cut short")
def cut_answer(context):
    answer(context, own_body(context)[:3], is_whole=False)


@when("its caller gets the answer to another request")
def other_answer(context):
    answer(context, b"c2:/buy/c2")


@when("its caller gets a success without proof")
def no_proof(context):
    answer(context, own_body(context), is_proven=False)


def events(*numbers, attempt="c1"):
    return b"".join(f"id: {n}\ndata: {attempt}/{n}\n\n".encode() for n in numbers)


@when("its caller gets events 1 to 3, then 5 to 12, and the end")
def gap(context):
    answer(context, events(1, 2, 3, *range(5, EVENTS + 1)))


@when("its caller gets event 2 twice")
def twice(context):
    answer(context, events(1, 2, 2, 3), is_whole=False)


@when("its caller gets an event of another request")
def foreign(context):
    answer(context, events(1) + events(2, attempt="c2"), is_whole=False)


@when("its caller gets events 1 to 7 and a half, cut")
def cut(context):
    answer(context, events(*range(1, 8)) + b"id: 8\nda", is_whole=False)


use_step_matcher("re")


@when(r"its caller gets events 1 to (?P<last>\d+) and the end")
def to_end(context, last):
    answer(context, events(*range(1, int(last) + 1)))


use_step_matcher("parse")


@when("version 4 is read after version 5 was acknowledged")
def stale(context):
    context.ledger.on_acknowledged(5)
    context.ledger.on_read("h1", 4, context.ledger.acknowledged)


@then('the run fails with "{fault}"')
def fails(context, fault):
    faults = context.ledger.check_end()
    assert any(fault in each for each in faults), faults


@then("the run passes")
def passes(context):
    assert not context.ledger.check_end(), context.ledger.check_end()


@then("plans of 200 seeds repeat, hold all kinds, and lose one disk in 14 s at most")
def plans(context):
    kinds = set()
    for seed in range(200):
        plan = draw_plan(seed, 60.0)
        assert plan == draw_plan(seed, 60.0)
        kinds.update(step.fault for step in plan)
        lost = [step.at_s for step in plan if step.fault is Fault.LOSE_DISK]
        assert all(b - a >= DISK_GAP_S for a, b in itertools.pairwise(lost))
    assert kinds == set(Fault)
