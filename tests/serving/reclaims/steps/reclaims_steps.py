"""Steps of reclaims.feature."""

from __future__ import annotations

from collections import Counter
from random import Random

from behave import given, then

from support.backends import announcement
from tanagerturn.coordination.store import Status, Store
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.view import make_backend_view
from tanagerturn.serving.reclaims.messages import (
    Importer,
    LinkLimits,
    ReclaimAction,
    RunningRequest,
)
from tanagerturn.serving.reclaims.migrations import (
    ExportKv,
    HandOver,
    ImportKv,
    Migration,
    MigrationStage,
    ResumeAt,
    make_reclaim_migrations,
)
from tanagerturn.serving.reclaims.notices import RECLAIM_PREFIX, NoticeRecords
from tanagerturn.serving.reclaims.plan import find_importers, plan_actions

LINK = LinkLimits(tokens_per_s=10_000.0, overhead_ms=50, margin_ms=500)
LEASE = "control"


def make_draft(name, done=500, remaining=2_000, source="a-1", **fields):
    fields = {"prompt_tokens": 1_000, "token_ms": 20.0, **fields}
    return RunningRequest(
        name, source, done_tokens=done, left_tokens=remaining, **fields
    )  # fmt: skip


def plan_by_request(context, *requests, at_ms=30_000, **fields):
    plans = plan_actions(requests, context.importers, at_ms, LINK, 0, **fields)
    return {plan.request.request_id: plan for plan in plans}


@given('importers "{names}" with a free capacity of {tokens:d} tokens each')
def given_importers(context, names, tokens):
    context.importers = [
        Importer(name, name[0], tokens, 16.0) for name in names.split(",")
    ]


@then("a request that ends before the reclaim finishes at its engine")
def finishes_at_engine(context):
    plans = plan_by_request(
        context,
        make_draft("short", remaining=1_000),
        make_draft("long", remaining=1_300),
    )
    assert plans["short"].action is ReclaimAction.FINISH
    assert plans["long"].action is ReclaimAction.MIGRATE


@then("a request without tokens or with a small KV cache is handed over at once")
def handed_over_at_once(context):
    plans = plan_by_request(
        context,
        make_draft("none", done=0),
        make_draft("small", done=5, prompt_tokens=10),
    )
    assert {plan.action for plan in plans.values()} == {ReclaimAction.HAND_OVER}


@then("requests with the largest losses are migrated first, the others handed over")
def largest_loss_first(context):
    drafts = [make_draft(f"d{i:02}", prompt_tokens=1_000 + 100 * i) for i in range(30)]
    plans = plan_by_request(context, *drafts, at_ms=3_000)
    migrated = [p for p in plans.values() if p.action is ReclaimAction.MIGRATE]
    remaining = [p for p in plans.values() if p.action is ReclaimAction.HAND_OVER]
    assert migrated and remaining
    assert min(p.loss for p in migrated) > max(p.loss for p in remaining)
    urgent = make_draft("urgent", priority=serving_pb2.URGENT, prompt_tokens=2_000)
    assert (
        plan_by_request(context, *drafts, urgent, at_ms=3_000)["urgent"].action
        is ReclaimAction.MIGRATE
    )


@then("a request that would miss its deadline is migrated before a larger one")
def late_request_first(context):
    late = make_draft("late", deadline_ms=40_000)
    large = make_draft("large", prompt_tokens=6_000)
    plans = plan_by_request(context, large, late, at_ms=1_000)
    assert plans["late"].action is ReclaimAction.MIGRATE
    assert plans["large"].action is ReclaimAction.HAND_OVER


@then("no migration ends later than the margin before the reclaim")
def ends_before_margin(context):
    assert plan_by_request(context, make_draft("d"), at_ms=LINK.margin_ms + 199)[
        "d"
    ].action is (ReclaimAction.HAND_OVER)
    assert plan_by_request(context, make_draft("d"), at_ms=LINK.margin_ms + 200)[
        "d"
    ].action is (ReclaimAction.MIGRATE)
    not_migrated = plan_by_request(context, make_draft("d"), migrations_allowed=False)[
        "d"
    ]
    assert not_migrated.action is ReclaimAction.HAND_OVER


