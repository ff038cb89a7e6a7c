"""Steps of soak.feature."""

from __future__ import annotations

import itertools

from behave import given, then, use_step_matcher, when

from soak.history import EVENTS_PER_STREAM, LIFE_AFTER_END_S, MODEL_EVENTS, History
from soak.run import run_soak
from soak.schedule import (
    DISK_LOSS_INTERVAL_S,
    FULL_DISKS_MAX_S,
    Fault,
    generate_schedule,
)
from soak.upgrade import run_upgrade


@when("seed {seed:d} runs for {length_s:g} s")
def run_seed(context, seed, length_s):
    context.outcome = run_soak(seed, length_s)


@when("the gateways of seed {seed:d} are replaced by {build}")
def replace_gateways(context, seed, build):
    context.outcome = run_upgrade(seed, to_earlier=build == "the build before")


@then("no guarantee is violated")
def no_guarantee_violated(context):
    assert not context.outcome.violations, context.outcome


@given('a caller that sent request "c1" to {path}')
def caller_sent_request(context, path):
    context.history = History()
    context.history.paths["c1"] = context.path = path


@when("two backend servers execute the request")
def executed_twice(context):
    for backend in ("i-1", "i-2"):
        context.history.on_execution(backend, "c1", context.path)


@when("a backend server executes the request after its caller got 503")
def executed_after_rejection(context):
    record_response(context, b"", status=503)
    context.history.on_execution("i-1", "c1", context.path)


@when("a backend server executes the request as {path}")
def executed_with_path(context, path):
    context.history.on_execution("i-1", "c1", path)


def record_response(context, body, *, status=200, is_whole=True, is_proven=True):
    context.history.on_response(
        "c1", status, body, is_whole=is_whole, is_proven=is_proven
    )


def expected_body(context):
    return f"c1:{context.path}".encode()


@when("its caller gets its response")
def gets_own_response(context):
    record_response(context, expected_body(context))


@when("its caller gets a part of its response")
def gets_partial_response(context):
    record_response(context, expected_body(context)[:3], is_whole=False)


@when("its caller gets the response to another request")
def gets_other_response(context):
    record_response(context, b"c2:/buy/c2")


@when("its caller gets status 200 without proof of origin")
def gets_unproven_response(context):
    record_response(context, expected_body(context), is_proven=False)


def event_bytes(*numbers, request_id="c1"):
    return b"".join(f"id: {n}\ndata: {request_id}/{n}\n\n".encode() for n in numbers)


@when("its caller gets events 1 to 3, then 5 to 12, and the end")
def events_with_gap(context):
    record_response(context, event_bytes(1, 2, 3, *range(5, EVENTS_PER_STREAM + 1)))


@when("its caller gets event 2 twice")
def duplicate_event(context):
    record_response(context, event_bytes(1, 2, 2, 3), is_whole=False)


@when("its caller gets an event of another request")
def event_of_other_request(context):
    record_response(
        context, event_bytes(1) + event_bytes(2, request_id="c2"), is_whole=False
    )


@when("its caller gets 7 events and a part of the next event")
def stream_aborted(context):
    record_response(context, event_bytes(*range(1, 8)) + b"id: 8\nda", is_whole=False)


def engine_events(*numbers, run="e1.1"):
    return b"".join(f"id: {n}\ndata: c1/{run}/{n}\n\n".encode() for n in numbers)


@when("its caller gets events 1 to {last:d} of an engine and the end")
def engine_events_and_end(context, last):
    record_response(context, engine_events(*range(1, last + 1)))


@when("its caller gets events 1 to 3 and {number:d} of an engine")
def engine_events_with_gap(context, number):
    record_response(context, engine_events(1, 2, 3, number), is_whole=False)


@when("its caller gets events of two runs of an engine")
def events_of_two_runs(context):
    first = engine_events(*range(1, 10))
    rest = engine_events(*range(10, MODEL_EVENTS + 1), run="e2.7")
    record_response(context, first + rest)


