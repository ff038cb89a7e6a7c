"""Steps of repeats.feature."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from behave import given, then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from support.environment import long_run
from support.quarantine_network import Traffic
from support.repeat_network import RepeatNetwork
from tanagerturn.gateway.repeats import (
    apply_suspect_requests,
    encode_suspect_requests,
)
from tanagerturn.serving.quarantine.quarantine import PartQuarantine
from tanagerturn.serving.quarantine.repeats import RepeatQuarantine

if TYPE_CHECKING:
    import random

FINGERPRINTS = {"a": 1, "b": 2}

CALM = Traffic(engines=5, bad_per_s=4.0, sound_per_s=30.0)
MANY = Traffic(gateways=93, engines=40, sound_per_s=120.0, bad_per_s=5.0)

CIRCUMSTANCES = {
    "in calm": {},
    "with two engines": {"engines": 2},
    "with one engine": {"engines": 1},
    "that lose datagrams": {"loss": 0.2},
    "of which one restarts each second": {"restart_s": 1.0},
    "asked often": {"bad_per_s": 20.0},
    "asked rarely": {"bad_per_s": 0.4},
    "with two such requests": {"bad_parts": 2},
    "with crashes of other causes": {"lost_engines": 0.6},
}


def repeats_of(context) -> RepeatQuarantine:
    if not hasattr(context, "repeats"):
        context.repeats = RepeatQuarantine()
        context.parts = PartQuarantine()
    return context.repeats


def times(text: str) -> list[float]:
    return [] if text == "none" else [float(each) for each in text.split(",")]


@given('request "{name}" crashed backend servers at {crashes} s')
def crashed(context, name, crashes):
    # Requests that crash at the same time were at the same backend server.
    for number, at_s in enumerate(times(crashes)):
        is_same = crashes.count(f"{at_s:g}") > 1
        crash = int(1000 * at_s) + (number if is_same else 0)
        repeats_of(context).on_crash(crash, FINGERPRINTS[name], at_s, is_trial=False)


@given('a trial of request "{name}" crashed a backend server at {at_s:g} s')
def trial_crashed(context, name, at_s):
    fingerprint = FINGERPRINTS[name]
    repeats_of(context).on_crash(int(1000 * at_s), fingerprint, at_s, is_trial=True)


@given('part "{part}" of request "a" was at crashes at {crashes} s')
def crashed_with_part(context, part, crashes):
    crashed(context, "a", crashes)
    for number, at_s in enumerate(times(crashes)):
        context.parts.on_crash(int(1000 * at_s), f"r{number}", [part], at_s)


@given('request "{name}" ran well at {at_s:g} s')
def ran_well(context, name, at_s):
    repeats_of(context).on_ran_well(FINGERPRINTS[name], at_s, at_s)


@then('request "{name}" is {state}')
def is_in_state(context, name, state):
    repeats, fingerprint = repeats_of(context), FINGERPRINTS[name]
    found = (repeats.is_suspect(fingerprint), repeats.is_quarantined(fingerprint))
    expected = {
        "neither": (False, False),
        "suspected": (True, False),
        "suspected and quarantined": (True, True),
    }[state]
    assert found == expected, (found, repeats.evidence)


@then('at {at_s:g} s the next attempt of request "{name}" is let through')
def is_tried_at(context, name, at_s):
    assert context.repeats.try_again(FINGERPRINTS[name], 0, at_s)


@then('none of request "{name}" is let through before {at_s:g} s')
def is_not_tried_before(context, name, at_s):
    repeats, fingerprint = context.repeats, FINGERPRINTS[name]
    assert not repeats.try_again(fingerprint, 0, at_s - 0.1)
    assert repeats.try_again(fingerprint, 0, at_s)


@then('at {trials} s until {end_s:d} s request "a" is tried, if each trial crashes')
def is_tried(context, trials, end_s):
    repeats, fingerprint = context.repeats, FINGERPRINTS["a"]
    tried = []
    for now_s in range(4, end_s):
        repeats.update(float(now_s))
        if repeats.try_again(fingerprint, 0, float(now_s)):
            tried.append(float(now_s))
            crash = 1_000_000 + now_s
            repeats.on_crash(crash, fingerprint, float(now_s), is_trial=True)
    assert tried == times(trials), tried


@given("{count:d} requests, each at a crash of its own")
def many_requests(context, count):
    for number in range(count):
        repeats_of(context).on_crash(
            10_000 + number, 10_000 + number, 4.0 + number / count, is_trial=False
        )


@then('the evidence covers at most {count:d} requests, "a" included')
def evidence_is_bounded(context, count):
    assert len(context.repeats.evidence) <= count
    assert context.repeats.is_quarantined(FINGERPRINTS["a"])


@then('request "a" explains all crashes of its part at {at_s:g} s')
def no_part_beside(context, at_s):
    assert context.repeats.is_quarantined(FINGERPRINTS["a"])
    context.parts.update(at_s, context.repeats.quarantined_crashes())
    assert not context.parts.quarantined, context.parts.quarantined


OBSERVATIONS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(("crash", "trial", "well")),
        st.sampled_from((1, 2)),
    ),
    max_size=20,
)
"""Gateway, kind and request of each observation, 0.3 s apart."""


@then("random evidence against requests merged in any order gives the same quarantine")
def order_does_not_matter(context):
    @settings(max_examples=2000 if long_run() else 200)
    @for_all(OBSERVATIONS, st.randoms(use_true_random=False))
    def check(observations, rand: random.Random):
        nodes = [RepeatQuarantine() for _ in range(3)]
        for index, (node, kind, fingerprint) in enumerate(observations):
            at_s = 1.0 + 0.3 * index
            if kind == "well":
                nodes[node].on_ran_well(fingerprint, at_s, at_s)
            else:
                is_trial = kind == "trial"
                nodes[node].on_crash(index, fingerprint, at_s, is_trial=is_trial)
        end_s = 30.0
        messages = [
            encode_suspect_requests(node, sorted(node.evidence), end_s)
            for node in nodes
        ]
        results = []
        for _ in range(3):
            merged = RepeatQuarantine()
            order = [*messages, *messages]
            rand.shuffle(order)
            for message in order:
                apply_suspect_requests(merged, message, end_s)
            due_s = {f: merged.trial_due_s(f) for f in merged.quarantined()}
            results.append(due_s)
        assert results[0] == results[1] == results[2], results

    check()


@given("a request that crashes engines behind {count:d} gateways {circumstance}")
def simulated(context, count, circumstance):
    base = CALM if count < 30 else MANY
    context.traffic = replace(base, gateways=count, **CIRCUMSTANCES[circumstance])


@then(
    "in each of {seeds:d} runs it reaches engines at most {limit:d} times later than "
    "{delay_s:g} s after the third crash"
)
def few_arrivals(context, seeds, limit, delay_s):
    traffic = context.traffic
    duration_s = 20.0 if traffic.gateways > 30 else 60.0
    context.networks = []
    for seed in range(seeds * (10 if long_run() else 1)):
        network = RepeatNetwork(traffic, seed)
        network.run(duration_s)
        context.networks.append(network)
        arrivals = network.late_arrivals(delay_s)
        assert arrivals <= limit, f"seed {seed}: {arrivals} of {network.crashes}"
        assert all(len(s) >= 3 for s in network.crashes.values()), network.crashes


@then(
    "at most {share:g} of the sound polls are rejected from {delay_s:g} s after the "
    "third crash"
)
def polls_served(context, share, delay_s):
    for seed, network in enumerate(context.networks):
        third_s = max(sorted(s)[2] for s in network.crashes.values())
        rejected = network.rejected_polls(third_s + delay_s)
        assert rejected <= share, f"seed {seed}: {rejected:.3f} rejected"
