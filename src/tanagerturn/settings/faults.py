"""Faults found in settings, and the error that carries all of them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Place:
    """Where a value was written."""

    file: str
    """Name of the file."""
    line: int
    """Line number, from 1."""

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True)
class Fault:
    """One thing that is wrong in a settings file."""

    place: Place
    """Where it stands."""
    key_path: str
    """Dotted path of the key, list entries by name or index."""
    found: str
    """What was found."""
    allowed: str
    """What is allowed there."""

    def __str__(self) -> str:
        where = f"{self.place}: {self.key_path or '(top)'}"
        return f"{where}: found {self.found}; allowed: {self.allowed}"


class SettingsError(Exception):
    """Settings were refused.

    Args:
        faults: All faults found, in file order.
    """

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults
        """All faults found, in file order."""
