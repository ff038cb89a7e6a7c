"""Starts, drains and releases hosts at the cloud API as capacity plans require.

A start is recorded, fenced by the control lease, before it is requested from the cloud
API. After a lost response, this process or the next lease holder repeats the request
with the same request id. A host is drained before it is released: a record like that
of a reclaim notice stops new requests to the host and migrates its streams.
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
"""Prefix of the store keys of recorded starts; the request id follows."""

STORE_TIMEOUT_S: Final = 2.0
"""Timeout of a call to the replicated store, in seconds."""

DEFAULT_SLOTS: Final = 8
"""Number of slots assumed for a host without an announced backend server."""

DRAIN_MS: Final = 120_000
"""Milliseconds that a drained host has to migrate its streams."""

DEMAND_WINDOW_MS: Final = 300_000
"""Length in milliseconds of the window whose highest load is the demand."""

Status = pb.CommandResult.Status


class CloudApi(Protocol):
    """Calls to the cloud API; each returns a `StepError` if it failed."""

    def offers(self) -> Result[list[CloudOffer], StepError]:
        """Return the offers of hosts that can be started."""
        ...

    def hosts(self) -> Result[list[CloudHost], StepError]:
        """Return the hosts that the deployment pays for or has paid for."""
        ...

    def start(self, request: HostStart) -> Result[bool, StepError]:
        """Request the start of a host; return whether it was granted."""
        ...

    def release_host(self, host_id: str) -> Result[bool, StepError]:
        """Release a host; return whether the platform confirmed it."""
        ...


class ControlLease(Protocol):
    """State of the control lease."""

    @property
    def fencing_number(self) -> int:
        """Fencing number of the current or last holding; 0 before the first."""
        ...

    def is_held(self) -> bool:
        """Return whether this process may act as the holder now."""
        ...

    def fence(self) -> pb.Fence:
        """Return the condition that fences a transaction by this holding."""
        ...


class LeaseKeeperAdapter:
    """State of the control lease, read from its keeper.

    Args:
        keeper: Keeper of the control lease.
    """

    def __init__(self, keeper: LeaseKeeper) -> None:
        self.keeper = keeper
        """Keeper of the control lease."""

    @property
    def fencing_number(self) -> int:
        """Fencing number of the current or last holding; 0 before the first."""
        return self.keeper.fencing_number

    def is_held(self) -> bool:
        """Return whether this process may act as the holder now."""
        return self.keeper.held(self.keeper.clock())

    def fence(self) -> pb.Fence:
        """Return the condition that fences a transaction by this holding."""
        return self.keeper.fence()


@dataclass(frozen=True)
class BackendLoad:
    """Slots and load of a backend server, as it announces them."""

    services: tuple[str, ...]
    """Names of the services that the backend server serves."""
    slots: int
    """Number of requests that the backend server accepts concurrently."""
    load: float
    """Number of requests that run or wait at the backend server."""


class HostManager:
    """Plans, starts, drains and releases the hosts of all services.

    Args:
        client: Client of the replicated store.
        lease: State of the control lease.
        cloud: Client of the cloud API.
        record_drain: Function that records the drain of a host. Its arguments are the
            host id and the wall clock time, in milliseconds, by which the host's
            streams must be migrated. It returns whether the drain is recorded.
        random: Random generator for the jitter of delays after refused starts.
    """

    def __init__(
        self,
        client: StateClient,
        lease: ControlLease,
        cloud: CloudApi,
        record_drain: Callable[[str, int], bool],
        random: Random,
    ) -> None:
        self.client = client
        """Client of the replicated store."""
        self.lease = lease
        """State of the control lease."""
        self.cloud = cloud
        """Client of the cloud API."""
        self.record_drain = record_drain
        """Function that records the drain of a host id until a wall clock time in
        milliseconds."""
        self.random = random
        """Random generator for the jitter of delays after refused starts."""
        self.fencing_number = 0
        """Fencing number of the lease when the recorded starts were read."""
        self.must_reload = True
        """Whether the recorded starts must be read before the next write."""
        self.start_count = 0
        """Number of starts under `fencing_number`; part of their request ids."""
        self.pending_starts: dict[str, HostStart] = {}
        """Recorded starts whose host is not listed by the cloud API, by request id."""
        self.draining: set[str] = set()
        """Ids of the hosts that are drained before their release."""
        self.requested_hosts: set[str] = set()
        """Ids of listed hosts with a start request; only these are ever released."""
        self.state_since_ms: dict[tuple[str, HostState], int] = {}
        """Wall clock time in milliseconds when each host was first seen in a state."""
        self.planners: dict[str, CapacityPlanner] = {}
        """Capacity planner of each service, by service name."""
        self.demand: dict[str, Demand] = {}
        """Recent load of each service, by service name."""
        self.plans: dict[str, CapacityPlan] = {}
        """Last plan of each service, by service name, for state dumps."""

    def reconcile(
        self,
        settings: settings_pb2.DeploymentSettings,
        backends: Mapping[str, BackendLoad],
        leaving_hosts: Collection[str],
        now_ms: int,
    ) -> None:
        """Plan each service and apply the plans while the lease is held.

        Args:
            settings: Settings of the deployment, as resolved for the site.
            backends: Load of the announced backend servers, by id.
            leaving_hosts: Ids of the hosts with a recorded reclaim or drain.
            now_ms: Current wall clock time in milliseconds.
        """
        if not self.lease.is_held() or not self._ensure_loaded():
            return
        offers, hosts = self.cloud.offers(), self.cloud.hosts()
        if offers.is_error() or hosts.is_error():
            log.warning(
                "Capacity plan skipped: no offers or no hosts read from the cloud API."
            )
            return
        current_hosts = [host for host in hosts.ok if host.state != "gone"]
        self.requested_hosts = {host.id for host in current_hosts if host.request_id}
        self.draining = {
            host.id
            for host in current_hosts
            if host.id in leaving_hosts and host.state != "noticed"
        }
        self._resolve_starts(current_hosts, now_ms)
        for service in settings.services:
            held = self._held_hosts(service.name, current_hosts, backends, now_ms)
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
        serving_backends = [b for b in backends.values() if service.name in b.services]
        demand.observe(sum(backend.load for backend in serving_backends), now_ms)
        slots = max(
            (backend.slots for backend in serving_backends), default=DEFAULT_SLOTS
        )
        planner_offers = [
            Offer(_offer_key(offer), offer.price_per_hour, slots) for offer in offers
        ]
        plan = self.planners.setdefault(service.name, CapacityPlanner()).plan(
            service_need(service, demand),
            held,
            planner_offers,
            now_ms,
            settings.policies.capacity,
        )
        self.plans[service.name] = plan
        for step in plan.steps:
            if self.lease.is_held() and not self.must_reload:
                self.apply_step(step, now_ms)

    @singledispatchmethod
    def apply_step(self, step: object, now_ms: int) -> None:
        """Apply one step of a capacity plan."""
        raise TypeError(f"capacity plan has a step of unknown type: {step!r}")

    @apply_step.register(StartHost)
    def _(self, step: StartHost, now_ms: int) -> None:
        self.start_count += 1
        request = HostStart(
            request_id=f"{step.service}-{self.fencing_number}-{self.start_count}",
            service=step.service,
            availability_zone=step.key.zone,
            host_class=step.key.host_class,
            reclaimable=step.key.market is Market.RECLAIMABLE,
            recorded_at_ms=now_ms,
            fencing_number=self.fencing_number,
        )
        put = pb.Put(
            key=START_PREFIX + request.request_id,
            value=request.SerializeToString(),
            expected_revision=0,
        )
        if self._commit(pb.Transaction(puts=[put])):
            self.pending_starts[request.request_id] = request
            log.info(
                "Recorded the start of a host for service {}: {}.",
                step.service,
                step.reason,
            )
            self._request_start(request, now_ms)

    @apply_step.register(DrainHost)
    def _(self, step: DrainHost, now_ms: int) -> None:
        if step.id in self.requested_hosts and self.record_drain(
            step.id, now_ms + DRAIN_MS
        ):
            self.draining.add(step.id)
            log.info("Draining host {}: {}.", step.id, step.reason)

    @apply_step.register(StopHost)
    def _(self, step: StopHost, now_ms: int) -> None:
        if step.id not in self.requested_hosts:
            return
        released = self.cloud.release_host(step.id)
        if released.is_ok():
            self.draining.discard(step.id)
            log.info("Requested the release of host {}: {}.", step.id, step.reason)

    def _request_start(self, request: HostStart, now_ms: int) -> None:
        """Request a start; if its outcome is unknown, the next plan repeats it."""
        if not self.lease.is_held():
            return
        granted = self.cloud.start(request)
        if granted.is_error():
            log.warning(
                "Outcome of a host start unknown; the next plan repeats it: {}",
                granted.error,
            )
            return
        planner = self.planners.setdefault(request.service, CapacityPlanner())
        key = _start_key(request)
        if granted.ok:
            planner.refusals.on_started(key)
            return
        planner.refusals.on_refused(key, now_ms, self.random)
        self._delete_start(request.request_id)

    def _resolve_starts(self, current_hosts: Sequence[CloudHost], now_ms: int) -> None:
        """Repeat starts whose host is not listed; delete records of other starts."""
        started_ids = {host.request_id for host in current_hosts}
        for request_id, request in list(self.pending_starts.items()):
            if request_id in started_ids:
                self._delete_start(request_id)
            else:
                self._request_start(request, now_ms)

    def _delete_start(self, request_id: str) -> None:
        delete = pb.Delete(key=START_PREFIX + request_id)
        if self._commit(pb.Transaction(deletes=[delete])):
            self.pending_starts.pop(request_id, None)

    def _held_hosts(
        self,
        service: str,
        current_hosts: Sequence[CloudHost],
        backends: Mapping[str, BackendLoad],
        now_ms: int,
    ) -> list[HeldHost]:
        held_hosts = []
        for host in current_hosts:
            backend = backends.get(host.id)
            served = backend.services if backend is not None else ()
            if service == host.service or (not host.service and service in served):
                held_hosts.append(self._held_host(host, backend, now_ms))
        held_hosts += [
            self._starting_host(request)
            for request in self.pending_starts.values()
            if request.service == service
        ]
        return held_hosts

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
            since_ms=self.state_since_ms.setdefault((host.id, state), now_ms),
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

    def _ensure_loaded(self) -> bool:
        """Read the recorded starts after a new holding or a failed write.

        Returns:
            Whether `pending_starts` holds the recorded starts.
        """
        fencing_number = self.lease.fencing_number
        if fencing_number == self.fencing_number and not self.must_reload:
            return True
        page = self.client.scan(CONTROL_GROUP, START_PREFIX, STORE_TIMEOUT_S)
        if page.is_error():
            return False
        starts = [HostStart.FromString(entry.value) for entry in page.ok.entries]
        self.pending_starts = {start.request_id: start for start in starts}
        if fencing_number != self.fencing_number:
            self.fencing_number, self.start_count = fencing_number, 0
        self.must_reload = False
        return True

    def _commit(self, transaction: pb.Transaction) -> bool:
        transaction.fences.append(self.lease.fence())
        command = pb.Command(transaction=transaction)
        result = self.client.propose(CONTROL_GROUP, command, STORE_TIMEOUT_S)
        if result.is_ok() and result.ok.status == Status.APPLIED:
            return True
        self.must_reload = True
        return False


def _offer_key(offer: CloudOffer) -> OfferKey:
    market = Market.RECLAIMABLE if offer.reclaimable else Market.ON_DEMAND
    return OfferKey(AvailabilityZone(offer.availability_zone), offer.host_class, market)


def _start_key(request: HostStart) -> OfferKey:
    market = Market.RECLAIMABLE if request.reclaimable else Market.ON_DEMAND
    zone = AvailabilityZone(request.availability_zone)
    return OfferKey(zone, request.host_class, market)
