"""Context shared by the commands of `tanager`: output, connections, exit codes."""

from __future__ import annotations

import http.client
import sys
from dataclasses import dataclass, field
from enum import IntEnum
from functools import cached_property
from typing import TYPE_CHECKING, Any, Final, NoReturn

import click
import orjson
import urllib3

from tanagerturn.coordination.channels import tls_files
from tanagerturn.coordination.errors import StepError, UnavailableError
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.settings_history import (
    SettingsConflict,
    SettingsHistory,
    SettingsInvalid,
)
from tanagerturn.settings import SettingsError, load_process
from tanagerturn.shared.http_pools import make_pools

if TYPE_CHECKING:
    from expression import Result

    from tanagerturn.coordination.channels import TlsFiles
    from tanagerturn.coordination.remote import RemoteStateClient
    from tanagerturn.operator.output import Output
    from tanagerturn.schema.settings_pb2 import ProcessSettings

HTTP_TIMEOUT_S: Final = 5.0
"""Timeout of a request to an operations listener, in seconds."""

MAX_POOLS: Final = 10
"""Maximum number of processes to which connections are pooled."""


class ExitCode(IntEnum):
    """Exit codes of `tanager`, as its help text lists them."""

    SUCCESS = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNAVAILABLE = 4


@dataclass
class Session:
    """Context of one invocation of `tanager`, passed to each command."""

    output: Output
    """Prints results."""
    members: tuple[str, ...] = ()
    """Addresses of state members from the command line, as IP:PORT; empty to use the
    addresses in the settings file."""
    settings_file: str = ""
    """Path of a process's settings file; empty if none is given."""
    tls: TlsFiles | None = None
    """TLS files from the command line; None to use the TLS files that the
    settings file names, or plain TCP if it names no TLS files."""
    timeout_s: float = 5.0
    """Timeout of one call to a state member, in seconds."""
    http: urllib3.PoolManager = field(default_factory=lambda: make_pools(MAX_POOLS))
    """HTTP client for operations listeners, without retries."""

    @cached_property
    def client(self) -> RemoteStateClient:
        """Return the client of the state members; it is created on first use."""
        from tanagerturn.coordination.remote import connect

        return connect(self.member_addresses(), self.find_tls_files())

    @cached_property
    def settings_history(self) -> SettingsHistory:
        """Return the history of the deployment's settings in the control group."""
        return SettingsHistory(self.client, CONTROL_GROUP, timeout_s=self.timeout_s)

    @cached_property
    def process_settings(self) -> ProcessSettings:
        """Return the settings of the settings file, or exit if they are not valid."""
        if not self.settings_file:
            fail(ExitCode.INVALID, "no state members given: use --member or --settings")
        try:
            return load_process(self.settings_file)
        except SettingsError as error:
            return fail(ExitCode.INVALID, str(error))

    def member_addresses(self) -> list[str]:
        """Return the addresses of the state members, as IP:PORT."""
        if self.members:
            return list(self.members)
        return [member.address for member in self.process_settings.state_members]

    def find_tls_files(self) -> TlsFiles | None:
        """Return the TLS files for calls to state members; None for plain TCP."""
        if self.tls is not None or not self.settings_file:
            return self.tls
        return tls_files(self.process_settings)

    def unwrap_or_exit(self, result: Result[Any, StepError]) -> Any:
        """Return the value of a result, or print its error and exit."""
        if result.is_ok():
            return result.ok
        return fail(_exit_code(result.error), _describe_error(result.error))

    def request_json(self, address: str, path: str, method: str = "GET") -> Any:
        """Send a request to an operations listener and return its decoded response.

        Args:
            address: IP address and port of the listener.
            path: Path of the request, with a leading slash.
            method: HTTP method.

        Returns:
            Decoded JSON body of the response.
        """
        try:
            response = self.http.request(
                method, f"http://{address}{path}", timeout=HTTP_TIMEOUT_S
            )
        except (urllib3.exceptions.HTTPError, http.client.HTTPException) as error:
            fail(ExitCode.UNAVAILABLE, f"{method} http://{address}{path}: {error}")
        if response.status != 200:
            fail(
                ExitCode.FAILED,
                f"{method} http://{address}{path}: expected status 200, "
                f"got {response.status}",
            )
        return orjson.loads(response.data)


def fail(code: ExitCode, message: str) -> NoReturn:
    """Print an error to standard error and exit with the given code."""
    click.echo(f"tanager: {message}", err=True)
    sys.exit(code)


def _exit_code(error: StepError) -> ExitCode:
    if isinstance(error, SettingsConflict):
        return ExitCode.CONFLICT
    if isinstance(error, SettingsInvalid):
        return ExitCode.INVALID
    if isinstance(error, UnavailableError):
        return ExitCode.UNAVAILABLE
    return ExitCode.FAILED


def _describe_error(error: StepError) -> str:
    if isinstance(error, SettingsConflict):
        current = error.current
        return (
            f"{error}. Revision {current.number} was made by {current.author} "
            f"({current.note or 'no note'}); compare it with `tanager config diff`."
        )
    if isinstance(error, SettingsInvalid):
        return "settings are not valid:\n" + "\n".join(
            f"  {fault}" for fault in error.faults
        )
    return str(error)
