"""Steps of founding.feature."""

from __future__ import annotations

import asyncio
import shutil
import signal
import time
from dataclasses import replace
from random import Random
from unittest import mock

import orjson
import urllib3
from behave import given, then, when

from support.gateway_programs import CONTROL_PORT, extract_build, make_programs
from support.gateway_world import gateway_settings, manifest
from support.host_disks import SLOW_SYNC_S, SYNC_S, make_data_folder
from support.processes import wait_for
from tanagerturn.coordination.founding.core import FoundingCore, FoundingOptions
from tanagerturn.coordination.founding.votes import Round, Vote
from tanagerturn.coordination.storage.files import DamageError, DiskFiles
from tanagerturn.gateway.state_group import opening
from tanagerturn.gateway.state_group.founding import (
    VOTE_FILE,
    GroupFounding,
    load_vote,
)
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import gateway_pb2 as gpb

EARLIER_BUILD = "7f5c039"
"""Last build whose hosts agree on one founder, with which the group begins alone."""

SYNC_RANGES = {"usual": SYNC_S, "slow": SLOW_SYNC_S}


def make_folder(context):
    folder = make_data_folder()
    context.closers.append(lambda: shutil.rmtree(folder, ignore_errors=True))
    return folder


@given("a host whose stored vote is damaged")
def damaged_vote(context):
    folder = make_folder(context)
    (folder / VOTE_FILE).write_bytes(b"[3,")
    context.files = DiskFiles(folder)


@then("it is not opened as a host without a group")
def not_opened(context):
    try:
        load_vote(context.files, has_group=False, is_first_start=True)
    except DamageError:
        return
    raise AssertionError("a damaged vote was taken for one")


@then("as a member of a group it is opened, and refuses each vote")
def refuses_votes(context):
    vote = load_vote(context.files, has_group=True, is_first_start=True)
    assert vote is None
    own = pb.Member(id="h1-x", address="h1:1")
    options = FoundingOptions("h1", own, (), 1, may_vote=False)
    core = FoundingCore(options, Vote(), Random(1))
    founding = GroupFounding(core, None, context.files, mock.Mock(), mock.Mock())
    current = gpb.FoundingRound(number=9, proposer="h2")
    for value in ("", "h2"):
        call = gpb.FoundingCall(round=current, value=value)
        answer = asyncio.run(founding.respond(call)).founding_vote
        assert not answer.granted
        assert not answer.value
    assert (context.files.folder / VOTE_FILE).read_bytes() == b"[3,"


@given("a host with an empty disk")
def empty_disk(context):
    context.files = DiskFiles(make_folder(context))


@then("it votes at the first start, and again after a restart")
def votes_at_first_start(context):
    for is_first_start in (True, False):
        vote = load_vote(context.files, has_group=False, is_first_start=is_first_start)
        assert vote == Vote()


@then("with another empty disk it does not vote at a later start")
def no_vote_later(context):
    files = DiskFiles(make_folder(context))
    assert load_vote(files, has_group=False, is_first_start=False) is None
    assert VOTE_FILE not in files.names("")


@given("a host that has voted, and whose identity file is damaged")
def damaged_identity(context):
    context.settings = replace(
        gateway_settings(make_folder(context)), is_first_start=True
    )
    folder = context.settings.data_folder / opening.STATE_FOLDER
    folder.mkdir(parents=True)
    (folder / VOTE_FILE).write_bytes(Vote(Round(4, "h2")).to_bytes()[:-2])


@then("it is opened with a new disk and without a vote")
def opened_without_vote(context):
    async def opened():
        loop = asyncio.get_running_loop()
        return opening.open_member(
            context.settings, mock.Mock(), loop, lambda batch: None
        )

    member = asyncio.run(opened())
    context.closers.append(member.folder.close)
    assert not member.founding.core.options.may_vote
    assert member.founding.part == gpb.FOUNDING_PART_NEW_DISK


