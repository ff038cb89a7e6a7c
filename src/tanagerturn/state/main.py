"""Command line of `tanager-state`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.program import make_command

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.schema.settings_pb2 import ProcessSettings

STOP_GRACE_S: Final = 5.0
"""Longest wait for leadership transfers before the process stops, in seconds."""


def start(settings: ProcessSettings, drain: Callable[[], None]) -> Callable[[], int]:
    """Start the state member and its operations server; see `run_program`.

    Args:
        settings: Process settings with `state` and `state_members`.
        drain: Handler of `/drain` at the operations server.

    Returns:
        Function that stops both and returns the exit code.
    """
    from prometheus_client import REGISTRY

    from tanagerturn.observe.operations import OperationsServer
    from tanagerturn.state.server import start_state

    server = start_state(settings)
    operations = OperationsServer(
        settings.operations, REGISTRY, server.ready, server.dump, {"/drain": drain}
    )

    def stop() -> int:
        server.stop(STOP_GRACE_S)
        operations.stop()
        return 0

    return stop


main = make_command("state", "Run one member of the replicated state store.", start)
