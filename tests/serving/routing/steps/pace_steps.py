"""Steps of pace.feature: a simulation with one slow engine."""

from __future__ import annotations

from behave import given, then, when

from tanagerturn.serving.routing.pace import Pace
from tanagerturn.serving.routing.prompt_parts import CandidateEngine, place_prompt

PROMPT_TOKENS = 2_000
FIRST_S = 0.17
"""Seconds to the first event of an idle engine for a prompt of `PROMPT_TOKENS`."""

STREAM_S = 1.0
"""Duration of a stream after its first event, in seconds."""


class SlowEngines:
    """Simulated engines, one of them slow for a time, and the prompts sent to each."""

    def __init__(self, count, slow, multiple, from_s, to_s):
        self.paces = {f"e{number}": Pace() for number in range(1, count + 1)}
        self.slow, self.multiple = slow, multiple
        self.from_s, self.to_s = from_s, to_s
        self.running = {name: [] for name in self.paces}
        self.pending_events = []
        """Pending first events: simulated time, engine, measured and expected time to
        the first event, all times in seconds."""
        self.sent = []
        """Simulated time in seconds and engine of each prompt."""
        self.max_pace = 1.0
        """Largest pace of the slow engine so far."""

    def send(self, now_s, shared_part):
        """Send one prompt to the engine with the earliest expected first event."""
        for event in [e for e in self.pending_events if e[0] <= now_s]:
            self.pending_events.remove(event)
            at_s, name, measured_s, expected_s = event
            self.paces[name].on_first_event(measured_s, expected_s, at_s)
        candidates = []
        for name, ends in self.running.items():
            ends[:] = [end_s for end_s in ends if end_s > now_s]
            pace = self.paces[name].time_factor(now_s)
            candidates.append(
                CandidateEngine(name, True, 64, len(ends), 0, 0, 10**9, 0, 0, pace)
            )
        self.max_pace = max(self.max_pace, self.paces[self.slow].time_factor(now_s))
        chosen = place_prompt(candidates, PROMPT_TOKENS, 50, shared_part)
        candidate = next(v for v in candidates if v.id == chosen.id)
        expected_s = chosen.first_event_ms / 1000 / candidate.pace
        is_slow = chosen.id == self.slow and self.from_s <= now_s < self.to_s
        slowdown = self.multiple if is_slow else 1.0
        first_s = expected_s * slowdown
        self.pending_events.append((now_s + first_s, chosen.id, first_s, expected_s))
        self.running[chosen.id].append(now_s + first_s + STREAM_S * slowdown)
        self.sent.append((now_s, chosen.id))


@given(
    '{count:d} engines, of which "{slow}" takes {multiple:g} times as long '
    "from {from_s:g} s to {to_s:g} s"
)
def slow_engines(context, count, slow, multiple, from_s, to_s):
    context.engines = SlowEngines(count, slow, multiple, from_s, to_s)


@when(
    "prompts with distinct shared parts arrive "
    "{rate:d} times a second for {length_s:g} s"
)
def send_prompts(context, rate, length_s):
    for number in range(int(rate * length_s)):
        context.engines.send(number / rate, f"subject {number}")


def share_of_prompts(engines, name, from_s, to_s):
    chosen = [n for at_s, n in engines.sent if from_s <= at_s < to_s]
    return chosen.count(name) / len(chosen)


@then('from {from_s:g} s to {to_s:g} s "{name}" gets less than a tenth of the prompts')
def engine_is_avoided(context, from_s, to_s, name):
    assert share_of_prompts(context.engines, name, from_s, to_s) < 0.1


@then('from {from_s:g} s on "{name}" gets more than a fifth of the prompts')
def engine_is_used_again(context, from_s, name):
    assert share_of_prompts(context.engines, name, from_s, 1e9) > 0.2


@then('the pace of "{name}" is always 1')
def pace_stays_normal(context, name):
    assert context.engines.slow == name
    assert context.engines.max_pace == 1.0
