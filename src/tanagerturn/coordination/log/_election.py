"""Leader election: pre-votes, votes and role changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.coordination.log import _replication
from tanagerturn.coordination.log._handlers import handle
from tanagerturn.coordination.log.ready import Role
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from tanagerturn.coordination.log.core import Core


def reset_timer(core: Core, now_s: float) -> None:
    """Set the election deadline to a random one to two election timeouts from now."""
    timeout_s = core.options.election_timeout_s
    core.election_at_s = now_s + timeout_s * (1 + core.random.random())


def become_follower(core: Core, term: int, leader: str, now_s: float) -> None:
    """Become a follower in a term.

    Args:
        core: Core of this member.
        term: Term to enter; a new one clears the vote.
        leader: Id of the term's leader; empty when unknown.
        now_s: Current monotonic time in seconds.
    """
    if term != core.term:
        core.term = term
        core.voted_for = ""
        core.hard_state_changed = True
    if core.role is Role.LEADER:
        core.ready.failed_reads.extend(core.reads.clear())
        core.progress = {}
        core.transfer_to = ""
    core.role = Role.FOLLOWER
    core.leader = leader
    core.votes = {}
    reset_timer(core, now_s)


def on_leader_contact(core: Core, leader: str, now_s: float) -> None:
    """Record a message from the leader of the current term."""
    if core.role is not Role.FOLLOWER or core.leader != leader:
        become_follower(core, core.term, leader, now_s)
    core.leader_contact_at_s = now_s
    reset_timer(core, now_s)


def has_leader(core: Core, now_s: float) -> bool:
    """Return whether this member leads or heard from the leader recently.

    The limit is one election timeout since the leader's last message.
    """
    if core.role is Role.LEADER:
        return True
    silent_s = now_s - core.leader_contact_at_s
    return bool(core.leader) and silent_s < core.options.election_timeout_s


def drops_vote_request(core: Core, payload: Message, now_s: float) -> bool:
    """Return whether to drop a vote request of a higher term: a leader is known.

    A request that follows a leadership transfer is not dropped.
    """
    if not isinstance(payload, pb.VoteRequest) or payload.transfer:
        return False
    return has_leader(core, now_s)


def start_pre_vote(core: Core, now_s: float) -> None:
    """Start a pre-vote: ask whether voters would vote, without increasing the term."""
    reset_timer(core, now_s)
    if not core.is_voter():
        return
    core.role = Role.PRE_CANDIDATE
    core.leader = ""
    core.votes = {core.options.member: True}
    request = pb.PreVoteRequest(
        last_index=core.log.last_index, last_term=core.log.last_term
    )
    for voter in core.quorum_voters():
        if voter != core.options.member:
            core.send(voter, term=core.term + 1, pre_vote_request=request)
    _count_votes(core, now_s)


def start_election(core: Core, now_s: float, *, transfer: bool = False) -> None:
    """Start an election: increase the term and request votes.

    Args:
        core: Core of this member.
        now_s: Current monotonic time in seconds.
        transfer: Whether the leader has requested the election to transfer its
            leadership.
    """
    if not core.is_voter():
        return
    become_follower(core, core.term + 1, "", now_s)
    core.role = Role.CANDIDATE
    core.voted_for = core.options.member
    core.votes = {core.options.member: True}
    request = pb.VoteRequest(
        last_index=core.log.last_index, last_term=core.log.last_term, transfer=transfer
    )
    for voter in core.quorum_voters():
        if voter != core.options.member:
            core.reply(voter, vote_request=request)
    _count_votes(core, now_s)


def _count_votes(core: Core, now_s: float) -> None:
    voters = core.quorum_voters()
    granted = sum(core.votes.get(v) is True for v in voters)
    refused = sum(core.votes.get(v) is False for v in voters)
    majority = len(voters) // 2 + 1
    if granted >= majority:
        _on_majority(core, now_s)
    elif refused >= majority:
        become_follower(core, core.term, "", now_s)


def _on_majority(core: Core, now_s: float) -> None:
    if core.role is Role.PRE_CANDIDATE:
        start_election(core, now_s)
        return
    core.role = Role.LEADER
    core.leader = core.options.member
    _replication.become_leader(core, now_s)


def _is_up_to_date(core: Core, last_term: int, last_index: int) -> bool:
    return (last_term, last_index) >= (core.log.last_term, core.log.last_index)


@handle.register(pb.PreVoteRequest)
def _(
    payload: pb.PreVoteRequest, core: Core, message: pb.LogMessage, now_s: float
) -> None:
    granted = (
        message.term > core.term
        and not has_leader(core, now_s)
        and _is_up_to_date(core, payload.last_term, payload.last_index)
    )
    term = message.term if granted else core.term
    response = pb.PreVoteResponse(granted=granted)
    core.reply(message.sender, term=term, pre_vote_response=response)


@handle.register(pb.PreVoteResponse)
def _(
    payload: pb.PreVoteResponse, core: Core, message: pb.LogMessage, now_s: float
) -> None:
    if core.role is not Role.PRE_CANDIDATE:
        return
    if payload.granted and message.term != core.term + 1:
        return
    core.votes[message.sender] = payload.granted
    _count_votes(core, now_s)


@handle.register(pb.VoteRequest)
def _(
    payload: pb.VoteRequest, core: Core, message: pb.LogMessage, now_s: float
) -> None:
    can_vote = core.voted_for in ("", message.sender)
    granted = can_vote and _is_up_to_date(core, payload.last_term, payload.last_index)
    if granted and core.voted_for != message.sender:
        core.voted_for = message.sender
        core.hard_state_changed = True
    if granted:
        become_follower(core, core.term, core.leader, now_s)
    core.reply(message.sender, vote_response=pb.VoteResponse(granted=granted))


@handle.register(pb.VoteResponse)
def _(
    payload: pb.VoteResponse, core: Core, message: pb.LogMessage, now_s: float
) -> None:
    if core.role is not Role.CANDIDATE:
        return
    core.votes[message.sender] = payload.granted
    _count_votes(core, now_s)


@handle.register(pb.TimeoutNow)
def _(payload: pb.TimeoutNow, core: Core, message: pb.LogMessage, now_s: float) -> None:
    if core.role is Role.FOLLOWER and message.sender == core.leader:
        start_election(core, now_s, transfer=True)
