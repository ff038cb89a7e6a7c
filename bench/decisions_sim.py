"""Drives the decision functions with a trace, on a clock that is only counted.

Engines are the pure model of the stand-in engine; plain services are queues.
Entry hosts each have their own view, and control plans capacity once in a
while. Nothing here waits, so that a trace of minutes takes seconds.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from random import Random

from tanagerturn.replay.trace import (
    BackendType,
    EntryDeath,
    PriceChange,
    ReclaimNotice,
    StartsRefused,
)
from tanagerturn.schema import serving_pb2, settings_pb2
from tanagerturn.serving.backends.messages import AvailabilityZone, Completion
from tanagerturn.serving.backends.view import make_backend_view
from tanagerturn.serving.cache.blocks import (
    BLOCK_CHARACTERS,
    CHARACTERS_PER_TOKEN,
    cache_seed,
    text_blocks,
)
from tanagerturn.serving.capacity.demand import Demand, service_need
from tanagerturn.serving.capacity.messages import (
    DrainHost,
    HeldHost,
    HostState,
    Market,
    Offer,
    OfferKey,
    StartHost,
    StopHost,
)
from tanagerturn.serving.capacity.plan import CapacityPlanner
from tanagerturn.serving.reclaims.messages import LinkLimits, RunningRequest
from tanagerturn.serving.reclaims.migrations import (
    ExportKv,
    HandOver,
    ImportKv,
    ResumeAt,
    make_reclaim_migrations,
)
from tanagerturn.serving.reclaims.plan import find_importers, local_share
from tanagerturn.serving.routing.choose import choose
from tanagerturn.serving.routing.messages import RouteRequest
from tanagerturn.standins.engine.config import EngineConfig
from tanagerturn.standins.engine.messages import FinishReason, Generation
from tanagerturn.standins.engine.model import EngineModel
from tanagerturn.standins.tokens import build_prompt

ON_DEMAND_FACTOR = 3.0
START_MS = 40_000
HEARTBEAT_MS = 1_000
NETWORK_MS = 1.0
IN_ZONE_MS = 0.2
NOTICE_DELAY_MS = 300
SLOTS = {BackendType.ENGINE: 32, BackendType.SERVICE: 64}
PRIORITIES = {
    "urgent": serving_pb2.URGENT,
    "normal": serving_pb2.NORMAL,
    "low": serving_pb2.LOW,
}


@dataclass(frozen=True)
class Arm:
    """Which policies are in force."""

    name: str = "all"
    routing: settings_pb2.RoutingPolicy.ValueType = settings_pb2.PREFIX_AND_LOAD
    cache_view: bool = True
    kv_moves: bool = True
    capacity: settings_pb2.CapacityPolicy.ValueType | None = settings_pb2.LOWEST_COST
    """None holds the hosts of the trace as they are."""
    reclaims: bool = True
    """False takes no host away."""


@dataclass
class Call:
    """One request of the trace on its way."""

    request: object
    entry: int
    prompt: str = ""
    blocks: list = field(default_factory=list)
    attempt: int = 0
    backend: str = ""
    sent_ms: float = 0.0
    first_ms: float | None = None
    attempt_first_ms: float | None = None
    resumed_from: int = 0
    delivered: int = 0
    ended_ms: float | None = None
    excluded: frozenset = frozenset()
    kv_handle: str = ""
    computed: bool = False
    """An earlier attempt had generated tokens: the next one recomputes."""


class Server:
    """A backend server: an engine model or a queue."""

    def __init__(self, sim, spec, now_ms):
        self.sim, self.spec, self.incarnation = sim, spec, f"{spec.id}@{now_ms}"
        self.engine = None
        self.slots = SLOTS[spec.type]
        self.running, self.waiting = {}, deque()
        self.dead, self.leaving_at_ms, self.sequence = False, None, 0
        self.ready_at_ms, self.draining = now_ms, False
        if spec.type is BackendType.ENGINE:
            config = EngineConfig(
                id=spec.id,
                availability_zone=spec.availability_zone,
                price_per_hour=spec.price_per_hour,
                reclaimable=spec.reclaimable,
                services=(spec.service,),
                model=spec.model,
                version=spec.version,
                slots=self.slots,
                kv_tokens=sim.kv_tokens,
                step_ms=sim.step_ms,
                load_lag_ms=sim.load_lag_ms,
                cache_event_loss=0.1 if sim.lossy else 0.0,
                cache_event_delay_ms=30_000.0 if sim.lossy else 200.0,
                seed=sim.seed,
            )
            self.engine = EngineModel(config)

    def announcement(self, now_ms, cache_after):
        """Return its next announcement."""
        self.sequence += 1
        if self.engine is not None:
            self.engine.leaving_at_ms = self.leaving_at_ms
            found = self.engine.announcement("127.0.0.1:1", cache_after, now_ms)
        else:
            spec = self.spec
            found = serving_pb2.Announcement(
                id=spec.id,
                services=[spec.service],
                availability_zone=spec.availability_zone,
                reclaimable=spec.reclaimable,
                price_per_hour=spec.price_per_hour,
                slots=self.slots,
                leaving=self.leaving_at_ms is not None,
                load=serving_pb2.LoadReport(
                    running=len(self.running),
                    waiting=len(self.waiting),
                    read_at_ms=int(now_ms),
                ),
            )
        if self.spec.id == self.sim.frozen:
            full = serving_pb2.LoadReport(running=32, waiting=30, read_at_ms=1)
            found.load.CopyFrom(full)
        found.address = self.sim.address_of(self.spec.id)
        found.incarnation, found.sequence = self.incarnation, self.sequence
        found.heartbeat_ms = HEARTBEAT_MS
        return found


class Entry:
    """One entry host."""

    def __init__(self, number, sim):
        self.number, self.dead = number, False
        self.view = make_backend_view()
        self.random = Random(f"{sim.seed}/{number}")
        self.moves = make_reclaim_migrations(sim.links)
        self.acknowledged = {}
        zones = sim.trace.header.availability_zones
        self.zone = AvailabilityZone(zones[number % len(zones)])


class Sim:
    """One run of a trace under one arm."""

    def __init__(
        self,
        trace,
        arm,
        seed=0,
        until_ms=None,
        kv_tokens=131_072,
        link_tokens_per_s=50_000.0,
        lossy=False,
        services=None,
        step_ms=50.0,
        load_lag_ms=500.0,
        frozen="",
    ):
        self.trace, self.arm, self.seed, self.lossy = trace, arm, seed, lossy
        self.kv_tokens, self.random = kv_tokens, Random(seed)
        self.step_ms, self.load_lag_ms, self.frozen = step_ms, load_lag_ms, frozen
        self.links = LinkLimits(tokens_per_s=link_tokens_per_s)
        self.end_ms = until_ms or trace.header.duration_ms
        self.now_ms, self.heap, self.count = 0.0, [], 0
        self.addresses, self.servers, self.calls = {}, {}, {}
        self.entries = [Entry(i, self) for i in range(trace.header.entry_hosts)]
        self.control = make_backend_view()
        self.cost, self.recomputed = Counter(), 0
        self.late_work, self.computed = 0, 0
        self.prices = {}
        self.refused_until_ms, self.started = 0.0, 0
        self.services = services or {}
        self.capacity = {name: CapacityPlanner() for name in self.services}
        self.demand = {n: Demand(s.capacity.scale_in_after_ms or 60_000)
                       for n, s in self.services.items()}  # fmt: skip
        self.market, self.starting = {}, {}
        for spec in trace.header.backends:
            self.prices[spec.availability_zone, spec.host_class] = spec.price_per_hour
        self.lose = Counter()

    # -- clock ---------------------------------------------------------------

    def at(self, delay_ms, action, *args):
        """Do something later."""
        self.count += 1
        heapq.heappush(self.heap, (self.now_ms + delay_ms, self.count, action, args))

    def run(self):
        """Run the trace."""
        header = self.trace.header
        only = self.arm.capacity == settings_pb2.ON_DEMAND_ONLY
        for spec in header.backends:
            if only:
                price = spec.price_per_hour * ON_DEMAND_FACTOR
                spec = replace(spec, reclaimable=False, price_per_hour=price)
            self.add_server(spec)
        for number, request in enumerate(self.trace.requests):
            if request.at_ms < self.end_ms:
                self.at(request.at_ms, self.arrive, request, number)
        for event in self.trace.events:
            self.at(event.at_ms, self.happen, event)
        self.at(0, self.tick)
        if self.arm.capacity is not None:
            self.at(2_000, self.plan_capacity)
        hard_end_ms = self.end_ms + 600_000
        while self.heap and self.heap[0][0] <= hard_end_ms:
            self.now_ms, _, action, args = heapq.heappop(self.heap)
            action(*args)
            if self.now_ms > self.end_ms and all(
                call.ended_ms is not None for call in self.calls.values()
            ):
                break
        return self

    # -- backend servers -----------------------------------------------------

    def address_of(self, name):
        """Return the address of a backend server."""
        number = self.addresses.setdefault(name, len(self.addresses) + 1)
        return f"10.0.{number // 200}.{number % 200 + 1}:9000"

    def add_server(self, spec):
        """Add a backend server."""
        server = Server(self, spec, int(self.now_ms))
        self.servers[spec.id] = server
        market = Market.RECLAIMABLE if spec.reclaimable else Market.ON_DEMAND
        self.market[spec.id] = market
        self.heartbeat(server)

    def heartbeat(self, server):
        """Announce now and again."""
        if server.dead:
            return
        self.announce(server)
        self.at(HEARTBEAT_MS, self.heartbeat, server)

    def announce(self, server):
        """Announce to all entry hosts and control."""
        if server.engine is not None:
            self.advance(server)
        now_ms = int(self.now_ms)
        name = server.spec.id
        built = {}
        for entry in self.entries:
            if entry.dead:
                continue
            after = entry.acknowledged.get(name, 0)
            if not self.arm.cache_view:
                after = 10**9
            if after not in built:
                built[after] = server.announcement(now_ms, after)
            result = entry.view.on_announcement(built[after], now_ms)
            entry.acknowledged[name] = result.ok.cache_sequence
        self.control.on_announcement(next(iter(built.values())), now_ms)

    def kill(self, server):
        """Take a backend server away."""
        if server.dead:
            return
        if server.engine is not None:
            self.advance(server)
            batch = server.engine.batch
            for sequence in (*batch.running, *batch.waiting):
                if self.calls[sequence.generation.request_id].computed:
                    self.recomputed += sequence.recomputed_tokens
        server.dead = True
        self.servers.pop(server.spec.id, None)
        for call in list(self.calls.values()):
            if call.backend != server.spec.id or call.ended_ms is not None:
                continue
            self.at(NETWORK_MS, self.fail, call, server.spec.id, call.attempt)

    def advance(self, server):
        """Run the steps of an engine that have ended."""
        for chunk in server.engine.advance(self.now_ms):
            self.take_chunk(server, chunk)

    def schedule_step(self, server):
        """Come back at the end of the present step."""
        ends_ms = server.engine.step_ends_at_ms
        if ends_ms is not None and not server.dead:
            self.at(max(0.0, ends_ms - self.now_ms), self.engine_step, server, ends_ms)

    def engine_step(self, server, due_ms):
        """End a step of an engine."""
        if server.dead or server.engine.step_ends_at_ms != due_ms:
            return
        self.advance(server)
        self.schedule_step(server)

    # -- requests ------------------------------------------------------------

    def arrive(self, request, number):
        """Take a request of the trace at an entry host."""
        alive = [entry for entry in self.entries if not entry.dead]
        entry = alive[number % len(alive)]
        call = Call(request, entry.number, sent_ms=self.now_ms)
        if request.max_tokens:
            names = [f"{r.name}-{i}" for r in request.prefix for i in range(r.blocks)]
            characters = request.prompt_tokens * CHARACTERS_PER_TOKEN
            call.prompt = build_prompt(names, characters, request.id)
            spec = next(b for b in self.trace.header.backends if b.model)
            seed = cache_seed(spec.model, spec.version)
            call.blocks = text_blocks(call.prompt, seed)
            assert len(names) * BLOCK_CHARACTERS <= characters
        self.calls[request.id] = call
        self.dispatch(call)

    def dispatch(self, call):
        """Choose a backend server for a request."""
        entry, request = self.entries[call.entry], call.request
        if entry.dead or call.ended_ms is not None:
            return
        now_ms = int(self.now_ms)
        model = request.max_tokens > 0
        route = RouteRequest(
            request.service,
            model=next(b.model for b in self.trace.header.backends if b.model)
            if model
            else "",
            priority=PRIORITIES[request.priority.value],
            deadline_ms=request.at_ms + request.deadline_ms,
            prefix_blocks=call.blocks if self.arm.cache_view else (),
            prompt_tokens=request.prompt_tokens + call.delivered,
            output_tokens=request.max_tokens - call.delivered,
            excluded=call.excluded,
            zone=entry.zone,
        )
        result = choose(entry.view, route, now_ms, entry.random, self.arm.routing)
        if result.is_error():
            call.excluded = frozenset()
            self.at(250, self.dispatch, call)
            return
        self.send(call, result.ok.backend_id)

    def send(self, call, name, handle=""):
        """Send a request."""
        entry = self.entries[call.entry]
        call.attempt += 1
        call.backend, call.kv_handle = name, handle
        call.computed = call.delivered > 0
        call.attempt_first_ms, call.resumed_from = None, call.delivered
        call.attempt_sent_ms = self.now_ms
        entry.view.on_started(name, call.request.id, int(self.now_ms))
        if call.blocks and self.arm.cache_view:
            entry.view.cache.on_used(name, call.blocks, int(self.now_ms))
        self.at(self.way_ms(call, name), self.receive, call, name, call.attempt)

    def way_ms(self, call, name):
        """Return the time of one way to a backend server."""
        backend = self.entries[call.entry].view.backends.get(name)
        near = backend is not None and backend.zone == self.entries[call.entry].zone
        return IN_ZONE_MS if near else NETWORK_MS

    def receive(self, call, name, attempt):
        """Take a request at a backend server."""
        if call.attempt != attempt or call.ended_ms is not None:
            return
        server = self.servers.get(name)
        if server is None or server.dead:
            self.at(NETWORK_MS, self.fail, call, name, attempt)
            return
        left = server.leaving_since_ms if hasattr(server, "leaving_since_ms") else None
        if left is not None and self.now_ms > left + 2_000:
            self.late_work += 1
        if server.engine is None:
            server.waiting.append((call, attempt))
            self.serve(server)
            return
        request = call.request
        self.advance(server)
        generation = Generation(
            request.id,
            call.prompt,
            request.max_tokens,
            attempt,
            PRIORITIES[request.priority.value],
            call.delivered,
            cache_seed(server.spec.model, server.spec.version),
            call.kv_handle,
        )
        if not server.engine.submit(generation, self.now_ms):
            self.at(NETWORK_MS, self.fail, call, name, attempt)
            return
        self.schedule_step(server)

    def serve(self, server):
        """Run waiting calls of a plain service."""
        while server.waiting and len(server.running) < server.slots:
            call, attempt = server.waiting.popleft()
            server.running[call.request.id] = call
            took_ms = 2.0 if call.request.method == "GET" else 5.0
            back_ms = self.way_ms(call, server.spec.id)
            self.at(took_ms + back_ms, self.served, server, call, attempt)

    def served(self, server, call, attempt):
        """End a call of a plain service."""
        if server.dead:
            return
        server.running.pop(call.request.id, None)
        self.serve(server)
        if call.attempt == attempt:
            self.finish(call, server.spec.id)

    def take_chunk(self, server, chunk):
        """Take tokens or the end of a generation."""
        call = self.calls[chunk.request_id]
        if chunk.finish is not None:
            if call.computed:
                self.recomputed += chunk.usage.recomputed_tokens
            total = chunk.usage.prompt_tokens + call.resumed_from
            self.computed += max(0, total - chunk.usage.cached_tokens)
            current = chunk.attempt == call.attempt
            if current and chunk.finish is FinishReason.LENGTH:
                self.finish(call, server.spec.id, chunk.usage)
            return
        if chunk.attempt != call.attempt or call.ended_ms is not None:
            return
        if call.attempt_first_ms is None:
            call.attempt_first_ms = self.now_ms
            if call.first_ms is None:
                call.first_ms = self.now_ms
        call.delivered = max(call.delivered, chunk.offset + chunk.tokens)

    def finish(self, call, name, usage=None):
        """Answer the caller."""
        call.ended_ms = self.now_ms
        entry = self.entries[call.entry]
        if entry.dead:
            return
        duration_ms = int(self.now_ms - call.attempt_sent_ms)
        completion = Completion(duration_ms)
        if usage is not None:
            first_ms = (call.attempt_first_ms or self.now_ms) - call.attempt_sent_ms
            total = usage.prompt_tokens + call.resumed_from
            completion = Completion(
                duration_ms,
                int(first_ms),
                max(0, total - usage.cached_tokens),
                usage.completion_tokens,
            )
        entry.view.on_ended(name, call.request.id, int(self.now_ms), completion)
        entry.moves.forget(call.request.id)

    def fail(self, call, name, attempt):
        """Take the failure of an attempt."""
        entry = self.entries[call.entry]
        if call.attempt != attempt or call.ended_ms is not None or entry.dead:
            return
        entry.view.on_failure(name, call.request.id, int(self.now_ms))
        entry.moves.forget(call.request.id)
        call.backend, call.excluded = "", call.excluded | {name}
        self.dispatch(call)

    # -- events, reclaims ----------------------------------------------------

    def happen(self, event):
        """Apply an event of the trace."""
        if isinstance(event, ReclaimNotice) and self.arm.reclaims:
            for name in event.backends:
                server = self.servers.get(name)
                if server is not None and server.spec.reclaimable:
                    self.notice(server, event)
        elif isinstance(event, StartsRefused) and self.arm.reclaims:
            self.refused_until_ms = self.now_ms + event.for_ms
        elif isinstance(event, PriceChange):
            key = (event.availability_zone, event.host_class)
            self.prices[key] = event.price_per_hour
        elif isinstance(event, EntryDeath):
            self.kill_entry(self.entries[event.entry])

    def kill_entry(self, entry):
        """Callers of the dead entry host come back over another one."""
        entry.dead = True
        for call in self.calls.values():
            if call.entry == entry.number and call.ended_ms is None:
                call.entry = (entry.number + 1) % len(self.entries)
                server = self.servers.get(call.backend)
                if server is not None and server.engine is not None:
                    server.engine.cancel(call.request.id)
                call.attempt += 1
                self.at(1_000, self.dispatch, call)

    def notice(self, server, event):
        """Tell of a reclaim."""
        name, gone_ms = server.spec.id, self.now_ms + event.notice_ms
        self.at(event.notice_ms, self.kill, server)
        if event.announced:
            server.leaving_at_ms = gone_ms
            server.leaving_since_ms = self.now_ms
            self.announce(server)
        zone = AvailabilityZone(server.spec.availability_zone)
        for capacity in self.capacity.values():
            capacity.on_reclaim(zone, int(self.now_ms))
        if event.from_cloud:
            for entry in self.entries:
                self.at(NOTICE_DELAY_MS, entry.view.on_notice, name, int(gone_ms))
            self.control.on_notice(name, int(gone_ms))

    def tick(self):
        """Expire and plan reclaims at each entry host."""
        for entry in self.entries:
            if not entry.dead:
                entry.view.expire(int(self.now_ms))
                self.reclaim(entry)
        self.at(500, self.tick)

    def reclaim(self, entry):
        """Plan the reclaims of an entry host."""
        now_ms = int(self.now_ms)
        by_time = {}
        for backend in entry.view.backends.values():
            if not backend.in_flight or not entry.view.is_leaving(backend):
                continue
            server = self.servers.get(backend.id)
            if server is None or server.engine is None or server.draining:
                continue
            at_ms = entry.view.notices.get(backend.id) or backend.stops_at_ms
            by_time.setdefault(at_ms, []).append(backend)
        for at_ms, backends in by_time.items():
            requests = [
                self.running(call, backend)
                for backend in backends
                for name in backend.in_flight
                if (call := self.calls[name]).backend == backend.id
            ]
            spec = self.servers[backends[0].id].spec
            tokens = [each.kv_tokens + each.left_tokens for each in requests]
            mean = sum(tokens) / len(tokens) if tokens else 0.0
            importers = find_importers(
                entry.view, spec.service, spec.model, spec.version, "", now_ms, mean
            )
            share = local_share(entry.view, [b.id for b in backends])
            entry.moves.limits = self.links.share(share)
            steps = entry.moves.step(
                requests, importers, at_ms, now_ms, self.arm.kv_moves
            )
            for step in steps:
                self.carry_out(entry, step)

    def running(self, call, backend):
        """Return a request as reclaims see it."""
        request = call.request
        return RunningRequest(
            request.id,
            backend.id,
            PRIORITIES[request.priority.value],
            serving_pb2.PATIENT,
            request.prompt_tokens,
            call.delivered if call.attempt_first_ms is not None else 0,
            request.max_tokens - call.delivered,
            backend.rates.token_ms,
            request.at_ms + request.deadline_ms,
        )

    def carry_out(self, entry, step):
        """Carry a step of a reclaim out."""
        call = self.calls[step.request_id]
        if isinstance(step, ExportKv):
            self.at(5, self.export, entry, call, step)
        elif isinstance(step, ImportKv):
            took_ms = self.links.migration_ms(entry.moves.moves[step.request_id].tokens)
            self.at(took_ms, self.import_kv, entry, step)
        else:
            source = call.backend
            server = self.servers.get(source)
            if server is not None:
                self.advance(server)
                if call.ended_ms is not None:
                    return
                chunk = server.engine.cancel(call.request.id)
                if chunk is not None:
                    self.take_chunk(server, chunk)
                self.schedule_step(server)
            entry.view.on_ended(source, call.request.id, int(self.now_ms))
            self.lose[type(step).__name__ + ":" + getattr(step, "reason", "")] += 1
            if isinstance(step, ResumeAt):
                self.send(call, step.importer, step.handle)
            elif isinstance(step, HandOver):
                call.excluded = frozenset([source])
                call.attempt += 1
                self.dispatch(call)

    def export(self, entry, call, step):
        """Export a KV cache."""
        server = self.servers.get(step.source)
        exported = server.engine.export_kv(call.request.id) if server else None
        if exported is None:
            entry.moves.on_failed(call.request.id)
            return
        now_ms = int(self.now_ms)
        entry.moves.on_exported(
            call.request.id, exported.handle, exported.tokens, now_ms
        )
        self.reclaim(entry)

    def import_kv(self, entry, step):
        """Import a KV cache."""
        source, target = self.servers.get(step.source), self.servers.get(step.importer)
        taken = None
        if source is not None and target is not None:
            taken = target.engine.import_kv(source.engine.exported[step.handle])
        if taken is None:
            entry.moves.on_failed(step.request_id)
        else:
            entry.moves.on_imported(step.request_id, taken.handle, int(self.now_ms))
        self.reclaim(entry)

    # -- capacity ------------------------------------------------------------

    def plan_capacity(self):
        """Plan the capacity of all services."""
        now_ms, step_ms = int(self.now_ms), 2_000
        if self.now_ms < self.end_ms:
            self.at(step_ms, self.plan_capacity)
        self.control.expire(now_ms)
        for name, service in self.services.items():
            held = self.held(name)
            for host in held:
                price = host.price_per_hour
                self.cost[name] += price * step_ms / 3_600_000
            load = sum(b.reported_requests for b in self.control.pool(name))
            self.demand[name].observe(load, now_ms)
            need = service_need(service, self.demand[name])
            plan = self.capacity[name].plan(
                need, held, self.offers(name), now_ms, self.arm.capacity
            )
            for step in plan.steps:
                self.change_capacity(name, step)

    def spec_of(self, service):
        """Return a backend server of a service."""
        return next(b for b in self.trace.header.backends if b.service == service)

    def price(self, key):
        """Return the present price of a host."""
        base = self.prices[key.zone, key.host_class]
        if key.market is Market.RECLAIMABLE:
            return base
        spec = next(b for b in self.trace.header.backends
                    if (b.availability_zone, b.host_class) == key[:2])  # fmt: skip
        return spec.price_per_hour * ON_DEMAND_FACTOR

    def offers(self, service):
        """Return the offers for a service."""
        spec = self.spec_of(service)
        keys = [
            OfferKey(AvailabilityZone(zone), spec.host_class, market)
            for zone in self.trace.header.availability_zones
            for market in Market
        ]
        return [Offer(key, self.price(key), SLOTS[spec.type]) for key in keys]

    def held(self, service):
        """Return the held hosts of a service."""
        found = []
        for name, server in self.servers.items():
            spec = server.spec
            if spec.service != service:
                continue
            key = OfferKey(
                AvailabilityZone(spec.availability_zone),
                spec.host_class,
                self.market[name],
            )
            backend = self.control.backends.get(name)
            running = 0 if backend is None else backend.reported_requests
            state = HostState.DRAINING if server.draining else HostState.READY
            leaving = server.leaving_at_ms is not None and not server.draining
            found.append(HeldHost(name, key, state, server.ready_at_ms,
                                  self.price(key), server.slots, running,
                                  leaving))  # fmt: skip
        for name, (key, since_ms, of) in self.starting.items():
            if of == service:
                found.append(HeldHost(name, key, HostState.STARTING, since_ms,
                                      self.price(key),
                                      SLOTS[self.spec_of(of).type]))  # fmt: skip
        return found

    def change_capacity(self, service, step):
        """Carry a step of a plan out."""
        now_ms = int(self.now_ms)
        if isinstance(step, StartHost):
            refusals = self.capacity[service].refusals
            if self.now_ms < self.refused_until_ms:
                refusals.on_refused(step.key, now_ms, self.random)
                return
            refusals.on_started(step.key)
            self.started += 1
            name = f"{service}-new-{self.started}"
            self.starting[name] = (step.key, now_ms, service)
            self.at(START_MS, self.become_ready, name)
        elif isinstance(step, DrainHost):
            server = self.servers.get(step.id)
            if server is not None:
                server.draining = True
                for entry in self.entries:
                    entry.view.on_notice(step.id, now_ms + 3_600_000)
        elif isinstance(step, StopHost):
            self.starting.pop(step.id, None)
            server = self.servers.get(step.id)
            busy = server is not None and (
                server.running
                or server.waiting
                or (server.engine and (server.engine.batch.running
                                       or server.engine.batch.waiting))
            )  # fmt: skip
            if server is not None and not busy:
                self.kill(server)

    def become_ready(self, name):
        """End the start of a host."""
        found = self.starting.pop(name, None)
        if found is None:
            return
        key, _, service = found
        spec = replace(
            self.spec_of(service),
            id=name,
            availability_zone=key.zone,
            reclaimable=key.market is Market.RECLAIMABLE,
            price_per_hour=self.price(key),
        )
        self.add_server(spec)
