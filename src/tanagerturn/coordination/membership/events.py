"""Events that `MembershipCore` reports to its owner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tanagerturn.coordination.ids import ProcessId
    from tanagerturn.schema import membership_pb2 as mpb


@dataclass(frozen=True)
class MemberEvent:
    """Change of a process's health; `health` is the new one."""

    process: ProcessId
    health: mpb.Health.ValueType
    info: mpb.ProcessInfo


@dataclass(frozen=True)
class PeerSettings:
    """Number of a newer settings revision that a peer announced."""

    process: ProcessId
    number: int
