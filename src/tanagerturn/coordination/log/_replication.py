"""Log replication: requests of the leader and responses of the other members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.coordination.ids import LogIndex, MemberId
from tanagerturn.coordination.log import _election, _reads
from tanagerturn.coordination.log._handlers import handle
from tanagerturn.coordination.log.membership import majority_reached
from tanagerturn.coordination.log.progress import Progress, ReplicationMode
from tanagerturn.coordination.log.ready import ChunkToSend, ReceivedChunk, Role
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.coordination.log.core import Core


def become_leader(core: Core, now_s: float) -> None:
    """Become leader: reset the progress of peers and append an empty entry."""
    core.uncommitted_bytes = 0
    core.progress = {}
    core.heartbeat_at_s = now_s
    core.quorum_check_at_s = now_s + core.options.election_timeout_s
    sync_peers(core, now_s)
    append_as_leader(core, pb.Entry(barrier=True))


def sync_peers(core: Core, now_s: float) -> None:
    """Update the tracked peers: drop removed members and add new members."""
    peers = {m.id for m in core.log.membership.members} - {core.options.member}
    for removed_peer in core.progress.keys() - peers:
        del core.progress[removed_peer]
    for new_peer in sorted(peers - core.progress.keys()):
        core.progress[new_peer] = Progress(
            core.log.last_index + 1, last_response_at_s=now_s
        )


def append_as_leader(core: Core, entry: pb.Entry) -> LogIndex:
    """Append an entry with the current term to the leader's log; return its index."""
    entry.index = core.log.last_index + 1
    entry.term = core.term
    core.log.append(entry)
    core.uncommitted_bytes += entry.ByteSize()
    return LogIndex(entry.index)


def tick(core: Core, now_s: float) -> None:
    """Send due heartbeats; step down if too few voters responded in time."""
    if now_s >= core.quorum_check_at_s:
        core.quorum_check_at_s = now_s + core.options.election_timeout_s
        if not _majority_responds(core, now_s):
            _election.become_follower(core, core.term, "", now_s)
            return
    if core.transfer_to and now_s >= core.transfer_until_s:
        core.transfer_to = ""
    if now_s < core.heartbeat_at_s:
        return
    core.heartbeat_at_s = now_s + core.options.heartbeat_s
    for peer, progress in core.progress.items():
        progress.probe_pending = False
        _resend_chunk(core, progress, now_s)
        _send_append(core, peer, progress, may_be_empty=True)


def _majority_responds(core: Core, now_s: float) -> bool:
    voters = core.quorum_voters()
    responding = sum(
        voter == core.options.member or responds(core, voter, now_s) for voter in voters
    )
    return responding >= len(voters) // 2 + 1


def responds(core: Core, peer: str, now_s: float) -> bool:
    """Return whether a leader's peer has responded within an election timeout."""
    progress = core.progress.get(peer)
    if progress is None:
        return False
    return now_s - progress.last_response_at_s <= core.options.election_timeout_s


def send_pending(core: Core, now_s: float) -> None:
    """Send missing entries to each peer, and start a read round for queued reads."""
    round_started = _reads.start_round(core)
    for peer, progress in core.progress.items():
        sent = _send_entries(core, peer, progress)
        if round_started and not sent:
            _send_append(core, peer, progress, may_be_empty=True)
        _send_chunk(core, peer, progress, now_s)
    if round_started:
        _reads.confirm(core)


def _send_entries(core: Core, peer: str, progress: Progress) -> bool:
    sent = False
    while progress.next_index <= core.log.last_index:
        if not _send_append(core, peer, progress, may_be_empty=False):
            break
        sent = True
    return sent


