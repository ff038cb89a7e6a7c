"""Messages to the actors of `tanager-state`."""

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
    """Delivers log messages that other members sent."""

    messages: Sequence[pb.LogMessage]
    """Messages in the order in which they arrived."""


@dataclass(frozen=True)
class Tick:
    """Advances the timers of elections, heartbeats and leases."""


@dataclass(frozen=True)
class Propose:
    """Proposes a client's command."""

    command: pb.Command
    """Command to commit; the actor sets its `accepted_at_ms`."""
    reply: Future[Result[pb.CommandResult, StepError]]
    """Receives the result once the command is applied, or the error."""


@dataclass(frozen=True)
class Query:
    """Reads the store."""

    run: Callable[[Store], Any]
    """Reads from the store; called on the actor's thread."""
    reply: Future[Result[Any, StepError]]
    """Receives the value that `run` returns, or the error."""
    stale_allowed: bool = False
    """Whether to read this member's applied state at once, without the confirmation
    of a majority that makes the read linearizable."""


@dataclass(frozen=True)
class ChangeMember:
    """Proposes a membership change."""

    action: int
    """`MemberChangeRequest.Action`."""
    member: pb.Member
    """Member to add, promote or remove."""
    reply: Future[Result[pb.Membership, StepError]]
    """Receives the new membership once it is committed, or the error."""


@dataclass(frozen=True)
class AddWatch:
    """Adds a watch stream."""

    watcher: Watcher
    """Watch stream with its queue."""


@dataclass(frozen=True)
class RemoveWatch:
    """Removes a watch stream that its client has ended."""

    watcher: Watcher
    """Watch stream with its queue."""


@dataclass(frozen=True)
class GetStatus:
    """Requests the status of the group at this member."""

    reply: Future[pb.GroupStatus]
    """Receives the status of the group."""


@dataclass(frozen=True)
class GetDump:
    """Requests a dump of the actor's state for operators."""

    reply: Future[dict[str, Any]]
    """Receives the dump as JSON-compatible values."""


@dataclass(frozen=True)
class GetHealth:
    """Requests the health of the other members, as seen by the leader."""

    reply: Future[GroupHealth | None]
    """Receives the health of the members; None if this member is not the leader."""


@dataclass(frozen=True)
class TransferLeadership:
    """Requests a leadership transfer; members that are not the leader ignore it."""

    target: MemberId | None = None
    """Member id of the next leader; None selects the voter with the highest match
    index."""


@dataclass(frozen=True)
class TakeLeadership:
    """Requests an election now; without effect at the leader and at learners."""


@dataclass(frozen=True)
class SnapshotSaved:
    """Reports that the snapshot writer has finished."""

    meta: pb.SnapshotMeta | None
    """Metadata of the stored snapshot; None if it was not stored: the disk is full."""


@dataclass(frozen=True)
class SaveSnapshot:
    """Requests that the snapshot writer store a snapshot."""

    meta: pb.SnapshotMeta
    """Index, term and membership that the snapshot covers."""
    image: StoreImage
    """Image of the store at that index."""
