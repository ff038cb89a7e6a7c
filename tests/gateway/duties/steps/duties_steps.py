"""Steps of duties.feature: two gateways share a store; cloud calls are recorded."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import orjson
from behave import given, then, when
from expression import Error, Ok

from support.gateway_world import gateway_settings
from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import UnavailableError
from tanagerturn.coordination.store import Store
from tanagerturn.gateway.duties import LEASE_MS, LEASE_NAME, Duties
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
