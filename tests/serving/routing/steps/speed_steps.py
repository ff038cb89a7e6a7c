"""Steps of speed.feature."""

from __future__ import annotations

import math
from collections import Counter
from random import Random
from types import SimpleNamespace

from behave import given, then, when

from support.digest_messages import announce
from support.operations import OPERATIONS_PER_S, count_operations
from support.speed_simulation import Setting, simulate
from tanagerturn.gateway.backends import placement
from tanagerturn.gateway.backends.speeds import Speeds
from tanagerturn.gateway.backends.state import Work
from tanagerturn.gateway.fleet import Fleet, backend_hash
from tanagerturn.gateway.messages import LoadHint, Prompt, PromptPart
from tanagerturn.serving.routing.speed import EngineSpeed, ServiceSpeeds

NOW_S = 100.0


@given("an engine that always takes as long as expected times its reported percentage")
def exact_engine(context):
    context.speed, context.service = EngineSpeed("b1"), ServiceSpeeds()


@when("it serves {count:d} requests while its reports alternate between 100 and 250")
def serve_alternating(context, count):
    speed, service = context.speed, context.service
    for number in range(count):
        now_s = float(number)
        percent = 250 if number % 2 else 100
        speed.on_report(percent, service.decay, now_s)
        momentary = speed.momentary(service.decay, now_s)
        speed.on_measured(0.1 * percent / 100, 0.1, momentary)


@then("its learned factor is within 0.05 of 1")
def learned_one(context):
    assert abs(math.exp(context.speed.log_ratio) - 1) < 0.05, context.speed.log_ratio


@given("4 engines that take {ratios} times as long as expected")
def engines_with_ratios(context, ratios):
    context.ratios = [float(r) for r in ratios.replace("and", ",").split(",")]
    context.speeds = [EngineSpeed("b1") for _ in context.ratios]
    context.service = ServiceSpeeds()


@when("each serves {count:d} requests")
def each_serves(context, count):
    for speed, ratio in zip(context.speeds, context.ratios, strict=True):
        for _ in range(count):
            speed.on_measured(0.1 * ratio, 0.1, 1.0)
    context.service.refresh(context.speeds, NOW_S)


@then("the factor of the first is less than half of that of each other")
def first_is_fast(context):
    first, *others = [speed.lasting for speed in context.speeds]
    assert all(first < other / 2 for other in others), context.speeds


@then("the geometric mean of the factors is within 0.05 of 1")
def mean_is_one(context):
    logs = [math.log(speed.lasting) for speed in context.speeds]
    assert abs(math.exp(sum(logs) / len(logs)) - 1) < 0.05, logs


@given("an engine whose reports alternate between 100 and 250 each {period_s:g} s")
def alternating_reports(context, period_s):
    context.speed, context.service = EngineSpeed("b1"), ServiceSpeeds()
    random, at_s = Random(1), 0.0
    while at_s < 90:
        at_s += random.uniform(0.02, 0.4)
        percent = 250 if int(at_s / period_s) % 2 else 100
        context.speed.on_report(percent, context.service.decay, at_s)


@when("it last reported 250 at {age_s:g} s ago")
def last_report(context, age_s):
    context.speed.report, context.speed.reported_s = 2.5, NOW_S - age_s


@then("its momentary factor is between {low:g} and {high:g}")
def momentary_between(context, low, high):
    factor = context.speed.momentary(context.service.decay, NOW_S)
    assert low <= factor <= high, factor
    # The choice computes the factors of all candidates without these calls.
    speeds, backend = Speeds(), SimpleNamespace(id="i-1", incarnation="b1")
    speeds.by_backend["i-1"] = context.speed
    (chosen,) = speeds.time_factors(context.service, [backend], [backend], NOW_S)
    assert low <= chosen <= high, chosen


def make_fleet(count, percent=100):
    fleet = Fleet("g1")
    for number in range(count):
        announce(SimpleNamespace(fleet=fleet), number)
    for backend in fleet.view.backends.values():
        fleet.on_load_hint(backend, LoadHint(0, 0, 64, percent), time_of(fleet))
    return fleet


