"""Steps of subset.feature."""

from __future__ import annotations

from collections import Counter

from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st

from tanagerturn.serving.backends.subset import (
    Digest,
    pack_digests,
    select_subset,
    unpack_digests,
)


@given(
    "{engines:d} engines in {zones:d} zones and {entries:d} entry hosts "
    "that follow {size:d} each"
)
def deployment(context, engines, zones, entries, size):
    context.engines = {f"engine-{i}": f"z{i % zones}" for i in range(engines)}
    context.entries = {f"entry-{i}": f"z{i % zones}" for i in range(entries)}
    context.size = size
    context.subsets = select_subsets(context, context.engines)


def select_subsets(context, engines):
    return {
        entry: select_subset(entry, zone, engines, context.size)
        for entry, zone in context.entries.items()
    }


@then("each entry host follows 12 of its own zone and engines of every other zone")
def half_in_own_zone(context):
    for entry, chosen in context.subsets.items():
        zones = Counter(context.engines[engine] for engine in chosen)
        assert len(chosen) == 24 and len(zones) == 7
        assert zones[context.entries[entry]] == 12


@then("every engine is followed, none by more than 3 times the mean number of hosts")
def followers_are_balanced(context):
    followers = Counter(e for chosen in context.subsets.values() for e in chosen)
    mean = 24 * 380 / 760
    assert len(followers) == 760
    assert max(followers.values()) <= 3 * mean, max(followers.values())


@then("when 1 engine stops each entry host replaces at most 1 of its engines")
def subsets_are_stable(context):
    engines = {k: z for k, z in context.engines.items() if k != "engine-5"}
    for entry, chosen in select_subsets(context, engines).items():
        assert len(context.subsets[entry] - chosen) <= 1


@then("when a zone is lost each entry host still follows 24 engines")
def subsets_after_zone_loss(context):
    engines = {k: z for k, z in context.engines.items() if z != "z3"}
    for entry, chosen in select_subsets(context, engines).items():
        assert len(chosen) == 24
        remaining = context.subsets[entry] & set(engines)
        if context.entries[entry] != "z3":
            assert remaining <= chosen


@then("each entry host follows all engines")
def all_engines_followed(context):
    assert all(chosen == set(context.engines) for chosen in context.subsets.values())


@then("generated digests are equal after a round trip, except for rounding")
def round_trip(context):
    digest = st.builds(
        Digest, st.integers(0, 2**64 - 1), st.floats(0, 1), st.booleans()
    )

    @for_all(digests=st.lists(digest, max_size=50))
    def check(digests):
        found = unpack_digests(pack_digests(digests))
        assert len(found) == len(digests)
        for before, after in zip(digests, found, strict=True):
            assert (before.id_hash, before.leaving) == (after.id_hash, after.leaving)
            assert abs(before.utilization - after.utilization) <= 1 / 255

    check()


@then("bytes whose length is not a multiple of a digest's size are refused")
def refused_bytes(context):
    try:
        unpack_digests(b"x" * 11)
    except ValueError:
        return
    raise AssertionError("11 bytes were deserialized, expected a ValueError")
