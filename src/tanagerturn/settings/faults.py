"""Faults in settings files, and the error that reports them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Place:
    """Position in a settings file."""

    file: str
    """Path or name of the file; "default" for a value that no file sets."""
    line: int
    """Line number, counted from 1; 0 for a default."""

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True)
class Fault:
    """One invalid value or key in a settings file."""

    place: Place
    """Position of the value or key."""
    key_path: str
    """Path of the key, such as `services[seats].capacity.max_hosts`.

    List entries are given by name, or by index if they have no name. The path is
    empty for the whole document.
    """
    found: str
    """The value found, or a description of it."""
    allowed: str
    """Description of the allowed values, as shown to the operator."""

    def __str__(self) -> str:
        where = f"{self.place}: {self.key_path or '(top)'}"
        return f"{where}: found {self.found}; allowed: {self.allowed}"


class SettingsError(Exception):
    """Settings are not valid or can't be read.

    Args:
        faults: All faults found; at least one.
    """

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults
        """All faults found; at least one."""
