"""Steps of counts.feature, with a simulated cloud."""

from __future__ import annotations

import itertools
from collections import Counter

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from tanagerturn.serving.capacity.counts import CountPlanner
from tanagerturn.serving.capacity.messages import CountKey, Market, ZoneOffer
from tanagerturn.serving.capacity.token_demand import TokenDemand
from tanagerturn.serving.capacity.zone_spares import are_spares_cheap

BOOT_S, STEP_S = 4.0, 0.2
PRICES = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9}
CHEAP_PRICE = 0.15
OFFERS = [ZoneOffer(zone, price, 1, 3) for zone, price in PRICES.items()]


class Cloud:
    """Simulated cloud with ready and booting engines by zone and market."""

    def __init__(self, has_reclaimable, spares_price=0.0):
        self.has_reclaimable = has_reclaimable
        self.spares_price = spares_price
        self.planner = CountPlanner(BOOT_S)
        first = zip("abcd", (2, 1, 1, 1), strict=True)
        self.ready = Counter({CountKey(z, Market.ON_DEMAND): n for z, n in first})
        self.boots = []
        self.now_s = 0.0
        self.refused_until_s = 0.0
        self.min_ready = 99
        self.max_on_demand = 0
        self.released_s = []
        """Simulated times in seconds at which ready on-demand engines were released,
        one per engine."""
        self.cancelled_boots = 0
        self.prior_per_s = 0.0
        self.cost = 0.0
        """Price of the engines so far: on-demand seconds of the cheapest zone."""

    def order(self, key, count):
        """Accept or refuse an order for a number of engines in a zone and market."""
        booting = sum(1 for k, _ in self.boots if k == key)
        held_count = self.ready[key] + booting
        is_refused = (
            key.market is Market.RECLAIMABLE and self.now_s < self.refused_until_s
        )
        if count > held_count and is_refused:
            self.planner.on_refused(key, self.now_s)
            return
        self.planner.on_accepted(key, count, self.now_s)
        self.cancelled_boots += max(0, held_count - max(count, self.ready[key]))
        self.boots += [(key, self.now_s + BOOT_S)] * (count - held_count)
        if count < self.ready[key] and key.market is Market.ON_DEMAND:
            self.released_s += [self.now_s] * (self.ready[key] - count)
        if count < held_count:
            self.ready[key] = min(self.ready[key], count)

    def run(self, tokens_per_s, seconds):
        """Advance the simulated time and plan at every step.

        Args:
            tokens_per_s: Demand of callers in tokens per second.
            seconds: Simulated time to advance.
        """
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            for boot in [b for b in self.boots if b[1] <= self.now_s]:
                self.boots.remove(boot)
                self.ready[boot[0]] += 1
            ready = Counter({k: n for k, n in self.ready.items() if n})
            plan = self.planner.plan(
                tokens_per_s,
                OFFERS,
                self.has_reclaimable,
                ready,
                self.now_s,
                self.prior_per_s,
                spares_price=self.spares_price,
            )
            for key, count in plan.items():
                accepted = self.planner.accepted_orders.get(key)
                if accepted is None or accepted[0] != count or count != ready[key]:
                    self.order(key, count)
            for key, count in self.ready.items():
                reclaimable = key.market is Market.RECLAIMABLE
                factor = CHEAP_PRICE if reclaimable else 1.0
                self.cost += STEP_S * count * factor * PRICES[key.zone]
            self.min_ready = min(self.min_ready, self.count_ready())
            on_demand = sum(self.count_by_zone(Market.ON_DEMAND).values())
            self.max_on_demand = max(self.max_on_demand, on_demand)

    def count_ready(self):
        """Return the number of ready engines."""
        return sum(self.ready.values())

    def count_by_zone(self, market):
        """Return the number of ready engines of a market by zone."""
        return {k.zone: n for k, n in self.ready.items() if n and k.market is market}


@given("a cloud with 4 zones, 5 on-demand engines and reclaimable ones at 0.22")
def cloud_with_reclaimable(context):
    context.cloud = Cloud(True)


@given("a cloud with 4 zones, 5 on-demand engines and spare reclaimable ones at 0.15")
def cloud_with_spares(context):
    context.cloud = Cloud(True, CHEAP_PRICE)


@given("a cloud with 4 zones, 5 on-demand engines and none reclaimable")
def cloud_on_demand(context):
    context.cloud = Cloud(False)


@when("{tokens:d} tokens a second are requested for {seconds:d} s")
def tokens_requested(context, tokens, seconds):
    context.tokens, context.before = tokens, context.cloud.count_ready()
    context.cloud.run(tokens, seconds)


@then(
    "1 on-demand and {least:d} to {most:d} reclaimable engines are ready, in all zones"
)
def on_demand_replaced(context, least, most):
    reclaimable = context.cloud.count_by_zone(Market.RECLAIMABLE)
    assert sum(context.cloud.count_by_zone(Market.ON_DEMAND).values()) == 1
    assert least <= sum(reclaimable.values()) <= most, reclaimable
    assert len(reclaimable) == 4


@then("at no time more than {count:d} on-demand engines were ready")
def on_demand_never_above(context, count):
    assert context.cloud.max_on_demand <= count, context.cloud.max_on_demand


@then("no two on-demand engines were released within {pause_s:g} s")
def released_one_by_one(context, pause_s):
    times = [at_s for at_s in context.cloud.released_s if at_s > 20.0]
    assert len(times) > 1, context.cloud.released_s
    gaps = [b - a for a, b in itertools.pairwise(times)]
    assert min(gaps) >= pause_s, times


@when("all zones are reclaimed and no reclaimable engines are available for 15 s")
def all_reclaimed(context):
    cloud = context.cloud
    cloud.refused_until_s = cloud.now_s + 15.0
    for zone in PRICES:
        cloud.ready[CountKey(zone, Market.RECLAIMABLE)] = 0


