"""Simulates a trace with the real decision functions, on a simulated clock.

Engines are the stand-in engine's model without I/O; plain services are queues. Each
entry host has its own view of the backend servers, and control plans the capacity every
2 s. Simulated time replaces waiting, so that a trace of minutes takes seconds.
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
    hash_text_blocks,
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
"""Price of an on-demand host divided by that of a reclaimable one."""

START_MS = 40_000
"""Time from the start of a host until its backend server is ready."""

HEARTBEAT_MS = 1_000
NETWORK_MS = 1.0
"""One-way network delay between availability zones."""

IN_ZONE_MS = 0.2
"""One-way network delay within an availability zone."""

NOTICE_DELAY_MS = 300
"""Time until a notice of the cloud API reaches the entry hosts."""

SLOTS = {BackendType.ENGINE: 32, BackendType.SERVICE: 64}
"""Requests that a backend server runs at once, by its type."""

PRIORITIES = {
    "urgent": serving_pb2.URGENT,
    "normal": serving_pb2.NORMAL,
    "low": serving_pb2.LOW,
}


@dataclass(frozen=True)
class Arm:
    """Policies of one arm of a comparison."""

    name: str = "all"
    """Name in the results."""
    routing: settings_pb2.RoutingPolicy.ValueType = settings_pb2.PREFIX_AND_LOAD
    cache_view: bool = True
    """Whether entry hosts know and use the engines' cached prefixes."""
    kv_moves: bool = True
    """Whether runs may migrate with their KV cache."""
    capacity_policy: settings_pb2.CapacityPolicy.ValueType | None = (
        settings_pb2.LOWEST_COST
    )
    """Policy of capacity planning; None keeps the hosts of the trace."""
    reclaims: bool = True
    """False ignores the trace's reclaim notices and refused starts."""


@dataclass
class Call:
    """State of one request of the trace; times are on the simulated clock."""

    request: object
    """Request of the trace."""
    entry_number: int
    """Number of the entry host that handles the request."""
    prompt: str = ""
    """Prompt of a generation; empty for a plain request."""
    blocks: list = field(default_factory=list)
    """Block hashes of the prompt; empty for a plain request."""
    attempt: int = 0
    """Number of the current attempt; 0 before the first."""
    backend_id: str = ""
    """Id of the backend server of the current attempt; empty without one."""
    arrived_ms: float = 0.0
    """Time at which the request arrived at its entry host."""
    first_ms: float | None = None
    """Time of the first tokens; None before them and for plain requests."""
    attempt_first_ms: float | None = None
    """Time of the current attempt's first tokens; None before them."""
    resumed_from: int = 0
    """Tokens that were delivered before the current attempt."""
    delivered_tokens: int = 0
    """Tokens that were delivered by all attempts."""
    ended_ms: float | None = None
    """Time of the complete response; None before it."""
    excluded: frozenset = frozenset()
    """Ids of the backend servers that the next attempt avoids."""
    kv_handle: str = ""
    """Handle of the imported KV cache to resume from; empty without one."""
    recomputes: bool = False
    """Whether the current attempt computes delivered tokens again."""


