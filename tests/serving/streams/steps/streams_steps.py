"""Steps of streams.feature."""

from __future__ import annotations

from dataclasses import replace

from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from tanagerturn.serving.streams.assembler import OutOfOrderError, StreamAssembler
from tanagerturn.serving.streams.chunks import Chunk, LossCause
from tanagerturn.serving.streams.stalls import make_stall_limits, silence_limit_s

REQUEST = "r1"
LENGTH = 40
PHASES = (Phase.explicit, Phase.generate)


class AnyAttemptAssembler(StreamAssembler):
    """Assembler with an injected defect: it accepts chunks of any attempt."""

    def accept(self, chunk: Chunk) -> list[Chunk]:
        """Process a chunk as if the current attempt had generated it."""
        return super().accept(replace(chunk, attempt=self.attempt))


def make_tokens(attempt: int) -> list[str]:
    """Return the tokens that an attempt generates, different for each attempt."""
    return [f"{attempt}:{n} " for n in range(LENGTH)]


def chunks_of(attempt: int, start: int, sizes: list[int]) -> list[Chunk]:
    chunks = []
    offset = start
    for size in [*sizes, LENGTH]:
        size = min(size, LENGTH - offset)
        if size == 0:
            break
        text = "".join(make_tokens(attempt)[offset : offset + size])
        chunks.append(Chunk(REQUEST, attempt, offset, size, text))
        offset += size
    return chunks


def run_stream(make, draw) -> None:
    """Run one stream to its end and check the tokens that the caller received.

    Args:
        make: Creates the assembler of a request.
        draw: Draws a value from a Hypothesis strategy.
    """
    stream = make(REQUEST)
    received: list[Chunk] = []
    old: list[Chunk] = []
    expected = ""
    sizes = st.lists(st.integers(1, 5), max_size=12)
    for last in (False, False, True):
        start = stream.delivered
        chunks = chunks_of(stream.attempt, start, draw(sizes))
        current = chunks if last else chunks[: draw(st.integers(0, len(chunks)))]
        noise = [*old, *(replace(c, request_id="r2") for c in chunks[:2]), *current[:2]]
        mixed = draw(st.permutations([*current, *noise]))
        for chunk in mixed:
            received.extend(stream.accept(chunk))
        expected += "".join(make_tokens(stream.attempt)[start : stream.delivered])
        old.extend(chunks)
        if not last:
            stream.resume(LossCause.ENGINE_LOST)
    assert stream.delivered == LENGTH
    assert sum(chunk.tokens for chunk in received) == LENGTH
    assert "".join(chunk.text for chunk in received) == expected


def check_streams(make) -> None:
    @settings(max_examples=150, phases=PHASES, report_multiple_bugs=False)
    @for_all(st.data())
    def check(data):
        run_stream(make, data.draw)

    check()


@then("streams with lost engines and late, repeated and foreign chunks are complete")
def streams_are_complete(context):
    check_streams(StreamAssembler)


@given("an assembler that accepts chunks of any attempt")
def defective_assembler(context):
    context.make = AnyAttemptAssembler


@then("streams with lost engines and late, repeated and foreign chunks are incomplete")
def streams_are_incomplete(context):
    try:
        check_streams(context.make)
    except (AssertionError, OutOfOrderError):
        return
    raise AssertionError("the injected defect was not detected")


@given('a stream that delivered "{text}" as {tokens:d} tokens')
def stream_delivered(context, text, tokens):
    context.stream = StreamAssembler(REQUEST)
    context.stream.accept(Chunk(REQUEST, 1, 0, tokens, text))


@when("its engine is lost by {cause:w}")
def engine_is_lost(context, cause):
    context.resume = context.stream.resume(LossCause[cause])


@then('attempt {attempt:d} resumes from {tokens:d} with "{text}"')
def attempt_resumes(context, attempt, tokens, text):
    found = context.resume
    assert (found.attempt, found.resume_from) == (attempt, tokens)
    assert found.continuation == text


@then("a chunk of attempt {attempt:d} is discarded as late")
def discarded_as_late(context, attempt):
    stream = context.stream
    assert stream.accept(Chunk(REQUEST, attempt, stream.delivered, 1, "x")) == []
    assert stream.dropped.late == 1


@then("{tokens:d} recomputed tokens are counted for {cause:w}")
def recomputed_are_counted(context, tokens, cause):
    context.stream.count_recomputed(tokens)
    assert context.stream.recomputed == {LossCause[cause]: tokens}


@then("{count:d} chunks after a gap end the attempt")
def chunks_after_gap(context, count):
    stream = context.stream
    for number in range(count - 1):
        stream.accept(Chunk(REQUEST, 1, 10 + number, 1, "x"))
    try:
        stream.accept(Chunk(REQUEST, 1, 10 + count, 1, "x"))
    except OutOfOrderError:
        return
    raise AssertionError("the chunks after the gap did not end the attempt")


@then(
    "with targets of {first:d} ms and {token:d} ms the limits are "
    "{first_s:g} and {token_s:g} seconds"
)
def stall_limits(context, first, token, first_s, token_s):
    context.limits = make_stall_limits(first, token)
    found = [silence_limit_s(context.limits, has, 1e9) for has in (False, True)]
    assert [round(s, 6) for s in found] == [first_s, token_s], found


@then("no limit exceeds the time until the deadline")
def within_deadline(context):
    assert silence_limit_s(context.limits, False, 1.5) == 1.5
    assert silence_limit_s(context.limits, True, -1.0) == 0.0
