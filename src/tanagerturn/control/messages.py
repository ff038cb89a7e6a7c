"""Messages to the actors of a control process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tanagerturn.control.courier import Report
    from tanagerturn.schema.coordination_pb2 import SettingsRevision


@dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True)
class Release:
    """The process stops: the lease is to be given up."""


@dataclass(frozen=True)
class Dump:
    """Asks for the actor's state."""


@dataclass(frozen=True)
class Loads:
    """Asks for the loads of the backend servers that announce themselves."""


@dataclass(frozen=True)
class NewRevision:
    """A revision of the settings was accepted."""

    revision: SettingsRevision
    """The revision with its files."""


@dataclass(frozen=True)
class Done:
    """A job was done."""

    report: Report
    """What became of it."""
