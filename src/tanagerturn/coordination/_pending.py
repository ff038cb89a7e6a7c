"""Proposals and linearizable reads that wait for their results."""

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
class PendingProposal:
    """A proposal whose entry is not committed yet."""

    term: int
    """Term in which the entry of the proposal was appended."""
    on_result: ResultCallback
    """Called with the result of the entry, or with an error."""


@dataclass(frozen=True)
class PendingRead:
    """A read that waits until a majority has confirmed the leader."""

    run: Callable[[Store], Any]
    """Reads from the store and returns the result."""
    on_result: ResultCallback
    """Called with the result of `run`, or with an error."""


def ignore_result(result: Result[Any, StepError]) -> None:
    """Ignore the result of a proposal that has no caller."""
