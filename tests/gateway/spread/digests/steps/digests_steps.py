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
