"""Steps of first_event.feature."""

from __future__ import annotations

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from tanagerturn.serving.admission.first_event import Deferred, Taken, admit

PROMPT_TOKENS, OBJECTIVE_S, IDLE_FIRST_EVENT_S, TIME_LEFT_S = 6_000, 1.2, 0.12, 15.0


@given(
    "engines that compute {rate:d} tokens a second, and {requested:d} arrive for 20 s"
)
def overload(context, rate, requested):
    context.rate, context.requested = rate, requested


def simulate_overload(context, decide):
    """Simulate the overload; the caller of each refused request retries once.

    Args:
        context: Behave context, in which the shares of requests in time are stored.
        decide: Returns the decision on a request from its expected time to the first
            event and its wait so far, both in seconds, and its priority.
    """
    backlog, now_s, in_time, requested = 0.0, 0.0, {0: 0, 2: 0}, {0: 0, 2: 0}
    gap_s = PROMPT_TOKENS / context.requested
    arrivals = [(n * gap_s, (0, 2)[n % 2], n * gap_s) for n in range(int(20 / gap_s))]
    arrivals.sort()
    while arrivals:
        at_s, priority, first_s = arrivals.pop(0)
        backlog = max(0.0, backlog - (at_s - now_s) * context.rate)
        now_s = at_s
        requested[priority] += at_s == first_s
        expected_s = IDLE_FIRST_EVENT_S + (backlog + PROMPT_TOKENS) / context.rate
        decision = decide(expected_s, at_s - first_s, priority)
        if isinstance(decision, Taken):
            backlog += PROMPT_TOKENS
            in_time[priority] += at_s + expected_s - first_s <= OBJECTIVE_S
        elif at_s == first_s:
            arrivals.append((at_s + decision.retry_after_s, priority, first_s))
            arrivals.sort()
    context.share = sum(in_time.values()) / sum(requested.values())
    context.shares = {
        priority: in_time[priority] / requested[priority] for priority in requested
    }
    print(f"\nshare in time: {context.share:.2f}, by priority: {context.shares}")


@when("all generations are admitted")
def all_admitted(context):
    simulate_overload(context, lambda expected_s, waited_s, priority: Taken())


@when("the generations that would be late are refused")
def late_refused(context):
    def decide(expected_s, waited_s, priority):
        own_s = PROMPT_TOKENS / context.rate
        return admit(expected_s, own_s, waited_s, OBJECTIVE_S, priority, TIME_LEFT_S)

    simulate_overload(context, decide)


@then("the first event of less than {share:g} of them is in time")
def share_is_below(context, share):
    assert context.share < share, context.share


@then("the first event of more than {share:g} of them is in time")
def share_is_above(context, share):
    assert context.share > share, context.share


@then("a larger share of the urgent generations than of the others is in time")
def urgent_share_is_larger(context):
    assert context.shares[0] > context.shares[2], context.shares


@then("a request whose first event is expected in time is admitted at any priority")
def admitted_in_time(context):
    for priority in range(10):
        decision = admit(0.8, 0.2, 0.1, 1.2, priority, 15.0)
        assert isinstance(decision, Taken)


@then("for any times a retry delay is at most 0.3 of the caller's remaining time")
def retry_delay_is_bounded(context):
    times = st.floats(0.01, 30)

    @for_all(times, times, times, times, times, st.integers(0, 9))
    def check(expected_s, own_s, waited_s, objective_s, left_s, priority):
        decision = admit(expected_s, own_s, waited_s, objective_s, priority, left_s)
        if isinstance(decision, Deferred):
            assert 0.25 <= decision.retry_after_s <= max(0.25, 0.3 * left_s)

    check()


@then(
    "a request that is late in any case is admitted while the engines are nearly idle"
)
def late_admitted(context):
    for priority in range(10):
        assert isinstance(admit(0.5, 0.2, 5.0, 1.2, priority, 9.0), Taken)
        assert isinstance(admit(0.9, 0.2, 5.0, 1.2, priority, 9.0), Deferred)


@then(
    "a prompt that takes longer than the objective is admitted under the same condition"
)
def large_admitted(context):
    for priority in range(10):
        assert isinstance(admit(1.6, 1.4, 0.0, 1.2, priority, 15.0), Taken)
        assert isinstance(admit(2.6, 1.4, 0.0, 1.2, priority, 15.0), Deferred)
