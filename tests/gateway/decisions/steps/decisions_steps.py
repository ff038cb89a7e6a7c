"""Steps of decisions.feature."""

from __future__ import annotations

import itertools
import os
import shutil
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from tanagerturn.coordination.log.membership import Action
from tanagerturn.gateway.backends.state import Work
from tanagerturn.gateway.configuration import RequestKind
from tanagerturn.gateway.event_stream import EventSplitter
from tanagerturn.gateway.fleet import Fleet, backend_hash
from tanagerturn.gateway.logs import MAX_BURST_LINES, LineBudget, LineWriter
from tanagerturn.gateway.retry_policy import (
    AttemptHistory,
    AttemptOutcome,
    NextAction,
    next_action,
)
from tanagerturn.gateway.state_group.handover import (
    GroupView,
    spare_members,
    with_reported_states,
)
from tanagerturn.gateway.usage import UsageCounts
from tanagerturn.gateway.wall_clock import CorrectedWallClock
from tanagerturn.gateway.warm_start import (
    aged_backends,
    read_warm_start,
    write_warm_start,
)
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.schema import serving_pb2
from tanagerturn.state._repair import GroupHealth, next_membership_change

WALL_S = 1_700_000_000.0
"""True wall-clock time in seconds at boot-clock time 100 s."""


@given("a {kind} request sent to {sent:d} of {max_backends:d} backend servers")
def request_with_attempts(context, kind, sent, max_backends):
    context.kind, context.sent_count, context.max_backends = (
        RequestKind[kind],
        sent,
        max_backends,
    )


@when("the attempt ended as {outcome}")
def attempt_has_outcome(context, outcome):
    context.outcome = AttemptOutcome[outcome]


def action_of(context, *, budget):
    may_have_run = context.outcome in (AttemptOutcome.FAILED, AttemptOutcome.BROKEN)
    attempts = AttemptHistory(
        context.kind,
        False,
        context.max_backends,
        context.sent_count,
        1,
        may_have_run,
        1.0,
    )
    return next_action(attempts, context.outcome, budget=budget)


@then(
    "the next action is {action} within the retry budget and {action_beyond} beyond it"
)
def actions_are(context, action, action_beyond):
    assert action_of(context, budget=True) is NextAction[action]
    assert action_of(context, budget=False) is NextAction[action_beyond]


@given("a {kind} request that an earlier backend server may have run")
def earlier_may_have_run(context, kind):
    name, _, resumable = kind.partition(" and ")
    context.attempts = AttemptHistory(
        RequestKind[name], bool(resumable), 2, 1, 1, True, 1.0
    )


@when("the next backend server is unreachable")
def next_unreachable(context):
    context.action = next_action(context.attempts, AttemptOutcome.NOT_SENT, budget=True)


@then("the next action is {action}")
def action_is(context, action):
    assert context.action is NextAction[action], context.action


@then("no kind of request is retried after any outcome without time left")
def no_retry_without_time(context):
    for kind in RequestKind:
        for outcome in AttemptOutcome:
            attempts = AttemptHistory(kind, True, 9, 1, 1, False, 0.0)
            action = next_action(attempts, outcome, budget=True)
            assert action is not NextAction.TRY_ANOTHER, (kind, outcome)


@then("a stream divided at any positions gives the same events")
def same_events_wherever_divided(context):
    whole = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: id: 9\n\n"
    expected = [1, 2, 3]

    @for_all(st.lists(st.integers(0, len(whole)), max_size=8))
    def check(cuts):
        splitter = EventSplitter()
        positions = [0, *sorted(cuts), len(whole)]
        pieces = [whole[a:b] for a, b in itertools.pairwise(positions)]
        events = [event for piece in pieces for event in splitter.feed(piece)]
        assert [event.id for event in events] == expected, events
        assert b"".join(event.data for event in events) == whole
        assert splitter.partial_event == b""

    check()


@given("a gateway among 5 with equal clocks")
def equal_clocks(context):
    context.clock = CorrectedWallClock(100.0, WALL_S)
    for number in range(4):
        context.clock.on_peer_time(f"g{number}", WALL_S + 0.01 * number, 100.0)


@when("its wall clock steps by {step_s:g} s")
def wall_clock_steps(context, step_s):
    # The corrected clock advances only with the boot clock and never rereads the
    # wall clock, so a step needs no simulation.
    context.now_s = 101.0


@given("a gateway that started 2 s ahead of 5 peers")
def started_ahead(context):
    context.clock = CorrectedWallClock(100.0, WALL_S + 2.0)


