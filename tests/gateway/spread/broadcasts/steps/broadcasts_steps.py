"""Steps of broadcasts.feature."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when

from tanagerturn.gateway.spread.broadcasts import HEADER_BYTES, Broadcasts

INTERVAL_S = 0.025
"""Time in seconds between two batches."""

NOW_S = 1_000.0


@given("a gateway with {count:d} recipients")
def gateway_with_recipients(context, count):
    context.broadcasts = Broadcasts(0.0)
    context.ips = [f"ip{number}" for number in range(count)]
    context.now_s = NOW_S


def take_all(context):
    """Return the batches until the queue is empty."""
    batches = []
    while batch := context.broadcasts.take(context.now_s):
        batches.append(batch)
        context.now_s += INTERVAL_S
    context.now_s += 1.0
    return batches


@when("it broadcasts {size:d} bytes and its queue is emptied each 25 ms")
def broadcasts_once(context, size):
    context.broadcasts.add(bytes(size), context.ips, is_urgent=False)
    context.batches = take_all(context)


@then("each recipient gets them once, over {count:d} batches")
def each_gets_once(context, count):
    recipients = Counter(ip for batch in context.batches for _, ip in batch)
    assert recipients == Counter(context.ips), recipients
    assert len(context.batches) == count, [len(batch) for batch in context.batches]


@then("no batch has more than {limit:d} bytes with its headers")
def batches_are_bounded(context, limit):
    sizes = [
        sum(len(data) + HEADER_BYTES for data, _ in batch) for batch in context.batches
    ]
    assert max(sizes) <= limit, sizes


@when("it broadcasts {size:d} bytes {count:d} times, each time with its queue emptied")
def broadcasts_often(context, size, count):
    context.orders = []
    for _ in range(count):
        context.broadcasts.add(bytes(size), context.ips, is_urgent=False)
        batches = take_all(context)
        context.orders.append([ip for batch in batches for _, ip in batch])


@then("no recipient is among the last fifth more than {limit:d} times")
def last_recipients_change(context, limit):
    last = Counter(ip for ips in context.orders for ip in ips[-len(ips) // 5 :])
    assert max(last.values()) <= limit, last


@when(
    "it broadcasts {size:d} bytes, and urgent ones of {urgent_size:d} bytes just after"
)
def broadcasts_urgent(context, size, urgent_size):
    context.broadcasts.add(bytes(size), context.ips, is_urgent=False)
    context.batches = [context.broadcasts.take(context.now_s)]
    context.now_s += INTERVAL_S
    context.broadcasts.add(bytes(urgent_size), context.ips, is_urgent=True)
    context.urgent_size = urgent_size
    context.batches += take_all(context)


@then("all urgent datagrams are sent before the rest of the others")
def urgent_first(context):
    later = [len(data) for batch in context.batches[1:] for data, _ in batch]
    count = len(context.ips)
    assert later[:count] == [context.urgent_size] * count
    assert context.urgent_size not in later[count:]
