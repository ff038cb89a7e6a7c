"""Steps of limits.feature."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from expression import Error, Ok
from prometheus_client import CollectorRegistry, Counter

from support.gateway_world import gateway_settings
from support.limit_cluster import LIMIT, TOLERANCE, Faults, LimitCluster
from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import UnavailableError
from tanagerturn.gateway.limit_charges import Charge
from tanagerturn.gateway.limits import AccountLimits, Unverified
from tanagerturn.gateway.state import make_state
from tanagerturn.platform.dialect import PlatformDialect
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.limits.owned import owner_of
from tanagerturn.serving.limits.terms import (
    AccountLimit,
    Admitted,
    Exceeded,
    Tolerance,
)

UNITS = 100.0
"""Units that each request costs."""

TERMS = {"choir": AccountLimit(0.001, 10 * UNITS)}
"""Limit with a burst of ten requests and a rate of almost no units per second."""


FILL_S = 2_000_000
"""Time in seconds after which the bucket of a new owner is full at that rate."""

RESERVE_TOLERANCE = Tolerance(80 * UNITS, 0.0, 8.0)
"""Tolerance at which each of two gateways holds a reserve of four requests."""


class DirectLinks:
    """Links that pass frames directly to the limits of the other gateway."""

    def __init__(self, other):
        self.other = other
        self.is_slow = False

    def link_to(self, address):
        """Return these links as the link to the other gateway."""
        assert address == "other:1"
        return self

    async def call(self, frame, timeout_s):
        """Return the owner's response to a call, or an error if the owner is slow."""
        if self.is_slow:
            return Error(UnavailableError("call gateway", "other:1", "timeout"))
        return Ok(await self.other.serve(frame.take, self, boot_s()))

    def send_one_way(self, frame):
        """Deliver a correction to the owner."""
        self.other.on_correction(frame.correction, self)


@given("an account owned by another gateway, whose burst is used up")
def owned_by_other(context):
    owner = owner_of("choir", ["g1", "g2"])
    here = "g2" if owner == "g1" else "g1"
    limits = [AccountLimits(n, Tolerance(0.0, 0.0, 8.0)) for n in (here, owner)]
    for each in limits:
        each.set_terms(TERMS, boot_s() - FILL_S)
    context.local_limits, other = limits
    context.owner_limits = other
    context.local_limits.set_gateways({owner: "other:1"}, 1.0, boot_s())
    context.links = DirectLinks(other)
    while isinstance(charge_request(context), Admitted):
        pass


def charge_request(context):
    return asyncio.run(context.local_limits.charge("choir", UNITS, context.links))


@then("a further request is refused with a time to retry")
def further_refused(context):
    taken = charge_request(context)
    assert isinstance(taken, Exceeded)
    assert taken.retry_after_s > 0


@when("a request that never ran is refunded at this gateway")
def request_refunded(context):
    context.local_limits.refund("choir", UNITS, context.links)


@then("a further request is admitted")
def further_admitted(context):
    assert isinstance(charge_request(context), Admitted)


@given("an account owned by another gateway, which is slow to respond")
def slow_owner(context):
    limits = AccountLimits("g1", RESERVE_TOLERANCE)
    other = AccountLimits("g2", RESERVE_TOLERANCE)
    account = next(
        name
        for name in (f"choir{n}" for n in range(99))
        if owner_of(name, ["g1", "g2"]) == "g2"
    )
    context.account, context.local_limits, context.owner_limits = account, limits, other
    for each in (limits, other):
        each.set_terms({account: AccountLimit(0.001, 10 * UNITS)}, boot_s() - FILL_S)
    limits.set_gateways({"g2": "other:1"}, 1.0, boot_s())
    other.set_gateways({"g1": "here:1"}, 1.0, boot_s())
    context.links = DirectLinks(other)
    context.links.is_slow = True


def count_admitted(context, limits):
    """Charge requests until one is refused and return the number of admitted ones."""
    count = 0
    while isinstance(
        asyncio.run(limits.charge(context.account, UNITS, context.links)), Admitted
    ):
        count += 1
    return count


@when("one gateway admits requests from its reserve until it refuses")
def admits_from_reserve(context):
    context.admitted_count = count_admitted(context, context.local_limits)
    assert context.admitted_count == 4, context.admitted_count


@then("the owner admits fewer requests by that number")
def owner_admits_fewer(context):
    # A burst of 10 requests, and a debt of 0.12 of 80 requests.
    expected_count = 10 + 9 - context.admitted_count
    owner_count = count_admitted(context, context.owner_limits)
    assert owner_count == expected_count, (owner_count, expected_count)


@then(
    "the owner reports {admitted:d} admitted, {refused:d} refused and "
    "{refunded:d} refunded units"
)
def owner_reports(context, admitted, refused, refunded):
    registry = CollectorRegistry()
    counter = Counter("units", "Units.", ("charge",), registry=registry)
    for _ in range(2):
        # The second report is empty: the units were already counted.
        context.owner_limits.report(counter, boot_s())
    reported = [
        registry.get_sample_value("units_total", {"charge": charge})
        for charge in ("admitted", "refused", "refunded")
    ]
    assert reported == [admitted, refused, refunded], reported


def make_cluster(count, **faults):
    return LimitCluster(count, Faults(**faults), seed=1)


@given("{count:d} gateways, of whose frames {late:g} are up to {delay_s:g} s late")
def late_gateways(context, count, late, delay_s):
    context.cluster = make_cluster(count, late_fraction=late, max_delay_s=delay_s)


@given(
    "{count:d} gateways, the owner of the limit being stopped from {start_s:g} to "
    "{end_s:g} s"
)
def stopped_owner(context, count, start_s, end_s):
    context.cluster = make_cluster(count, stopped_s=(start_s, end_s))


