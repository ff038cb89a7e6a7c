"""Steps of engine.feature."""

from __future__ import annotations

from random import Random

import orjson
import urllib3
from behave import given, then, when

from support.standins import Listener, read_stream
from tanagerturn.schema.serving_pb2 import Order, OrderAction, Priority
from tanagerturn.serving.cache.blocks import BLOCK_TOKENS
from tanagerturn.standins.engine.config import EngineConfig
from tanagerturn.standins.engine.messages import FinishReason, Generation
from tanagerturn.standins.engine.model import EngineModel
from tanagerturn.standins.engine.server import start_engine
from tanagerturn.standins.faults import Fault, FaultPlan
from tanagerturn.standins.tokens import expected_text

PROMPT = "psalm " * 266 + "amen"


def run_to_end(model: EngineModel, now_ms: float = 0.0):
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


@when("40 requests with mixed priorities run to the end")
def run_forty(context):
    random = Random(7)
    context.asked = {}
    for number in range(40):
        request_id = f"r{number}"
        count = random.randint(1, 50)
        context.asked[request_id] = count
        priority = random.choice([Priority.URGENT, Priority.NORMAL, Priority.LOW])
        generation = Generation(request_id, f"{number} " * 99, count, 1, priority)
        assert context.model.submit(generation, 0.0)
    context.chunks, _ = run_to_end(context.model)


@then("each got its tokens in order, each once")
def tokens_once(context):
    for request_id, count in context.asked.items():
        mine = [c for c in context.chunks if c.request_id == request_id and c.tokens]
        assert [chunk.offset for chunk in mine] == list(range(count)), request_id


@then("all ended with their usage")
def all_ended(context):
    ends = [chunk for chunk in context.chunks if chunk.finish is not None]
    assert {end.request_id for end in ends} == set(context.asked)
    for end in ends:
        assert end.finish == FinishReason.LENGTH
        assert end.usage.completion_tokens == context.asked[end.request_id]


@when("a request of 400 prompt tokens is cancelled after 10 of 20 tokens")
def cancel_after_ten(context):
    assert context.model.submit(Generation("r", PROMPT, 20), 0.0)
    delivered = 0
    while delivered < 10:
        delivered += len(context.model.advance(context.model.step_ends_at_ms))
    context.exported = context.model.export_kv("r")
    assert context.model.cancel("r").finish == FinishReason.CANCELLED
    assert context.model.step_ends_at_ms is not None
    assert run_to_end(context.model)[0] == []


@when("it is resumed on another engine {how} its KV cache")
def resume_elsewhere(context, how):
    other = EngineModel(EngineConfig(id="second"))
    handle = other.import_kv(context.exported).handle if how == "with" else ""
    generation = Generation(
        "r", PROMPT, 20, attempt=2, resume_from=10, kv_handle=handle
    )
    assert other.submit(generation, 0.0)
    context.chunks, _ = run_to_end(other)


@then("the second engine generates tokens 10 to 19")
def generates_rest(context):
    offsets = [chunk.offset for chunk in context.chunks if chunk.tokens]
    assert offsets == list(range(10, 20))


@then("it recomputes {count:d} tokens")
def recomputes(context, count):
    assert context.chunks[-1].usage.recomputed_tokens == count


@then("it recomputes at most {count:d} tokens")
def recomputes_at_most(context, count):
    assert context.chunks[-1].usage.recomputed_tokens <= count


@when("two requests share a prefix of 512 tokens")
def shared_prefix(context):
    shared = "shared prefix " * 146 + "1234"
    context.ends = []
    for number in range(2):
        prompt = shared + f" and bundle {number}"
        assert context.model.submit(Generation(f"r{number}", prompt, 2), 0.0)
        chunks, _ = run_to_end(context.model)
        context.ends.append(chunks[-1])


@then("the second has 512 cached tokens")
def second_cached(context):
    assert [end.usage.cached_tokens for end in context.ends] == [0, 512]


@then("cached blocks never exceed the memory when 50 other prompts follow")
def memory_limited(context):
    model = EngineModel(EngineConfig(kv_tokens=BLOCK_TOKENS * 20))
    for number in range(50):
        prompt = f"{number} " * 400
        model.submit(Generation(f"m{number}", prompt, 3), 0.0)
        run_to_end(model)
        assert len(model.cache.blocks) <= 20
    assert len(model.cache.blocks) > 0


@when("an urgent request comes while a low one runs")
def urgent_takes_slot(context):
    model = context.model
    model.submit(Generation("low", "low", 30, priority=Priority.LOW), 0.0)
    chunks = model.advance(100.0)
    model.submit(Generation("urgent", "urgent", 5, priority=Priority.URGENT), 100.0)
    context.chunks = chunks + run_to_end(model, 100.0)[0]


@then("the urgent one ends first")
def urgent_first(context):
    ends = [chunk.request_id for chunk in context.chunks if chunk.finish]
    assert ends == ["urgent", "low"]


@then("the low one ends with all its tokens")
def low_whole(context):
    mine = [c.offset for c in context.chunks if c.request_id == "low" and c.tokens]
    assert mine == list(range(30))


@when("30 prompts are computed")
def thirty_prompts(context):
    context.seen = {}
    now_ms = 0.0
    for number in range(30):
        context.model.submit(Generation(f"r{number}", f"{number} " * 300, 2), now_ms)
        _, now_ms = run_to_end(context.model, now_ms)
        announced = context.model.announcement("127.0.0.1:1", 0, now_ms)
        for event in announced.cache_events:
            context.seen.setdefault(event.sequence, now_ms)
    context.now_ms = now_ms


