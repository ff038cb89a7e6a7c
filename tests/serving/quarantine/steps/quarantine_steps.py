"""Steps of quarantine.feature."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from behave import given, then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from support.environment import long_run
from support.quarantine_network import BAD_PARTS, QuarantineNetwork, Traffic
from tanagerturn.gateway.quarantine import apply_suspects, encode_suspects
from tanagerturn.serving.quarantine.quarantine import PartQuarantine

if TYPE_CHECKING:
    import random

CONTACT_S = 3.0
"""Time in seconds after which gateways in touch have to act on what any of them saw."""

LATE_START_S = 3.5
"""Start of the oldest engine in seconds, if all have ended since the first crash."""

CALM = Traffic()
MANY = Traffic(gateways=93, engines=40, sound_per_s=120, bad_per_s=5, middle_parts=60)

CIRCUMSTANCES = {
    "in calm": {},
    "that lose datagrams": {"loss": 0.2},
    "of which one restarts each second": {"restart_s": 1.0},
    "asked often": {"bad_per_s": 10.0},
    "asked rarely": {"bad_per_s": 0.3},
    "which know the part from good runs": {"is_bad_known": True},
    "that have just started": {"bad_from_s": 0.0},
    "with two such parts": {"bad_parts": 2, "bad_per_s": 4.0},
    "with few sound requests": {"sound_per_s": 3.0, "middle_parts": 30},
}


def evidence_of(context):
    if not hasattr(context, "quarantine"):
        context.quarantine = PartQuarantine()
        context.crash_count = 0
    return context.quarantine


@given('requests with parts "{parts}" crashed engines at {times} s')
def crashed(context, parts, times):
    quarantine = evidence_of(context)
    for at_s in times.split(","):
        context.crash_count += 1
        number = context.crash_count
        quarantine.on_crash(number, f"r{number}", parts.split(","), float(at_s))


@given('requests with parts "{parts}" ran well at {at_s:g} s')
def ran_well(context, parts, at_s):
    evidence_of(context).on_ran_well(parts.split(","), at_s - 0.6, at_s)


@then('at {at_s:g} s the quarantined parts are "{parts}"')
def quarantined_are(context, at_s, parts):
    check_quarantined(context, at_s, parts)


@then('at {at_s:g} s the quarantined parts are ""')
def none_quarantined(context, at_s):
    check_quarantined(context, at_s, "")


def check_quarantined(context, at_s, parts):
    quarantine = evidence_of(context)
    quarantine.update(at_s)
    assert quarantine.quarantined == set(filter(None, parts.split(","))), (
        quarantine.quarantined,
        quarantine.evidence,
    )


def trial_times(context, part, until_s, on_admitted, oldest_start_s=LATE_START_S):
    """Return the times at which requests with a part are let through, asked often."""
    quarantine = context.quarantine
    tried = []
    for tenths in range(40, 10 * until_s):
        at_s = tenths / 10
        quarantine.update(at_s)
        if quarantine.find([part]) and quarantine.try_again(
            [part], 0, at_s, oldest_start_s
        ):
            tried.append(at_s)
            on_admitted(at_s)
    return tried


@then("at {times} s until {until_s:d} s part {part} is tried, if each trial crashes")
def tried_with_crashes(context, times, until_s, part):
    check_trials(context, times, until_s, part, LATE_START_S)


@then(
    "beside an engine that did not crash part {part} is tried at {times} s until "
    "{until_s:d} s, if each trial crashes"
)
def tried_beside_survivor(context, part, times, until_s):
    check_trials(context, times, until_s, part, 0.0)


def check_trials(context, times, until_s, part, oldest_start_s):
    quarantine, part = context.quarantine, part.strip('"')

    def crash(at_s):
        quarantine.on_tried([part], at_s)
        number = 1000 + int(10 * at_s)
        quarantine.on_crash(number, f"r{number}", [part], at_s, is_trial=True)

    tried = trial_times(context, part, until_s, crash, oldest_start_s)
    assert tried == [float(each) for each in times.split(",")], tried


@then(
    "at {times} s until {until_s:d} s part {part} is let through, if no request "
    "reaches an engine"
)
def let_through(context, times, until_s, part):
    admitted = trial_times(context, part.strip('"'), until_s, lambda at_s: None)
    assert admitted == [float(each) for each in times.split(",")], admitted


@then(
    'a request with parts "{parts}" is let through at {at_s:g} s, but not at '
    "{first_s:g} or {second_s:g} s"
)
def waits(context, parts, at_s, first_s, second_s):
    quarantine, names = context.quarantine, parts.split(",")
    assert not quarantine.try_again(names, 0, first_s, LATE_START_S)
    assert not quarantine.try_again(names, 0, second_s, LATE_START_S)
    assert quarantine.try_again(names, 0, at_s, LATE_START_S)


@given("{count:d} requests with a part of their own, each at an engine that crashed")
def many_parts(context, count):
    quarantine = evidence_of(context)
    for number in range(count):
        quarantine.on_crash(number, f"r{number}", [f"p{number}"], 1.0 + number)


@then("the evidence covers {count:d} parts, the last of them included")
def evidence_covers(context, count):
    evidence = context.quarantine.evidence
    assert len(evidence) == count
    assert "p1999" in evidence


PARTS = ("f0", "m1", "bad0")

OBSERVATIONS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(("crash", "well")),
        st.lists(st.sampled_from(PARTS), min_size=1, max_size=3, unique=True),
    ),
    max_size=20,
)
"""Gateway, kind and parts of each observation, 0.3 s apart."""


@then("random evidence merged in any order, also repeated, gives the same quarantine")
def order_does_not_matter(context):
    @settings(max_examples=2000 if long_run() else 200)
    @for_all(OBSERVATIONS, st.randoms(use_true_random=False))
    def check(observations, rand: random.Random):
        nodes = [PartQuarantine() for _ in range(3)]
        for index, (node, kind, parts) in enumerate(observations):
            at_s = 1.0 + 0.3 * index
            if kind == "crash":
                nodes[node].on_crash(index, f"r{index}", parts, at_s)
            else:
                nodes[node].on_ran_well(parts, at_s - 0.6, at_s)
        end_s = 30.0
        messages = [encode_suspects(n, sorted(n.evidence), end_s) for n in nodes]
        results = []
        for _ in range(3):
            merged = PartQuarantine()
            order = [*messages, *messages]
            rand.shuffle(order)
            for message in order:
                apply_suspects(merged, message, end_s)
            merged.update(end_s)
            results.append(merged.quarantined)
        assert results[0] == results[1] == results[2], results

    check()


@given("{count:d} gateways {circumstance} and requests with the part")
def simulated(context, count, circumstance):
    base = CALM if count < 30 else MANY
    context.traffic = replace(base, gateways=count, **CIRCUMSTANCES[circumstance])


@then(
    "in each of {seeds:d} runs at most {limit:d} of them reach engines later than "
    "{delay_s:g} s after the fifth crash"
)
def few_arrivals(context, seeds, limit, delay_s):
    traffic = context.traffic
    # Long enough for the fifth crash, which may be that of the second trial.
    duration_s = 24.0 if traffic.gateways > 30 else 50.0
    if traffic.bad_per_s < 1 or traffic.bad_parts > 1:
        duration_s = 60.0
    elif traffic.restart_s:
        duration_s = max(duration_s, 36.0)
    context.networks = []
    for seed in range(seeds * (10 if long_run() else 1)):
        network = QuarantineNetwork(context.traffic, seed)
        network.run(duration_s)
        context.networks.append(network)
        arrivals = network.bad_arrivals_after(delay_s)
        assert arrivals <= limit, f"seed {seed}: {arrivals} of {network.crashes_s}"
        assert network.crashes_s, f"seed {seed}: no crash"


@then("at least half of the sound requests are served from {delay_s:g} s after it")
def sound_served(context, delay_s):
    for seed, network in enumerate(context.networks):
        share = network.rejected_share(delay_s)
        assert share <= 0.5, f"seed {seed}: {share:.2f} rejected"


@then("no other part is ever quarantined")
def only_bad(context):
    for seed, network in enumerate(context.networks):
        assert network.quarantined <= {*BAD_PARTS}, (
            f"seed {seed}: {network.quarantined}"
        )


@given("9 gateways with busy engines, of which most are lost at the same moment")
def engines_lost(context):
    context.traffic = replace(
        CALM, engines=10, sound_per_s=40.0, bad_per_s=0.0, lost_engines=0.9
    )


@then("no part is quarantined in {seeds:d} runs")
def nothing_quarantined(context, seeds):
    for seed in range(seeds):
        network = QuarantineNetwork(context.traffic, seed)
        network.run(15.0)
        assert not network.quarantined, f"seed {seed}: {network.quarantined}"
