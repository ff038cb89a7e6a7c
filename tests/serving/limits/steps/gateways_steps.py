"""Steps of gateways.feature."""

from __future__ import annotations

from collections import deque

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from tanagerturn.serving.limits.divided import (
    AccountLimit,
    Admitted,
    DividedLimits,
    Exceeded,
    Tolerance,
)
from tanagerturn.serving.limits.owned import OwnedLimits, owner_of

RATE_PER_S, BURST = 76_506.0, 112_296.0
LIMITS = {"big": AccountLimit(RATE_PER_S, BURST)}
# Maximum units per window: (rate x window + burst) x (1 + overage) + allowance.
WINDOW_S, OVERAGE, ALLOWANCE = 8.0, 0.1, 190_000.0
TOLERANCE = Tolerance(ALLOWANCE, OVERAGE, WINDOW_S)
NO_TOLERANCE = Tolerance(0.0, 0.0, WINDOW_S)


@given("{count:d} gateways with one owner of the limit of an account")
def gateways_with_owner(context, count):
    context.gateways = count
    context.owner = OwnedLimits(TOLERANCE)
    context.owner.replace_limits(LIMITS, 0.0)


@when(
    "requests of {units:d} tokens arrive at all gateways "
    "at {times:g} times the limit for 40 s"
)
def requests_arrive(context, units, times):
    # All gateways send their requests to the owner, so the owner's decisions do not
    # depend on the number of gateways.
    interval_s = units / (RATE_PER_S * times)
    context.admitted, context.refused, now_s = [], 0, 0.0
    while now_s < 40.0:
        taken = context.owner.try_charge("big", units, now_s)
        if isinstance(taken, Admitted):
            context.admitted.append((now_s, units))
        else:
            context.refused += 1
        now_s += interval_s


@then(
    "the admitted units of no window of 8 s exceed the limit and the tolerated excess"
)
def within_tolerance(context):
    maximum = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + ALLOWANCE
    window, total, highest = deque(), 0.0, 0.0
    for at_s, units in context.admitted:
        window.append((at_s, units))
        total += units
        while window[0][0] <= at_s - WINDOW_S:
            total -= window.popleft()[1]
        highest = max(highest, total)
    print(f"\nhighest number of units in a window: {highest:.0f} of {maximum:.0f}")
    assert highest <= maximum


@then("at least {share:g} of the limit was used")
def limit_was_used(context, share):
    total = sum(units for _, units in context.admitted)
    assert total >= share * RATE_PER_S * 40.0, total


@then("at least {share:g} of the tolerated excess was used in addition to the limit")
def excess_used(context, share):
    total = sum(units for _, units in context.admitted)
    beyond = TOLERANCE.excess_units(LIMITS["big"]) * 40.0 / WINDOW_S
    assert total >= RATE_PER_S * 40.0 + share * beyond, total


@when(
    "the owner changes at {change_s:g} s "
    "and requests arrive at {times:g} times the limit"
)
def owner_changes(context, change_s, times):
    units = 17_000
    context.admitted, now_s, is_changed = [], 0.0, False
    while now_s < 40.0:
        if now_s >= change_s and not is_changed:
            is_changed = True
            context.owner = OwnedLimits(TOLERANCE)
            context.owner.replace_limits(LIMITS, now_s)
        # A pause before the change lets the bucket of the previous owner fill up, so
        # that this owner grants a full burst just before the change.
        is_pause = change_s - 6.0 < now_s < change_s - 0.5
        if not is_pause and isinstance(
            context.owner.try_charge("big", units, now_s), Admitted
        ):
            context.admitted.append((now_s, units))
        now_s += units / (RATE_PER_S * times)


@when("large requests have exhausted the limit and one of them is refunded")
def exhaust_and_refund(context):
    exhaust_limit(context)
    context.owner.apply_correction("big", -17_000, 0.0)


@then("a request of 17000 tokens is admitted and a second one is not")
def one_admitted(context):
    assert isinstance(context.owner.try_charge("big", 17_000, 0.0), Admitted)
    assert isinstance(context.owner.try_charge("big", 17_000, 0.0), Exceeded)


@then("no request was refused")
def none_refused(context):
    assert context.refused == 0, context.refused


@when("large requests have exhausted the limit")
def exhaust_limit(context):
    while isinstance(context.owner.try_charge("big", 17_000, 0.0), Admitted):
        pass


@then("a request of 200 tokens is admitted and a request of 17000 tokens is not")
def small_admitted(context):
    assert isinstance(context.owner.try_charge("big", 200, 0.0), Admitted)
    refused = context.owner.try_charge("big", 17_000, 0.0)
    assert isinstance(refused, Exceeded)
    after_s = refused.retry_after_s + 0.001
    assert isinstance(context.owner.try_charge("big", 17_000, after_s), Admitted)


@then("any gateways select the same owner, also after another gateway has left")
def gateways_agree(context):
    names = st.lists(st.text(min_size=1, max_size=4), min_size=2, unique=True)

    @for_all(names, st.randoms())
    def check(hosts, random):
        shuffled = list(hosts)
        random.shuffle(shuffled)
        owner = owner_of("big", hosts)
        assert owner == owner_of("big", shuffled)
        other = next(host for host in hosts if host != owner)
        assert owner_of("big", [h for h in hosts if h != other]) == owner

    check()


@given("an owner that sees half of the gateways")
def owner_sees_half(context):
    context.owner = OwnedLimits(NO_TOLERANCE)
    context.owner.replace_limits(LIMITS, 0.0)
    context.owner.try_charge("big", 1, 0.0)
    context.owner.set_visible_share(0.5, 0.0)
    context.owner.try_charge("big", BURST, 0.0)


@then("the owner grants half of the rate")
def grants_half_rate(context):
    bucket = context.owner.buckets["big"]
    assert bucket.rate_per_s == RATE_PER_S / 2


@given("9 gateways that know each other's demand")
def gateways_know_demand(context):
    context.divided_limits = [DividedLimits(TOLERANCE) for _ in range(9)]
    for divided in context.divided_limits:
        divided.gateways = 9
        divided.replace_limits(dict(LIMITS), 0.0)


@when("one gateway receives all requests")
def one_receives_all(context):
    now_s = 0.0
    while now_s < 10.0:
        context.divided_limits[0].try_charge("big", 17_000, now_s)
        reported = [
            divided.demands_by_account(now_s) for divided in context.divided_limits
        ]
        for number, divided in enumerate(context.divided_limits):
            for other, demand in enumerate(reported):
                if other != number:
                    divided.on_peer_demand(f"g{other}", demand, now_s)
        now_s += 0.25
    context.now_s = now_s


@then("its share is more than 0.8 of the limit, and all shares add up to 1")
def shares_by_demand(context):
    shares = [s.share(s.accounts["big"], context.now_s) for s in context.divided_limits]
    assert shares[0] > 0.8, shares
    assert abs(sum(shares) - 1.0) < 0.01, sum(shares)
