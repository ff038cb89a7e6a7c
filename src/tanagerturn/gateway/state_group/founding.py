"""Agreement of the hosts with a disk on the one host that founds the state group.

It is the agreement on a single value in rounds, known as single-decree Paxos: a founder
that enough hosts have accepted is the founder of all later rounds. Of `n` known hosts
with a disk, `n` less the tolerated losses have to agree, so that any two rounds have a
host in common, also when they know different numbers of hosts. Each host stores what it
promises and accepts before it answers. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final, NamedTuple

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence


class Round(NamedTuple):
    """A round of the agreement; rounds are ordered."""

    number: int
    """Number, 1 or higher."""
    proposer: str
    """Host that proposes in the round."""


NO_ROUND: Final = Round(0, "")


@dataclass(frozen=True)
class Vote:
    """What a host has promised and accepted."""

    promised: Round = NO_ROUND
    """Latest promised round: nothing is accepted in an earlier one."""
    accepted: Round = NO_ROUND
    """Round in which a founder was accepted; `NO_ROUND` if none was."""
    founder: str = ""
    """Host that was accepted as the founder; empty if none was."""

    def on_prepare(self, proposed: Round) -> Vote | None:
        """Return the vote after the promise of a round; None if it is refused."""
        if proposed < self.promised:
            return None
        return replace(self, promised=proposed)

    def on_accept(self, proposed: Round, founder: str) -> Vote | None:
        """Return the vote after a founder was accepted; None if it is refused."""
        if proposed < self.promised:
            return None
        return Vote(proposed, proposed, founder)

    def to_bytes(self) -> bytes:
        """Return the vote as it is stored."""
        return orjson.dumps([*self.promised, *self.accepted, self.founder])


def decode_vote(stored: bytes) -> Vote:
    """Return a stored vote.

    Raises:
        ValueError: The stored bytes are damaged.
    """
    values = orjson.loads(stored)
    if not isinstance(values, list) or [type(v) for v in values] != [
        int,
        str,
        int,
        str,
        str,
    ]:
        raise ValueError("the stored vote on the founder is damaged")
    return Vote(Round(*values[:2]), Round(*values[2:4]), values[4])


def required_votes(host_count: int, tolerated_losses: int) -> int | None:
    """Return how many hosts have to agree; None if too few are known.

    Args:
        host_count: Number of known hosts with a disk.
        tolerated_losses: Number of hosts that may be lost at the same time.
    """
    if host_count < 2 * tolerated_losses + 1:
        return None
    return host_count - tolerated_losses


def next_round(host: str, votes: Iterable[Vote]) -> Round:
    """Return a round of a host that is later than all that it knows."""
    return Round(1 + max((v.promised.number for v in votes), default=0), host)


def founder_to_propose(host: str, votes: Sequence[Vote]) -> str:
    """Return the founder that a proposer has to name, given the votes of a promise.

    It is the one of the latest round in which any was accepted, and the proposer itself
    if none was.
    """
    latest = max(votes, key=lambda vote: vote.accepted, default=Vote())
    return latest.founder or host


def merge_hosts(
    known: Mapping[str, str], others: Iterable[tuple[str, str]]
) -> dict[str, str]:
    """Return known hosts with a disk, with those that others know.

    Args:
        known: Link address by host.
        others: Hosts and link addresses.
    """
    return {**dict(others), **known}
