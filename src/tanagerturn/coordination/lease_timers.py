"""When the leader lets leases lapse, by its own monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.schema import coordination_pb2 as pb

DRIFT_SHARE: Final = 0.1
"""Wait longer by this share: the holder's clock may run slower than ours."""


@dataclass
class Running:
    """A held lease as the leader saw it last."""

    fencing_number: int
    """Number of the holder."""
    renewals: int
    """Renewals so far."""
    lapses_at_s: float
    """When it lapses unless it is renewed, in seconds."""


class LeaseTimers:
    """Times of held leases; a new leader starts with none.

    A lease seen for the first time gets its full duration, so that a new leader
    never ends it early.
    """

    def __init__(self) -> None:
        self.running: dict[str, Running] = {}
        """Held leases by name."""

    def clear(self) -> None:
        """Forget all times: the member isn't leader."""
        self.running = {}

    def lapsed(self, leases: Mapping[str, pb.Lease], now: float) -> list[pb.Lease]:
        """Return the held leases whose time has passed.

        Args:
            leases: Leases of the store.
            now: Present time in seconds, monotonic.
        """
        found = []
        for name, lease in leases.items():
            if not lease.holder:
                self.running.pop(name, None)
                continue
            running = self.running.get(name)
            seen = (lease.fencing_number, lease.renewals)
            if running is None or (running.fencing_number, running.renewals) != seen:
                wait_s = lease.duration_ms / 1000 * (1 + DRIFT_SHARE)
                self.running[name] = Running(*seen, lapses_at_s=now + wait_s)
            elif now >= running.lapses_at_s:
                found.append(lease)
        return found
