"""Hosts the core of the log with its files and its store; no thread, no socket.

An embedder calls it from one thread, and `carry_out` after one or more calls:
all proposals that came in between share one sync.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from expression import Error, Ok, Result
from loguru import logger

from tanagerturn.coordination._group_clock import GroupClock
from tanagerturn.coordination._pending import Pending, PendingRead, ignore
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

    from tanagerturn.coordination._pending import Answer
    from tanagerturn.coordination.log.core import Core
    from tanagerturn.coordination.log.ready import ChunkToSend, Ready, ReceivedChunk
    from tanagerturn.coordination.moment import Moment
    from tanagerturn.coordination.storage.group import GroupStorage
    from tanagerturn.coordination.store import Store, StoreImage

SNAPSHOT_LIMIT_BYTES: Final = 16 * 1024 * 1024
"""A snapshot is due when this much was applied since the last."""

ISOLATED_AFTER_TIMEOUTS: Final = 4
"""A member that knows no leader for so many election timeouts is isolated."""

log = logger.bind(part="state")


class GroupHost:
    """One member of one replication group.

    Args:
        core: Core of the replicated log.
        storage: Files.
        store: Store as of the last snapshot.
        send: Sends messages to other members.
        save_snapshot: Starts to store a snapshot; `snapshot_saved` follows.
        snapshot_entries: Entries between two snapshots.
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
        """Files."""
        self.store = store
        """Applied state."""
        self.send = send
        """Sends messages to other members."""
        self.save_snapshot = save_snapshot
        """Starts to store a snapshot."""
        self.snapshot_entries = snapshot_entries
        """Entries between two snapshots."""
        self.applied_index = core.log.snapshot.index
        """Highest applied index."""
        self.snapshot_index = core.log.snapshot.index
        """Index of the last stored snapshot."""
        self.is_saving = False
        """A snapshot is being written."""
        self.stalled: Ready | None = None
        """What could not be written because the disk is full."""
        self.pending: dict[int, Pending] = {}
        """Proposals by index."""
        self.reads: dict[int, PendingRead] = {}
        """Reads by ticket."""
        self.timers = LeaseTimers()
        """Times of leases, while leader."""
        self.syncs = 0
        """Synced batches."""
        self.applied_entries = 0
        """Entries applied since the start."""
        self._is_stall_logged = False
        self._applied_bytes = 0
        self._next_ticket = 1
        self._led_term = 0
        self._clock = GroupClock()
        self._leaderless_since_s: float | None = None

    def deliver(self, messages: Iterable[pb.LogMessage], at: Moment) -> None:
        """Take in messages of other members; a stalled member hears nothing."""
        if self.stalled is not None:
            return
        for message in messages:
            self.core.step(message, at.monotonic_s)

    def tick(self, at: Moment) -> None:
        """Let time pass; a stalled member lets others take over."""
        now = at.monotonic_s
        if self.core.leader:
            self._leaderless_since_s = None
        elif self._leaderless_since_s is None:
            self._leaderless_since_s = now
        if self.stalled is not None:
            return
        self.core.tick(now)
        self._lapse_leases(at)

    def propose(self, command: pb.Command, at: Moment, answer: Answer) -> None:
        """Commit a client's command."""
        if command.HasField("lease_lapse"):
            reason = "only the leader lets a lease lapse"
            answer(Error(RefusedError("propose", self._member, reason)))
            return
        self._propose(command, at, answer)

    def query(
        self, run: Callable[[Store], Any], answer: Answer, *, stale_allowed: bool
    ) -> None:
        """Read the store, once a majority confirms the leader."""
        if stale_allowed:
            answer(Ok(run(self.store)))
            return
        if self.stalled is not None:
            answer(Error(self._disk_full("read")))
            return
        ticket = self._next_ticket
        self._next_ticket += 1
        self.reads[ticket] = PendingRead(run, answer)
        asked = self.core.read(ticket)
        if asked.is_error():
            del self.reads[ticket]
            answer(Error(asked.error))

    def change_member(
        self, action: int, member: pb.Member, at: Moment, answer: Answer
    ) -> None:
        """Commit a member change."""
        if self.stalled is not None:
            answer(Error(self._disk_full("change member")))
            return
        index = self.core.change_member(action, member, at.monotonic_s)
        self._wait_for(index, answer)

    def hand_over(self, at: Moment, target: MemberId | None = None) -> None:
        """Hand the leadership over, to the most advanced voter by default."""
        if self.core.role is not Role.LEADER:
            return
        voters = self.core.quorum_voters()
        others = {p: g for p, g in self.core.progress.items() if p in voters}
        if not others:
            return
        most_advanced = max(others, key=lambda peer: others[peer].match_index)
        self.core.transfer(target or MemberId(most_advanced), at.monotonic_s)

    def snapshot_saved(self, meta: pb.SnapshotMeta | None) -> None:
        """Cut the log behind the snapshot before the one just stored.

        Args:
            meta: The snapshot, None when it could not be stored.
        """
        self.is_saving = False
        if meta is None:
            return
        cut_index = self.snapshot_index
        self.snapshot_index = max(self.snapshot_index, meta.index)
        self.core.snapshot_stored(meta, cut_index)
        self.storage.log.remove_up_to(cut_index)

    def carry_out(self, at: Moment) -> None:
        """Carry out what the core asks for, until it asks for nothing.

        Raises:
            StorageError: The disk can't be trusted; the process must end.
        """
        try:
            while self._carry_out_once(at):
                pass
        except DiskFullError as error:
            self._log_stall(error)
        self._snapshot_if_due()

    def is_isolated(self, at: Moment) -> bool:
        """Whether no leader was known for a while."""
        if self._leaderless_since_s is None:
            return False
        patience_s = ISOLATED_AFTER_TIMEOUTS * self.core.options.election_timeout_s
        return at.monotonic_s - self._leaderless_since_s > patience_s

    def apply(self, entry: pb.Entry) -> Any:
        """Apply one committed entry and return its result."""
        self.applied_index = entry.index
        self.applied_entries += 1
        self._applied_bytes += entry.ByteSize()
        if entry.HasField("command"):
            return self.store.apply(pb.Command.FromString(entry.command))
        return entry.membership

    @property
    def _member(self) -> MemberId:
        return self.core.options.member

    def _carry_out_once(self, at: Moment) -> bool:
        is_retry = self.stalled is not None
        ready = self.stalled or self.core.take_ready(at.monotonic_s)
        self._follow_role(at)
        if not is_retry:
            self.send(ready.messages)
            for wanted in ready.chunks_to_send:
                self._send_chunk(wanted)
        if ready.must_sync:
            self.stalled = ready
            self.storage.write(ready.hard_state, ready.entries)
            self.stalled = None
            self._is_stall_logged = False
            self.syncs += 1
            self.core.synced()
        self.send(ready.after_sync)
        for entry in ready.committed:
            self._apply_and_answer(entry)
        for read in ready.reads:
            self._answer_read(read.ticket)
        for ticket in ready.failed_reads:
            self._lose_read(ticket)
        for chunk in ready.received_chunks:
            self._receive_chunk(chunk)
        return bool(
            ready.must_sync
            or ready.committed
            or ready.received_chunks
            or ready.failed_reads
        )

    def _log_stall(self, error: DiskFullError) -> None:
        if not self._is_stall_logged:
            log.warning("Disk is full, member stalls: {}.", error)
        self._is_stall_logged = True

    def _apply_and_answer(self, entry: pb.Entry) -> None:
        result = self.apply(entry)
        pending = self.pending.pop(entry.index, None)
        if pending is None:
            return
        if pending.term != entry.term:
            pending.answer(Error(self._unknown("propose")))
            return
        pending.answer(Ok(result))

    def _answer_read(self, ticket: int) -> None:
        read = self.reads.pop(ticket)
        read.answer(Ok(read.run(self.store)))

    def _lose_read(self, ticket: int) -> None:
        read = self.reads.pop(ticket, None)
        if read is not None:
            read.answer(Error(self._unknown("read")))

    def _send_chunk(self, wanted: ChunkToSend) -> None:
        snapshots = self.storage.snapshots
        data = snapshots.read_chunk(wanted.meta, wanted.offset, wanted.size)
        if data is None:
            self.core.snapshot_unavailable(wanted.peer)
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
        self.send([message])

    def _receive_chunk(self, chunk: ReceivedChunk) -> None:
        if self.is_saving and chunk.last:
            self.core.snapshot_rejected(chunk.meta)
            return
        try:
            self.storage.store_chunk(chunk)
        except DiskFullError as error:
            log.warning("Snapshot not received: {}.", error)
            self.core.snapshot_rejected(chunk.meta)
            return
        if chunk.last and self.core.needs_snapshot(chunk.meta):
            self._install(chunk.meta)

    def _install(self, meta: pb.SnapshotMeta) -> None:
        try:
            store = self.storage.install(meta)
        except (DamageError, DiskFullError) as error:
            log.warning("Snapshot refused: {}.", error)
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
        behind = self.applied_index - self.snapshot_index
        is_due = behind >= self.snapshot_entries
        if not is_due and (not behind or self._applied_bytes < SNAPSHOT_LIMIT_BYTES):
            return
        self.is_saving = True
        self._applied_bytes = 0
        meta = self.core.snapshot_meta(self.applied_index)
        self.save_snapshot(meta, self.store.image())

    def _propose(self, command: pb.Command, at: Moment, answer: Answer) -> None:
        if self.stalled is not None:
            answer(Error(self._disk_full("propose")))
            return
        self._follow_role(at)
        command.accepted_at_ms = self._clock.now_ms(at)
        index = self.core.propose(command.SerializeToString(), at.monotonic_s)
        self._wait_for(index, answer)

    def _wait_for(self, index: Result[Any, StepError], answer: Answer) -> None:
        if index.is_error():
            answer(Error(index.error))
            return
        self.pending[index.ok] = Pending(self.core.term, answer)

    def _follow_role(self, at: Moment) -> None:
        core = self.core
        if core.role is not Role.LEADER:
            self.timers.clear()
            if self.pending:
                self._fail_pending()
            return
        if self._led_term == core.term:
            return
        self._led_term = core.term
        unapplied = core.log.entries_after(self.applied_index)
        self._clock.begin(self.store.clock_ms, unapplied, at)
        self.timers.clear()
        self._fail_pending()
        log.info("Leads {} in term {}.", core.options.group, core.term)

    def _fail_pending(self) -> None:
        is_leader = self.core.role is Role.LEADER
        for index, one in list(self.pending.items()):
            if not is_leader or one.term != self.core.term:
                del self.pending[index]
                one.answer(Error(self._unknown("propose")))

    def _lapse_leases(self, at: Moment) -> None:
        core = self.core
        self._follow_role(at)
        if core.role is not Role.LEADER:
            return
        if core.log.term_at(core.commit_index) != core.term:
            return
        for lease in self.timers.lapsed(self.store.leases, at.monotonic_s):
            lapse = pb.LeaseLapse(
                name=lease.name,
                fencing_number=lease.fencing_number,
                renewals=lease.renewals,
            )
            log.debug("Lease {} of {} lapses.", lease.name, lease.holder)
            self._propose(pb.Command(lease_lapse=lapse), at, ignore)

    def _unknown(self, step: str) -> UnavailableError:
        reason = "the leader changed, outcome unknown"
        return UnavailableError(step, self._member, reason)

    def _disk_full(self, step: str) -> UnavailableError:
        """Another member will lead soon, so callers should try others."""
        return UnavailableError(step, self._member, "the disk is full")
