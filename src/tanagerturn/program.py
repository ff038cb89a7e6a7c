"""What all long-running programs share: options, settings check, signals."""

from __future__ import annotations

import signal
import sys
import threading
from typing import TYPE_CHECKING, Final

import click

from tanagerturn.observe.logs import part_logger, set_up_logs
from tanagerturn.settings import SettingsError, load_process

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.schema.settings_pb2 import ProcessSettings

VERSION: Final = "0.1.0"
EXIT_SETTINGS: Final = 2
EXIT_UNFINISHED: Final = 3

log = part_logger("process")


def read_settings(path: str, part: str) -> ProcessSettings:
    """Load a process's settings, or end the program with all faults.

    Args:
        path: Path of the settings file.
        part: Part that this program needs: entry, state or control.
    """
    try:
        settings = load_process(path)
    except SettingsError as error:
        for fault in error.faults:
            click.echo(f"settings: {fault}", err=True)
        sys.exit(EXIT_SETTINGS)
    if not settings.HasField(part):  # type: ignore[arg-type]
        click.echo(f"settings: {path}: needs the part {part!r}", err=True)
        sys.exit(EXIT_SETTINGS)
    return settings


def run_program(
    settings: ProcessSettings, start: Callable[[ProcessSettings], Callable[[], int]]
) -> None:
    """Run until SIGTERM or SIGINT, then stop gracefully.

    A second signal ends the process at once.

    Args:
        settings: Settings of the process.
        start: Starts the parts; returns what stops them and counts what was
            left unfinished.
    """
    set_up_logs(settings.logging, settings.id)
    stopping = threading.Event()

    def on_signal(number: int, frame: object) -> None:
        if stopping.is_set():
            log.error("Second signal: ends without waiting.")
            sys.exit(EXIT_UNFINISHED)
        stopping.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    stop = start(settings)
    while not stopping.wait(timeout=0.5):
        pass
    sys.exit(EXIT_UNFINISHED if stop() else 0)
