"""Steps of capacity.feature."""

from __future__ import annotations

from collections import Counter
from random import Random

from behave import given, then, when
from expression import Error, Ok

from tanagerturn.control.cloud import CloudHost, CloudOffer
from tanagerturn.control.host_manager import BackendLoad, HostManager
from tanagerturn.coordination.errors import UnavailableError
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.local import LocalStateClient
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import settings_pb2
from tanagerturn.standins.cloud.messages import HostState, Offer, StartRequest
from tanagerturn.standins.cloud.model import CloudConfig, CloudModel, Refusal

STEP_MS = 5_000
MINUTE_MS = 60_000
LIST_LAG_MS = 12_000
"""Milliseconds after which the cloud lists a host that is ready."""
ZONES = "abcd"


class CrashError(Exception):
    """The lease holder crashed at a call."""


class FakeCloud:
    """Model of the stand-in cloud that loses some responses and lists hosts late."""

    def __init__(self, world):
        offers = [Offer(zone, "std", True, 1.0) for zone in ZONES]
        offers += [Offer(zone, "std", False, 2.5) for zone in ZONES]
        self.world = world
        self.model = CloudModel(CloudConfig(offers=tuple(offers), start_ms=8_000))
        self.start_requests = Counter()
        self.refuse_reclaimable = False
        self.lose_every = 3
        self.releases = []

    def offers(self):
        """Return the offers."""
        self.world.count_call()
        return Ok([CloudOffer(**vars(offer)) for offer in self.model.offers])

    def hosts(self):
        """Return the hosts that the cloud lists."""
        self.world.count_call()
        self.model.advance(self.world.now_ms)
        shown_until = self.world.now_ms - LIST_LAG_MS
        listed = [h for h in self.model.hosts.values() if h.ready_at_ms <= shown_until]
        return Ok([self._host(host) for host in listed])

    def _host(self, host):
        request = host.request
        return CloudHost(
            host.id,
            request.request_id,
            request.availability_zone,
            request.host_class,
            request.reclaimable,
            request.service,
            host.state.value,
            self.model.price(request),
        )

    def start(self, request):
        """Start a host; the response may be lost."""
        self.world.count_call()
        key = (request.availability_zone, request.reclaimable)
        self.start_requests[key] += 1
        if self.refuse_reclaimable and request.reclaimable:
            return Ok(False)
        wanted = StartRequest(
            request.request_id,
            request.availability_zone,
            request.host_class,
            request.reclaimable,
            request.service,
        )
        started = self.model.start(wanted, self.world.now_ms)
        self.world.count_call()
        if sum(self.start_requests.values()) % self.lose_every == 0:
            return Error(UnavailableError("start host", "cloud", "lost"))
        return Ok(not isinstance(started, Refusal))

    def release_host(self, host_id):
        """Release a host; note whether it was drained."""
        self.world.count_call()
        self.releases.append((host_id, host_id in self.world.drained_hosts))
        return Ok(self.model.stop(host_id, self.world.now_ms))

    def held(self):
        """Return the hosts that start or run."""
        states = (HostState.STARTING, HostState.RUNNING)
        return [host for host in self.model.hosts.values() if host.state in states]


class FakeLease:
    """Control lease that is held in the store until `end`."""

    def __init__(self, client, holder):
        acquire = pb.LeaseAcquire(name="control", holder=holder, duration_ms=1000)
        command = pb.Command(lease_acquire=acquire)
        done = client.propose(CONTROL_GROUP, command, 1.0)
        self.fencing_number = done.ok.lease.fencing_number
        self.client = client

    def is_held(self):
        """Return True."""
        return True

    def fence(self):
        """Return the condition that fences a transaction by this holding."""
        return pb.Fence(lease="control", fencing_number=self.fencing_number)

    def end(self):
        """Release the lease."""
        release = pb.LeaseRelease(name="control", fencing_number=self.fencing_number)
        self.client.propose(CONTROL_GROUP, pb.Command(lease_release=release), 1.0)


class CountingClient(LocalStateClient):
    """Store whose transactions count as calls at which the holder may crash."""

    def __init__(self, world):
        super().__init__()
        self.world = world

    def propose(self, group, command, timeout_s):
        """Apply a command; the holder may crash before or after a transaction."""
        if command.HasField("transaction"):
            self.world.count_call()
        done = super().propose(group, command, timeout_s)
        if command.HasField("transaction"):
            self.world.count_call()
        return done