def _send_append(
    core: Core, peer: str, progress: Progress, *, may_be_empty: bool
) -> bool:
    previous = progress.next_index - 1
    term = core.log.term_at(previous)
    if term is None and progress.mode is not ReplicationMode.SNAPSHOT:
        progress.send_snapshot(core.log.snapshot)
    if progress.mode is ReplicationMode.SNAPSHOT:
        if may_be_empty:
            _send_empty(core, peer, core.log.base_index, core.log.base_term)
        return False
    assert term is not None
    entries, size = _next_batch(core, progress)
    if not entries:
        if may_be_empty:
            _send_empty(core, peer, previous, term)
        return False
    request = pb.AppendRequest(
        previous_index=previous,
        previous_term=term,
        entries=entries,
        commit_index=core.commit_index,
        read_round=core.reads.last_round,
    )
    core.send(peer, append_request=request)
    if progress.mode is ReplicationMode.REPLICATE:
        progress.on_append_sent(previous + len(entries), size)
    else:
        progress.probe_pending = True
    return progress.mode is ReplicationMode.REPLICATE


def _send_empty(core: Core, peer: str, previous: int, term: int) -> None:
    request = pb.AppendRequest(
        previous_index=previous,
        previous_term=term,
        commit_index=min(core.commit_index, previous),
        read_round=core.reads.last_round,
    )
    core.send(peer, append_request=request)


def _next_batch(core: Core, progress: Progress) -> tuple[list[pb.Entry], int]:
    if progress.probe_pending:
        return [], 0
    if progress.in_flight_bytes >= core.options.in_flight_limit_bytes:
        return [], 0
    limit = core.options.append_limit_bytes
    return core.log.entries_from(progress.next_index, limit)


def _send_chunk(core: Core, peer: str, progress: Progress, now_s: float) -> None:
    if progress.snapshot is None or progress.chunk_sent_at_s is not None:
        return
    progress.chunk_sent_at_s = now_s
    chunk = ChunkToSend(
        MemberId(peer),
        core.term,
        progress.snapshot,
        progress.snapshot_offset,
        core.options.chunk_limit_bytes,
    )
    core.ready.chunks_to_send.append(chunk)


def _resend_chunk(core: Core, progress: Progress, now_s: float) -> None:
    sent_at_s = progress.chunk_sent_at_s
    if sent_at_s is None:
        return
    if now_s - sent_at_s >= core.options.election_timeout_s:
        progress.chunk_sent_at_s = None


def advance_commit(core: Core) -> None:
    """Advance the commit index to the highest index that a majority has synced."""
    index = majority_reached(
        core.synced_index
        if voter == core.options.member
        else _match_index_of(core, voter)
        for voter in core.quorum_voters()
    )
    if index <= core.commit_index or not core.may_commit(index):
        return
    for entry in core.log.entries_after(core.commit_index, index):
        core.uncommitted_bytes -= entry.ByteSize()
    core.uncommitted_bytes = max(0, core.uncommitted_bytes)
    core.commit_index = index
    _step_down_if_removed(core)


def _match_index_of(core: Core, voter: str) -> int:
    progress = core.progress.get(voter)
    return progress.match_index if progress else 0


def _step_down_if_removed(core: Core) -> None:
    if core.log.membership_index > core.commit_index or core.is_voter():
        return
    for peer, progress in core.progress.items():
        _send_append(core, peer, progress, may_be_empty=True)
    successor = core.most_advanced_voter(core.heartbeat_at_s)
    if successor is not None:
        # Without it, the others would elect a leader after an election timeout only.
        core.send(successor, timeout_now=pb.TimeoutNow())
    _election.become_follower(core, core.term, "", core.heartbeat_at_s)


def try_transfer(core: Core) -> None:
    """Tell the transfer target to start an election if it has the whole log."""
    progress = core.progress.get(core.transfer_to)
    if progress is None or progress.match_index < core.log.last_index:
        return
    core.send(core.transfer_to, timeout_now=pb.TimeoutNow())


@handle.register(pb.AppendRequest)
def _(
    payload: pb.AppendRequest, core: Core, message: pb.LogMessage, now_s: float
) -> None:
    if core.role is Role.LEADER:
        return
    _election.on_leader_contact(core, message.sender, now_s)
    response = pb.AppendResponse(
        read_round=payload.read_round, previous_index=payload.previous_index
    )
    if _log_matches(core, payload):
        response.accepted = True
        response.match_index = _store_entries(core, payload)
    else:
        response.match_index = _last_possible_match(core, payload.previous_index)
    core.reply(message.sender, append_response=response)


