"""Command line of tanager-replay."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import click

from tanagerturn.observe.logs import set_up_logs
from tanagerturn.replay.check import judge_all, summarize
from tanagerturn.replay.codec import TraceError, read_trace, write_trace
from tanagerturn.replay.figures import compare_runs, figures_of
from tanagerturn.replay.firms import FIRMS
from tanagerturn.replay.record import record_trace
from tanagerturn.replay.recorder import STRETCHES, make_trace
from tanagerturn.replay.results import ResultError, read_results, write_results
from tanagerturn.replay.run import RunPlan, run_trace
from tanagerturn.replay.runner import Pace
from tanagerturn.replay.stage import start_stage
from tanagerturn.replay.tables import (
    SPREAD_HEAD,
    format_number,
    format_table,
    spread_rows,
)
from tanagerturn.schema.settings_pb2 import Logging
from tanagerturn.settings import SettingsError

if TYPE_CHECKING:
    from tanagerturn.replay.results import RunResults
    from tanagerturn.replay.stage import Stage
    from tanagerturn.replay.trace import Trace

DEFAULT_SEED: Final = 2026
BROKEN_SHOWN: Final = 10
MS_PER_S: Final = 1000
EXIT_FAILED: Final = 1


def load_trace(path: str) -> Trace:
    """Read a trace, or end with its faults on stderr."""
    try:
        return read_trace(path)
    except TraceError as error:
        raise click.ClickException(str(error)) from error


def load_results(path: str) -> RunResults:
    """Read a result file, or end with the fault on stderr."""
    try:
        return read_results(path)
    except ResultError as error:
        raise click.ClickException(str(error)) from error


def show_summary(results: RunResults) -> None:
    """Print the four numbers of a run."""
    summary = summarize(results)
    click.echo(
        f"{results.header.trace}: {summary.accepted} accepted, "
        f"{summary.answered_once} answered once, {summary.lost} lost, "
        f"{summary.doubled} doubled"
    )


@click.group()
@click.version_option(package_name="tanagerturn")
def main() -> None:
    """Replay recorded traces and judge what callers got and services ran."""


@main.command()
@click.argument("trace_file")
@click.option("--address", "addresses", multiple=True, help="IP:PORT of an entry host.")
@click.option(
    "--announce-to", multiple=True, help="IP:PORT that stand-ins announce to."
)
@click.option(
    "--settings", default="", help="Folder of a deployment to run in this process."
)
@click.option("--policy", "policies", multiple=True, help="NAME=VALUE to set in it.")
@click.option("--entries", default=0, help="Entry hosts; 0 for the trace's number.")
@click.option("--out", default="replay.jsonl", help="Result file to write.")
@click.option("--speed", default=1.0, help="How much faster than recorded.")
@click.option("--from-s", default=0.0, help="Start of the window of the trace.")
@click.option("--to-s", default=0.0, help="End of the window; 0 for the trace's end.")
@click.option("--seed", default=0, help="Seed of faults and chances.")
@click.option("--label", default="", help="Name for this run in comparisons.")
@click.option("--threads", default=32, help="Plain calls open at once.")
@click.option("--draft-threads", default=128, help="Model requests open at once.")
@click.option("--progress/--no-progress", default=True, help="Show a progress bar.")
def run(trace_file: str, **values: Any) -> None:
    """Play TRACE_FILE and write what both ends saw.

    Without --address, the deployment of --settings (by default examples/FIRM)
    runs in this process. With --address, entry hosts that run already are
    called, and the stand-ins announce themselves to --announce-to.
    """
    trace = load_trace(trace_file)
    pace = Pace(
        speed=values["speed"],
        from_ms=int(values["from_s"] * MS_PER_S),
        to_ms=int(values["to_s"] * MS_PER_S),
        threads=values["threads"],
        draft_threads=values["draft_threads"],
        progress=values["progress"],
    )
    plan = RunPlan(trace, values["addresses"], pace, values["seed"], values["label"])
    stage = start_stage(trace.header, plan.seed, pace.speed)
    try:
        if plan.addresses:
            stage.start_backends(values["announce_to"])
            results = run_trace(plan, stage)
        else:
            results = run_in_process(plan, stage, values)
    finally:
        stage.stop()
    write_results(results, values["out"])
    show_summary(results)


def run_in_process(plan: RunPlan, stage: Stage, values: dict[str, Any]) -> RunResults:
    """Play a trace against a deployment in this process."""
    from tanagerturn.replay.target import describe_files, read_files, start_target

    set_up_logs(Logging(level="ERROR"), "replay")
    folder = values["settings"] or f"examples/{plan.trace.header.firm}"
    policies = dict(parse_policy(text) for text in values["policies"])
    try:
        files = read_files(folder, policies)
    except SettingsError as error:
        raise click.ClickException(str(error)) from error
    target = start_target(plan.trace.header, files, stage, values["entries"])
    try:
        target.start_backends()
        words = ",".join(f"{name}={value}" for name, value in policies.items())
        plan = replace(
            plan,
            addresses=target.caller_addresses,
            label=plan.label or words or "default",
            target=f"in process, {len(target.caller_addresses)} entry hosts",
            settings=describe_files(files),
        )
        return run_trace(plan, stage)
    finally:
        target.stop()


def parse_policy(text: str) -> tuple[str, str]:
    """Read `NAME=VALUE`.

    Raises:
        click.BadParameter: The text has another form.
    """
    name, separator, value = text.partition("=")
    if not separator or not name or not value:
        raise click.BadParameter(f"want NAME=VALUE, not {text!r}")
    return name, value


@main.command()
@click.argument("trace_file")
@click.argument("result_file")
def check(trace_file: str, result_file: str) -> None:
    """Judge the outcomes that TRACE_FILE states by RESULT_FILE.

    Exit code 1 when one fails.
    """
    trace = load_trace(trace_file)
    results = load_results(result_file)
    if results.header.trace != trace.header.name:
        raise click.ClickException(f"results are of {results.header.trace}")
    window = (results.header.from_ms, results.header.to_ms)
    verdicts = judge_all(results, trace.outcomes_between(*window))
    for verdict in verdicts:
        click.echo(str(verdict))
        if not verdict.passed:
            names = ", ".join(verdict.broken_by[:BROKEN_SHOWN])
            more = len(verdict.broken_by) - BROKEN_SHOWN
            click.echo(f"     {names}" + (f" and {more} more" if more > 0 else ""))
    show_summary(results)
    if not all(verdict.passed for verdict in verdicts):
        sys.exit(EXIT_FAILED)


@main.command()
@click.argument("result_files", nargs=-1, required=True)
@click.option("--baseline", default="", help="Label that ratios are taken against.")
def compare(result_files: tuple[str, ...], baseline: str) -> None:
    """Put result files side by side: policies, versions, seeds."""
    runs = [load_results(path) for path in result_files]
    try:
        spreads = compare_runs(runs, baseline)
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    click.echo(format_table(SPREAD_HEAD, spread_rows(spreads)))


@main.command()
@click.argument("result_file")
def show(result_file: str) -> None:
    """Print the figures of one run."""
    results = load_results(result_file)
    rows = [(f.name, format_number(f.value), f.unit) for f in figures_of(results)]
    click.echo(format_table(("figure", "value", "unit"), rows))


@main.command()
@click.argument("trace_file")
@click.argument("result_files", nargs=-1, required=True)
@click.option("--out", default="report.html", help="Page to write.")
def report(trace_file: str, result_files: tuple[str, ...], out: str) -> None:
    """Write one HTML page about runs of TRACE_FILE."""
    from tanagerturn.replay.report import build_report

    trace = load_trace(trace_file)
    runs = [load_results(path) for path in result_files]
    window = (runs[0].header.from_ms, runs[0].header.to_ms)
    page = build_report(runs, trace.outcomes_between(*window))
    Path(out).write_text(page, encoding="utf-8")
    click.echo(out)


@main.command()
@click.argument("log_file")
@click.argument("trace_file")
@click.option("--name", required=True, help="Name of the trace.")
@click.option("--firm", default="", help="Whose traffic it is.")
@click.option("--zone", "zones", multiple=True, help="Availability zone.")
@click.option("--entry-hosts", default=1, help="Number of entry hosts.")
def record(
    log_file: str,
    trace_file: str,
    name: str,
    firm: str,
    zones: tuple[str, ...],
    entry_hosts: int,
) -> None:
    """Turn LOG_FILE, an entry host's access log, into TRACE_FILE."""
    try:
        with Path(log_file).open("rb") as lines:
            trace = record_trace(lines, name, firm, zones, entry_hosts, log_file)
    except (OSError, TraceError) as error:
        raise click.ClickException(str(error)) from error
    write_trace(trace, trace_file)
    click.echo(f"{trace_file}: {len(trace.requests)} requests")


@main.command()
@click.option("--folder", default="traces", help="Folder to write into.")
@click.option("--seed", default=DEFAULT_SEED, help="Seed of the recorder.")
@click.option("--firm", type=click.Choice(list(FIRMS)), help="Only this firm.")
def make(folder: str, seed: int, firm: str | None) -> None:
    """Make the shipped traces again."""
    Path(folder).mkdir(parents=True, exist_ok=True)
    for name, scenario in STRETCHES:
        if firm not in (None, name):
            continue
        trace = make_trace(FIRMS[name], scenario, seed)
        path = Path(folder) / f"{trace.header.name}.jsonl.gz"
        write_trace(trace, path)
        click.echo(f"{path}: {len(trace.requests)} requests")


if __name__ == "__main__":
    main()
