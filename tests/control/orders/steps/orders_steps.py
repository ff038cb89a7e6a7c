"""Steps of orders.feature."""

from __future__ import annotations

import time
from dataclasses import replace

from behave import given, then, when

from support.control_schedule import ControlWorld
from support.environment import long_run
from tanagerturn.control.order_controller import OrderController
from tanagerturn.control.server import start_control
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.local import LocalStateClient
from tanagerturn.coordination.settings_history import SettingsHistory
from tanagerturn.deploy import free_port
from tanagerturn.schema import serving_pb2, settings_pb2
from tanagerturn.serving.orders.records import ORDER_PREFIX
from tanagerturn.standins.engine.config import EngineConfig
from tanagerturn.standins.engine.server import EngineServer

WAIT_LIMIT_S = 30


@when("{count:d} seeded schedules run against engines that {engines} fencing numbers")
def run_schedules(context, count, engines):
    count = count * 10 if long_run() else count
    context.worlds = [ControlWorld(n, engines == "check") for n in range(count)]
    for world in context.worlds:
        world.run(1200)


@then("no engine executes an order other than its recorded open order")
def check_violations(context):
    for seed, world in enumerate(context.worlds):
        assert not world.violations, (seed, world.violations)


@then("the schedules average more than 3 terms and 3 executed orders")
def check_average_counts(context):
    terms = [world.last_renewal[0] for world in context.worlds]
    assert sum(terms) > 3 * len(terms), terms
    effective = sum(
        len(e.effective) for w in context.worlds for e in w.engines.values()
    )
    assert effective > 3 * len(terms), effective


@then("all engines reach the last version once the faults end")
def check_last_version(context):
    for seed, world in enumerate(context.worlds):
        world.end_faults()
        world.run(1000)
        models = {n: e.models["m"] for n, e in world.engines.items()}
        wanted = (world.version, True)
        assert set(models.values()) == {wanted}, (seed, wanted, models)
        assert not world.violations, (seed, world.violations)


class LateSender(OrderController):
    """Controller with an injected defect: a send may start after the lease ended."""

    def _make_job(self, step, now):
        return replace(
            super()._make_job(step, now), send_deadline_ms=now.monotonic_ms + 60_000
        )


@then("some schedule with holders that ignore the send deadline has a violation")
def finds_late_sender(context):
    def violated(seed: int) -> bool:
        world = ControlWorld(seed, False, controller_type=LateSender)
        world.run(1200)
        return bool(world.violations)

    assert any(violated(seed) for seed in range(40))


@given("two control processes and engines that ignore fencing numbers")
def make_world_without_faults(context):
    context.world = ControlWorld(1, False)
    context.world.end_faults()
    context.world.run(100)
    held = [c for c in context.world.controls if c.controller.keeper.held(now(context))]
    context.isolated = held[0]


def now(context):
    return context.world.now_ms


@when("the holder is isolated for an hour while {count:d} versions are accepted")
def isolate_holder(context, count):
    world = context.world
    context.isolated.client.isolated = True
    for version in range(2, count + 2):
        world.version = str(version)
        world.run(36_000 // count)


@then(
    "only orders of the other control process were executed and the last version runs"
)
def check_isolation(context):
    world = context.world
    assert not world.violations, world.violations
    assert not context.isolated.controller.keeper.held(now(context))
    for engine in world.engines.values():
        assert engine.models["m"] == (world.version, True), engine.models
        assert len(engine.effective) >= 18
        assert all(order.startswith("2-") for order in engine.effective)


@when("the isolated control process reconnects and another version is accepted")
def reconnect(context):
    context.isolated.client.isolated = False
    context.world.version = "99"
    context.world.run(1000)


@then("the reconnected control process is not the holder and the last version runs")
def check_reconnected(context):
    assert not context.isolated.controller.keeper.held(now(context))
    models = {engine.models["m"] for engine in context.world.engines.values()}
    assert models == {("99", True)}, models
    assert not context.world.violations


def wait_for(check, explain):
    deadline_s = time.monotonic() + WAIT_LIMIT_S
    while not check():
        assert time.monotonic() < deadline_s, explain()
        time.sleep(0.05)


def start_control_process(context, name):
    settings = settings_pb2.ProcessSettings(
        id=name, cluster="test", site="kigali", availability_zone="a"
    )
    settings.operations.ip = settings.control.announcements.ip = "127.0.0.1"
    settings.control.announcements.port = context.port
    settings.control.lease_ms, settings.control.period_ms = 4000, 50
    context.control = start_control(settings, context.state)
    context.closers.append(context.control.stop)


@given('a stand-in engine that runs version "{version}" and a control process')
def engine_and_control(context, version):
    context.port = free_port()
    context.state = LocalStateClient()
    context.number = 0
    start_control_process(context, "control-1")
    context.engine = EngineServer(
        EngineConfig(
            id="e-1",
            version=version,
            services=("drafting",),
            announce_to=(f"127.0.0.1:{context.port}",),
            heartbeat_ms=100,
            load_model_ms=100,
            checks_fencing=True,
        )
    )
    context.engine.start()
    context.closers.append(context.engine.stop)


@when('settings with version "{version}" are accepted')
def accept_settings(context, version):
    text = f"""
services:
- name: drafting
  type: MODEL
  models:
  - model: draft
    version: "{version}"
  capacity:
    ready_floor: 0
"""
    history = SettingsHistory(context.state, CONTROL_GROUP)
    files = {"base": text, "site/kigali": "{}"}
    done = history.apply(
        files, context.number, f"c{version}", "ana", "", 0, lambda files: []
    )
    context.number = done.ok.number


@then('the engine accepts one load order for version "{version}" and no record is left')
def check_loads(context, version):
    def is_complete() -> bool:
        found = context.state.scan(CONTROL_GROUP, ORDER_PREFIX, 1).ok.entries
        return bool(load_order_ids()) and not found

    def load_order_ids() -> list[str]:
        orders = context.engine.model.orders.accepted
        return [
            o.order_id
            for o in orders
            if (o.version, o.action) == (version, serving_pb2.LOAD_MODEL)
        ]

    wait_for(is_complete, lambda: (context.control.dump(), load_order_ids()))
    assert len(load_order_ids()) == 1


@when("the control process stops and another one takes over")
def take_over(context):
    context.closers.remove(context.control.stop)
    context.control.stop()
    start_control_process(context, "control-2")
    wait_for(context.control.active, context.control.dump)


@then("the engine received increasing fencing numbers")
def check_fencing_numbers(context):
    numbers = [o.fencing_number for o in context.engine.model.orders.accepted]
    assert numbers == sorted(numbers), numbers
    assert len(set(numbers)) == 2, numbers
