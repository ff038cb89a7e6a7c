"""Steps of outcomes.feature."""

from __future__ import annotations

import time
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson
from behave import given, then, when
from click.testing import CliRunner

from support.relay import Relay
from tanagerturn.replay import trace as tr
from tanagerturn.replay.access_log import trace_from_access_log
from tanagerturn.replay.check import evaluate_outcomes
from tanagerturn.replay.codec import TraceError, parse_trace, trace_lines, write_trace
from tanagerturn.replay.environment import start_environment
from tanagerturn.replay.firms import FIRMS
from tanagerturn.replay.generator import Scenario, generate_trace
from tanagerturn.replay.main import main
from tanagerturn.replay.metrics import compare_runs
from tanagerturn.replay.report import build_report
from tanagerturn.replay.results import (
    CallerOutcome,
    RequestResult,
    RunHeader,
    RunResults,
    RunTotals,
    read_results,
    write_results,
)
from tanagerturn.replay.run import RunPlan, run_trace
from tanagerturn.replay.runner import ReplayOptions, Runner

EXPECTED_OUTCOMES = [
    tr.ExpectedOutcome(kind, limit)
    for kind, limit in (
        (tr.OutcomeKind.ANSWERED, 0),
        (tr.OutcomeKind.RIGHT_ANSWER, 0),
        (tr.OutcomeKind.EXECUTED_ONCE, 0),
        (tr.OutcomeKind.NOT_RUN_IS_TRUE, 0),
        (tr.OutcomeKind.LATENCY, 20_000),
        (tr.OutcomeKind.FIRST_TOKEN, 20_000),
        (tr.OutcomeKind.REFUSED_SHARE, 0),
        (tr.OutcomeKind.DEADLINES, 0),
        (tr.OutcomeKind.NO_LATE_WORK, 0),
        (tr.OutcomeKind.STREAMS_IN_ORDER, 0),
    )
]
RUN_MS = 600
TRACES = Path(__file__).parents[4] / "traces"
MAY_APPLY_TO_NOTHING = (tr.OutcomeKind.NOT_RUN_IS_TRUE,)


