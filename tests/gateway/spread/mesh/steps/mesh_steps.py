"""Steps of mesh.feature."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

from behave import given, then, when

from support.gateway_world import gateway_settings
from tanagerturn.clocks import boot_s
from tanagerturn.gateway.spread.mesh import BATCH_INTERVAL_S, TICK_S, Mesh, Peer
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.schema import membership_pb2 as mpb

NOW_S = 1_000.0


class RecordingSocket:
    """Replaces the digest socket and records the sent datagrams."""

    def __init__(self):
        self.datagrams_by_interval = []
        """Recipient IP address and digest of each datagram, by batch interval."""

    def send(self, data, ip, port):
        """Record a datagram."""
        self.datagrams_by_interval[-1].append(
            (ip, gpb.Datagram.FromString(data).digest)
        )


class DroppingSocket:
    """Replaces the socket of failure detection and drops the sent datagrams."""

    def send(self, data, ip, port):
        """Drop a datagram."""


@given("a gateway with {count:d} peers")
def gateway_with_peers(context, count):
    mesh = context.mesh = Mesh(
        gateway_settings(),
        Random(1),
        lambda digest, now_s: None,
        stamp,
        lambda digest, now_s: None,
        lambda news, now_s: None,
        lambda version, ip: None,
    )
    context.socket = mesh.datagram_socket = RecordingSocket()
    mesh.probe_socket = DroppingSocket()
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
    batches_per_tick = round(TICK_S / BATCH_INTERVAL_S)
    for number in range(round(time_s / BATCH_INTERVAL_S)):
        context.socket.datagrams_by_interval.append([])
        if number % batches_per_tick == 0:
            context.mesh.tick(context.now_s)
        context.mesh.send_next_batch(context.now_s)
        context.now_s += BATCH_INTERVAL_S


@when("the gateway runs for {time_s:g} s")
def gateway_runs(context, time_s):
    run(context, time_s)


@then("at most {max_digests:d} digests are sent at once, and each peer gets one")
def small_batches(context, max_digests):
    counts = [len(batch) for batch in context.socket.datagrams_by_interval]
    assert max(counts) <= max_digests, counts
    digest_counts = Counter(
        ip for batch in context.socket.datagrams_by_interval for ip, _ in batch
    )
    assert digest_counts == Counter(context.ips), digest_counts


@then("each digest contains the time at which it was sent")
def digests_have_send_time(context):
    for number, batch in enumerate(context.socket.datagrams_by_interval):
        sent_at_ms = int((NOW_S + number * BATCH_INTERVAL_S) * 1000)
        assert all(abs(d.sent_at_ms - sent_at_ms) <= 1 for _, d in batch)


@when("the gateway runs for {time_s:g} s and its next digest is due")
def due_before_all_sent(context, time_s):
    run(context, time_s)
    context.first_recipients = {
        ip for batch in context.socket.datagrams_by_interval for ip, _ in batch
    }
    assert len(context.first_recipients) < len(context.ips)
    context.mesh.next_digest_s = 0.0


@then("within {time_s:g} s each peer without a digest gets one")
def peers_without_digest_first(context, time_s):
    run(context, time_s)
    recipients = {
        ip for batch in context.socket.datagrams_by_interval for ip, _ in batch
    }
    assert recipients == set(context.ips)


@then("no peer is among the last fifth of recipients of more than half of the digests")
def last_recipients_change(context):
    by_digest = {}
    for batch in context.socket.datagrams_by_interval:
        for ip, digest in batch:
            by_digest.setdefault(digest.sequence, []).append(ip)
    whole = [ips for ips in by_digest.values() if len(ips) == len(context.ips)]
    assert len(whole) >= 8, len(whole)
    last = Counter(ip for ips in whole for ip in ips[-len(ips) // 5 :])
    assert max(last.values()) <= len(whole) / 2, last


@when("the gateway announces immediately that it stops")
def announces_stop(context):
    context.socket.datagrams_by_interval.append([])
    context.mesh.send_digest(context.now_s)


@then("each peer gets a digest within one batch interval")
def all_peers_get_digest(context):
    digest_counts = Counter(ip for ip, _ in context.socket.datagrams_by_interval[0])
    assert digest_counts == Counter(context.ips), digest_counts


@given("a gateway with {count:d} peers that it has not heard from")
def gateway_with_unheard_peers(context, count):
    gateway_with_peers(context, count)
    context.mesh.peers.clear()
    context.mesh.core.table.present_count = 1 + count
    for member in context.mesh.core.table.members.values():
        member.info.relay_address = f"{member.process}:7603"


@given("a gateway with {count:d} peers that it has not heard from, and {seeds:d} seeds")
def gateway_with_seeds(context, count, seeds):
    gateway_with_unheard_peers(context, count)
    seed_ips = ("127.0.0.1", *(f"10.9.0.{n}" for n in range(1, seeds)))
    context.mesh.settings = replace(context.mesh.settings, seed_ips=seed_ips)


@then("{after_s:g} s after its start it knows {known:d} gateways")
def knows_after(context, after_s, known):
    mesh = context.mesh
    assert mesh.known_count(mesh.started_s + after_s) == known


def receive_digest(context, number, **fields):
    digest = gpb.Digest(host=f"other-{number - 1}", sequence=1, **fields)
    data = gpb.Datagram(digest=digest).SerializeToString()
    context.mesh._on_datagram(data, "10.0.0.1:7602")


@when("a digest of peer {number:d} reports {count:d} gateways")
def digest_reports_count(context, number, count):
    receive_digest(context, number, known_gateways=count)


@when("a digest of peer {number:d} reports that it is draining")
def digest_reports_draining(context, number):
    receive_digest(context, number, draining=True)


@when("peer {number:d} is declared dead")
def peer_declared_dead(context, number):
    dead = f"other-{number - 1}"
    update = mpb.Update(process=dead, incarnation=1, health=mpb.DEAD)
    assert context.mesh.core.table.apply(update, int(boot_s() * 1000))


@then("it knows {known:d} gateways and has met {met:d}")
def knows_and_met(context, known, met):
    mesh, now_s = context.mesh, boot_s()
    counts = (mesh.known_count(now_s), mesh.met_count(now_s))
    assert counts == (known, met), counts


@then("its present peers are {numbers}")
def present_peers(context, numbers):
    listed = numbers.replace(" and ", ", ").split(", ")
    expected = {f"other-{int(number) - 1}" for number in listed}
    present = context.mesh.present_gateways()
    assert present == {host: f"{host}:7603" for host in expected}, present
