"""Steps of digests.feature."""

from __future__ import annotations

import asyncio
from random import Random

import orjson
from behave import given, then, when
from expression import Error

from support.digest_messages import WALL_S, announce, digest
from support.gateway_world import gateway_settings, manifest
from support.operations import OPERATIONS_PER_S, count_operations
from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import UnavailableError
from tanagerturn.gateway.backends.speed_reports import apply_speeds
from tanagerturn.gateway.fleet import Fleet
from tanagerturn.gateway.messages import LoadHint
from tanagerturn.gateway.spread.digests import DigestExchange
from tanagerturn.gateway.state import make_state
from tanagerturn.platform.dialect import PlatformDialect
from tanagerturn.schema import gateway_pb2 as gpb

DIGESTS_PER_S = 120
"""Digests that arrive per second; equal to `mesh.MAX_DIGESTS_PER_S`."""


class CountedLinks:
    """Links that count calls and fail each one."""

    def __init__(self):
        self.call_count = 0

    def link_to(self, address):
        """Return these links as the link to any address."""
        return self

    async def call(self, frame, timeout_s):
        """Count a call and return an error."""
        self.call_count += 1
        return Error(UnavailableError("call gateway", "", "unreachable"))


@given("a gateway with {peers:d} peers that know {backends:d} backend servers")
def gateway_with_peers(context, peers, backends):
    context.loop = asyncio.new_event_loop()
    context.closers.append(context.loop.close)
    now_s = boot_s()
    context.state = make_state(gateway_settings(), PlatformDialect(1000), now_s, WALL_S)
    decoded = context.state.dialect.decode_configuration(orjson.dumps(manifest()))
    context.state.adopt(decoded.ok, now_s)
    for number in range(backends):
        announce(context.state, number)
    context.links = CountedLinks()
    context.exchange = DigestExchange(
        context.state,
        context.links,
        context.loop,
        lambda version, address: None,
        lambda: None,
    )
    random = Random(1)
    context.digests = [digest(context.state, n, random) for n in range(peers)]


@given("a gateway that counted requests in {count:d} consecutive windows")
def counted_in_windows(context, count):
    gateway_with_peers(context, 1, 9)
    state = context.state
    wall_s = state.wall_clock.read(boot_s())
    for number in range(count):
        state.usage.on_run_started("a", wall_s - number * state.usage.window_s)


@then(
    "its digests report {first:d}, {second:d}, {third:d} and {fourth:d} windows, "
    "the current one always"
)
def digests_report_windows(context, first, second, third, fourth):
    state = context.state
    numbers = []
    for sequence in (1, 2, 3, 4):
        filled = gpb.Digest(host="g", sequence=sequence)
        context.exchange.fill_digest(filled, boot_s())
        numbers.append([window.number for window in filled.windows])
    assert [len(each) for each in numbers] == [first, second, third, fourth], numbers
    current = state.usage.window_at(state.wall_clock.read(boot_s()))
    assert all(current in each for each in numbers), numbers


@when("the 120 digests of one second arrive")
def digests_arrive(context):
    context.operations = operations_of_second(context)


def operations_of_second(context):
    """Return the operations of processing the digests of one second, spread evenly."""
    total = 0
    now_s = boot_s()
    for number in range(DIGESTS_PER_S):
        data = context.digests[number % len(context.digests)]
        at_s = now_s + number / DIGESTS_PER_S
        total += count_operations(
            lambda data=data, at_s=at_s: apply_datagram(context, data, at_s)
        )
    return total


def apply_datagram(context, data, now_s=None):
    received = gpb.Datagram.FromString(data).digest
    context.exchange.on_digest(received, boot_s() if now_s is None else now_s)


@then("processing them takes fewer operations than a core does in {limit_ms:g} ms")
def few_operations(context, limit_ms):
    assert context.operations < limit_ms / 1000 * OPERATIONS_PER_S, context.operations


@then("with {backends:d} backend servers it takes at most {factor:g} times as many")
def linear_operations(context, backends, factor):
    gateway_with_peers(context, len(context.digests), backends)
    operations = operations_of_second(context)
    assert operations <= factor * context.operations, (operations, context.operations)


@when("digests arrive from peers with the same registry")
def digests_with_same_registry(context):
    receive_digests(context, context.digests)


def receive_digests(context, digests):
    async def run():
        for data in digests:
            apply_datagram(context, data)
        await asyncio.sleep(0)

    context.loop.run_until_complete(run())


@then("no registry is fetched")
def no_registry_fetched(context):
    assert context.links.call_count == 0


@when("a peer has another backend server in its registry")
def digests_with_other_registry(context):
    datagram = gpb.Datagram.FromString(context.digests[0])
    datagram.digest.registry_hash ^= 1
    receive_digests(context, [datagram.SerializeToString()] * 20)


@then("the registry is fetched once in 0.5 s")
def registry_fetched_once(context):
    assert context.links.call_count == 1, context.links.call_count


def receive_differing(context, times_s):
    """Receive a digest of another registry at each time."""

    async def run():
        for at_s in times_s:
            datagram = gpb.Datagram.FromString(context.digests[0])
            datagram.digest.registry_hash ^= 1
            apply_datagram(context, datagram.SerializeToString(), at_s)
            await asyncio.sleep(0)

    context.loop.run_until_complete(run())


