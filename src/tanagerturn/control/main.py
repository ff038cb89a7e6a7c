"""Command line of tanager-control."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from tanagerturn.program import VERSION, read_settings, run_program, tls_files

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.schema.settings_pb2 import ProcessSettings


@click.command()
@click.option("--settings", "path", required=True, help="Settings file of the process.")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(VERSION)
def main(path: str, check: bool) -> None:
    """Hold the right number of hosts and carry reclaims out."""
    settings = read_settings(path, "control")
    if check:
        click.echo(f"{path}: good")
        return
    run_program(settings, _start)


def _start(settings: ProcessSettings, drain: Callable[[], None]) -> Callable[[], int]:
    from tanagerturn.control.server import start_control
    from tanagerturn.coordination.remote import connect

    client = connect(
        [member.address for member in settings.state_members], tls_files(settings)
    )
    server = start_control(settings, client)
    server.operations.commands["/drain"] = drain

    def stop() -> int:
        server.stop()
        client.close()
        return 0

    return stop
