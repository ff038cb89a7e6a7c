"""Faults planted into product classes, to show that the checks find them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from support.log_node import CheckedHost, Node
from tanagerturn.coordination.ids import MemberId
from tanagerturn.coordination.log.core import Core
from tanagerturn.coordination.log.ready import Role
from tanagerturn.coordination.storage.group import GroupStorage

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.schema import coordination_pb2 as pb


class VoteNotSynced(GroupStorage):
    """Writes entries, but neither term nor vote."""

    def write(self, hard_state: pb.HardState | None, entries: list[pb.Entry]) -> None:
        """Add bytes, or a part of them when the disk is full."""
        super().write(None, entries)


class CountsOldTerms(Core):
    """Commits an entry of an earlier term as soon as a majority has it."""

    def may_commit(self, index: int) -> bool:
        """Allow every index."""
        return True


class ReadsAtOnce(Core):
    """Answers a read without asking whether it still leads."""

    def add_read(self, ticket: int) -> None:
        """Confirm at once."""
        self.confirm_reads([ticket], self.commit_index)


class CountsLearners(Core):
    """Counts a learner's acknowledgement like a voter's."""

    def quorum_voters(self) -> list[MemberId]:
        """Return all members at a leader."""
        if self.role is not Role.LEADER:
            return super().quorum_voters()
        return [MemberId(m.id) for m in self.log.membership.members]


class AppliesTwice(CheckedHost):
    """Forgets which changes were applied."""

    def apply(self, entry: pb.Entry) -> Any:
        """Apply an entry."""
        self.store.changes.clear()
        return super().apply(entry)


def _node(**classes: type) -> type[Node]:
    return type("FaultyNode", (Node,), classes)


FAULTS: Final[Mapping[str, type[Node]]] = {
    "vote not synced": _node(storage_class=VoteNotSynced),
    "commit of an old term by counting": _node(core_class=CountsOldTerms),
    "read without a read index": _node(core_class=ReadsAtOnce),
    "learner counted as voter": _node(core_class=CountsLearners),
    "resend applied twice": _node(host_class=AppliesTwice),
}
"""Class of members by planted fault."""
