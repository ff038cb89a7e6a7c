"""The actor of one replication group: it hosts the core of the log.

Messages that wait are taken in together; then the core's `Ready` is carried
out once. So all proposals that arrived during one sync share the next.
"""

from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING, Any, Final

import pykka
from expression import Error, Ok, Result

from tanagerturn.coordination.errors import (
    NotLeaderError,
    RefusedError,
    StepError,
    StorageError,
    UnavailableError,
)
from tanagerturn.coordination.log.changes import is_caught_up
from tanagerturn.coordination.log.ready import Role
from tanagerturn.coordination.storage.files import DamageError, DiskFullError
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.state import messages as m
from tanagerturn.state._leases import LeaseTimers
from tanagerturn.state._log import log
from tanagerturn.state._repair import GroupHealth
from tanagerturn.state._watches import Watches

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.coordination.log.core import Core
    from tanagerturn.coordination.log.ready import ChunkWanted, Ready
    from tanagerturn.coordination.storage.group import GroupStorage
    from tanagerturn.coordination.store import Store
    from tanagerturn.state._transport import Transport
    from tanagerturn.state.clocks import Clocks
    from tanagerturn.state.metrics import GroupMetrics

BATCH_LIMIT: Final = 512
"""Messages taken in before the core's `Ready` is carried out."""

SNAPSHOT_LIMIT_BYTES: Final = 16 * 1024 * 1024
"""A snapshot is due when this much was applied since the last."""


