"""Leases with fencing numbers, as acquired and renewed by their holders.

Clock assumption: the rate of every monotonic clock, the holder's and that of the
group's leader, deviates from true time by at most `CLOCK_DRIFT_BOUND`, and a
process that was paused checks its clock again before each order. Wall clocks are
not used.

The leader expires a lease no earlier than its duration, by the leader's clock,
after it applied the last grant or renewal; a new leader restarts that time. The
holder counts from before it sent the request, which is earlier, and stops sooner
by the drift of both clocks and a margin. So no two holders act at the same time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from loguru import logger

from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from tanagerturn.coordination.client import StateClient
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.coordination.ids import GroupId, LeaseName, ProcessId

CLOCK_DRIFT_BOUND: Final = 0.01
"""Largest deviation of a monotonic clock's rate from true time, as a fraction of 1."""

MARGIN_FRACTION: Final = 0.1
"""Fraction of a lease's duration by which the holder stops acting early."""

RENEW_FRACTION: Final = 0.3
"""Fraction of a lease's duration after which the holder renews the lease."""

RETRY_FRACTION: Final = 0.1
"""Fraction of a lease's duration between attempts to acquire or renew the lease."""

Status = pb.CommandResult.Status


class LeaseStep(Enum):
    """Request about a lease that is to be sent next."""

    WAIT = "wait"
    ACQUIRE = "acquire"
    RENEW = "renew"


@dataclass(frozen=True)
class LeaseTerms:
    """Duration of a lease, and the safety deductions of its holder."""

    duration_ms: int
    """Duration for which the group grants the lease, in milliseconds."""
    drift: float = CLOCK_DRIFT_BOUND
    """Largest deviation of any monotonic clock's rate from true time, as a fraction."""
    margin_fraction: float = MARGIN_FRACTION
    """Fraction of the duration by which the holder stops acting early."""

    @property
    def validity_ms(self) -> int:
        """Time in milliseconds for which the holder may act from before a request."""
        certain_ms = self.duration_ms * (1 - self.drift) / (1 + self.drift)
        return math.floor(certain_ms - self.duration_ms * self.margin_fraction)

    @property
    def renew_ms(self) -> int:
        """Time in milliseconds from sending a request until the next renewal is due."""
        return math.floor(self.duration_ms * RENEW_FRACTION)

    @property
    def retry_ms(self) -> int:
        """Time in milliseconds between attempts to acquire or renew the lease."""
        return max(1, math.floor(self.duration_ms * RETRY_FRACTION))


def safe_to_order_at(
    granted_at_ms: int, terms: LeaseTerms, longest_order_ms: int
) -> int:
    """Return when a new holder may send orders to a target that can't fence them.

    Such a target ignores fencing numbers. The previous holder may have acted for a
    whole lease duration after its last renewal, and its last order may take up to
    `longest_order_ms` to have an effect.

    Args:
        granted_at_ms: Monotonic time in milliseconds when the new holder received
            its grant.
        terms: Terms of the lease, the same for all holders.
        longest_order_ms: Longest time in milliseconds from the sending of an order to
            its effect.

    Returns:
        Time on the new holder's monotonic clock, in milliseconds.
    """
    wait_ms = terms.duration_ms + longest_order_ms
    return granted_at_ms + math.ceil(wait_ms * (1 + terms.drift) / (1 - terms.drift))


class LeaseCore:
    """Decides when to acquire and renew a lease and when to stop acting.

    All times are monotonic. Only a renewal gives the right to act. The response to an
    acquisition may report a grant for an earlier, delayed request, whose duration the
    leader has counted since that grant; a renewal always restarts the duration.

    Args:
        terms: Terms of the lease.
    """

    def __init__(self, terms: LeaseTerms) -> None:
        self.terms = terms
        """Terms of the lease."""
        self.fencing_number = 0
        """Fencing number of the current or last holding; 0 before the first."""
        self.granted_at_ms = 0
        """Time in milliseconds when the grant of the last holding was received; 0
        before the first."""
        self.valid_until_ms = 0
        """Time in milliseconds at which the holder must stop acting; 0 before the first
        holding."""
        self.granted = False
        """Whether the group granted the lease; the lease may have expired since."""
        self.other_holder = ""
        """Holder of the lease at the last refusal; empty when there was none."""
        self.next_at_ms = 0
        """Time in milliseconds before which no request is due."""

    def __repr__(self) -> str:
        return (
            f"LeaseCore(number={self.fencing_number}, granted={self.granted}, "
            f"valid_until_ms={self.valid_until_ms})"
        )

    def held(self, now_ms: int) -> bool:
        """Return whether the holder may act at `now_ms`."""
        return self.granted and now_ms < self.valid_until_ms

    def next_step(self, now_ms: int) -> LeaseStep:
        """Return the request that is due now."""
        if now_ms < self.next_at_ms:
            return LeaseStep.WAIT
        return LeaseStep.RENEW if self.granted else LeaseStep.ACQUIRE

    def on_acquired(self, result: pb.CommandResult, now_ms: int) -> None:
        """Process the response to an acquisition, received at `now_ms`."""
        if result.status != Status.APPLIED:
            self.other_holder = result.lease.holder
            self.next_at_ms = now_ms + self.terms.retry_ms
            return
        self.other_holder = ""
        self.granted = True
        self.fencing_number = result.lease.fencing_number
        self.granted_at_ms = now_ms
        self.valid_until_ms = now_ms
        self.next_at_ms = now_ms

    def on_renewed(self, result: pb.CommandResult, sent_ms: int, now_ms: int) -> None:
        """Process the response to a renewal.

        Args:
            result: Result of the renewal.
            sent_ms: Time just before the renewal was sent, in milliseconds.
            now_ms: Time when the response was received, in milliseconds.
        """
        if result.status != Status.APPLIED:
            self.on_lost(now_ms)
            return
        self.valid_until_ms = max(self.valid_until_ms, sent_ms + self.terms.validity_ms)
        self.next_at_ms = sent_ms + self.terms.renew_ms

    def on_lost(self, now_ms: int) -> None:
        """Record that the holding ended: the lease was released or has expired."""
        self.granted = False
        self.next_at_ms = now_ms + self.terms.retry_ms

    def on_no_answer(self, now_ms: int) -> None:
        """Record that a request failed; it is due again in `LeaseTerms.retry_ms`."""
        self.next_at_ms = now_ms + self.terms.retry_ms


