"""Messages between hosts that agree on the first members of a group."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tanagerturn.coordination.founding.votes import NO_VALUE, Round, Vote

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.coordination.ids import FoundingValue
    from tanagerturn.schema import coordination_pb2 as pb


@dataclass(frozen=True)
class Ballot:
    """Asks a host to promise a round, or to accept a value in it."""

    round: Round
    """The proposer's round."""
    value: FoundingValue = NO_VALUE
    """Value to accept; `NO_VALUE` for a promise."""
    hosts: Mapping[str, str] = field(default_factory=dict)
    """Names of the hosts with a disk that the proposer knows, by link address."""


@dataclass(frozen=True)
class Answer:
    """Answer to a ballot."""

    granted: bool
    """Whether the host has promised the round, or accepted the value."""
    vote: Vote
    """The host's vote afterwards."""
    hosts: Mapping[str, str] = field(default_factory=dict)
    """Names of the hosts with a disk that the host knows, by link address."""
    member: pb.Member | None = None
    """Member of the host, which may be a first member; None if it can't be one."""


@dataclass(frozen=True)
class Order:
    """Tells a host what was agreed on, so that it starts the group."""

    agreed: FoundingValue
    """The agreed value; `NO_VALUE` to a host that has to propose, as earlier versions
    order it."""
