"""Code of all long-running programs: options, settings validation and signals."""

from __future__ import annotations

import ctypes
import signal
import sys
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import click

from tanagerturn.coordination.channels import tls_files
from tanagerturn.observe.logs import component_logger, set_up_logs
from tanagerturn.settings import SettingsError, load_process

if TYPE_CHECKING:
    from tanagerturn.coordination.remote import RemoteStateClient
    from tanagerturn.schema.settings_pb2 import ProcessSettings

VERSION: Final = "0.1.0"
EXIT_INVALID_SETTINGS: Final = 2
EXIT_UNFINISHED: Final = 3
MALLOPT_ARENA_MAX: Final = -8
"""Parameter M_ARENA_MAX of glibc's mallopt: maximum number of malloc arenas."""

SWITCH_INTERVAL_S: Final = 0.0005
"""Time in seconds for which a thread keeps the GIL while other threads wait."""

MAX_MALLOC_ARENAS: Final = 2
"""Maximum number of malloc arenas. With an arena for each thread, memory that one
thread frees can't be reused by other threads."""

StartFunction = Callable[["ProcessSettings", Callable[[], None]], Callable[[], int]]
"""Function that starts a program's components; see `run_program`."""

log = component_logger("process")


def load_settings_or_exit(path: str, section: str) -> ProcessSettings:
    """Load the settings of a process, or print all faults in them and exit.

    Args:
        path: Path of the settings file.
        section: Section that the program requires: entry, state or control.
    """
    try:
        settings = load_process(path)
    except SettingsError as error:
        for fault in error.faults:
            click.echo(f"settings: {fault}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    if not settings.HasField(section):  # type: ignore[arg-type]
        click.echo(
            f"settings: {path}: the required section {section!r} is missing", err=True
        )
        sys.exit(EXIT_INVALID_SETTINGS)
    return settings


def make_command(section: str, summary: str, start: StartFunction) -> click.Command:
    """Return the command line of a long-running program.

    Args:
        section: Settings section that the program requires: entry, state or control.
        summary: Help text of the program, one sentence.
        start: Function that starts the program's components; see `run_program`.
    """

    @click.command(help=summary)
    @click.option("--settings", "path", required=True, help="Settings file.")
    @click.option("--check", is_flag=True, help="Validate the settings and exit.")
    @click.version_option(VERSION)
    def command(path: str, check: bool) -> None:
        settings = load_settings_or_exit(path, section)
        if check:
            click.echo(f"{path}: good")
            return
        run_program(settings, start)

    return command


def connect_state(settings: ProcessSettings) -> RemoteStateClient:
    """Return a client of the state members that are listed in a process's settings."""
    from tanagerturn.coordination.remote import connect

    addresses = [member.address for member in settings.state_members]
    return connect(addresses, tls_files(settings))


def shorten_switch_interval() -> None:
    """Shorten the GIL switch interval: each step of a request waits for a thread."""
    sys.setswitchinterval(SWITCH_INTERVAL_S)


def limit_malloc_arenas() -> None:
    """Limit the number of malloc arenas, if the C library has mallopt."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(MALLOPT_ARENA_MAX, MAX_MALLOC_ARENAS)


def run_program(settings: ProcessSettings, start: StartFunction) -> None:
    """Run a program until SIGTERM, SIGINT or a drain command, then stop gracefully.

    Exits with 0, or with `EXIT_UNFINISHED` if requests were left unfinished. A second
    signal exits at once with `EXIT_UNFINISHED`.

    Args:
        settings: Settings of the process.
        start: Function that starts the components. It receives the settings and a
            function that requests a graceful stop. It returns a function that stops
            the components and returns the number of unfinished requests.
    """
    limit_malloc_arenas()
    shorten_switch_interval()
    set_up_logs(settings.logging, settings.id)
    stopping = threading.Event()

    def on_signal(number: int, frame: object) -> None:
        if stopping.is_set():
            log.error("Received a second signal: exiting without a graceful stop.")
            sys.exit(EXIT_UNFINISHED)
        stopping.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    stop = start(settings, stopping.set)
    while not stopping.wait(timeout=0.5):
        pass
    sys.exit(EXIT_UNFINISHED if stop() else 0)