class ReplicationGroup(pykka.ThreadingActor):
    """Hosts the core, the files and the store of one replication group.

    Args:
        core: Core of the replicated log.
        storage: Files.
        store: Store as of the last snapshot.
        transport: Streams to other members.
        clocks: Monotonic and wall clock.
        writer: Actor that writes snapshots.
        snapshot_entries: Entries between two snapshots.
        metrics: Counters of the group.
        on_fatal: Called when the disk can't be trusted; ends the process.
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
        on_fatal: Callable[[StorageError], None],
    ) -> None:
        super().__init__()
        self.core = core
        """Core of the replicated log."""
        self.storage = storage
        """Files."""
        self.store = store
        """Applied state."""
        self.transport = transport
        """Streams to other members."""
        self.clocks = clocks
        """Monotonic and wall clock."""
        self.snapshot_entries = snapshot_entries
        """Entries between two snapshots."""
        self.metrics = metrics
        """Counters of the group."""
        self.on_fatal = on_fatal
        """Called when the disk can't be trusted."""
        self.applied_index = core.log.snapshot.index
        """Highest applied index."""
        self.applied_bytes = 0
        """Bytes applied since the last snapshot."""
        self.snapshot_index = core.log.snapshot.index
        """Index of the last stored snapshot."""
        self.is_saving = False
        """A snapshot is being written."""
        self.writer = writer
        """Actor that writes snapshots."""
        self.stalled: Ready | None = None
        """What could not be written because the disk is full."""
        self.is_stall_logged = False
        """The full disk was logged."""
        self.pending: dict[int, m.Pending] = {}
        """Proposals by index."""
        self.queries: dict[int, m.Query] = {}
        """Reads by ticket."""
        self.next_ticket = 1
        """Ticket of the next read."""
        self.watches = Watches()
        """Watch streams."""
        self.watches.revision = store.revision
        self.timers = LeaseTimers()
        """Times of leases, while leader."""
        self.led_term = 0
        """Term that this member leads or led last."""
        self.clock_base_ms = 0
        """The group's clock when the member became leader, in milliseconds."""
        self.clock_since_s = 0.0
        """When the member became leader, in seconds."""
        self.leaderless_since_s: float | None = None
        """Since when no leader is known, in seconds."""
        self.taken = 0
        """Messages taken in since the last `Ready`."""

    def on_receive(self, message: object) -> None:
        """Take one message in; carry out what is due once none waits."""
        handler = HANDLERS.get(type(message))
        if handler is None:
            return
        handler(self, message)
        self.taken += 1
        if self.actor_inbox.empty() or self.taken >= BATCH_LIMIT:
            self.taken = 0
            self.carry_out()

    def on_failure(self, *_: object) -> None:
        """End the process: a group that has failed must not go on."""
        self.on_fatal(StorageError("run group", self.core.options.group, "failed"))

    def on_deliver(self, message: m.Deliver) -> None:
        """Take in messages of other members; a stalled member hears nothing."""
        if self.stalled is not None:
            return
        now = self.clocks.monotonic_s()
        for one in message.messages:
            self.core.step(one, now)

    def on_tick(self, message: m.Tick) -> None:
        """Let time pass."""
        now = self.clocks.monotonic_s()
        if self.stalled is not None:
            return
        self.core.tick(now)
        self._lapse_leases(now)
        self._watch_leader(now)
        self.metrics.update(self)

    def on_propose(self, message: m.Propose) -> None:
        """Append a client's command."""
        if message.command.HasField("lease_lapse"):
            reason = "only the leader lets a lease lapse"
            refusal = RefusedError("propose", self.core.options.member, reason)
            message.answer.set_result(Error(refusal))
            return
        self._propose(message.command, message.answer)

    def on_query(self, message: m.Query) -> None:
        """Read the store, once a majority confirms the leader."""
        if message.stale_allowed:
            message.answer.set_result(Ok(message.run(self.store)))
            return
        if self.stalled is not None:
            message.answer.set_result(Error(self._disk_full("read")))
            return
        ticket = self.next_ticket
        self.next_ticket += 1
        asked = self.core.read(ticket)
        if asked.is_error():
            message.answer.set_result(Error(self._with_address(asked.error)))
            return
        self.queries[ticket] = message

    def on_change_member(self, message: m.ChangeMember) -> None:
        """Append a member change."""
        now = self.clocks.monotonic_s()
        if self.stalled is not None:
            message.answer.set_result(Error(self._disk_full("change member")))
            return
        index = self.core.change_member(message.action, message.member, now)
        self.transport.learn(self.core.log.membership.members)
        self._wait_for(index, message.answer)

    def on_add_watch(self, message: m.AddWatch) -> None:
        """Start a watch stream."""
        if self._is_isolated(self.clocks.monotonic_s()):
            message.watcher.end()
            return
        self.watches.add(message.watcher, self.store)

    def on_remove_watch(self, message: m.RemoveWatch) -> None:
        """Forget a watch stream."""
        self.watches.remove(message.watcher)

    def on_ask_status(self, message: m.AskStatus) -> None:
        """Return the group's state at this member."""
        core = self.core
        status = pb.GroupStatus(
            group=core.options.group,
            member=core.options.member,
            role=core.role.value,
            term=core.term,
            leader=core.leader,
            first_index=core.log.base_index + 1,
            last_index=core.log.last_index,
            commit_index=core.commit_index,
            applied_index=self.applied_index,
            revision=self.store.revision,
            membership=core.log.membership,
        )
        message.answer.set_result(status)

    def on_ask_dump(self, message: m.AskDump) -> None:
        """Return a dump of this actor's state."""
        core = self.core
        now = self.clocks.monotonic_s()
        peers = {
            peer: {
                "match_index": progress.match_index,
                "next_index": progress.next_index,
                "mode": progress.mode.value,
                "in_flight_bytes": progress.in_flight_bytes,
                "heard_s_ago": round(now - progress.heard_at_s, 3),
            }
            for peer, progress in core.progress.items()
        }
        members = {
            one.id: {
                "address": one.address,
                "role": pb.MemberRole.Name(one.role),
                "availability_zone": one.availability_zone,
            }
            for one in core.log.membership.members
        }
        leases = {
            lease.name: {
                "holder": lease.holder,
                "fencing_number": lease.fencing_number,
                "renewals": lease.renewals,
                "duration_ms": lease.duration_ms,
            }
            for lease in self.store.leases.values()
        }
        dump = {
            "role": core.role.value,
            "term": core.term,
            "leader": core.leader,
            "commit_index": core.commit_index,
            "applied_index": self.applied_index,
            "first_index": core.log.base_index + 1,
            "last_index": core.log.last_index,
            "snapshot_index": self.snapshot_index,
            "log_file_bytes": self.storage.log.size(),
            "revision": self.store.revision,
            "keys": len(self.store.entries),
            "remembered_changes": len(self.store.changes),
            "watchers": len(self.watches.watchers),
            "pending_proposals": len(self.pending),
            "pending_reads": len(self.queries),
            "disk_full": self.stalled is not None,
            "members": members,
            "peers": peers,
            "leases": leases,
        }
        message.answer.set_result(dump)

    def on_ask_health(self, message: m.AskHealth) -> None:
        """Return what a leader knows of the members, None at others."""
        core = self.core
        if core.role is not Role.LEADER:
            message.answer.set_result(None)
            return
        now = self.clocks.monotonic_s()
        unheard_s = {p: now - g.heard_at_s for p, g in core.progress.items()}
        caught_up = {p for p in core.progress if is_caught_up(core, p, now)}
        health = GroupHealth(core.log.membership, unheard_s, caught_up)
        message.answer.set_result(health)

    def on_hand_over(self, message: m.HandOver) -> None:
        """Hand the leadership over, to the most advanced voter by default."""
        if self.core.role is not Role.LEADER:
            return
        voters = set(self.core.quorum_voters())
        others = {p: g for p, g in self.core.progress.items() if p in voters}
        if not others:
            return
        target = message.target or max(others, key=lambda p: others[p].match_index)
        self.core.transfer(target, self.clocks.monotonic_s())  # type: ignore[arg-type]

    def on_snapshot_saved(self, message: m.SnapshotSaved) -> None:
        """Cut the log behind the snapshot before the one just stored."""
        self.is_saving = False
        if message.meta is None:
            return
        cut_index = self.snapshot_index
        self.snapshot_index = max(self.snapshot_index, message.meta.index)
        self.core.snapshot_taken(message.meta, cut_index)
        self.storage.log.cut(cut_index)

    def carry_out(self) -> None:
        """Carry out what the core asks for, until it asks for nothing."""
        try:
            while self._carry_out_once():
                pass
        except DiskFullError as error:
            if not self.is_stall_logged:
                log.warning("Disk is full, member stalls: {}.", error)
            self.is_stall_logged = True
        except StorageError as error:
            self.on_fatal(error)
            return
        self.watches.notify(self.store)
        self._snapshot_if_due()

    def _carry_out_once(self) -> bool:
        now = self.clocks.monotonic_s()
        is_retry = self.stalled is not None
        ready = self.stalled or self.core.take_ready(now)
        self._follow_role(now)
        if not is_retry:
            self.transport.send(ready.messages)
            for wanted in ready.wanted:
                self._send_chunk(wanted)
        if ready.must_sync:
            self.stalled = ready
            self.storage.write(ready.hard_state, ready.entries)
            self.stalled = None
            self.is_stall_logged = False
            self.metrics.syncs.inc()
            self.core.synced()
        self.transport.send(ready.after_sync)
        for entry in ready.committed:
            self._apply(entry)
        for read in ready.reads:
            self._answer_read(read.ticket)
        for ticket in ready.lost_reads:
            self._lose_read(ticket)
        for chunk in ready.chunks:
            self._receive_chunk(chunk)
        return bool(
            ready.must_sync or ready.committed or ready.chunks or ready.lost_reads
        )

    def _apply(self, entry: pb.Entry) -> None:
        result: Any = None
        kind = entry.WhichOneof("kind")
        if kind == "command":
            result = self.store.apply(pb.Command.FromString(entry.command))
        elif kind == "membership":
            result = entry.membership
            self.transport.learn(entry.membership.members)
        self.applied_index = entry.index
        self.applied_bytes += entry.ByteSize()
        self.metrics.applied.inc()
        pending = self.pending.pop(entry.index, None)
        if pending is None:
            return
        if pending.term != entry.term:
            pending.answer.set_result(Error(self._unknown("propose")))
            return
        self.metrics.commit_s.observe(self.clocks.monotonic_s() - pending.started_at_s)
        pending.answer.set_result(Ok(result))

    def _answer_read(self, ticket: int) -> None:
        query = self.queries.pop(ticket)
        query.answer.set_result(Ok(query.run(self.store)))

    def _lose_read(self, ticket: int) -> None:
        query = self.queries.pop(ticket, None)
        if query is not None:
            query.answer.set_result(Error(self._unknown("read")))

    def _send_chunk(self, wanted: ChunkWanted) -> None:
        snapshots = self.storage.snapshots
        data = snapshots.read_chunk(wanted.meta, wanted.offset, wanted.size)
        if data is None:
            self.core.snapshot_gone(wanted.peer)
            return
        chunk = pb.SnapshotChunk(
            meta=wanted.meta,
            offset=wanted.offset,
            data=data,
            last=wanted.offset + len(data) >= wanted.meta.size_bytes,
        )
        options = self.core.options
        message = pb.LogMessage(
            cluster=options.cluster,
            group=options.group,
            sender=options.member,
            receiver=wanted.peer,
            term=wanted.term,
            snapshot_chunk=chunk,
        )
        self.transport.send([message])

    def _receive_chunk(self, chunk: Any) -> None:
        if self.is_saving and chunk.last:
            self.core.snapshot_refused(chunk.meta)
            return
        try:
            self.storage.store_chunk(chunk)
        except DiskFullError as error:
            log.warning("Snapshot not received: {}.", error)
            self.core.snapshot_refused(chunk.meta)
            return
        if chunk.last and self.core.needs_snapshot(chunk.meta):
            self._install(chunk.meta)

    def _install(self, meta: pb.SnapshotMeta) -> None:
        try:
            store = self.storage.install(meta)
        except (DamageError, DiskFullError) as error:
            log.warning("Snapshot refused: {}.", error)
            self.core.snapshot_refused(meta)
            return
        self.store = store
        self.core.snapshot_installed(meta)
        self.applied_index = meta.index
        self.applied_bytes = 0
        self.snapshot_index = meta.index
        self.transport.learn(meta.membership.members)
        log.info("Installed a snapshot of {} up to {}.", meta.size_bytes, meta.index)

    def _snapshot_if_due(self) -> None:
        if self.is_saving:
            return
        behind = self.applied_index - self.snapshot_index
        is_due = behind >= self.snapshot_entries
        if not is_due and (not behind or self.applied_bytes < SNAPSHOT_LIMIT_BYTES):
            return
        self.is_saving = True
        self.applied_bytes = 0
        meta = self.core.snapshot_meta(self.applied_index)
        self.writer.tell(m.SaveSnapshot(meta, self.store.image()))

    def _propose(self, command: pb.Command, answer: Future[Any]) -> None:
        now = self.clocks.monotonic_s()
        if self.stalled is not None:
            answer.set_result(Error(self._disk_full("propose")))
            return
        self._follow_role(now)
        command.accepted_at_ms = self._group_clock_ms(now)
        index = self.core.propose(command.SerializeToString(), now)
        self._wait_for(index, answer)

    def _wait_for(self, index: Result[Any, StepError], answer: Future[Any]) -> None:
        if index.is_error():
            answer.set_result(Error(self._with_address(index.error)))
            return
        started_at_s = self.clocks.monotonic_s()
        self.pending[index.ok] = m.Pending(self.core.term, answer, started_at_s)

    def _group_clock_ms(self, now: float) -> int:
        """Return the group's clock: it goes on by the leader's monotonic clock.

        The wall clock is read only when the group is new, so that a jump of it
        can't make members forget change ids early.
        """
        return self.clock_base_ms + int((now - self.clock_since_s) * 1000)

    def _follow_role(self, now: float) -> None:
        core = self.core
        if core.role is Role.LEADER:
            if self.led_term != core.term:
                self.led_term = core.term
                self.clock_base_ms = self.store.clock_ms or self.clocks.wall_ms()
                self.clock_since_s = now
                self.timers.clear()
                self._fail_pending()
                log.info("Leads {} in term {}.", core.options.group, core.term)
            return
        self.timers.clear()
        if self.pending:
            self._fail_pending()

    def _fail_pending(self) -> None:
        is_leader = self.core.role is Role.LEADER
        for index, one in list(self.pending.items()):
            if not is_leader or one.term != self.core.term:
                del self.pending[index]
                one.answer.set_result(Error(self._unknown("propose")))

    def _lapse_leases(self, now: float) -> None:
        self._follow_role(now)
        core = self.core
        if core.role is not Role.LEADER:
            return
        if core.log.term_at(core.commit_index) != core.term:
            return
        for lease in self.timers.lapsed(self.store.leases, now):
            lapse = pb.LeaseLapse(
                name=lease.name,
                fencing_number=lease.fencing_number,
                renewals=lease.renewals,
            )
            log.info("Lease {} of {} lapses.", lease.name, lease.holder)
            self._propose(pb.Command(lease_lapse=lapse), Future())

    def _watch_leader(self, now: float) -> None:
        if self.core.leader:
            self.leaderless_since_s = None
            return
        if self.leaderless_since_s is None:
            self.leaderless_since_s = now
        if self._is_isolated(now):
            self.watches.end_all()

    def _is_isolated(self, now: float) -> bool:
        if self.leaderless_since_s is None:
            return False
        patience_s = 4 * self.core.options.election_timeout_s
        return now - self.leaderless_since_s > patience_s

    def _with_address(self, error: StepError) -> StepError:
        if not isinstance(error, NotLeaderError):
            return error
        address = self.transport.addresses.get(error.leader, "")
        return NotLeaderError(error.step, error.peer, address)

    def _unknown(self, step: str) -> UnavailableError:
        member = self.core.options.member
        return UnavailableError(step, member, "the leader changed, outcome unknown")

    def _disk_full(self, step: str) -> RefusedError:
        return RefusedError(step, self.core.options.member, "the disk is full")


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
