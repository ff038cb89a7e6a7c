"""Steps of handover.feature."""

from __future__ import annotations

import shutil
import signal
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from unittest import mock

import orjson
import urllib3
from behave import given, then, when

from support.environment import long_run
from support.gateway_programs import CONTROL_PORT, make_programs
from support.gateway_world import manifest
from support.handover_schedule import HandoverCluster, failures
from support.processes import wait_for
from tanagerturn.gateway.state_group import handover
from tanagerturn.state._repair import may_stop, next_membership_change

HOSTS = 4
"""Number of hosts with a disk: three voters and a spare."""

LONG_FACTOR = 20
GRACE_S = 8.0


@then(
    "in {count:d} seeded replacements the group keeps a majority and serves in the end"
)
def schedules_hold(context, count):
    found = failures(range(count * LONG_FACTOR if long_run() else count))
    assert not found, "\n".join(found)


@then("a leader that ignores draining voters makes a seeded replacement fail")
def ignoring_leader_found(context):
    def repairs(health, *rest):
        return next_membership_change(replace(health, draining=frozenset()), *rest)

    assert_found(lambda seed: HandoverCluster(seed, repairs))


@then("a stop that does not wait makes a seeded replacement fail")
def hasty_stop_found(context):
    class HastyCluster(HandoverCluster):
        def may_end(self, node):
            return True

    assert_found(HastyCluster)


@then(
    "a voter that leaves the leadership to a leader of before makes a seeded"
    " replacement fail"
)
def passive_voter_found(context):
    with mock.patch.object(handover, "must_take_leadership", return_value=False):
        assert_found(HandoverCluster)


def assert_found(make):
    assert any(failures([seed], make) for seed in range(100))


@given('voters "{voters}", of which "{lost}" are lost and "{draining}" drain')
@given('voters "{voters}", of which "" are lost and "{draining}" drain')
def some_voters(context, voters, draining, lost=""):
    context.voters = voters.split(",")
    context.lost = [each for each in lost.split(",") if each]
    context.draining = draining.split(",")


@when('"{member}" was told to stop {spare} spare')
def told_to_stop(context, member, spare):
    context.may_stop = may_stop(
        context.voters,
        member,
        3,
        context.lost,
        context.draining,
        has_spare=spare == "with a",
    )


@then('"a" may end')
def may_end(context):
    assert context.may_stop


@then('"a" has to stay')
def has_to_stay(context):
    assert not context.may_stop


@given("4 gateway processes with a disk, and 4 that join after a configuration")
def two_generations(context):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder, ignore_errors=True))
    context.http = urllib3.PoolManager(retries=False)
    programs = make_programs(folder, 2 * HOSTS, 0)
    context.log_paths += [program.log_path for program in programs]
    context.old, context.new = programs[:HOSTS], programs[HOSTS:]
    for program in context.old:
        start(context, program, is_first_start=True)
    wait_for(lambda: accepts(context, context.old[0], 1), "version 1 is accepted")
    for program in context.new:
        start(context, program, is_first_start=False)
    for program in programs:
        wait_for(lambda p=program: p.is_ready(context.http), "the gateway is ready")


def start(context, program, *, is_first_start):
    program.start(is_first_start=is_first_start)
    context.closers.append(program.kill)


def accepts(context, program, version):
    body = orjson.dumps(manifest(version=version))
    return control(context, program, "PUT", body).status == 200


def control(context, program, method, body=None):
    url = f"http://{program.ip}:{CONTROL_PORT}/v1/config"
    try:
        return context.http.request(method, url, body=body, timeout=2.0)
    except urllib3.exceptions.HTTPError:
        return urllib3.HTTPResponse(status=0)


@when("the first 4 get SIGTERM each after the one before has ended")
def stopped_in_turn(context):
    context.stop_times_s = [stop(program) for program in context.old]


@when("the first 4 get SIGTERM all at once")
def stopped_at_once(context):
    started_s = time.monotonic()
    for program in context.old:
        program.signal(signal.SIGTERM)
    context.stop_times_s = []
    for program in context.old:
        program.popen.wait(GRACE_S + 2)
        context.stop_times_s.append(time.monotonic() - started_s)


def stop(program):
    started_s = time.monotonic()
    program.signal(signal.SIGTERM)
    program.popen.wait(GRACE_S + 2)
    return time.monotonic() - started_s


@then("each exits with code 0 within its grace period")
def exited_in_time(context):
    assert [program.popen.returncode for program in context.old] == [0] * HOSTS
    assert max(context.stop_times_s) < GRACE_S, context.stop_times_s


@then("the configuration is read at the others, and the next one is accepted")
def still_served(context):
    for program in context.new:
        wait_for(lambda p=program: version_at(context, p) == 1, "version 1 is read")
    wait_for(lambda: accepts(context, context.new[0], 2), "version 2 is accepted")


def version_at(context, program):
    answer = control(context, program, "GET")
    return orjson.loads(answer.data)["version"] if answer.status == 200 else None
