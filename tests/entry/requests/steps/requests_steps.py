"""Steps of requests.feature."""

from __future__ import annotations

import socket
import threading
import time
from dataclasses import replace
from itertools import product
from random import Random

import orjson
import urllib3
from behave import given, then, when
from expression import Error

from support.entry_steps import SEED, assert_whole, collect
from support.entry_world import (
    raw_exchange,
    wait_for,
)
from tanagerturn.coordination.errors import UnavailableError
from tanagerturn.entry.idle_readers import close_idle_readers
from tanagerturn.observe.operations import WsgiServer
from tanagerturn.schema import settings_pb2

TOKENS = 60
PATIENT_TOKENS = 400


def send_all(context, pairs):
    """Send a purchase per (key, index of entry host) concurrently; store replies."""
    world = context.world
    futures = [
        (key, world.callers.submit(world.buy, key, entry)) for key, entry in pairs
    ]
    for key, future in futures:
        context.replies.setdefault(key, []).append(future.result())


@when("{count:d} purchases are sent and each key is sent again to the other entry host")
def buy_twice(context, count):
    keys = [f"k{number}" for number in range(count)]
    send_all(context, [(key, 0) for key in keys])
    for key in keys:
        context.replies[key].append(context.world.resend_until_done(key, 1))


@when("{count:d} keys are each sent to all entry hosts concurrently")
def buy_everywhere(context, count):
    keys = [f"k{number}" for number in range(count)]
    hosts = range(len(context.world.entries))
    send_all(context, list(product(keys, hosts)))
    for key in keys:
        context.replies[key].append(context.world.resend_until_done(key, 0))


@then("no reply is false and at least {min_count:d} keys were answered")
def replies_true(context, min_count):
    answered = 0
    for key, replies in context.replies.items():
        context.world.check(key, replies)
        answered += any(got.status == 200 for got in replies)
    print(f"\n{answered} of {len(context.replies)} keys answered")
    assert answered >= min_count, answered


@then('every reply was a service response or "still running" with a retry delay')
def response_or_running(context):
    for got in (got for replies in context.replies.values() for got in replies):
        assert got.status == 200 or (got.status == 409 and "retry-after" in got.headers)


