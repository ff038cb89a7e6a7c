"""Holds the hosts that plans of capacity want, by calls to the cloud API.

A start is recorded, fenced by the control lease, before the cloud is asked. A
lost answer is settled by asking again with the same request id, by this process
or by the next holder. A host is drained before it is given back: a record like
that of a reclaim stops new work and moves its streams.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Final, Protocol

from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.observe.logs import component_logger
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema.serving_pb2 import HostStart
from tanagerturn.serving.backends.messages import AvailabilityZone
from tanagerturn.serving.capacity.demand import Demand, service_need
from tanagerturn.serving.capacity.messages import (
    DrainHost,
    HeldHost,
    HostId,
    HostState,
    Market,
    Offer,
    OfferKey,
    StartHost,
    StopHost,
)
from tanagerturn.serving.capacity.plan import CapacityPlanner

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence
    from random import Random

    from expression import Result

    from tanagerturn.control.cloud import CloudHost, CloudOffer
    from tanagerturn.coordination.client import StateClient
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.coordination.leases import LeaseKeeper
    from tanagerturn.schema import settings_pb2
    from tanagerturn.serving.capacity.messages import CapacityPlan

log = component_logger("capacity")

START_PREFIX: Final = "host-start/"
CALL_TIMEOUT_S: Final = 2.0
DEFAULT_SLOTS: Final = 8
DRAIN_MS: Final = 120_000
DEMAND_WINDOW_MS: Final = 300_000

Status = pb.CommandResult.Status


class Cloud(Protocol):
    """What is asked of the cloud API."""

    def offers(self) -> Result[list[CloudOffer], StepError]:
        """Return the hosts that can be asked for."""
        ...

    def hosts(self) -> Result[list[CloudHost], StepError]:
        """Return the hosts that are or were paid for."""
        ...

    def start(self, request: HostStart) -> Result[bool, StepError]:
        """Ask for a host."""
        ...

    def give_back(self, host_id: str) -> Result[bool, StepError]:
        """Give a host back."""
        ...


class Lease(Protocol):
    """What is asked of the control lease."""

    @property
    def fencing_number(self) -> int:
        """Number of the present or last holding."""
        ...

    def holds(self) -> bool:
        """Tell whether this process may act now."""
        ...

    def fence(self) -> pb.Fence:
        """Return the condition that ties a transaction to this holding."""
        ...


class HeldLease:
    """The control lease as its keeper knows it.

    Args:
        keeper: Acquires and renews the lease.
    """

    def __init__(self, keeper: LeaseKeeper) -> None:
        self.keeper = keeper
        """Acquires and renews the lease."""

    @property
    def fencing_number(self) -> int:
        """Number of the present or last holding."""
        return self.keeper.fencing_number

    def holds(self) -> bool:
        """Tell whether this process may act now."""
        return self.keeper.held(self.keeper.clock())

    def fence(self) -> pb.Fence:
        """Return the condition that ties a transaction to this holding."""
        return self.keeper.fence()


@dataclass(frozen=True)
class BackendLoad:
    """What a backend server has, as it announces it."""

    services: tuple[str, ...]
    """Services that it serves."""
    slots: int
    """Concurrent requests that it takes."""
    load: float
    """Requests running and waiting there."""


class HostKeeper:
    """Plans and holds the hosts of all services.

    Args:
        client: Calls to the replicated store.
        lease: Control lease.
        cloud: Calls to the cloud API.
        drain: Stops new work at a host, until a time; tells whether it is
            recorded.
        random: Jitter of pauses after refusals.
    """

    def __init__(
        self,
        client: StateClient,
        lease: Lease,
        cloud: Cloud,
        drain: Callable[[str, int], bool],
        random: Random,
    ) -> None:
        self.client = client
        """Calls to the replicated store."""
        self.lease = lease
        """Control lease."""
        self.cloud = cloud
        """Calls to the cloud API."""
        self.drain = drain
        """Stops new work at a host."""
        self.random = random
        """Jitter of pauses after refusals."""
        self.number = 0
        """Fencing number under which the records were read."""
        self.stale = True
        """The records have to be read before the next write."""
        self.started = 0
        """Starts recorded under this number, for their request ids."""
        self.starts: dict[str, HostStart] = {}
        """Recorded starts whose host is not there yet, by request id."""
        self.draining: set[str] = set()
        """Hosts that are drained to be given back."""
        self.own: set[str] = set()
        """Hosts that a start request brought; others are never given back."""
        self.since_ms: dict[tuple[str, HostState], int] = {}
        """When each host was first seen in its state."""
        self.capacity: dict[str, CapacityPlanner] = {}
        """What planning remembers, by service."""
        self.demand: dict[str, Demand] = {}
        """Load seen lately, by service."""
        self.plans: dict[str, CapacityPlan] = {}
        """Last plan of each service, for the dump."""

    def step(
        self,
        settings: settings_pb2.DeploymentSettings,
        backends: Mapping[str, BackendLoad],
        recorded: Collection[str],
        now_ms: int,
    ) -> None:
        """Plan each service and carry the plans out, while the lease is held.

        Args:
            settings: Settings of the site.
            backends: Backend servers that announce themselves, by id.
            recorded: Hosts that are recorded as leaving.
            now_ms: Present wall clock in milliseconds.
        """
        if not self.lease.holds() or not self._adopted():
            return
        offers, hosts = self.cloud.offers(), self.cloud.hosts()
        if offers.is_error() or hosts.is_error():
            log.warning("The cloud API gave no offers or hosts.")
            return
        present = [host for host in hosts.ok if host.state != "gone"]
        self.own = {host.id for host in present if host.request_id}
        self.draining = {
            host.id
            for host in present
            if host.id in recorded and host.state != "noticed"
        }
        self._settle_starts(present, now_ms)
        for service in settings.services:
            held = self._held(service.name, present, backends, now_ms)
            self._plan(service, settings, held, offers.ok, backends, now_ms)

    def _plan(
        self,
        service: settings_pb2.Service,
        settings: settings_pb2.DeploymentSettings,
        held: Sequence[HeldHost],
        offers: Sequence[CloudOffer],
        backends: Mapping[str, BackendLoad],
        now_ms: int,
    ) -> None:
        demand = self.demand.setdefault(service.name, Demand(DEMAND_WINDOW_MS))
        own = [b for b in backends.values() if service.name in b.services]
        demand.observe(sum(backend.load for backend in own), now_ms)
        slots = max((backend.slots for backend in own), default=DEFAULT_SLOTS)
        open_offers = [
            Offer(_offer_key(offer), offer.price_per_hour, slots) for offer in offers
        ]
        plan = self.capacity.setdefault(service.name, CapacityPlanner()).plan(
            service_need(service, demand),
            held,
            open_offers,
            now_ms,
            settings.policies.capacity,
        )
        self.plans[service.name] = plan
        for step in plan.steps:
            if self.lease.holds() and not self.stale:
                self.carry_out(step, now_ms)

    @singledispatchmethod
    def carry_out(self, step: object, now_ms: int) -> None:
        """Carry one step of a plan out."""
        raise TypeError(f"unknown step {step!r}")

    @carry_out.register(StartHost)
    def _(self, step: StartHost, now_ms: int) -> None:
        self.started += 1
        request = HostStart(
            request_id=f"{step.service}-{self.number}-{self.started}",
            service=step.service,
            availability_zone=step.key.zone,
            host_class=step.key.host_class,
            reclaimable=step.key.market is Market.RECLAIMABLE,
            recorded_at_ms=now_ms,
            fencing_number=self.number,
        )
        put = pb.Put(
            key=START_PREFIX + request.request_id,
            value=request.SerializeToString(),
            expected_revision=0,
        )
        if self._commit(pb.Transaction(puts=[put])):
            self.starts[request.request_id] = request
            log.info("Wants a host for {}: {}.", step.service, step.reason)
            self._ask_for(request, now_ms)

    @carry_out.register(DrainHost)
    def _(self, step: DrainHost, now_ms: int) -> None:
        if step.id in self.own and self.drain(step.id, now_ms + DRAIN_MS):
            self.draining.add(step.id)
            log.info("Drains host {}: {}.", step.id, step.reason)

    @carry_out.register(StopHost)
    def _(self, step: StopHost, now_ms: int) -> None:
        if step.id not in self.own:
            return
        given_back = self.cloud.give_back(step.id)
        if given_back.is_ok():
            self.draining.discard(step.id)
            log.info("Gave host {} back: {}.", step.id, step.reason)

    def _ask_for(self, request: HostStart, now_ms: int) -> None:
        """Ask the cloud; a lost answer is settled at the next step."""
        if not self.lease.holds():
            return
        granted = self.cloud.start(request)
        if granted.is_error():
            log.warning("A start has no answer: {}", granted.error)
            return
        capacity = self.capacity.setdefault(request.service, CapacityPlanner())
        key = _start_key(request)
        if granted.ok:
            capacity.refusals.on_started(key)
            return
        capacity.refusals.on_refused(key, now_ms, self.random)
        self._forget_start(request.request_id)

    def _settle_starts(self, present: Sequence[CloudHost], now_ms: int) -> None:
        """Ask again for starts without a host; forget those whose host is there."""
        there = {host.request_id for host in present}
        for request_id, request in list(self.starts.items()):
            if request_id in there:
                self._forget_start(request_id)
            else:
                self._ask_for(request, now_ms)

    def _forget_start(self, request_id: str) -> None:
        delete = pb.Delete(key=START_PREFIX + request_id)
        if self._commit(pb.Transaction(deletes=[delete])):
            self.starts.pop(request_id, None)

    def _held(
        self,
        service: str,
        present: Sequence[CloudHost],
        backends: Mapping[str, BackendLoad],
        now_ms: int,
    ) -> list[HeldHost]:
        held = []
        for host in present:
            backend = backends.get(host.id)
            served = backend.services if backend is not None else ()
            if service == host.service or (not host.service and service in served):
                held.append(self._held_host(host, backend, now_ms))
        held += [
            self._starting_host(request)
            for request in self.starts.values()
            if request.service == service
        ]
        return held

    def _held_host(
        self, host: CloudHost, backend: BackendLoad | None, now_ms: int
    ) -> HeldHost:
        state = HostState.READY if backend is not None else HostState.STARTING
        if host.id in self.draining:
            state = HostState.DRAINING
        market = Market.RECLAIMABLE if host.reclaimable else Market.ON_DEMAND
        zone = AvailabilityZone(host.availability_zone)
        return HeldHost(
            id=HostId(host.id),
            key=OfferKey(zone, host.host_class, market),
            state=state,
            since_ms=self.since_ms.setdefault((host.id, state), now_ms),
            price_per_hour=host.price_per_hour,
            slots=backend.slots if backend is not None else DEFAULT_SLOTS,
            running=round(backend.load) if backend is not None else 0,
            under_notice=host.state == "noticed",
        )

    def _starting_host(self, request: HostStart) -> HeldHost:
        return HeldHost(
            id=HostId(request.request_id),
            key=_start_key(request),
            state=HostState.STARTING,
            since_ms=request.recorded_at_ms,
            price_per_hour=0.0,
            slots=DEFAULT_SLOTS,
        )

    def _adopted(self) -> bool:
        """Read what earlier holders recorded, once for each holding."""
        number = self.lease.fencing_number
        if number == self.number and not self.stale:
            return True
        found = self.client.scan(CONTROL_GROUP, START_PREFIX, CALL_TIMEOUT_S)
        if found.is_error():
            return False
        starts = [HostStart.FromString(entry.value) for entry in found.ok.entries]
        self.starts = {start.request_id: start for start in starts}
        if number != self.number:
            self.number, self.started = number, 0
        self.stale = False
        return True

    def _commit(self, transaction: pb.Transaction) -> bool:
        transaction.fences.append(self.lease.fence())
        command = pb.Command(transaction=transaction)
        done = self.client.propose(CONTROL_GROUP, command, CALL_TIMEOUT_S)
        if done.is_ok() and done.ok.status == Status.APPLIED:
            return True
        self.stale = True
        return False


def _offer_key(offer: CloudOffer) -> OfferKey:
    market = Market.RECLAIMABLE if offer.reclaimable else Market.ON_DEMAND
    return OfferKey(AvailabilityZone(offer.availability_zone), offer.host_class, market)


def _start_key(request: HostStart) -> OfferKey:
    market = Market.RECLAIMABLE if request.reclaimable else Market.ON_DEMAND
    zone = AvailabilityZone(request.availability_zone)
    return OfferKey(zone, request.host_class, market)