@then("of 200 drafts the migrations fit the links and use most of their capacity")
def migrations_fit_links(context):
    random = Random(3)
    drafts = [
        make_draft(
            f"d{i}",
            source=f"a-{i % 5}",
            done=random.randrange(1, 900),
            prompt_tokens=random.randrange(200, 4_000),
        )
        for i in range(200)
    ]
    plans = plan_by_request(context, *drafts, at_ms=5_000).values()
    migrated = [plan for plan in plans if plan.action is ReclaimAction.MIGRATE]
    assert 20 < len(migrated) < 200
    for side in ("source", "importer"):
        busy = Counter()
        for plan in migrated:
            engine = plan.importer if side == "importer" else plan.request.backend_id
            busy[engine] += plan.end_ms - plan.start_ms
        assert max(busy.values()) <= 5_000 - LINK.margin_ms
    kept = sum(plan.request.kv_tokens for plan in migrated)
    link_tokens = 4.5 * LINK.tokens_per_s * len(context.importers)
    assert kept > 0.8 * link_tokens, (kept, link_tokens)


class Reclaim:
    """One seeded reclaim of zone `a`, with a second notice and injected failures."""

    def __init__(self, seed):
        self.random, self.now_ms = Random(seed), 0
        self.requests = {
            f"d{i}": make_draft(f"d{i}", remaining=self.random.randrange(50, 3_000))
            for i in range(20)
        }
        self.importers = [Importer(n, n[0], 30_000, 16) for n in ("b-1", "b-2", "c-1")]
        self.moves, self.log, self.pending_reports = (
            make_reclaim_migrations(LINK),
            [],
            [],
        )
        self.second_notice_ms, self.invalid_imports = (
            self.random.choice([2_000, 99_000]),
            [],
        )
        self.failed = set()

    def run(self):
        """Run the simulation until the hosts are reclaimed."""
        for self.now_ms in range(0, 10_100, 100):
            if self.now_ms == self.second_notice_ms:
                self.importers = [i for i in self.importers if i.zone != "b"]
            due = [each for each in self.pending_reports if each[0] <= self.now_ms]
            self.pending_reports = [
                each for each in self.pending_reports if each[0] > self.now_ms
            ]
            for _, action in due:
                action()
            running = list(self.requests.values())
            steps = self.moves.step(running, self.importers, 10_000, self.now_ms)
            for step in steps:
                self.perform(step)

    def perform(self, step):
        """Perform a step, or let it get lost or fail, at random."""
        name = step.request_id
        if isinstance(step, ResumeAt | HandOver):
            self.log.append((name, self.requests.pop(name).backend_id))
            return
        if isinstance(step, ImportKv):
            usable = {importer.backend_id for importer in self.importers}
            if step.importer not in usable or (name, step.importer) in self.failed:
                self.invalid_imports.append(step)
        draw = self.random.random()
        if draw < 0.05:
            return
        if draw < 0.2:
            self.pending_reports.append((self.now_ms + 200, lambda: self.fail(step)))
        elif isinstance(step, ExportKv):
            self.pending_reports.append((
                self.now_ms + 100,
                lambda: self.moves.on_exported(name, f"h-{name}", 1_500, self.now_ms),
            ))  # fmt: skip
        else:
            self.pending_reports.append((
                self.now_ms + 200,
                lambda: self.moves.on_imported(name, f"i-{name}", self.now_ms),
            ))  # fmt: skip

    def fail(self, step):
        """Report the failed export or import of a step."""
        if isinstance(step, ImportKv):
            self.failed.add((step.request_id, step.importer))
        self.moves.on_failed(step.request_id)


@then(
    "in {count:d} seeded reclaims with failing importers, "
    "a second notice and lost steps"
)
def many_reclaims(context, count):
    context.runs = [Reclaim(seed) for seed in range(count)]
    for run in context.runs:
        run.run()


@then("each request finishes, or is resumed or handed over once per engine")
def settled_once(context):
    for run in context.runs:
        assert max(Counter(run.log).values()) == 1
        for request in run.requests.values():
            assert request.left_tokens * request.token_ms * 1.3 <= 9_500, request
        assert not run.moves.migrations


@then("no import goes to an engine under notice or to one where it failed before")
def no_invalid_import(context):
    assert not [run.invalid_imports for run in context.runs if run.invalid_imports]


