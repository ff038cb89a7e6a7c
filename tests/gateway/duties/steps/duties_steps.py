"""Steps of duties.feature: two gateways share a store; cloud calls are recorded."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import orjson
from behave import given, then, when
from expression import Error, Ok

from support.digest_messages import announce
from support.gateway_world import gateway_settings
from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import UnavailableError
from tanagerturn.coordination.store import Store
from tanagerturn.gateway.capacity import CapacityOrders
from tanagerturn.gateway.configuration import EngineTraits, Scaling, Service
from tanagerturn.gateway.duties import LEASE_MS, LEASE_NAME, Duties
from tanagerturn.gateway.messages import LoadHint, Prompt, PromptPart
from tanagerturn.gateway.settings import DutySettings
from tanagerturn.gateway.state import make_state
from tanagerturn.platform.dialect import PlatformDialect
from tanagerturn.schema import coordination_pb2 as pb

WINDOW = 12
"""Number of the reported window."""

CLOUD = DutySettings("127.0.0.1:1", True, True, 3.0)
"""Settings with both duties and a holder bound of 3 s; no cloud API listens there."""


class SharedStore:
    """Replaces the state group by one local store that is always available."""

    def __init__(self):
        self.store = Store()

    async def propose(self, command, timeout_s):
        """Apply a command to the store."""
        return Ok(self.store.apply(command))


def make_duties(context, host, answers=True):
    """Return the duties of a gateway whose calls to the cloud API are recorded."""
    settings = replace(gateway_settings(), host=host, duties=CLOUD)
    state = make_state(settings, PlatformDialect(1000), boot_s(), 1_700_000_000.0)
    duties = Duties(state, context.shared_store, None)
    duties.own_holder_id = f"{host}#1"

    async def call(path, body):
        context.cloud_calls.append((path, orjson.loads(body)))
        return Ok(200) if answers else Error(UnavailableError("call", "cloud", "lost"))

    duties.call_cloud = call
    return duties


def count_requests(duties, requests):
    """Count started requests in the window."""
    for _ in range(requests):
        duties.state.usage.on_run_started("choir", WINDOW * 5.0 + 1.0)


def report(duties):
    """Acquire or renew the lease and report the window."""

    async def run():
        await duties._maintain_lease()
        await duties._report_window(WINDOW)

    asyncio.run(run())


def first_holder(context, answers):
    context.shared_store, context.cloud_calls = SharedStore(), []
    context.first_duties = make_duties(context, "g1", answers)
    count_requests(context.first_duties, 5)
    report(context.first_duties)
    assert len(context.cloud_calls) == 1, context.cloud_calls


@given("a holder that committed and reported 5 requests of a window")
def holder_reported(context):
    first_holder(context, answers=True)


@given("a holder whose report got no response")
def report_without_response(context):
    first_holder(context, answers=False)
    assert WINDOW not in context.first_duties.reported_windows


@when("the holder counts 2 more requests of the window and reports again")
def reports_again(context):
    count_requests(context.first_duties, 2)
    report(context.first_duties)


def crash(context):
    """Let the lease of the first holder expire, as the leader does after a crash."""
    lease = context.shared_store.store.lease(LEASE_NAME)
    lapse = pb.LeaseLapse(
        name=LEASE_NAME,
        fencing_number=lease.fencing_number,
        renewals=lease.renewals,
    )
    result = context.shared_store.store.apply(pb.Command(lease_lapse=lapse))
    assert result.status == pb.CommandResult.APPLIED, result
    context.next_duties = make_duties(context, "g2")


@when("the holder crashes and the next one counted 4 requests of that window")
def next_counted(context):
    crash(context)
    count_requests(context.next_duties, 4)
    # Skips the time for which a new holder waits for the previous one.
    context.next_duties.may_call_cloud = lambda now_s: True
    report(context.next_duties)


@then("both reports of the window are the same")
def reports_are_same(context):
    first, second = context.cloud_calls
    assert first == second == ("/usage", {"window_number": 12, "counts": {"choir": 5}})


@when("the holder crashes and the next one acquires the lease")
def next_acquires(context):
    crash(context)
    asyncio.run(context.next_duties._maintain_lease())


@then("the next holder has a larger fencing number and may not call the cloud API yet")
def next_waits(context):
    lease = context.next_duties.lease
    assert lease.fencing_number > context.first_duties.lease.fencing_number
    assert lease.held(int(boot_s() * 1000))
    assert not context.next_duties.may_call_cloud(boot_s())


@then(
    "the next holder may call once the previous lease, the cloud's bound "
    "and the longest call are over"
)
def may_call_later(context):
    duties = context.next_duties
    granted_s = duties.lease.granted_at_ms / 1000
    # Extends the lease as renewals would in the meantime.
    duties.lease.valid_until_ms += 60_000
    assert not duties.may_call_cloud(granted_s + CLOUD.lease_s + 1.4)
    assert duties.may_call_cloud(granted_s + CLOUD.lease_s + 1.8)


@then("the holder may not call the cloud API 2.4 s after its last renewal")
def lease_expired(context):
    assert context.first_duties.may_call_cloud(boot_s())
    assert not context.first_duties.may_call_cloud(boot_s() + LEASE_MS / 1000)


@when("the process of the holder starts to drain")
def process_drains(context):
    context.first_duties.state.is_draining = True
    asyncio.run(context.first_duties._step())


@then("the lease is free and the process may not call the cloud API")
def lease_is_free(context):
    assert context.shared_store.store.lease(LEASE_NAME).holder == ""
    assert not context.first_duties.may_call_cloud(boot_s())


@given("a holder whose 20 engines report {report}")
def engines_report(context, report):
    state = make_state(gateway_settings(), PlatformDialect(1000), 0.0, 1.7e9)
    scaling = Scaling(0, 30, 4.0, 0.0, {"a": 1.0})
    engine = EngineTraits(400_000, 0.0, can_move=False, can_back_up=False)
    service = Service("desk", "", 0, 64, engine, scaling)
    state.configuration = replace(state.configuration, services={"desk": service})
    for number in range(20):
        announce(state, number)
    percent = 100 if report == "four figures" else None
    for backend in state.fleet.view.backends.values():
        state.fleet.on_load_hint(backend, LoadHint(0, 0, 64, percent), boot_s())
    context.state, context.orders = state, []

    async def send(service, key, count):
        context.orders.append(count)
        return 200

    context.capacity = CapacityOrders(state, send, boot_s() - 10.0)


@when(
    "200 generations were served in time, and {tokens:d} tokens a second are requested"
)
def generations_served(context, tokens):
    fleet, now_s = context.state.fleet, boot_s()
    prompt = Prompt("m", 2_000, 0, (PromptPart("s", 1_000), PromptPart("o", 1_000)))
    for number in range(10):
        for backend in fleet.view.backends.values():
            attempt = f"r{number}"
            fleet.on_forwarded(backend, attempt, prompt, now_s - 0.2, 0.2)
            fleet.on_first_event(backend.id, attempt, now_s)
            fleet.on_request_ended(backend.id, attempt)

    async def plan():
        for step in range(400):
            at_s = now_s + 0.25 * step
            context.state.token_demand.on_peer_report("g2", tokens, at_s)
            for backend in fleet.view.backends.values():
                backend.record_heartbeat(int(at_s * 1000))
                fleet.on_forwarded(backend, "r", prompt, at_s, 0.2)
                fleet.on_request_ended(backend.id, "r")
            await context.capacity.step(at_s)

    asyncio.run(plan())


@then("{least:d} to {most:d} engines are ordered")
def engines_ordered(context, least, most):
    assert least <= context.orders[-1] <= most, context.orders
