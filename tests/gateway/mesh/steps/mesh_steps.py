"""Steps of mesh.feature."""

from __future__ import annotations

from collections import Counter
from random import Random

from behave import given, then, when

from support.gateway_world import gateway_settings
from tanagerturn.gateway.mesh import SEND_S, TICK_S, Mesh, Peer
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.schema import membership_pb2 as mpb

NOW_S = 1_000.0


class Sent:
    """Takes the place of the socket of digests."""

    def __init__(self):
        self.at_tick = []
        """Digests of each tick: destination and digest."""

    def send(self, data, ip, port):
        """Note a datagram."""
        self.at_tick[-1].append((ip, gpb.Datagram.FromString(data).digest))


class NoProbes:
    """Takes the place of the socket of failure detection."""

    def send(self, data, ip, port):
        """Lose a datagram."""


@given("a gateway that knows {count:d} others")
def knows(context, count):
    mesh = context.mesh = Mesh(
        gateway_settings(),
        Random(1),
        lambda digest, now_s: None,
        stamp,
        lambda digest, now_s: None,
        lambda news, now_s: None,
        lambda version, ip: None,
    )
    context.sent = mesh.datagrams = Sent()
    mesh.probes = NoProbes()
    now_ms = int(NOW_S * 1000)
    context.ips = [f"10.0.{number}.1" for number in range(1, count + 1)]
    for number, ip in enumerate(context.ips):
        info = mpb.ProcessInfo(address=f"{ip}:7601")
        update = mpb.Update(
            process=f"other-{number}", incarnation=1, health=mpb.ALIVE, info=info
        )
        assert mesh.core.table.apply(update, now_ms)
        mesh.peers[f"g{number}"] = Peer(gpb.Digest(host=f"g{number}"), NOW_S)
    context.now_s = NOW_S


def stamp(digest, now_s):
    digest.sent_at_ms = int(now_s * 1000)


def run(context, time_s):
    ticks_each = round(TICK_S / SEND_S)
    for number in range(round(time_s / SEND_S)):
        context.sent.at_tick.append([])
        if number % ticks_each == 0:
            context.mesh.tick(context.now_s)
        context.mesh.send_due(context.now_s)
        context.now_s += SEND_S


@when("it runs for {time_s:g} s")
def runs(context, time_s):
    run(context, time_s)


@then("{most:d} digests at most left at once, and each other gateway got one")
def few(context, most):
    counts = [len(each) for each in context.sent.at_tick]
    assert max(counts) <= most, counts
    got = Counter(ip for each in context.sent.at_tick for ip, _ in each)
    assert got == Counter(context.ips), got


@then("each tells the time at which it was sent")
def stamped(context):
    for number, each in enumerate(context.sent.at_tick):
        sent_at_ms = int((NOW_S + number * SEND_S) * 1000)
        assert all(abs(d.sent_at_ms - sent_at_ms) <= 1 for _, d in each)


@when("it runs for {time_s:g} s and its next digest is due")
def due_early(context, time_s):
    run(context, time_s)
    context.early = {ip for each in context.sent.at_tick for ip, _ in each}
    assert len(context.early) < len(context.ips)
    context.mesh.digest_at_s = 0.0


@then("within {time_s:g} s those that got none have got one")
def late_first(context, time_s):
    run(context, time_s)
    got = {ip for each in context.sent.at_tick for ip, _ in each}
    assert got == set(context.ips)


@then("no other gateway was in the last fifth of more than half of the digests")
def not_always_last(context):
    by_digest = {}
    for each in context.sent.at_tick:
        for ip, digest in each:
            by_digest.setdefault(digest.sequence, []).append(ip)
    whole = [ips for ips in by_digest.values() if len(ips) == len(context.ips)]
    assert len(whole) >= 8, len(whole)
    last = Counter(ip for ips in whole for ip in ips[-len(ips) // 5 :])
    assert max(last.values()) <= len(whole) / 2, last


@when("it tells at once that it stops")
def tells(context):
    context.sent.at_tick.append([])
    context.mesh.send_digest(context.now_s)


@then("each other gateway got one within a tick")
def all_got(context):
    got = Counter(ip for ip, _ in context.sent.at_tick[0])
    assert got == Counter(context.ips), got
