"""Steps of orders.feature: one gateway, and a store without a network."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import orjson
from behave import given, then, when
from expression import Error, Ok

from support.gateway_world import gateway_settings, manifest
from tanagerturn.coordination.errors import UnavailableError
from tanagerturn.coordination.store import Store
from tanagerturn.gateway.messages import StartRollout
from tanagerturn.gateway.rollouts.codec import state_of
from tanagerturn.gateway.rollouts.orders import (
    RolloutOrders,
    StoredOrder,
    with_decision,
)
from tanagerturn.gateway.rollouts.support import unsupporting_hosts
from tanagerturn.gateway.state import make_state
from tanagerturn.platform.dialect import PlatformDialect
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.rollouts.messages import ExposureBound, RolloutState

LOST = Error(UnavailableError("call state group", "", "no response"))


class OneStore:
    """Replaces the state group by a local store."""

    def __init__(self):
        self.store = Store()
        self.is_available = True
        self.lost = ""
        """What happens to the next commit, whose response is lost; empty for none."""

    async def propose(self, command, timeout_s):
        """Apply a command, or lose its response."""
        if not self.is_available:
            return LOST
        lost, self.lost = self.lost, ""
        if lost != "was not applied":
            result = self.store.apply(command)
        return LOST if lost else Ok(result)

    async def read(self, key, timeout_s):
        """Return the entry of a key."""
        return Ok(self.store.entries.get(key)) if self.is_available else LOST


class Configurations:
    """Replaces the configurations; the newest one has no other services."""

    def __init__(self, store):
        self.store = store

    async def read_newest(self):
        """Read the newest configuration."""
        return Ok(b"") if self.store.is_available else LOST


def world(context):
    """Make the gateway of a scenario at the first step that needs it."""
    if hasattr(context, "orders"):
        return
    settings = replace(gateway_settings(), rollouts=ExposureBound())
    state = make_state(settings, PlatformDialect(1000), 0.0, 1_700_000_000.0)
    context.now_s = 0.0
    state.wall_clock.read = lambda now_s: 1_700_000_000.0 + context.now_s
    state.adopt(state.dialect.decode_configuration(manifest_bytes()).ok, 0.0)
    context.store, context.missing, context.accepted = OneStore(), [], []
    context.service = "desk"
    context.orders = RolloutOrders(
        state,
        context.store,
        Configurations(context.store),
        lambda _: context.missing,
        context.accepted.append,
    )


def manifest_bytes():

    return orjson.dumps(manifest(version=1))


def newest(context) -> StoredOrder | None:
    context.store.is_available = True
    return asyncio.run(context.orders.read("desk")).ok


@given("an order of {target} in {duration_s:d} s was accepted and {state}")
def accepted_order(context, target, duration_s, state):
    world(context)
    order(context, target, duration_s, 0)
    assert context.outcome == "accepted", context.outcome
    if state != "active":
        stored = newest(context)
        changed = with_decision(stored.rollout, RolloutState(state), 0.0)
        committed = asyncio.run(context.orders.commit(changed, stored.revision, 1.0))
        assert committed.is_ok()


@given("the response to the next commit is lost, and it {fate}")
def response_lost(context, fate):
    world(context)
    context.store.lost = fate


@given("no majority answers")
def no_majority(context):
    world(context)
    context.store.is_available = False


@given("gateway {host} is not known to support rollouts")
def without_support(context, host):
    world(context)
    context.missing = [host]


@given("the service is unknown")
def unknown_service(context):
    world(context)
    context.service = "shelf"


@given("the service is unknown and no majority answers")
def unknown_service_unsure(context):
    unknown_service(context)
    context.store.is_available = False


@when("{target} in {duration_s:d} s is ordered {later_s:d} s later")
def order(context, target, duration_s, later_s):
    context.now_s += later_s
    call = StartRollout(context.service, target, duration_s * 1000)
    result = asyncio.run(context.orders.start(call))
    context.outcome = "unavailable" if result.is_error() else result.ok.value


@then("it is {outcome}, and the newest order is {target} number {number:d}")
def newest_is(context, outcome, target, number):
    assert context.outcome == outcome, context.outcome
    rollout = newest(context).rollout
    assert (rollout.target, rollout.number) == (target, number), rollout
    is_new = outcome == "accepted"
    assert not is_new or state_of(rollout) is RolloutState.ACTIVE
    assert not is_new or context.accepted[-1] == rollout


@then("it is {outcome}, and there is no order")
def no_order(context, outcome):
    assert context.outcome == outcome, context.outcome
    assert newest(context) is None
    assert not context.accepted


@given("peers g2 and g3 with members, of which {old} does not know rollouts")
def peers(context, old):
    context.digests = {}
    for host in ("g2", "g3"):
        digest = gpb.Digest(host=host, knows_rollouts=host != old)
        digest.member.id = f"m-{host}"
        context.digests[host] = digest


@when(
    "the hosts without support are listed, with present {present} and voters {voters}"
)
def list_unsupporting(context, present, voters):
    ids = [] if voters == "none" else [f"m-{host}" for host in voters.split(",")]
    context.listed = unsupporting_hosts(
        present.split(","), context.digests, "g1", "m-g1", ids
    )


@then("they are {listed}")
def listed_are(context, listed):
    assert (", ".join(context.listed) or "none") == listed, context.listed
