"""Stores orders for rollouts in the state group, and reads them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.clocks import boot_s, to_ms
from tanagerturn.coordination.errors import UnavailableError
from tanagerturn.gateway.configuration_distributor import OPERATOR_TIMEOUT_S
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.rollouts.codec import STATES, state_of
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.rollouts.messages import RolloutState

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.gateway.configuration_distributor import ConfigurationDistributor
    from tanagerturn.gateway.messages import StartRollout
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.gateway.state_group.replicated_store import ReplicatedStore

KEY_PREFIX: Final = "rollouts/"
"""Prefix of the state group's keys of orders; the service follows."""

REPEAT_WINDOW_MS: Final = 60_000
"""Time in milliseconds after an order in which an equal one is a repeat of it, although
the rollout may have ended; operators repeat a call for 5 s at most."""

MAX_EARLIER: Final = 8
"""Number of earlier orders that are stored with the newest one."""

log = component_log("rollouts")


class OrderOutcome(Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    OTHER_IN_PROGRESS = "other_in_progress"
    UNKNOWN_SERVICE = "unknown_service"


@dataclass(frozen=True)
class StoredOrder:
    """An order with the revision of its key."""

    rollout: gpb.StoredRollout
    """The order and its state."""
    revision: int
    """Revision of the key in the state group."""


class RolloutOrders:
    """Orders of all services in the state group.

    Args:
        state: State of the gateway.
        store: Calls to the state group.
        configurations: Confirms which services exist.
        unsupporting: Returns the hosts that are not known to support rollouts.
        on_accepted: Called with each order that was accepted here.
    """

    def __init__(
        self,
        state: GatewayState,
        store: ReplicatedStore,
        configurations: ConfigurationDistributor,
        unsupporting: Callable[[float], Sequence[str]],
        on_accepted: Callable[[gpb.StoredRollout], None],
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.store = store
        """Calls to the state group."""
        self.configurations = configurations
        """Confirms which services exist."""
        self.unsupporting = unsupporting
        """Returns the hosts that are not known to support rollouts."""
        self.on_accepted = on_accepted
        """Called with each order that was accepted here."""

    async def start(self, call: StartRollout) -> Result[OrderOutcome, StepError]:
        """Make an order durable unless it, or another one in progress, already is.

        Returns:
            What became of the order; an `UnavailableError` if it may not be durable, so
            that the operator has to send it again.
        """
        deadline_s = boot_s() + OPERATOR_TIMEOUT_S
        while True:
            remaining_s = deadline_s - boot_s()
            if remaining_s <= 0:
                reason = "the order was not committed in time"
                return Error(UnavailableError("start rollout", "", reason))
            read = await self.read(call.service, remaining_s)
            if read.is_error():
                return Error(read.error)
            now_ms = to_ms(self.state.wall_clock.read(boot_s()))
            current = read.ok
            known = known_outcome(current, call, now_ms)
            if known is not None:
                return Ok(known)
            is_known = await self._has_service(call.service)
            if is_known.is_error():
                return Error(is_known.error)
            if not is_known.ok:
                return Ok(OrderOutcome.UNKNOWN_SERVICE)
            hosts = self.unsupporting(boot_s())
            if hosts:
                reason = f"not known to support rollouts: {', '.join(hosts[:4])}"
                return Error(UnavailableError("start rollout", "", reason))
            stored = next_order(current, call, now_ms)
            proposed = await self.commit(
                stored, current.revision if current else 0, deadline_s - boot_s()
            )
            if proposed.is_error():
                # It may have been committed; the next read shows whether it was.
                log.info("rollout_not_committed", reason=str(proposed.error))
            elif proposed.ok == pb.CommandResult.APPLIED:
                log.info(
                    "rollout_ordered",
                    service=stored.service,
                    target=stored.target,
                    number=stored.number,
                    duration_ms=stored.duration_ms,
                )
                self.on_accepted(stored)
                return Ok(OrderOutcome.ACCEPTED)

    async def read(
        self, service: str, timeout_s: float = OPERATOR_TIMEOUT_S
    ) -> Result[StoredOrder | None, StepError]:
        """Read the newest order for a service, confirmed by a majority.

        Returns:
            The order; None if there was none; an `UnavailableError` if a majority did
            not confirm it.
        """
        read = await self.store.read(KEY_PREFIX + service, timeout_s)
        return read.map(
            lambda entry: (
                None
                if entry is None
                else StoredOrder(
                    gpb.StoredRollout.FromString(entry.value), entry.mod_revision
                )
            )
        )

    async def commit(
        self,
        stored: gpb.StoredRollout,
        revision: int,
        timeout_s: float,
        fences: Sequence[pb.Fence] = (),
    ) -> Result[pb.CommandResult.Status.ValueType, StepError]:
        """Replace an order if its key still has a revision.

        Args:
            stored: The new value.
            revision: Expected revision of the key; 0 if it must not exist.
            timeout_s: Timeout in seconds.
            fences: Leases that must still be held.

        Returns:
            Status of the transaction; after an error it may still be committed.
        """
        put = pb.Put(
            key=KEY_PREFIX + stored.service,
            value=stored.SerializeToString(),
            expected_revision=revision,
        )
        transaction = pb.Transaction(puts=[put], fences=fences)
        proposed = await self.store.propose(
            pb.Command(transaction=transaction), timeout_s
        )
        return proposed.map(lambda result: result.status)

    async def _has_service(self, service: str) -> Result[bool, StepError]:
        """Return whether a service exists, confirmed if this gateway knows none."""
        if service in self.state.configuration.services:
            return Ok(True)
        newest = await self.configurations.read_newest()
        return newest.map(lambda _: service in self.state.configuration.services)


def known_outcome(
    current: StoredOrder | None, call: StartRollout, now_ms: int
) -> OrderOutcome | None:
    """Return the outcome of an order that follows from the stored ones.

    Args:
        current: Newest stored order of the service.
        call: The order.
        now_ms: Current corrected wall-clock time in milliseconds.

    Returns:
        The outcome; None if the order has to be stored.
    """
    if current is None:
        return None
    newest = current.rollout
    is_active = state_of(newest) is RolloutState.ACTIVE
    for each in (newest, *newest.earlier):
        is_recent = now_ms < each.ordered_ms + REPEAT_WINDOW_MS
        is_repeat = (each.target, each.duration_ms) == (call.target, call.duration_ms)
        if is_repeat and (is_recent or (is_active and each is newest)):
            return OrderOutcome.REPEATED
    return OrderOutcome.OTHER_IN_PROGRESS if is_active else None


def next_order(
    current: StoredOrder | None, call: StartRollout, now_ms: int
) -> gpb.StoredRollout:
    """Return the value that stores a new order after the newest one."""
    stored = gpb.StoredRollout(
        service=call.service,
        target=call.target,
        duration_ms=call.duration_ms,
        number=1,
        ordered_ms=now_ms,
    )
    if current is not None:
        newest = current.rollout
        stored.number = newest.number + 1
        for each in [newest, *newest.earlier][:MAX_EARLIER]:
            kept = stored.earlier.add()
            kept.CopyFrom(each)
            kept.ClearField("earlier")
    return stored


def with_decision(
    stored: gpb.StoredRollout, state: RolloutState, share: float
) -> gpb.StoredRollout:
    """Return an order with another state."""
    changed = gpb.StoredRollout()
    changed.CopyFrom(stored)
    changed.state, changed.share = STATES[state], share
    return changed
