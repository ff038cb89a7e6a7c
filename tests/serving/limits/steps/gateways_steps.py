"""Steps of gateways.feature."""

from __future__ import annotations

from collections import deque

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from tanagerturn.serving.limits.owned import OwnedLimits, owner_of
from tanagerturn.serving.limits.reserve import RESERVE_SHARE, GatewayReserve
from tanagerturn.serving.limits.terms import (
    AccountLimit,
    Admitted,
    Exceeded,
    Tolerance,
)

RATE_PER_S, BURST = 76_506.0, 112_296.0
LIMITS = {"big": AccountLimit(RATE_PER_S, BURST)}
# Maximum units per window: (rate x window + burst) x (1 + overage) + allowance.
WINDOW_S, OVERAGE, ALLOWANCE = 8.0, 0.1, 190_000.0
TOLERANCE = Tolerance(ALLOWANCE, OVERAGE, WINDOW_S)
NO_TOLERANCE = Tolerance(0.0, 0.0, WINDOW_S)


@given("{count:d} gateways with one owner of the limit of an account")
def gateways_with_owner(context, count):
    context.gateways = count
    # The owner has owned the account for a while before the first request.
    context.owner = make_owner(TOLERANCE, -10.0)


def make_owner(tolerance, owned_since_s):
    owner = OwnedLimits(tolerance)
    owner.replace_limits(LIMITS, owned_since_s)
    owner.set_owned(LIMITS, owned_since_s)
    return owner


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
            context.owner = make_owner(TOLERANCE, now_s)
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
    context.owner = make_owner(NO_TOLERANCE, 0.0)
    context.owner.try_charge("big", 1, 0.0)
    context.owner.set_visible_share(0.5, 0.0)
    context.owner.try_charge("big", BURST, 0.0)


@then("the owner grants half of the rate")
def grants_half_rate(context):
    bucket = context.owner.buckets["big"]
    assert bucket.rate_per_s == RATE_PER_S / 2


@when("{times:d} gateways in turn own the account for {each_s:g} s each")
def owners_in_turn(context, times, each_s):
    units, now_s = 17_000, 0.0
    context.admitted = []
    for _ in range(times):
        context.owner = make_owner(TOLERANCE, now_s)
        end_s = now_s + each_s
        while now_s < end_s:
            if isinstance(context.owner.try_charge("big", units, now_s), Admitted):
                context.admitted.append((now_s, units))
            now_s += units / (RATE_PER_S * 7.5)


@given("{count:d} gateways that each hold a part of the reserve")
def gateways_with_reserve(context, count):
    context.reserves = [GatewayReserve(TOLERANCE) for _ in range(count)]
    for reserve in context.reserves:
        reserve.replace_limits(LIMITS, 0.0)
        reserve.set_gateways(count, 0.0)


@when("requests of {units:d} tokens arrive at each of them without end")
def requests_at_each(context, units):
    context.admitted, now_s = [], 0.0
    while now_s < 3 * WINDOW_S:
        for reserve in context.reserves:
            while reserve.try_charge("big", units, now_s):
                context.admitted.append((now_s, units))
        now_s += 0.05


@then("in no window of 8 s they admit more than the reserve, and at least half of it")
def within_reserve(context):
    reserve = RESERVE_SHARE * TOLERANCE.excess_units(LIMITS["big"])
    highest = max(
        sum(u for at_s, u in context.admitted if start_s <= at_s < start_s + WINDOW_S)
        for start_s, _ in context.admitted
    )
    assert reserve / 2 <= highest <= reserve, (highest, reserve)


@then("none of them admits a request of {units:d} tokens")
def none_admits(context, units):
    assert not any(r.try_charge("big", units, 1e6) for r in context.reserves)


@then("a gateway that does not know how many there are admits nothing")
def unknown_admits_nothing(context):
    reserve = GatewayReserve(TOLERANCE)
    reserve.replace_limits(LIMITS, 0.0)
    assert not reserve.try_charge("big", 1, 1e6)
    reserve.set_gateways(9, 0.0)
    assert reserve.try_charge("big", 1, 1e6)
    reserve.set_gateways(0, 0.0)
    assert not reserve.try_charge("big", 1, 2e6)


@when('a configuration adds the account "{name}"')
def configuration_adds_account(context, name):
    context.owner.replace_limits({**LIMITS, name: LIMITS["big"]}, 0.0)
    context.owner.set_owned(["big", name], 0.0)


@then('a request of {units:d} tokens of the account "{name}" is admitted at once')
def admitted_at_once(context, units, name):
    assert isinstance(context.owner.try_charge(name, units, 0.0), Admitted)
