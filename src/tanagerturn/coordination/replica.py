"""Replica of a replication group: core, files and store, without thread or socket.

The caller uses one thread and calls `process_ready` after one or more other calls:
all proposals made between two such calls share one sync.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from expression import Error, Ok, Result
from loguru import logger

from tanagerturn.coordination._group_clock import GroupClock
from tanagerturn.coordination._pending import (
    PendingProposal,
    PendingRead,
    ignore_result,
)
from tanagerturn.coordination.errors import (
    RefusedError,
    StepError,
    UnavailableError,
)
from tanagerturn.coordination.lease_timers import LeaseTimers
from tanagerturn.coordination.log.ready import Role
from tanagerturn.coordination.storage.files import DamageError, DiskFullError
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from tanagerturn.coordination._pending import ResultCallback
    from tanagerturn.coordination.ids import MemberId
    from tanagerturn.coordination.log.core import Core
    from tanagerturn.coordination.log.ready import ChunkToSend, Ready, ReceivedChunk
    from tanagerturn.coordination.moment import Moment
    from tanagerturn.coordination.storage.group import GroupStorage
    from tanagerturn.coordination.store import Store, StoreImage

SNAPSHOT_LIMIT_BYTES: Final = 16 * 1024 * 1024
"""Size in bytes of the applied entries after which a snapshot is due."""

SNAPSHOT_RETRY_S: Final = 1.0
"""Time in seconds after a snapshot was not stored before another one is begun; a full
disk has room again after some seconds."""

ISOLATED_AFTER_TIMEOUTS: Final = 4
"""Number of election timeouts without a known leader after which a member is
isolated."""

log = logger.bind(part="state")


class GroupReplica:
    """Replica of one replication group at one member.

    Args:
        core: Core of the replicated log.
        storage: Log and snapshot files of the group.
        store: Store as of the last snapshot.
        send: Sends messages to other members.
        save_snapshot: Starts to store a snapshot; the caller then calls
            `snapshot_saved`.
        snapshot_entries: Number of applied entries after which a snapshot is due.
    """

    def __init__(
        self,
        core: Core,
        storage: GroupStorage,
        store: Store,
        send: Callable[[Sequence[pb.LogMessage]], None],
        save_snapshot: Callable[[pb.SnapshotMeta, StoreImage], None],
        snapshot_entries: int,
    ) -> None:
        self.core = core
        """Core of the replicated log."""
        self.storage = storage
        """Log and snapshot files of the group."""
        self.store = store
        """Store to which all committed entries are applied."""
        self.send = send
        """Sends messages to other members."""
        self.save_snapshot = save_snapshot
        """Starts to store a snapshot."""
        self.snapshot_entries = snapshot_entries
        """Number of applied entries after which a snapshot is due."""
        self.applied_index = core.log.snapshot.index
        """Index of the last applied entry; 0 before the first."""
        self.snapshot_index = core.log.snapshot.index
        """Index of the last stored snapshot; 0 before the first."""
        self.is_saving = False
        """Whether a snapshot is being written."""
        self.unwritten_ready: Ready | None = None
        """Output of the core whose write failed because the disk is full and is
        retried; None when no write failed."""
        self.pending: dict[int, PendingProposal] = {}
        """Proposals that wait for their commit, by log index."""
        self.reads: dict[int, PendingRead] = {}
        """Reads that wait until a majority has confirmed the leader, by ticket."""
        self.lease_timers = LeaseTimers()
        """Expiry times of leases while this member is leader."""
        self.synced_batches = 0
        """Number of batches synced since the start."""
        self.applied_entries = 0
        """Number of entries applied since the start."""
        self._is_disk_full = False
        self._full_since_s = 0.0
        self._applied_bytes = 0
        self._is_save_overdue = False
        self._save_begun_s = 0.0
        self._next_ticket = 1
        self._leader_term = 0
        self._clock = GroupClock()
        self._leaderless_since_s: float | None = None

    def deliver(self, messages: Iterable[pb.LogMessage], moment: Moment) -> None:
        """Process messages of other members; drop them while the disk is full."""
        if self.unwritten_ready is not None:
            return
        for message in messages:
            self.core.step(message, moment.monotonic_s)

    def tick(self, moment: Moment) -> None:
        """Advance the timers.

        While the disk is full, the others elect a leader, which this member does not
        receive messages of; it stops to lead or to name the last one.
        """
        now_s = moment.monotonic_s
        if self.core.leader:
            self._leaderless_since_s = None
        elif self._leaderless_since_s is None:
            self._leaderless_since_s = now_s
        if self.unwritten_ready is not None:
            if now_s - self._full_since_s > self.core.options.election_timeout_s:
                self.core.forget_leader(now_s)
                self._on_role_change(moment)
            return
        self.core.tick(now_s)
        self._expire_leases(moment)

    def propose(
        self, command: pb.Command, moment: Moment, on_result: ResultCallback
    ) -> None:
        """Propose a client's command; `on_result` gets its result once applied."""
        if command.HasField("lease_lapse"):
            reason = "only the leader lets a lease lapse"
            on_result(Error(RefusedError("propose", self._member, reason)))
            return
        self._propose(command, moment, on_result)

    def query(
        self,
        run: Callable[[Store], Any],
        on_result: ResultCallback,
        *,
        stale_allowed: bool,
    ) -> None:
        """Read the store; pass the result, or an error, to `on_result`.

        Args:
            run: Reads from the store and returns the result.
            on_result: Called with the result of `run`, or with an error.
            stale_allowed: Whether to read at once, without the confirmation of a
                majority that makes the read linearizable.
        """
        if stale_allowed:
            on_result(Ok(run(self.store)))
            return
        if self.unwritten_ready is not None:
            on_result(Error(self._disk_full_error("read")))
            return
        ticket = self._next_ticket
        self._next_ticket += 1
        self.reads[ticket] = PendingRead(run, on_result)
        requested = self.core.read(ticket)
        if requested.is_error():
            del self.reads[ticket]
            on_result(Error(requested.error))

    def change_member(
        self, action: int, member: pb.Member, moment: Moment, on_result: ResultCallback
    ) -> None:
        """Propose a membership change; `on_result` gets the new membership.

        Args:
            action: `MemberChangeRequest.Action`.
            member: Member to add, promote or remove.
            moment: Current time.
            on_result: Called with the committed membership, or with an error.
        """
        if self.unwritten_ready is not None:
            on_result(Error(self._disk_full_error("change member")))
            return
        index = self.core.change_member(action, member, moment.monotonic_s)
        self._add_pending(index, on_result)

    def transfer_leadership(
        self, moment: Moment, target: MemberId | None = None
    ) -> None:
        """Transfer the leadership; without effect if this member is not the leader.

        Args:
            moment: Current time.
            target: Next leader; None selects the voter with the highest match index
                among those that respond.
        """
        if self.core.role is not Role.LEADER:
            return
        successor = target or self.core.most_advanced_voter(moment.monotonic_s)
        if successor is not None:
            self.core.transfer(successor, moment.monotonic_s)

    def take_leadership(self, moment: Moment) -> None:
        """Start an election although the present leader responds.

        A voter with entries that this member lacks refuses its vote. Without effect at
        the leader, at learners and while the disk is full.
        """
        if self.unwritten_ready is not None:
            return
        self.core.take_leadership(moment.monotonic_s)

    def snapshot_saved(self, meta: pb.SnapshotMeta | None) -> None:
        """Record a new snapshot, and compact the log up to the previous snapshot.

        Args:
            meta: Metadata of the new snapshot; None when the snapshot was not stored.
        """
        self.is_saving = False
        self._is_save_overdue = meta is None
        if meta is None:
            return
        compact_index = self.snapshot_index
        self.snapshot_index = max(self.snapshot_index, meta.index)
        self.core.snapshot_stored(meta, compact_index)
        self.storage.log.remove_up_to(compact_index)

    def process_ready(self, moment: Moment) -> None:
        """Process the output of the core (`Ready`) until the core has no more output.

        Raises:
            StorageError: The files can no longer be trusted; the process must exit.
        """
        try:
            while self._process_ready_once(moment):
                pass
        except DiskFullError as error:
            self._on_disk_full(error, moment.monotonic_s)
        self._snapshot_if_due(moment.monotonic_s)

    def is_isolated(self, moment: Moment) -> bool:
        """Return whether no leader is known for `ISOLATED_AFTER_TIMEOUTS`."""
        if self._leaderless_since_s is None:
            return False
        limit_s = ISOLATED_AFTER_TIMEOUTS * self.core.options.election_timeout_s
        return moment.monotonic_s - self._leaderless_since_s > limit_s

    def apply(self, entry: pb.Entry) -> Any:
        """Apply a committed entry; return its command's result or its membership."""
        self.applied_index = entry.index
        self.applied_entries += 1
        self._applied_bytes += entry.ByteSize()
        if entry.HasField("command"):
            return self.store.apply(pb.Command.FromString(entry.command))
        return entry.membership

    @property
    def _member(self) -> MemberId:
        return self.core.options.member

    def _process_ready_once(self, moment: Moment) -> bool:
        is_retry = self.unwritten_ready is not None
        ready = self.unwritten_ready or self.core.take_ready(moment.monotonic_s)
        self._on_role_change(moment)
        if not is_retry:
            self.send(ready.messages)
            for chunk_to_send in ready.chunks_to_send:
                self._send_chunk(chunk_to_send)
        if ready.must_sync:
            self.unwritten_ready = ready
            self.storage.write(ready.hard_state, ready.entries)
            self.unwritten_ready = None
            self._is_disk_full = False
            self.synced_batches += 1
            self.core.synced()
        self.send(ready.after_sync)
        for entry in ready.committed:
            self._apply_and_reply(entry)
        for read in ready.reads:
            self._run_read(read.ticket)
        for ticket in ready.failed_reads:
            self._fail_read(ticket)
        for chunk in ready.received_chunks:
            self._receive_chunk(chunk)
        return bool(
            ready.must_sync
            or ready.committed
            or ready.received_chunks
            or ready.failed_reads
        )

    def _on_disk_full(self, error: DiskFullError, now_s: float) -> None:
        if self._is_disk_full:
            return
        self._is_disk_full = True
        self._full_since_s = now_s
        log.warning("Disk is full; member pauses until a write succeeds: {}.", error)

    def _apply_and_reply(self, entry: pb.Entry) -> None:
        result = self.apply(entry)
        pending = self.pending.pop(entry.index, None)
        if pending is None:
            return
        if pending.term != entry.term:
            pending.on_result(Error(self._outcome_unknown_error("propose")))
            return
        pending.on_result(Ok(result))

    def _run_read(self, ticket: int) -> None:
        read = self.reads.pop(ticket)
        read.on_result(Ok(read.run(self.store)))

    def _fail_read(self, ticket: int) -> None:
        read = self.reads.pop(ticket, None)
        if read is not None:
            read.on_result(Error(self._outcome_unknown_error("read")))

    def _send_chunk(self, chunk_to_send: ChunkToSend) -> None:
        snapshots = self.storage.snapshots
        data = snapshots.read_chunk(
            chunk_to_send.meta, chunk_to_send.offset, chunk_to_send.size
        )
        if data is None:
            self.core.snapshot_unavailable(chunk_to_send.peer)
            return
        chunk = pb.SnapshotChunk(
            meta=chunk_to_send.meta,
            offset=chunk_to_send.offset,
            data=data,
            last=chunk_to_send.offset + len(data) >= chunk_to_send.meta.size_bytes,
        )
        options = self.core.options
        message = pb.LogMessage(
            cluster=options.cluster,
            group=options.group,
            sender=options.member,
            receiver=chunk_to_send.peer,
            term=chunk_to_send.term,
            snapshot_chunk=chunk,
        )
        self.send([message])

    def _receive_chunk(self, chunk: ReceivedChunk) -> None:
        if self.is_saving and chunk.last:
            self.core.chunk_dropped(chunk.meta, chunk.offset)
            return
        try:
            self.storage.store_chunk(chunk)
        except DiskFullError as error:
            log.warning("Could not store a snapshot chunk from the leader: {}.", error)
            self.core.chunk_dropped(chunk.meta, 0)
            return
        if not chunk.last:
            self.core.chunk_stored(chunk)
        elif self.core.needs_snapshot(chunk.meta):
            self._install(chunk.meta)

    def _install(self, meta: pb.SnapshotMeta) -> None:
        try:
            store = self.storage.install(meta)
        except DiskFullError as error:
            log.warning("No room for the snapshot from the leader: {}.", error)
            self.core.chunk_dropped(meta, 0)
            return
        except DamageError as error:
            log.warning("Could not install the snapshot from the leader: {}.", error)
            self.core.snapshot_rejected(meta)
            return
        self.store = store
        self.core.snapshot_installed(meta)
        self.applied_index = meta.index
        self.snapshot_index = meta.index
        self._applied_bytes = 0
        log.debug("Installed a snapshot of {} bytes from the leader.", meta.size_bytes)

    def _snapshot_if_due(self, now_s: float) -> None:
        if self.is_saving:
            return
        if self._is_save_overdue and now_s < self._save_begun_s + SNAPSHOT_RETRY_S:
            return
        unsaved_entries = self.applied_index - self.snapshot_index
        is_due = unsaved_entries >= self.snapshot_entries or self._is_save_overdue
        if not is_due and self._applied_bytes < SNAPSHOT_LIMIT_BYTES:
            return
        if not unsaved_entries:
            return
        self.is_saving = True
        self._save_begun_s = now_s
        self._applied_bytes = 0
        meta = self.core.snapshot_meta(self.applied_index)
        self.save_snapshot(meta, self.store.image())

    def _propose(
        self, command: pb.Command, moment: Moment, on_result: ResultCallback
    ) -> None:
        if self.unwritten_ready is not None:
            on_result(Error(self._disk_full_error("propose")))
            return
        self._on_role_change(moment)
        command.accepted_at_ms = self._clock.now_ms(moment)
        index = self.core.propose(command.SerializeToString(), moment.monotonic_s)
        self._add_pending(index, on_result)

    def _add_pending(
        self, index: Result[Any, StepError], on_result: ResultCallback
    ) -> None:
        if index.is_error():
            on_result(Error(index.error))
            return
        self.pending[index.ok] = PendingProposal(self.core.term, on_result)

    def _on_role_change(self, moment: Moment) -> None:
        core = self.core
        if core.role is not Role.LEADER:
            self.lease_timers.clear()
            if self.pending:
                self._fail_pending()
            return
        if self._leader_term == core.term:
            return
        self._leader_term = core.term
        unapplied = core.log.entries_after(self.applied_index)
        self._clock.begin(self.store.clock_ms, unapplied, moment)
        self.lease_timers.clear()
        self._fail_pending()
        log.info("Became leader of group {} in term {}.", core.options.group, core.term)

    def _fail_pending(self) -> None:
        is_leader = self.core.role is Role.LEADER
        for index, pending in list(self.pending.items()):
            if not is_leader or pending.term != self.core.term:
                del self.pending[index]
                pending.on_result(Error(self._outcome_unknown_error("propose")))

    def _expire_leases(self, moment: Moment) -> None:
        core = self.core
        self._on_role_change(moment)
        if core.role is not Role.LEADER:
            return
        if core.log.term_at(core.commit_index) != core.term:
            return
        for lease in self.lease_timers.expired(self.store.leases, moment.monotonic_s):
            lapse = pb.LeaseLapse(
                name=lease.name,
                fencing_number=lease.fencing_number,
                renewals=lease.renewals,
            )
            log.debug("Lease {} of holder {} expired.", lease.name, lease.holder)
            self._propose(pb.Command(lease_lapse=lapse), moment, ignore_result)

    def _outcome_unknown_error(self, step: str) -> UnavailableError:
        reason = "the leader changed, outcome unknown"
        return UnavailableError(step, self._member, reason)

    def _disk_full_error(self, step: str) -> UnavailableError:
        """Return the error; callers should try other members: one will be leader."""
        return UnavailableError(step, self._member, "the disk is full")
