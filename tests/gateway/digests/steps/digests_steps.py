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

PER_S = 120
"""Digests that come in a second, by DIGEST_HOSTS_PER_S."""

WALL_S = 1_700_000_000.0


class CountedLinks:
    """Links that count fetches and answer none."""

    def __init__(self):
        self.fetches = 0

    def to(self, address):
        """Return the link to an address."""
        return self

    async def call(self, frame, timeout_s):
        """Count a call."""
        self.fetches += 1
        return Error(UnavailableError("call gateway", "", "not there"))


@given("a gateway among {others:d} others that know {backends:d} backend servers")
def gateway(context, others, backends):
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
    context.digests = [digest(context.state, n, random) for n in range(others)]


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
    """Return a digest of the size that one has under load."""
    hashes = list(state.fleet.by_hash)
    made = gpb.Digest(
        host=f"g{number}",
        started_ms=1,
        sequence=1,
        sent_at_ms=int(state.wall_time.read(boot_s()) * 1000),
        link_address=f"10.1.{number}.1:7600",
        registry_hash=state.fleet.registry_hash(boot_s()),
        configuration_version=3,
        heard=random.sample(hashes, 1),
    )
    for backend in random.sample(hashes, 8):
        made.work.add(backend=backend, running=2, prompt_tokens=3_000, kv_tokens=9_000)
    for account in range(16):
        made.accounts.add(client_account=f"a{account}", demand_per_s=1_000.0)
    first = state.usage.window_at(WALL_S)
    for window in range(4):
        told = made.windows.add(number=first - window)
        for account in range(10):
            told.counts.add(client_account=f"a{account}", count=3)
    for part in range(6):
        made.sent_parts.add(backend=hashes[part], part=part, tokens=300)
    return gpb.Datagram(digest=made).SerializeToString()


@given("a gateway that counted requests in {count:d} windows in a row")
def counted(context, count):
    gateway(context, 1, 9)
    state = context.state
    wall_s = state.wall_time.read(boot_s())
    for number in range(count):
        state.usage.on_begun("a", wall_s - number * state.usage.window_s)


@then(
    "its digests tell {first:d}, {second:d}, {third:d} and {fourth:d} windows, "
    "the present one always"
)
def told_windows(context, first, second, third, fourth):
    state = context.state
    numbers = []
    for sequence in (1, 2, 3, 4):
        made = gpb.Digest(host="g", sequence=sequence)
        context.exchange.fill(made, boot_s())
        numbers.append([window.number for window in made.windows])
    assert [len(each) for each in numbers] == [first, second, third, fourth], numbers
    present = state.usage.window_at(state.wall_time.read(boot_s()))
    assert all(present in each for each in numbers), numbers


@when("the 120 digests of a second come")
def second(context):
    context.took_s = []
    for _ in range(9):
        started_s = time.process_time()
        for number in range(PER_S):
            take(context, context.digests[number % len(context.digests)])
        context.took_s.append(time.process_time() - started_s)


def take(context, data):
    told = gpb.Datagram.FromString(data).digest
    context.exchange.on_digest(told, boot_s())


@then("they take less than {percent:g} % of a core in the middle")
def within(context, percent):
    share = median(context.took_s)
    print(f"\n{share:.1%} of a core")
    assert share < percent / 100, context.took_s


@when("digests come from gateways that know the same")
def same(context):
    play(context, context.digests)


def play(context, digests):
    async def run():
        for data in digests:
            take(context, data)
        await asyncio.sleep(0)

    context.loop.run_until_complete(run())


@then("nothing is fetched")
def not_fetched(context):
    assert context.links.fetches == 0


@when("one backend server is known elsewhere only")
def elsewhere(context):
    other = gpb.Datagram.FromString(context.digests[0])
    other.digest.registry_hash ^= 1
    play(context, [other.SerializeToString()] * 20)


@then("the registry is fetched once in 0.5 s")
def fetched(context):
    assert context.links.fetches == 1, context.links.fetches
