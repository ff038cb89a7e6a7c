"""Member of a replication group: core, files and store, without thread or socket.

The caller uses one thread and invokes `carry_out` after one or more other calls:
all proposals made in between share one sync.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from expression import Error, Ok, Result
from loguru import logger

from tanagerturn.coordination._group_clock import GroupClock
from tanagerturn.coordination._pending import Pending, PendingRead, ignore_result
from tanagerturn.coordination.errors import (
    RefusedError,
    StepError,
    UnavailableError,
)
from tanagerturn.coordination.ids import MemberId
from tanagerturn.coordination.lease_timers import LeaseTimers
from tanagerturn.coordination.log.ready import Role
from tanagerturn.coordination.storage.files import DamageError, DiskFullError
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from tanagerturn.coordination._pending import ResultCallback
    from tanagerturn.coordination.log.core import Core
    from tanagerturn.coordination.log.ready import ChunkToSend, Ready, ReceivedChunk
    from tanagerturn.coordination.moment import Moment
    from tanagerturn.coordination.storage.group import GroupStorage
    from tanagerturn.coordination.store import Store, StoreImage

SNAPSHOT_LIMIT_BYTES: Final = 16 * 1024 * 1024
"""Bytes of applied entries after which a snapshot is due."""

ISOLATED_AFTER_TIMEOUTS: Final = 4
"""Election timeouts without a known leader after which a member is isolated."""

log = logger.bind(part="state")


class GroupReplica:
    """One member of one replication group.

    Args:
        core: Core of the replicated log.
        storage: Log and snapshot files.
        store: Store as of the last snapshot.
        send: Sends messages to other members.
        save_snapshot: Starts to store a snapshot; `snapshot_saved` is called later.
        snapshot_entries: Applied entries after which a snapshot is due.
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
        """Log and snapshot files."""
        self.store = store
        """Store with all applied entries."""
        self.send = send
        """Sends messages to other members."""
        self.save_snapshot = save_snapshot
        """Starts to store a snapshot."""
        self.snapshot_entries = snapshot_entries
        """Applied entries after which a snapshot is due."""
        self.applied_index = core.log.snapshot.index
        """Index of the last applied entry."""
        self.snapshot_index = core.log.snapshot.index
        """Index of the last stored snapshot."""
        self.is_saving = False
        """Whether a snapshot is being written."""
        self.unwritten: Ready | None = None
        """Actions whose write failed because the disk is full, or None; retried."""
        self.pending: dict[int, Pending] = {}
        """Proposals that wait for their commit, by index."""
        self.reads: dict[int, PendingRead] = {}
        """Reads that wait for the leader to be confirmed, by ticket."""
        self.timers = LeaseTimers()
        """Expiry of leases, while leader."""
        self.synced_batches = 0
        """Batches synced since the start."""
        self.applied_entries = 0
        """Entries applied since the start."""
        self._is_disk_full_logged = False
        self._applied_bytes = 0
        self._next_ticket = 1
        self._leader_term = 0
        self._clock = GroupClock()
        self._leaderless_since_s: float | None = None

    def deliver(self, messages: Iterable[pb.LogMessage], at: Moment) -> None:
        """Process messages of other members; dropped while the disk is full."""
        if self.unwritten is not None:
            return
        for message in messages:
            self.core.step(message, at.monotonic_s)

    def tick(self, at: Moment) -> None:
        """Process the passage of time; while the disk is full, others may take over."""
        now = at.monotonic_s
        if self.core.leader:
            self._leaderless_since_s = None
        elif self._leaderless_since_s is None:
            self._leaderless_since_s = now
        if self.unwritten is not None:
            return
        self.core.tick(now)
        self._expire_leases(at)

    def propose(
        self, command: pb.Command, at: Moment, on_result: ResultCallback
    ) -> None:
        """Propose a client's command."""
        if command.HasField("lease_lapse"):
            reason = "only the leader lets a lease lapse"
            on_result(Error(RefusedError("propose", self._member, reason)))
            return
        self._propose(command, at, on_result)

    def query(
        self,
        run: Callable[[Store], Any],
        on_result: ResultCallback,
        *,
        stale_allowed: bool,
    ) -> None:
        """Read the store; unless stale is allowed, a majority confirms the leader."""
        if stale_allowed:
            on_result(Ok(run(self.store)))
            return
        if self.unwritten is not None:
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
        self, action: int, member: pb.Member, at: Moment, on_result: ResultCallback
    ) -> None:
        """Propose a membership change."""
        if self.unwritten is not None:
            on_result(Error(self._disk_full_error("change member")))
            return
        index = self.core.change_member(action, member, at.monotonic_s)
        self._add_pending(index, on_result)

    def transfer_leadership(self, at: Moment, target: MemberId | None = None) -> None:
        """Transfer leadership, by default to the voter with the highest match index."""
        if self.core.role is not Role.LEADER:
            return
        voters = self.core.quorum_voters()
        others = {p: g for p, g in self.core.progress.items() if p in voters}
        if not others:
            return
        most_advanced = max(others, key=lambda peer: others[peer].match_index)
        self.core.transfer(target or MemberId(most_advanced), at.monotonic_s)

    def snapshot_saved(self, meta: pb.SnapshotMeta | None) -> None:
        """Compact the log up to the previous snapshot, and record the new one.

        Args:
            meta: Description of the new snapshot; None when it was not stored.
        """
        self.is_saving = False
        if meta is None:
            return
        cut_index = self.snapshot_index
        self.snapshot_index = max(self.snapshot_index, meta.index)
        self.core.snapshot_stored(meta, cut_index)
        self.storage.log.remove_up_to(cut_index)

    def process_ready(self, at: Moment) -> None:
        """Process the output of the core (`Ready`), until there is none.

        Raises:
            StorageError: The files can no longer be trusted; the process must end.
        """
        try:
            while self._process_ready_once(at):
                pass
        except DiskFullError as error:
            self._log_disk_full(error)
        self._snapshot_if_due()

    def is_isolated(self, at: Moment) -> bool:
        """Whether no leader has been known for several election timeouts."""
        if self._leaderless_since_s is None:
            return False
        limit_s = ISOLATED_AFTER_TIMEOUTS * self.core.options.election_timeout_s
        return at.monotonic_s - self._leaderless_since_s > limit_s

    def apply(self, entry: pb.Entry) -> Any:
        """Apply a committed entry and return the result, or the new membership."""
        self.applied_index = entry.index
        self.applied_entries += 1
        self._applied_bytes += entry.ByteSize()
        if entry.HasField("command"):
            return self.store.apply(pb.Command.FromString(entry.command))
        return entry.membership

    @property
    def _member(self) -> MemberId:
        return self.core.options.member

    def _process_ready_once(self, at: Moment) -> bool:
        is_retry = self.unwritten is not None
        ready = self.unwritten or self.core.take_ready(at.monotonic_s)
        self._on_role_change(at)
        if not is_retry:
            self.send(ready.messages)
            for chunk_to_send in ready.chunks_to_send:
                self._send_chunk(chunk_to_send)
        if ready.must_sync:
            self.unwritten = ready
            self.storage.write(ready.hard_state, ready.entries)
            self.unwritten = None
            self._is_disk_full_logged = False
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

    def _log_disk_full(self, error: DiskFullError) -> None:
        if not self._is_disk_full_logged:
            log.warning(
                "Disk is full; member pauses until a write succeeds: {}.", error
            )
        self._is_disk_full_logged = True

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
            self.core.snapshot_rejected(chunk.meta)
            return
        try:
            self.storage.store_chunk(chunk)
        except DiskFullError as error:
            log.warning("Could not store a received snapshot chunk: {}.", error)
            self.core.snapshot_rejected(chunk.meta)
            return
        if chunk.last and self.core.needs_snapshot(chunk.meta):
            self._install(chunk.meta)

    def _install(self, meta: pb.SnapshotMeta) -> None:
        try:
            store = self.storage.install(meta)
        except (DamageError, DiskFullError) as error:
            log.warning("Could not install a received snapshot: {}.", error)
            self.core.snapshot_rejected(meta)
            return
        self.store = store
        self.core.snapshot_installed(meta)
        self.applied_index = meta.index
        self.snapshot_index = meta.index
        self._applied_bytes = 0
        log.debug("Installed a snapshot of {} bytes.", meta.size_bytes)

    def _snapshot_if_due(self) -> None:
        if self.is_saving:
            return
        unsaved_entries = self.applied_index - self.snapshot_index
        is_due = unsaved_entries >= self.snapshot_entries
        if not is_due and (
            not unsaved_entries or self._applied_bytes < SNAPSHOT_LIMIT_BYTES
        ):
            return
        self.is_saving = True
        self._applied_bytes = 0
        meta = self.core.snapshot_meta(self.applied_index)
        self.save_snapshot(meta, self.store.image())

    def _propose(
        self, command: pb.Command, at: Moment, on_result: ResultCallback
    ) -> None:
        if self.unwritten is not None:
            on_result(Error(self._disk_full_error("propose")))
            return
        self._on_role_change(at)
        command.accepted_at_ms = self._clock.now_ms(at)
        index = self.core.propose(command.SerializeToString(), at.monotonic_s)
        self._add_pending(index, on_result)

    def _add_pending(
        self, index: Result[Any, StepError], on_result: ResultCallback
    ) -> None:
        if index.is_error():
            on_result(Error(index.error))
            return
        self.pending[index.ok] = Pending(self.core.term, on_result)

    def _on_role_change(self, at: Moment) -> None:
        core = self.core
        if core.role is not Role.LEADER:
            self.timers.clear()
            if self.pending:
                self._fail_pending()
            return
        if self._leader_term == core.term:
            return
        self._leader_term = core.term
        unapplied = core.log.entries_after(self.applied_index)
        self._clock.begin(self.store.clock_ms, unapplied, at)
        self.timers.clear()
        self._fail_pending()
        log.info("Became leader of group {} in term {}.", core.options.group, core.term)

    def _fail_pending(self) -> None:
        is_leader = self.core.role is Role.LEADER
        for index, pending in list(self.pending.items()):
            if not is_leader or pending.term != self.core.term:
                del self.pending[index]
                pending.on_result(Error(self._outcome_unknown_error("propose")))

    def _expire_leases(self, at: Moment) -> None:
        core = self.core
        self._on_role_change(at)
        if core.role is not Role.LEADER:
            return
        if core.log.term_at(core.commit_index) != core.term:
            return
        for lease in self.timers.expired(self.store.leases, at.monotonic_s):
            lapse = pb.LeaseLapse(
                name=lease.name,
                fencing_number=lease.fencing_number,
                renewals=lease.renewals,
            )
            log.debug("Lease {} of holder {} expired.", lease.name, lease.holder)
            self._propose(pb.Command(lease_lapse=lapse), at, ignore_result)

    def _outcome_unknown_error(self, step: str) -> UnavailableError:
        reason = "the leader changed, outcome unknown"
        return UnavailableError(step, self._member, reason)

    def _disk_full_error(self, step: str) -> UnavailableError:
        """Callers should try other members, as another one will become leader soon."""
        return UnavailableError(step, self._member, "the disk is full")
