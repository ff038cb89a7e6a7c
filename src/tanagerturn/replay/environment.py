"""The simulated environment of a trace: stand-in backend servers and cloud."""

from __future__ import annotations

import threading
import time
from dataclasses import replace
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Final

from tanagerturn.replay.results import BackendCounts, ExecutionCount, TimelineEvent
from tanagerturn.replay.trace import (
    BackendFault,
    BackendType,
    EntryDeath,
    PriceChange,
    ReclaimNotice,
    SettingsChange,
    StartsRefused,
    TraceBackend,
    TraceEvent,
)
from tanagerturn.standins.cloud.messages import Host, Offer, StartRequest
from tanagerturn.standins.cloud.model import CloudConfig
from tanagerturn.standins.cloud.server import start_cloud
from tanagerturn.standins.engine.config import EngineConfig
from tanagerturn.standins.engine.server import EngineServer, start_engine
from tanagerturn.standins.faults import Fault, FaultPlan
from tanagerturn.standins.service.config import ServiceConfig
from tanagerturn.standins.service.ledger import Ledger
from tanagerturn.standins.service.server import ServiceServer, start_service

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from tanagerturn.replay.trace import TraceHeader

MS_PER_S: Final = 1000.0
ON_DEMAND_PRICE_FACTOR: Final = 3.0
"""Ratio of an on-demand host's price to a reclaimable host's."""