@given(
    "{count:d} gateways that each do not see {unseen:g} of their peers, "
    "others each 0.8 s"
)
def differing_views(context, count, unseen):
    context.cluster = make_cluster(count, unseen_fraction=unseen)


@when(
    "requests arrive at all gateways at {times:g} times the limit for {duration_s:g} s"
)
def requests_arrive(context, times, duration_s):
    context.cluster.run(times, duration_s)
    context.duration_s = duration_s


@then(
    "the admitted units of no window of 8 s exceed the limit and the tolerated excess"
)
def within_tolerance(context):
    allowed = LIMIT.rate_per_s * TOLERANCE.window_s + LIMIT.burst
    allowed += TOLERANCE.excess_units(LIMIT)
    highest = context.cluster.highest_window_units()
    print(f"\nhighest number of units in a window: {highest:.0f} of {allowed:.0f}")
    assert highest <= allowed, (highest, allowed)


@then("at least {share:g} of the limit was used")
def limit_was_used(context, share):
    total = sum(units for _, units in context.cluster.admitted)
    assert total >= share * LIMIT.rate_per_s * context.duration_s, total


@given("three gateways, of which one does not reach the owner of an account")
def unreachable_owner(context):
    context.cluster = make_cluster(3, unreachable=True)


@given("a gateway that has heard from 1 of 3 gateways and selects itself as owner")
def gateway_without_peers(context):
    context.account = next(
        name
        for name in (f"choir{n}" for n in range(99))
        if owner_of(name, ["g1", "g2"]) == "g1"
    )
    context.local_limits = AccountLimits("g1", RESERVE_TOLERANCE)
    terms = {context.account: AccountLimit(0.001, 10 * UNITS)}
    context.local_limits.set_terms(terms, boot_s() - FILL_S)
    context.local_limits.set_gateways(
        {"g2": "other:1"}, 2 / 3, boot_s(), has_met_all=False
    )
    context.links = DirectLinks(AccountLimits("g2", RESERVE_TOLERANCE))
    context.links.is_slow = True


@then("it admits no request of the account and says that the owner does not respond")
def nothing_admitted(context):
    charge = context.local_limits.charge(context.account, UNITS, context.links)
    assert isinstance(asyncio.run(charge), Unverified)


@then("it admits requests of the account after it has heard from all gateways")
def admitted_after_meeting(context):
    context.local_limits.set_gateways({"g2": "other:1"}, 1.0, boot_s() - FILL_S)
    charge = context.local_limits.charge(context.account, UNITS, context.links)
    assert isinstance(asyncio.run(charge), Admitted)


@then("{share:g} of the requested units were admitted")
def share_admitted(context, share):
    admitted = sum(units for _, units in context.cluster.admitted)
    assert admitted >= share * context.cluster.requested_units, admitted


@given(
    "{count:d} gateways that know {known:d} gateways, have met {met:d} and see 3 peers"
)
def gateways_with_budget(context, count, known, met):
    context.states = []
    for _ in range(count):
        state = make_state(gateway_settings(), PlatformDialect(1000), 0.0, 0.0)
        peers = {f"g{n}": f"10.0.0.{n}:7600" for n in range(2, 5)}
        state.set_gateways(peers, known, met, 0.0)
        context.states.append(state)


@when("each of them retries as often as it may")
def retry_often(context):
    context.retry_count = 0
    for state in context.states:
        window = state.retry_window("desk")
        while window.take(state.budget_gateways, 1.0):
            context.retry_count += 1


@then("all of them together make at most {count:d} retries")
def retries_within_budget(context, count):
    assert context.retry_count <= count, context.retry_count


@given("a gateway that owns the limit of an account and has a peer")
def owner_with_peer(context):
    gateway_without_peers(context)
    context.local_limits.set_gateways({"g2": "other:1"}, 1.0, boot_s() - FILL_S)
    context.links.is_slow = False
    other = context.links.other
    other.set_terms(context.local_limits.owned.limits_by_account, boot_s() - FILL_S)
    assert context.account in context.local_limits.owned.buckets


@when("it starts to drain")
def starts_to_drain(context):
    context.local_limits.set_gateways(
        {"g2": "other:1"}, 1.0, boot_s(), is_draining=True
    )


@then("it asks its peer to charge a request of the account")
def asks_peer(context):
    charge = context.local_limits.charge(context.account, UNITS, context.links)
    assert isinstance(asyncio.run(charge), Admitted)
    charges = context.links.other.sums.units[context.account]
    assert charges == {Charge.ADMITTED: UNITS}, charges


@then("it owns no limit")
def owns_no_limit(context):
    assert not context.local_limits.owned.buckets


@when("it notices that it was suspended")
def notices_pause(context):
    context.local_limits.on_pause(boot_s())


@then("it owns the limit, with no units left")
def owns_without_units(context):
    bucket = context.local_limits.owned.buckets[context.account]
    assert bucket.units <= 0, bucket


@when("a peer asks it to charge a request of an account that it does not know")
def peer_asks_for_unknown(context):
    unknown = next(
        name
        for name in (f"bell{n}" for n in range(99))
        if owner_of(name, ["g1", "g2"]) == "g1"
    )
    call = gpb.TakeCall(client_account=unknown, units=UNITS)
    serve = context.local_limits.serve(call, context.links, boot_s())
    context.response = asyncio.run(serve)


@then("it responds that it does not know the limit")
def limit_unknown(context):
    assert context.response.WhichOneof("kind") == "failure", context.response
    assert "no limit of the client account" in context.response.failure.reason
