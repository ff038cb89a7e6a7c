"""Steps of explain.feature."""

from __future__ import annotations

import orjson
from behave import given, then, when
from click.testing import CliRunner

from tanagerturn.operator.main import main


def log_line(at, event, **fields):
    """Return a log line as a gateway writes it; `at` is the time in seconds."""
    process = fields.pop("process", "g1")
    record = {"at": at, "process": process, "level": "INFO", "event": event, **fields}
    return orjson.dumps(record).decode()


LOG_LINES = [
    log_line(
        103.0, "broken_off", request="r1", backends=["i-2"], cause="i-2: it ended"
    ),
    log_line(100.0, "sent", request="r1", backend="i-1", expected_s=0.2),
    log_line(101.0, "moved", request="r1", source="i-1", target="i-2", outcome="moved"),
    log_line(101.5, "answered", request="r2", backends=["i-1"]),
    log_line(102.5, "backend_announced", process="g2", backend="i-2", leaving=True),
    log_line(10.0, "backend_announced", process="g2", backend="i-2", leaving=False),
]


@given("logs of two processes in which a stream was migrated and then broken off")
def logs_of_broken_off_stream(context):
    context.log_text = "\n".join(LOG_LINES)


@given(
    "logs of an answer with {held:g} s held, {expected:g} s expected, {first:g} s first"
)
def logs_of_answer(context, held, expected, first):
    times = {"held_s": held, "expected_s": expected, "first_event_s": first}
    context.log_text = "\n".join(
        [
            log_line(100.0, "sent", request="r1", backend="i-1", expected_s=expected),
            log_line(
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


@then('the longest part of the time is "{longest}"')
def check_longest_part(context, longest):
    assert f"Longest part: {longest}, " in context.result.output, context.result.output


@given(
    "logs of a request that was refused before it was sent, with {expected:g} s "
    "expected"
)
def logs_of_unsent_request(context, expected):
    context.log_text = log_line(
        100.0, "refused", request="r1", status=503, taken_s=0.002, expected_s=expected
    )


@then("the report says that no request was sent and that {expected:g} s were expected")
def check_not_sent(context, expected):
    text = context.result.output
    assert f"not sent; the first event was expected after {expected:.2f} s" in text


@given("logs of a {framing} stream with move {move} that ends as {event}")
def logs_of_stream_end(context, framing, move, event):
    end = {"framing": framing, "move": move, "cause": "i-1: the connection broke"}
    end |= {"backend": "i-1", "events": 7} if event == "attempt_broke" else {}
    end |= {"last_event": 7, "backends": ["i-1"]} if event == "answered" else {}
    lines = [log_line(100.0, "sent", request="r1", backend="i-1")]
    if move != "none":
        lines.append(
            log_line(
                101.5 if move == "pending" else 100.5,
                "moved",
                request="r1",
                source="i-1",
                target="i-2",
                outcome="migrate request: HTTP status 503, expected 200",
            )
        )
    lines.append(log_line(101.0, event, request="r1", **end))
    context.log_text = "\n".join(lines)


@then('the stream end is explained with "{delimiter}", "{order}" and "{decision}"')
def check_stream_end(context, delimiter, order, decision):
    (context.sentence,) = stream_ends(context)
    for text in ("Stream end at i-1", delimiter, order, decision):
        assert text in context.sentence, (text, context.sentence)


@given('logs of a close stream whose end was checked by "{proof}", complete {complete}')
def logs_of_end_check(context, proof, complete):
    is_complete = complete == "true"
    check = {"backend": "i-1", "proof": proof, "complete": is_complete}
    event = "answered" if is_complete else "attempt_broke"
    logs_of_stream_end(context, "close", "none", event)
    line = log_line(100.9, "end_checked", request="r1", **check)
    context.log_text = f"{line}\n{context.log_text}"


@then('the sentence has "{text}"')
def check_sentence(context, text):
    (sentence,) = stream_ends(context)
    assert text in sentence, sentence


@then('the answer to the move is "{outcome}" at {answered}')
def check_move_answer(context, outcome, answered):
    assert outcome in context.sentence, context.sentence
    assert answered in context.sentence, context.sentence


def stream_ends(context):
    """Return the lines of the report on the ends of streams."""
    lines = context.result.output.splitlines()
    return [line for line in lines if line.startswith("Stream end")]


@then("the stream end is explained")
def check_explained(context):
    assert len(stream_ends(context)) == 1, context.result.output


@then("the stream end is not explained")
def check_not_explained(context):
    assert not stream_ends(context), context.result.output


@given("logs of a request that was refused before it had a route")
def logs_of_refusal_without_route(context):
    context.log_text = log_line(
        100.0, "refused_at_once", request="r1", status=429, cause="over the limit of a"
    )


@then("the cause of the refusal is reported, and no outcome is missing")
def check_refusal(context):
    text = context.result.output
    assert "Status 429. Reason: over the limit of a." in text, text
    assert "No outcome is logged" not in text


@given("logs with text before the JSON of each line, and malformed lines")
def logs_with_prefixes(context):
    malformed = ["no json", "{half", '{"other": 1}']
    context.log_text = "\n".join(
        [f"  1.25 g1 {line}" for line in LOG_LINES] + malformed
    )


def run_explain(context, request_id):
    """Run `tanager explain` with the log on standard input."""
    runner = CliRunner()
    context.result = runner.invoke(
        main, ["explain", request_id], input=context.log_text
    )


@when("the request is explained")
def explain_request(context):
    run_explain(context, "r1")
    assert context.result.exit_code == 0, context.result.output


@when("an unknown request is explained")
def explain_unknown_request(context):
    run_explain(context, "r9")


@then("the lines of the request are listed by time, with the cause and what to check")
def check_order(context):
    text = context.result.output
    positions = [text.index(event) for event in ("sent", "moved", "broken_off")]
    assert positions == sorted(positions), text
    assert "i-2: it ended" in text
    assert "Next: " in text


@then(
    "the announcement of the leaving backend server is listed, other requests are not"
)
def check_changes(context):
    text = context.result.output
    assert "leaving=True" in text
    assert "leaving=False" not in text
    assert "r2" not in text


@then("the cause is reported")
def check_cause(context):
    assert "Reason: i-2: it ended." in context.result.output, context.result.output


@then("the command fails and reports how many log lines were searched")
def check_failure(context):
    assert context.result.exit_code != 0
    assert "request r9 is in none of the 6 log lines" in context.result.output, (
        context.result.output
    )