class StandinEnvironment:
    """Runs a trace's stand-in backend servers and cloud, and applies its events.

    Args:
        header: Header of the trace.
        seed: Seed of faults and random choices.
        speed: Factor by which the trace is replayed faster than recorded; notice
            times and the durations of refused starts are divided by it.
    """

    def __init__(self, header: TraceHeader, seed: int = 0, speed: float = 1.0) -> None:
        self.header = header
        """Header of the trace."""
        self.seed = seed
        """Seed of faults and random choices."""
        self.speed = speed
        """Factor by which the trace is replayed faster than recorded."""
        self.announce_to: tuple[str, ...] = ()
        """IP address and port of each entry host's announcement listener."""
        self.ledgers: dict[str, Ledger] = {}
        """Execution counts of each plain service, by service."""
        self.servers: dict[str, EngineServer | ServiceServer] = {}
        """All backend servers that were started, by id; stopped ones remain."""
        self.timeline: list[TimelineEvent] = []
        """Timeline events since the start of the run, in order of time."""
        self.started_s = time.monotonic()
        """Start of the run on the monotonic clock, in seconds."""
        self.kill_entry: Callable[[int], None] | None = None
        """Function that crashes the entry host of an index; None if not supported."""
        self.change_settings: Callable[[SettingsChange], None] | None = None
        """Function that applies a change of the settings; None if not supported."""
        self.lock = threading.Lock()
        """Guards `servers` and `timeline`."""
        config = CloudConfig(offers=_offers(header.backends), seed=seed)
        self.cloud = start_cloud(config, self._start_on_host)
        """Stand-in cloud API; it starts and reclaims the backend servers' hosts."""

    def start_backends(self, announce_to: Sequence[str]) -> None:
        """Start the backend servers of the trace.

        Args:
            announce_to: IP address and port of each entry host's announcement
                listener.
        """
        self.announce_to = tuple(announce_to)
        self.started_s = time.monotonic()
        for backend in self.header.backends:
            server = self._start_backend(backend)
            request = StartRequest(
                request_id=f"initial-{backend.id}",
                availability_zone=backend.availability_zone,
                host_class=backend.host_class,
                reclaimable=backend.reclaimable,
                service=backend.service,
            )
            self.cloud.adopt(request, server, backend.id)

    def stop(self) -> None:
        """Stop the cloud and kill all backend servers."""
        self.cloud.stop()
        for server in list(self.servers.values()):
            server.kill()

    def add_timeline_event(self, what: str, detail: str) -> None:
        """Add an event to the timeline.

        Args:
            what: Kind of event, as in `TimelineEvent.what`.
            detail: Description of the event.
        """
        at_ms = round((time.monotonic() - self.started_s) * MS_PER_S, 3)
        with self.lock:
            self.timeline.append(TimelineEvent(at_ms, what, detail))

    def backend_counts(self) -> tuple[BackendCounts, ...]:
        """Return the counters of each backend server and executions of each service."""
        with self.lock:
            servers = list(self.servers.values())
        counts = [_read_counts(server) for server in servers]
        for service, ledger in self.ledgers.items():
            with ledger.lock:
                items = sorted(ledger.executions.items())
            executions = tuple(ExecutionCount(key, times) for key, times in items)
            counts.append(BackendCounts(service, service, executions=executions))
        return tuple(counts)

    @singledispatchmethod
    def apply(self, event: TraceEvent) -> None:
        """Apply an event of the trace."""
        self.add_timeline_event("unknown", type(event).__name__)

    @apply.register
    def _(self, event: ReclaimNotice) -> None:
        notice_ms = event.notice_ms / self.speed
        self.add_timeline_event(
            "reclaim", f"{', '.join(event.backends)} in {notice_ms:.0f} ms"
        )
        self.cloud.reclaim(event.backends, notice_ms, event.announced, event.from_cloud)

    @apply.register
    def _(self, event: StartsRefused) -> None:
        for_ms = event.for_ms / self.speed
        where = event.availability_zone or "all zones"
        self.add_timeline_event("starts", f"refused in {where} for {for_ms:.0f} ms")
        self.cloud.refuse_starts(event.availability_zone, event.host_class, for_ms)

    @apply.register
    def _(self, event: PriceChange) -> None:
        zone, host_class = event.availability_zone, event.host_class
        self.add_timeline_event(
            "price", f"{host_class} in {zone}: {event.price_per_hour:.2f}"
        )
        self.cloud.set_price(zone, host_class, event.price_per_hour)

    @apply.register
    def _(self, event: BackendFault) -> None:
        self.add_timeline_event(
            "fault", f"{event.fault} {event.share} at {event.backends}"
        )
        rates = {Fault(event.fault): event.share} if event.share > 0 else {}
        for backend in event.backends:
            if backend in self.servers:
                self.servers[backend].faults.plan = FaultPlan(self.seed, rates)

    @apply.register
    def _(self, event: EntryDeath) -> None:
        if self.kill_entry is None:
            self.add_timeline_event(
                "entry", f"{event.entry} should die, can't be done here"
            )
            return
        self.add_timeline_event("entry", f"{event.entry} dies")
        self.kill_entry(event.entry)

    @apply.register
    def _(self, event: SettingsChange) -> None:
        if self.change_settings is None:
            self.add_timeline_event(
                "settings", f"{event.file} should change, can't be done here"
            )
            return
        self.add_timeline_event("settings", f"{event.author} changes {event.file}")
        self.change_settings(event)

    def _start_on_host(self, host: Host) -> EngineServer | ServiceServer | None:
        """Start a backend server on a host that the cloud started.

        The backend server is configured like the first one of its service in the
        trace.

        Returns:
            The backend server; None if the trace has no backend server of this service.
        """
        request = host.request
        template = next(
            (b for b in self.header.backends if b.service == request.service), None
        )
        if template is None:
            return None
        price = self.cloud.model.price(request) or template.price_per_hour
        backend = replace(
            template,
            id=host.id,
            availability_zone=request.availability_zone,
            host_class=request.host_class,
            reclaimable=request.reclaimable,
            price_per_hour=price,
        )
        self.add_timeline_event("starts", f"{host.id} for {request.service} is up")
        return self._start_backend(backend)

    def _start_backend(self, backend: TraceBackend) -> EngineServer | ServiceServer:
        server: EngineServer | ServiceServer
        if backend.type == BackendType.ENGINE:
            server = start_engine(self._engine_config(backend))
        else:
            ledger = self.ledgers.setdefault(backend.service, Ledger())
            server = start_service(self._service_config(backend), ledger)
        with self.lock:
            self.servers[backend.id] = server
        return server

    def _engine_config(self, backend: TraceBackend) -> EngineConfig:
        return EngineConfig(
            id=backend.id,
            announce_to=self.announce_to,
            availability_zone=backend.availability_zone,
            host_class=backend.host_class,
            price_per_hour=backend.price_per_hour,
            reclaimable=backend.reclaimable,
            services=(backend.service,),
            model=backend.model,
            version=backend.version,
            checks_fencing=backend.checks_fencing,
            seed=self.seed,
        )

    def _service_config(self, backend: TraceBackend) -> ServiceConfig:
        return ServiceConfig(
            id=backend.id,
            announce_to=self.announce_to,
            availability_zone=backend.availability_zone,
            host_class=backend.host_class,
            price_per_hour=backend.price_per_hour,
            reclaimable=backend.reclaimable,
            services=(backend.service,),
        )


def _read_counts(server: EngineServer | ServiceServer) -> BackendCounts:
    service = server.config.services[0]
    if isinstance(server, ServiceServer):
        return BackendCounts(server.config.id, service, server.late_work)
    return BackendCounts(
        id=server.config.id,
        service=service,
        late_work=server.counts.late_work,
        tokens_generated=server.model.tokens_generated,
        tokens_recomputed=server.model.tokens_recomputed,
    )


def _offers(backends: Sequence[TraceBackend]) -> tuple[Offer, ...]:
    """Build the cloud's offers, reclaimable and on demand.

    Each pair of availability zone and host class is offered at the price of the first
    backend server with it.
    """
    offers: dict[tuple[str, str], Offer] = {}
    for backend in backends:
        offer_key = (backend.availability_zone, backend.host_class)
        offers.setdefault(offer_key, Offer(*offer_key, True, backend.price_per_hour))
    on_demand = [
        Offer(*offer_key, False, offer.price_per_hour * ON_DEMAND_PRICE_FACTOR)
        for offer_key, offer in offers.items()
    ]
    return (*offers.values(), *on_demand)


def start_environment(
    header: TraceHeader, seed: int = 0, speed: float = 1.0
) -> StandinEnvironment:
    """Start the cloud of a trace; `start_backends` starts the backend servers."""
    return StandinEnvironment(header, seed, speed)
