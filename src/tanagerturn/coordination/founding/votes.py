"""Rounds and votes of the agreement on the first members of a group.

A value that enough hosts have accepted is the value of all later rounds. Of `n` known
hosts with a disk, `n` less the tolerated losses have to agree. Two such sets have a
host in common if the two sets of known hosts share at least `2 f + 1` hosts, where `f`
is the number of tolerated losses. Each host stores what it promises and accepts before
it answers.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final, NamedTuple

import orjson

from tanagerturn.coordination.ids import FoundingValue

if TYPE_CHECKING:
    from collections.abc import Iterable

NO_VALUE: Final = FoundingValue("")
"""Stands for no value on the wire and on disk."""


class Round(NamedTuple):
    """A round of the agreement; rounds are ordered."""

    number: int
    """Number, 1 or higher."""
    proposer: str
    """Host that proposes in the round."""


NO_ROUND: Final = Round(0, "")


@dataclass(frozen=True)
class Vote:
    """What a host has promised and accepted, and what it knows to be agreed on."""

    promised: Round = NO_ROUND
    """Latest promised round: nothing is accepted in an earlier one."""
    accepted: Round = NO_ROUND
    """Round in which a value was accepted; `NO_ROUND` if none was."""
    value: FoundingValue = NO_VALUE
    """Value that was accepted; `NO_VALUE` if none was."""
    agreed: FoundingValue = NO_VALUE
    """Value that enough hosts have accepted; `NO_VALUE` if this host knows of none."""

    def on_prepare(self, proposed: Round) -> Vote | None:
        """Return the vote after the promise of a round; None if it is refused."""
        if proposed < self.promised:
            return None
        return replace(self, promised=proposed)

    def on_accept(self, proposed: Round, value: FoundingValue) -> Vote | None:
        """Return the vote after a value was accepted; None if it is refused."""
        if proposed < self.promised:
            return None
        return replace(self, promised=proposed, accepted=proposed, value=value)

    def to_bytes(self) -> bytes:
        """Return the vote as it is stored."""
        values = [*self.promised, *self.accepted, self.value]
        # Earlier versions read five values; they read none once a group is known.
        return orjson.dumps([*values, self.agreed] if self.agreed else values)


def decode_vote(stored: bytes) -> Vote:
    """Return a stored vote.

    Raises:
        ValueError: The stored bytes are damaged.
    """
    values = orjson.loads(stored)
    types = [int, str, int, str, str]
    if not isinstance(values, list) or [type(v) for v in values] not in (
        types,
        [*types, str],
    ):
        raise ValueError("the stored vote on the first members is damaged")
    return Vote(Round(*values[:2]), Round(*values[2:4]), *values[4:])


def required_votes(host_count: int, tolerated_losses: int) -> int | None:
    """Return how many hosts have to agree; None if too few are known.

    Args:
        host_count: Number of known hosts with a disk.
        tolerated_losses: Number of hosts that may be lost at the same time.
    """
    if host_count < 2 * tolerated_losses + 1:
        return None
    return host_count - tolerated_losses


def value_to_propose(votes: Iterable[Vote]) -> FoundingValue:
    """Return the value that a proposer has to name, given the votes of a promise.

    It is the one of the latest round in which any was accepted; `NO_VALUE` if none was,
    and the proposer may choose.
    """
    latest = max(votes, key=lambda vote: vote.accepted, default=Vote())
    return latest.value
