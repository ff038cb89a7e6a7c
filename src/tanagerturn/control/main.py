"""Command line of tanager-control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.program import connect_state, make_command

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.schema.settings_pb2 import ProcessSettings


def start(settings: ProcessSettings, drain: Callable[[], None]) -> Callable[[], int]:
    """Start the components of the program; see `run_program`."""
    from tanagerturn.control.server import start_control

    client = connect_state(settings)
    server = start_control(settings, client)
    server.operations.commands["/drain"] = drain

    def stop() -> int:
        server.stop()
        client.close()
        return 0

    return stop


main = make_command(
    "control",
    "Send orders to engines, record reclaim notices, and start and release hosts.",
    start,
)
