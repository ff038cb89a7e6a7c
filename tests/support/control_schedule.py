"""Simulation of two control processes with real leases and order controllers."""

from __future__ import annotations

import heapq
from random import Random

from support.faulty_client import FaultyClient
from support.order_schedule import Engine
from tanagerturn.control.order_controller import (
    CONTROL_LEASE,
    CurrentTime,
    OrderController,
    SendAnswer,
    perform_job,
)
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.leases import LeaseKeeper, LeaseTerms
from tanagerturn.coordination.local import LocalStateClient
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import serving_pb2, settings_pb2
from tanagerturn.serving.orders.records import order_key

LEASE_MS = 5000
STEP_MS = 100
WALL_OFFSET_MS = 1_790_000_000_000


class LossyTransport:
    """Delivers orders to simulated engines at once, delayed or not at all."""

    def __init__(self, world):
        self.world = world

    def send(self, address, order, timeout_s):
        """Send an order; the answer to a delayed order is lost."""
        world, engine = self.world, self.world.engines[order.backend_server]
        draw = world.random.random()
        if draw < 0.1:
            return SendAnswer.LOST, ""
        if draw < 0.3:
            delay = world.random.choice((50, timeout_s * 1000))
            world.at(delay, lambda: engine.take(order))
            return SendAnswer.LOST, ""
        answer = engine.take(order)
        return (SendAnswer.LOST if draw < 0.4 else answer), ""

    def query_state(self, address, timeout_s):
        """Return the state of an engine; None if the response is lost."""
        if self.world.random.random() < 0.1:
            return None
        return self.world.engine_at(address).announcement()


class SimulatedControl:
    """A control process that may be isolated, paused or restarted."""

    def __init__(self, name, world):
        self.name, self.world, self.start_count = name, world, 0
        self.client = FaultyClient(world.state, world.random, loss=0.05)
        self.paused_until_ms = 0
        self.start()

    def start(self):
        """Start with a new lease keeper and a new controller, without earlier state."""
        self.start_count += 1
        keeper = self.world.keeper_type(
            self.client, CONTROL_GROUP, CONTROL_LEASE,
            f"{self.name}#{self.start_count}", LeaseTerms(LEASE_MS),
            lambda: self.world.now_ms,
        )  # fmt: skip
        self.controller = self.world.controller_type(
            self.client, keeper, self.world.random
        )
        self.controller.settings = self.world.settings()

    def step(self):
        """Renew the lease, plan and schedule the due jobs."""
        world, controller = self.world, self.controller
        if world.now_ms < self.paused_until_ms:
            return
        controller.settings = world.settings()
        controller.keeper.step()
        for job in controller.plan(world.now()):
            delay = world.random.choice((0, 0, 0, 50, world.random.randrange(4000)))
            world.at(delay, lambda job=job: self.perform(controller, job))

    def perform(self, controller, job):
        """Perform a job; the process may crash before or after it."""
        world = self.world
        if world.now_ms < self.paused_until_ms:
            world.at(
                self.paused_until_ms - world.now_ms,
                lambda: self.perform(controller, job),
            )
            return
        if controller is not self.controller or self.crash_at_random():
            return
        result = perform_job(job, self.client, world.transport, lambda: world.now_ms)
        if self.crash_at_random():
            return
        delay = world.random.choice((0, 0, 50))
        world.at(delay, lambda: (
            self.controller is controller
            and controller.apply_result(result, world.now())
        ))  # fmt: skip

    def crash_at_random(self):
        """Crash and restart the process at random; return whether it crashed."""
        if self.world.faults_ended or self.world.random.random() >= 0.02:
            return False
        self.start()
        return True


