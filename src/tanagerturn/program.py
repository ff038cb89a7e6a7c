"""What all long-running programs share: options, settings check, signals."""

from __future__ import annotations

import ctypes
import signal
import sys
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import click

from tanagerturn.coordination.channels import tls_files
from tanagerturn.observe.logs import part_logger, set_up_logs
from tanagerturn.settings import SettingsError, load_process

if TYPE_CHECKING:
    from tanagerturn.coordination.remote import RemoteStateClient
    from tanagerturn.schema.settings_pb2 import ProcessSettings

VERSION: Final = "0.1.0"
EXIT_SETTINGS: Final = 2
EXIT_UNFINISHED: Final = 3
ARENA_OPTION: Final = -8
"""M_ARENA_MAX of the C library's mallopt."""

SWITCH_INTERVAL_S: Final = 0.0005
"""Longest turn of a thread that others wait for."""

ARENA_LIMIT: Final = 2
"""Heaps of the C library; one for each thread would keep freed memory apart."""

Start = Callable[["ProcessSettings", Callable[[], None]], Callable[[], int]]
"""Starts a program's parts; see `run_program`."""

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


def make_command(part: str, summary: str, start: Start) -> click.Command:
    """Make the command line of a long-running program.

    Args:
        part: Part of the settings that the program needs: entry, state or control.
        summary: One sentence of help.
        start: Starts the program's parts; see `run_program`.
    """

    @click.command(help=summary)
    @click.option("--settings", "path", required=True, help="Settings of the process.")
    @click.option("--check", is_flag=True, help="Check the settings and exit.")
    @click.version_option(VERSION)
    def command(path: str, check: bool) -> None:
        settings = read_settings(path, part)
        if check:
            click.echo(f"{path}: good")
            return
        run_program(settings, start)

    return command


def connect_state(settings: ProcessSettings) -> RemoteStateClient:
    """Return a client of the state members that a process's settings name."""
    from tanagerturn.coordination.remote import connect

    addresses = [member.address for member in settings.state_members]
    return connect(addresses, tls_files(settings))


def shorten_thread_turns() -> None:
    """Let threads take turns more often: each step of a request waits for one."""
    sys.setswitchinterval(SWITCH_INTERVAL_S)


def limit_arenas() -> None:
    """Bound the number of the C library's heaps, where it has such a setting."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(ARENA_OPTION, ARENA_LIMIT)


def run_program(settings: ProcessSettings, start: Start) -> None:
    """Run until SIGTERM, SIGINT or a drain command, then stop gracefully.

    A second signal ends the process at once.

    Args:
        settings: Settings of the process.
        start: Starts the parts. It gets the settings and a function that makes
            the program stop; it returns what stops the parts and counts what
            was left unfinished.
    """
    limit_arenas()
    shorten_thread_turns()
    set_up_logs(settings.logging, settings.id)
    stopping = threading.Event()

    def on_signal(number: int, frame: object) -> None:
        if stopping.is_set():
            log.error("Second signal: ends without waiting.")
            sys.exit(EXIT_UNFINISHED)
        stopping.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    stop = start(settings, stopping.set)
    while not stopping.wait(timeout=0.5):
        pass
    sys.exit(EXIT_UNFINISHED if stop() else 0)
