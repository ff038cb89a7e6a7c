"""Steps of engine.feature."""

from __future__ import annotations

from random import Random

import orjson
import urllib3
from behave import given, then, when

from support.standins import RecordingListener, StreamedCompletion
from tanagerturn.schema.serving_pb2 import Order, OrderAction, Priority
from tanagerturn.serving.cache.blocks import BLOCK_TOKENS
from tanagerturn.standins.engine.config import EngineConfig
from tanagerturn.standins.engine.messages import FinishReason, Generation
from tanagerturn.standins.engine.model import EngineModel
from tanagerturn.standins.engine.server import start_engine
from tanagerturn.standins.faults import Fault, FaultPlan
from tanagerturn.standins.tokens import expected_text

PROMPT = "psalm " * 266 + "amen"


def run_until_idle(model: EngineModel, now_ms: float = 0.0):
    chunks = []
    while model.step_ends_at_ms is not None:
        now_ms = model.step_ends_at_ms
        chunks += model.advance(now_ms)
    return chunks, now_ms


@given("an engine model")
def engine_model(context):
    context.model = EngineModel(EngineConfig(id="first"))


@given("an engine model with 1 slot")
def one_slot(context):
    context.model = EngineModel(EngineConfig(slots=1))


@given("an engine model that loses a third of its cache events")
def lossy_engine(context):
    config = EngineConfig(cache_event_loss=1 / 3, cache_event_delay_ms=900)
    context.model = EngineModel(config)


@when("40 requests of mixed priorities run to completion")
def run_forty_requests(context):
    random = Random(7)
    context.requested_tokens = {}
    for number in range(40):
        request_id = f"r{number}"
        count = random.randint(1, 50)
        context.requested_tokens[request_id] = count
        priority = random.choice([Priority.URGENT, Priority.NORMAL, Priority.LOW])
        generation = Generation(request_id, f"{number} " * 99, count, 1, priority)
        assert context.model.submit(generation, 0.0)
    context.chunks, _ = run_until_idle(context.model)


@then("each request got its tokens in order and once")
def tokens_in_order_once(context):
    for request_id, count in context.requested_tokens.items():
        chunks = [c for c in context.chunks if c.request_id == request_id and c.tokens]
        assert [chunk.offset for chunk in chunks] == list(range(count)), request_id


@then("each request ended with its usage")
def all_ended_with_usage(context):
    ends = [chunk for chunk in context.chunks if chunk.finish is not None]
    assert {end.request_id for end in ends} == set(context.requested_tokens)
    for end in ends:
        assert end.finish == FinishReason.LENGTH
        assert end.usage.completion_tokens == context.requested_tokens[end.request_id]


@when("a request of 400 prompt tokens is cancelled after 10 of 20 tokens")
def cancel_after_ten_tokens(context):
    assert context.model.submit(Generation("r", PROMPT, 20), 0.0)
    delivered = 0
    while delivered < 10:
        delivered += len(context.model.advance(context.model.step_ends_at_ms))
    context.exported = context.model.export_kv("r")
    assert context.model.cancel("r").finish == FinishReason.CANCELLED
    assert context.model.step_ends_at_ms is not None
    assert run_until_idle(context.model)[0] == []


@when("the request is resumed on another engine {how} its KV cache")
def resume_on_second_engine(context, how):
    second = EngineModel(EngineConfig(id="second"))
    handle = second.import_kv(context.exported).handle if how == "with" else ""
    generation = Generation(
        "r", PROMPT, 20, attempt=2, resume_from=10, kv_handle=handle
    )
    assert second.submit(generation, 0.0)
    context.chunks, _ = run_until_idle(second)


@then("the second engine generates tokens 10 to 19")
def generates_remaining_tokens(context):
    offsets = [chunk.offset for chunk in context.chunks if chunk.tokens]
    assert offsets == list(range(10, 20))


@then("the second engine recomputes {count:d} tokens")
def recomputes(context, count):
    assert context.chunks[-1].usage.recomputed_tokens == count


@then("the second engine recomputes at most {count:d} tokens")
def recomputes_at_most(context, count):
    assert context.chunks[-1].usage.recomputed_tokens <= count


