"""Steps of expected.feature."""

from __future__ import annotations

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from tanagerturn.serving.admission.expected import SentAway, Taken, admit

TOKENS, OBJECTIVE_S, FIRST_S, PATIENCE_S = 6_000, 1.2, 0.12, 15.0


@given("engines that read {rate:d} tokens a second, and {asked:d} come for 20 s")
def overload(context, rate, asked):
    context.rate, context.asked = rate, asked


def serve(context, decide):
    """Play the overload; callers that are sent away come back once."""
    backlog, now_s, in_time, asked = 0.0, 0.0, {0: 0, 2: 0}, {0: 0, 2: 0}
    gap_s = TOKENS / context.asked
    arrivals = [(n * gap_s, (0, 2)[n % 2], n * gap_s) for n in range(int(20 / gap_s))]
    arrivals.sort()
    while arrivals:
        at_s, rank, first_s = arrivals.pop(0)
        backlog = max(0.0, backlog - (at_s - now_s) * context.rate)
        now_s = at_s
        asked[rank] += at_s == first_s
        expected_s = FIRST_S + (backlog + TOKENS) / context.rate
        decision = decide(expected_s, at_s - first_s, rank)
        if isinstance(decision, Taken):
            backlog += TOKENS
            in_time[rank] += at_s + expected_s - first_s <= OBJECTIVE_S
        elif at_s == first_s:
            arrivals.append((at_s + decision.retry_after_s, rank, first_s))
            arrivals.sort()
    context.share = sum(in_time.values()) / sum(asked.values())
    context.shares = {rank: in_time[rank] / asked[rank] for rank in asked}
    print(f"\n{context.share:.2f} in time, by rank {context.shares}")


@when("all are taken")
def all_taken(context):
    serve(context, lambda expected_s, waited_s, rank: Taken())


@when("those that would be late are sent away")
def late_sent_away(context):
    def decide(expected_s, waited_s, rank):
        own_s = TOKENS / context.rate
        return admit(expected_s, own_s, waited_s, OBJECTIVE_S, rank, PATIENCE_S)

    serve(context, decide)


@then("less than {share:g} of them are in time")
def less(context, share):
    assert context.share < share, context.share


@then("more than {share:g} of them are in time")
def more(context, share):
    assert context.share > share, context.share


@then("more of the urgent ones are in time than of the others")
def urgent_first(context):
    assert context.shares[0] > context.shares[2], context.shares


@then("a request that is expected in time is taken, whatever its rank")
def taken(context):
    for rank in range(10):
        decision = admit(0.8, 0.2, 0.1, 1.2, rank, 15.0)
        assert isinstance(decision, Taken)


@then("for any times a caller is sent away for at most 0.3 of its time")
def not_for_long(context):
    times = st.floats(0.01, 30)

    @for_all(times, times, times, times, times, st.integers(0, 9))
    def check(expected_s, own_s, waited_s, objective_s, left_s, rank):
        decision = admit(expected_s, own_s, waited_s, objective_s, rank, left_s)
        if isinstance(decision, SentAway):
            assert 0.25 <= decision.retry_after_s <= max(0.25, 0.3 * left_s)

    check()


@then("one that is late in any case is taken while the engines are nearly idle")
def late_taken(context):
    for rank in range(10):
        assert isinstance(admit(0.5, 0.2, 5.0, 1.2, rank, 9.0), Taken)
        assert isinstance(admit(0.9, 0.2, 5.0, 1.2, rank, 9.0), SentAway)


@then("a prompt that takes longer to read than its objective is taken as well")
def large_taken(context):
    for rank in range(10):
        assert isinstance(admit(1.6, 1.4, 0.0, 1.2, rank, 15.0), Taken)
        assert isinstance(admit(2.6, 1.4, 0.0, 1.2, rank, 15.0), SentAway)
