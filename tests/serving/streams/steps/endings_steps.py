"""Steps of endings.feature."""

from __future__ import annotations

from behave import given, then

from tanagerturn.serving.streams.endings import (
    EndProof,
    Framing,
    MoveState,
    ReportVerdict,
    ResponseEnd,
    StartVerdict,
    judge_report,
    judge_start,
    required_proof,
)


@given("a {kind}, framed by {framing}, whose move is {move}")
def response_end(context, kind, framing, move):
    context.end = ResponseEnd(
        Framing(framing),
        kind == "generation",
        MoveState(move),
        event_count=3 if kind == "generation" else 0,
        last_event_id=3 if kind == "generation" else None,
        max_output_tokens=20 if kind == "generation" else 0,
    )


@then("its end is shown by {proof}")
def end_shown(context, proof):
    assert required_proof(context.end) is EndProof(proof), required_proof(context.end)


def generations(event_count, last_event_id, max_output_tokens):
    """Return the end of an unframed generation in each state of its move."""
    return [
        ResponseEnd(
            Framing.CLOSE,
            is_generation=True,
            move=move,
            event_count=event_count,
            last_event_id=last_event_id,
            max_output_tokens=max_output_tokens,
        )
        for move in MoveState
    ]


@then(
    "in any state an unframed generation of 6 tokens is complete at event 6, not at 5"
)
def complete_by_count(context):
    for end in generations(6, 6, 6):
        assert required_proof(end) is EndProof.COUNT, end
    for end in generations(5, 5, 6):
        assert required_proof(end) is not EndProof.COUNT, end


@then("one without a maximum is never complete by its count")
def no_maximum(context):
    for count in (None, 0, 6):
        for end in generations(count or 0, count, 0):
            assert required_proof(end) is not EndProof.COUNT, end


@then("one whose ids do not count its events is never complete by its count")
def ids_without_count(context):
    for count, last_event_id in ((3, 102), (1, 69), (6, None), (80, 3)):
        for end in generations(count, last_event_id, 6):
            assert required_proof(end) is not EndProof.COUNT, end


@then("one without any event is never complete")
def no_event(context):
    for end in generations(0, None, 6):
        assert required_proof(end) is EndProof.NONE, end


@given("a report that lists {runs}")
def report(context, runs):
    if runs == "nothing":
        context.runs = None
        return
    run_id, _, made = runs.partition(" with ")
    context.runs = {run_id: int(made)} if made else {}


@then("for run r1 after event 3 and {written_s:g} s, the move {move}, it is {verdict}")
def report_judged(context, written_s, move, verdict):
    judged = judge_report(context.runs, "r1", 3, MoveState(move), written_s)
    assert judged is ReportVerdict(verdict), judged


@then("a report that states {stated} is from {verdict} start as one born at 1000")
def start_judged(context, stated, verdict):
    verdicts = {
        "the same": StartVerdict.SAME,
        "another": StartVerdict.OTHER,
        "an unknown": StartVerdict.UNKNOWN,
    }
    born_ms = None if stated == "no start" else int(stated.split()[1])
    assert judge_start(born_ms, 1000) is verdicts[verdict]
