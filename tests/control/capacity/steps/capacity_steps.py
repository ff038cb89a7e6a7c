"""Steps of capacity.feature."""

from __future__ import annotations

from collections import Counter
from random import Random

from behave import given, then, when
from expression import Error, Ok

from tanagerturn.control.cloud import CloudHost, CloudOffer
from tanagerturn.control.hosts import BackendLoad, HostKeeper
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
"""Time after which the cloud's list shows a host that is ready."""
ZONES = "abcd"


class DiedError(Exception):
    """The holder died at a call."""


class FakeCloud:
    """The stand-in cloud's model, with answers that can be lost."""

    def __init__(self, world):
        offers = [Offer(zone, "std", True, 1.0) for zone in ZONES]
        offers += [Offer(zone, "std", False, 2.5) for zone in ZONES]
        self.world = world
        self.model = CloudModel(CloudConfig(offers=tuple(offers), start_ms=8_000))
        self.asked = Counter()
        self.refuse_reclaimable = False
        self.lose_each = 3
        self.given_back = []

    def offers(self):
        """Return the offers."""
        self.world.count_call()
        return Ok([CloudOffer(**vars(offer)) for offer in self.model.offers])

    def hosts(self):
        """Return the hosts that the list shows already."""
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
        """Start a host; the answer may be lost."""
        self.world.count_call()
        key = (request.availability_zone, request.reclaimable)
        self.asked[key] += 1
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
        if sum(self.asked.values()) % self.lose_each == 0:
            return Error(UnavailableError("start host", "cloud", "lost"))
        return Ok(not isinstance(started, Refusal))

    def give_back(self, host_id):
        """Give a host back."""
        self.world.count_call()
        self.given_back.append((host_id, host_id in self.world.recorded))
        return Ok(self.model.stop(host_id, self.world.now_ms))

    def held(self):
        """Return the hosts that are held."""
        states = (HostState.STARTING, HostState.RUNNING)
        return [host for host in self.model.hosts.values() if host.state in states]


class FakeLease:
    """A holding of the control lease in the store."""

    def __init__(self, client, holder):
        acquire = pb.LeaseAcquire(name="control", holder=holder, duration_ms=1000)
        command = pb.Command(lease_acquire=acquire)
        done = client.propose(CONTROL_GROUP, command, 1.0)
        self.fencing_number = done.ok.lease.fencing_number
        self.client = client

    def holds(self):
        """Tell that the lease is held."""
        return True

    def fence(self):
        """Return the condition on this holding."""
        return pb.Fence(lease="control", fencing_number=self.fencing_number)

    def end(self):
        """End the holding."""
        release = pb.LeaseRelease(name="control", fencing_number=self.fencing_number)
        self.client.propose(CONTROL_GROUP, pb.Command(lease_release=release), 1.0)


class CountingClient(LocalStateClient):
    """A store whose calls count as calls at which the holder may die."""

    def __init__(self, world):
        super().__init__()
        self.world = world

    def propose(self, group, command, timeout_s):
        """Commit; the holder may die before or after."""
        if command.HasField("transaction"):
            self.world.count_call()
        done = super().propose(group, command, timeout_s)
        if command.HasField("transaction"):
            self.world.count_call()
        return done


class World:
    """One service, its hosts, and the present holder."""

    def __init__(self, low, high, keeper=HostKeeper):
        self.now_ms = 10_000_000
        self.calls = 0
        self.die_at = 0
        self.load = 0.0
        self.recorded = set()
        self.cloud = FakeCloud(self)
        self.client = CountingClient(self)
        self.make_keeper = keeper
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
        """Let a holder begin."""
        self.lease = FakeLease(self.client, holder)
        self.keeper = self.make_keeper(
            self.client, self.lease, self.cloud, self.drain, Random(1)
        )

    def drain(self, host, at_ms):
        """Record a drain."""
        self.recorded.add(host)
        return True

    def count_call(self):
        """Count a call; the holder may die at it."""
        self.calls += 1
        if self.calls == self.die_at:
            raise DiedError

    def step(self):
        """Let the holder plan once."""
        running = [h for h in self.cloud.held() if h.state is HostState.RUNNING]
        open_hosts = [h for h in running if h.id not in self.recorded]
        share = self.load / max(1, len(open_hosts))
        backends = {
            host.id: BackendLoad(
                ("desk",), 8, 0.0 if host.id in self.recorded else share
            )
            for host in running
        }
        self.keeper.step(self.settings, backends, self.recorded, self.now_ms)

    def run(self, minutes):
        """Let time go by."""
        for _ in range(int(minutes * MINUTE_MS / STEP_MS)):
            self.step()
            self.now_ms += STEP_MS


@given("a service of {low:d} to {high:d} hosts and a cloud of 4 zones")
def make_world(context, low, high):
    context.bounds = (low, high)
    context.world = World(low, high)


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
def held_exactly(context, count, zone_count):
    world = context.world
    assert len(world.cloud.held()) == count, world.cloud.held()
    assert len(zones(world)) == zone_count, zones(world)


@then("{low:d} to {high:d} hosts are held, in at least {zone_count:d} zones")
def held_between(context, low, high, zone_count):
    world = context.world
    assert low <= len(world.cloud.held()) <= high, world.cloud.held()
    assert len(zones(world)) >= zone_count, zones(world)


@then("each host given back was drained before")
def drained_before(context):
    given_back = context.world.cloud.given_back
    assert given_back
    assert all(drained for _, drained in given_back), given_back


@then("{count:d} hosts are on demand and none is reclaimable")
def on_demand(context, count):
    held = context.world.cloud.held()
    assert [host.request.reclaimable for host in held] == [False] * count, held


@then("no kind of host was asked for more than {most:d} times")
def asked_seldom(context, most):
    asked = context.world.cloud.asked
    assert max(asked.values()) <= most, asked


def run_with_death(context, die_at, keeper=HostKeeper):
    """Let the holder die at a call; return the world after the next one."""
    world = World(*context.bounds, keeper)
    world.die_at = die_at
    try:
        world.run(2)
    except DiedError:
        world.die_at = 0
        world.lease.end()
        world.take_over("c2")
        world.now_ms += 10_000
        world.run(2)
    return world


@then("at whatever call the holder dies, the next one ends with {count:d} hosts")
def dies_anywhere(context, count):
    for die_at in range(1, 60):
        world = run_with_death(context, die_at)
        assert len(world.cloud.model.hosts) == count, (die_at, world.cloud.model.hosts)
        records = world.client.scan(CONTROL_GROUP, "host-start/", 1.0).ok.entries
        assert not records, (die_at, records)


class Unrecorded(HostKeeper):
    """Plants a fault: starts are not recorded."""

    def _commit(self, transaction):
        return True


@then("starts without a record are found out")
def unrecorded_found(context):
    worlds = [run_with_death(context, at, Unrecorded) for at in range(1, 60)]
    assert any(len(world.cloud.model.hosts) != 2 for world in worlds)