def choose(fleet, prompt=None, random=None):
    return placement.choose(fleet, "desk", prompt, (), "a", time_of(fleet), random)


def time_of(fleet):
    """Return the time at which the first engine announced itself."""
    return fleet.view.backends["i-00000000"].last_heard_ms / 1000


def set_factor(fleet, backend_id, factor):
    speed = fleet.speeds.of(fleet.view.backends[backend_id])
    for _ in range(200):
        speed.on_measured(factor, 1.0, 1.0)
    for other in fleet.view.backends.values():
        if other.id != backend_id:
            for _ in range(200):
                fleet.speeds.of(other).on_measured(1.0, 1.0, 1.0)


@given('a gateway that learned that "{backend_id}" takes {factor:g} times as long')
def learned_slow(context, backend_id, factor):
    context.fleet = make_fleet(5)
    set_factor(context.fleet, backend_id, factor)
    assert factor_of(context.fleet, backend_id) > 1.5


@when('"{backend_id}" starts again')
def starts_again(context, backend_id):
    backend = context.fleet.view.backends[backend_id]
    announcement = type(backend.announcement)()
    announcement.CopyFrom(backend.announcement)
    announcement.incarnation, announcement.born_ms = "b2", 2
    now_s = backend.last_heard_ms / 1000
    context.fleet.on_announcement(announcement, now_s, heard=True)


def factor_of(fleet, backend_id):
    pool = fleet.view.pool("desk")
    service = fleet.speeds.active("desk")
    service.refreshed_s = -1e9
    backend = fleet.view.backends[backend_id]
    return fleet.speeds.time_factors(service, pool, [backend], time_of(fleet))[0]


@then('the factor of "{backend_id}" is 1')
def factor_is_one(context, backend_id):
    factor = factor_of(context.fleet, backend_id)
    assert factor == 1, factor


@given(
    "{gateways:d} gateways that know of {count:d} engines that "
    '"{backend_id}" is the fastest'
)
def gateways_know(context, gateways, count, backend_id):
    context.chosen = Counter()
    for number in range(gateways):
        fleet = make_fleet(count)
        set_factor(fleet, backend_id, 0.6)
        fleet.speeds.active("desk").in_flight_s = 0.3
        for peer in range(gateways - 1):
            work = [
                (backend_hash(b), Work(1 if (peer + n) % 6 == 0 else 0))
                for n, b in enumerate(fleet.view.backends)
            ]
            fleet.on_peer_work(f"g{peer}", work, time_of(fleet))
        fleet.digest_interval_s = 0.4
        context.chosen[choose(fleet, random=Random(number)).backend.id] += 1


@then('at most half of the gateways choose "{backend_id}" for a plain request')
def not_all(context, backend_id):
    total = sum(context.chosen.values())
    assert context.chosen[backend_id] <= total / 2, context.chosen


@then('"{backend_id}" is chosen more often than any other')
def most_often(context, backend_id):
    assert context.chosen.most_common(1)[0][0] == backend_id, context.chosen


@given("a gateway whose {count:d} engines report three figures")
def three_figures(context, count):
    context.fleet = make_fleet(count, percent=None)


@then("it chooses the least loaded one, and keeps no speeds")
def least_loaded(context):
    fleet = context.fleet
    for number, backend in enumerate(fleet.view.backends.values()):
        if number != 7:
            fleet.on_forwarded(backend, f"r{number}", None, NOW_S)
    random = Random(1)
    state = random.getstate()
    assert choose(fleet, random=random).backend.id == "i-00000007"
    assert random.getstate() == state
    assert not fleet.speeds.services
    assert not fleet.speeds.by_backend


