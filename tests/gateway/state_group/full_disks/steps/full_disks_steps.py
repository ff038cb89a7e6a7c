"""Steps of full_disks.feature."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import time
from pathlib import Path
from unittest import mock

from behave import given, then, when

from soak.faulty_gateway import REREAD_INTERVAL_S, FullDisk
from support.full_disk_files import FullDiskFiles
from support.full_disk_programs import FullDiskPrograms
from support.gateway_world import gateway_settings
from support.processes import START_TIMEOUT_S, wait_for
from tanagerturn.coordination.log.membership import Action
from tanagerturn.gateway.state_group import opening


def make_folder(context):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder, ignore_errors=True))
    return folder


@given("{count:d} gateway processes, of which {with_disk:d} have a disk")
def processes(context, count, with_disk):
    folder = make_folder(context)
    context.world = FullDiskPrograms(folder, with_disk, count - with_disk)
    context.closers.append(context.world.close)
    for program in context.world.programs:
        context.world.start(program)
    context.log_paths += [program.log_path for program in context.world.programs]


@when("a voter is lost, and the disk of the spare is full for {calls} as it is added")
def full_as_added(context, calls):
    world = context.world
    wait_for(
        lambda: sum(bool(p.events("group_founded")) for p in world.programs) == 3,
        "three first members have started",
    )
    assert world.put_until(world.programs[0], START_TIMEOUT_S)
    founders = [p for p in world.programs if p.events("group_founded")]
    (context.added,) = [p for p in world.programs if p not in founders]
    world.fill(context.added, FullDisk[calls])
    time.sleep(2 * REREAD_INTERVAL_S)
    context.lost = next(p for p in founders if p is not world.leader())
    context.lost.kill()
    wait_for(lambda: context.added.events("added_to_group"), "the spare is added")


@when("it has room {after_s:g} s later")
def room_later(context, after_s):
    time.sleep(after_s)
    context.world.fill(context.added, FullDisk.NO)


@then("the spare becomes a voter within {limit_s:g} s")
def spare_promoted(context, limit_s):
    def is_promoted():
        changes = [e for p in context.world.programs for e in p.events("member_change")]
        return any(
            e["action"] == Action.PROMOTE
            and e["outcome"] == "committed"
            and str(e["peer"]).startswith(f"{context.added.name}-")
            for e in changes
        )

    wait_for(is_promoted, "the spare is promoted", limit_s)


@then("a configuration is confirmed within {limit_s:g} s and read at all others")
def confirmed_at_others(context, limit_s):
    context.world.programs.remove(context.lost)
    confirmed(context, limit_s)


@when(
    "the disk of the second is full for {calls} until {after_s:g} s after the founding"
)
def full_at_founding(context, calls, after_s):
    world = context.world
    founder, full = world.programs[:2]
    wait_for(lambda: full.events("founding_state"), "the second has opened its disk")
    world.fill(full, FullDisk[calls])
    wait_for(lambda: founder.events("group_founded"), "the group is founded")
    time.sleep(after_s)
    world.fill(full, FullDisk.NO)


@then("within {limit_s:g} s the second has founded the group with the others")
def founded_with_others(context, limit_s):
    second = context.world.programs[1]
    wait_for(lambda: second.events("group_founded"), "the second starts", limit_s)
    events = [p.events("group_founded") for p in context.world.programs[:3]]
    members = {e[0]["members"] for e in events if e}
    assert all(events), events
    assert len(members) == 1, members


@then("a configuration is confirmed within {limit_s:g} s and read at all")
def confirmed(context, limit_s):
    world = context.world
    assert world.put_until(world.programs[-1], limit_s), "no change was confirmed"
    for program in world.programs:
        wait_for(
            lambda p=program: world.read(p) >= world.acknowledged_version,
            f"{program.name} reads it",
            limit_s,
        )
        assert program.alive(), program.name


@given("a host that was agreed on as the founder, with a disk full for {calls}")
def founder(context, calls):
    context.settings = gateway_settings(make_folder(context))
    context.fullness = FullDisk[calls]


@when("it founds the group, and its disk has room {after_s:g} s later")
def founds(context, after_s):
    context.after_s = after_s


@then("it leads a group within {limit_s:g} s")
def leads(context, limit_s):
    asyncio.run(found(context, limit_s))


async def found(context, limit_s):
    loop = asyncio.get_running_loop()
    with mock.patch.object(opening, "DiskFiles", FullDiskFiles):
        member = opening.open_member(
            context.settings, mock.Mock(), loop, lambda batch: None
        )
    member.folder.files.fullness = context.fullness
    context.starting = loop.create_task(member.start_with([member.member_record]))
    await asyncio.sleep(context.after_s)
    assert not member.is_in_group
    member.folder.files.fullness = FullDisk.NO
    async with asyncio.timeout(limit_s):
        while not member.committed_voters:
            member.tick()
            await asyncio.sleep(0.05)
    assert member.committed_voters == [member.id]
    member.actor.stop()


@when("the disk of the leader is full for {calls}")
def leader_full(context, calls):
    world = context.world
    assert world.put_until(world.programs[-1], START_TIMEOUT_S)
    wait_for(lambda: world.leader() is not None, "a gateway leads")
    context.full = world.leader()
    world.fill(context.full, FullDisk[calls])
    time.sleep(2 * REREAD_INTERVAL_S)


@then(
    "a configuration is confirmed at the same gateway within {limit_s:g} s, and again"
)
def confirmed_at_full(context, limit_s):
    for _ in range(2):
        assert context.world.put_until(context.full, limit_s), "no change was confirmed"
    assert context.world.leader() is not context.full


@when("that disk has room")
def has_room(context):
    context.world.fill(context.full, FullDisk.NO)


@when(
    "the disk of each is full for {full_s:g} s, each in another way, "
    "and {pause_s:g} s pass"
)
def full_in_turn(context, full_s, pause_s):
    world = context.world
    assert world.put_until(world.programs[-1], START_TIMEOUT_S)
    kinds = (FullDisk.WRITES, FullDisk.NEW_FILES, FullDisk.SYNCS)
    for full, fullness in zip(world.programs, kinds, strict=False):
        world.fill(full, fullness)
        end_s = time.monotonic() + full_s
        while time.monotonic() < end_s:
            for program in world.programs:
                world.put(program)
        world.fill(full, FullDisk.NO)
        time.sleep(pause_s)
