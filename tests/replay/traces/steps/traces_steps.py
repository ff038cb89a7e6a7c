"""Steps of traces.feature."""

from __future__ import annotations

import gzip
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from tanagerturn.replay import trace as tr
from tanagerturn.replay.codec import (
    TraceError,
    parse_trace,
    read_trace,
    trace_lines,
    write_trace,
)
from tanagerturn.replay.firms import FIRMS
from tanagerturn.replay.generator import RATE_PHASES, Scenario, generate_trace

TRACES = Path(__file__).parents[4] / "traces"

names = st.text(min_size=1, max_size=8)
times = st.integers(0, 1000)
outcomes = st.builds(
    tr.ExpectedOutcome,
    outcome=st.sampled_from(tr.OutcomeKind),
    limit=st.floats(0, 1e6),
    service=names,
)
events = st.one_of(
    st.builds(
        tr.ReclaimNotice,
        at_ms=times,
        backends=st.lists(names, max_size=3).map(tuple),
        notice_ms=times,
        outcomes=st.lists(outcomes, max_size=2).map(tuple),
    ),
    st.builds(tr.EntryDeath, at_ms=times, entry=times),
    st.builds(tr.SettingsChange, at_ms=times, author=names, file=names, content=names),
)
requests = st.builds(
    tr.TraceRequest,
    at_ms=times,
    id=names,
    client_account=names,
    service=names,
    call=names,
    kind=st.sampled_from(tr.CallKind),
    priority=st.sampled_from(tr.Priority),
    deadline_ms=st.integers(1, 10**9),
    path=names.map(lambda text: "/" + text),
    body_bytes=st.integers(0, 10**6),
)


def small_header() -> tr.TraceHeader:
    outcome = tr.ExpectedOutcome(tr.OutcomeKind.ANSWERED)
    return tr.TraceHeader(1, "t", "f", 1, 1000, ("a",), 3, ("x",), (), (outcome,))


def small_trace() -> tr.Trace:
    full_trace = generate_trace(FIRMS["fascicoli"], Scenario.RECLAIM_WAVES, 3)
    return tr.Trace(full_trace.header, full_trace.requests[:20], full_trace.events)


@then("arbitrary traces are equal after writing and reading")
def survives_round_trip(context):
    @generated(
        st.lists(requests, max_size=5, unique_by=lambda r: r.id),
        st.lists(events, max_size=5),
        st.sampled_from(["t.jsonl", "t.jsonl.gz"]),
    )
    def check(some_requests, some_events, name):
        in_order = sorted(some_requests, key=lambda r: r.at_ms)
        events_in_order = sorted(some_events, key=lambda e: e.at_ms)
        trace = tr.Trace(small_header(), tuple(in_order), tuple(events_in_order))
        with TemporaryDirectory() as folder:
            write_trace(trace, Path(folder) / name)
            assert read_trace(Path(folder) / name) == trace

    check()


@then("each shipped trace equals the generated trace of its seed")
def equals_generated(context):
    context.shipped = {}
    for name, scenario in RATE_PHASES:
        trace = read_trace(TRACES / f"{name}-{scenario.value}.jsonl.gz")
        assert trace == generate_trace(FIRMS[name], scenario, trace.header.seed)
        context.shipped[trace.header.name] = trace
    size = sum(path.stat().st_size for path in TRACES.iterdir())
    assert size < 2_000_000, size


@then("each has as many backend servers, zones and accounts as its firm")
def matches_firm_size(context):
    for trace in context.shipped.values():
        kinds = [backend.type for backend in trace.header.backends]
        assert kinds.count(tr.BackendType.ENGINE) == 5
        assert kinds.count(tr.BackendType.SERVICE) == 4
        assert len(trace.header.availability_zones) == 4
        assert len(trace.header.client_accounts) == 5
        assert trace.header.entry_hosts in (9, 10)
        used = {request.client_account for request in trace.requests}
        assert used == set(trace.header.client_accounts)


@given("a small trace whose line {line:d} is replaced by {text}")
def broken_line(context, line, text):
    lines = list(trace_lines(small_trace()))
    lines[line - 1] = text.strip().encode()
    context.data = b"\n".join(lines)


@then('reading the trace fails at line {line:d} with "{reason}"')
def fails_at(context, line, reason):
    try:
        parse_trace(context.data)
    except TraceError as error:
        assert error.faults[0][0] == line, error
        assert reason in error.faults[0][1], error
        return
    raise AssertionError("the invalid trace was read without an error")


@then("reading a mutated trace raises nothing but TraceError")
def raises_trace_errors_only(context):
    original = b"\n".join(trace_lines(small_trace()))

    @settings(max_examples=300)
    @generated(
        st.integers(0, len(original)),
        st.integers(0, 40),
        st.binary(max_size=40),
        st.booleans(),
    )
    def check(start, length, replacement, compressed):
        data = original[:start] + replacement + original[start + length :]
        if compressed:
            packed_trace = gzip.compress(original, compresslevel=1)
            position = start % len(packed_trace)
            data = (
                packed_trace[:position]
                + replacement
                + packed_trace[position + length :]
            )
        try:
            parse_trace(data)
        except TraceError as error:
            assert 0 < len(error.faults) <= 20
            assert str(error)

    check()
