"""Proposals and reads that wait for their result."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.coordination.store import Store

    ResultCallback = Callable[[Result[Any, StepError]], None]


@dataclass(frozen=True)
class Pending:
    """A proposal that waits for its commit."""

    term: int
    """Term in which the entry was appended."""
    on_result: ResultCallback
    """Called with the result."""


@dataclass(frozen=True)
class PendingRead:
    """A read that waits for the leader to be confirmed."""

    run: Callable[[Store], Any]
    """Reads the store; returns the result."""
    on_result: ResultCallback
    """Called with the result of `run`, or with an error."""


def ignore_result(result: Result[Any, StepError]) -> None:
    """Ignore a result that no caller waits for."""
