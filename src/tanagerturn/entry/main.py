"""Command line of tanager-entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.program import connect_state, make_command
from tanagerturn.shared.heap import set_up_heap

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.schema.settings_pb2 import ProcessSettings


def start(settings: ProcessSettings, drain: Callable[[], None]) -> Callable[[], int]:
    """Start the components of the program; see `run_program`."""
    from tanagerturn.entry.server import start_entry

    set_up_heap()
    client = connect_state(settings)
    server = start_entry(settings, client)
    server.operations.commands["/drain"] = drain

    def stop() -> int:
        unfinished_count = server.stop()
        client.close()
        return unfinished_count

    return stop


main = make_command(
    "entry", "Take callers' requests and route them to backend servers.", start
)
