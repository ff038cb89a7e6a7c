"""Steps of choice.feature: the rollouts and the fleet of one gateway; no network."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

from behave import given, then, when

from tanagerturn.gateway.backends.forwarded import decode_request, encode_request
from tanagerturn.gateway.configuration import RequestKind
from tanagerturn.gateway.fleet import Fleet
from tanagerturn.gateway.rollouts.codec import (
    STATES,
    IssuedPermission,
    decode_evidence,
    encode_evidence,
    permission_of,
)
from tanagerturn.gateway.rollouts.spread import CellCursor
from tanagerturn.gateway.rollouts.table import RolloutTable
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.rollouts.evidence import CellKey, VersionEvidence
from tanagerturn.serving.rollouts.messages import Permission, RolloutState, Side
from tanagerturn.serving.streams.origins import StreamOrigin

NOW_S = 100.0
WALL_MS = 1_700_000_000_000
VALID_MS = 1_000


def announce(fleet, number, version):
    fleet.on_announcement(
        serving_pb2.Announcement(
            id=f"i-{number}",
            address=f"127.0.0.1:{9000 + number}",
            incarnation="b1",
            sequence=1,
            services=["desk"],
            availability_zone="a",
            slots=8,
            heartbeat_ms=1000,
            born_ms=1,
            software_version=version,
        ),
        NOW_S,
        heard=True,
    )


class Run(SimpleNamespace):
    """What rollouts read of a request."""

    __hash__ = object.__hash__


def make_run(**fields):
    """Return a request."""
    route = SimpleNamespace(
        name="look",
        kind=RequestKind.IDEMPOTENT,
        latency_objective_s=0.1,
        pause_objective_s=0.0,
    )
    values = {
        "service": "desk",
        "route": route,
        "origin": None,
        "sent_count": 0,
        "tried_backend_ids": set(),
        "rollout_side": None,
        "rollout_number": 0,
        "is_resumable": False,
        "progress": SimpleNamespace(event_count=0),
    }
    return Run(**{**values, **fields})


def allowed(context):
    """Return the backend servers that a request may use at the time of the scenario."""
    excluded = context.rollouts.excluded_ids(
        context.run, context.fleet, context.settled, NOW_S, context.now_ms
    )
    unfit = excluded | context.run.tried_backend_ids
    if context.run.origin is not None:
        version = context.run.origin.software_version
        unfit |= context.fleet.unfit_ids("desk", version, NOW_S)
    return context.fleet.candidates("desk", unfit, NOW_S)


@given("backend servers of v1 and v2, and v1 is confirmed")
def servers(context):
    context.fleet = Fleet("g1")
    announce(context.fleet, 1, "v1")
    announce(context.fleet, 2, "v2")
    context.rollouts = RolloutTable(1, Random(1))
    context.rollouts.on_confirmed("desk", None, {"v1"}, WALL_MS)
    context.now_ms, context.settled, context.issued = WALL_MS, {"v1", "v2"}, 0


@given("{count:d} more backend servers of v2")
def more_servers(context, count):
    for number in range(count):
        announce(context.fleet, 3 + number, "v2")


def know(context, state, share, fencing_number=5, valid_ms=VALID_MS):
    context.issued += 1
    permission = Permission(
        "desk", "v2", 1, state, share, context.now_ms + context.issued, valid_ms
    )
    issued = IssuedPermission(permission, fencing_number, "g2")
    context.rollouts.on_issued(issued, context.now_ms)


@given("no order is known")
def no_order(context):
    pass


@given("an order without permit is known")
def order_known(context):
    stored = gpb.StoredRollout(service="desk", target="v2", number=1)
    context.rollouts.on_issued(permission_of(stored), context.now_ms)


@given("share {share:g} for v2 is known")
@when("share {share:g} for v2 is known")
def share_known(context, share):
    know(context, RolloutState.ACTIVE, share)


@given("share {share:g} for v2 of fencing number {number:d} is known")
def fenced_share_known(context, share, number):
    know(context, RolloutState.ACTIVE, share, number)


@given("{state} v2 is known")
@when("{state} v2 is known")
def state_known(context, state):
    know(context, RolloutState(state), 0.0)


@when("{request} is to be sent {age_ms:d} ms later")
def to_be_sent(context, request, age_ms):
    context.now_ms += age_ms
    fields = {}
    if request == "a retry after v2":
        fields = {
            "sent_count": 1,
            "tried_backend_ids": {"i-2"},
            "rollout_side": Side.TARGET,
            "rollout_number": 1,
        }
    elif request.startswith("a stream that began at "):
        fields = {"origin": StreamOrigin("desk", request.split(" ")[-1])}
    elif request == "a request forwarded as OLD":
        fields = forwarded_fields()
    elif request == "a resumable stream, v2 young":
        fields, context.settled = {"is_resumable": True}, {"v1"}
    elif request.startswith("a request without "):
        version = request.split(" ")[-1]
        context.fleet.view.forget("i-1" if version == "v1" else "i-2")
    else:
        assert request == "a request", request
    context.run = make_run(**fields)
    context.versions = {backend.software_version for backend in allowed(context)}


def forwarded_fields():
    """Return what a peer learns of the side of a request that it gets forwarded."""
    run = make_run(
        rollout_side=Side.OLD,
        rollout_number=1,
        progress=SimpleNamespace(last_id=None),
        may_have_run=False,
        is_start_counted=False,
        is_trial=False,
    )
    call = decode_request([encode_request(run, 1.0)])
    return {
        "rollout_side": call.rollout_side,
        "rollout_number": call.request.rollout_number,
    }


@then("it may use {versions}")
def may_use(context, versions):
    expected = set() if versions == "none" else set(versions.split(","))
    assert context.versions == expected, context.versions


@then("the gateway has to read the order")
def must_read(context):
    assert context.rollouts.needs_read("desk", {"v1", "v2"}, context.now_ms)


@when("a read that began then finds {stored}")
def read_finds(context, stored):
    rollout = None
    if stored != "no order":
        parts = [each.split(" ") for each in stored.split(" after ")]
        rollouts = [
            gpb.StoredRollout(
                service="desk",
                target=target,
                number=len(parts) - index,
                state=STATES[RolloutState(state)],
            )
            for index, (target, state) in enumerate(parts)
        ]
        rollout = rollouts[0]
        rollout.earlier.extend(rollouts[1:])
    context.rollouts.on_confirmed("desk", rollout, {"v1", "v2"}, context.now_ms)
    needs_read = context.rollouts.needs_read("desk", {"v1", "v2"}, context.now_ms)
    # The old version of a completed rollout is looked up until it has gone.
    assert needs_read == (stored == "v2 completed")


@then("the request may {verdict} to {version}")
def may_be_sent(context, verdict, version):
    backend = context.fleet.view.backends["i-1" if version == "v1" else "i-2"]
    context.run.tried_backend_ids.add(backend.id)
    may = context.rollouts.allows(
        context.run, backend, context.fleet, NOW_S, context.now_ms
    )
    assert may == (verdict == "be sent")


@when("{count:d} requests are sent one after the other")
def requests_sent(context, count):
    counter = context.rollouts.service("desk").counter
    context.sent = []
    for _ in range(count):
        context.run = make_run(rollout_side=Side.TARGET, rollout_number=1)
        (backend,) = allowed(context)
        counter.on_sent(context.run, backend, NOW_S)
        counter.on_finished(context.run, None, NOW_S + 0.01, is_harmless=False)
        context.sent.append(backend.id)


@then("each backend server of v2 got {count:d} of them")
def evenly_spread(context, count):
    ids = [f"i-{number}" for number in (2, 3, 4)]
    assert [context.sent.count(each) for each in ids] == [count] * 3, context.sent


@given("counters of {count:d} routes at both versions")
def counters(context, count):
    context.evidence = VersionEvidence(1, 7)
    random = Random(3)
    for number in range(count):
        for key in (CellKey(f"r{number}", "v1"), CellKey(f"r{number}", "v2", "i-2")):
            for _ in range(random.randrange(1, 5)):
                context.evidence.on_started(key)
                context.evidence.on_time(key, random.uniform(0.01, 9.0))
                context.evidence.on_ended(
                    key, failed=random.random() < 0.5, pace_ratio=random.random()
                )
    context.evidence.permission_ms = 50


@when("they are reported in messages of at most {limit:d} cells")
def reported(context, limit):
    context.limit, context.cursor = limit, CellCursor(1)
    context.received = VersionEvidence(1, 7)
    context.reports = []


def report(context):
    keys, is_whole = context.cursor.next_keys(context.evidence, context.limit)
    message = encode_evidence("desk", "g1", context.evidence, keys)
    data = message.SerializeToString()
    decoded = decode_evidence(gpb.RolloutEvidence.FromString(data))
    assert len(decoded.cells) <= context.limit
    context.received.merge(decoded)
    context.reports.append((decoded, is_whole))
    return decoded


@then("the receiver has the same counters after {count:d} messages")
def same_counters(context, count):
    for _ in range(count):
        report(context)
    assert context.received.cells == context.evidence.cells


@then("a changed counter is in the next {count:d} messages")
def changed_first(context, count):
    key = CellKey("r17", "v1")
    context.evidence.on_started(key)
    for _ in range(count):
        assert key in report(context).cells


@then("a permission counts as applied once no changed counter is left")
def permission_applied(context):
    cells = len(context.evidence.cells)
    whole = [is_whole for _, is_whole in context.reports]
    assert not any(whole[: 2 * cells // context.limit - 1]), whole
    assert whole[-1]
