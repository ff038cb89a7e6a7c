"""Steps of choose.feature."""

from __future__ import annotations

from collections import Counter
from random import Random

from behave import given, then, when

from support.backends import announcement
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.schema import settings_pb2
from tanagerturn.serving.backends.messages import Completion, RequestId
from tanagerturn.serving.backends.view import make_backend_view
from tanagerturn.serving.cache.blocks import BLOCK_TOKENS, cache_seed, hash_text_blocks
from tanagerturn.serving.routing.choose import choose
from tanagerturn.serving.routing.messages import RouteRequest

NOW_MS = 1_000_000
PROMPT = "".join(f"Deposition {i}: the witness said so. " for i in range(250))
BLOCKS = hash_text_blocks(PROMPT, cache_seed("m", "1"))


def make_view(names, now_ms=NOW_MS, **fields):
    view = make_backend_view()
    for name in names:
        assert view.on_announcement(announcement(name, **fields), now_ms).is_ok()
    return view


def route(view, seed=0, policy=settings_pb2.PREFIX_AND_LOAD, now_ms=NOW_MS, **fields):
    request = RouteRequest("draft", "m", **fields)
    return choose(view, request, now_ms, Random(seed), policy)


def count_choices(view, times, **fields):
    results = [route(view, seed, **fields).ok for seed in range(times)]
    return Counter(decision.backend_id for decision in results)


@given('12 idle engines of which "a-1" holds the prefix of 2000 tokens')
def prefix_holder(context):
    context.view = make_view([f"a-{i}" for i in range(12)])
    assert len(BLOCKS) * BLOCK_TOKENS >= 2000
    context.view.cache.on_used("a-1", BLOCKS, NOW_MS)


@then('the prompt goes to "a-1" because its tokens are cached')
def goes_to_holder(context):
    context.request = {"prefix_blocks": BLOCKS, "prompt_tokens": 2300}
    for seed in range(20):
        decision = route(context.view, seed, **context.request).ok
        assert decision.backend_id == "a-1"
        assert "cached" in decision.reason


@when('"a-1" has 40 requests more than slots')
def overload_holder(context):
    for i in range(48):
        context.view.on_started("a-1", RequestId(str(i)), NOW_MS)


@then("the prompt goes to another engine because the wait outweighs the cached tokens")
def goes_elsewhere(context):
    for seed in range(20):
        decision = route(context.view, seed, **context.request).ok
        assert decision.backend_id != "a-1"
        assert "wait" in decision.reason


@given('20 engines with equal load but "a-1" idle in an outdated report')
def one_engine_idle(context):
    load = pb.LoadReport(running=6, read_at_ms=5)
    names = [f"{zone}-{i}" for zone in "bcde" for i in range(5)][:19]
    context.views = []
    for _ in range(20):
        view = make_view(names, load=load)
        view.on_announcement(announcement("a-1"), NOW_MS)
        context.views.append(view)


@then('of 200 choices by 20 entry hosts at most 60 go to "a-1"')
def not_overloaded(context):
    chosen = Counter()
    for i in range(200):
        view = context.views[i % 20]
        decision = route(view, i, output_tokens=50).ok
        view.on_started(decision.backend_id, RequestId(str(i)), NOW_MS)
        chosen[decision.backend_id] += 1
    assert chosen["a-1"] <= 60, chosen


@given("engines of several versions, adapters and roles")
def mixed_engines(context):
    view = context.view = make_backend_view()
    number = 0
    for version in ("1", "2"):
        for adapter in ("x", "y"):
            for role in (pb.BOTH, pb.PREFILL, pb.DECODE):
                number += 1
                model = pb.LoadedModel(
                    model="m", version=version, adapters=[adapter], ready=True
                )
                engine = announcement(f"a-{number}", models=[model], role=role)
                view.on_announcement(engine, NOW_MS)
    loading = pb.LoadedModel(model="m", version="1", adapters=["x"], ready=False)
    view.on_announcement(announcement("a-99", models=[loading]), NOW_MS)
    desk = announcement("d-1", services=["desk"], models=[])
    view.on_announcement(desk, NOW_MS)


