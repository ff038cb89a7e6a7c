"""Steps of duties.feature: two gateways over one replicated store, no cloud."""

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
CLOUD = DutySettings("127.0.0.1:1", True, True, 3.0)


class SharedStore:
    """The state group of a test: one store, always there."""

    def __init__(self):
        self.store = Store()

    async def propose(self, command, timeout_s):
        """Apply a command."""
        return Ok(self.store.apply(command))


def holder(context, host, answers=True):
    """Return a gateway's duties whose calls to the cloud are recorded."""
    settings = replace(gateway_settings(), host=host, duties=CLOUD)
    state = make_state(settings, PlatformDialect(1000), boot_s(), 1_700_000_000.0)
    duties = Duties(state, context.shared, None)
    duties.holder = f"{host}#1"

    async def call(path, body):
        context.calls.append((path, orjson.loads(body)))
        return Ok(200) if answers else Error(UnavailableError("call", "cloud", "lost"))

    duties.call = call
    return duties


def count(duties, requests):
    """Count requests of the window."""
    for _ in range(requests):
        duties.state.usage.on_begun("choir", WINDOW * 5.0 + 1.0)


def report(duties):
    """Hold the lease and report the window."""

    async def run():
        await duties._keep_lease()
        await duties._report_window(WINDOW)

    asyncio.run(run())


def first_holder(context, answers):
    context.shared, context.calls = SharedStore(), []
    context.first = holder(context, "g1", answers)
    count(context.first, 5)
    report(context.first)
    assert len(context.calls) == 1, context.calls


@given("a holder that committed and reported 5 requests of a window")
def committed(context):
    first_holder(context, answers=True)


@given("a holder whose report had no answer")
def no_answer(context):
    first_holder(context, answers=False)
    assert WINDOW not in context.first.reported


@when("it counts 2 more requests of the window and reports again")
def again(context):
    count(context.first, 2)
    report(context.first)


def dies(context):
    """Let the lease of the first holder lapse, as the leader does."""
    lease = context.shared.store.lease(LEASE_NAME)
    lapse = pb.LeaseLapse(
        name=LEASE_NAME,
        fencing_number=lease.fencing_number,
        renewals=lease.renewals,
    )
    result = context.shared.store.apply(pb.Command(lease_lapse=lapse))
    assert result.status == pb.CommandResult.APPLIED, result
    context.next = holder(context, "g2")


@when("it dies and the next holder counted 4 requests of that window")
def next_counted(context):
    dies(context)
    count(context.next, 4)
    # The wait for the earlier holder is over.
    context.next.may_act = lambda now_s: True
    report(context.next)


@then("both reports of the window are the same")
def same(context):
    first, second = context.calls
    assert first == second == ("/usage", {"window_number": 12, "counts": {"choir": 5}})


@when("it dies and the next holder has the lease")
def has_lease(context):
    dies(context)
    asyncio.run(context.next._keep_lease())


@then("the next holder has a larger number and may not act at once")
def waits(context):
    lease = context.next.lease
    assert lease.fencing_number > context.first.lease.fencing_number
    assert lease.held(int(boot_s() * 1000))
    assert not context.next.may_act(boot_s())


@then(
    "it may act once the earlier lease, the cloud's bound and the longest call are over"
)
def acts_later(context):
    duties = context.next
    granted_s = duties.lease.granted_at_ms / 1000
    # It renews meanwhile; here the validity is simply stretched.
    duties.lease.valid_until_ms += 60_000
    assert not duties.may_act(granted_s + CLOUD.lease_s + 1.4)
    assert duties.may_act(granted_s + CLOUD.lease_s + 1.8)


@then("it may not act 2.4 s after its last renewal")
def lapsed(context):
    assert context.first.may_act(boot_s())
    assert not context.first.may_act(boot_s() + LEASE_MS / 1000)


@when("it is told to stop")
def told(context):
    context.first.state.is_draining = True
    asyncio.run(context.first._step())


@then("the lease is free and it may not act")
def free(context):
    assert context.shared.store.lease(LEASE_NAME).holder == ""
    assert not context.first.may_act(boot_s())
