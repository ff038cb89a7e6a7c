"""Messages to the actors of tanager-state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from concurrent.futures import Future

    from expression import Result

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.coordination.ids import MemberId
    from tanagerturn.coordination.store import Store, StoreImage
    from tanagerturn.schema import coordination_pb2 as pb
    from tanagerturn.state._repair import GroupHealth
    from tanagerturn.state._watches import Watcher


@dataclass(frozen=True)
class Deliver:
    """Messages of other members."""

    messages: Sequence[pb.LogMessage]
    """Messages, in order."""


@dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True)
class Propose:
    """A client's command."""

    command: pb.Command
    """The command; the actor sets its time."""
    answer: Future[Result[pb.CommandResult, StepError]]
    """Gets the result."""


@dataclass(frozen=True)
class Query:
    """A read of the store."""

    run: Callable[[Store], Any]
    """Reads the store; called by the actor."""
    answer: Future[Result[Any, StepError]]
    """Gets what `run` returns."""
    stale_allowed: bool = False
    """Answer at once from what is applied here."""


@dataclass(frozen=True)
class ChangeMember:
    """A change of the group's members."""

    action: int
    """`MemberChangeRequest.Action`."""
    member: pb.Member
    """Member to change."""
    answer: Future[Result[pb.Membership, StepError]]
    """Gets the membership once it is committed."""


@dataclass(frozen=True)
class AddWatch:
    """A new watch stream."""

    watcher: Watcher
    """The stream."""


@dataclass(frozen=True)
class RemoveWatch:
    """A watch stream that has ended."""

    watcher: Watcher
    """The stream."""


@dataclass(frozen=True)
class AskStatus:
    """Asks for the group's state at this member."""

    answer: Future[pb.GroupStatus]
    """Gets the state."""


@dataclass(frozen=True)
class AskDump:
    """Asks for a dump of the actor's state."""

    answer: Future[dict[str, Any]]
    """Gets the dump."""


@dataclass(frozen=True)
class AskHealth:
    """Asks a leader what it knows of the members."""

    answer: Future[GroupHealth | None]
    """Gets it, or None at a member that isn't leader."""


@dataclass(frozen=True)
class HandOver:
    """Asks a leader to hand the leadership over; followers ignore it."""

    target: MemberId | None = None
    """Next leader; None takes the most advanced voter."""


@dataclass(frozen=True)
class SnapshotSaved:
    """The writer has stored a snapshot."""

    meta: pb.SnapshotMeta | None
    """The snapshot, None when the disk was full."""


@dataclass(frozen=True)
class SaveSnapshot:
    """Asks the writer to store a snapshot."""

    meta: pb.SnapshotMeta
    """Index, term and membership."""
    image: StoreImage
    """State to store."""
