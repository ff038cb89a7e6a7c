"""Steps of service_times.feature."""

from __future__ import annotations

from behave import given, then

from tanagerturn.gateway.callers.service_times import WINDOW_S, ServiceTimes

STARTED_S = 100 * WINDOW_S


@given('a request of route "{route}" that took {taken_s:g} s')
def answered(context, route, taken_s):
    context.times = ServiceTimes()
    context.times.on_answered(route, taken_s, STARTED_S)
    context.times.on_answered(route, taken_s / 2, STARTED_S)


@then('{wait_s:g} s later the time known for "{route}" is "{known}"')
def known_time(context, wait_s, route, known):
    longest_s = context.times.longest_s(route, STARTED_S + wait_s)
    assert ("none" if longest_s is None else f"{longest_s:g} s") == known, longest_s
