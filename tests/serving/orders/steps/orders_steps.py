"""Steps of orders.feature."""

from __future__ import annotations

from itertools import pairwise
from random import Random

from behave import given, then, when

from support.backends import announcement
from support.order_schedule import World
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.schema import settings_pb2
from tanagerturn.serving.backends.view import make_backend_view
from tanagerturn.serving.orders.book import make_order_book
from tanagerturn.serving.orders.desired import desired_engines, next_order
from tanagerturn.serving.orders.messages import (
    CloseOrder,
    ControlTerm,
    DesiredEngine,
    DesiredModel,
    QueryEngine,
    SendAnswer,
    SendOrder,
)
from tanagerturn.serving.orders.weights import (
    SAME_WEIGHTS_SPACING_MS,
    WeightBudget,
    WeightsName,
)

TERM = ControlTerm(1, 10**9)


def run_worlds(context, count, **kind):
    context.worlds = [World(seed, **kind) for seed in range(count)]
    for world in context.worlds:
        world.run(240)


@given("two control holders that lose the lease, crash and get isolated")
def two_holders(context):
    context.worlds = []


@when("{count:d} seeded schedules run against engines that {kind} fencing numbers")
def run_schedules(context, count, kind):
    run_worlds(context, count, checks=kind == "check")


@when("the schedules run with holders that ignore the end of their lease")
def run_faulty(context):
    run_worlds(context, 12, checks=False, ignore_lease=True)


@then("no engine executes an order other than its recorded open order")
def no_violation(context):
    assert not [w.violations for w in context.worlds if w.violations]
    done = sum(len(e.effective) for w in context.worlds for e in w.engines.values())
    assert done > 100, done


@then("some engine executes an order other than its recorded open order")
def some_violation(context):
    assert any(world.violations for world in context.worlds)


@then("at least one engine is ready at any time")
def one_engine_always_ready(context):
    lowest = [world.lowest_ready for world in context.worlds]
    assert min(lowest) >= 1, lowest


@then("engines reach the desired version once the faults end")
def engines_converge(context):
    for world in context.worlds[:10]:
        world.inject_fault = lambda: None
        for holder in world.holders:
            holder.cut_off = False
        world.run(300)
        for engine in world.engines.values():
            assert engine.models["m"] == (world.version, True)


@given("6 empty engines, half of them of an urgent service")
def empty_engines(context):
    context.view = make_backend_view()
    context.desired = {}
    for i in range(6):
        name = f"a-{i}"
        state = announcement(name, models=[], heartbeat_ms=60_000)
        context.view.on_announcement(state, 0)
        model = DesiredModel("m", "1", priority=pb.URGENT if i >= 3 else pb.LOW)
        context.desired[name] = DesiredEngine(name, (model,))


@then("engines of the urgent service load first and at most 2 engines load at a time")
def urgent_first(context):
    context.starts, book = [], make_order_book()
    for now_ms in range(0, 160_000, 500):
        for step in book.plan(context.desired, context.view, TERM, now_ms).steps:
            context.starts.append((now_ms, step.order.backend_server))
            context.desired.pop(step.order.backend_server)
            book.open_orders[step.order.backend_server].since_ms = 10**9
        assert len(book.open_orders) <= 2
        for entry in list(book.open_orders.values()):
            if now_ms >= entry.order.recorded_at_ms + 12_000:
                del book.open_orders[entry.order.backend_server]
    order = [name for _, name in context.starts]
    assert len(order) == 6 and set(order[:3]) == {"a-3", "a-4", "a-5"}, order


@then("loads of the same weights start at least 5 s apart")
def loads_are_spaced(context):
    times = [at for at, _ in context.starts]
    gaps = [after - at for at, after in pairwise(times)]
    assert min(gaps) >= SAME_WEIGHTS_SPACING_MS


@then("one concurrent load is reserved for urgent services")
def load_is_reserved(context):
    budget, weights = WeightBudget(2), WeightsName("m", "1")
    assert budget.blocking_reason(weights, 1, urgent=False, now_ms=0)
    assert not budget.blocking_reason(weights, 1, urgent=True, now_ms=0)
    assert budget.blocking_reason(weights, 2, urgent=True, now_ms=0)


@then("weights that failed to load pause 2 s, 4 s, 8 s, up to 2 min, with 25% jitter")
def failed_loads_pause(context):
    budget, weights, random = WeightBudget(), WeightsName("m", "1"), Random(1)
    for required in [2_000, 4_000, 8_000, *[0] * 10, 120_000]:
        budget.on_ended(weights, False, 0, random)
        pause_ms = budget.paused_until_ms[weights]
        assert required == 0 or 0.75 * required <= pause_ms <= 1.25 * required
    assert budget.blocking_reason(weights, 0, urgent=True, now_ms=1)
    assert not budget.blocking_reason(WeightsName("n", "1"), 0, urgent=True, now_ms=1)


