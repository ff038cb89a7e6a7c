"""Steps of framings.feature."""

from __future__ import annotations

from behave import given, then

from tanagerturn.serving.streams.endings import Framing
from tanagerturn.serving.streams.framings import FramingHistory, ResponseKind

KIND = ResponseKind("desk", "v1", is_stream=True)


@given("responses delimited by {seen}")
def responses(context, seen):
    context.history = FramingHistory()
    for name in seen.split(", "):
        count, _, framing = name.partition(" ")
        for _ in range(int(count) if framing else 0):
            context.history.on_response(KIND, Framing(framing))


@given("reports that state {stated}")
def reports(context, stated):
    for each in stated.split(", "):
        context.history.on_report(KIND, states_start=each == "their start")


@then("the next response of that kind needs a witness")
def needs_witness(context):
    assert context.history.needs_witness(KIND)


@then("the next response of that kind needs not a witness")
def needs_none(context):
    assert not context.history.needs_witness(KIND)


@then("a response of another service, version or route needs a witness")
def others_need(context):
    for other in (
        KIND._replace(service="draft"),
        KIND._replace(software_version="v2"),
        KIND._replace(is_stream=False),
    ):
        assert context.history.needs_witness(other), other
