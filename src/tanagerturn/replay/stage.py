"""The stand-ins of a trace: backend servers and cloud, and what befalls them."""

from __future__ import annotations

import threading
import time
from dataclasses import replace
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Final

from tanagerturn.replay.results import BackendCounts, ExecutionCount, Happening
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
ON_DEMAND_FACTOR: Final = 3.0
"""Price of an on-demand host against a reclaimable one."""


class Stage:
    """Runs the stand-ins of a trace and applies its events to them.

    Args:
        header: Header of the trace.
        seed: Seed of faults and chances.
        speed: How much faster than recorded; notices and shortages shrink by it.
    """

    def __init__(self, header: TraceHeader, seed: int = 0, speed: float = 1.0) -> None:
        self.header = header
        """Header of the trace."""
        self.seed = seed
        """Seed of faults and chances."""
        self.speed = speed
        """How much faster than recorded."""
        self.announce_to: tuple[str, ...] = ()
        """Announcement listeners of entry hosts."""
        self.ledgers: dict[str, Ledger] = {}
        """Executions of each plain service."""
        self.servers: dict[str, EngineServer | ServiceServer] = {}
        """All backend servers that ever ran, by id."""
        self.timeline: list[Happening] = []
        """What happened."""
        self.started_s = time.monotonic()
        """Start of the run on the monotonic clock."""
        self.kill_entry: Callable[[int], None] | None = None
        """Kills an entry host; None when it can't be done."""
        self.change_settings: Callable[[SettingsChange], None] | None = None
        """Applies a change of settings; None when it can't be done."""
        self.lock = threading.Lock()
        """Guards the servers and the timeline."""
        config = CloudConfig(offers=_offers(header.backends), seed=seed)
        self.cloud = start_cloud(config, self._start_on_host)
        """The cloud that the backend servers' hosts belong to."""

    def start_backends(self, announce_to: Sequence[str]) -> None:
        """Start the backend servers of the trace.

        Args:
            announce_to: IP number and port of each entry host's announcement
                listener.
        """
        self.announce_to = tuple(announce_to)
        self.started_s = time.monotonic()
        for backend in self.header.backends:
            server = self._start(backend)
            request = StartRequest(
                request_id=f"initial-{backend.id}",
                availability_zone=backend.availability_zone,
                host_class=backend.host_class,
                reclaimable=backend.reclaimable,
                service=backend.service,
            )
            self.cloud.adopt(request, server, backend.id)

    def stop(self) -> None:
        """End the cloud and all backend servers."""
        self.cloud.stop()
        for server in list(self.servers.values()):
            server.kill()

    def note(self, what: str, detail: str) -> None:
        """Add a line to the timeline."""
        at_ms = round((time.monotonic() - self.started_s) * MS_PER_S, 3)
        with self.lock:
            self.timeline.append(Happening(at_ms, what, detail))

    def counts(self) -> tuple[BackendCounts, ...]:
        """Return what each backend server did, and each service executed."""
        with self.lock:
            servers = list(self.servers.values())
        counted = [_counts_of(server) for server in servers]
        for service, ledger in self.ledgers.items():
            with ledger.lock:
                items = sorted(ledger.executions.items())
            executions = tuple(ExecutionCount(key, times) for key, times in items)
            counted.append(BackendCounts(service, service, executions=executions))
        return tuple(counted)

    @singledispatchmethod
    def apply(self, event: TraceEvent) -> None:
        """Carry out an event of the trace."""
        self.note("unknown", type(event).__name__)

    @apply.register
    def _(self, event: ReclaimNotice) -> None:
        notice_ms = event.notice_ms / self.speed
        self.note("reclaim", f"{', '.join(event.backends)} in {notice_ms:.0f} ms")
        self.cloud.notice(event.backends, notice_ms, event.announced, event.from_cloud)

    @apply.register
    def _(self, event: StartsRefused) -> None:
        for_ms = event.for_ms / self.speed
        where = event.availability_zone or "all zones"
        self.note("starts", f"refused in {where} for {for_ms:.0f} ms")
        self.cloud.refuse_starts(event.availability_zone, event.host_class, for_ms)

    @apply.register
    def _(self, event: PriceChange) -> None:
        zone, host_class = event.availability_zone, event.host_class
        self.note("price", f"{host_class} in {zone}: {event.price_per_hour:.2f}")
        self.cloud.set_price(zone, host_class, event.price_per_hour)

    @apply.register
    def _(self, event: BackendFault) -> None:
        self.note("fault", f"{event.fault} {event.share} at {event.backends}")
        rates = {Fault(event.fault): event.share} if event.share > 0 else {}
        for backend in event.backends:
            if backend in self.servers:
                self.servers[backend].faults.plan = FaultPlan(self.seed, rates)

    @apply.register
    def _(self, event: EntryDeath) -> None:
        if self.kill_entry is None:
            self.note("entry", f"{event.entry} should die, can't be done here")
            return
        self.note("entry", f"{event.entry} dies")
        self.kill_entry(event.entry)

    @apply.register
    def _(self, event: SettingsChange) -> None:
        if self.change_settings is None:
            self.note("settings", f"{event.file} should change, can't be done here")
            return
        self.note("settings", f"{event.author} changes {event.file}")
        self.change_settings(event)

    def _start_on_host(self, host: Host) -> EngineServer | ServiceServer | None:
        """Start the backend server of a host that the cloud started."""
        request = host.request
        like = next(
            (b for b in self.header.backends if b.service == request.service), None
        )
        if like is None:
            return None
        price = self.cloud.model.price(request) or like.price_per_hour
        backend = replace(
            like,
            id=host.id,
            availability_zone=request.availability_zone,
            host_class=request.host_class,
            reclaimable=request.reclaimable,
            price_per_hour=price,
        )
        self.note("starts", f"{host.id} for {request.service} is up")
        return self._start(backend)

    def _start(self, backend: TraceBackend) -> EngineServer | ServiceServer:
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


def _counts_of(server: EngineServer | ServiceServer) -> BackendCounts:
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
    """Offer each class in each zone, at the prices of the first such host."""
    offers: dict[tuple[str, str], Offer] = {}
    for backend in backends:
        place = (backend.availability_zone, backend.host_class)
        offers.setdefault(place, Offer(*place, True, backend.price_per_hour))
    on_demand = [
        Offer(*place, False, offer.price_per_hour * ON_DEMAND_FACTOR)
        for place, offer in offers.items()
    ]
    return (*offers.values(), *on_demand)


def start_stage(header: TraceHeader, seed: int = 0, speed: float = 1.0) -> Stage:
    """Start the cloud of a trace; `start_backends` starts the rest."""
    return Stage(header, seed, speed)
