"""Linearizable reads that wait until a majority confirms the leader (read index)."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tanagerturn.coordination.log.membership import majority_reached

if TYPE_CHECKING:
    from tanagerturn.coordination.log.core import Core


@dataclass
class ReadRound:
    """Reads that are confirmed by the same round of heartbeats."""

    number: int
    """Number of the read round, increasing."""
    index: int
    """Commit index when the round started; must be applied before the reads run."""
    tickets: list[int]
    """Tickets of the reads in the round; the caller gave each read its ticket."""


@dataclass
class ReadQueue:
    """Reads of a leader that are not confirmed yet."""

    last_round: int = 0
    """Number of the last read round sent; stays across terms, 0 after a restart."""
    queued: list[int] = field(default_factory=list)
    """Tickets of the reads that wait for the next read round."""
    rounds: list[ReadRound] = field(default_factory=list)
    """Read rounds sent and not yet confirmed, oldest first."""

    def add(self, ticket: int) -> None:
        """Queue a read for the next read round."""
        self.queued.append(ticket)

    def clear(self) -> list[int]:
        """Drop all reads and return their tickets."""
        failed = [
            t for read_round in self.rounds for t in read_round.tickets
        ] + self.queued
        self.queued = []
        self.rounds = []
        return failed


def start_round(core: Core) -> bool:
    """Start a read round for the queued reads; return False if none can start.

    A new leader doesn't know the commit index until an entry of its own term is
    committed, so reads stay queued until then.
    """
    reads = core.reads
    if not reads.queued or core.log.term_at(core.commit_index) != core.term:
        return False
    reads.last_round += 1
    reads.rounds.append(ReadRound(reads.last_round, core.commit_index, reads.queued))
    reads.queued = []
    return True


def confirm(core: Core) -> None:
    """Confirm the reads whose read round a majority has acknowledged."""
    if not core.reads.rounds:
        return
    answered = majority_reached(
        core.reads.last_round
        if voter == core.options.member
        else _read_round_of(core, voter)
        for voter in core.quorum_voters()
    )
    while core.reads.rounds and core.reads.rounds[0].number <= answered:
        confirmed = core.reads.rounds.pop(0)
        core.confirm_reads(confirmed.tickets, confirmed.index)


def _read_round_of(core: Core, voter: str) -> int:
    progress = core.progress.get(voter)
    return progress.read_round if progress else 0
