"""Steps of endings.feature."""

from __future__ import annotations

from dataclasses import replace
from itertools import product

from behave import given, then

from tanagerturn.serving.streams.endings import (
    EndProof,
    Framing,
    MoveState,
    ReportVerdict,
    ResponseEnd,
    judge_report,
    required_proof,
)


@given("a {kind} of a {server} server, framed by {framing}, whose move is {move}")
def response_end(context, kind, server, framing, move):
    context.end = ResponseEnd(
        Framing(framing),
        kind == "generation",
        MoveState(move),
        server == "leaving",
        last_event_id=3 if kind == "generation" else None,
        max_output_tokens=20 if kind == "generation" else 0,
    )


@then("its end is shown by {proof}")
def end_shown(context, proof):
    assert required_proof(context.end) is EndProof(proof), required_proof(context.end)


def generations(last_event_id, max_output_tokens):
    """Return the end of an unframed generation in each state."""
    return [
        ResponseEnd(
            Framing.CLOSE,
            is_generation=True,
            move=move,
            is_leaving=is_leaving,
            last_event_id=last_event_id,
            max_output_tokens=max_output_tokens,
        )
        for move, is_leaving in product(MoveState, (False, True))
    ]


@then(
    "in any state an unframed generation of 6 tokens is complete at event 6, not at 5"
)
def complete_by_count(context):
    for end in generations(6, 6):
        assert required_proof(end) is EndProof.COUNT, end
        assert required_proof(replace(end, last_event_id=5)) is not EndProof.COUNT


@then("one without a maximum is never complete by its count")
def no_maximum(context):
    for last_event_id in (None, 0, 6):
        for end in generations(last_event_id, 0):
            assert required_proof(end) is not EndProof.COUNT, end


@given("a report that lists {runs}")
def report(context, runs):
    if runs == "nothing":
        context.runs = None
        return
    run_id, _, made = runs.partition(" with ")
    context.runs = {run_id: int(made)} if made else {}


@then("for run r1 after event 3, the move {move}, it is {verdict}")
def report_judged(context, move, verdict):
    judged = judge_report(context.runs, "r1", 3, MoveState(move))
    assert judged is ReportVerdict(verdict), judged
