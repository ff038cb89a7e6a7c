"""Command line of tanager-state."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final

import click

from tanagerturn.program import VERSION, read_settings, run_program

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.schema.settings_pb2 import ProcessSettings


STOP_GRACE_S: Final = 5.0


@click.command()
@click.option("--settings", "path", required=True, help="Settings file of the process.")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(VERSION)
def main(path: str, check: bool) -> None:
    """Hold the replicated state."""
    settings = read_settings(path, "state")
    if check:
        click.echo(f"{path}: good")
        return
    run_program(settings, _start)


def _start(settings: ProcessSettings, drain: Callable[[], None]) -> Callable[[], int]:
    from prometheus_client import REGISTRY

    from tanagerturn.observe.operations import OperationsServer
    from tanagerturn.state.server import THREAD_SWITCH_S, start_state

    sys.setswitchinterval(THREAD_SWITCH_S)
    server = start_state(settings)
    operations = OperationsServer(
        settings.operations, REGISTRY, server.ready, server.dump, {"/drain": drain}
    )

    def stop() -> int:
        server.stop(STOP_GRACE_S)
        operations.stop()
        return 0

    return stop