class LeaseKeeper:
    """Acquires and renews one lease through a `StateClient`.

    The holder's id must differ at each start of a process, because the group grants
    a lease again to the id that holds it.

    Args:
        client: Calls to the replicated store.
        group: Replication group that stores the lease.
        name: Name of the lease.
        holder: Id of this holder; see `holder_id`.
        terms: Terms of the lease.
        clock: Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        client: StateClient,
        group: GroupId,
        name: LeaseName,
        holder: str,
        terms: LeaseTerms,
        clock: Callable[[], int],
    ) -> None:
        self.client = client
        """Calls to the replicated store."""
        self.group = group
        """Replication group that stores the lease."""
        self.name = name
        """Name of the lease."""
        self.holder = holder
        """Id of this holder."""
        self.clock = clock
        """Returns the monotonic time in milliseconds."""
        self.core = LeaseCore(terms)
        """State of the lease and the next request."""

    @property
    def fencing_number(self) -> int:
        """Fencing number of the current or last holding; 0 before the first."""
        return self.core.fencing_number

    def held(self, now_ms: int) -> bool:
        """Return whether the holder may act at `now_ms` on its monotonic clock."""
        return self.core.held(now_ms)

    def fence(self) -> pb.Fence:
        """Return the condition by which a transaction is refused after this holding."""
        return pb.Fence(lease=self.name, fencing_number=self.core.fencing_number)

    def step(self) -> bool:
        """Send the requests that are due.

        Returns:
            Whether the lease is held now.
        """
        if self.core.next_step(self.clock()) is LeaseStep.ACQUIRE:
            self._acquire()
        if self.core.next_step(self.clock()) is LeaseStep.RENEW:
            self._renew()
        return self.core.held(self.clock())

    def release(self) -> None:
        """Release the lease; the holder must have stopped acting."""
        if not self.core.granted:
            return
        command = pb.LeaseRelease(name=self.name, fencing_number=self.fencing_number)
        self.core.on_lost(self.clock())
        self._send(pb.Command(lease_release=command))

    def dump(self, now_ms: int) -> dict[str, object]:
        """Return the state of the lease for a dump."""
        return {
            "lease": self.name,
            "holder": self.holder,
            "held": self.held(now_ms),
            "fencing_number": self.core.fencing_number,
            "left_ms": max(0, self.core.valid_until_ms - now_ms),
            "other_holder": self.core.other_holder,
        }

    def _acquire(self) -> None:
        command = pb.LeaseAcquire(
            name=self.name, holder=self.holder, duration_ms=self.core.terms.duration_ms
        )
        result = self._send(pb.Command(lease_acquire=command))
        if result.is_ok():
            self.core.on_acquired(result.ok, self.clock())

    def _renew(self) -> None:
        sent_ms = self.clock()
        was_held = self.core.held(sent_ms)
        command = pb.LeaseRenew(name=self.name, fencing_number=self.fencing_number)
        # Without a change id: a stored result would be returned without extending the
        # lease.
        result = self._send(pb.Command(lease_renew=command))
        if result.is_error():
            return
        self.core.on_renewed(result.ok, sent_ms, self.clock())
        if was_held != self.core.held(self.clock()):
            new_state = "lost" if was_held else "held"
            logger.info(
                "lease: {} is {} with fencing number {}",
                self.name,
                new_state,
                self.fencing_number,
            )

    def _send(self, command: pb.Command) -> Result[pb.CommandResult, StepError]:
        timeout_s = self.core.terms.renew_ms / 1000
        result = self.client.propose(self.group, command, timeout_s)
        if result.is_error():
            self.core.on_no_answer(self.clock())
            logger.warning(
                "lease: could not acquire, renew or release lease {}: {}",
                self.name,
                result.error,
            )
        return result


def holder_id(process: ProcessId, incarnation: str) -> str:
    """Return a holder id that no other start of the process uses.

    Args:
        process: Id of the process.
        incarnation: String that is new at each start, for example random digits.
    """
    return f"{process}#{incarnation}"