@then("each request is routed only to engines that meet all its requirements")
def requirements_met(context):
    first = route(context.view, version="1", adapter="x").ok.backend_id
    excluded = frozenset([first])
    assert route(context.view, version="1", adapter="x", excluded=excluded).is_error()
    for version in ("1", "2"):
        for adapter in ("x", "y"):
            for phase in (pb.BOTH, pb.PREFILL, pb.DECODE):
                needs = {"version": version, "adapter": adapter, "phase": phase}
                for name in count_choices(context.view, 20, **needs):
                    engine = context.view.backends[name].announcement
                    assert engine.models[0].version == version
                    assert list(engine.models[0].adapters) == [adapter]
                    assert engine.models[0].ready
                    assert engine.role in (pb.BOTH, phase)
    desk = choose(context.view, RouteRequest("desk"), NOW_MS, Random(0))
    assert desk.ok.backend_id == "d-1"


@given('4 engines of which "a-1" responds in 3 s but reports no load')
def stuck_report(context):
    context.view = make_view(["a-1", "b-1", "c-1", "d-1"], heartbeat_ms=60_000)


@then('of 300 requests at most 25 in 100 go to "a-1"')
def slow_engine_avoided(context):
    view, chosen, running = context.view, Counter(), []
    for i in range(300):
        now_ms = NOW_MS + i * 100
        for ended in [each for each in running if each[0] <= now_ms]:
            running.remove(ended)
            view.on_ended(ended[1], ended[2], ended[0], ended[3])
        name = route(view, i, now_ms=now_ms, output_tokens=10).ok.backend_id
        view.on_started(name, RequestId(str(i)), now_ms)
        chosen[name] += 1
        first_ms = 3_000 if name == "a-1" else 100
        completion = Completion(first_ms + 200, first_ms, 100, 10)
        running.append((now_ms + first_ms + 200, name, RequestId(str(i)), completion))
    assert chosen["a-1"] <= 75, chosen


@given("a slow engine that holds the prefix and a fast one that does not")
def slow_and_fast(context):
    view = context.view = make_view(["s-1", "f-1"])
    view.backends["s-1"].rates.token_ms = 60.0
    view.cache.on_used("s-1", BLOCKS, NOW_MS)
    context.request = {"prefix_blocks": BLOCKS, "prompt_tokens": 2300}


@then("a short generation goes to the slow engine and a long one to the fast engine")
def routed_by_length(context):
    short = count_choices(context.view, 10, output_tokens=10, **context.request)
    long = count_choices(context.view, 10, output_tokens=1_000, **context.request)
    assert (set(short), set(long)) == ({"s-1"}, {"f-1"})


@then("a medium generation goes to the fast engine only if its deadline is near")
def near_deadline(context):
    medium = {"output_tokens": 50, **context.request}
    far = count_choices(context.view, 10, deadline_ms=NOW_MS + 60_000, **medium)
    near = count_choices(context.view, 10, deadline_ms=NOW_MS + 1_500, **medium)
    assert (set(far), set(near)) == ({"s-1"}, {"f-1"})


@given("plain services in two zones")
def two_zones(context):
    desk = {"services": ["draft"], "models": []}
    context.view = make_view(["a-1", "b-1"], **desk)


@then("a call goes to its own zone until the wait there is longer")
def own_zone(context):
    request = RouteRequest("draft", zone="b")
    for i in range(30):
        chosen = choose(context.view, request, NOW_MS, Random(i)).ok.backend_id
        own_load = len(context.view.backends["b-1"].in_flight)
        assert chosen == "b-1" or own_load >= 8
        context.view.on_started(chosen, RequestId(str(i)), NOW_MS)
    assert len(context.view.backends["a-1"].in_flight) > 10


@given("5 engines with increasing load")
def increasing_load(context):
    view = context.view = make_backend_view()
    for i in range(5):
        load = pb.LoadReport(running=i, read_at_ms=5)
        view.on_announcement(announcement(f"a-{i}", load=load), NOW_MS)


@then("round robin chooses each engine equally often and least load the first one")
def baseline_policies(context):
    turns = count_choices(context.view, 50, policy=settings_pb2.ROUND_ROBIN)
    assert sorted(turns.values()) == [10] * 5
    assert set(count_choices(context.view, 20, policy=settings_pb2.LEAST_LOAD)) == {
        "a-0"
    }


@given("3 engines of which one is leaving, one silent and one excluded")
def none_eligible(context):
    view = context.view = make_backend_view()
    view.on_announcement(announcement("a-1", leaving=True), NOW_MS)
    view.on_announcement(announcement("a-2"), NOW_MS - 60_000)
    view.on_announcement(announcement("a-3"), NOW_MS)


@then("the selection fails and the error states the number of engines by cause")
def states_counts(context):
    error = route(context.view, excluded=frozenset(["a-3"])).error
    assert (error.offering, error.leaving) == (3, 1)
    assert "1 leaving, 1 silent, 1 excluded" in str(error)