@when("the gateway has received the time of all peers")
def received_all(context):
    context.now_s = 101.0
    for number in range(5):
        context.clock.on_peer_time(f"g{number}", WALL_S + 1.0 + 0.01 * number, 101.0)


@then("its corrected wall clock shows the true time")
def clock_is_right(context):
    error_s = context.clock.read(context.now_s) - (WALL_S + context.now_s - 100.0)
    assert abs(error_s) < 0.1, error_s


@given("a gateway that counted 3 requests, and a peer that reported 2, then 4")
def requests_counted(context):
    context.usage = UsageCounts(5.0)
    for _ in range(3):
        context.usage.on_run_started("choir", 12.0)
    context.usage.on_peer_counts("g2@2", 2, {"choir": 2})
    context.usage.on_peer_counts("g2@2", 2, {"choir": 4})


@given("an earlier start of the peer that reported 5")
def earlier_start(context):
    context.usage.on_peer_counts("g2@1", 2, {"choir": 5})


@then("{count:d} requests are reported")
def requests_reported(context, count):
    assert context.usage.total(2) == {"choir": count}


def member_digest(number, *, zone="a", member=None, founded=False, version=0):
    address = f"10.0.0.{number}:7600"
    member_info = pb.Member(
        id=member or f"m{number}", address=address, availability_zone=zone
    )
    return gpb.Digest(
        host=f"g{number}",
        member=member_info,
        founded=founded,
        configuration_version=version,
    )


@given("a group of 3 voters of which one came back with an empty disk")
def voter_with_empty_disk(context):
    zones = {1: "a", 2: "b", 3: "c"}
    context.membership = pb.Membership(
        members=[
            pb.Member(
                id=f"m{n}",
                address=f"10.0.0.{n}:7600",
                role=pb.VOTER,
                availability_zone=zone,
            )
            for n, zone in zones.items()
        ]
    )
    context.digests = [
        member_digest(1, member="m1-new"),
        member_digest(2, zone="b"),
        member_digest(3, zone="c"),
        member_digest(4, zone="d"),
    ]


@then(
    "the next changes add the member of the zone without a voter, "
    "and remove the lost one"
)
def replaces_lost_voter(context):
    hosts = {digest.host for digest in context.digests}
    view = GroupView("m3", False, context.membership, "", True, context.digests, hosts)
    health = GroupHealth(context.membership, {"m1": 0.1, "m2": 0.1}, set())
    health = with_reported_states(health, view)
    spares = spare_members(view)
    assert [spare.id for spare in spares] == ["m4", "m1-new"], spares
    change = next_membership_change(health, spares, 3, 2.5)
    assert change is not None
    assert (change.action, change.member.id) == (Action.ADD_LEARNER, "m4")
    grown = pb.Membership()
    grown.CopyFrom(context.membership)
    grown.members.add(id="m4", address="10.0.0.4:7600", role=pb.VOTER)
    health = with_reported_states(GroupHealth(grown, {}, set()), view)
    change = next_membership_change(health, [], 3, 2.5)
    assert change is not None
    assert (change.action, change.member.id) == (Action.REMOVE, "m1")


def announcement(number, **fields):
    return serving_pb2.Announcement(
        id=f"i-{number}",
        address=f"10.0.0.{number}:80",
        incarnation="b1",
        sequence=fields.pop("sequence", 1),
        services=["desk"],
        availability_zone="a",
        slots=6,
        heartbeat_ms=1000,
        born_ms=1,
        **fields,
    )


@given("a fleet of 3 backend servers")
def fleet_of_three(context):
    context.fleet = Fleet()
    for number in (1, 2, 3):
        context.fleet.on_announcement(announcement(number), 10.0, heard=True)


def candidate_ids(context, now_s):
    return [b.id for b in context.fleet.candidates("desk", (), now_s)]


@when("one leaves, one is unreachable and one stays available")
def one_stays_available(context):
    announced = context.fleet.on_withdrawal("i-1", 1, 2000, 10.5)
    assert announced is not None
    assert announced.leaving
    context.fleet.on_unreachable("i-2", 10.5)


@then("only the available one gets requests")
def only_available(context):
    assert candidate_ids(context, 10.6) == ["i-3"]


@when("the available one becomes silent")
def becomes_silent(context):
    context.fleet.on_heard_by_peer([backend_hash("i-2")], 13.5)


