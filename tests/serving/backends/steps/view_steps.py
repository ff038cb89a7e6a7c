"""Steps of view.feature."""

from __future__ import annotations

import ipaddress
import math
from random import Random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from support.backends import announcement
from tanagerturn.schema.serving_pb2 import CacheEvent, LoadReport
from tanagerturn.serving.backends.messages import RequestId
from tanagerturn.serving.backends.view import make_backend_view
from tanagerturn.serving.routing.choose import choose
from tanagerturn.serving.routing.messages import RouteRequest

START_MS = 100_000
INVALID_FIELDS = {
    "id": {"id": "../a"},
    "incarnation": {"incarnation": ""},
    "availability_zone": {"availability_zone": ""},
    "services": {"services": [], "models": []},
    "role": {"role": 77},
    "address": {"address": "engine.example:80"},
    "port": {"address": "127.0.0.1:70000"},
    "heartbeat_ms": {"heartbeat_ms": 0},
    "slots": {"slots": 0},
    "kv_tokens": {"kv_tokens": 10**15},
    "price_per_hour": {"price_per_hour": math.nan},
    "leaving_in_ms": {"leaving_in_ms": 2**31},
    "kv_used": {"load": LoadReport(kv_used=1.5)},
    "tokens_per_s": {"load": LoadReport(tokens_per_s=math.inf)},
    "load.running": {"load": LoadReport(running=2**31)},
    "sequence": {"cache_events": [CacheEvent(blocks=["0" * 16])]},
    "block": {"cache_events": [CacheEvent(sequence=1, blocks=["xyz"])]},
}


def announce(context, name, now_ms=None, **fields):
    now_ms = context.now_ms if now_ms is None else now_ms
    return context.view.on_announcement(announcement(name, **fields), now_ms)


def joined_ids(backends):
    return ",".join(sorted(b.id for b in backends))


@given('a view with engines "{engines}"')
def view_with_engines(context, engines):
    context.view = make_backend_view()
    context.now_ms = START_MS
    for name in engines.split(","):
        accepted = announce(context, name).ok
        assert accepted.applied and accepted.eligibility_changed


@then("each invalid announcement is refused with the name of its field")
def invalid_fields_refused(context):
    before = context.view.backends["a-1"].announcement
    for field, fields in INVALID_FIELDS.items():
        result = announce(context, "a-1", **{"sequence": 5, **fields})
        assert result.is_error(), field
        assert field in result.error.reason, (field, result.error.reason)
    assert context.view.backends["a-1"].announcement == before


@then("announcements from outside the allowed networks are refused")
def foreign_network(context):
    view = make_backend_view([ipaddress.ip_network("10.0.0.0/8")])
    assert view.on_announcement(announcement("a-1"), 0).is_error()
    inside = announcement("a-1", address="10.1.2.3:80")
    assert view.on_announcement(inside, 0).is_ok()


@then('the engines are "{engines}"')
def engines_are(context, engines):
    assert joined_ids(context.view.backends.values()) == engines


@then("an announcement with the same or an earlier sequence number is not applied")
def outdated_not_applied(context):
    assert announce(context, "a-1", sequence=7).ok.applied
    for sequence in (7, 3):
        late = announce(context, "a-1", sequence=sequence, slots=3)
        assert not late.ok.applied
    assert context.view.backends["a-1"].slots != 3


@then("one that states that the engine leaves is applied, whatever its sequence number")
def late_leaving_applied(context):
    late = announce(context, "a-1", sequence=3, leaving=True)
    assert late.ok.applied
    assert context.view.backends["a-1"].leaving
    assert context.view.backends["a-1"].sequence == 7


@then("the engine stays leaving, whatever the same start announces later")
def stays_leaving(context):
    for sequence in (3, 6, 7, 8):
        announce(context, "a-1", sequence=sequence)
        assert context.view.backends["a-1"].leaving


@when('engine "{name}" announces itself as ready {later_s:g} s later')
def announces_ready(context, name, later_s):
    context.now_ms += round(1000 * later_s)
    context.accepted = announce(context, name, sequence=9).ok
    assert context.accepted.applied


@then("the later announcement has changed nothing that others need to know")
def nothing_changed(context):
    assert not context.accepted.eligibility_changed


@then('a view that gets the last announcements only has the candidates "{remaining}"')
def other_view_candidates(context, remaining):
    view = make_backend_view()
    for backend in context.view.backends.values():
        assert view.on_announcement(backend.announcement, context.now_ms).ok.applied
    found = view.candidates("draft", "m", now_ms=context.now_ms)
    assert joined_ids(found) == remaining, joined_ids(found)


