"""Messages to the actors of a control process, except those of the notice actor."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tanagerturn.control.order_controller import JobResult
    from tanagerturn.schema.coordination_pb2 import SettingsRevision


@dataclass(frozen=True)
class Tick:
    """Makes the actor do its periodic work; sent once per period."""


@dataclass(frozen=True)
class ReleaseLease:
    """Asks the lease actor to release the control lease, as the process stops."""


@dataclass(frozen=True)
class Dump:
    """Asks for the state of the actor for a dump."""


@dataclass(frozen=True)
class GetLoads:
    """Asks for the services, slots and load of each announced backend server."""


@dataclass(frozen=True)
class NewRevision:
    """Reports a newly accepted settings revision."""

    revision: SettingsRevision
    """The revision with the content of its files."""


@dataclass(frozen=True)
class JobDone:
    """Reports the result of a job to the order actor."""

    result: JobResult
    """Result of the job."""
