"""Proposals and reads that wait for their outcome."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.coordination.store import Store

    Answer = Callable[[Result[Any, StepError]], None]


@dataclass(frozen=True)
class Pending:
    """A proposal that waits for its commit."""

    term: int
    """Term of the entry."""
    answer: Answer
    """Called with the result."""


@dataclass(frozen=True)
class PendingRead:
    """A read that waits for its confirmation."""

    run: Callable[[Store], Any]
    """Reads the store."""
    answer: Answer
    """Called with what `run` returns."""


def ignore(result: Result[Any, StepError]) -> None:
    """Take a result that nobody waits for."""
