"""Steps of window.feature."""

from __future__ import annotations

from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st

from tanagerturn.serving.retries.window import RetryLimits, RetryWindow

RETRY_LIMITS = RetryLimits(10.0, 0.2, 60.0)


@then("for any requests at 1 to 30 gateways no window exceeds the retry budget")
def within_budget(context):
    event_times = st.lists(st.tuples(st.floats(0, 40), st.booleans()), max_size=200)

    @for_all(st.integers(1, 30), event_times)
    def check(gateways, events):
        windows = [RetryWindow(RETRY_LIMITS) for _ in range(gateways)]
        requests, retries = [], []
        for number, (at_s, is_request) in enumerate(sorted(events)):
            window = windows[number % gateways]
            if is_request:
                window.on_request(at_s)
                requests.append(at_s)
            elif window.take(gateways, at_s):
                retries.append(at_s)
        for end_s in retries:
            recent_retries = [t for t in retries if end_s - 10.0 < t <= end_s]
            recent_requests = [t for t in requests if end_s - 20.0 < t <= end_s]
            assert len(recent_retries) <= 0.2 * len(recent_requests) + 60.0

    check()


@given("9 gateways and a budget of 60 retries in 10 s")
def nine_gateways(context):
    context.window = RetryWindow(RETRY_LIMITS)


@then("a gateway without requests may retry 4 times in a window")
def four_retries(context):
    taken = [context.window.take(9, 0.1 * n) for n in range(10)]
    assert sum(taken) == 4, taken
    assert context.window.take(9, 10.5)
