"""Steps of explain.feature."""

from __future__ import annotations

import orjson
from behave import given, then, when
from click.testing import CliRunner

from tanagerturn.operator.main import main


def line(at, event, **fields):
    process = fields.pop("process", "g1")
    record = {"at": at, "process": process, "level": "INFO", "event": event, **fields}
    return orjson.dumps(record).decode()


LINES = [
    line(103.0, "broken_off", request="r1", backends=["i-2"], cause="i-2: it ended"),
    line(100.0, "sent", request="r1", backend="i-1", expected_s=0.2),
    line(101.0, "moved", request="r1", source="i-1", target="i-2", outcome="moved"),
    line(101.5, "answered", request="r2", backends=["i-1"]),
    line(102.5, "backend_announced", process="g2", backend="i-2", leaving=True),
    line(10.0, "backend_announced", process="g2", backend="i-2", leaving=False),
]


@given("logs of two processes in which a stream moved and was then broken off")
def logs(context):
    context.log_text = "\n".join(LINES)


@given(
    "logs of an answer with {held:g} s held, {expected:g} s expected, {first:g} s first"
)
def late(context, held, expected, first):
    times = {"held_s": held, "expected_s": expected, "first_event_s": first}
    context.log_text = "\n".join(
        [
            line(100.0, "sent", request="r1", backend="i-1", expected_s=expected),
            line(
                102.0,
                "answered",
                request="r1",
                backends=["i-1"],
                taken_s=2.0,
                longest_pause_s=0.6,
                passed_on_s=0.001,
                **times,
            ),
        ]
    )


@then('the longest part of its time is "{told}"')
def longest_part(context, told):
    assert f"Longest part: {told}, " in context.result.output, context.result.output


@given("logs of a request that was refused unsent, with {expected:g} s expected")
def refused_unsent(context, expected):
    context.log_text = line(
        100.0, "refused", request="r1", status=503, taken_s=0.002, expected_s=expected
    )


@then("it tells that it was not sent and that {expected:g} s were expected")
def not_sent(context, expected):
    text = context.result.output
    assert f"not sent; the first event was expected after {expected:.2f} s" in text


@given("logs of a request that was refused at once")
def refused_at_once(context):
    context.log_text = line(
        100.0, "refused_at_once", request="r1", status=429, cause="over the limit of a"
    )


@then("the refusal's cause is named, and no end is missing")
def refusal_named(context):
    text = context.result.output
    assert "Status 429. Reason: over the limit of a." in text, text
    assert "No end is logged" not in text


@given("logs with text before each line and damaged lines")
def prefixed(context):
    damaged = ["no json", "{half", '{"other": 1}']
    context.log_text = "\n".join([f"  1.25 g1 {each}" for each in LINES] + damaged)


def run(context, request_id):
    runner = CliRunner()
    context.result = runner.invoke(
        main, ["explain", request_id], input=context.log_text
    )


@when("the request is explained")
def explained(context):
    run(context, "r1")
    assert context.result.exit_code == 0, context.result.output


@when("an unknown request is explained")
def unknown(context):
    run(context, "r9")


@then("its lines come in order of time, with the cause and what to look at next")
def in_order(context):
    text = context.result.output
    places = [text.index(event) for event in ("sent", "moved", "broken_off")]
    assert places == sorted(places), text
    assert "i-2: it ended" in text
    assert "Next: " in text


@then("the backend server's leaving is shown, other requests are not")
def leaving_shown(context):
    text = context.result.output
    assert "leaving=True" in text
    assert "leaving=False" not in text
    assert "r2" not in text


@then("the cause is named")
def cause_named(context):
    assert "Reason: i-2: it ended." in context.result.output, context.result.output


@then("the command fails and says how many lines it read")
def fails(context):
    assert context.result.exit_code != 0
    assert "no line of 6 names r9" in context.result.output, context.result.output
