"""Expiry of leases at the leader, by its monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.schema import coordination_pb2 as pb

DRIFT_FRACTION: Final = 0.1
"""Extra wait before expiry, as a fraction of the lease's duration: the holder's clock
may run slower."""


@dataclass
class HeldLease:
    """Last known state of a held lease at the leader."""

    fencing_number: int
    """Fencing number of the holding."""
    renewals: int
    """Number of renewals of the holding so far."""
    expires_at_s: float
    """Monotonic time in seconds when the lease expires unless it is renewed."""


class LeaseTimers:
    """Expiry times of held leases; a new leader starts with none.

    A lease without an expiry time gets its full duration, so a new leader never
    expires a lease early.
    """

    def __init__(self) -> None:
        self.held: dict[str, HeldLease] = {}
        """Held leases by name."""

    def clear(self) -> None:
        """Drop all expiry times: this member is no longer or only now the leader."""
        self.held = {}

    def expired(self, leases: Mapping[str, pb.Lease], now_s: float) -> list[pb.Lease]:
        """Return the held leases that have expired.

        Args:
            leases: Leases of the store by name.
            now_s: Current monotonic time in seconds.
        """
        expired_leases = []
        for name, lease in leases.items():
            if not lease.holder:
                self.held.pop(name, None)
                continue
            known = self.held.get(name)
            current = (lease.fencing_number, lease.renewals)
            if known is None or (known.fencing_number, known.renewals) != current:
                wait_s = lease.duration_ms / 1000 * (1 + DRIFT_FRACTION)
                self.held[name] = HeldLease(*current, expires_at_s=now_s + wait_s)
            elif now_s >= known.expires_at_s:
                expired_leases.append(lease)
        return expired_leases