@when(
    "{purchases:d} purchases and {drafts:d} patient drafts are running on the "
    "first host and it is killed"
)
def kill_host(context, purchases, drafts):
    world = context.world
    context.drafts = [f"d{number}" for number in range(drafts)]
    for key in context.drafts:
        got = world.draft(
            key, PATIENT_TOKENS, Prefer="respond-async", Idempotency_Key=key
        )
        assert got.status == 202, got
    keys = [f"k{number}" for number in range(purchases)]
    sender = threading.Thread(
        target=send_all, args=(context, [(key, 0) for key in keys])
    )
    sender.start()
    wait_for(lambda: sum(world.ledger.running.values()) >= purchases // 2)
    isolate_from_store(world.entries[0])
    context.killed_at_s = time.monotonic()
    world.entries[0].abort()
    sender.join()
    context.keys = keys


class UnreachableStoreClient:
    """Store client of a killed process: no call reaches the store."""

    def propose(self, *_, **__):
        """Fail the call as unavailable."""
        return Error(UnavailableError("propose", "", "cut off"))

    read = scan = lease = propose


def isolate_from_store(entry):
    ledger = entry.components.ledger
    ledger.client = UnreachableStoreClient()
    ledger.committer = replace(ledger.committer, client=ledger.client)


@then("each purchase is resolved by another entry host, none executed twice")
def resolved_elsewhere(context):
    for key in context.keys:
        context.replies[key].append(context.world.resend_until_done(key, 1))
        context.world.check(key, context.replies[key])
        assert context.replies[key][-1].status in (200, 502, 503)
    after_s = time.monotonic() - context.killed_at_s
    print(f"\nall resolved {after_s:.1f} s after the host was killed")


@then("each executed purchase returns its response when its key is sent again")
def executed_has_response(context):
    for key in context.keys:
        last = context.replies[key][-1]
        if context.world.ledger.executions[key]:
            assert last.status == 200, (key, last)


@then("each patient draft is collected complete from another entry host")
def drafts_collected(context):
    for key in context.drafts:
        assert_whole(collect(context, key, 2), key, PATIENT_TOKENS)


@when(
    "{count:d} callers request drafts while {purchases:d} purchases are sent "
    "one after the other"
)
def overload(context, count, purchases):
    world = context.world
    stopping = threading.Event()
    context.drafts = []

    def ask(number):
        while not stopping.is_set():
            context.drafts.append(world.draft(f"o{number}", 20))
            time.sleep(0.2)

    callers = [world.callers.submit(ask, number) for number in range(count)]
    wait_for(lambda: any(got.status == 503 for got in context.drafts))
    context.bought = [world.buy(f"b{number}") for number in range(purchases)]
    stopping.set()
    for caller in callers:
        caller.result()


@then("all {count:d} purchases were answered")
def all_bought(context, count):
    assert [got.status for got in context.bought] == [200] * count


@then("some drafts were refused as not run with a retry delay")
def some_refused(context):
    statuses = {got.status for got in context.drafts}
    assert statuses == {200, 503}, statuses
    refused = [got for got in context.drafts if got.status == 503]
    print(f"\n{len(refused)} of {len(context.drafts)} drafts refused")
    assert all(got.outcome == "not_run" for got in refused)
    assert all(int(got.headers["retry-after"]) >= 1 for got in refused)


@when("{count:d} lookups are sent concurrently")
def many_lookups(context, count):
    world = context.world
    futures = [world.callers.submit(world.look_up) for _ in range(count)]
    context.lookups = [future.result() for future in futures]


@then(
    "{min_count:d} to {max_count:d} were answered and the others got 429 and a "
    "retry delay"
)
def within_limit(context, min_count, max_count):
    answered = [got for got in context.lookups if got.status == 200]
    others = [got for got in context.lookups if got.status != 200]
    assert min_count <= len(answered) <= max_count, len(answered)
    assert all((got.status, got.outcome) == (429, "not_run") for got in others)
    assert all(int(got.headers["retry-after"]) >= 1 for got in others)


@then("these requests are refused")
def refused_requests(context):
    for row in context.table:
        headers = {"Idempotency_Key": row["key"]} if row["key"] else {}
        got = context.world.send(
            row["method"], row["path"], row["account"], row["body"].encode(), **headers
        )
        assert got.status == int(row["status"]), (row, got)
        assert got.headers["content-type"] == "application/problem+json"
        assert orjson.loads(got.body)["step"] == row["step"], got.body


@then("a key used for another purchase is refused with 422")
def reused(context):
    assert context.world.buy("k", body=b"one").status == 200
    assert context.world.buy("k", body=b"two").status == 422
    assert context.world.ledger.executions["k"] == 1


@then("{count:d} malformed requests get an error response or none")
def malformed(context, count):
    address = context.world.entries[0].callers.address
    random = Random(SEED)
    head = b"POST /services/seats/purchases HTTP/1.1\r\nHost: a\r\n"
    valid = head + b"Content-Length: 4\r\n\r\nbody"
    for _ in range(count):
        mutated = bytearray(valid)
        for _ in range(random.randint(1, 12)):
            mutated[random.randrange(len(mutated))] = random.randrange(256)
        truncated = bytes(mutated[: random.randint(1, len(mutated))])
        got = raw_exchange(address, [truncated], close_write=True)
        assert not got or got.startswith((b"HTTP/1.0 ", b"HTTP/1.1 ")), got
        assert b" 200 " not in got[:15]
        assert b" 500 " not in got[:15], (truncated, got)


@then("an oversized body and oversized headers are refused")
def oversized(context):
    address = context.world.entries[0].callers.address
    head = (
        b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n"
    )
    assert b" 413 " in raw_exchange(address, [head])[:15]
    large_headers = b"GET / HTTP/1.1\r\nHost: a\r\n" + b"X-A: b\r\n" * 20_000 + b"\r\n"
    got = raw_exchange(address, [large_headers])
    # If headers are still being sent when the server closes the connection, the
    # reset can discard the response.
    assert not got or b" 431 " in got[:15], got


@then("slow and half-closed requests do not block others")
def slow_and_half_closed(context):
    world = context.world
    address = world.entries[0].callers.address
    line = b"GET /services/seats/seats/1 HTTP/1.1\r\nHost: a\r\n"
    slow = [
        world.callers.submit(raw_exchange, address, [bytes([b]) for b in line], 0.02)
        for _ in range(20)
    ]
    half_closed = [
        world.callers.submit(raw_exchange, address, [line], 0.0, True)
        for _ in range(20)
    ]
    slowest = 0.0
    while not all(future.done() for future in slow):
        started_s = time.monotonic()
        assert world.look_up().status == 200
        slowest = max(slowest, time.monotonic() - started_s)
    assert all(future.result() == b"" for future in [*slow, *half_closed])
    print(f"\nslowest lookup meanwhile: {slowest * 1000:.0f} ms")


@then("a lookup is answered")
def lookup_answered(context):
    assert context.world.look_up().status == 200


@given("a listener with {threads:d} threads whose responses have {size:d} MB")
def large_listener(context, threads, size):
    context.closed = []
    context.size = size * 2**20

    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", str(context.size))])
        try:
            for _ in range(size * 16):
                yield bytes(2**16)
        finally:
            context.closed.append(True)

    listener = settings_pb2.Listener(ip="127.0.0.1", port=0)
    context.server = WsgiServer(
        application, listener, threads, "large", outbuf_high_watermark=2**18
    )
    context.closers.append(context.server.stop)
    context.server.start()


@when("{count:d} callers read nothing")
def read_nothing(context, count):
    ip, _, port = context.server.address.rpartition(":")
    for _ in range(count):
        sock = socket.create_connection((ip, int(port)))
        context.closers.append(sock.close)
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    channels = context.server.waitress_server.active_channels
    wait_for(lambda: sum(c.total_outbufs_len > 2**18 for c in channels.values()) == 2)


@then("both are disconnected after {late:d} seconds, but not after {early:d}")
def disconnected_late(context, late, early):
    channels = list(context.server.waitress_server.active_channels.values())
    last_s = max(channel.last_activity for channel in channels)
    assert close_idle_readers(context.server, last_s + early) == 0
    assert close_idle_readers(context.server, last_s + late) == 2
    wait_for(lambda: len(context.closed) == 2)


@then("a caller that reads gets its complete response")
def reader_served(context):
    response = urllib3.request(
        "GET", f"http://{context.server.address}/", retries=False
    )
    assert len(response.data) == context.size
