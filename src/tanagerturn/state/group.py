"""The actor of one replication group.

Messages that wait are taken in together, then the host carries out once; so
all proposals that arrived during one sync share the next.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import pykka
from expression import Error, Result

from tanagerturn.coordination.errors import NotLeaderError, StepError, StorageError
from tanagerturn.coordination.host import GroupHost
from tanagerturn.coordination.log.changes import is_caught_up
from tanagerturn.coordination.log.ready import Role
from tanagerturn.coordination.moment import Moment
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

BATCH_LIMIT: Final = 128
"""Messages taken in before the host carries out."""


class ReplicationGroup(pykka.ThreadingActor):
    """Runs one member of one replication group.

    Args:
        core: Core of the replicated log.
        storage: Files.
        store: Store as of the last snapshot.
        transport: Streams to other members.
        clocks: Monotonic and wall clock.
        writer: Actor that writes snapshots.
        snapshot_entries: Entries between two snapshots.
        metrics: Metrics of the group.
        on_fatal: Called when the member can't go on.
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
        self.host = GroupHost(
            core, storage, store, transport.send, self._save_snapshot, snapshot_entries
        )
        """The member."""
        self.transport = transport
        """Streams to other members."""
        self.clocks = clocks
        """Monotonic and wall clock."""
        self.writer = writer
        """Actor that writes snapshots."""
        self.metrics = metrics
        """Metrics of the group."""
        self.on_fatal = on_fatal
        """Called when the member can't go on."""
        self.watches = Watches()
        """Watch streams."""
        self.watches.revision = store.revision
        self.taken = 0
        """Messages taken in since the host carried out."""

    def on_receive(self, message: object) -> None:
        """Take one message in; carry out once none waits."""
        handler = HANDLERS.get(type(message))
        if handler is None:
            return
        handler(self, message)
        self.taken += 1
        if self.actor_inbox.empty() or self.taken >= BATCH_LIMIT:
            self.taken = 0
            self._carry_out()

    def on_failure(self, *failure: object) -> None:
        """End the process: a group that has failed must not go on."""
        group = self.host.core.options.group
        reason = f"unexpected error: {failure[1]!r}" if failure else "unexpected error"
        self.on_fatal(StorageError("run group", group, reason))

    def on_deliver(self, message: m.Deliver) -> None:
        """Take in messages of other members."""
        self.host.deliver(message.messages, self._moment())

    def on_tick(self, message: m.Tick) -> None:
        """Let time pass."""
        at = self._moment()
        self.host.tick(at)
        if self.host.is_isolated(at):
            self.watches.end_all()
        self.transport.learn(self.host.core.log.membership.members)
        self.metrics.update(self.host, len(self.watches.watchers))

    def on_propose(self, message: m.Propose) -> None:
        """Commit a client's command."""
        at = self._moment()

        def answer(result: Result[Any, StepError]) -> None:
            taken_s = self.clocks.monotonic_s() - at.monotonic_s
            self.metrics.commit_s.observe(taken_s)
            self._answer(message.answer, result)

        self.host.propose(message.command, at, answer)

    def on_query(self, message: m.Query) -> None:
        """Read the store."""
        self.host.query(
            message.run,
            lambda result: self._answer(message.answer, result),
            stale_allowed=message.stale_allowed,
        )

    def on_change_member(self, message: m.ChangeMember) -> None:
        """Commit a member change."""
        self.host.change_member(
            message.action,
            message.member,
            self._moment(),
            lambda result: self._answer(message.answer, result),
        )
        self.transport.learn(self.host.core.log.membership.members)

    def on_add_watch(self, message: m.AddWatch) -> None:
        """Start a watch stream; an isolated member serves none."""
        if self.host.is_isolated(self._moment()):
            message.watcher.end()
            return
        self.watches.add(message.watcher, self.host.store)

    def on_remove_watch(self, message: m.RemoveWatch) -> None:
        """Forget a watch stream."""
        self.watches.remove(message.watcher)

    def on_ask_status(self, message: m.AskStatus) -> None:
        """Return the group's state at this member."""
        core = self.host.core
        status = pb.GroupStatus(
            group=core.options.group,
            member=core.options.member,
            role=core.role.value,
            term=core.term,
            leader=core.leader,
            first_index=core.log.base_index + 1,
            last_index=core.log.last_index,
            commit_index=core.commit_index,
            applied_index=self.host.applied_index,
            revision=self.host.store.revision,
            membership=core.log.membership,
        )
        message.answer.set_result(status)

    def on_ask_dump(self, message: m.AskDump) -> None:
        """Return a dump of this actor's state."""
        now = self.clocks.monotonic_s()
        dump = group_dump(self.host, len(self.watches.watchers), now)
        message.answer.set_result(dump)

    def on_ask_health(self, message: m.AskHealth) -> None:
        """Return what a leader knows of the members, None at others."""
        core = self.host.core
        if core.role is not Role.LEADER:
            message.answer.set_result(None)
            return
        now = self.clocks.monotonic_s()
        unheard_s = {p: now - g.heard_at_s for p, g in core.progress.items()}
        caught_up = {p for p in core.progress if is_caught_up(core, p, now)}
        health = GroupHealth(core.log.membership, unheard_s, caught_up)
        message.answer.set_result(health)

    def on_hand_over(self, message: m.HandOver) -> None:
        """Hand the leadership over."""
        self.host.hand_over(self._moment(), message.target)

    def on_snapshot_saved(self, message: m.SnapshotSaved) -> None:
        """Cut the log."""
        self.host.snapshot_saved(message.meta)

    def _carry_out(self) -> None:
        try:
            self.host.carry_out(self._moment())
        except StorageError as error:
            self.on_fatal(error)
            return
        self.watches.notify(self.host.store)

    def _moment(self) -> Moment:
        return Moment(self.clocks.monotonic_s(), self.clocks.wall_ms())

    def _save_snapshot(self, meta: pb.SnapshotMeta, image: StoreImage) -> None:
        self.writer.tell(m.SaveSnapshot(meta, image))

    def _answer(self, answer: Future[Any], result: Result[Any, StepError]) -> None:
        if result.is_error() and isinstance(result.error, NotLeaderError):
            error = result.error
            address = self.transport.addresses.get(error.leader, "")
            result = Error(NotLeaderError(error.step, error.peer, address))
        answer.set_result(result)


HANDLERS: Final[dict[type, Any]] = {
    m.Deliver: ReplicationGroup.on_deliver,
    m.Tick: ReplicationGroup.on_tick,
    m.Propose: ReplicationGroup.on_propose,
    m.Query: ReplicationGroup.on_query,
    m.ChangeMember: ReplicationGroup.on_change_member,
    m.AddWatch: ReplicationGroup.on_add_watch,
    m.RemoveWatch: ReplicationGroup.on_remove_watch,
    m.AskStatus: ReplicationGroup.on_ask_status,
    m.AskDump: ReplicationGroup.on_ask_dump,
    m.AskHealth: ReplicationGroup.on_ask_health,
    m.HandOver: ReplicationGroup.on_hand_over,
    m.SnapshotSaved: ReplicationGroup.on_snapshot_saved,
}
"""Handlers by type of message."""