@when("two requests share a prefix of 512 tokens")
def shared_prefix(context):
    shared = "shared prefix " * 146 + "1234"
    context.ends = []
    for number in range(2):
        prompt = shared + f" and bundle {number}"
        assert context.model.submit(Generation(f"r{number}", prompt, 2), 0.0)
        chunks, _ = run_until_idle(context.model)
        context.ends.append(chunks[-1])


@then("the second request has 512 cached tokens")
def second_request_cached(context):
    assert [end.usage.cached_tokens for end in context.ends] == [0, 512]


@then("the cached blocks of 50 other prompts never exceed the KV cache capacity")
def prefix_cache_bounded(context):
    model = EngineModel(EngineConfig(kv_tokens=BLOCK_TOKENS * 20))
    for number in range(50):
        prompt = f"{number} " * 400
        model.submit(Generation(f"m{number}", prompt, 3), 0.0)
        run_until_idle(model)
        assert len(model.cache.blocks) <= 20
    assert len(model.cache.blocks) > 0


@when("an urgent request arrives while a low request runs")
def urgent_preempts_low(context):
    model = context.model
    model.submit(Generation("low", "low", 30, priority=Priority.LOW), 0.0)
    chunks = model.advance(100.0)
    model.submit(Generation("urgent", "urgent", 5, priority=Priority.URGENT), 100.0)
    context.chunks = chunks + run_until_idle(model, 100.0)[0]


@then("the urgent request ends first")
def urgent_first(context):
    ends = [chunk.request_id for chunk in context.chunks if chunk.finish]
    assert ends == ["urgent", "low"]


@then("the low request ends with all its tokens")
def low_complete(context):
    offsets = [c.offset for c in context.chunks if c.request_id == "low" and c.tokens]
    assert offsets == list(range(30))


@when("30 prompts are computed")
def compute_thirty_prompts(context):
    context.announced_at_ms = {}
    now_ms = 0.0
    for number in range(30):
        context.model.submit(Generation(f"r{number}", f"{number} " * 300, 2), now_ms)
        _, now_ms = run_until_idle(context.model, now_ms)
        announced = context.model.announcement("127.0.0.1:1", 0, now_ms)
        for event in announced.cache_events:
            context.announced_at_ms.setdefault(event.sequence, now_ms)
    context.now_ms = now_ms


@then("no cache event is announced before its delay")
def events_delayed(context):
    visible = {d.event.sequence: d.visible_at_ms for d in context.model.cache.events}
    assert context.announced_at_ms
    assert all(
        context.announced_at_ms[s] >= visible[s] for s in context.announced_at_ms
    )
    assert len(visible) > len(context.announced_at_ms)


@then("the announced sequences have gaps and increase")
def events_lost(context):
    later_ms = context.now_ms + 1000
    events = context.model.announcement("127.0.0.1:1", 0, later_ms).cache_events
    sequences = [event.sequence for event in events]
    assert sequences == sorted(sequences)
    assert 10 <= len(sequences) < context.model.cache.sequence


@then("the load report is no older than its lag")
def load_report_lags(context):
    age_ms = context.now_ms - context.model.load.read_at_ms
    assert 0 <= age_ms <= context.model.config.load_lag_ms + 1


def model_after_orders(config: EngineConfig, numbers: list[int]) -> EngineModel:
    """Return a model that got each order twice, one order per fencing number."""
    model = EngineModel(config)
    for index, number in enumerate(numbers):
        order = Order(
            order_id=f"o{index}",
            fencing_number=number,
            action=OrderAction.LOAD_MODEL,
            model="other",
            version=str(number),
        )
        model.orders.execute(order, 0.0)
        model.orders.execute(order, 0.0)
    model.advance(10_000.0)
    return model


@then("an engine that checks fencing numbers refuses a stale order")
def stale_refused(context):
    model = model_after_orders(EngineConfig(), [5, 4])
    assert model.orders.models["other"].version == "5"
    assert len(model.orders.refused) == 2


@then("an engine that ignores fencing numbers executes a stale order")
def stale_executed(context):
    model = model_after_orders(EngineConfig(checks_fencing=False), [5, 4])
    assert model.orders.models["other"].version == "4"


