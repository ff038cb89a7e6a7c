"""Steps of migrations.feature."""

from __future__ import annotations

from behave import given, then, when

from support.entry_world import EntryWorld, draft_body, stream_text, wait_for
from tanagerturn.actors import ask
from tanagerturn.entry.directory import Dump
from tanagerturn.standins.tokens import expected_text

LONG = "The choir sang the old service record of the parish. " * 150
TOKENS = 300
NOTICE_MS = 4000.0


@given('an entry host and {count:d} engines with the reclaim policy "{policy}"')
def entry_and_engines(context, count, policy):
    context.totals = getattr(context, "totals", {})
    if getattr(context, "world", None) is not None:
        context.world.close()
        context.closers.clear()
    context.world = EntryWorld(
        1, change=lambda text: text.replace("reclaim: move_kv", f"reclaim: {policy}")
    )
    context.closers.append(context.world.close)
    context.policy = policy
    context.world.add_engines(count, step_ms=10.0)


def start_drafts(context, count: int):
    world = context.world
    prompts = [f"{number}: {LONG}" for number in range(count)]
    context.prompts = prompts
    futures = [world.callers.submit(world.draft, p, TOKENS) for p in prompts]
    wait_for(lambda: sum(e.counts.requests for e in world.engines) >= count)
    wait_for(lambda: all(run.tokens > 20 for run in running(world)))
    return futures


def running(world):
    return world.entries[0].components.generations.list()


def busiest_engine(world):
    backend_ids = [run.backend_id for run in running(world)]
    return max(world.engines, key=lambda engine: backend_ids.count(engine.config.id))


@when("{count:d} long drafts run and the busiest engine is reclaimed after a notice")
def reclaim_busiest(context, count):
    futures = start_drafts(context, count)
    context.reclaimed = busiest_engine(context.world)
    context.reclaimed.reclaim(NOTICE_MS)
    context.got = [future.result(60) for future in futures]
    context.totals[context.policy] = sum(
        engine.model.tokens_recomputed for engine in context.world.engines
    )


@when("{count:d} long drafts run and an engine is reclaimed and an importer is killed")
def kill_importer(context, count):
    futures = start_drafts(context, count)
    world = context.world
    context.reclaimed = busiest_engine(world)
    context.reclaimed.reclaim(NOTICE_MS)
    others = [engine for engine in world.engines if engine is not context.reclaimed]
    wait_for(lambda: any(engine.counts.imports for engine in others))
    max(others, key=lambda engine: engine.counts.imports).kill()
    context.got = [future.result(60) for future in futures]


@then("each long draft is complete and has each token once")
def all_complete(context):
    for prompt, got in zip(context.prompts, context.got, strict=True):
        assert got.status == 200, got
        assert stream_text(got.body) == expected_text(prompt, TOKENS)


@then("the streams of that engine resumed with their KV caches")
def migrated_with_kv(context):
    assert context.reclaimed.counts.exports > 0
    assert sum(engine.counts.imports for engine in context.world.engines) > 0


@then("no engine got new requests long after it announced that it is leaving")
def no_late_requests(context):
    assert all(engine.counts.late_work == 0 for engine in context.world.engines)


@then("no KV cache was imported")
def none_migrated(context):
    assert sum(engine.counts.imports for engine in context.world.engines) == 0


@then("migration recomputed at most a tenth of the tokens of handing over")
def recomputed_fraction(context):
    moved, handed_over = context.totals["move_kv"], context.totals["hand_over"]
    print(f"tokens recomputed: {moved} with migration, {handed_over} without")
    assert handed_over > 0
    assert moved <= handed_over / 10, (moved, handed_over)


@when("{count:d} drafts with the same long prefix are sent one after the other")
def send_same_prefix(context, count):
    world = context.world
    context.cached = []
    for number in range(count):
        got = world.send(
            "POST",
            "/v1/completions",
            "choir-union",
            draft_body(f"{LONG} Note {number}.", 8),
        )
        assert got.status == 200, got
        context.cached.append(cached_tokens(got.body))
        wait_for(lambda: all_blocks_reported(world))


def all_blocks_reported(world) -> bool:
    """Return whether all cached blocks were reported to the entry host."""
    sequences = ask(world.entries[0].directory, Dump())["cache_sequences"]
    return all(
        sequences.get(engine.config.id, 0) >= engine.model.cache.sequence
        for engine in world.engines
    )


def cached_tokens(body: bytes) -> int:
    marker = b'"cached_tokens":'
    start = body.rindex(marker) + len(marker)
    return int(body[start:].split(b",")[0].split(b"}")[0])


@then("at least {min_count:d} drafts found their prefix in the cache")
def found_cached(context, min_count):
    found = [cached for cached in context.cached if cached > 1000]
    assert len(found) >= min_count, context.cached
