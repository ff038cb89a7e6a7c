"""Steps of founding.feature."""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
import time
from pathlib import Path
from unittest import mock

import orjson
import urllib3
from behave import given, then, when

from support import founding_schedule
from support.environment import long_run
from support.founding_schedule import failures
from support.gateway_programs import CONTROL_PORT, make_programs
from support.gateway_world import manifest
from support.processes import wait_for
from tanagerturn.coordination.storage.files import DamageError, DiskFiles
from tanagerturn.gateway.state_group.founder import VOTE_FILE, FounderAgreement
from tanagerturn.gateway.state_group.founding import Round, Vote, decode_vote
from tanagerturn.schema import gateway_pb2 as gpb

LONG_FACTOR = 20
PLANTED_SEEDS = range(1000)


@then("in {count:d} seeded first starts exactly one host founds a group")
def one_founder(context, count):
    found = failures(range(count * LONG_FACTOR if long_run() else count))
    assert not found, "\n".join(found[:5])


@then("a host that founds as it is told makes a seeded first start fail")
def obedient_host_found(context):
    assert failures(PLANTED_SEEDS, agrees=False)


@then("a founder that needs only one vote makes a seeded first start fail")
def single_vote_found(context):
    with mock.patch.object(founding_schedule, "required_votes", return_value=1):
        assert failures(PLANTED_SEEDS)


@then("a proposer that ignores votes makes a seeded first start fail")
def ignoring_proposer_found(context):
    def propose_itself(host, votes):
        return host

    with mock.patch.object(founding_schedule, "founder_to_propose", propose_itself):
        assert failures(PLANTED_SEEDS)


@then("a stored vote is read back, and with any byte missing it is refused")
def vote_read_back(context):
    vote = Vote(Round(3, "h1"), Round(2, "h2"), "h2")
    stored = vote.to_bytes()
    assert decode_vote(stored) == vote
    for length in range(len(stored)):
        try:
            decode_vote(stored[:length])
        except ValueError:
            continue
        raise AssertionError(stored[:length])


@given("a host whose stored vote is damaged")
def damaged_vote(context):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder, ignore_errors=True))
    (folder / VOTE_FILE).write_bytes(b"[3,")
    context.files = DiskFiles(folder)


def agreement_of(context, *, has_group):
    return FounderAgreement("h1", "h1:1", 1, None, context.files, has_group=has_group)


@then("it is not opened as a host without a group")
def not_opened(context):
    try:
        agreement_of(context, has_group=False)
    except DamageError:
        return
    raise AssertionError("a damaged vote was taken for one")


@then("as a member of a group it is opened, and refuses each vote")
def refuses_votes(context):
    agreement = agreement_of(context, has_group=True)
    current = gpb.FoundingRound(number=9, proposer="h2")
    for founder in ("", "h2"):
        call = gpb.FoundingCall(round=current, founder=founder)
        vote = asyncio.run(agreement.serve(call))
        assert not vote.granted
        assert not vote.founder
    assert (context.files.folder / VOTE_FILE).read_bytes() == b"[3,"


@given("4 gateway processes of which the first is frozen 1 s after their start")
def first_frozen(context):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder, ignore_errors=True))
    context.http = urllib3.PoolManager(retries=False)
    context.programs = make_programs(folder, 4, 0)
    for program in context.programs:
        # The first seed, which gives the orders, is not the frozen host.
        program.seeds = [each.ip for each in context.programs[1:]]
        program.start()
        context.closers.append(program.kill)
    context.log_paths += [program.log_path for program in context.programs]
    wait_for(
        lambda: all(program.events("started") for program in context.programs),
        "all gateways listen",
    )
    time.sleep(1.0)
    frozen = context.programs[0]
    frozen.signal(signal.SIGSTOP)
    context.closers.append(lambda: frozen.signal(signal.SIGCONT))


@when("it goes on {wait_s:g} s later")
def goes_on(context, wait_s):
    time.sleep(wait_s)
    context.programs[0].signal(signal.SIGCONT)
    time.sleep(2.0)


@then("one process has founded a group, and a configuration is read at all")
def one_group(context):
    wait_for(lambda: call(context, 1, "PUT") == 200, "a configuration is accepted")
    for number in range(len(context.programs)):
        wait_for(lambda n=number: call(context, n, "GET") == 200, "it is read")
    founded = [p.name for p in context.programs if p.events("group_founded")]
    assert len(founded) == 1, founded


def call(context, number, method):
    url = f"http://{context.programs[number].ip}:{CONTROL_PORT}/v1/config"
    body = orjson.dumps(manifest(version=1)) if method == "PUT" else None
    try:
        return context.http.request(method, url, body=body, timeout=2.0).status
    except urllib3.exceptions.HTTPError:
        return 0
