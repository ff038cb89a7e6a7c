"""Actor of one replication group.

The actor handles all queued messages, then processes the output of the replicated log
once. So all proposals that arrive during one sync share the next sync.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import pykka
from expression import Error, Result

from tanagerturn.coordination.errors import NotLeaderError, StepError, StorageError
from tanagerturn.coordination.log.membership_changes import is_caught_up
from tanagerturn.coordination.log.ready import Role
from tanagerturn.coordination.moment import Moment
from tanagerturn.coordination.replica import GroupReplica
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.state import messages as m
from tanagerturn.state._dump import group_dump
from tanagerturn.state._repair import GroupHealth
from tanagerturn.state._watches import Watches

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from tanagerturn.coordination.log.core import Core
    from tanagerturn.coordination.storage.group import GroupStorage
    from tanagerturn.coordination.store import Store, StoreImage
    from tanagerturn.state._transport import Transport
    from tanagerturn.state.clocks import Clocks
    from tanagerturn.state.metrics import GroupMetrics

MAX_BATCH_MESSAGES: Final = 128
"""Largest number of messages handled before the output of the log is processed."""


class ReplicationGroup(pykka.ThreadingActor):
    """Runs this member's replica of one replication group.

    Args:
        core: Core of the replicated log.
        storage: Log and snapshot files of the group.
        store: Store as of the last snapshot.
        transport: Sends log messages to other members.
        clocks: Monotonic and wall clock.
        writer: Actor that writes snapshots.
        snapshot_entries: Number of applied entries after which a snapshot is due.
        metrics: Metrics of the group at this member.
        on_fatal: Called with the error after which the member can't continue.
    """

    use_daemon_thread = True

    def __init__(
        self,
        core: Core,
        storage: GroupStorage,
        store: Store,
        transport: Transport,
        clocks: Clocks,
        writer: pykka.ActorRef[Any],
        snapshot_entries: int,
        metrics: GroupMetrics,
        on_fatal: Callable[[StepError], None],
    ) -> None:
        super().__init__()
        self.replica = GroupReplica(
            core, storage, store, transport.send, self._save_snapshot, snapshot_entries
        )
        """This member's replica: core, files and store."""
        self.transport = transport
        """Sends log messages to other members."""
        self.clocks = clocks
        """Monotonic and wall clock."""
        self.writer = writer
        """Actor that writes snapshots."""
        self.metrics = metrics
        """Metrics of the group at this member."""
        self.on_fatal = on_fatal
        """Called with the error after which the member can't continue."""
        self.watches = Watches()
        """Watch streams that this member serves."""
        self.watches.revision = store.revision
        self.handled_count = 0
        """Number of messages handled since the output of the log was last processed."""

    def on_receive(self, message: object) -> None:
        """Handle a message; at the end of a batch, process the output of the log."""
        handler = HANDLERS.get(type(message))
        if handler is None:
            return
        handler(self, message)
        self.handled_count += 1
        if self.actor_inbox.empty() or self.handled_count >= MAX_BATCH_MESSAGES:
            self.handled_count = 0
            self._process_ready()

    def on_failure(self, *failure: object) -> None:
        """Report an unexpected error as fatal: a failed replica must not continue."""
        group = self.replica.core.options.group
        reason = f"unexpected error: {failure[1]!r}" if failure else "unexpected error"
        self.on_fatal(StorageError("run group", group, reason))

    def on_deliver(self, message: m.Deliver) -> None:
        """Pass messages of other members to the replicated log."""
        self.replica.deliver(message.messages, self._moment())

    def on_tick(self, message: m.Tick) -> None:
        """Advance the timers; end all watch streams if this member is isolated."""
        at = self._moment()
        self.replica.tick(at)
        if self.replica.is_isolated(at):
            self.watches.end_all()
        self.transport.update_addresses(self.replica.core.log.membership.members)
        self.metrics.update(self.replica, len(self.watches.watchers))

    def on_propose(self, message: m.Propose) -> None:
        """Propose a client's command and measure the time until its reply."""
        at = self._moment()

        def reply(result: Result[Any, StepError]) -> None:
            elapsed_s = self.clocks.monotonic_s() - at.monotonic_s
            self.metrics.commit_s.observe(elapsed_s)
            self._reply(message.reply, result)

        self.replica.propose(message.command, at, reply)

    def on_query(self, message: m.Query) -> None:
        """Read the store, after a read round unless the query allows a stale read."""
        self.replica.query(
            message.run,
            lambda result: self._reply(message.reply, result),
            stale_allowed=message.stale_allowed,
        )

    def on_change_member(self, message: m.ChangeMember) -> None:
        """Propose a membership change."""
        self.replica.change_member(
            message.action,
            message.member,
            self._moment(),
            lambda result: self._reply(message.reply, result),
        )
        self.transport.update_addresses(self.replica.core.log.membership.members)

    def on_add_watch(self, message: m.AddWatch) -> None:
        """Start a watch stream; end the stream at once if this member is isolated."""
        if self.replica.is_isolated(self._moment()):
            message.watcher.end()
            return
        self.watches.add(message.watcher, self.replica.store)

    def on_remove_watch(self, message: m.RemoveWatch) -> None:
        """Remove a watch stream."""
        self.watches.remove(message.watcher)

    def on_get_status(self, message: m.GetStatus) -> None:
        """Reply with the status of the group as this member sees it."""
        core = self.replica.core
        status = pb.GroupStatus(
            group=core.options.group,
            member=core.options.member,
            role=core.role.value,
            term=core.term,
            leader=core.leader,
            first_index=core.log.base_index + 1,
            last_index=core.log.last_index,
            commit_index=core.commit_index,
            applied_index=self.replica.applied_index,
            revision=self.replica.store.revision,
            membership=core.log.membership,
        )
        message.reply.set_result(status)

    def on_get_dump(self, message: m.GetDump) -> None:
        """Reply with a dump of this actor's state."""
        now_s = self.clocks.monotonic_s()
        dump = group_dump(self.replica, len(self.watches.watchers), now_s)
        message.reply.set_result(dump)

    def on_get_health(self, message: m.GetHealth) -> None:
        """Reply with the health of the other members; None if this one isn't leader."""
        core = self.replica.core
        if core.role is not Role.LEADER:
            message.reply.set_result(None)
            return
        now_s = self.clocks.monotonic_s()
        last_response_age_s = {
            peer: now_s - progress.last_response_at_s
            for peer, progress in core.progress.items()
        }
        caught_up = {peer for peer in core.progress if is_caught_up(core, peer, now_s)}
        health = GroupHealth(core.log.membership, last_response_age_s, caught_up)
        message.reply.set_result(health)

    def on_transfer_leadership(self, message: m.TransferLeadership) -> None:
        """Transfer the leadership of the group if this member is leader."""
        self.replica.transfer_leadership(self._moment(), message.target)

    def on_take_leadership(self, message: m.TakeLeadership) -> None:
        """Start an election although the present leader responds."""
        self.replica.take_leadership(self._moment())

    def on_snapshot_saved(self, message: m.SnapshotSaved) -> None:
        """Compact the log if the snapshot was stored."""
        self.replica.snapshot_saved(message.meta)

    def _process_ready(self) -> None:
        try:
            self.replica.process_ready(self._moment())
        except StorageError as error:
            self.on_fatal(error)
            return
        self.watches.notify(self.replica.store)

    def _moment(self) -> Moment:
        return Moment(self.clocks.monotonic_s(), self.clocks.wall_ms())

    def _save_snapshot(self, meta: pb.SnapshotMeta, image: StoreImage) -> None:
        self.writer.tell(m.SaveSnapshot(meta, image))

    def _reply(self, reply: Future[Any], result: Result[Any, StepError]) -> None:
        if result.is_error() and isinstance(result.error, NotLeaderError):
            error = result.error
            address = self.transport.addresses.get(error.leader, "")
            result = Error(NotLeaderError(error.step, error.peer, address))
        reply.set_result(result)


HANDLERS: Final[dict[type, Any]] = {
    m.Deliver: ReplicationGroup.on_deliver,
    m.Tick: ReplicationGroup.on_tick,
    m.Propose: ReplicationGroup.on_propose,
    m.Query: ReplicationGroup.on_query,
    m.ChangeMember: ReplicationGroup.on_change_member,
    m.AddWatch: ReplicationGroup.on_add_watch,
    m.RemoveWatch: ReplicationGroup.on_remove_watch,
    m.GetStatus: ReplicationGroup.on_get_status,
    m.GetDump: ReplicationGroup.on_get_dump,
    m.GetHealth: ReplicationGroup.on_get_health,
    m.TransferLeadership: ReplicationGroup.on_transfer_leadership,
    m.TakeLeadership: ReplicationGroup.on_take_leadership,
    m.SnapshotSaved: ReplicationGroup.on_snapshot_saved,
}
"""Handler methods by message type; messages of other types are ignored."""
