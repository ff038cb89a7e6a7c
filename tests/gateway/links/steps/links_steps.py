"""Steps of links.feature."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from soak.proxy import Proxy, ProxyFault
from tanagerturn.gateway.link_liveness import LinkLiveness
from tanagerturn.gateway.links import Links
from tanagerturn.schema import gateway_pb2 as gpb

FRAME_INTERVAL_S = 0.075
"""Interval of frames in seconds; half the interval of a leader's heartbeats."""


@given("a link through a proxy to a gateway that responds to calls")
def link_through_proxy(context):
    context.loop = asyncio.new_event_loop()
    context.closers.append(context.loop.close)
    context.received_texts = []

    async def handle(frame, peer):
        context.received_texts.append(frame.failure.reason)
        return gpb.Frame(done=gpb.Done()) if frame.call else None

    async def start():
        context.peer_links = Links(handle)
        await context.peer_links.listen("127.0.0.1:0")
        port = context.peer_links.listener.sockets[0].getsockname()[1]
        context.proxy = Proxy("127.0.0.1:0", f"127.0.0.1:{port}")
        await context.proxy.start()
        context.link = Links(handle).link_to(context.proxy.listen)
        assert (await call(context)).is_ok()

    def close():
        context.link.close()
        context.proxy.close()
        context.peer_links.close()
        tasks = asyncio.all_tasks(context.loop)
        for task in tasks:
            task.cancel()
        context.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))

    context.loop.run_until_complete(start())
    context.closers.append(close)


def call(context, timeout_s=0.5):
    return context.link.call(gpb.Frame(ask_news=gpb.NewsCall()), timeout_s)


def frame(text):
    return gpb.Frame(failure=gpb.Failure(reason=text))


@when("the proxy applies {fault} for {time_s:g} s, then forwards new connections")
def inject_fault(context, fault, time_s):
    async def run():
        context.proxy.fault = ProxyFault[fault]
        end_s = context.loop.time() + time_s
        while context.loop.time() < end_s:
            context.link.send_one_way(frame("lost"))
            await call(context, FRAME_INTERVAL_S)
        context.proxy.fault = ProxyFault.NONE

    context.loop.run_until_complete(run())


@when("one-way frames are sent for {time_s:g} s")
def send_frames(context, time_s):
    async def run():
        end_s = context.loop.time() + time_s
        while context.loop.time() < end_s:
            context.link.send_one_way(frame("later"))
            await asyncio.sleep(FRAME_INTERVAL_S)
        context.link.send_one_way(frame("last"))
        await asyncio.sleep(0.2)

    context.loop.run_until_complete(run())


@then("the last frame arrives")
def last_frame_arrives(context):
    assert context.received_texts[-1] == "last", context.received_texts[-3:]


@then("a call gets its response within 0.5 s")
def call_gets_response(context):
    assert context.loop.run_until_complete(call(context)).is_ok()


@when("the link is idle for {time_s:g} s between two calls")
def link_is_idle(context, time_s):
    context.tcp = context.link.tcp
    context.loop.run_until_complete(asyncio.sleep(time_s))
    assert context.loop.run_until_complete(call(context)).is_ok()


@then("the link still has the same connection")
def same_connection(context):
    assert context.link.tcp is context.tcp


@given("a connection on which {size:d} bytes were sent at {now_s:g} s")
def bytes_were_sent(context, size, now_s):
    context.liveness = LinkLiveness(now_s)
    context.liveness.on_sent(size, expects_response=True, now_s=now_s)


@when("a frame is received at {now_s:g} s")
def frame_received(context, now_s):
    context.liveness.on_received(now_s)


@then("the connection is not silent at {now_s:g} s")
def connection_not_silent(context, now_s):
    assert not context.liveness.is_silent(now_s)


@then("the connection is silent at {now_s:g} s")
def connection_silent(context, now_s):
    assert context.liveness.is_silent(now_s)
