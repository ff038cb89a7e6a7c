"""Command line of tanager-entry."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final

import click

from tanagerturn.program import VERSION, read_settings, run_program, tls_files

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.schema.settings_pb2 import ProcessSettings


SWITCH_INTERVAL_S: Final = 0.0005
"""Longest turn of a thread: a request waits for several threads in turn."""


@click.command()
@click.option("--settings", "path", required=True, help="Settings file of the process.")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(VERSION)
def main(path: str, check: bool) -> None:
    """Take callers' requests and route them to backend servers."""
    settings = read_settings(path, "entry")
    if check:
        click.echo(f"{path}: good")
        return
    run_program(settings, _start)


def _start(settings: ProcessSettings, drain: Callable[[], None]) -> Callable[[], int]:
    from tanagerturn.coordination.remote import connect
    from tanagerturn.entry.server import start_entry

    sys.setswitchinterval(SWITCH_INTERVAL_S)
    client = connect(
        [member.address for member in settings.state_members], tls_files(settings)
    )
    server = start_entry(settings, client)
    server.operations.commands["/drain"] = drain

    def stop() -> int:
        left = server.stop()
        client.close()
        return left

    return stop
