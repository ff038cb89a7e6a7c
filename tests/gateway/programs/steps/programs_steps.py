"""Steps of programs.feature."""

from __future__ import annotations

import shutil
import signal
import socket
import tempfile
from dataclasses import replace
from pathlib import Path

import orjson
import urllib3
from behave import given, then, when

from support.gateway_programs import CONTROL_PORT, STOP_TIMEOUT_S, make_programs
from support.gateway_world import manifest
from support.processes import wait_for

RELOAD_LIMIT_S = 1.0
"""Time limit for the reload in seconds; below the 2 s interval of periodic reloads."""

OTHER_SEED = "127.0.0.9"


@given("3 gateway processes that accept a configuration")
def three_processes(context):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder, ignore_errors=True))
    context.http = urllib3.PoolManager(retries=False)
    for program in make_programs(folder, 3, 0):
        program.start()
        context.closers.append(program.kill)
        context.program = program

    def accepts():
        url = f"http://{context.program.ip}:{CONTROL_PORT}/v1/config"
        try:
            answer = context.http.request("PUT", url, body=orjson.dumps(manifest()))
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    wait_for(accepts, "a configuration is accepted")
    wait_for(lambda: context.program.is_ready(context.http), "the gateway is ready")


@given("a gateway process that is starting")
def starting(context):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder, ignore_errors=True))
    context.program = make_programs(folder, 1, 0)[0]
    context.program.start()
    context.closers.append(context.program.kill)


def survives_reload(program):
    """Return whether a process already ignores or handles SIGHUP."""
    status = Path(f"/proc/{program.popen.pid}/status").read_text(encoding="ascii")
    masks = [line.split()[1] for line in status.splitlines() if line[:3] == "Sig"]
    _, _, ignored, handled = (int(mask, 16) for mask in masks[-4:])
    return (ignored | handled) >> (signal.SIGHUP - 1) & 1


def listens(program):
    with socket.socket() as sock:
        return sock.connect_ex((program.ip, CONTROL_PORT)) == 0


@when("the process gets SIGHUP before it listens")
def early_reload(context):
    wait_for(lambda: survives_reload(context.program), "SIGHUP is handled")
    assert not listens(context.program)
    context.program.signal(signal.SIGHUP)


@then("the process still starts to listen")
def process_listens(context):
    wait_for(lambda: listens(context.program), "the process listens")
    assert context.program.alive()


@when("one settings file gets other seeds and its process gets SIGHUP")
def other_seeds(context):
    replace(context.program, seeds=[OTHER_SEED]).write_settings()
    context.program.signal(signal.SIGHUP)


@then("the process logs the new seeds and keeps serving")
def new_seeds_logged(context):
    def is_logged():
        lines = context.program.events("settings_reloaded")
        return [line for line in lines if line["seeds"] == OTHER_SEED]

    wait_for(is_logged, "the new seeds are logged", RELOAD_LIMIT_S)
    assert context.program.is_ready(context.http)


@when("that settings file is truncated and its process gets SIGHUP")
def settings_truncated(context):
    path = context.program.settings_path
    path.write_bytes(path.read_bytes()[:40])
    context.program.signal(signal.SIGHUP)


@then("the process logs the error and keeps serving with its settings")
def keeps_settings(context):
    def is_logged():
        return context.program.events("settings_not_reloaded")

    wait_for(is_logged, "the error is logged", RELOAD_LIMIT_S)
    assert context.program.is_ready(context.http)


@when("the process gets SIGTERM")
def gets_sigterm(context):
    context.program.signal(signal.SIGTERM)


@then("the process exits with code 0")
def exits_normally(context):
    assert context.program.popen.wait(STOP_TIMEOUT_S) == 0
