"""Steps of metrics.feature."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from support.framed_streams import FramedStream, event_text
from support.gateway_world import PROMPT_HEADERS, ScriptedBackend, World
from tanagerturn.gateway.limit_charges import Charge
from tanagerturn.gateway.metrics import make_gateway_metrics
from tanagerturn.serving.streams.endings import Framing


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


@given(
    "a gateway whose engine sends complete streams with a length, in chunks and neither"
)
def sends_complete_streams(context):
    def script(framing):
        async def send(call):
            stream = FramedStream(call, framing, len(event_text(1, "word")))
            await stream.begin()
            await stream.event(1, "word")
            await stream.end()

        return send

    context.scripts = [script(framing) for framing in Framing]


@given("an engine that breaks a chunked stream off")
def breaks_stream_off(context):
    async def script(call):
        stream = FramedStream(call, Framing.CHUNKED)
        await stream.begin()
        await stream.event(1, "word")
        stream.close()

    context.scripts.append(script)


@when("each stream is requested once")
def request_streams(context):
    async def run():
        engine = ScriptedBackend("i-1", context.scripts)
        world = World(engine)
        await world.start()
        for _ in context.scripts:
            await world.send_request("/draft/1", headers=PROMPT_HEADERS)
        context.metrics = world.state.metrics

    asyncio.run(run())


@then("its metrics count one stream each as length, chunked and close, none as moved")
def streams_counted(context):
    text = context.metrics.text().decode()
    counted = {
        line
        for line in text.splitlines()
        if line.startswith("tanager_gateway_stream_ends_total{")
    }
    proofs = dict.fromkeys(Framing, "framing") | {Framing.CLOSE: "report"}
    assert counted == {
        f'tanager_gateway_stream_ends_total{{framing="{framing.value}",'
        f'migration="none",proof="{proof}"}} 1.0'
        for framing, proof in proofs.items()
    }, counted