@then("the unreachable one gets requests again after its backoff")
def requests_after_backoff(context):
    assert candidate_ids(context, 13.6) == ["i-2"]


@when("one has been silent for 4 s and a peer gateway sends an update about it")
def peer_update_about_silent(context):
    news = context.fleet.backend_updates(12.0)
    peer_fleet = Fleet()
    peer_fleet.on_backend_updates(news, 12.0)
    context.fleet.on_heard_by_peer([backend_hash("i-2"), backend_hash("i-3")], 14.0)
    context.fleet.on_backend_updates(peer_fleet.backend_updates(14.0), 14.0)
    assert not peer_fleet.backend_updates(14.0).announcements


@then("the silent one does not count as alive")
def silent_one_not_alive(context):
    assert candidate_ids(context, 14.0) == ["i-2", "i-3"]


@when("a peer gateway reports 5 requests at one of them")
def peer_reports_work(context):
    context.fleet.state("i-1")
    work = [(backend_hash("i-1"), Work(5, 100, 200))]
    context.fleet.on_peer_work("g2", work, 10.0)


@then("5 requests are in flight at that backend server, and none after 4 s")
def work_expires(context):
    assert context.fleet.state("i-1").total_work(10.1) == Work(5, 100, 200)
    assert context.fleet.state("i-1").total_work(14.0) == Work(0, 0, 0)


@given("a log budget that info lines have used up")
def budget_used_up(context):
    context.budget = LineBudget(0.0)
    context.written = sum(
        context.budget.try_charge(False, 0.0) for _ in range(int(2 * MAX_BURST_LINES))
    )


@then("errors are still logged, and dropped lines are counted")
def errors_logged(context):
    assert 0 < context.written < MAX_BURST_LINES
    assert context.budget.dropped_count == 2 * MAX_BURST_LINES - context.written
    assert all(context.budget.try_charge(True, 0.0) for _ in range(100))


@given("a log whose reader does not read")
def stuck_reader(context):
    context.reader, writer = os.pipe()
    context.closers += [lambda: os.close(context.reader), lambda: os.close(writer)]
    context.writer = LineWriter(writer, "g1")
    context.writer.budget.lines = 1e9


@when("{count:d} lines are logged")
def log_lines(context, count):
    level = SimpleNamespace(no=40, name="ERROR")
    record = {
        "level": level,
        "time": SimpleNamespace(timestamp=lambda: 1.0),
        "message": "event",
        "extra": {"reason": "x" * 100},
    }
    context.writer.budget.lines = 1e9
    began_s = time.monotonic()
    for _ in range(count):
        context.writer.budget.lines = 1e9
        context.writer(SimpleNamespace(record=record))
    context.took_s = time.monotonic() - began_s


@then("logging took less than 1 s and some lines were dropped")
def logging_did_not_block(context):
    assert context.took_s < 1.0, context.took_s
    assert context.writer.budget.dropped_count > 0


@given("a data folder with a saved configuration and 3 backend servers")
def saved_warm_start(context):
    context.data_folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(context.data_folder))
    context.warm_start = gpb.WarmStart(
        written_at_ms=1000,
        configuration=gpb.StoredConfiguration(version=7, document=b"d"),
        backends=gpb.BackendNews(
            announcements=[announcement(n) for n in (1, 2, 3)],
            heard_ago_ms=[0, 100, 7500],
        ),
    )
    write_warm_start(context.data_folder, context.warm_start)


@then("the configuration and the recently heard backend servers are restored")
def warm_start_restored(context):
    warm_start = read_warm_start(context.data_folder)
    assert warm_start == context.warm_start
    ids = [each.id for each in aged_backends(warm_start, 2000).announcements]
    assert ids == ["i-1", "i-2"], ids
    assert list(aged_backends(warm_start, 2000).heard_ago_ms) == [1000, 1100]
    assert not aged_backends(warm_start, 20_000).announcements
    assert not aged_backends(warm_start, 0).announcements


@then("a truncated file or one with a changed byte restores nothing")
def damaged_restores_nothing(context):
    path = context.data_folder / "warm-start"
    whole = path.read_bytes()

    @for_all(st.integers(0, len(whole) - 1), st.booleans())
    def check(position, truncate):
        changed = bytes([whole[position] ^ 1])
        data = (
            whole[:position]
            if truncate
            else whole[:position] + changed + whole[position + 1 :]
        )
        path.write_bytes(data)
        assert read_warm_start(context.data_folder) == gpb.WarmStart()

    check()