def record_steps(context, *steps):
    """Record the steps of the request's stream, each with further fields."""
    common = {"at": 100.0, "engine": "e1", "request": "c1", "path": context.path}
    context.history.on_engine_steps(
        [common | {"framing": "close", "step": name} | more for name, more in steps]
    )


STOPPED = ("stopped", {"cause": "moved, answer 200"})


@when("an engine runs the stream again that was stopped for a move")
def run_again(context):
    record_steps(context, ("run", {}), STOPPED, ("run", {"engine": "e2"}))


@when("an engine resumes the stream that was stopped for a move")
def resumed(context):
    record_steps(context, ("run", {}), STOPPED, ("resumed", {"engine": "e2"}))


def record_sound_stream(context, events):
    record_steps(context, ("run", {}), ("done", {}))
    context.history.statuses["c1"] = 0
    context.history.sound_paths.add("c1")
    if events:
        record_response(context, engine_events(*events), is_whole=False)


@when("its caller gets events 1 to 9 of a sound stream")
def sound_stream_cut(context):
    record_sound_stream(context, range(1, 10))


@when("its caller gets no response to a sound stream")
def sound_stream_lost(context):
    record_sound_stream(context, ())


@when("its caller gets events 1 to 9 of an engine that then ends")
def engine_ends(context):
    record_sound_stream(context, range(1, 10))
    context.history.engine_ends_s["e1"] = 100.0 + LIFE_AFTER_END_S / 2


@when("a stream is cut off that went through a {state} gateway")
def forwarded_stream_cut(context, state):
    context.history.times_s["c1"] = (98.0, 101.0)
    record_sound_stream(context, range(1, 10))
    faults_s = [(97.0, 100.0)] if state == "suspended" else [(90.0, 97.0)]
    context.history.on_forwarded("c1", faults_s)


use_step_matcher("re")


@when(r"its caller gets events 1 to (?P<last>\d+) and the end")
def events_to_end(context, last):
    record_response(context, event_bytes(*range(1, int(last) + 1)))


use_step_matcher("parse")


@when("version 4 is read after version 5 was acknowledged")
def stale_read(context):
    context.history.on_acknowledged(5)
    context.history.on_read("h1", 4, context.history.acknowledged_version)


@then('the run reports "{violation}"')
def run_reports(context, violation):
    violations = context.history.find_violations()
    assert any(violation in each for each in violations), violations


@then("no violation is reported")
def no_violation_reported(context):
    assert not context.history.find_violations(), context.history.find_violations()


@then("200 schedules are repeatable, have all kinds, and lose at most one disk in 14 s")
def schedules_are_repeatable(context):
    kinds = set()
    for seed in range(200):
        schedule = generate_schedule(seed, 60.0)
        assert schedule == generate_schedule(seed, 60.0)
        kinds.update(scheduled.fault for scheduled in schedule)
        lost = [
            scheduled.at_s
            for scheduled in schedule
            if scheduled.fault is Fault.LOSE_DISK
        ]
        assert all(b - a >= DISK_LOSS_INTERVAL_S for a, b in itertools.pairwise(lost))
    assert kinds == set(Fault)


@then("200 schedules have full disks, one series after another, without lost disks")
def full_disks_in_turn(context):
    for seed in range(200):
        schedule = generate_schedule(seed, 60.0)
        full_s = [f.at_s for f in schedule if f.fault is Fault.FULL_DISKS]
        lost_s = [f.at_s for f in schedule if f.fault is Fault.LOSE_DISK]
        assert full_s, seed
        assert all(b - a > FULL_DISKS_MAX_S for a, b in itertools.pairwise(full_s))
        end_s = FULL_DISKS_MAX_S + DISK_LOSS_INTERVAL_S
        assert not any(0 <= b - a < end_s for a in full_s for b in lost_s), seed