@then("no cache event is announced before its delay")
def events_late(context):
    visible = {d.event.sequence: d.visible_at_ms for d in context.model.cache.events}
    assert context.seen
    assert all(context.seen[s] >= visible[s] for s in context.seen)
    assert len(visible) > len(context.seen)


@then("the announced sequences have gaps and only grow")
def events_lossy(context):
    later_ms = context.now_ms + 1000
    events = context.model.announcement("127.0.0.1:1", 0, later_ms).cache_events
    sequences = [event.sequence for event in events]
    assert sequences == sorted(sequences)
    assert 10 <= len(sequences) < context.model.cache.sequence


@then("the load is as old as its lag allows")
def load_lags(context):
    age_ms = context.now_ms - context.model.load.read_at_ms
    assert 0 <= age_ms <= context.model.config.load_lag_ms + 1


def ordered(config: EngineConfig, numbers: list[int]) -> EngineModel:
    model = EngineModel(config)
    for place, number in enumerate(numbers):
        order = Order(
            order_id=f"o{place}",
            fencing_number=number,
            action=OrderAction.LOAD_MODEL,
            model="other",
            version=str(number),
        )
        model.orders.take(order, 0.0)
        model.orders.take(order, 0.0)
    model.advance(10_000.0)
    return model


@then("a stale order is refused by an engine that checks")
def stale_refused(context):
    model = ordered(EngineConfig(), [5, 4])
    assert model.orders.models["other"].version == "5"
    assert len(model.orders.refused) == 2


@then("a stale order is carried out by an engine that does not")
def stale_carried_out(context):
    model = ordered(EngineConfig(checks_fencing=False), [5, 4])
    assert model.orders.models["other"].version == "4"


@then("an order sent twice is carried out once")
def order_once(context):
    model = ordered(EngineConfig(), [5, 6])
    assert [order.order_id for order in model.orders.accepted] == ["o0", "o1"]
    assert [outcome.done for outcome in model.orders.outcomes] == [False, True]
    assert model.orders.models["other"].ready


@given("two engines over HTTP that announce to a listener")
def two_engines(context):
    context.listener = Listener()
    context.closers.append(context.listener.stop)
    context.engines = []
    for name in ("first", "second"):
        config = EngineConfig(
            id=name, announce_to=(context.listener.address,), heartbeat_ms=100
        )
        engine = start_engine(config)
        context.closers.append(engine.stop)
        context.engines.append(engine)


@when("a stream is cut by the death of the first engine")
def cut_stream(context):
    first, second = context.engines
    body = {"prompt": PROMPT, "max_tokens": 40, "stream": True}
    context.first_part = context.handle = ""
    with read_stream(first.address, body, {"X-Request-Id": "r"}) as stream:
        for event in stream.events():
            context.first_part += event["choices"][0]["text"]
            if len(context.first_part) >= 10 * 8 and not context.handle:
                context.handle = move_kv(first, second)
                first.kill()
    assert not stream.ended


def move_kv(first, second) -> str:
    asked = {"request_id": "r"}
    url = f"http://{first.address}/engine/kv/export"
    exported = urllib3.request("POST", url, json=asked).json()
    moved = {"source": first.address, "handle": exported["handle"], "request_id": "r"}
    url = f"http://{second.address}/engine/kv/import"
    return urllib3.request("POST", url, json=moved).json()["handle"]


@when("the rest is fetched from the second engine with its KV cache")
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
    with read_stream(context.engines[1].address, body, headers) as stream:
        for event in stream.events():
            context.rest += event["choices"][0]["text"]
            context.usage = event.get("usage")
    assert stream.ended


@then("both parts together are the expected text")
def parts_together(context):
    assert context.first_part + context.rest == expected_text(PROMPT, 40)
    assert context.usage["recomputed_tokens"] < 40


@then("the listener saw both engines and the leaving of the second")
def listener_saw(context):
    context.engines[1].stop()
    seen = context.listener.announcements
    assert {announcement.id for announcement in seen} == {"first", "second"}
    assert [a.leaving for a in seen if a.id == "second"][-1]


@given('an engine over HTTP with the fault "{fault}"')
def faulty_engine(context, fault):
    plan = FaultPlan(seed=1, rates={Fault(fault): 1.0})
    context.engine = start_engine(EngineConfig(faults=plan, step_ms=2))
    context.closers.append(context.engine.stop)


@then('a stream of 8 tokens shows "{sign}"')
def shows_sign(context, sign):
    body = {"prompt": "x", "max_tokens": 8, "stream": True}
    with read_stream(context.engine.address, body, {"X-Request-Id": "r"}) as stream:
        events = list(stream.events())
    shown_ids = {event["tanager"]["request_id"] for event in events}
    seen = {
        "no answer": stream.status == 0,
        "cut stream": stream.status == 200 and not stream.ended,
        "status 503": stream.status == 503,
        "wrong id": stream.ended and shown_ids == {"r-other"},
    }
    assert seen[sign], (stream.status, events)
    counts = f"http://{context.engine.address}/standin/counts"
    assert sum(orjson.loads(urllib3.request("GET", counts).data)["faults"].values())