@given("a migration that was exported by a process that then crashed")
def dead_process(context):
    context.move = Migration("d", "a-1", "b-1", MigrationStage.IMPORTING, 0, 1_500, "h")


@then("the next process imports the same handle and resumes the request there")
def continues_migration(context):
    moves = make_reclaim_migrations(LINK)
    moves.adopt([context.move])
    importers = [Importer("b-1", "b", 10_000, 4)]
    assert moves.step([make_draft("d")], importers, 30_000, 0) == [
        ImportKv("d", "a-1", "h", "b-1")
    ]
    moves.on_imported("d", "h2", 10)
    steps = moves.step([make_draft("d")], importers, 30_000, 10)
    assert steps == [ResumeAt("d", "b-1", "h2")]
    assert not moves.step([make_draft("d")], importers, 30_000, 20)


@then("only engines of the same version outside zones under notice can import")
def eligible_importers(context):
    view = make_backend_view()
    other = serving_pb2.LoadedModel(model="m", version="2", ready=True)
    view.on_announcement(announcement("a-1"), 0)
    view.on_announcement(announcement("b-1"), 0)
    view.on_announcement(announcement("b-2", models=[other]), 0)
    view.on_announcement(announcement("c-1", leaving=True), 0)
    view.on_announcement(announcement("c-2", role=serving_pb2.PREFILL), 0)
    view.on_notice("a", 5_000)
    found = find_importers(view, "draft", "m", "1", "", 0)
    assert [importer.backend_id for importer in found] == ["b-1"]
    full = serving_pb2.LoadReport(running=4, kv_used=1.0, read_at_ms=9)
    view.on_announcement(announcement("b-1", sequence=2, load=full), 0)
    assert find_importers(view, "draft", "m", "1", "", 0)[0].free_tokens == 0
    mean_5000 = find_importers(view, "draft", "m", "1", "", 0, 5_000.0)
    assert mean_5000[0].free_tokens == 80_000


@given('a control holder that recorded a notice for "{zone}"')
def notice_is_recorded(context, zone):
    context.store, context.book = Store(), NoticeRecords()
    acquire = pb.LeaseAcquire(name=LEASE, holder="one", duration_ms=1_000)
    context.store.apply(pb.Command(lease_acquire=acquire))
    reclaim = context.book.on_notice(zone, 30_000, 1, 1_000)
    result = apply_transaction(context, context.book.transaction(reclaim, LEASE))
    assert result.status == Status.APPLIED
    context.book.on_recorded(reclaim, result.revision)


def apply_transaction(context, transaction):
    return context.store.apply(pb.Command(transaction=transaction))


@then("only a notice with an earlier time or of a later reclaim writes a record")
def recorded_once(context):
    for at_ms in (30_000, 31_000):
        assert context.book.on_notice("a", at_ms, 1, 2_000) is None
    assert context.book.on_notice("a", 20_000, 1, 2_000) is not None
    assert context.book.on_notice("a", 90_000, 1, 60_000) is not None


@then("a holder that lost the lease can't write a notice")
def write_is_fenced(context):
    release = pb.LeaseRelease(name=LEASE, fencing_number=1)
    context.store.apply(pb.Command(lease_release=release))
    acquire = pb.LeaseAcquire(name=LEASE, holder="two", duration_ms=1_000)
    context.store.apply(pb.Command(lease_acquire=acquire))
    late = context.book.on_notice("b", 30_000, 1, 2_000)
    result = apply_transaction(context, context.book.transaction(late, LEASE))
    assert result.status == Status.FENCED


@then("the next holder finds the notice, cancels it and deletes it after retention")
def next_holder_continues(context):
    book = NoticeRecords()
    book.adopt(context.store.scan(RECLAIM_PREFIX))
    assert book.on_notice("a", 30_000, 2, 2_000) is None
    off = book.cancel("a", 2)
    result = apply_transaction(context, book.transaction(off, LEASE))
    assert result.status == Status.APPLIED
    book.on_recorded(off, result.revision)
    assert book.cancel("a", 2) is None
    assert not book.deletable_targets(60_000)
    assert book.deletable_targets(700_000) == ["a"]
    assert (
        apply_transaction(context, book.removal_transaction("a", LEASE, 2)).status
        == Status.APPLIED
    )
    book.on_deleted("a")
    assert not book.reclaims