@then("an engine gets its role, model and adapter and then unloads the old version")
def orders_in_sequence(context):
    view = make_backend_view()
    model = DesiredModel("m", "2", frozenset(["y"]))
    desired = DesiredEngine("a-1", (model,), role=pb.PREFILL)
    old = pb.LoadedModel(model="m", version="1", ready=True)
    new = pb.LoadedModel(model="m", version="2", ready=True)
    full = pb.LoadedModel(model="m", version="2", adapters=["y"], ready=True)
    states = [
        ({"models": [old]}, pb.SET_ROLE),
        ({"models": [old], "role": pb.PREFILL}, pb.LOAD_MODEL),
        ({"models": [old, new], "role": pb.PREFILL}, pb.LOAD_ADAPTER),
        ({"models": [old, full], "role": pb.PREFILL}, pb.UNLOAD_MODEL),
        ({"models": [full], "role": pb.PREFILL}, None),
    ]
    for sequence, (fields, action) in enumerate(states, 1):
        view.on_announcement(announcement("a-1", sequence=sequence, **fields), 0)
        order = next_order(view.backends["a-1"], desired)
        assert (order.action if order else None) == action


@then("settings with model services determine the desired state of their engines")
def desired_from_settings(context):
    view = make_backend_view()
    view.on_announcement(announcement("a-1"), 0)
    view.on_announcement(announcement("a-2", leaving=True), 0)
    view.on_announcement(announcement("d-1", services=["desk"]), 0)
    service = settings_pb2.Service(
        name="draft",
        type=settings_pb2.MODEL,
        models=[settings_pb2.ModelVersion(model="m", version="2", adapters=["x"])],
        priority=pb.LOW,
        capacity=settings_pb2.CapacityBounds(ready_floor=2),
    )
    desk = settings_pb2.Service(name="desk", type=settings_pb2.PLAIN)
    settings = settings_pb2.DeploymentSettings(services=[service, desk])
    desired = desired_engines(settings, view.backends.values())
    model = DesiredModel("m", "2", frozenset(["x"]), "draft", pb.LOW, 2)
    assert desired == {"a-1": DesiredEngine("a-1", (model,))}


@given("an order that was sent a second time after its first response was lost")
def sent_twice(context):
    context.view, book = make_backend_view(), make_order_book()
    required = DesiredModel("m", "2", ready_floor=0)
    context.book = book
    announce(context, 1, "1")
    context.desired = {"a-1": DesiredEngine("a-1", (required,))}
    order = plan_steps(context, 0)[0].order
    book.on_recorded(order, 0)
    assert isinstance(plan_steps(context, 0)[0], SendOrder)
    book.on_send_answer(order, SendAnswer.LOST, "", 500)
    assert isinstance(plan_steps(context, 500)[0], QueryEngine)
    announce(context, 2, "1", at_ms=600)
    send = next(
        step for at in range(600, 9_000, 100) for step in plan_steps(context, at)
    )
    assert isinstance(send, SendOrder)
    context.until_ms, context.order = send.until_ms, order


def plan_steps(context, now_ms):
    return context.book.plan(context.desired, context.view, TERM, now_ms).steps


def announce(context, sequence, version, at_ms=0, **fields):
    model = pb.LoadedModel(model="m", version=version, ready=True)
    state = announcement(
        "a-1", sequence=sequence, models=[model], heartbeat_ms=60_000, **fields
    )
    context.view.on_announcement(state, at_ms)
    context.book.on_state(state, at_ms, Random(1))


@when("the engine reports the outcome of the order before the second send has ended")
def reports_outcome(context):
    done = pb.OrderOutcome(order_id=context.order.order_id, done=True)
    announce(context, 3, "2", at_ms=context.until_ms - 1_000, orders=[done])


@then("the next order is sent only after the second send has ended")
def sent_after_second_send(context):
    until_ms = context.until_ms
    closing = plan_steps(context, until_ms - 900)
    assert [type(step) for step in closing] == [CloseOrder] and closing[0].done
    context.book.on_closed(closing[0].order, until_ms - 900)
    required = DesiredModel("m", "3", ready_floor=0)
    context.desired = {"a-1": DesiredEngine("a-1", (required,))}
    order = plan_steps(context, until_ms - 900)[0].order
    context.book.on_recorded(order, until_ms - 800)
    assert not plan_steps(context, until_ms - 1)
    assert [type(step) for step in plan_steps(context, until_ms)] == [SendOrder]
