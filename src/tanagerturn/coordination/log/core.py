"""The core of the replicated log: one object a member and replication group.

The host of a core calls `step`, `tick`, `propose` and the like, then
`take_ready`, and does what it says in order: send the messages, write and sync,
call `synced`, send what had to wait for the sync, apply what is committed. It
calls nothing else between `take_ready` and `synced`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from tanagerturn.coordination.errors import NotLeaderError, RefusedError, StepError
from tanagerturn.coordination.ids import LogIndex
from tanagerturn.coordination.log import _election, _reads, _replication, changes
from tanagerturn.coordination.log._handlers import handle, keeps_term, payload_of
from tanagerturn.coordination.log.entries import EntryLog
from tanagerturn.coordination.log.membership import voters
from tanagerturn.coordination.log.ready import ReadState, Ready, Role
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from random import Random

    from google.protobuf.message import Message

    from tanagerturn.coordination.ids import MemberId
    from tanagerturn.coordination.log.progress import Progress
    from tanagerturn.coordination.log.ready import Options, Recovered


class Core:
    """Election, replication, reads and member changes of one member.

    Args:
        options: Fixed settings.
        recovered: What storage holds.
        random: Source of election timeouts.
        now: Present time in seconds, monotonic.
    """

    def __init__(
        self, options: Options, recovered: Recovered, random: Random, now: float
    ) -> None:
        self.options = options
        """Fixed settings."""
        self.random = random
        """Source of election timeouts."""
        self.term = recovered.hard_state.term
        """Current term."""
        self.voted_for = recovered.hard_state.voted_for
        """Member that got the vote of this term, or empty."""
        self.log = EntryLog(recovered.snapshot, recovered.entries)
        """Entries after the last snapshot."""
        self.commit_index = recovered.snapshot.index
        """Highest index known to be committed."""
        self.handed_index = recovered.snapshot.index
        """Highest index handed out to be applied."""
        self.written_index = self.log.last_index
        """Highest index handed out to be written."""
        self.synced_index = self.log.last_index
        """Highest index known to be synced here."""
        self.role = Role.FOLLOWER
        """Role in this term."""
        self.leader = ""
        """Leader of this term, or empty."""
        self.leader_heard_at_s = now
        """When the leader was last heard, in seconds."""
        self.progress: dict[str, Progress] = {}
        """Other members, while leader."""
        self.votes: dict[str, bool] = {}
        """Answers of voters, while candidate."""
        self.uncommitted_bytes = 0
        """Bytes proposed by this leader and not yet committed."""
        self.transfer_to = ""
        """Member that shall become leader, or empty."""
        self.transfer_until_s = 0.0
        """When a transfer is given up, in seconds."""
        self.reads = _reads.Reads()
        """Reads that wait for confirmation."""
        self.incoming: tuple[pb.SnapshotMeta, int] | None = None
        """Snapshot being received and the next offset."""
        self.hard_state_changed = False
        """Term or vote are to be written."""
        self.ready = Ready()
        """What is collected for the next `take_ready`."""
        self.heartbeat_at_s = now
        """When the next heartbeat is due, while leader."""
        self.quorum_check_at_s = now
        """When a leader checks next that a majority answers."""
        self.election_at_s = now
        """When an election starts unless a leader is heard."""
        _election.reset_timer(self, now)

    def __repr__(self) -> str:
        return (
            f"Core({self.options.member}, {self.role.value}, term={self.term}, "
            f"log={self.log!r}, commit={self.commit_index})"
        )

    def step(self, message: pb.LogMessage, now: float) -> None:
        """Take in one message of another member.

        Args:
            message: The message; one for others is dropped.
            now: Present time in seconds, monotonic.
        """
        if not self._is_addressed(message):
            return
        payload = payload_of(message)
        if payload is None:
            return
        if message.term > self.term and not keeps_term(payload):
            if _election.ignores(self, payload, now):
                return
            _election.follow(self, message.term, "", now)
        if message.term < self.term:
            self._answer_stale(payload, message)
            return
        handle(payload, self, message, now)

    def tick(self, now: float) -> None:
        """Let time pass: heartbeats, elections, timeouts."""
        if self.role is Role.LEADER:
            _replication.tick(self, now)
            return
        if now >= self.election_at_s:
            _election.start(self, now)

    def propose(self, command: bytes, now: float) -> Result[LogIndex, StepError]:
        """Append a command to the log, if this member is leader.

        Returns:
            The index, or `NotLeaderError`, or `RefusedError` when too much is
            not yet committed.
        """
        if self.role is not Role.LEADER or self.transfer_to:
            return Error(self._not_leader("propose"))
        if self.uncommitted_bytes > self.options.uncommitted_limit_bytes:
            reason = "too many bytes are not committed yet"
            return Error(RefusedError("propose", self.options.member, reason))
        entry = pb.Entry(command=command)
        return Ok(_replication.append_own(self, entry))

    def change_member(
        self, action: int, member: pb.Member, now: float
    ) -> Result[LogIndex, StepError]:
        """Append one member change, if it is allowed now."""
        if self.role is not Role.LEADER or self.transfer_to:
            return Error(self._not_leader("change member"))
        return changes.propose_change(self, action, member, now)

    def read(self, ticket: int) -> Result[None, StepError]:
        """Ask for a read index; `Ready.reads` brings the ticket back."""
        if self.role is not Role.LEADER:
            return Error(self._not_leader("read"))
        self.add_read(ticket)
        return Ok(None)

    def transfer(self, target: MemberId, now: float) -> Result[None, StepError]:
        """Hand the leadership over once the target has the whole log."""
        if self.role is not Role.LEADER:
            return Error(self._not_leader("transfer"))
        if target not in voters(self.log.membership) or target not in self.progress:
            return Error(RefusedError("transfer", target, "not another voter"))
        self.transfer_to = target
        self.transfer_until_s = now + self.options.election_timeout_s
        _replication.try_transfer(self)
        return Ok(None)

    def take_ready(self, now: float) -> Ready:
        """Return all that is to be done, and forget it."""
        if self.role is Role.LEADER:
            _replication.send_all(self, now)
        ready = self.ready
        self.ready = Ready()
        if self.hard_state_changed:
            ready.hard_state = pb.HardState(term=self.term, voted_for=self.voted_for)
            self.hard_state_changed = False
        ready.entries = self.log.after(self.written_index)
        self.written_index = self.log.last_index
        ready.committed = self.log.after(self.handed_index, self.commit_index)
        self.handed_index = self.commit_index
        return ready

    def synced(self) -> None:
        """Note that all writes handed out are synced."""
        self.synced_index = self.written_index
        if self.role is Role.LEADER:
            _replication.advance_commit(self)

    def snapshot_taken(self, meta: pb.SnapshotMeta, cut_index: int) -> None:
        """Note a stored snapshot of applied entries, and cut the log.

        Args:
            meta: The snapshot.
            cut_index: Entries up to here are dropped; at most the snapshot's.
        """
        if meta.index > self.log.snapshot.index:
            self.log.snapshot = meta
        self.log.cut(min(cut_index, self.log.snapshot.index, self.handed_index))

    def needs_snapshot(self, meta: pb.SnapshotMeta) -> bool:
        """Whether a received snapshot brings more than the own log."""
        is_behind = meta.index > self.commit_index
        return is_behind and self.log.term_at(meta.index) != meta.term

    def snapshot_meta(self, index: int) -> pb.SnapshotMeta:
        """Return the description of a snapshot of an applied index."""
        term = self.log.term_at(index) or 0
        membership = self.log.membership_at(index)
        return pb.SnapshotMeta(index=index, term=term, membership=membership)

    def snapshot_installed(self, meta: pb.SnapshotMeta) -> None:
        """Note that a received snapshot is stored and loaded."""
        self.log.reset(meta)
        self.commit_index = meta.index
        self.handed_index = meta.index
        self.written_index = meta.index
        self.synced_index = meta.index
        self.incoming = None
        self.reply_snapshot(meta, meta.size_bytes, installed=True)

    def snapshot_refused(self, meta: pb.SnapshotMeta) -> None:
        """Note that a received snapshot was damaged; it is asked for again."""
        self.incoming = None
        self.reply_snapshot(meta, 0, installed=False)

    def snapshot_gone(self, peer: MemberId) -> None:
        """Note that the snapshot for a peer can't be read any more."""
        progress = self.progress.get(peer)
        if progress is not None:
            progress.probe(progress.match_index + 1)

    def quorum_voters(self) -> list[MemberId]:
        """Return the members that count for a majority."""
        return voters(self.log.membership)

    def may_commit(self, index: int) -> bool:
        """Whether counting may commit an index: only one of the own term."""
        return self.log.term_at(index) == self.term

    def add_read(self, ticket: int) -> None:
        """Queue a read until a majority confirms that this is the leader."""
        self.reads.add(ticket)

    def is_voter(self) -> bool:
        """Whether this member votes."""
        return self.options.member in self.quorum_voters()

    def send(self, receiver: str, term: int | None = None, **payload: Message) -> None:
        """Queue a message that may go before the sync."""
        self.ready.messages.append(self._message(receiver, term, payload))

    def reply(self, receiver: str, term: int | None = None, **payload: Message) -> None:
        """Queue a message that has to wait for the sync."""
        self.ready.after_sync.append(self._message(receiver, term, payload))

    def reply_snapshot(
        self, meta: pb.SnapshotMeta, next_offset: int, *, installed: bool
    ) -> None:
        """Queue an answer to a chunk for the leader."""
        ack = pb.SnapshotAck(
            index=meta.index, next_offset=next_offset, installed=installed
        )
        if self.leader and self.role is not Role.LEADER:
            self.reply(self.leader, snapshot_ack=ack)

    def confirm_reads(self, tickets: list[int], index: int) -> None:
        """Hand out reads that may be answered."""
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

    def _answer_stale(self, payload: Message, message: pb.LogMessage) -> None:
        if isinstance(payload, pb.AppendRequest | pb.SnapshotChunk):
            refusal = pb.AppendResponse(accepted=False)
            self.reply(message.sender, append_response=refusal)
        if isinstance(payload, pb.PreVoteRequest):
            self.reply(message.sender, pre_vote_response=pb.PreVoteResponse())
        if isinstance(payload, pb.VoteRequest):
            self.reply(message.sender, vote_response=pb.VoteResponse())

    def _not_leader(self, step: str) -> NotLeaderError:
        leader = self.transfer_to or self.leader
        known = leader if leader != self.options.member else ""
        return NotLeaderError(step, self.options.member, known)
