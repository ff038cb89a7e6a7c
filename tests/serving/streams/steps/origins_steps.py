"""Steps of origins.feature."""

from __future__ import annotations

import random

from behave import given, then, when

from support.origin_schedule import OriginSchedule
from tanagerturn.gateway.stream_origins import (
    apply_origins,
    encode_origins,
    holders,
)
from tanagerturn.gateway.warm_start import aged_origins, has_fresh_origins
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.streams.origins import (
    StreamOrigin,
    StreamOrigins,
    attempt_hash,
)

SERVICE = "desk"
SEEN_INTERVAL_S = 0.5


def see(context, versions, from_s, to_s):
    now_s = from_s
    while now_s <= to_s:
        for version in versions:
            context.origins.on_seen(StreamOrigin(SERVICE, version), now_s)
        now_s += SEEN_INTERVAL_S


@given('streams that live {life_s:g} s, and engines of "{version}" from 0 s on')
def origins_known(context, life_s, version):
    context.origins = StreamOrigins(0.0)
    context.origins.stream_life_s = life_s
    see(context, [version], 0.0, 30.0)
    context.origins.take_unsent()


@when('stream "{attempt}" begins at "{version}" at {now_s:g} s')
def begins(context, attempt, version, now_s):
    origin = StreamOrigin(SERVICE, version)
    context.origins.on_began(attempt, origin, now_s, has_other_services=False)


@when(
    'stream "{attempt}" begins at "{version}" at {now_s:g} s, on a route with another '
    "service"
)
def begins_on_split_route(context, attempt, version, now_s):
    origin = StreamOrigin(SERVICE, version)
    context.origins.on_began(attempt, origin, now_s, has_other_services=True)


@when("the gateway may have missed versions until {now_s:g} s")
def may_have_missed(context, now_s):
    context.origins.on_missed(now_s)
    see(context, ["v1"], now_s, 51.0)


@when('a peer reports that engines of "{version}" were seen at {now_s:g} s')
def peer_reports(context, version, now_s):
    peer = StreamOrigins(0.0)
    peer.stream_life_s = context.origins.stream_life_s
    peer.on_seen(StreamOrigin(SERVICE, version), now_s)
    apply_origins(context.origins, encode_origins(peer, (), now_s), now_s)


@when('engines of "{version}" are seen at {now_s:g} s')
def version_seen(context, version, now_s):
    see(context, [version], now_s, now_s)


@when('only engines of "{version}" are seen from {from_s:g} to {to_s:g} s')
def only_version_seen(context, version, from_s, to_s):
    see(context, [version], from_s, to_s)
    context.origins.expire(to_s)


def check_unsent(context, attempts):
    expected = [attempt_hash(each) for each in attempts.split(",") if each]
    assert context.origins.take_unsent() == expected, expected


@then('at {now_s:g} s "{version}" is the sole version, and the streams to send are ""')
def sole_version_none_sent(context, now_s, version):
    sole_version(context, now_s, version, "")


@then(
    'at {now_s:g} s "{version}" is the sole version, and the streams to send are '
    '"{attempts}"'
)
def sole_version(context, now_s, version, attempts):
    assert context.origins.sole_version(SERVICE, now_s) == version
    check_unsent(context, attempts)


@then(
    "at {now_s:g} s no version is the sole one, and the streams to send are {attempts}"
)
def no_sole_version(context, now_s, attempts):
    versions = context.origins.recent_versions(SERVICE, now_s)
    assert context.origins.sole_version(SERVICE, now_s) is None, versions
    check_unsent(context, attempts.strip('"'))


@when("a gateway starts at {now_s:g} s and hears from this one")
def starts(context, now_s):
    context.started = StreamOrigins(now_s)
    context.started.stream_life_s = context.origins.stream_life_s
    assert context.started.sole_version(SERVICE, now_s) is None
    apply_origins(context.started, encode_origins(context.origins, (), now_s), now_s)


@then('at {now_s:g} s "{version}" is the sole version there')
def sole_version_there(context, now_s, version):
    assert context.started.sole_version(SERVICE, now_s) == version


@given("a gateway that has started at {now_s:g} s without a configuration")
def started_without_configuration(context, now_s):
    context.origins = StreamOrigins(now_s)


@when(
    'a peer reports at {now_s:g} s that "{first}" was seen at {first_s:g} s and '
    '"{second}" at {second_s:g} s, all known'
)
def peer_reports_both(context, now_s, first, first_s, second, second_s):
    peer = StreamOrigins(0.0)
    peer.stream_life_s = 20.0
    peer.on_seen(StreamOrigin(SERVICE, first), first_s)
    peer.on_seen(StreamOrigin(SERVICE, second), second_s)
    apply_origins(context.origins, encode_origins(peer, (), now_s), now_s)


@when("versions expire at {now_s:g} s, and streams turn out to live {life_s:g} s")
def life_known_late(context, now_s, life_s):
    context.origins.expire(now_s)
    context.origins.stream_life_s = life_s


