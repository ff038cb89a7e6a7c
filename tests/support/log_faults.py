"""Product classes with injected defects, which the checks must detect."""

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
    """Defect: entries are written, but not the term and vote."""

    def write(self, hard_state: pb.HardState | None, entries: list[pb.Entry]) -> None:
        """Write the entries only."""
        super().write(None, entries)


class CommitsOldTerms(Core):
    """Defect: an entry of an earlier term is committed once a majority has it."""

    def may_commit(self, index: int) -> bool:
        """Allow the commit of every index."""
        return True


class SkipsReadConfirmation(Core):
    """Defect: a read runs without a majority that confirms the leader."""

    def add_read(self, ticket: int) -> None:
        """Confirm the read at once."""
        self.confirm_reads([ticket], self.commit_index)


class CountsLearners(Core):
    """Defect: learners count towards the leader's majority."""

    def quorum_voters(self) -> list[MemberId]:
        """Return all members if this member is leader, else the voters."""
        if self.role is not Role.LEADER:
            return super().quorum_voters()
        return [MemberId(m.id) for m in self.log.membership.members]


class AppliesTwice(CheckedReplica):
    """Defect: the ids of applied changes are dropped."""

    def apply(self, entry: pb.Entry) -> Any:
        """Apply an entry without knowing earlier changes."""
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
