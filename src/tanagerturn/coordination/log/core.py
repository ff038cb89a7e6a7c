"""Core of the replicated log: one `Core` per member and replication group.

The caller calls `step`, `tick`, `propose` and similar methods, then `take_ready`, and
processes the returned `Ready` in this order: send the messages, write and sync the
entries, call `synced`, send the messages that depend on the sync, apply the committed
entries. The caller must call no other method between `take_ready` and `synced`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from tanagerturn.coordination.errors import NotLeaderError, RefusedError, StepError
from tanagerturn.coordination.ids import LogIndex
from tanagerturn.coordination.log import (
    _election,
    _reads,
    _replication,
    membership_changes,
)
from tanagerturn.coordination.log._handlers import (
    handle,
    has_prospective_term,
    payload_of,
)
from tanagerturn.coordination.log.entries import EntryLog
from tanagerturn.coordination.log.membership import voters
from tanagerturn.coordination.log.ready import ReadState, Ready, Role
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from random import Random

    from google.protobuf.message import Message

    from tanagerturn.coordination.ids import MemberId
    from tanagerturn.coordination.log.progress import Progress
    from tanagerturn.coordination.log.ready import (
        Options,
        ReceivedChunk,
        RecoveredState,
    )


class Core:
    """Election, replication, reads and membership changes of one member.

    Args:
        options: Configuration of the member in the group.
        recovered: State that the member read from its storage.
        random: Source of randomized election timeouts.
        now_s: Current monotonic time in seconds.
    """

    def __init__(
        self, options: Options, recovered: RecoveredState, random: Random, now_s: float
    ) -> None:
        self.options = options
        """Configuration of the member in the group."""
        self.random = random
        """Source of randomized election timeouts."""
        self.term = recovered.hard_state.term
        """Current term."""
        self.voted_for = recovered.hard_state.voted_for
        """Id of the member that got this member's vote in the current term; empty when
        none has."""
        self.log = EntryLog(recovered.snapshot, recovered.entries)
        """Log entries in memory: those that were not compacted."""
        self.commit_index = recovered.snapshot.index
        """Highest index known to be committed."""
        self.applying_index = recovered.snapshot.index
        """Highest index of the committed entries that `take_ready` has returned."""
        self.writing_index = self.log.last_index
        """Highest index of the entries to write that `take_ready` has returned."""
        self.synced_index = self.log.last_index
        """Highest index known to be synced by this member."""
        self.role = Role.FOLLOWER
        """Role in the current term."""
        self.leader = ""
        """Id of the leader of the current term; empty when unknown."""
        self.leader_contact_at_s = now_s
        """Monotonic time in seconds of the last message from the leader."""
        self.progress: dict[str, Progress] = {}
        """Replication progress by peer id; empty unless this member is leader."""
        self.votes: dict[str, bool] = {}
        """Votes by voter id, True when granted; empty unless this member is a
        candidate or pre-candidate."""
        self.uncommitted_bytes = 0
        """Size in bytes of the entries that this leader appended and that are not
        committed yet."""
        self.transfer_to = ""
        """Id of the member to which leadership is being transferred; empty for none."""
        self.transfer_until_s = 0.0
        """Monotonic time in seconds at which the leadership transfer is given up."""
        self.reads = _reads.ReadQueue()
        """Reads that wait until a majority has confirmed this leader."""
        self.incoming_snapshot: tuple[pb.SnapshotMeta, int] | None = None
        """Snapshot being received and the byte offset of its next chunk; None when none
        is being received."""
        self.hard_state_changed = False
        """Whether the term or the vote changed and has to be written."""
        self.ready = Ready()
        """Output collected for the next `take_ready`."""
        self.heartbeat_at_s = now_s
        """Monotonic time in seconds when the next heartbeat of a leader is due."""
        self.quorum_check_at_s = now_s
        """Monotonic time in seconds when a leader next checks for a majority."""
        self.election_at_s = now_s
        """Monotonic time in seconds when a pre-vote starts unless a message from the
        leader arrives."""
        _election.reset_timer(self, now_s)

    def __repr__(self) -> str:
        return (
            f"Core({self.options.member}, {self.role.value}, term={self.term}, "
            f"log={self.log!r}, commit={self.commit_index})"
        )

    def step(self, message: pb.LogMessage, now_s: float) -> None:
        """Process one message from another member.

        Args:
            message: Message; dropped unless its cluster, group and receiver are those
                of this member.
            now_s: Current monotonic time in seconds.
        """
        if not self._is_addressed(message):
            return
        payload = payload_of(message)
        if payload is None:
            return
        if message.term > self.term and not has_prospective_term(payload):
            if _election.drops_vote_request(self, payload, now_s):
                return
            _election.become_follower(self, message.term, "", now_s)
        if message.term < self.term:
            self._reject_stale(payload, message)
            return
        handle(payload, self, message, now_s)

    def tick(self, now_s: float) -> None:
        """Send heartbeats, start elections and check timeouts that are due."""
        if self.role is Role.LEADER:
            _replication.tick(self, now_s)
            return
        if now_s >= self.election_at_s:
            _election.start_pre_vote(self, now_s)

    def propose(self, command: bytes, now_s: float) -> Result[LogIndex, StepError]:
        """Append a command to the log if this member is the leader.

        Returns:
            The index of the entry; `NotLeaderError`; or `RefusedError` when more than
            `Options.uncommitted_limit_bytes` are not committed.
        """
        if self.role is not Role.LEADER or self.transfer_to:
            return Error(self._not_leader("propose"))
        if self.uncommitted_bytes > self.options.uncommitted_limit_bytes:
            reason = "too many bytes are not committed yet"
            return Error(RefusedError("propose", self.options.member, reason))
        entry = pb.Entry(command=command)
        return Ok(_replication.append_as_leader(self, entry))

    def change_member(
        self, action: int, member: pb.Member, now_s: float
    ) -> Result[LogIndex, StepError]:
        """Append one membership change, unless it is rejected; return its index.

        Args:
            action: `MemberChangeRequest.Action`.
            member: Member to add, promote or remove.
            now_s: Current monotonic time in seconds.
        """
        if self.role is not Role.LEADER or self.transfer_to:
            return Error(self._not_leader("change member"))
        return membership_changes.propose_membership_change(self, action, member, now_s)

    def read(self, ticket: int) -> Result[None, StepError]:
        """Queue a read, whose ticket `Ready.reads` or `Ready.failed_reads` returns.

        Args:
            ticket: Number that identifies the read.
        """
        if self.role is not Role.LEADER:
            return Error(self._not_leader("read"))
        self.add_read(ticket)
        return Ok(None)

    def transfer(self, target: MemberId, now_s: float) -> Result[None, StepError]:
        """Start to transfer leadership; the target leads once it has the whole log."""
        if self.role is not Role.LEADER:
            return Error(self._not_leader("transfer"))
        if target not in voters(self.log.membership) or target not in self.progress:
            return Error(RefusedError("transfer", target, "not another voter"))
        self.transfer_to = target
        self.transfer_until_s = now_s + self.options.election_timeout_s
        _replication.try_transfer(self)
        return Ok(None)

    def most_advanced_voter(self, now_s: float) -> MemberId | None:
        """Return the responding peer that votes and has the highest match index.

        None if no other voter has responded within an election timeout, or this member
        is not the leader.
        """
        responding = [
            voter
            for voter in self.quorum_voters()
            if _replication.responds(self, voter, now_s)
        ]
        return max(
            responding,
            key=lambda voter: self.progress[voter].match_index,
            default=None,
        )

    def forget_leader(self, now_s: float) -> None:
        """Become a follower without a known leader, because nothing can be written.

        It may also be called between `take_ready` and `synced`.
        """
        if self.leader:
            _election.become_follower(self, self.term, "", now_s)

    def take_leadership(self, now_s: float) -> None:
        """Start an election now, as if the leader had transferred its leadership."""
        if self.role is not Role.LEADER:
            _election.start_election(self, now_s, transfer=True)

    def take_ready(self, now_s: float) -> Ready:
        """Return the output collected since the last call and clear it."""
        if self.role is Role.LEADER:
            _replication.send_pending(self, now_s)
        ready = self.ready
        self.ready = Ready()
        if self.hard_state_changed:
            ready.hard_state = pb.HardState(term=self.term, voted_for=self.voted_for)
            self.hard_state_changed = False
        ready.entries = self.log.entries_after(self.writing_index)
        self.writing_index = self.log.last_index
        ready.committed = self.log.entries_after(self.applying_index, self.commit_index)
        self.applying_index = self.commit_index
        return ready

    def synced(self) -> None:
        """Record that the entries and hard state of the last `Ready` are synced."""
        self.synced_index = self.writing_index
        if self.role is Role.LEADER:
            _replication.advance_commit(self)

    def snapshot_stored(self, meta: pb.SnapshotMeta, compact_index: int) -> None:
        """Record a stored snapshot of applied entries and compact the log.

        Args:
            meta: Metadata of the snapshot.
            compact_index: Index up to which entries are dropped; at most the index of
                the snapshot.
        """
        if meta.index > self.log.snapshot.index:
            self.log.snapshot = meta
        self.log.compact(
            min(compact_index, self.log.snapshot.index, self.applying_index)
        )

    def needs_snapshot(self, meta: pb.SnapshotMeta) -> bool:
        """Return whether a snapshot holds entries that this member's log lacks."""
        is_behind = meta.index > self.commit_index
        return is_behind and self.log.term_at(meta.index) != meta.term

    def snapshot_meta(self, index: int) -> pb.SnapshotMeta:
        """Return the metadata of a snapshot at the index of an applied entry."""
        term = self.log.term_at(index) or 0
        membership = self.log.membership_at(index)
        return pb.SnapshotMeta(index=index, term=term, membership=membership)

    def snapshot_installed(self, meta: pb.SnapshotMeta) -> None:
        """Record that a received snapshot is stored and loaded."""
        self.log.reset(meta)
        self.commit_index = meta.index
        self.applying_index = meta.index
        self.writing_index = meta.index
        self.synced_index = meta.index
        self.incoming_snapshot = None
        self.reply_snapshot(meta, meta.size_bytes, installed=True)

    def snapshot_rejected(self, meta: pb.SnapshotMeta) -> None:
        """Discard a received snapshot; the leader sends it again from the start."""
        self.incoming_snapshot = None
        self.reply_snapshot(meta, 0, installed=False)

    def chunk_stored(self, chunk: ReceivedChunk) -> None:
        """Acknowledge a stored chunk of a snapshot that has more of them."""
        next_offset = chunk.offset + len(chunk.data)
        self.reply_snapshot(chunk.meta, next_offset, installed=False)

    def chunk_dropped(self, meta: pb.SnapshotMeta, next_offset: int) -> None:
        """Record that a chunk of a snapshot can't be stored now, without a response.

        The leader sends it again after an election timeout; a response would let it do
        so at once.

        Args:
            meta: Metadata of the snapshot.
            next_offset: Size in bytes of the part that is stored.
        """
        self.incoming_snapshot = (meta, next_offset)

    def snapshot_unavailable(self, peer: MemberId) -> None:
        """Record that the snapshot that is being sent to a peer can't be read."""
        progress = self.progress.get(peer)
        if progress is not None:
            progress.probe(progress.match_index + 1)

    def quorum_voters(self) -> list[MemberId]:
        """Return the ids of the members that count towards a majority."""
        return voters(self.log.membership)

    def may_commit(self, index: int) -> bool:
        """Return whether a majority may commit an index: only in the current term."""
        return self.log.term_at(index) == self.term

    def add_read(self, ticket: int) -> None:
        """Queue a read until a majority has confirmed this leader."""
        self.reads.add(ticket)

    def is_voter(self) -> bool:
        """Return whether this member is a voter."""
        return self.options.member in self.quorum_voters()

    def send(self, receiver: str, term: int | None = None, **payload: Message) -> None:
        """Queue a message that may be sent before the sync."""
        self.ready.messages.append(self._message(receiver, term, payload))

    def reply(self, receiver: str, term: int | None = None, **payload: Message) -> None:
        """Queue a message that must be sent after the sync."""
        self.ready.after_sync.append(self._message(receiver, term, payload))

    def reply_snapshot(
        self, meta: pb.SnapshotMeta, next_offset: int, *, installed: bool
    ) -> None:
        """Queue a response to the leader's snapshot chunk."""
        ack = pb.SnapshotAck(
            index=meta.index, next_offset=next_offset, installed=installed
        )
        if self.leader and self.role is not Role.LEADER:
            self.reply(self.leader, snapshot_ack=ack)

    def confirm_reads(self, tickets: list[int], index: int) -> None:
        """Add confirmed reads to the output; they may run once the index is applied."""
        states = [ReadState(ticket, LogIndex(index)) for ticket in tickets]
        self.ready.reads.extend(states)

    def _message(
        self, receiver: str, term: int | None, payload: dict[str, Message]
    ) -> pb.LogMessage:
        message = pb.LogMessage(
            cluster=self.options.cluster,
            group=self.options.group,
            sender=self.options.member,
            receiver=receiver,
            term=self.term if term is None else term,
        )
        for name, value in payload.items():
            getattr(message, name).CopyFrom(value)
            getattr(message, name).SetInParent()
        return message

    def _is_addressed(self, message: pb.LogMessage) -> bool:
        options = self.options
        addressed = (message.cluster, message.group, message.receiver)
        return addressed == (options.cluster, options.group, options.member)

    def _reject_stale(self, payload: Message, message: pb.LogMessage) -> None:
        if isinstance(payload, pb.AppendRequest | pb.SnapshotChunk):
            rejection = pb.AppendResponse(accepted=False)
            self.reply(message.sender, append_response=rejection)
        if isinstance(payload, pb.PreVoteRequest):
            self.reply(message.sender, pre_vote_response=pb.PreVoteResponse())
        if isinstance(payload, pb.VoteRequest):
            self.reply(message.sender, vote_response=pb.VoteResponse())

    def _not_leader(self, step: str) -> NotLeaderError:
        leader = self.transfer_to or self.leader
        leader_hint = leader if leader != self.options.member else ""
        return NotLeaderError(step, self.options.member, leader_hint)
