"""Command line of tanager, the operators' command.

Exit codes: 0 good, 1 failed, 2 invalid input or settings, 3 conflict with
another operator's change, 4 no answer: the outcome is not known.
"""

from __future__ import annotations

import click

from tanagerturn.operator.config import config
from tanagerturn.operator.deployment import account, service
from tanagerturn.operator.output import Output
from tanagerturn.operator.processes import drain, dump, member, status
from tanagerturn.operator.session import Session
from tanagerturn.program import VERSION


@click.group(epilog=(__doc__ or "").partition("\n\n")[2])
@click.option("--member", "members", multiple=True, help="State member IP:PORT.")
@click.option("--settings", "settings_file", default="", help="A process's settings.")
@click.option("--timeout", default=5.0, help="Longest time of one call, in seconds.")
@click.option(
    "--output", type=click.Choice(["table", "json"]), default="table", show_default=True
)
@click.version_option(VERSION)
@click.pass_context
def main(
    context: click.Context,
    members: tuple[str, ...],
    settings_file: str,
    timeout: float,
    output: str,
) -> None:
    """Operate a tanagerturn deployment."""
    context.obj = Session(Output(output), members, settings_file, timeout)


for command in (config, service, account, member, status, drain, dump):
    main.add_command(command)