@when("streams turn out to live {life_s:g} s at {now_s:g} s")
def life_changed(context, life_s, now_s):
    context.origins.expire(now_s)
    context.origins.stream_life_s = life_s


@when(
    "a gateway saves at {saved_s:g} s, restarts at {started_s:g} s, its clock off by "
    "{off_s:g} s"
)
def restarted(context, saved_s, started_s, off_s):
    saved = gpb.WarmStart(
        written_at_ms=int(1000 * saved_s),
        stream_origins=encode_origins(context.origins, (), saved_s),
    )
    context.started = StreamOrigins(started_s)
    context.started.stream_life_s = context.origins.stream_life_s
    wall_ms = int(1000 * (started_s + off_s))
    restored = aged_origins(saved, wall_ms)
    if restored is not None:
        apply_origins(context.started, restored, started_s)
        is_fresh = has_fresh_origins(saved, wall_ms)
        context.started.on_restored(started_s, is_fresh=is_fresh)
    # Only engines of v2 are left, if there were any.
    for origin in list(context.origins.seen_s)[1:]:
        context.started.on_seen(origin, started_s)


@then("at {now_s:g} s none is the sole version there")
def no_sole_version_there(context, now_s):
    assert context.started.sole_version(SERVICE, now_s) is None


@then("at {now_s:g} s it asks its peers before it relies on that")
def asks_peers(context, now_s):
    assert context.started.needs_confirmation(now_s)


@then("at {now_s:g} s it relies on what it saw")
def relies(context, now_s):
    assert not context.started.needs_confirmation(now_s)


@when('engines of "{versions}" are seen from {from_s:g} to {to_s:g} s')
def versions_seen(context, versions, from_s, to_s):
    see(context, versions.split(","), from_s, to_s)


@then('at {now_s:g} s new streams begin at "{versions}"')
def settled_versions(context, now_s, versions):
    expected = set(versions.split(","))
    assert context.origins.settled_versions(SERVICE, now_s) == expected


@then('at {now_s:g} s new streams begin at ""')
def no_settled_version(context, now_s):
    assert context.origins.settled_versions(SERVICE, now_s) == set()


@given("{count:d} gateways, each with a stream")
def gateways_with_streams(context, count):
    hosts = [f"g{number}" for number in range(count)]
    context.held = {}
    for host in hosts:
        peers = {peer: peer for peer in hosts if peer != host}
        context.held[host] = holders(attempt_hash(f"stream of {host}"), peers)


@when("{killed:d} of them are killed at once")
def killed_at_once(context, killed):
    context.killed = set(random.Random(1).sample(sorted(context.held), killed))


@then(
    "at least {share:g} of the streams have a holder left, and none has over {most:d}"
)
def holders_left(context, share, most):
    left = [
        host not in context.killed or not context.killed >= set(held)
        for host, held in context.held.items()
    ]
    assert sum(left) >= share * len(left), f"{sum(left)} of {len(left)}"
    assert max(map(len, context.held.values())) <= most


class Relying(StreamOrigins):
    """Planted break: what was saved before a restart counts as complete at once."""

    def on_restored(self, now_s, *, is_fresh):
        """Forget that versions may be missing."""
        super().on_restored(now_s, is_fresh=is_fresh)
        self.is_unsure = False


class Forgetful(StreamOrigins):
    """Planted break: versions are dropped while the life of streams is unknown."""

    def expire(self, now_s):
        """Drop all versions before the configuration arrives."""
        if self.stream_life_s:
            super().expire(now_s)
            return
        self.seen_s.clear()
        self.first_seen_s.clear()


FAULTS = {
    "rely on what they saved before a restart": Relying,
    "drop versions before they are configured": Forgetful,
}


@when("schedules {first:d} to {last:d} of releases, kills and restarts run")
def schedules_run(context, first, last):
    context.joined = {}
    context.went_on_count = context.refused_count = 0
    for seed in range(first, last + 1):
        schedule = OriginSchedule(seed)
        schedule.run()
        context.went_on_count += schedule.went_on_count
        context.refused_count += schedule.refused_count
        if schedule.joined:
            context.joined[seed] = schedule.joined


@then("no stream went on at another version")
def none_joined(context):
    assert not context.joined, context.joined


@then("at least half of the streams that were taken up went on")
def half_went_on(context):
    assert context.went_on_count >= context.refused_count, context.refused_count


@when("schedules {first:d} to {last:d} run until gateways that {fault} are found")
def faulty_schedules_run(context, first, last, fault):
    context.joined = {}
    for seed in range(first, last + 1):
        schedule = OriginSchedule(seed, FAULTS[fault])
        schedule.run()
        if schedule.joined:
            context.joined[seed] = schedule.joined
            return


@then("a stream went on at another version")
def some_joined(context):
    assert context.joined
