"""Defects injected into product classes, to show that the checks detect them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from support.log_node import CheckedReplica, Node
from tanagerturn.coordination.ids import MemberId
from tanagerturn.coordination.log.core import Core
from tanagerturn.coordination.log.ready import Role
from tanagerturn.coordination.storage.group import GroupStorage

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.schema import coordination_pb2 as pb


class OmitsHardState(GroupStorage):
    """Writes entries, but not the term and vote."""

    def write(self, hard_state: pb.HardState | None, entries: list[pb.Entry]) -> None:
        """Drop the term and vote."""
        super().write(None, entries)


class CommitsOldTerms(Core):
    """Commits an entry of an earlier term as soon as a majority has it."""

    def may_commit(self, index: int) -> bool:
        """Allow every index."""
        return True


class SkipsReadConfirmation(Core):
    """Answers a read without confirming that this member is still leader."""

    def add_read(self, ticket: int) -> None:
        """Confirm the read at once."""
        self.confirm_reads([ticket], self.commit_index)


class CountsLearners(Core):
    """Counts a learner's acknowledgement as a voter's."""

    def quorum_voters(self) -> list[MemberId]:
        """Return all members when leader."""
        if self.role is not Role.LEADER:
            return super().quorum_voters()
        return [MemberId(m.id) for m in self.log.membership.members]


class AppliesTwice(CheckedReplica):
    """Forgets the ids of applied changes."""

    def apply(self, entry: pb.Entry) -> Any:
        """Apply an entry."""
        self.store.changes.clear()
        return super().apply(entry)


def _node(**classes: type) -> type[Node]:
    return type("FaultyNode", (Node,), classes)


DEFECTS: Final[Mapping[str, type[Node]]] = {
    "vote not synced": _node(storage_class=OmitsHardState),
    "entry of an old term committed directly": _node(core_class=CommitsOldTerms),
    "read without leader confirmation": _node(core_class=SkipsReadConfirmation),
    "learner counted as voter": _node(core_class=CountsLearners),
    "resent change applied twice": _node(replica_class=AppliesTwice),
}
"""Member class by injected defect."""
