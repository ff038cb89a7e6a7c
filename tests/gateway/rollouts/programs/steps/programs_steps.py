"""Steps of programs.feature: gateways as processes, without backend servers."""

from __future__ import annotations

import shutil
import tempfile
import time
from pathlib import Path

import orjson
import urllib3
from behave import given, then, when

from support.gateway_programs import (
    CONTROL_PORT,
    ROOT,
    SCRIPT,
    extract_build,
    make_programs,
)
from support.gateway_world import manifest
from support.processes import wait_for

PREVIOUS_RELEASE = "1e4afda"
"""Commit of the release that runs beside this one during an upgrade."""

END_MARGIN_S = 8.0
"""Time in seconds after a rollout's end in which its state is read."""


def call(context, name, method, path, body=b""):
    """Return status and body of a call at a gateway's control listener."""
    program = context.programs[name]
    url = f"http://{program.ip}:{CONTROL_PORT}{path}"
    try:
        answer = context.http.request(method, url, body=body, timeout=2.0)
    except urllib3.exceptions.HTTPError:
        return 0, b""
    return answer.status, answer.data


def order(context, name, target, duration_s):
    body = {"service": "desk", "target": target, "duration_s": duration_s}
    return call(context, name, "POST", "/v1/rollouts", orjson.dumps(body))[0]


def read(context, name):
    status, body = call(context, name, "GET", "/v1/rollouts/desk")
    return orjson.loads(body) if status == 200 else status


@given(
    "{count:d} gateway processes with rollouts, "
    "of which {old} runs the previous release"
)
def processes(context, count, old):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder, ignore_errors=True))
    context.http = urllib3.PoolManager(retries=False)
    programs = make_programs(folder, 3, count - 3)
    context.programs = {program.name: program for program in programs}
    for program in programs:
        program.contracts = "rollout"
        if program.name == old:
            # The script puts the folder of its own build first on Python's path.
            program.source = extract_build(PREVIOUS_RELEASE, folder)
            program.script = program.source / SCRIPT.relative_to(ROOT / "src")
        program.start()
        context.closers.append(program.kill)

    def accepts():
        document = orjson.dumps(manifest())
        return call(context, "h1", "PUT", "/v1/config", document)[0] == 200

    wait_for(accepts, "a configuration is accepted")
    for program in programs:
        wait_for(lambda p=program: p.is_ready(context.http), "the gateway is ready")


@when("{target} is ordered in {duration_s:d} s at {name} within {limit_s:d} s")
def ordered_within(context, target, duration_s, name, limit_s):
    end_s = time.monotonic() + limit_s
    while True:
        context.ordered_s, context.duration_s = time.monotonic(), duration_s
        context.status = order(context, name, target, duration_s)
        if context.status == 200 or time.monotonic() > end_s:
            return
        time.sleep(0.2)


@when("{target} is ordered in {duration_s:d} s at {name}")
def ordered(context, target, duration_s, name):
    context.status = order(context, name, target, duration_s)


@then("the answer is {status:d}, and there is no order")
def nothing_ordered(context, status):
    assert context.status == status, context.status
    assert read(context, "h2") == 404


@then("the answer is {status:d}")
def answer_is(context, status):
    assert context.status == status, context.status


@when("{name} is replaced by this release")
def replaced(context, name):
    program = context.programs[name]
    program.kill()
    program.source, program.script = None, SCRIPT
    program.start(is_first_start=False)
    wait_for(lambda: program.is_ready(context.http), "the gateway is ready")


@when("all processes are killed just then, with {lost} lost, and started again")
def all_killed(context, lost):
    assert context.status == 200, context.status
    for program in context.programs.values():
        program.popen.kill()
    for program in context.programs.values():
        program.kill()
    if lost != "no disk":
        program = context.programs[lost.split(" ")[-1]]
        shutil.rmtree(program.folder / program.name)
    for program in context.programs.values():
        program.start(is_first_start=False)


@then("each gateway reports within {limit_s:d} s that the rollout of v2 is active")
def reported(context, limit_s):
    end_s = time.monotonic() + limit_s
    expected = {"state": "active", "target": "v2"}
    for name in context.programs:
        while (found := read(context, name)) != expected:
            # It must be unsure until it is sure: 404 would mean that no order exists.
            assert found in (0, 503), found
            assert time.monotonic() < end_s, found
            time.sleep(0.2)


@then("a repeat of the order is answered with 200, and another order with 409")
def repeated(context):
    assert order(context, "h3", "v2", context.duration_s) == 200
    assert order(context, "h3", "v3", context.duration_s) == 409


@then(
    "without backend servers of v2 it is rolled back when {duration_s:d} s have passed"
)
def rolled_back(context, duration_s):
    end_s = context.ordered_s + duration_s
    while time.monotonic() < end_s + END_MARGIN_S:
        found = read(context, "h4")
        if found not in (0, 503) and found["state"] != "active":
            break
        time.sleep(0.2)
    assert found == {"state": "rolled_back", "target": "v2"}, found
    assert time.monotonic() > end_s - 2.0
