"""Steps and helpers that the tests of the entry program share."""

from __future__ import annotations

import orjson
from behave import given, then

from support.entry_world import EntryWorld, wait_for
from tanagerturn.standins.faults import Fault, FaultPlan
from tanagerturn.standins.tokens import expected_text

SEED = 5


def start(context, entries, **options):
    context.world = EntryWorld(entries, **options)
    context.closers.append(context.world.close)
    context.replies = {}


@given("{count:d} entry host")
@given("{count:d} entry hosts")
def entry_hosts(context, count):
    start(context, count)


@given("1 entry host with {threads:d} threads")
def entry_with_threads(context, threads):
    start(
        context,
        1,
        threads=threads,
        change=lambda text: text.replace(
            "requests_per_s: 40\n", "requests_per_s: 4000\n"
        ),
    )


@given("1 entry host whose client account may send {rate:d} requests per second")
def entry_with_limit(context, rate):
    start(
        context,
        1,
        change=lambda text: text.replace(
            "requests_per_s: 400", f"requests_per_s: {rate}"
        ),
    )


def make_fault_plan(share, fault):
    return FaultPlan(SEED, {Fault(fault): share / 100}, delay_ms=300.0)


@given("{count:d} seat service")
@given("{count:d} seat services")
def seat_services(context, count):
    context.world.add_services(count)


@given('{count:d} seat services that inject "{fault}" into {share:d}% of purchases')
def faulty_services(context, count, share, fault):
    context.world.add_services(count, faults=make_fault_plan(share, fault))


@given("{count:d} seat services that take {execute:d} ms for a purchase")
def slow_services(context, count, execute):
    context.world.add_services(count, execute_ms=float(execute))


@given("{count:d} engine")
@given("{count:d} engines")
def engines(context, count):
    context.world.add_engines(count)


@given('{count:d} engines of which the first injects "{fault}" into each request')
def faulty_engine(context, count, fault):
    context.world.add_engines(1, faults=make_fault_plan(100, fault))
    context.world.add_engines(count - 1)


@then("the first engine injected its fault")
def fault_committed(context):
    assert context.world.engines[0].faults.injected


@given("1 engine with {slots:d} slots")
def engine_with_slots(context, slots):
    context.world.add_engines(1, slots=slots, step_ms=20.0)


def collect(context, key, entry, account="choir-union"):
    world = context.world

    def get():
        context.got = world.send("GET", f"/requests/{key}", account, entry=entry)
        return context.got.status != 202

    wait_for(get)
    return context.got


def assert_whole(got, prompt, tokens):
    assert got.status == 200, got
    text = orjson.loads(got.body)["choices"][0]["text"]
    assert text == expected_text(prompt, tokens)