class ControlWorld:
    """Runs the simulation and collects invariant violations.

    Args:
        seed: Seed of the schedule and its faults.
        checks: Whether the engines check fencing numbers.
        keeper_type: Class of the lease keepers.
        controller_type: Class of the order controllers.
    """

    def __init__(
        self, seed, checks, keeper_type=LeaseKeeper, controller_type=OrderController
    ):
        self.random, self.now_ms, self.faults_ended = Random(seed), 10_000, False
        self.events, self.event_count, self.violations = [], 0, []
        self.version, self.last_renewal = "1", (0, 0, 0)
        self.state, self.transport = LocalStateClient(), LossyTransport(self)
        self.keeper_type, self.controller_type = keeper_type, controller_type
        self.engines = {n: Engine(n, checks, self) for n in ("a-1", "b-1", "c-1")}
        self.controls = [SimulatedControl("one", self), SimulatedControl("two", self)]

    def now(self):
        """Return the simulated time."""
        return CurrentTime(self.now_ms, WALL_OFFSET_MS + self.now_ms)

    def settings(self):
        """Return settings with the current version of the model."""
        service = settings_pb2.Service(name="draft", type=settings_pb2.MODEL)
        service.models.add(model="m", version=self.version)
        service.capacity.ready_floor = 1
        return settings_pb2.DeploymentSettings(services=[service])

    def engine_at(self, address):
        """Return the engine that announces an address."""
        for engine in self.engines.values():
            if engine.announcement().address == address:
                return engine
        raise KeyError(address)

    def at(self, delay_ms, action):
        """Schedule an action."""
        self.event_count += 1
        heapq.heappush(self.events, (self.now_ms + delay_ms, self.event_count, action))

    def run(self, steps):
        """Run a number of steps of the simulation."""
        for step in range(steps):
            step_end_ms = self.now_ms + STEP_MS
            while self.events and self.events[0][0] <= step_end_ms:
                at_ms, _, action = heapq.heappop(self.events)
                self.now_ms = int(max(self.now_ms, at_ms))
                action()
            self.now_ms = step_end_ms
            if not self.faults_ended:
                self.inject_fault()
            self.expire_lease()
            if step % 8 == 0:
                self.announce()
            for control in self.controls:
                control.step()

    def inject_fault(self):
        """Change the version, or isolate, reconnect or pause a process at random."""
        control = self.random.choice(self.controls)
        draw = self.random.random()
        if draw < 0.02:
            self.version = str(int(self.version) + 1)
        elif draw < 0.025:
            control.client.isolated = not control.client.isolated
        elif draw < 0.035 and self.now_ms >= control.paused_until_ms:
            control.paused_until_ms = self.now_ms + self.random.randrange(40_000)

    def end_faults(self):
        """End all faults, so that the last version can be loaded."""
        self.faults_ended = True
        for control in self.controls:
            control.client.isolated, control.client.loss = False, 0.0
            control.paused_until_ms = 0

    def announce(self):
        """Pass the announcement of each engine to both control processes."""
        for engine in self.engines.values():
            state = engine.announcement()
            for control in self.controls:
                control.controller.on_announcement(state, self.now())

    def expire_lease(self):
        """Expire the lease if it was not renewed in time."""
        lease = self.state.store(CONTROL_GROUP).lease(CONTROL_LEASE)
        renewal = (lease.fencing_number, lease.renewals)
        if renewal != self.last_renewal[:2]:
            self.last_renewal = (*renewal, self.now_ms)
        if lease.holder and self.now_ms >= self.last_renewal[2] + LEASE_MS:
            lapse = pb.LeaseLapse(
                name=CONTROL_LEASE,
                fencing_number=lease.fencing_number,
                renewals=lease.renewals,
            )
            self.state.store(CONTROL_GROUP).apply(pb.Command(lease_lapse=lapse))

    def check_effective(self, engine, order):
        """Record a violation if an executed order is not the recorded one."""
        entry = self.state.store(CONTROL_GROUP).entries.get(order_key(engine.name))
        recorded = serving_pb2.Order.FromString(entry.value) if entry else None
        if recorded is None or recorded.order_id != order.order_id:
            self.violations.append((self.now_ms, engine.name, order.order_id))
