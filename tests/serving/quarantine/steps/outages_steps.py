"""Steps of outages.feature."""

from __future__ import annotations

import re

from behave import given, then

from support.environment import long_run
from support.outage_network import Outage, OutageNetwork
from support.quarantine_network import Traffic

SOUND_PER_S = 20.0

SETTLED_S = 8.0
"""Time in seconds for which the simulation goes on after the engines are back."""

SETTLED_BESIDE_CAUSE_S = 20.0
"""The same beside a part that crashes engines, which is tried meanwhile."""


@given(
    "{count:d} gateways with {engines:d} engines, of which {ended:d} end within "
    "{within_s:g} s, {circumstance}"
)
def outage_given(context, count, engines, ended, within_s, circumstance):
    words = [word.strip() for word in circumstance.split(",")]
    known = {
        "new",
        "two parts",
        "lossy",
        "restarts",
        "three rounds",
        "bad part",
    }
    back = re.fullmatch(r"back after (\d+) s", words.pop())
    assert back and set(words) <= known, circumstance
    context.outage = Outage(
        ended=ended,
        within_s=within_s,
        back_s=float(back.group(1)),
        rounds=3 if "three rounds" in words else 1,
        is_proven="new" not in words,
        is_alone="two parts" not in words,
        bad_share=0.05 if "bad part" in words else 0.0,
    )
    context.traffic = Traffic(
        gateways=count,
        engines=engines,
        sound_per_s=SOUND_PER_S,
        bad_per_s=0.0,
        loss=0.2 if "lossy" in words else 0.0,
        restart_s=1.0 if "restarts" in words else 0.0,
    )


def run_seeds(context, seeds):
    context.networks = []
    has_cause = context.outage.bad_share > 0
    settled_s = SETTLED_BESIDE_CAUSE_S if has_cause else SETTLED_S
    for seed in range(seeds * (10 if long_run() else 1)):
        network = OutageNetwork(context.traffic, context.outage, seed)
        network.run(network.first_back_s + settled_s)
        assert network.sound_count >= 20, f"seed {seed}: {network.sound_count}"
        context.networks.append(network)


@then(
    "in each of {seeds:d} runs, from {delay_s:g} s after the first engine is back, "
    "nothing sound is rejected"
)
def nothing_rejected(context, seeds, delay_s):
    run_seeds(context, seeds)
    late = [network.late_rejections(delay_s) for network in context.networks]
    assert not any(late), late


@then(
    "in each of {seeds:d} runs at most {limit:d} requests with the part reach engines "
    "later than {delay_s:g} s after the fifth crash"
)
def few_bad_arrivals(context, seeds, limit, delay_s):
    run_seeds(context, seeds)
    arrivals = [n.bad_arrivals_after(delay_s) for n in context.networks]
    assert max(arrivals) <= limit, arrivals


@then(
    "at most {share:g} of the sound requests are rejected later than {delay_s:g} s "
    "after the first engine is back"
)
def few_rejected(context, share, delay_s):
    shares = [n.late_rejections(delay_s) / n.sound_count for n in context.networks]
    assert max(shares) <= share, shares
