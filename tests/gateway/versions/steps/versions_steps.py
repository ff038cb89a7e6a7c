"""Steps of versions.feature; each scenario has its own event loop."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import given, then, when

from support.engine_fleet import EVENT_INTERVAL_S
from support.gateway_world import KEY, CallerResponse, ScriptedBackend, World
from support.version_fleet import (
    EVENT_COUNT,
    ReplacedEngine,
    VersionEngine,
    VersionFleet,
)
from tanagerturn.clocks import boot_s
from tanagerturn.gateway import startup

RUN_S = EVENT_COUNT * EVENT_INTERVAL_S
"""Time in seconds that a stream takes."""

SAVE_S = 2.0
"""Time in seconds after which hosts with a disk have saved where streams began."""


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def start(context, gateways, versions, engine_type):
    context.loop = asyncio.new_event_loop()
    context.fleet = VersionFleet(gateways, versions.split(","), 1, engine_type)

    def close():
        context.loop.run_until_complete(context.fleet.close())
        context.loop.close()

    context.closers.append(close)
    run(context, context.fleet.start())


@given("{gateways:d} gateways and engines of versions {versions}")
def fleet_started(context, gateways, versions):
    start(context, gateways, versions, VersionEngine)


@given(
    "{gateways:d} gateways and engines of versions {versions}, released under new ids"
)
def fleet_released(context, gateways, versions):
    start(context, gateways, versions, VersionEngine)


@given(
    "{gateways:d} gateways and engines of versions {versions}, released under the same "
    "id and address"
)
def fleet_replaced(context, gateways, versions):
    start(context, gateways, versions, ReplacedEngine)


@when("{count:d} streams begin and {crashes:d} engines crash while they run")
def engines_crash(context, count, crashes):
    fleet = context.fleet

    async def crash():
        fleet.begin(count)
        for engine in fleet.engines[:: len(fleet.engines) // crashes][:crashes]:
            await asyncio.sleep(0.4 * RUN_S / crashes)
            engine.crash()
        await fleet.finish(6 * RUN_S)

    run(context, crash())


@when(
    "{count:d} streams run and {killed} are killed, restart, and callers ask "
    "{taken_up_at}"
)
def gateways_killed(context, count, killed, taken_up_at):
    fleet = context.fleet

    async def kill():
        hosts = sorted(fleet.cluster.gateways)
        number = {"one gateway": 1, "four gateways": 4, "all gateways": len(hosts)}
        doomed = hosts[-number[killed] :]
        one = doomed[0] if killed == "one gateway" else ""
        take_up_host = one if taken_up_at == "the restarted gateway" else ""
        fleet.begin(count, one, take_up_host)
        await asyncio.sleep(SAVE_S)
        for host in doomed:
            await fleet.cluster.kill(host)
        if taken_up_at == "other gateways":
            await asyncio.sleep(1.0)
        for host in doomed:
            await fleet.cluster.start(int(host[1:]), is_first_start=False)
        await fleet.finish(6 * RUN_S)

    run(context, kill())


@when(
    "{count:d} streams run and half of the engines become v2 while a gateway is killed"
)
def release(context, count):
    fleet = context.fleet

    async def replace():
        fleet.begin(count)
        await asyncio.sleep(0.3 * RUN_S)
        for engine in fleet.engines[::2]:
            engine.software_version = "v2"
            engine.crash()
            await asyncio.sleep(0.3)
        await fleet.cluster.kill("g6")
        await fleet.cluster.start(6, is_first_start=False)
        await fleet.finish(6 * RUN_S)

    run(context, replace())


@when("a stream of v1 is taken up after its engine has ended")
def version_ends(context):
    fleet = context.fleet
    (v1,) = [e for e in fleet.engines if e.software_version == "v1"]

    async def end():
        fleet.begin(9)
        await asyncio.sleep(0.3 * RUN_S)
        v1.software_version = "v2"
        v1.crash()
        await fleet.finish(6 * RUN_S)

    run(context, end())


@then("each attempt to take it up gets 503 within 0.5 s, which names version v1")
def clear_error(context):
    streams = [s for s in context.fleet.streams if not s.is_whole]
    assert streams
    for stream in streams:
        assert stream.versions == {"v1"}, stream.versions
        refused = stream.answers[1:]
        assert all(a.status == 503 and b"v1" in a.body for a in refused), refused
        assert all(took_s <= 0.5 for took_s in stream.took_s[1:]), stream.took_s


@when("a caller takes up a stream of an unknown attempt")
def unknown_attempt(context):
    fleet = context.fleet
    headers = "Last-Event-Id: 5\r\nResumes: never-seen\r\n"
    host = sorted(fleet.cluster.gateways)[0]
    context.answer = run(
        context,
        fleet.request(host, "POST /notes/1", KEY, "5c1e:300,1:300", b"", headers),
    )


@when(
    "three engines become v2, {count:d} streams begin, and all gateways lose power "
    "{after_s:g} s later"
)
def killed_after_release(context, count, after_s):
    fleet = context.fleet

    async def release_and_kill():
        for gateway in fleet.cluster.gateways.values():
            # As if it had run for longer than streams live.
            gateway.state.stream_origins.complete_since_s -= 60.0
        await asyncio.sleep(2 * SAVE_S)
        saving = mock.patch.object(startup, "write_warm_start", lambda *_: None)
        # The loss of power takes what is saved from here on.
        saving.start()
        for engine in fleet.engines[::2]:
            engine.software_version = "v2"
            engine.crash()
        # The engines are back, and known, before the streams begin.
        while True:
            await asyncio.sleep(0.02)
            states = [g.state for g in fleet.cluster.gateways.values()]
            known = [
                {b.software_version for b in s.fleet.view.backends.values()}
                for s in states
            ]
            if all("v2" in versions for versions in known):
                break
        fleet.begin(count)
        await asyncio.sleep(after_s)
        hosts = sorted(fleet.cluster.gateways)
        # The engines of v2 announce themselves later than callers come back.
        announcing = mock.patch.object(VersionEngine, "announce", no_new_version)
        announcing.start()
        for host in hosts:
            await fleet.cluster.kill(host)
        saving.stop()
        for host in hosts:
            await fleet.cluster.start(int(host[1:]), is_first_start=False)
        await asyncio.sleep(SAVE_S)
        announcing.stop()
        await fleet.finish(6 * RUN_S)

    announce = VersionEngine.announce

    async def no_new_version(engine):
        if engine.software_version != "v2":
            await announce(engine)

    run(context, release_and_kill())


@when(
    "the engine of v1 ends, a gateway without a disk restarts, and a caller takes up a "
    "stream there without naming its attempt"
)
def unnamed_attempt(context):
    fleet = context.fleet
    (v1,) = [e for e in fleet.engines if e.software_version == "v1"]

    async def take_up():
        await asyncio.sleep(SAVE_S)
        v1.software_version = "v2"
        v1.crash()
        await fleet.cluster.kill("g4")
        await asyncio.sleep(SAVE_S)
        await fleet.cluster.start(4, is_first_start=False)
        answer = CallerResponse(0, {}, b"", False)
        for number in range(40):
            headers = "Last-Event-Id: 5\r\n"
            try:
                answer = await fleet.request(
                    "g4", f"POST /notes/{number}", KEY, "5c1e:300,1:300", b"", headers
                )
            except (ConnectionError, IndexError):
                await asyncio.sleep(0.05)
                continue
            if answer.status == 200 or b"version" in answer.body:
                break
            await asyncio.sleep(0.05)
        return answer

    context.answer = run(context, take_up())


@then("it gets 503 with Retry-After and no event")
def not_guessed(context):
    assert context.answer.status == 503, context.answer
    assert float(context.answer.headers["retry-after"]) > 0, context.answer
    assert b"id: " not in context.answer.body, context.answer


@then("no stream has events of two versions")
def none_mixed(context):
    streams = context.fleet.streams
    assert streams
    mixed = context.fleet.mixed()
    taken_up = sum(s.was_taken_up for s in streams)
    order = [(m.events[0][1], m.events[-1][1], len(m.answers)) for m in mixed[:4]]
    assert not mixed, f"{len(mixed)} of {len(streams)}, {taken_up} taken up: {order}"
    for stream in streams:
        ids = [number for number, _ in stream.events]
        assert ids == list(range(1, len(ids) + 1)), ids


@then("at least {share:g} of the streams that callers took up go on")
def taken_up_go_on(context, share):
    taken_up = [s for s in context.fleet.streams if s.was_taken_up]
    went_on = sum(s.went_on for s in taken_up)
    assert went_on >= share * len(taken_up), f"{went_on} of {len(taken_up)}"


@then("at least {share:g} of all streams are whole")
def share_whole(context, share):
    streams = context.fleet.streams
    whole = sum(s.is_whole for s in streams)
    assert whole >= share * len(streams), f"{whole} of {len(streams)}"


@then("at least {count:d} streams are whole")
def streams_whole(context, count):
    whole = sum(s.is_whole for s in context.fleet.streams)
    assert whole >= count, f"{whole} of {len(context.fleet.streams)}"


@given("a gateway that has known the only version of its engines for long")
def knows_only_version(context):
    async def resume(call):
        await call.begin_stream()
        await call.event(3)
        await call.end_stream()

    context.loop = asyncio.new_event_loop()
    context.closers.append(context.loop.close)
    context.world = World(ScriptedBackend("i-1", [resume]))
    run(context, context.world.start())
    origins = context.world.state.stream_origins
    origins.started_s = origins.complete_since_s = boot_s() - 100.0
    context.world.state.note_versions(boot_s())


def take_up(context):
    headers = {"Last-Event-Id": "2", "Resumes": "r0"}
    context.answer = run(
        context, context.world.send_request("/notes/1", headers=headers)
    )


@when("a stream is taken up there")
def taken_up(context):
    take_up(context)


@when("the gateway has just woken up after {pause_s:g} s and one is taken up")
def woken_up(context, pause_s):
    context.world.state.ticked_s = boot_s() - pause_s
    take_up(context)


@when("the gateway has been without its peers for a minute and one is taken up")
def without_peers(context):
    state, now_s = context.world.state, boot_s()
    state.set_gateways({"g2": "127.0.0.1:1"}, 2, 2, now_s - 61.0)
    for second in range(60, -1, -1):
        state.set_gateways({}, 2, 2, now_s - second)
    take_up(context)


@then("it goes on")
def goes_on(context):
    assert context.answer.status == 200, context.answer


@then("it is refused with 503")
def refused(context):
    assert context.answer.status == 503, context.answer
