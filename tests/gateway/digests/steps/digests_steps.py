"""Steps of digests.feature."""

from __future__ import annotations

import asyncio
import time
from random import Random
from statistics import median

import orjson
from behave import given, then, when
from expression import Error

from support.gateway_world import gateway_settings, manifest
from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import UnavailableError
from tanagerturn.gateway.digests import DigestExchange
from tanagerturn.gateway.state import make_state
from tanagerturn.platform.dialect import PlatformDialect
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.schema import serving_pb2

DIGESTS_PER_S = 120
"""Digests that arrive per second; equal to `mesh.MAX_DIGESTS_PER_S`."""

WALL_S = 1_700_000_000.0


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


def announce(state, number):
    announcement = serving_pb2.Announcement(
        id=f"i-{number:08x}",
        address=f"10.0.{number}.1:80",
        incarnation="b1",
        sequence=1,
        services=["desk"],
        availability_zone="a",
        slots=64,
        heartbeat_ms=60_000,
        born_ms=1,
    )
    state.fleet.on_announcement(announcement, boot_s(), heard=False)


def digest(state, number, random):
    """Return a serialized digest as large as those of a loaded deployment."""
    hashes = list(state.fleet.id_by_hash)
    filled = gpb.Digest(
        host=f"g{number}",
        started_ms=1,
        sequence=1,
        sent_at_ms=int(state.wall_clock.read(boot_s()) * 1000),
        link_address=f"10.1.{number}.1:7600",
        registry_hash=state.fleet.registry_hash(boot_s()),
        configuration_version=3,
        heard=random.sample(hashes, 1),
    )
    for backend in random.sample(hashes, 8):
        filled.work.add(
            backend=backend, running=2, prompt_tokens=3_000, kv_tokens=9_000
        )
    current = state.usage.window_at(WALL_S)
    for window in range(4):
        report_window = filled.windows.add(number=current - window)
        for account in range(10):
            report_window.counts.add(client_account=f"a{account}", count=3)
    for part in range(6):
        filled.sent_parts.add(backend=hashes[part], part=part, tokens=300)
    return gpb.Datagram(digest=filled).SerializeToString()


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
    context.took_s = []
    for _ in range(9):
        started_s = time.process_time()
        for number in range(DIGESTS_PER_S):
            apply_datagram(context, context.digests[number % len(context.digests)])
        context.took_s.append(time.process_time() - started_s)


def apply_datagram(context, data):
    received = gpb.Datagram.FromString(data).digest
    context.exchange.on_digest(received, boot_s())


@then("processing them takes less than {percent:g} % of a core at the median")
def takes_less_than(context, percent):
    core_fraction = median(context.took_s)
    print(f"\n{core_fraction:.1%} of a core")
    assert core_fraction < percent / 100, context.took_s


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