@given("a short trace of plain calls and model requests")
def short_trace(context):
    full_trace = generate_trace(FIRMS["inyenyeri"], Scenario.PURCHASE_PEAK, 5)
    plain = [r for r in full_trace.requests if not r.max_tokens][:40]
    drafts = [r for r in full_trace.requests if r.max_tokens][:16]
    draft_size = {
        "prefix": (),
        "prompt_tokens": 90,
        "max_tokens": 12,
        "deadline_ms": 8000,
    }
    shortened = [replace(draft, **draft_size) for draft in drafts]
    selected = [
        replace(request, at_ms=number * RUN_MS // 56)
        for number, request in enumerate(plain + shortened)
    ]
    event = tr.ReclaimNotice(100, ("engine-1", "seats-1"), 60_000)
    header = replace(
        full_trace.header, duration_ms=RUN_MS + 4000, outcomes=tuple(EXPECTED_OUTCOMES)
    )
    context.trace = tr.Trace(header, tuple(selected), (event,))


def replay_through_relay(context, defect: str):
    environment = start_environment(context.trace.header)
    context.closers.append(environment.stop)
    environment.start_backends(())
    relay = Relay(environment, defect)
    context.closers.append(relay.stop)
    trace = context.trace
    if defect == "late work":
        for name in ("engine-1", "seats-1"):
            environment.servers[name].reclaim(60_000)
            environment.servers[name].leaving_since_ms -= 3000
        trace = replace(trace, events=())
    plan = RunPlan(trace, (relay.address,), ReplayOptions(threads=16, draft_threads=16))
    return run_trace(plan, environment)


@when("the trace is replayed through a correct relay")
def replay_without_defect(context):
    context.results = replay_through_relay(context, "")


@when('the trace is replayed through a relay with the defect "{defect}"')
def replay_with_defect(context, defect):
    context.results = replay_through_relay(context, defect)


@then("every outcome passes and applies to at least one request or backend server")
def all_pass(context):
    verdicts = evaluate_outcomes(context.results, context.trace.outcomes)
    assert len(verdicts) == len(EXPECTED_OUTCOMES)
    for verdict in verdicts:
        assert verdict.passed, (verdict, verdict.broken_by)
        may_apply_to_nothing = verdict.outcome.outcome in MAY_APPLY_TO_NOTHING
        assert verdict.judged > 0 or may_apply_to_nothing, verdict


@then("the results are equal after writing and reading a result file")
def round_trips(context):
    with TemporaryDirectory() as folder:
        for name in ("r.jsonl", "r.jsonl.gz"):
            path = Path(folder) / name
            write_results(context.results, path)
            assert read_results(path) == context.results


@then("the report has the verdicts, plots and timeline")
def report_is_complete(context):
    relabelled = replace(
        context.results, header=replace(context.results.header, label="other")
    )
    page = build_report([context.results, relabelled], context.trace.outcomes)
    assert page.count("<svg") == 7
    assert page.count('class="pass"') == 2 * len(EXPECTED_OUTCOMES)
    assert "engine-1, seats-1 in 60000 ms" in page
    assert "http" not in page.replace("http://www.w3.org", "").replace(
        "http://purl.org", ""
    ).replace("http://creativecommons.org", "").replace("https://matplotlib.org", "")


@then('the outcome "{outcome}" fails and names the ids that violate it')
def outcome_fails(context, outcome):
    context.verdicts = evaluate_outcomes(context.results, context.trace.outcomes)
    verdict = next(v for v in context.verdicts if v.outcome.outcome.value == outcome)
    assert not verdict.passed
    assert verdict.broken_by


@then('no outcome except "{others}" fails')
def no_other_fails(context, others):
    allowed = others.split()
    for verdict in context.verdicts:
        name = verdict.outcome.outcome.value
        assert verdict.passed or name in allowed, (verdict, verdict.broken_by)


class StallingCaller:
    """Blocks for 400 ms in its first call; measures times as `Caller` does."""

    def __init__(self) -> None:
        self.calls = 0

    def call(self, request: tr.TraceRequest, due_s: float) -> RequestResult:
        """Return a result after 400 ms on the first call, otherwise at once."""
        sent_s = time.monotonic()
        self.calls += 1
        if self.calls == 1:
            time.sleep(0.4)
        return replace(
            answered_result(request.id),
            late_ms=(sent_s - due_s) * 1000,
            latency_ms=(time.monotonic() - due_s) * 1000,
        )


def answered_result(name: str, latency_ms: float = 1.0) -> RequestResult:
    return RequestResult(
        id=name,
        at_ms=0.0,
        client_account="a",
        service="seats",
        call="lookup",
        kind="idempotent",
        deadline_ms=1000.0,
        outcome=CallerOutcome.ANSWERED,
        latency_ms=latency_ms,
    )


@then("20 requests queued behind a 400 ms response include the wait in their times")
def wait_is_counted(context):
    full_trace = generate_trace(FIRMS["inyenyeri"], Scenario.PURCHASE_PEAK, 5)
    plain = [r for r in full_trace.requests if not r.max_tokens][:21]
    selected = [replace(r, at_ms=number * 10) for number, r in enumerate(plain)]
    runner = Runner(StallingCaller(), ReplayOptions(threads=1))
    results = runner.run(selected, ())
    assert len(results) == 21
    for number, result in enumerate(results[1:], start=1):
        assert result.late_ms >= 395 - number * 10
        assert result.latency_ms >= result.late_ms


@then("runs of two labels and three seeds give mean, minimum and maximum ratio")
def runs_are_compared(context):
    header = RunHeader(1, "v", "t", 1, 0, "", "", 1.0, 0, 0)
    end = RunTotals(1.0, 1.0, 0.0, 0.0, 0.0)
    base = RunResults(header, (answered_result("r"),), (), (), end)
    runs = []
    for seed in range(3):
        for label, factor in (("old", 1.0), ("new", 0.5 + 0.1 * seed)):
            header = replace(base.header, label=label, seed=seed)
            end = replace(base.end, cost=(seed + 1) * factor)
            runs.append(replace(base, header=header, end=end))
    rows = [row for row in compare_runs(runs, "old") if row.name == "cost"]
    assert [row.label for row in rows] == ["old", "new"]
    new = rows[1]
    assert new.seeds == 3
    ratios = (new.ratio_least, new.ratio, new.ratio_most)
    for actual, expected in zip(ratios, (0.5, 0.6, 0.7), strict=True):
        assert abs(actual - expected) < 1e-9, new


def access_line(number: int, **fields: object) -> bytes:
    line = {
        "time_ms": 1_000_000 - number * 100,
        "request_id": f"r{number}",
        "client_account": "ushers",
        "service": "seats",
        "call": "lookup",
        "kind": "idempotent",
        "priority": "urgent",
        "deadline_ms": 2000,
        "path": "/seats/1",
    }
    return orjson.dumps({"record": {"extra": {"access": line | fields}}})


@then("a log of three requests becomes a trace that can be read")
def log_becomes_trace(context):
    draft = {"blocks": ["00ff", "11ff"], "prompt_tokens": 5, "max_tokens": 7}
    lines = [access_line(1), b"other text", access_line(2), access_line(3, **draft)]
    trace = trace_from_access_log(lines, "t", "inyenyeri")
    assert [request.id for request in trace.requests] == ["r3", "r2", "r1"]
    assert [request.at_ms for request in trace.requests] == [0, 100, 200]
    assert trace.requests[0].prompt_tokens == 128
    assert parse_trace(b"\n".join(trace_lines(trace))) == trace


@then("an invalid access entry is reported with its line number")
def broken_access_line(context):
    try:
        trace_from_access_log([access_line(1), access_line(2, kind="odd")], "t", "f")
    except TraceError as error:
        assert error.faults[0][0] == 2
        assert "odd" in error.faults[0][1]
        return
    raise AssertionError("the invalid access log was converted without an error")


@then("check, compare, show and report succeed, and check fails with a defect")
def commands_succeed(context):
    with TemporaryDirectory() as folder:
        trace_file = f"{folder}/t.jsonl.gz"
        result_file = f"{folder}/r.jsonl"
        write_trace(context.trace, trace_file)
        write_results(replay_through_relay(context, ""), result_file)
        commands = (
            ["check", trace_file, result_file],
            ["compare", result_file, result_file],
            ["show", result_file],
            ["report", trace_file, result_file, "--out", f"{folder}/r.html"],
        )
        for command in commands:
            result = CliRunner().invoke(main, command)
            assert result.exit_code == 0, (command, result.output, result.exception)
        write_results(replay_through_relay(context, "doubled"), result_file)
        result = CliRunner().invoke(main, ["check", trace_file, result_file])
        assert result.exit_code == 1, result.output
        assert "FAIL executed_once" in result.output


@then("run and check succeed on 4 s of drafts and filings while an entry host crashes")
def in_process_run_succeeds(context):
    full_trace = generate_trace(FIRMS["fascicoli"], Scenario.NIGHT_BEFORE_FILING, 5)
    start_ms = 110 * 60_000
    events = (
        tr.ReclaimNotice(start_ms + 1000, ("engine-1", "filing-1"), 1000),
        tr.EntryDeath(start_ms + 2000, 1),
    )
    header = replace(full_trace.header, outcomes=tuple(EXPECTED_OUTCOMES))
    with TemporaryDirectory() as folder:
        trace_file, result_file = f"{folder}/t.jsonl", f"{folder}/r.jsonl"
        write_trace(replace(full_trace, header=header, events=events), trace_file)
        window = ["--from-s", "6600", "--to-s", "6604", "--entries", "3"]
        options = [*window, "--out", result_file, "--no-progress"]
        options += ["--settings", str(TRACES.parent / "examples" / "fascicoli")]
        result = CliRunner().invoke(main, ["run", trace_file, *options])
        assert result.exit_code == 0, (result.output, result.exception)
        result = CliRunner().invoke(main, ["check", trace_file, result_file])
        assert result.exit_code == 0, result.output
        timeline = read_results(result_file).timeline
    event_kinds = {timeline_event.what for timeline_event in timeline}
    assert {"reclaim", "entry", "lease", "settings"} <= event_kinds, timeline