@when('the view forgets "{name}"')
def view_forgets(context, name):
    context.view.forget(name)


@when('the engine "{name}" starts anew')
def starts_anew(context, name):
    assert announce(context, name, incarnation="second", sequence=1).ok.applied


@when('the engine "{name}" restarts')
def engine_restarts(context, name):
    view = context.view
    view.on_started(name, RequestId("r"), START_MS)
    event = CacheEvent(sequence=1, action=CacheEvent.STORED, blocks=["0" * 16])
    announce(context, name, sequence=8, cache_events=[event])
    assert view.cache.count_matched_blocks(name, ["0" * 16], START_MS) == 1
    assert announce(context, name, incarnation="second", sequence=1).ok.applied


@then("an announcement of the earlier process start is not applied")
def earlier_start(context):
    assert not announce(context, "a-1", sequence=99).ok.applied


@then('the requests and cached blocks of "{name}" are removed')
def state_removed(context, name):
    assert not context.view.backends[name].in_flight
    assert context.view.cache.count_matched_blocks(name, ["0" * 16], START_MS) == 0


@when('engine "{name}" announces the address of "{other}"')
def same_address(context, name, other):
    announce(context, name, address=context.view.backends[other].address)


@when('only "{name}" sends announcements for {seconds:d} s')
def only_one_announces(context, name, seconds):
    for second in range(1, seconds + 1):
        context.now_ms = START_MS + second * 1000
        announce(context, name, sequence=1 + second)


@then('the candidates are "{engines}"')
def candidates_are(context, engines):
    found = context.view.candidates("draft", "m", now_ms=context.now_ms)
    assert joined_ids(found) == engines, joined_ids(found)


@then('the view removes "{name}" as expired')
def expiry_removes(context, name):
    assert context.view.expire(context.now_ms) == [name]


@when('engine "{name}" announces its departure')
def announces_departure(context, name):
    announce(context, name, sequence=2, leaving=True, leaving_in_ms=30_000)


@when('a reclaim notice names "{target}"')
def reclaim_notice(context, target):
    context.view.on_notice(target, context.now_ms + 5_000)


@when('engine "{name}" sends its first announcement {seconds:d} s later')
def new_engine(context, name, seconds):
    context.now_ms += seconds * 1000
    for known in context.view.backends:
        announce(context, known, sequence=50)
    announce(context, name)


@then(
    "in {count:d} event orders no leaving or silent engine "
    "or one under notice is chosen"
)
def event_orders(context, count):
    engines = [f"{zone}-{i}" for zone in "abc" for i in range(4)]
    event = st.tuples(
        st.sampled_from(["announce", "leave", "notice", "zone", "wait", "choose"]),
        st.sampled_from(engines),
    )

    @settings(max_examples=count)
    @for_all(events=st.lists(event, max_size=40), seed=st.integers(0, 9))
    def check(events, seed):
        view, now_ms, random = make_backend_view(), 0, Random(seed)
        last_announced_ms, excluded = {}, set()
        for step, (action, name) in enumerate(events, 1):
            if action in ("announce", "leave"):
                leaves = action == "leave" or name in excluded
                fields = {"sequence": step, "leaving": leaves}
                view.on_announcement(announcement(name, **fields), now_ms)
                last_announced_ms[name] = now_ms
                excluded |= {name} if leaves else set()
            elif action == "notice":
                view.on_notice(name, now_ms + 3_600_000)
                excluded.add(name)
            elif action == "zone":
                view.on_notice(name[0], now_ms + 3_600_000)
                excluded |= {n for n in engines if n[0] == name[0]}
            elif action == "wait":
                now_ms += 900
            result = choose(view, RouteRequest("draft", "m"), now_ms, random)
            eligible = {
                n for n, at in last_announced_ms.items() if now_ms < at + 3_000
            } - excluded
            assert result.is_ok() == bool(eligible)
            assert not eligible or result.ok.backend_id in eligible

    check()


@when('{count:d} requests at "{name}" fail')
def requests_fail(context, name, count):
    for i in range(count):
        context.view.on_failure(name, RequestId(str(i)), context.now_ms)


@then("4 requests sent after a reported load of 3 make a load of 7")
def load_of_seven(context):
    backend = context.view.backends["a-1"]
    backend.record_load(3, 0)
    for i in range(4):
        context.view.on_started("a-1", RequestId(str(i)), context.now_ms)
    assert backend.load() == 7


@then("a local request in flight counts although a later load report is 0")
def local_request_counts(context):
    backend = context.view.backends["a-1"]
    backend.in_flight.clear()
    context.view.on_started("a-1", RequestId("r"), context.now_ms)
    backend.record_load(0, 0)
    assert backend.load() >= 1
