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
from tanagerturn.replay.check import judge_all
from tanagerturn.replay.codec import TraceError, parse_trace, trace_lines, write_trace
from tanagerturn.replay.figures import compare_runs
from tanagerturn.replay.firms import FIRMS
from tanagerturn.replay.main import main
from tanagerturn.replay.record import record_trace
from tanagerturn.replay.recorder import Scenario, make_trace
from tanagerturn.replay.report import build_report
from tanagerturn.replay.results import (
    CallerOutcome,
    RequestResult,
    RunEnd,
    RunHeader,
    RunResults,
    read_results,
    write_results,
)
from tanagerturn.replay.run import RunPlan, run_trace
from tanagerturn.replay.runner import Pace, Runner
from tanagerturn.replay.stage import start_stage

STATED = [
    tr.StatedOutcome(kind, limit)
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
ONLY_WHEN_TOLD = (tr.OutcomeKind.NOT_RUN_IS_TRUE,)


@given("a short trace of both kinds of work")
def short_trace(context):
    full = make_trace(FIRMS["inyenyeri"], Scenario.PURCHASE_PEAK, 5)
    plain = [r for r in full.requests if not r.max_tokens][:40]
    drafts = [r for r in full.requests if r.max_tokens][:16]
    small = {"prefix": (), "prompt_tokens": 90, "max_tokens": 12, "deadline_ms": 8000}
    shortened = [replace(draft, **small) for draft in drafts]
    chosen = [
        replace(request, at_ms=number * RUN_MS // 56)
        for number, request in enumerate(plain + shortened)
    ]
    event = tr.ReclaimNotice(100, ("engine-1", "seats-1"), 60_000)
    header = replace(full.header, duration_ms=RUN_MS + 4000, outcomes=tuple(STATED))
    context.trace = tr.Trace(header, tuple(chosen), (event,))


def play(context, fault: str):
    stage = start_stage(context.trace.header)
    context.closers.append(stage.stop)
    stage.start_backends(())
    relay = Relay(stage, fault)
    context.closers.append(relay.stop)
    trace = context.trace
    if fault == "late work":
        for name in ("engine-1", "seats-1"):
            stage.servers[name].reclaim(60_000)
            stage.servers[name].left_at_ms -= 3000
        trace = replace(trace, events=())
    plan = RunPlan(trace, (relay.address,), Pace(threads=16, draft_threads=16))
    return run_trace(plan, stage)


@when("it is played through an orderly relay")
def play_orderly(context):
    context.results = play(context, "")


@when('it is played through a relay with the fault "{fault}"')
def play_faulty(context, fault):
    context.results = play(context, fault)


@then("every outcome passes and has been judged on something")
def all_pass(context):
    verdicts = judge_all(context.results, context.trace.outcomes)
    assert len(verdicts) == len(STATED)
    for verdict in verdicts:
        assert verdict.passed, (verdict, verdict.broken_by)
        told = verdict.outcome.outcome in ONLY_WHEN_TOLD
        assert verdict.judged > 0 or told, verdict


@then("the result file gives the same verdicts when read again")
def same_again(context):
    with TemporaryDirectory() as folder:
        for name in ("r.jsonl", "r.jsonl.gz"):
            path = Path(folder) / name
            write_results(context.results, path)
            assert read_results(path) == context.results


@then("the report page holds the verdicts, plots and timeline")
def page_holds(context):
    other = replace(
        context.results, header=replace(context.results.header, label="other")
    )
    page = build_report([context.results, other], context.trace.outcomes)
    assert page.count("<svg") == 7
    assert page.count('class="pass"') == 2 * len(STATED)
    assert "engine-1, seats-1 in 60000 ms" in page
    assert "http" not in page.replace("http://www.w3.org", "").replace(
        "http://purl.org", ""
    ).replace("http://creativecommons.org", "").replace("https://matplotlib.org", "")


@then('the outcome "{outcome}" fails and names requests')
def fails(context, outcome):
    context.verdicts = judge_all(context.results, context.trace.outcomes)
    verdict = next(v for v in context.verdicts if v.outcome.outcome.value == outcome)
    assert not verdict.passed
    assert verdict.broken_by


@then('no outcome but "{others}" fails')
def no_other_fails(context, others):
    allowed = others.split()
    for verdict in context.verdicts:
        name = verdict.outcome.outcome.value
        assert verdict.passed or name in allowed, (verdict, verdict.broken_by)


class StallingCaller:
    """Stalls on its first call only; notes times as a caller does."""

    def __init__(self) -> None:
        self.calls = 0

    def call(self, request: tr.TraceRequest, due_s: float) -> RequestResult:
        """Stall on the first call."""
        sent_s = time.monotonic()
        self.calls += 1
        if self.calls == 1:
            time.sleep(0.4)
        return replace(
            result_of(request.id),
            late_ms=(sent_s - due_s) * 1000,
            latency_ms=(time.monotonic() - due_s) * 1000,
        )


def result_of(name: str, latency_ms: float = 1.0) -> RequestResult:
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


@then("20 requests behind a stall of 400 ms on one thread count the wait")
def waits_counted(context):
    full = make_trace(FIRMS["inyenyeri"], Scenario.PURCHASE_PEAK, 5)
    plain = [r for r in full.requests if not r.max_tokens][:21]
    chosen = [replace(r, at_ms=number * 10) for number, r in enumerate(plain)]
    runner = Runner(StallingCaller(), Pace(threads=1))
    results = runner.run(chosen, ())
    assert len(results) == 21
    for number, result in enumerate(results[1:], start=1):
        assert result.late_ms >= 395 - number * 10
        assert result.latency_ms >= result.late_ms


@then("runs of two labels and three seeds give ratios with their spread")
def compared(context):
    header = RunHeader(1, "v", "t", 1, 0, "", "", 1.0, 0, 0)
    end = RunEnd(1.0, 1.0, 0.0, 0.0, 0.0)
    base = RunResults(header, (result_of("r"),), (), (), end)
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
    for found, wanted in zip(ratios, (0.5, 0.6, 0.7), strict=True):
        assert abs(found - wanted) < 1e-9, new


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


@then("a log of three requests becomes a trace that is read again")
def log_becomes_trace(context):
    draft = {"blocks": ["00ff", "11ff"], "prompt_tokens": 5, "max_tokens": 7}
    lines = [access_line(1), b"other text", access_line(2), access_line(3, **draft)]
    trace = record_trace(lines, "t", "inyenyeri")
    assert [request.id for request in trace.requests] == ["r3", "r2", "r1"]
    assert [request.at_ms for request in trace.requests] == [0, 100, 200]
    assert trace.requests[0].prompt_tokens == 128
    assert parse_trace(b"\n".join(trace_lines(trace))) == trace


@then("a broken access line is named by its number")
def broken_access_line(context):
    try:
        record_trace([access_line(1), access_line(2, kind="odd")], "t", "f")
    except TraceError as error:
        assert error.faults[0][0] == 2
        assert "odd" in error.faults[0][1]
        return
    raise AssertionError("was read")


@then("run, check, compare, show and report end well on an orderly relay")
def command_line(context):
    with TemporaryDirectory() as folder:
        trace_file = f"{folder}/t.jsonl.gz"
        result_file = f"{folder}/r.jsonl"
        write_trace(context.trace, trace_file)
        write_results(play(context, ""), result_file)
        commands = (
            ["check", trace_file, result_file],
            ["compare", result_file, result_file],
            ["show", result_file],
            ["report", trace_file, result_file, "--out", f"{folder}/r.html"],
        )
        for command in commands:
            done = CliRunner().invoke(main, command)
            assert done.exit_code == 0, (command, done.output, done.exception)
        write_results(play(context, "doubled"), result_file)
        done = CliRunner().invoke(main, ["check", trace_file, result_file])
        assert done.exit_code == 1, done.output
        assert "FAIL executed_once" in done.output


@then("run and check end well on 4 s of the shipped night with an entry host dying")
def in_process(context):
    full = make_trace(FIRMS["fascicoli"], Scenario.NIGHT_BEFORE_FILING, 5)
    start_ms = 110 * 60_000
    events = (
        tr.ReclaimNotice(start_ms + 1000, ("engine-1", "filing-1"), 1000),
        tr.EntryDeath(start_ms + 2000, 1),
    )
    header = replace(full.header, outcomes=tuple(STATED))
    with TemporaryDirectory() as folder:
        trace_file, result_file = f"{folder}/t.jsonl", f"{folder}/r.jsonl"
        write_trace(replace(full, header=header, events=events), trace_file)
        window = ["--from-s", "6600", "--to-s", "6604", "--entries", "3"]
        options = [*window, "--out", result_file, "--no-progress"]
        options += ["--settings", str(TRACES.parent / "examples" / "fascicoli")]
        done = CliRunner().invoke(main, ["run", trace_file, *options])
        assert done.exit_code == 0, (done.output, done.exception)
        done = CliRunner().invoke(main, ["check", trace_file, result_file])
        assert done.exit_code == 0, done.output
        timeline = read_results(result_file).timeline
    happened = {happening.what for happening in timeline}
    assert {"reclaim", "entry", "lease", "settings"} <= happened, timeline