@then("no order of a booting on-demand engine is cancelled within 6 s")
def not_cancelled(context):
    context.cloud.cancelled_boots = 0
    context.cloud.run(context.tokens, 6.0)
    assert context.cloud.cancelled_boots == 0
    assert context.cloud.count_ready() >= 4, context.cloud.ready


@then("at no time fewer than {count:d} engines were ready")
def ready_never_below(context, count):
    assert context.cloud.min_ready >= count, context.cloud.min_ready


@when("two zones are reclaimed and no reclaimable engines are available for 15 s")
def two_reclaimed(context):
    cloud = context.cloud
    cloud.refused_until_s = cloud.now_s + 15.0
    for zone in list(cloud.count_by_zone(Market.RECLAIMABLE))[:2]:
        cloud.ready[CountKey(zone, Market.RECLAIMABLE)] = 0


@when("one zone is reclaimed and no reclaimable engines are available for 15 s")
def one_reclaimed(context):
    context.cloud.refused_until_s = context.cloud.now_s + 15.0
    reclaim_largest(context.cloud)


@when("another zone is reclaimed")
def another_reclaimed(context):
    reclaim_largest(context.cloud)


def reclaim_largest(cloud):
    held = cloud.count_by_zone(Market.RECLAIMABLE)
    zone = max(held, key=held.get)
    cloud.ready[CountKey(zone, Market.RECLAIMABLE)] = 0


@then("at least {count:d} engines are ready at once")
def ready_at_once(context, count):
    assert context.cloud.count_ready() >= count, context.cloud.ready


@then("within 6 s {count:d} engines are ready again")
def ready_again(context, count):
    context.cloud.run(context.tokens, 6.0)
    assert context.cloud.count_ready() >= count, context.cloud.ready


@then("after 20 s more 1 on-demand engine is left")
def one_on_demand_left(context):
    context.cloud.run(context.tokens, 20.0)
    assert sum(context.cloud.count_by_zone(Market.ON_DEMAND).values()) == 1, (
        context.cloud.ready
    )


@then("as many engines as before are ready")
def count_is_unchanged(context):
    assert context.cloud.count_ready() == context.before, context.cloud.ready


@then("{count:d} on-demand engines are ready")
def on_demand_ready(context, count):
    assert sum(context.cloud.count_by_zone(Market.ON_DEMAND).values()) == count


@then("for any demand, limits and ready engines the orders are within the zone limits")
def within_limits(context):
    keys = [CountKey(zone, market) for zone in PRICES for market in Market]
    counts = st.dictionaries(st.sampled_from(keys), st.integers(0, 2))

    @for_all(st.floats(0, 1e6), st.integers(1, 4), counts, st.booleans())
    def check(tokens, most, ready, reclaimable):
        offers = [ZoneOffer(z, price, 1, most) for z, price in PRICES.items()]
        planner = CountPlanner(BOOT_S)
        for step in range(4):
            plan = planner.plan(tokens, offers, reclaimable, ready, 5.0 * step)
            for zone in PRICES:
                total = sum(n for key, n in plan.items() if key.zone == zone)
                held = sum(n for key, n in ready.items() if key.zone == zone)
                assert total <= max(most, held), (zone, plan)
                assert all(n >= 0 for n in plan.values())

    check()


@given("9 gateways that get requests for 10000 tokens a second each for 10 s")
def demand_at_gateways(context):
    gateways = [TokenDemand() for _ in range(9)]
    for tick in range(100):
        for gateway in gateways:
            gateway.on_requested(1000, 0.1 * tick)
    context.gateway = gateways[0]
    for number, gateway in enumerate(gateways[1:]):
        context.gateway.on_peer_report(
            f"g{number}", gateway.local_tokens_per_s(9.95), 9.95
        )


@then("their total is 85000 to 95000 tokens a second, and less than 100 after 20 s")
def demands_add_up(context):
    assert 85_000 <= context.gateway.total_tokens_per_s(9.95) <= 95_000
    assert context.gateway.total_tokens_per_s(30.0) < 100


@when(
    "there is no request for {time_s:d} s and limits allow {tokens:d} tokens a second"
)
def no_request(context, time_s, tokens):
    context.cloud.prior_per_s = tokens
    context.cloud.run(0, time_s)


@then("{count:d} or more engines are ready")
def at_least_ready(context, count):
    assert context.cloud.count_ready() >= count, context.cloud.ready


@then("no on-demand engine is ordered or left within 15 s")
def none_on_demand(context):
    cloud = context.cloud
    cloud.max_on_demand, cloud.cost = 0, 0.0
    cloud.run(context.tokens, 15.0)
    assert cloud.max_on_demand == 0, cloud.ready


@then("after {seconds:d} s more no on-demand engine is left")
def no_on_demand_left(context, seconds):
    context.cloud.run(context.tokens, seconds)
    assert not context.cloud.count_by_zone(Market.ON_DEMAND), context.cloud.ready


@then("in these 15 s the cost is below 0.5 of that without spares")
def cheaper_with_spares(context):
    other = Cloud(True)
    other.run(context.tokens, 20.0)
    other.refused_until_s = other.now_s + 15.0
    for zone in list(other.count_by_zone(Market.RECLAIMABLE))[:2]:
        other.ready[CountKey(zone, Market.RECLAIMABLE)] = 0
    other.cost = 0.0
    other.run(context.tokens, 15.0)
    assert context.cloud.cost < 0.5 * other.cost, (context.cloud.cost, other.cost)


@then("spares at {price:g} in {zones:d} zones are {held}")
def spares_held(context, price, zones, held):
    assert are_spares_cheap(price, zones) == (held == "held")
