"""Steps of cache.feature."""

from __future__ import annotations

from random import Random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from tanagerturn.schema.serving_pb2 import CacheEvent
from tanagerturn.serving.cache.blocks import (
    BLOCK_CHARACTERS,
    cache_seed,
    hash_text_blocks,
)
from tanagerturn.serving.cache.view import UNTRUSTED_AGE_MS, make_cache_view
from tanagerturn.standins.engine.cache import PrefixCache
from tanagerturn.standins.engine.config import EngineConfig

OLD_BLOCK, NEW_BLOCK = "0" * 15 + "1", "0" * 15 + "2"


def make_event(sequence, action, *blocks):
    return CacheEvent(sequence=sequence, action=action, blocks=blocks)


@then(
    "in {count:d} generated runs late, duplicate and resent events lead to its blocks"
)
def any_order(context, count):
    change = st.tuples(
        st.sampled_from([CacheEvent.STORED, CacheEvent.EVICTED, CacheEvent.CLEARED]),
        st.lists(st.integers(0, 5), min_size=1, max_size=3),
    )

    @settings(max_examples=count)
    @for_all(changes=st.lists(change, max_size=25), data=st.data())
    def check(changes, data):
        view, held, events = make_cache_view(), set(), []
        for sequence, (action, numbers) in enumerate(changes, 1):
            blocks = [f"{number:016x}" for number in numbers]
            if action == CacheEvent.CLEARED:
                held, blocks = set(), []
            elif action == CacheEvent.STORED:
                held |= set(blocks)
            else:
                held -= set(blocks)
            events.append(make_event(sequence, action, *blocks))
        for each in data.draw(st.permutations(events)):
            if not data.draw(st.booleans()):
                view.on_events("a-1", [each], 0)
        known = view.sequence("a-1")
        view.on_events("a-1", events[known:], 0)
        assert view.sequence("a-1") == len(events)
        cache = view.engines.get("a-1")
        assert set(cache.blocks if cache else ()) == held

    check()


@given("an engine whose cache events are delayed by 30 s and one in ten is lost")
def lossy_engine(context):
    config = EngineConfig(
        id="a-1", cache_event_delay_ms=30_000, cache_event_loss=0.1, seed=4
    )
    context.cache, context.view = PrefixCache(config), make_cache_view()


@when("the engine stores prompts for 10 min in a cache that is too small for all")
def engine_stores_prompts(context):
    random, view = Random(4), context.view
    context.held_count = context.expected_count = 0
    for second in range(600):
        now_ms = second * 1_000
        document = random.randrange(20)
        prompt = f"work {document} " * 200
        blocks = hash_text_blocks(prompt, "m")
        context.cache.store(blocks, 100, now_ms)
        events = context.cache.events_after(view.sequence("a-1"), now_ms)
        view.on_events("a-1", events, now_ms, 100)
        wanted = hash_text_blocks(f"work {random.randrange(20)} " * 200, "m")
        context.expected_count += view.count_matched_blocks("a-1", wanted, now_ms)
        matched = view.count_matched_blocks("a-1", wanted, now_ms)
        context.held_count += sum(
            block in context.cache.blocks for block in wanted[:matched]
        )
    context.now_ms = now_ms


@then("the engine holds at least 80 in 100 blocks that the view expects")
def expected_blocks_are_held(context):
    assert context.expected_count > 300, context.expected_count
    share = context.held_count / context.expected_count
    assert share >= 0.8, share


@then("the last event received without a gap is at most 60 s old")
def sequence_is_recent(context):
    visible = context.cache.events_after(0, context.now_ms - 30_000)
    assert context.view.sequence("a-1") >= visible[-1].sequence


@given("a block stored long ago and one stored now")
def old_and_new_block(context):
    context.view = make_cache_view()
    context.view.on_events("a-1", [make_event(1, CacheEvent.STORED, OLD_BLOCK)], 0)
    context.now_ms = 2 * UNTRUSTED_AGE_MS
    context.view.on_events(
        "a-1", [make_event(2, CacheEvent.STORED, NEW_BLOCK)], context.now_ms
    )
    assert expected_blocks(context) == [OLD_BLOCK, NEW_BLOCK]


def expected_blocks(context, now_ms=None):
    now_ms = now_ms or context.now_ms
    return [
        b
        for b in (OLD_BLOCK, NEW_BLOCK)
        if context.view.count_matched_blocks("a-1", [b], now_ms)
    ]


@when("an event is lost and not resent for 4 s")
def event_is_lost(context):
    later = make_event(4, CacheEvent.STORED, "0" * 15 + "3")
    for second in range(5):
        now_ms = context.now_ms + second * 1_000
        assert context.view.on_events("a-1", [later], now_ms) in (2, 4)


@then("only the block stored now is still expected")
def only_new_expected(context):
    assert expected_blocks(context) == [NEW_BLOCK]


@then("later events are applied without a gap")
def applied_without_gap(context):
    assert context.view.sequence("a-1") == 4
    evicted = make_event(5, CacheEvent.EVICTED, NEW_BLOCK)
    assert context.view.on_events("a-1", [evicted], context.now_ms) == 5
    assert expected_blocks(context) == []


@then("evicting one, clearing all and forgetting the engine remove the blocks")
def blocks_removed(context):
    view, now_ms = context.view, context.now_ms
    view.on_events("a-1", [make_event(3, CacheEvent.EVICTED, OLD_BLOCK)], now_ms)
    assert expected_blocks(context) == [NEW_BLOCK]
    view.on_events("a-1", [make_event(4, CacheEvent.CLEARED)], now_ms)
    assert expected_blocks(context) == [] and not view.holders
    view.on_used("a-1", [OLD_BLOCK, NEW_BLOCK], now_ms)
    assert expected_blocks(context) == [OLD_BLOCK, NEW_BLOCK]
    view.forget("a-1")
    assert expected_blocks(context) == [] and not view.holders and not view.engines


@then("of 50000 blocks at each of 5 engines 1000 per engine are indexed")
def index_is_bounded(context):
    view = make_cache_view(max_blocks_per_engine=1_000)
    for engine in range(5):
        for start in range(0, 50_000, 1_000):
            blocks = [f"{engine * 10**6 + start + i:016x}" for i in range(1_000)]
            view.on_used(f"a-{engine}", blocks, 0)
    assert [len(cache.blocks) for cache in view.engines.values()] == [1_000] * 5
    assert len(view.holders) == 5_000


@then("equal prefixes share their leading blocks and nothing after a difference")
def prefixes_share_blocks(context):
    @for_all(shared=st.integers(0, 6), tail=st.text(max_size=600))
    def check(shared, tail):
        common = "x" * (shared * BLOCK_CHARACTERS)
        first = hash_text_blocks(common + "a" + tail, "s")
        second = hash_text_blocks(common + "b" + tail, "s")
        assert first[:shared] == second[:shared]
        assert not set(first[shared:]) & set(second[shared:])

    check()


@then("prompts for another version or adapter share no block")
def separate_caches(context):
    text = "x" * 10 * BLOCK_CHARACTERS
    seeds = [cache_seed("m", "1"), cache_seed("m", "2"), cache_seed("m", "1", "a")]
    blocks = [block for seed in seeds for block in hash_text_blocks(text, seed)]
    assert len(set(blocks)) == 30


@then("a response that shows both blocks to be missing removes them")
def response_shows_missing(context):
    context.view.on_missed("a-1", [OLD_BLOCK, NEW_BLOCK])
    assert expected_blocks(context) == []