class World:
    """One service, its hosts and the current lease holder."""

    def __init__(self, low, high, manager_type=HostManager):
        self.now_ms = 10_000_000
        self.calls = 0
        self.crash_at_call = 0
        self.load = 0.0
        self.drained_hosts = set()
        self.cloud = FakeCloud(self)
        self.client = CountingClient(self)
        self.manager_type = manager_type
        service = settings_pb2.Service(
            name="desk",
            type=settings_pb2.PLAIN,
            priority=2,
            capacity=settings_pb2.CapacityBounds(
                min_hosts=low, max_hosts=high, max_on_demand=2, scale_in_after_ms=60_000
            ),
        )
        self.settings = settings_pb2.DeploymentSettings(services=[service])
        self.take_over("c1")

    def take_over(self, holder):
        """Start a new lease holder."""
        self.lease = FakeLease(self.client, holder)
        self.manager = self.manager_type(
            self.client, self.lease, self.cloud, self.record_drain, Random(1)
        )

    def record_drain(self, host, at_ms):
        """Record a drain."""
        self.drained_hosts.add(host)
        return True

    def count_call(self):
        """Count a call; crash the holder if it is the call `crash_at_call`."""
        self.calls += 1
        if self.calls == self.crash_at_call:
            raise CrashError

    def step(self):
        """Let the holder plan once, with the load divided among the undrained hosts."""
        running = [h for h in self.cloud.held() if h.state is HostState.RUNNING]
        accepting_hosts = [h for h in running if h.id not in self.drained_hosts]
        load_per_host = self.load / max(1, len(accepting_hosts))
        backends = {
            host.id: BackendLoad(
                ("desk",), 8, 0.0 if host.id in self.drained_hosts else load_per_host
            )
            for host in running
        }
        self.manager.reconcile(self.settings, backends, self.drained_hosts, self.now_ms)

    def run(self, minutes):
        """Run the holder for a number of minutes."""
        for _ in range(int(minutes * MINUTE_MS / STEP_MS)):
            self.step()
            self.now_ms += STEP_MS


@given("a service of {low:d} to {high:d} hosts and a cloud of 4 zones")
def make_world(context, low, high):
    context.bounds = (low, high)
    context.world = World(low, high)


@given("{count:d} running hosts without a start request")
def add_unrequested_hosts(context, count):
    world = context.world
    for number in range(count):
        request = StartRequest("", ZONES[number % 4], "std", True, "desk")
        world.cloud.model.add_running(f"old-{number}", request, 0.0)


@when("the load is {load:d} for {minutes:d} minutes")
def run_load(context, load, minutes):
    context.world.load = float(load)
    context.world.run(minutes)


@when("reclaimable starts are refused and the load is {load:d} for {minutes:d} minutes")
def run_refused(context, load, minutes):
    context.world.cloud.refuse_reclaimable = True
    run_load(context, load, minutes)


def zones(world):
    return {host.request.availability_zone for host in world.cloud.held()}


@then("{count:d} hosts in {zone_count:d} zones are held")
def check_held(context, count, zone_count):
    world = context.world
    assert len(world.cloud.held()) == count, world.cloud.held()
    assert len(zones(world)) == zone_count, zones(world)


@then("{low:d} to {high:d} hosts are held, in at least {zone_count:d} zones")
def check_held_range(context, low, high, zone_count):
    world = context.world
    assert low <= len(world.cloud.held()) <= high, world.cloud.held()
    assert len(zones(world)) >= zone_count, zones(world)


@then("each released host was drained before")
def check_drained(context):
    releases = context.world.cloud.releases
    assert releases
    assert all(drained for _, drained in releases), releases


@then("{count:d} hosts are held, all of them on-demand hosts")
def check_on_demand(context, count):
    held = context.world.cloud.held()
    assert [host.request.reclaimable for host in held] == [False] * count, held


@then("at most {limit:d} starts were requested for any zone and market")
def check_start_requests(context, limit):
    counts = context.world.cloud.start_requests
    assert max(counts.values()) <= limit, counts


def run_with_crash(context, crash_at_call, manager_type=HostManager):
    """Crash the holder at a call; return the world after the run of the next one."""
    world = World(*context.bounds, manager_type)
    world.crash_at_call = crash_at_call
    try:
        world.run(2)
    except CrashError:
        world.crash_at_call = 0
        world.lease.end()
        world.take_over("c2")
        world.now_ms += 10_000
        world.run(2)
    return world


@then("after a crash at any call, the next lease holder ends with {count:d} hosts")
def check_crashes(context, count):
    for crash_at_call in range(1, 60):
        world = run_with_crash(context, crash_at_call)
        assert len(world.cloud.model.hosts) == count, (
            crash_at_call,
            world.cloud.model.hosts,
        )
        records = world.client.scan(CONTROL_GROUP, "host-start/", 1.0).ok.entries
        assert not records, (crash_at_call, records)


class UnrecordedStarts(HostManager):
    """Host manager with an injected defect: starts are not recorded."""

    def _commit(self, transaction):
        return True


@then("some crash of a holder without records ends with a wrong number of hosts")
def check_unrecorded_starts(context):
    worlds = [run_with_crash(context, at, UnrecordedStarts) for at in range(1, 60)]
    assert any(len(world.cloud.model.hosts) != 2 for world in worlds)
