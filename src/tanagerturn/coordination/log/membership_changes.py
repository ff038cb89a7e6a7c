"""Membership changes, one at a time; a new member joins as a learner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from tanagerturn.coordination.errors import RefusedError, StepError
from tanagerturn.coordination.log import _replication
from tanagerturn.coordination.log.membership import Action, apply_change
from tanagerturn.coordination.log.ready import CAUGHT_UP_ENTRIES
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.coordination.ids import LogIndex
    from tanagerturn.coordination.log.core import Core


def propose_membership_change(
    core: Core, action: int, member: pb.Member, now_s: float
) -> Result[LogIndex, StepError]:
    """Append an entry with the changed membership; return its index or the error."""
    reason = _rejection_reason(core, action, member.id, now_s)
    if reason:
        return Error(RefusedError("change member", member.id, reason))
    membership = apply_change(core.log.membership, action, member)
    if isinstance(membership, str):
        return Error(RefusedError("change member", member.id, membership))
    membership.index = core.log.last_index + 1
    index = _replication.append_as_leader(core, pb.Entry(membership=membership))
    _replication.sync_peers(core, now_s)
    return Ok(index)


def _rejection_reason(core: Core, action: int, member: str, now_s: float) -> str:
    if core.log.membership_index > core.commit_index:
        return "another change is not committed yet"
    if core.log.term_at(core.commit_index) != core.term:
        return "the leader has not committed an entry of its term yet"
    if action == Action.PROMOTE and not is_caught_up(core, member, now_s):
        return "the learner has not caught up"
    return ""


def is_caught_up(core: Core, member: str, now_s: float) -> bool:
    """Return whether a member responds and lacks at most `CAUGHT_UP_ENTRIES`.

    A member responds if its last response is at most one election timeout old.
    """
    progress = core.progress.get(member)
    if progress is None or not progress.match_index:
        return False
    if now_s - progress.last_response_at_s > core.options.election_timeout_s:
        return False
    return progress.match_index + CAUGHT_UP_ENTRIES >= core.log.last_index
