"""Command-line interface of tanager-replay."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import click

from tanagerturn.observe.logs import set_up_logs
from tanagerturn.replay.access_log import trace_from_access_log
from tanagerturn.replay.check import evaluate_outcomes, summarize
from tanagerturn.replay.codec import TraceError, read_trace, write_trace
from tanagerturn.replay.environment import start_environment
from tanagerturn.replay.firms import FIRMS
from tanagerturn.replay.generator import RATE_PHASES, generate_trace
from tanagerturn.replay.metrics import compare_runs, run_metrics
from tanagerturn.replay.results import ResultError, read_results, write_results
from tanagerturn.replay.run import RunPlan, run_trace
from tanagerturn.replay.runner import ReplayOptions
from tanagerturn.replay.tables import (
    COMPARISON_COLUMNS,
    comparison_rows,
    format_number,
)
from tanagerturn.schema.settings_pb2 import Logging
from tanagerturn.settings import SettingsError
from tanagerturn.tables import format_table

if TYPE_CHECKING:
    from tanagerturn.replay.environment import StandinEnvironment
    from tanagerturn.replay.results import RunResults
    from tanagerturn.replay.trace import Trace

DEFAULT_SEED: Final = 2026
MAX_LISTED: Final = 10
MS_PER_S: Final = 1000
EXIT_FAILED: Final = 1


def load_trace(path: str) -> Trace:
    """Read a trace file, or exit and print its faults to stderr."""
    try:
        return read_trace(path)
    except TraceError as error:
        raise click.ClickException(str(error)) from error


def load_results(path: str) -> RunResults:
    """Read a result file, or exit and print its fault to stderr."""
    try:
        return read_results(path)
    except ResultError as error:
        raise click.ClickException(str(error)) from error


def print_summary(results: RunResults) -> None:
    """Print the numbers of accepted, answered, lost and doubled requests."""
    summary = summarize(results)
    click.echo(
        f"{results.header.trace}: {summary.accepted} accepted, "
        f"{summary.answered_once} answered once, {summary.lost} lost, "
        f"{summary.doubled} doubled"
    )


@click.group()
@click.version_option(package_name="tanagerturn")
def main() -> None:
    """Replay traces and check what callers received and services executed."""


@main.command()
@click.argument("trace_file")
@click.option("--address", "addresses", multiple=True, help="IP:PORT of an entry host.")
@click.option(
    "--announce-to",
    multiple=True,
    help="IP:PORT to which stand-ins send announcements.",
)
@click.option(
    "--settings",
    default="",
    help="Settings folder of a deployment to run in this process.",
)
@click.option(
    "--policy", "policies", multiple=True, help="NAME=VALUE of a policy to override."
)
@click.option(
    "--entries", default=0, help="Number of entry hosts; 0 for that of the trace."
)
@click.option("--out", default="replay.jsonl", help="Result file to write.")
@click.option(
    "--speed", default=1.0, help="Factor by which to replay faster than recorded."
)
@click.option(
    "--from-s", default=0.0, help="Start of the window in the trace, in seconds."
)
@click.option(
    "--to-s",
    default=0.0,
    help="End of the window, in seconds; 0 for the end of the trace.",
)
@click.option(
    "--seed", default=0, help="Seed of the stand-ins' faults and random choices."
)
@click.option("--label", default="", help="Label of this run in comparisons.")
@click.option("--threads", default=32, help="Maximum number of concurrent plain calls.")
@click.option(
    "--draft-threads", default=128, help="Maximum number of concurrent model requests."
)
@click.option("--progress/--no-progress", default=True, help="Show a progress bar.")
def run(trace_file: str, **values: Any) -> None:
    """Replay TRACE_FILE and write a result file.

    The result file holds what callers received and what the stand-ins executed.
    Without --address, the deployment of --settings (by default examples/FIRM)
    runs in this process. With --address, entry hosts that already run are called,
    and the stand-ins announce themselves to --announce-to.
    """
    trace = load_trace(trace_file)
    options = ReplayOptions(
        speed=values["speed"],
        from_ms=int(values["from_s"] * MS_PER_S),
        to_ms=int(values["to_s"] * MS_PER_S),
        threads=values["threads"],
        draft_threads=values["draft_threads"],
        progress=values["progress"],
    )
    plan = RunPlan(trace, values["addresses"], options, values["seed"], values["label"])
    environment = start_environment(trace.header, plan.seed, options.speed)
    try:
        if plan.addresses:
            environment.start_backends(values["announce_to"])
            results = run_trace(plan, environment)
        else:
            results = run_in_process(plan, environment, values)
    finally:
        environment.stop()
    write_results(results, values["out"])
    print_summary(results)


def run_in_process(
    plan: RunPlan, environment: StandinEnvironment, values: dict[str, Any]
) -> RunResults:
    """Replay a trace against a deployment in this process.

    Args:
        plan: Trace and options; addresses, label, target and settings are filled in.
        environment: Stand-ins that the deployment calls.
        values: Options of the command `run`.

    Raises:
        click.ClickException: The settings are invalid.
    """
    from tanagerturn.replay.target import describe_settings, read_settings, start_target

    set_up_logs(Logging(level="ERROR"), "replay")
    folder = values["settings"] or f"examples/{plan.trace.header.firm}"
    policies = dict(parse_policy(text) for text in values["policies"])
    try:
        files = read_settings(folder, policies)
    except SettingsError as error:
        raise click.ClickException(str(error)) from error
    target = start_target(plan.trace.header, files, environment, values["entries"])
    try:
        target.start_backends()
        policy_label = ",".join(f"{name}={value}" for name, value in policies.items())
        plan = replace(
            plan,
            addresses=target.caller_addresses,
            label=plan.label or policy_label or "default",
            target=f"in process, {len(target.caller_addresses)} entry hosts",
            settings=describe_settings(files),
        )
        return run_trace(plan, environment)
    finally:
        target.stop()


def parse_policy(text: str) -> tuple[str, str]:
    """Split `NAME=VALUE` into name and value.

    Raises:
        click.BadParameter: The text has another form.
    """
    name, separator, value = text.partition("=")
    if not separator or not name or not value:
        raise click.BadParameter(f"found {text!r}, want NAME=VALUE")
    return name, value


@main.command()
@click.argument("trace_file")
@click.argument("result_file")
def check(trace_file: str, result_file: str) -> None:
    """Check the expected outcomes of TRACE_FILE against RESULT_FILE.

    The exit code is 1 if an outcome fails.
    """
    trace = load_trace(trace_file)
    results = load_results(result_file)
    if results.header.trace != trace.header.name:
        raise click.ClickException(
            f"{result_file} holds results of trace {results.header.trace!r}, "
            f"want {trace.header.name!r}"
        )
    window = (results.header.from_ms, results.header.to_ms)
    verdicts = evaluate_outcomes(results, trace.outcomes_between(*window))
    for verdict in verdicts:
        click.echo(str(verdict))
        if not verdict.passed:
            names = ", ".join(verdict.broken_by[:MAX_LISTED])
            more = len(verdict.broken_by) - MAX_LISTED
            click.echo(f"     {names}" + (f" and {more} more" if more > 0 else ""))
    print_summary(results)
    if not all(verdict.passed for verdict in verdicts):
        sys.exit(EXIT_FAILED)


@main.command()
@click.argument("result_files", nargs=-1, required=True)
@click.option(
    "--baseline",
    default="",
    help="Label whose runs the ratios refer to; default: that of the first file.",
)
def compare(result_files: tuple[str, ...], baseline: str) -> None:
    """Compare runs by label (policies or versions) over their seeds."""
    runs = [load_results(path) for path in result_files]
    try:
        comparisons = compare_runs(runs, baseline)
    except ValueError as error:
        raise click.ClickException(str(error)) from error
    click.echo(format_table(COMPARISON_COLUMNS, comparison_rows(comparisons)))


@main.command()
@click.argument("result_file")
def show(result_file: str) -> None:
    """Print the metrics of one run."""
    results = load_results(result_file)
    rows = [(f.name, format_number(f.value), f.unit) for f in run_metrics(results)]
    click.echo(format_table(("figure", "value", "unit"), rows))


@main.command()
@click.argument("trace_file")
@click.argument("result_files", nargs=-1, required=True)
@click.option("--out", default="report.html", help="HTML file to write.")
def report(trace_file: str, result_files: tuple[str, ...], out: str) -> None:
    """Write an HTML report about runs of TRACE_FILE."""
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
@click.option("--firm", default="", help="Firm whose traffic the log holds.")
@click.option(
    "--zone",
    "zones",
    multiple=True,
    help="Availability zone of the deployment; repeatable.",
)
@click.option("--entry-hosts", default=1, help="Number of entry hosts.")
def record(
    log_file: str,
    trace_file: str,
    name: str,
    firm: str,
    zones: tuple[str, ...],
    entry_hosts: int,
) -> None:
    """Convert LOG_FILE, an entry host's access log, to TRACE_FILE."""
    try:
        with Path(log_file).open("rb") as lines:
            trace = trace_from_access_log(
                lines, name, firm, zones, entry_hosts, log_file
            )
    except (OSError, TraceError) as error:
        raise click.ClickException(str(error)) from error
    write_trace(trace, trace_file)
    click.echo(f"{trace_file}: {len(trace.requests)} requests")


@main.command()
@click.option("--folder", default="traces", help="Folder to write to.")
@click.option("--seed", default=DEFAULT_SEED, help="Seed of the generator.")
@click.option(
    "--firm",
    type=click.Choice(list(FIRMS)),
    help="Generate only the traces of this firm.",
)
def make(folder: str, seed: int, firm: str | None) -> None:
    """Generate the traces that the project ships."""
    Path(folder).mkdir(parents=True, exist_ok=True)
    for name, scenario in RATE_PHASES:
        if firm not in (None, name):
            continue
        trace = generate_trace(FIRMS[name], scenario, seed)
        path = Path(folder) / f"{trace.header.name}.jsonl.gz"
        write_trace(trace, path)
        click.echo(f"{path}: {len(trace.requests)} requests")


if __name__ == "__main__":
    main()