@when(
    "a backend server joins each {interval_s:g} s for {duration_s:g} s, and peers "
    "report the state before"
)
def backends_join(context, interval_s, duration_s):
    context.now_s = boot_s()
    for number in range(int(duration_s / interval_s)):
        announce(context.state, 200 + number)
        digests_s = [context.now_s + interval_s * share for share in (0.3, 0.6, 0.9)]
        receive_differing(context, digests_s)
        context.now_s += interval_s


@then("the registry is fetched at most {count:d} times")
def fetched_at_most(context, count):
    context.fetched = context.links.call_count
    assert context.fetched <= count, context.fetched


@when(
    "no backend server joins for {duration_s:g} s, and peers still report another "
    "registry"
)
def none_joins(context, duration_s):
    receive_differing(context, [context.now_s + duration_s])


@then("the registry is fetched again")
def fetched_again(context):
    assert context.links.call_count == context.fetched + 1, context.links.call_count


def serve_all(context, percent, slow="", ratio=1.0):
    """Let each backend server answer 12 plain requests, with a load report each."""
    fleet, now_s = context.state.fleet, boot_s()
    for number in range(12):
        for backend in list(fleet.view.backends.values()):
            attempt = f"r{number}"
            taken_s = 0.2 * ratio if backend.id == slow else 0.2
            fleet.on_load_hint(backend, LoadHint(1, 0, 64, percent), now_s)
            fleet.on_forwarded(backend, attempt, None, now_s - taken_s)
            fleet.on_whole_response(backend, attempt, now_s)
            fleet.on_request_ended(backend.id, attempt)


@when('it has measured that "{slow}" takes {ratio:g} times as long as the others')
def measured(context, slow, ratio):
    serve_all(context, 100, slow, ratio)


@when("it gets responses of engines that report three figures")
def three_figures(context):
    serve_all(context, None)


def filled_digests(context, count):
    digests = []
    for sequence in range(count):
        filled = gpb.Digest(host="g", sequence=sequence)
        context.exchange.fill_digest(filled, boot_s())
        digests.append(filled)
    return digests


@then("each digest has at most {count:d} speeds, in at most {limit:d} bytes")
def digests_are_bounded(context, count, limit):
    context.filled = filled_digests(context, 8)
    for filled in context.filled:
        assert len(filled.speed_backends) <= count
        size = filled.ByteSize()
        for field in ("speed_backends", "speed_log_ratios", "speed_samples"):
            assert len(getattr(filled, field)) == len(filled.speed_backends)
        without = gpb.Digest.FromString(filled.SerializeToString())
        for field in ("speed_backends", "speed_log_ratios", "speed_samples"):
            without.ClearField(field)
        assert size - without.ByteSize() <= limit, size - without.ByteSize()


def factor_at_peer(context, slow, *, restarted):
    """Return the factor at a peer that only gets the digests."""
    fleet = Fleet("peer")
    now_s = boot_s()
    for backend in context.state.fleet.view.backends.values():
        announcement = type(backend.announcement)()
        announcement.CopyFrom(backend.announcement)
        if restarted and backend.id == slow:
            announcement.incarnation, announcement.born_ms = "b2", 2
        fleet.on_announcement(announcement, now_s, heard=True)
    for filled in context.filled:
        apply_speeds(fleet, filled, now_s)
    service = fleet.speeds.active("desk")
    pool = fleet.view.pool("desk")
    factors = fleet.speeds.time_factors(service, pool, pool, now_s)
    return dict(zip((b.id for b in pool), factors, strict=True))[slow]


@then(
    "a peer without requests knows after 8 digests that "
    '"{slow}" takes at least {ratio:g} times as long'
)
def peer_knows(context, slow, ratio):
    factor = factor_at_peer(context, slow, restarted=False)
    assert factor >= ratio, factor


@then('a peer ignores the speed of an earlier start of "{slow}"')
def earlier_start_ignored(context, slow):
    assert factor_at_peer(context, slow, restarted=True) == 1


@then("its digests have no speeds")
def no_speeds(context):
    for filled in filled_digests(context, 4):
        assert not filled.speed_backends
        assert not filled.speed_log_ratios
        assert not filled.speed_samples


@when(
    "it makes a digest, adopts a configuration, begins to drain, and a backend server "
    "leaves"
)
def changes_after_digest(context):
    state, now_s = context.state, boot_s()
    context.filled = gpb.Digest(host="g", sequence=1)
    context.exchange.fill_digest(context.filled, now_s)
    document = orjson.dumps(manifest(version=9))
    state.adopt(state.dialect.decode_configuration(document).ok, now_s)
    state.is_draining = True
    backend_id = next(iter(state.fleet.view.backends))
    assert state.fleet.on_withdrawal(backend_id, 1, 2000, now_s) is not None


@then("the digest states all three when it is sent")
def digest_states_changes(context):
    filled = context.filled
    assert (filled.configuration_version, filled.draining) == (3, False)
    assert not filled.departures.starts
    context.exchange.stamp_digest(filled, boot_s())
    assert (filled.configuration_version, filled.draining) == (9, True)
    assert len(filled.departures.starts) == 1
