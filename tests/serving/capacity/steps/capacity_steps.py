"""Steps of capacity.feature."""

from __future__ import annotations

from dataclasses import replace
from itertools import combinations, pairwise

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from support.cloud import Cloud, offers
from tanagerturn.schema import serving_pb2, settings_pb2
from tanagerturn.serving.capacity._allocate import (
    allocate,
    make_host_options,
    short_slots,
)
from tanagerturn.serving.capacity.demand import Demand, service_need
from tanagerturn.serving.capacity.messages import (
    DrainHost,
    Market,
    Offer,
    OfferKey,
    ServiceNeed,
    StartHost,
    StopHost,
)

MINUTE_MS = 60_000


def make_need(slots, **fields):
    fields = {"slots_after_loss": slots, "max_hosts": 10, **fields}
    return ServiceNeed("draft", slots, **fields)


def has_slots_without_largest_zone(cloud, slots):
    by_zone = {}
    for host in cloud.ready():
        by_zone[host.key.zone] = by_zone.get(host.key.zone, 0) + host.slots
    return sum(by_zone.values()) - max(by_zone.values(), default=0) >= slots


@then("for generated needs and prices the allocation costs as much as the cheapest one")
def allocation_is_cheapest(context):
    prices = st.lists(st.integers(1, 20), min_size=3, max_size=3)

    @settings(max_examples=60)
    @for_all(prices=prices, slots=st.integers(1, 16), after=st.integers(0, 16))
    def check(prices, slots, after):
        options = make_host_options([], [
            Offer(OfferKey(zone, "gpu", Market.RECLAIMABLE), float(price), 8)
            for zone, price in zip("abc", prices, strict=True)
        ], {}, max_starts=3)  # fmt: skip
        wanted = make_need(slots, slots_after_loss=after, max_hosts=6)
        found = allocate(wanted, options, 2)
        costs = [
            sum(option.cost for option in selection)
            for size in range(1, 7)
            for selection in combinations(options, size)
            if not short_slots(wanted, selection)
        ]
        assert not found.short_slots and costs
        assert found.cost == min(costs), (found, min(costs))

    check()


@then("the allocation stays within the limits of hosts and on-demand hosts")
def within_limits(context):
    @settings(max_examples=60)
    @for_all(
        slots=st.integers(1, 200), hosts=st.integers(1, 8), bound=st.integers(0, 3)
    )
    def check(slots, hosts, bound):
        options = make_host_options([], offers(on_demand=0.3), {}, max_starts=hosts)
        found = allocate(make_need(slots, max_hosts=hosts), options, bound)
        is_on_demand = [u for u in found.hosts if u.key.market is Market.ON_DEMAND]
        assert len(found.hosts) <= hosts and len(is_on_demand) <= bound

    check()


@given("a need of {slots:d} slots that must survive the loss of one zone")
def given_need(context, slots):
    context.cloud = Cloud(make_need(slots))


@when("{minutes:d} min pass")
def time_passes(context, minutes):
    context.cloud.run(minutes * MINUTE_MS)


@then("{count:d} hosts are ready, all reclaimable, at most 1 in a zone")
def all_reclaimable(context, count):
    keys = [host.key for host in context.cloud.ready()]
    assert len(keys) == len({key.zone for key in keys}) == count, keys
    assert {key.market for key in keys} == {Market.RECLAIMABLE}


@when("the need rises to {slots:d} slots and 2 min pass")
def need_rises(context, slots):
    context.cloud.need = make_need(slots)
    context.cloud.run(2 * MINUTE_MS)


@then("{slots:d} slots are ready without the largest zone")
def slots_without_largest_zone(context, slots):
    assert has_slots_without_largest_zone(context.cloud, slots), context.cloud.ready()


@when(
    'zones "{first}" and "{second}" are reclaimed a minute apart '
    "while starts are refused"
)
def two_zones_reclaimed(context, first, second):
    cloud = context.cloud
    cloud.refusing = {Market.RECLAIMABLE, Market.ON_DEMAND}
    context.begin_ms = cloud.now_ms
    for zone in (first, second):
        cloud.notice(zone)
        cloud.run(30_000)
        cloud.reclaim()
        cloud.run(30_000)
    assert len(cloud.ready()) == 2
    cloud.run(8 * MINUTE_MS)
    context.attempted_starts = [
        (at, step.key)
        for at, step in cloud.log
        if isinstance(step, StartHost) and at > context.begin_ms
    ]
    cloud.refusing = set()


@then("at most 60 starts were attempted in those 10 min, with growing pauses")
def starts_were_attempted(context):
    assert 5 < len(context.attempted_starts) <= 60, len(context.attempted_starts)
    for key in {key for _, key in context.attempted_starts}:
        times = sorted({at for at, each in context.attempted_starts if each == key})
        gaps = [after - at for at, after in pairwise(times)]
        assert all(gap >= 7_500 for gap in gaps), gaps
        assert len(gaps) < 2 or gaps[-1] > 1.5 * gaps[0], gaps


