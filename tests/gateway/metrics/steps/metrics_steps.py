"""Steps of metrics.feature."""

from __future__ import annotations

from behave import given, then

from tanagerturn.gateway.limit_charges import Charge
from tanagerturn.gateway.metrics import make_gateway_metrics


@given("a gateway that has served requests of each outcome")
def gateway_with_metrics(context):
    context.metrics = make_gateway_metrics()
    for outcome, status in (("answered", 200), ("refused", 429), ("refused", 503)):
        context.metrics.outcomes.labels(outcome, status).inc()
    for charge in Charge:
        context.metrics.limit_units.labels(charge.value).inc(1e6)


@then("the first {limit:d} bytes of its metrics contain each gauge and counter")
def gauges_first(context, limit):
    head = context.metrics.text()[:limit].decode()
    for family in context.metrics.registry.collect():
        if family.type in ("gauge", "counter"):
            for sample in family.samples:
                assert f"\n{sample.name}" in head, sample.name
