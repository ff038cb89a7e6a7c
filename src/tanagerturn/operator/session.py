"""What every command of `tanager` needs: output, state members, exit codes."""

from __future__ import annotations

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

if TYPE_CHECKING:
    from expression import Result

    from tanagerturn.coordination.channels import TlsFiles
    from tanagerturn.coordination.remote import RemoteStateClient
    from tanagerturn.operator.output import Output
    from tanagerturn.schema.settings_pb2 import ProcessSettings

HTTP_TIMEOUT_S: Final = 5.0


class ExitCode(IntEnum):
    """Exit codes of `tanager`, as documented for operators."""

    GOOD = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNAVAILABLE = 4


@dataclass
class Session:
    """State of one run of the command."""

    output: Output
    """Prints results."""
    members: tuple[str, ...] = ()
    """Addresses of state members given on the command line."""
    settings_file: str = ""
    """Process settings that name the state members."""
    tls: TlsFiles | None = None
    """Certificates; those of the settings file when left out."""
    timeout_s: float = 5.0
    """Longest time of one call, in seconds."""
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False)
    )
    """Calls to operations listeners."""

    @cached_property
    def client(self) -> RemoteStateClient:
        """Return the connection to the state members."""
        from tanagerturn.coordination.remote import connect

        return connect(self.addresses(), self.certificates())

    @cached_property
    def history(self) -> SettingsHistory:
        """Return the history of the deployment's settings."""
        return SettingsHistory(self.client, CONTROL_GROUP, timeout_s=self.timeout_s)

    @cached_property
    def process(self) -> ProcessSettings:
        """Return the settings of the process that names the state members."""
        if not self.settings_file:
            fail(ExitCode.INVALID, "Name state members by --member or --settings.")
        try:
            return load_process(self.settings_file)
        except SettingsError as error:
            return fail(ExitCode.INVALID, str(error))

    def addresses(self) -> list[str]:
        """Return the addresses of the state members."""
        if self.members:
            return list(self.members)
        return [member.address for member in self.process.state_members]

    def certificates(self) -> TlsFiles | None:
        """Return the certificates to connect with; None for plain TCP."""
        if self.tls is not None or not self.settings_file:
            return self.tls
        return tls_files(self.process)

    def expect(self, result: Result[Any, StepError]) -> Any:
        """Return the value of a result, or end with its error."""
        if result.is_ok():
            return result.ok
        return fail(_exit_code(result.error), _explain(result.error))

    def fetch(self, address: str, path: str, method: str = "GET") -> Any:
        """Return the JSON that an operations listener answers."""
        try:
            answer = self.http.request(
                method, f"http://{address}{path}", timeout=HTTP_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError as error:
            fail(ExitCode.UNAVAILABLE, f"fetch {path} at {address}: {error}")
        if answer.status != 200:
            fail(ExitCode.FAILED, f"fetch {path} at {address}: status {answer.status}")
        return orjson.loads(answer.data)


def fail(code: ExitCode, message: str) -> NoReturn:
    """End the command with an error on standard error."""
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


def _explain(error: StepError) -> str:
    if isinstance(error, SettingsConflict):
        other = error.current
        return (
            f"{error}. Revision {other.number} is by {other.author} "
            f"({other.note or 'no note'}); see `tanager config diff`."
        )
    if isinstance(error, SettingsInvalid):
        return "settings refused:\n" + "\n".join(f"  {f}" for f in error.faults)
    return str(error)