def prepare_programs(context, sync_s=SYNC_S):
    folder = make_folder(context)
    context.http = urllib3.PoolManager(retries=False)
    context.programs = make_programs(folder, 4, 0)
    for program in context.programs:
        program.sync_s = sync_s
    context.undisturbed = list(context.programs)
    context.log_paths += [program.log_path for program in context.programs]


def start_programs(context):
    for program in context.programs:
        program.start()
        context.closers.append(program.kill)


def listen(context):
    wait_for(
        lambda: all(program.events("started") for program in context.programs),
        "all gateways listen",
    )


@given("4 gateway processes of which the first is frozen 1 s after their start")
def first_frozen(context):
    prepare_programs(context)
    for program in context.programs:
        # The first seed, which proposes first, is not the frozen host.
        program.seeds = [each.ip for each in context.programs[1:]]
    start_programs(context)
    listen(context)
    time.sleep(1.0)
    frozen = context.programs[0]
    frozen.signal(signal.SIGSTOP)
    context.closers.append(lambda: frozen.signal(signal.SIGCONT))


@when("it goes on {wait_s:g} s later")
def goes_on(context, wait_s):
    time.sleep(wait_s)
    context.programs[0].signal(signal.SIGCONT)
    time.sleep(2.0)


@given("4 gateway processes with {disks} disks")
def programs_with_disks(context, disks):
    prepare_programs(context, SYNC_RANGES[disks])


@when("they start, and the first is killed {at_s:g} s later")
def first_killed(context, at_s):
    start_programs(context)
    listen(context)
    time.sleep(at_s)
    context.programs[0].kill()
    context.undisturbed = context.programs[1:]


@given("4 gateway processes of which one is killed once it has founded the group")
def founder_killed(context):
    prepare_programs(context)
    start_programs(context)
    wait_for(lambda: founders(context), "a group is founded")
    killed = founders(context)[0]
    killed.kill()
    context.undisturbed = [p for p in context.programs if p is not killed]


@when("it starts again {after_s:g} s later, not for the first time")
def starts_again(context, after_s):
    time.sleep(after_s)
    context.programs[0].start(is_first_start=False)
    context.undisturbed = list(context.programs)


@given("4 gateway processes of which {numbers} run the earlier build")
def earlier_builds(context, numbers):
    prepare_programs(context)
    source = extract_build(EARLIER_BUILD, make_folder(context))
    for number in numbers.split(", "):
        program = context.programs[int(number) - 1]
        program.source = source
        program.script = source / "tanagerturn/platform/run.py"
    start_programs(context)


def founders(context):
    return [p for p in context.programs if p.events("group_founded")]


@then("a configuration is confirmed at the others within {limit_s:g} s")
@then("a configuration is confirmed at all within {limit_s:g} s")
def confirmed(context, limit_s):
    end_s = time.monotonic() + limit_s
    version, missing = 0, list(range(len(context.undisturbed)))
    while missing and time.monotonic() < end_s:
        version += 1
        if call(context, context.undisturbed[missing[0]], "PUT", version) == 200:
            missing.pop(0)
        time.sleep(0.05)
    assert not missing, missing


@then("one group has been founded, and a configuration is read at all")
def one_group_read(context):
    first = context.programs[1]
    wait_for(lambda: call(context, first, "PUT", 1) == 200, "one is accepted")
    for program in context.programs:
        wait_for(lambda p=program: call(context, p, "GET") == 200, "it is read")
    one_group(context)


@then("one group has been founded")
def one_group(context):
    """Check that all who found a group found it with the same members."""
    founded = [e for p in context.programs for e in p.events("group_founded")]
    # The earlier build states its own member only, since it founds the group alone.
    members = {e.get("members", e["member"]) for e in founded}
    assert len(members) == 1, members


def call(context, program, method, version=0):
    url = f"http://{program.ip}:{CONTROL_PORT}/v1/config"
    body = orjson.dumps(manifest(version=version)) if method == "PUT" else None
    try:
        return context.http.request(method, url, body=body, timeout=2.0).status
    except urllib3.exceptions.HTTPError:
        return 0
