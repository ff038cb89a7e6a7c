"""Steps of outliers.feature."""

from __future__ import annotations

from behave import given, then, when

from tanagerturn.serving.backends.outliers import OutlierEjector


@given("{count:d} backend servers")
def backend_servers(context, count):
    context.servers = [f"s{number}" for number in range(1, count + 1)]
    context.ejector = OutlierEjector()


@when('"{server}" fails {count:d} times in a row')
def server_fails(context, server, count):
    for _ in range(count):
        context.ejector.count_failure(server, context.servers, 0.0)


@then('"{server}" is ejected')
def server_is_ejected(context, server):
    assert context.ejector.is_ejected(server, 0.0)


@then('"{server}" is not ejected')
def server_is_not_ejected(context, server):
    assert not context.ejector.is_ejected(server, 0.0)


@then('"{server}" returns after {seconds:g} seconds with a weight of {weight:g}')
def returns_with_weight(context, server, seconds, weight):
    assert context.ejector.weight(server, seconds - 0.001) == 0.0
    assert context.ejector.weight(server, seconds + 0.001) == weight


@then('"{server}" has a weight of 1 after {seconds:g} seconds')
def has_full_weight(context, server, seconds):
    assert context.ejector.weight(server, seconds + 0.001) == 1.0


@then("a single backend server is never ejected")
def single_server_not_ejected(context):
    ejector = OutlierEjector()
    assert not any(ejector.count_failure("s1", ["s1"], 0.0) for _ in range(50))