def _log_matches(core: Core, payload: pb.AppendRequest) -> bool:
    if payload.previous_index <= core.commit_index:
        return True
    return core.log.term_at(payload.previous_index) == payload.previous_term


def _store_entries(core: Core, payload: pb.AppendRequest) -> int:
    for entry in payload.entries:
        if entry.index <= core.commit_index:
            continue
        local_term = core.log.term_at(entry.index)
        if local_term == entry.term:
            continue
        if local_term is not None:
            _truncate(core, entry.index)
        core.log.append(entry)
    matched = payload.previous_index + len(payload.entries)
    committed = min(payload.commit_index, matched)
    core.commit_index = max(core.commit_index, committed)
    return matched


def _truncate(core: Core, index: int) -> None:
    core.log.truncate(index)
    core.writing_index = min(core.writing_index, index - 1)
    core.synced_index = min(core.synced_index, index - 1)


def _last_possible_match(core: Core, index: int) -> int:
    if index > core.log.last_index:
        return core.log.last_index
    return max(core.commit_index, core.log.first_index_of_term(index) - 1)


@handle.register(pb.AppendResponse)
def _(
    payload: pb.AppendResponse, core: Core, message: pb.LogMessage, now_s: float
) -> None:
    progress = core.progress.get(message.sender)
    if core.role is not Role.LEADER or progress is None:
        return
    progress.last_response_at_s = now_s
    progress.read_round = max(progress.read_round, payload.read_round)
    _reads.confirm(core)
    if not payload.accepted:
        _on_append_rejected(core, progress, payload)
        return
    progress.on_match(min(payload.match_index, core.log.last_index))
    if progress.mode is ReplicationMode.PROBE:
        progress.replicate()
    if progress.mode is ReplicationMode.SNAPSHOT and _can_resume_append(core, progress):
        progress.replicate()
    advance_commit(core)
    if core.transfer_to == message.sender:
        try_transfer(core)


def _can_resume_append(core: Core, progress: Progress) -> bool:
    return progress.match_index >= core.log.base_index


def _on_append_rejected(
    core: Core, progress: Progress, payload: pb.AppendResponse
) -> None:
    if progress.mode is ReplicationMode.SNAPSHOT:
        return
    if payload.previous_index <= progress.match_index:
        return
    if (
        progress.mode is ReplicationMode.PROBE
        and payload.previous_index >= progress.next_index
    ):
        return
    progress.probe(min(payload.match_index + 1, payload.previous_index))


@handle.register(pb.SnapshotChunk)
def _(
    payload: pb.SnapshotChunk, core: Core, message: pb.LogMessage, now_s: float
) -> None:
    if core.role is Role.LEADER:
        return
    _election.on_leader_contact(core, message.sender, now_s)
    meta = payload.meta
    if core.log.term_at(meta.index) == meta.term:
        core.commit_index = max(core.commit_index, meta.index)
    if meta.index <= core.commit_index:
        core.reply_snapshot(meta, meta.size_bytes, installed=True)
        return
    expected = _expected_offset(core, meta)
    if payload.offset != expected:
        core.reply_snapshot(meta, expected, installed=False)
        return
    received = ReceivedChunk(meta, payload.offset, payload.data, payload.last)
    core.ready.received_chunks.append(received)
    core.incoming_snapshot = (meta, expected + len(payload.data))


def _expected_offset(core: Core, meta: pb.SnapshotMeta) -> int:
    if core.incoming_snapshot is None or core.incoming_snapshot[0] != meta:
        return 0
    return core.incoming_snapshot[1]


@handle.register(pb.SnapshotAck)
def _(
    payload: pb.SnapshotAck, core: Core, message: pb.LogMessage, now_s: float
) -> None:
    progress = core.progress.get(message.sender)
    if core.role is not Role.LEADER or progress is None:
        return
    progress.last_response_at_s = now_s
    if progress.snapshot is None or progress.snapshot.index != payload.index:
        return
    if payload.installed:
        progress.on_match(payload.index)
        progress.replicate()
        advance_commit(core)
        return
    progress.snapshot_offset = payload.next_offset
    progress.chunk_sent_at_s = None