@given(
    '2 engines, of which "{backend_id}" holds {tokens:d} tokens and takes '
    "{factor:g} times as long"
)
def holder(context, backend_id, tokens, factor):
    context.fleet, context.tokens = make_fleet(2), tokens
    context.fleet.speeds.of(context.fleet.view.backends[backend_id])
    prompt = Prompt("m", tokens, 0, (PromptPart("shared", tokens),))
    backend = context.fleet.view.backends[backend_id]
    context.fleet.on_forwarded(backend, "r1", prompt, NOW_S)
    context.fleet.on_request_ended(backend_id, "r1")
    for each in context.fleet.view.backends.values():
        ratio = factor if each.id == backend_id else 1.0
        speed = context.fleet.speeds.of(each)
        for _ in range(200):
            speed.on_measured(ratio, 1.0, 1.0)


@then('a prompt of {total:d} tokens goes to "{backend_id}"')
def prompt_goes(context, total, backend_id):
    tokens = context.tokens
    parts = (PromptPart("shared", tokens), PromptPart("own", total - tokens))
    chosen = choose(context.fleet, Prompt("m", total, 0, parts))
    assert chosen.backend.id == backend_id, chosen


@given("a gateway among {gateways:d} that knows the speeds of {count:d} engines")
def large_fleet(context, gateways, count):
    context.fleet, random = make_fleet(count), Random(1)
    fleet = context.fleet
    for peer in range(gateways):
        work = [
            (backend_hash(b), Work(2, 3_000, 9_000))
            for b in fleet.view.backends
            if random.random() < 0.1
        ]
        fleet.on_peer_work(f"g{peer}", work, time_of(fleet))
    context.parts = (PromptPart("shared", 500), PromptPart("own", 1_500))
    held = Prompt("m", 500, 100, context.parts[:1])
    for number, backend in enumerate(fleet.view.backends.values()):
        prompt = held if number % 20 == 0 else Prompt("m", 500, 100)
        for request in range(2):
            fleet.on_forwarded(backend, f"r{request}", prompt, NOW_S, 0.2)


@then("a choice for a {kind} request takes at most {limit_us:d} us")
def choice_is_cheap(context, kind, limit_us):
    prompt = None if kind == "plain" else Prompt("m", 2_000, 100, context.parts)
    random = Random(2)
    # The sums of outstanding work are kept between choices.
    for _ in range(40):
        choose(context.fleet, prompt, random)
    operations = count_operations(lambda: choose(context.fleet, prompt, random))
    taken_us = operations / OPERATIONS_PER_S * 1e6
    assert taken_us <= limit_us, taken_us


@when(
    "{gateways:d} gateways with reports {age_ms:d} ms old choose among "
    "{engines:d} engines"
)
def gateways_choose(context, gateways, age_ms, engines):
    setting = Setting(gateways, age_ms / 1000, engines, requests=5_000, seed=3)
    context.times_s = {
        policy: simulate(policy, setting)
        for policy in ("both", "least load", "two choices", "round robin")
    }


@then(
    "choosing by both factors is at least as fast as least load, two choices and "
    "round robin"
)
def both_is_fastest(context):
    both = context.times_s.pop("both")
    for policy, times_s in context.times_s.items():
        pairs = zip(both, times_s, strict=True)
        assert all(mine <= theirs for mine, theirs in pairs), (policy, both, times_s)


@given(
    "{gateways:d} gateways that know {count:d} engines, which all hold the shared part "
    "of a prompt"
)
def all_hold(context, gateways, count):
    context.chosen = Counter()
    parts = (PromptPart("shared", 6_000), PromptPart("own", 1_500))
    for number in range(gateways):
        fleet = make_fleet(count)
        for backend in list(fleet.view.backends.values()):
            held = Prompt("m", 6_000, 0, parts[:1])
            fleet.on_forwarded(backend, "r1", held, time_of(fleet))
            fleet.on_request_ended(backend.id, "r1")
            work = [(backend_hash(backend.id), Work(3, 1_000, 9_000))]
            fleet.on_peer_work(f"of {backend.id}", work, time_of(fleet))
        fleet.speeds.active("desk").in_flight_s = 0.5
        prompt = Prompt("m", 7_500, 0, parts)
        context.chosen[choose(fleet, prompt, Random(number)).backend.id] += 1


@then("at most {count:d} of the gateways choose the same engine for the prompt")
def choices_spread(context, count):
    assert max(context.chosen.values()) <= count, context.chosen