@then("within 6 min after the refusals 20 slots are ready without the largest zone")
def slots_are_restored(context):
    context.cloud.run(6 * MINUTE_MS)
    assert has_slots_without_largest_zone(context.cloud, 20)


@when("reclaimable starts are refused for 10 min from the beginning")
def reclaimable_refused(context):
    context.cloud.refusing = {Market.RECLAIMABLE}
    context.cloud.run(10 * MINUTE_MS)
    context.cloud.refusing = set()


@then("2 on-demand hosts are ready")
def on_demand_ready(context):
    markets = [host.key.market for host in context.cloud.ready()]
    assert markets == [Market.ON_DEMAND] * 2, markets


@when("the need falls to {slots:d} slots for 9 min and rises again")
def need_falls_shortly(context, slots):
    before = context.cloud.need
    context.cloud.need = make_need(slots)
    context.cloud.run(9 * MINUTE_MS)
    context.cloud.need = before
    context.cloud.run(2 * MINUTE_MS)


@then("no host was drained")
def none_drained(context):
    assert not context.cloud.count(DrainHost)


@when("the need falls to {slots:d} slots for 20 min with requests still running")
def need_falls_for_long(context, slots):
    context.cloud.busy = 3
    context.cloud.need = make_need(slots)
    context.cloud.run(20 * MINUTE_MS)


@then("hosts were drained but none was stopped")
def hosts_were_drained(context):
    assert context.cloud.count(DrainHost) > 0
    assert context.cloud.count(StopHost) == 0


@when("the running requests end")
def requests_end(context):
    cloud = context.cloud
    cloud.held = {k: replace(h, running=0) for k, h in cloud.held.items()}
    cloud.run(2_000)


@then("the drained hosts are stopped and 8 slots are ready without the largest zone")
def drained_hosts_stopped(context):
    cloud = context.cloud
    assert cloud.count(StopHost) == cloud.count(DrainHost)
    assert has_slots_without_largest_zone(cloud, 8) and len(cloud.ready()) == 2


@when('prices in zone "{zone}" are tenfold for {amount:d} {unit}')
def price_increase(context, zone, amount, unit):
    cloud = context.cloud
    before, cloud.log = cloud.offers, []
    cloud.offers = [
        replace(each, price_per_hour=each.price_per_hour * 10)
        if each.key.zone == zone
        else each
        for each in before
    ]
    context.min_ready_slots = 99
    for _ in range(amount // 2 if unit == "s" else amount * 30):
        cloud.run(2_000)
        context.min_ready_slots = min(
            context.min_ready_slots, sum(h.slots for h in cloud.ready())
        )
    if unit == "s":
        cloud.offers = before


@then("no host was started or drained since the price increase")
def nothing_started_or_drained(context):
    assert not context.cloud.log


@then('zone "{zone}" has no host left and at least 20 slots were always ready')
def zone_has_no_host(context, zone):
    assert zone not in {host.key.zone for host in context.cloud.held.values()}
    assert context.min_ready_slots >= 20


@then("the on-demand-only policy holds no reclaimable host and costs more")
def on_demand_only(context):
    costs = {}
    for policy in (settings_pb2.LOWEST_COST, settings_pb2.ON_DEMAND_ONLY):
        cloud = Cloud(make_need(20), policy=policy)
        cloud.run(60 * MINUTE_MS)
        costs[policy] = cloud.cost
        assert has_slots_without_largest_zone(cloud, 20)
    markets = {host.key.market for host in cloud.held.values()}
    assert markets == {Market.ON_DEMAND}
    assert costs[settings_pb2.LOWEST_COST] < 0.6 * costs[settings_pb2.ON_DEMAND_ONLY]


@then("the scale-in-at-once policy drains unneeded hosts without a delay")
def drains_without_delay(context):
    cloud = Cloud(make_need(40), policy=settings_pb2.SCALE_IN_AT_ONCE)
    cloud.run(2 * MINUTE_MS)
    cloud.need = make_need(8)
    cloud.run(2_000)
    assert cloud.count(DrainHost) > 0


@then("load, window and latency determine the need of urgent and low-priority services")
def demand_determines_need(context):
    urgent = settings_pb2.Service(name="desk", priority=serving_pb2.URGENT)
    patient = settings_pb2.Service(name="draft", priority=serving_pb2.LOW)
    measured = Demand(window_ms=60_000)
    for second in range(100):
        measured.observe(12.0 if second < 20 else 6.0, second * 1_000)
        if second == 50:
            assert service_need(urgent, measured).slots == 12.0 / 0.6
    assert service_need(urgent, measured).slots == 6.0 / 0.6
    assert service_need(urgent, measured).slots_after_loss == 6.0 / 0.6
    assert service_need(patient, measured).slots == 6.0 / 0.9
    assert service_need(patient, measured).slots_after_loss == 0.0
    measured.observe_latency(500, 400)
    assert service_need(urgent, measured).slots > 6.0 / 0.6
    for _ in range(10):
        measured.observe_latency(100, 400)
    assert service_need(urgent, measured).slots == 6.0 / 0.6