@then("an order sent twice is executed once")
def order_executed_once(context):
    model = model_after_orders(EngineConfig(), [5, 6])
    assert [order.order_id for order in model.orders.accepted] == ["o0", "o1"]
    assert [outcome.done for outcome in model.orders.outcomes] == [False, True]
    assert model.orders.models["other"].ready


@given("two engines over HTTP that announce to a listener")
def two_engines(context):
    context.listener = RecordingListener()
    context.closers.append(context.listener.stop)
    context.engines = []
    for name in ("first", "second"):
        config = EngineConfig(
            id=name, announce_to=(context.listener.address,), heartbeat_ms=100
        )
        engine = start_engine(config)
        context.closers.append(engine.stop)
        context.engines.append(engine)


@when("the first engine is killed in the middle of a stream")
def kill_during_stream(context):
    first, second = context.engines
    body = {"prompt": PROMPT, "max_tokens": 40, "stream": True}
    context.first_part = context.handle = ""
    with StreamedCompletion(first.address, body, {"X-Request-Id": "r"}) as stream:
        for event in stream.events():
            context.first_part += event["choices"][0]["text"]
            if len(context.first_part) >= 10 * 8 and not context.handle:
                context.handle = copy_kv(first, second)
                first.kill()
    assert not stream.completed


def copy_kv(first, second) -> str:
    """Copy the KV cache of request r; return its handle at the second engine."""
    export_body = {"request_id": "r"}
    url = f"http://{first.address}/engine/kv/export"
    exported = urllib3.request("POST", url, json=export_body).json()
    import_body = {
        "source": first.address,
        "handle": exported["handle"],
        "request_id": "r",
    }
    url = f"http://{second.address}/engine/kv/import"
    return urllib3.request("POST", url, json=import_body).json()["handle"]


@when("the remaining tokens are fetched from the second engine with its KV cache")
def fetch_rest(context):
    delivered = len(context.first_part) // 8
    body = {
        "prompt": PROMPT,
        "max_tokens": 40,
        "stream": True,
        "continuation": context.first_part,
    }
    headers = {
        "X-Request-Id": "r",
        "X-Attempt": "2",
        "X-Resume-From": str(delivered),
        "X-Kv-Handle": context.handle,
    }
    context.rest = ""
    with StreamedCompletion(context.engines[1].address, body, headers) as stream:
        for event in stream.events():
            context.rest += event["choices"][0]["text"]
            context.usage = event.get("usage")
    assert stream.completed


@then("both parts together are the expected text")
def parts_are_expected_text(context):
    assert context.first_part + context.rest == expected_text(PROMPT, 40)
    assert context.usage["recomputed_tokens"] < 40


@then("both engines were announced, the second engine last as leaving")
def both_announced(context):
    context.engines[1].stop()
    received = context.listener.announcements
    assert {announcement.id for announcement in received} == {"first", "second"}
    assert [a.leaving for a in received if a.id == "second"][-1]


@given('an engine over HTTP that injects the fault "{fault}"')
def faulty_engine(context, fault):
    plan = FaultPlan(seed=1, rates={Fault(fault): 1.0})
    context.engine = start_engine(EngineConfig(faults=plan, step_ms=2))
    context.closers.append(context.engine.stop)


@then('a stream of 8 tokens ends with "{result}"')
def stream_ends_with(context, result):
    body = {"prompt": "x", "max_tokens": 8, "stream": True}
    with StreamedCompletion(
        context.engine.address, body, {"X-Request-Id": "r"}
    ) as stream:
        events = list(stream.events())
    request_ids = {event["tanager"]["request_id"] for event in events}
    results = {
        "no response": stream.status == 0,
        "broken stream": stream.status == 200 and not stream.completed,
        "status 503": stream.status == 503,
        "wrong request id": stream.completed and request_ids == {"r-other"},
    }
    assert results[result], (stream.status, events)
    counts = f"http://{context.engine.address}/standin/counts"
    assert sum(orjson.loads(urllib3.request("GET", counts).data)["faults"].values())