class BackendServer:
    """A backend server: an engine model or, for a plain service, a queue.

    Args:
        sim: Simulation that the server belongs to.
        spec: Backend server as the trace describes it.
        now_ms: Time at which it starts.
    """

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
                cache_event_loss=0.1 if sim.lossy_cache_events else 0.0,
                cache_event_delay_ms=30_000.0 if sim.lossy_cache_events else 200.0,
                seed=sim.seed,
            )
            self.engine = EngineModel(config)

    def announcement(self, now_ms, cache_after):
        """Return the next announcement, with cache events after a sequence number."""
        self.sequence += 1
        if self.engine is not None:
            self.engine.leaving_at_ms = self.leaving_at_ms
            message = self.engine.announcement("127.0.0.1:1", cache_after, now_ms)
        else:
            spec = self.spec
            message = serving_pb2.Announcement(
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
        if self.spec.id == self.sim.frozen_load_id:
            full = serving_pb2.LoadReport(running=32, waiting=30, read_at_ms=1)
            message.load.CopyFrom(full)
        message.address = self.sim.address_of(self.spec.id)
        message.incarnation, message.sequence = self.incarnation, self.sequence
        message.heartbeat_ms = HEARTBEAT_MS
        return message


class EntryHost:
    """An entry host with its view of the backend servers.

    Args:
        number: Number of the entry host, from 0.
        sim: Simulation that it belongs to.
    """

    def __init__(self, number, sim):
        self.number, self.dead = number, False
        self.view = make_backend_view()
        self.random = Random(f"{sim.seed}/{number}")
        self.migrations = make_reclaim_migrations(sim.link_limits)
        # Sequence number of the last cache event applied, by backend server.
        self.acknowledged = {}
        zones = sim.trace.header.availability_zones
        self.zone = AvailabilityZone(zones[number % len(zones)])


class Simulation:
    """One run of a trace under one arm.

    Args:
        trace: Trace to simulate.
        arm: Policies of the run.
        seed: Seed of all random choices.
        until_ms: Time after which no request of the trace arrives; None for the whole
            trace.
        kv_tokens: KV cache capacity of an engine.
        link_tokens_per_s: KV tokens per second that a link migrates.
        lossy_cache_events: Whether engines report cache events 30 s late and lose one
            in ten.
        services: Settings by service whose capacity is planned; None for no service.
        step_ms: Time of an engine's decoding step.
        load_lag_ms: Age of the load in an engine's announcements.
        frozen_load_id: Id of a backend server that always reports the same high load;
            empty for none.
    """

    def __init__(
        self,
        trace,
        arm,
        seed=0,
        until_ms=None,
        kv_tokens=131_072,
        link_tokens_per_s=50_000.0,
        lossy_cache_events=False,
        services=None,
        step_ms=50.0,
        load_lag_ms=500.0,
        frozen_load_id="",
    ):
        self.trace, self.arm, self.seed, self.lossy_cache_events = (
            trace,
            arm,
            seed,
            lossy_cache_events,
        )
        self.kv_tokens, self.random = kv_tokens, Random(seed)
        self.step_ms, self.load_lag_ms, self.frozen_load_id = (
            step_ms,
            load_lag_ms,
            frozen_load_id,
        )
        self.link_limits = LinkLimits(tokens_per_s=link_tokens_per_s)
        self.end_ms = until_ms or trace.header.duration_ms
        self.now_ms, self.event_queue, self.event_count = 0.0, [], 0
        self.addresses, self.servers, self.calls = {}, {}, {}
        self.entries = [EntryHost(i, self) for i in range(trace.header.entry_hosts)]
        self.control_view = make_backend_view()
        # Cost by service, and tokens computed again after a failure or a reclaim.
        self.cost, self.recomputed_tokens = Counter(), 0
        # Attempts that arrive over 2 s after their server announced its reclaim, and
        # prompt tokens that no cache held.
        self.late_attempts, self.computed_tokens = 0, 0
        # Reclaimable price per hour by availability zone and host class.
        self.prices = {}
        self.starts_refused_until_ms, self.started_hosts = 0.0, 0
        self.services = services or {}
        self.capacity_planners = {name: CapacityPlanner() for name in self.services}
        self.demand = {n: Demand(s.capacity.scale_in_after_ms or 60_000)
                       for n, s in self.services.items()}  # fmt: skip
        # Market by host, and offer key, start time and service of starting hosts.
        self.markets, self.starting = {}, {}
        for spec in trace.header.backends:
            self.prices[spec.availability_zone, spec.host_class] = spec.price_per_hour
        # Final reclaim steps by class and reason.
        self.reclaim_step_counts = Counter()

    # -- clock ---------------------------------------------------------------

    def schedule(self, delay_ms, action, *args):
        """Call an action after a simulated delay."""
        self.event_count += 1
        heapq.heappush(
            self.event_queue, (self.now_ms + delay_ms, self.event_count, action, args)
        )

    def run(self):
        """Run until all requests are answered, at most 600 s past the end."""
        header = self.trace.header
        on_demand_only = self.arm.capacity_policy == settings_pb2.ON_DEMAND_ONLY
        for spec in header.backends:
            if on_demand_only:
                price = spec.price_per_hour * ON_DEMAND_FACTOR
                spec = replace(spec, reclaimable=False, price_per_hour=price)
            self.add_server(spec)
        for number, request in enumerate(self.trace.requests):
            if request.at_ms < self.end_ms:
                self.schedule(request.at_ms, self.arrive, request, number)
        for event in self.trace.events:
            self.schedule(event.at_ms, self.apply_event, event)
        self.schedule(0, self.tick)
        if self.arm.capacity_policy is not None:
            self.schedule(2_000, self.plan_capacity)
        hard_end_ms = self.end_ms + 600_000
        while self.event_queue and self.event_queue[0][0] <= hard_end_ms:
            self.now_ms, _, action, args = heapq.heappop(self.event_queue)
            action(*args)
            if self.now_ms > self.end_ms and all(
                call.ended_ms is not None for call in self.calls.values()
            ):
                break
        return self

    # -- backend servers -----------------------------------------------------

    def address_of(self, backend_id):
        """Return the address and port of a backend server, the same for each id."""
        number = self.addresses.setdefault(backend_id, len(self.addresses) + 1)
        return f"10.0.{number // 200}.{number % 200 + 1}:9000"

    def add_server(self, spec):
        """Start a backend server and its announcements."""
        server = BackendServer(self, spec, int(self.now_ms))
        self.servers[spec.id] = server
        market = Market.RECLAIMABLE if spec.reclaimable else Market.ON_DEMAND
        self.markets[spec.id] = market
        self.heartbeat(server)

    def heartbeat(self, server):
        """Announce now and at each heartbeat until the server stops."""
        if server.dead:
            return
        self.announce(server)
        self.schedule(HEARTBEAT_MS, self.heartbeat, server)

    def announce(self, server):
        """Announce to all entry hosts and control."""
        if server.engine is not None:
            self.advance(server)
        now_ms = int(self.now_ms)
        backend_id = server.spec.id
        announcements = {}
        for entry in self.entries:
            if entry.dead:
                continue
            cache_after = entry.acknowledged.get(backend_id, 0)
            if not self.arm.cache_view:
                cache_after = 10**9  # Above all sequence numbers: no events are sent.
            if cache_after not in announcements:
                announcements[cache_after] = server.announcement(now_ms, cache_after)
            result = entry.view.on_announcement(announcements[cache_after], now_ms)
            entry.acknowledged[backend_id] = result.ok.cache_sequence
        self.control_view.on_announcement(next(iter(announcements.values())), now_ms)

    def kill(self, server):
        """Stop a backend server at once; its running requests fail."""
        if server.dead:
            return
        if server.engine is not None:
            self.advance(server)
            batch = server.engine.batch
            for sequence in (*batch.running, *batch.waiting):
                if self.calls[sequence.generation.request_id].recomputes:
                    self.recomputed_tokens += sequence.recomputed_tokens
        server.dead = True
        self.servers.pop(server.spec.id, None)
        for call in list(self.calls.values()):
            if call.backend_id != server.spec.id or call.ended_ms is not None:
                continue
            self.schedule(NETWORK_MS, self.fail, call, server.spec.id, call.attempt)

    def advance(self, server):
        """Run an engine's steps up to the current time and apply their chunks."""
        for chunk in server.engine.advance(self.now_ms):
            self.apply_chunk(server, chunk)

    def schedule_step(self, server):
        """Schedule the end of an engine's current step."""
        ends_ms = server.engine.step_ends_at_ms
        if ends_ms is not None and not server.dead:
            self.schedule(
                max(0.0, ends_ms - self.now_ms), self.finish_step, server, ends_ms
            )

    def finish_step(self, server, due_ms):
        """End a step of an engine, unless its current step ends at another time."""
        if server.dead or server.engine.step_ends_at_ms != due_ms:
            return
        self.advance(server)
        self.schedule_step(server)

    # -- requests ------------------------------------------------------------

    def arrive(self, request, number):
        """Admit a request of the trace at a live entry host."""
        alive = [entry for entry in self.entries if not entry.dead]
        entry = alive[number % len(alive)]
        call = Call(request, entry.number, arrived_ms=self.now_ms)
        if request.max_tokens:
            names = [f"{r.name}-{i}" for r in request.prefix for i in range(r.blocks)]
            characters = request.prompt_tokens * CHARACTERS_PER_TOKEN
            call.prompt = build_prompt(names, characters, request.id)
            spec = next(b for b in self.trace.header.backends if b.model)
            seed = cache_seed(spec.model, spec.version)
            call.blocks = hash_text_blocks(call.prompt, seed)
            assert len(names) * BLOCK_CHARACTERS <= characters
        self.calls[request.id] = call
        self.dispatch(call)

    def dispatch(self, call):
        """Choose a backend server and send the request; try again in 250 ms if none."""
        entry, request = self.entries[call.entry_number], call.request
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
            prompt_tokens=request.prompt_tokens + call.delivered_tokens,
            output_tokens=request.max_tokens - call.delivered_tokens,
            excluded=call.excluded,
            zone=entry.zone,
        )
        result = choose(entry.view, route, now_ms, entry.random, self.arm.routing)
        if result.is_error():
            call.excluded = frozenset()
            self.schedule(250, self.dispatch, call)
            return
        self.send(call, result.ok.backend_id)

    def send(self, call, backend_id, handle=""):
        """Start an attempt.

        Args:
            call: Request to send.
            backend_id: Id of the backend server.
            handle: Handle of an imported KV cache to resume from; empty without one.
        """
        entry = self.entries[call.entry_number]
        call.attempt += 1
        call.backend_id, call.kv_handle = backend_id, handle
        call.recomputes = call.delivered_tokens > 0
        call.attempt_first_ms, call.resumed_from = None, call.delivered_tokens
        call.attempt_sent_ms = self.now_ms
        entry.view.on_started(backend_id, call.request.id, int(self.now_ms))
        if call.blocks and self.arm.cache_view:
            entry.view.cache.on_used(backend_id, call.blocks, int(self.now_ms))
        self.schedule(
            self.one_way_ms(call, backend_id),
            self.receive,
            call,
            backend_id,
            call.attempt,
        )

    def one_way_ms(self, call, backend_id):
        """Return the one-way network delay to a backend server."""
        backend = self.entries[call.entry_number].view.backends.get(backend_id)
        same_zone = (
            backend is not None and backend.zone == self.entries[call.entry_number].zone
        )
        return IN_ZONE_MS if same_zone else NETWORK_MS

    def receive(self, call, backend_id, attempt):
        """Start a request at its backend server, or fail the attempt."""
        if call.attempt != attempt or call.ended_ms is not None:
            return
        server = self.servers.get(backend_id)
        if server is None or server.dead:
            self.schedule(NETWORK_MS, self.fail, call, backend_id, attempt)
            return
        since_ms = (
            server.leaving_since_ms if hasattr(server, "leaving_since_ms") else None
        )
        if since_ms is not None and self.now_ms > since_ms + 2_000:
            self.late_attempts += 1
        if server.engine is None:
            server.waiting.append((call, attempt))
            self.start_waiting(server)
            return
        request = call.request
        self.advance(server)
        generation = Generation(
            request.id,
            call.prompt,
            request.max_tokens,
            attempt,
            PRIORITIES[request.priority.value],
            call.delivered_tokens,
            cache_seed(server.spec.model, server.spec.version),
            call.kv_handle,
        )
        if not server.engine.submit(generation, self.now_ms):
            self.schedule(NETWORK_MS, self.fail, call, backend_id, attempt)
            return
        self.schedule_step(server)

    def start_waiting(self, server):
        """Start waiting requests of a plain service in its free slots."""
        while server.waiting and len(server.running) < server.slots:
            call, attempt = server.waiting.popleft()
            server.running[call.request.id] = call
            service_ms = 2.0 if call.request.method == "GET" else 5.0
            return_ms = self.one_way_ms(call, server.spec.id)
            self.schedule(
                service_ms + return_ms, self.finish_plain, server, call, attempt
            )

    def finish_plain(self, server, call, attempt):
        """End a request at a plain service and start the next one."""
        if server.dead:
            return
        server.running.pop(call.request.id, None)
        self.start_waiting(server)
        if call.attempt == attempt:
            self.finish(call, server.spec.id)

    def apply_chunk(self, server, chunk):
        """Apply a chunk of tokens or the end of a generation."""
        call = self.calls[chunk.request_id]
        if chunk.finish is not None:
            if call.recomputes:
                self.recomputed_tokens += chunk.usage.recomputed_tokens
            total = chunk.usage.prompt_tokens + call.resumed_from
            self.computed_tokens += max(0, total - chunk.usage.cached_tokens)
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
        call.delivered_tokens = max(call.delivered_tokens, chunk.offset + chunk.tokens)

    def finish(self, call, backend_id, usage=None):
        """Record the complete response and its times.

        Args:
            call: Answered request.
            backend_id: Id of the backend server.
            usage: Token counts of a generation; None for a plain request.
        """
        call.ended_ms = self.now_ms
        entry = self.entries[call.entry_number]
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
        entry.view.on_ended(backend_id, call.request.id, int(self.now_ms), completion)
        entry.migrations.forget(call.request.id)

    def fail(self, call, backend_id, attempt):
        """Record a failed attempt and dispatch the request to another server."""
        entry = self.entries[call.entry_number]
        if call.attempt != attempt or call.ended_ms is not None or entry.dead:
            return
        entry.view.on_failure(backend_id, call.request.id, int(self.now_ms))
        entry.migrations.forget(call.request.id)
        call.backend_id, call.excluded = "", call.excluded | {backend_id}
        self.dispatch(call)

    # -- trace events and reclaims -------------------------------------------

    def apply_event(self, event):
        """Apply an event of the trace, as far as the arm allows."""
        if isinstance(event, ReclaimNotice) and self.arm.reclaims:
            for backend_id in event.backends:
                server = self.servers.get(backend_id)
                if server is not None and server.spec.reclaimable:
                    self.apply_reclaim_notice(server, event)
        elif isinstance(event, StartsRefused) and self.arm.reclaims:
            self.starts_refused_until_ms = self.now_ms + event.for_ms
        elif isinstance(event, PriceChange):
            key = (event.availability_zone, event.host_class)
            self.prices[key] = event.price_per_hour
        elif isinstance(event, EntryDeath):
            self.kill_entry(self.entries[event.entry])

    def kill_entry(self, entry):
        """Kill an entry host; its callers retry at the next one after 1 s."""
        entry.dead = True
        for call in self.calls.values():
            if call.entry_number == entry.number and call.ended_ms is None:
                call.entry_number = (entry.number + 1) % len(self.entries)
                server = self.servers.get(call.backend_id)
                if server is not None and server.engine is not None:
                    server.engine.cancel(call.request.id)
                call.attempt += 1
                self.schedule(1_000, self.dispatch, call)

    def apply_reclaim_notice(self, server, event):
        """Schedule a reclaim and deliver its notices."""
        backend_id, stops_ms = server.spec.id, self.now_ms + event.notice_ms
        self.schedule(event.notice_ms, self.kill, server)
        if event.announced:
            server.leaving_at_ms = stops_ms
            server.leaving_since_ms = self.now_ms
            self.announce(server)
        zone = AvailabilityZone(server.spec.availability_zone)
        for capacity in self.capacity_planners.values():
            capacity.on_reclaim(zone, int(self.now_ms))
        if event.from_cloud:
            for entry in self.entries:
                self.schedule(
                    NOTICE_DELAY_MS, entry.view.on_notice, backend_id, int(stops_ms)
                )
            self.control_view.on_notice(backend_id, int(stops_ms))

    def tick(self):
        """Expire backend servers and plan reclaims at each live entry host."""
        for entry in self.entries:
            if not entry.dead:
                entry.view.expire(int(self.now_ms))
                self.plan_reclaims(entry)
        self.schedule(500, self.tick)

    def plan_reclaims(self, entry):
        """Plan and apply the next steps for an entry host's runs on leaving engines."""
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
                self.running_request(call, backend)
                for backend in backends
                for name in backend.in_flight
                if (call := self.calls[name]).backend_id == backend.id
            ]
            spec = self.servers[backends[0].id].spec
            tokens = [each.kv_tokens + each.left_tokens for each in requests]
            mean = sum(tokens) / len(tokens) if tokens else 0.0
            importers = find_importers(
                entry.view, spec.service, spec.model, spec.version, "", now_ms, mean
            )
            fraction = local_share(entry.view, [b.id for b in backends])
            entry.migrations.limits = self.link_limits.share(fraction)
            steps = entry.migrations.step(
                requests, importers, at_ms, now_ms, self.arm.kv_moves
            )
            for step in steps:
                self.apply_reclaim_step(entry, step)

    def running_request(self, call, backend):
        """Return a running request as the reclaim planner expects it."""
        request = call.request
        return RunningRequest(
            request.id,
            backend.id,
            PRIORITIES[request.priority.value],
            serving_pb2.PATIENT,
            request.prompt_tokens,
            call.delivered_tokens if call.attempt_first_ms is not None else 0,
            request.max_tokens - call.delivered_tokens,
            backend.rates.token_ms,
            request.at_ms + request.deadline_ms,
        )

    def apply_reclaim_step(self, entry, step):
        """Apply a step of a reclaim plan to its request."""
        call = self.calls[step.request_id]
        if isinstance(step, ExportKv):
            self.schedule(5, self.export_kv, entry, call, step)
        elif isinstance(step, ImportKv):
            transfer_ms = self.link_limits.migration_ms(
                entry.migrations.moves[step.request_id].tokens
            )
            self.schedule(transfer_ms, self.import_kv, entry, step)
        else:
            source = call.backend_id
            server = self.servers.get(source)
            if server is not None:
                self.advance(server)
                if call.ended_ms is not None:
                    return
                chunk = server.engine.cancel(call.request.id)
                if chunk is not None:
                    self.apply_chunk(server, chunk)
                self.schedule_step(server)
            entry.view.on_ended(source, call.request.id, int(self.now_ms))
            self.reclaim_step_counts[
                type(step).__name__ + ":" + getattr(step, "reason", "")
            ] += 1
            if isinstance(step, ResumeAt):
                self.send(call, step.importer, step.handle)
            elif isinstance(step, HandOver):
                call.excluded = frozenset([source])
                call.attempt += 1
                self.dispatch(call)

    def export_kv(self, entry, call, step):
        """Export the KV cache of a run, or report the failed migration."""
        server = self.servers.get(step.source)
        exported = server.engine.export_kv(call.request.id) if server else None
        if exported is None:
            entry.migrations.on_failed(call.request.id)
            return
        now_ms = int(self.now_ms)
        entry.migrations.on_exported(
            call.request.id, exported.handle, exported.tokens, now_ms
        )
        self.plan_reclaims(entry)

    def import_kv(self, entry, step):
        """Import an exported KV cache, or report the failed migration."""
        source, target = self.servers.get(step.source), self.servers.get(step.importer)
        imported = None
        if source is not None and target is not None:
            imported = target.engine.import_kv(source.engine.exported[step.handle])
        if imported is None:
            entry.migrations.on_failed(step.request_id)
        else:
            entry.migrations.on_imported(
                step.request_id, imported.handle, int(self.now_ms)
            )
        self.plan_reclaims(entry)

    # -- capacity ------------------------------------------------------------

    def plan_capacity(self):
        """Charge the held hosts and plan the capacity of all services, every 2 s."""
        now_ms, period_ms = int(self.now_ms), 2_000
        if self.now_ms < self.end_ms:
            self.schedule(period_ms, self.plan_capacity)
        self.control_view.expire(now_ms)
        for name, service in self.services.items():
            hosts = self.held_hosts(name)
            for host in hosts:
                price = host.price_per_hour
                self.cost[name] += price * period_ms / 3_600_000
            load = sum(b.reported_requests for b in self.control_view.pool(name))
            self.demand[name].observe(load, now_ms)
            need = service_need(service, self.demand[name])
            plan = self.capacity_planners[name].plan(
                need, hosts, self.offers(name), now_ms, self.arm.capacity_policy
            )
            for step in plan.steps:
                self.apply_capacity_step(name, step)

    def spec_of(self, service):
        """Return the first backend server of a service in the trace."""
        return next(b for b in self.trace.header.backends if b.service == service)

    def price(self, key):
        """Return the current price per hour of a host."""
        base = self.prices[key.zone, key.host_class]
        if key.market is Market.RECLAIMABLE:
            return base
        spec = next(b for b in self.trace.header.backends
                    if (b.availability_zone, b.host_class) == key[:2])  # fmt: skip
        return spec.price_per_hour * ON_DEMAND_FACTOR

    def offers(self, service):
        """Return the offers for a service in all availability zones and markets."""
        spec = self.spec_of(service)
        keys = [
            OfferKey(AvailabilityZone(zone), spec.host_class, market)
            for zone in self.trace.header.availability_zones
            for market in Market
        ]
        return [Offer(key, self.price(key), SLOTS[spec.type]) for key in keys]

    def held_hosts(self, service):
        """Return the running and starting hosts of a service."""
        hosts = []
        for name, server in self.servers.items():
            spec = server.spec
            if spec.service != service:
                continue
            key = OfferKey(
                AvailabilityZone(spec.availability_zone),
                spec.host_class,
                self.markets[name],
            )
            backend = self.control_view.backends.get(name)
            running = 0 if backend is None else backend.reported_requests
            state = HostState.DRAINING if server.draining else HostState.READY
            leaving = server.leaving_at_ms is not None and not server.draining
            hosts.append(HeldHost(name, key, state, server.ready_at_ms,
                                  self.price(key), server.slots, running,
                                  leaving))  # fmt: skip
        for name, (key, since_ms, service_name) in self.starting.items():
            if service_name == service:
                hosts.append(HeldHost(name, key, HostState.STARTING, since_ms,
                                      self.price(key), SLOTS[
                                          self.spec_of(service_name).type
                                      ]))  # fmt: skip
        return hosts

    def apply_capacity_step(self, service, step):
        """Apply a step of a capacity plan: start, drain or stop a host."""
        now_ms = int(self.now_ms)
        if isinstance(step, StartHost):
            refusals = self.capacity_planners[service].refusals
            if self.now_ms < self.starts_refused_until_ms:
                refusals.on_refused(step.key, now_ms, self.random)
                return
            refusals.on_started(step.key)
            self.started_hosts += 1
            backend_id = f"{service}-new-{self.started_hosts}"
            self.starting[backend_id] = (step.key, now_ms, service)
            self.schedule(START_MS, self.become_ready, backend_id)
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

    def become_ready(self, backend_id):
        """Start the backend server of a new host, unless the host was stopped."""
        started = self.starting.pop(backend_id, None)
        if started is None:
            return
        key, _, service = started
        spec = replace(
            self.spec_of(service),
            id=backend_id,
            availability_zone=key.zone,
            reclaimable=key.market is Market.RECLAIMABLE,
            price_per_hour=self.price(key),
        )
        self.add_server(spec)
