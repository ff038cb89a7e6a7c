"""Reads that wait until a majority confirms the leader (read index)."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tanagerturn.coordination.log.membership import majority_value

if TYPE_CHECKING:
    from tanagerturn.coordination.log.core import Core


@dataclass
class Round:
    """Reads that one round of heartbeats confirms."""

    number: int
    """Number of the round."""
    index: int
    """Commit index when the round began."""
    tickets: list[int]
    """Reads of the round."""


@dataclass
class Reads:
    """Queued reads of a leader."""

    number: int = 0
    """Number of the last round sent in this process's life."""
    queued: list[int] = field(default_factory=list)
    """Reads that wait for the next round."""
    rounds: list[Round] = field(default_factory=list)
    """Rounds sent and not yet confirmed."""

    def add(self, ticket: int) -> None:
        """Queue a read for the next round."""
        self.queued.append(ticket)

    def clear(self) -> list[int]:
        """Forget all reads and return their tickets."""
        lost = [t for one in self.rounds for t in one.tickets] + self.queued
        self.queued = []
        self.rounds = []
        return lost


def begin_round(core: Core) -> bool:
    """Start a round for the queued reads; False when there is none to start.

    A new leader doesn't know the commit index before an entry of its own term
    is committed; until then reads wait.
    """
    reads = core.reads
    if not reads.queued or core.log.term_at(core.commit_index) != core.term:
        return False
    reads.number += 1
    reads.rounds.append(Round(reads.number, core.commit_index, reads.queued))
    reads.queued = []
    return True


def confirm(core: Core) -> None:
    """Hand out the reads whose round a majority has answered."""
    if not core.reads.rounds:
        return
    answered = majority_value(
        core.reads.number if voter == core.options.member else _round_of(core, voter)
        for voter in core.quorum_voters()
    )
    while core.reads.rounds and core.reads.rounds[0].number <= answered:
        done = core.reads.rounds.pop(0)
        core.confirm_reads(done.tickets, done.index)


def _round_of(core: Core, voter: str) -> int:
    progress = core.progress.get(voter)
    return progress.read_round if progress else 0
