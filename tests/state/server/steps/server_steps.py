"""Steps of server.feature."""

from __future__ import annotations

import shutil
import socket
import tempfile
import threading
import time

from behave import given, then, when
from loguru import logger

from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.remote import connect
from tanagerturn.coordination.store import Status
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import settings_pb2
from tanagerturn.state.server import StateServer, start_state

WAIT_S = 20.0


def wait_until(is_done, what, limit_s=WAIT_S):
    deadline_s = time.monotonic() + limit_s
    while not is_done():
        assert time.monotonic() < deadline_s, f"{what} within {limit_s} s"
        time.sleep(0.02)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def start(context, number, cluster="c") -> StateServer:
    settings = settings_pb2.ProcessSettings(
        id=f"s{number}", cluster=cluster, site="x", availability_zone="z"
    )
    settings.state.CopyFrom(
        settings_pb2.StateProcess(
            data_folder=f"{context.folder}/{number}",
            election_timeout_ms=300,
            heartbeat_ms=60,
            snapshot_entries=10,
        )
    )
    settings.state.grpc.ip = "127.0.0.1"
    settings.state.grpc.port = context.ports[number]
    for other, port in enumerate(context.ports):
        settings.state_members.add(
            id=f"s{other}", address=f"127.0.0.1:{port}", spare=other > 2
        )
    ended = context.ended.append
    context.servers[number] = start_state(settings, ended, context.repair_s)
    return context.servers[number]


def close(context):
    context.client.close()
    for server in context.servers.values():
        server.stop(0)
    shutil.rmtree(context.folder)


def start_all(context, count, repair_s):
    logger.remove()
    context.folder = tempfile.mkdtemp()
    context.ports = free_ports(count)
    context.repair_s = repair_s
    context.servers = {}
    context.ended = []
    context.made = 0
    context.batches = []
    context.client = connect([f"127.0.0.1:{port}" for port in context.ports])
    context.closers.append(lambda: close(context))
    for number in range(count):
        start(context, number)
    ready = [context.servers[n] for n in range(3)]
    wait_until(lambda: all(server.ready() for server in ready), "readiness")


@given("three running members")
def three_members(context):
    start_all(context, 3, 30.0)


@given("three running members and a spare, with a repair after {repair:g} s")
def members_and_spare(context, repair):
    start_all(context, 4, repair)


def group_dump(server):
    return server.dump()["groups"][CONTROL_GROUP]


def leader(context) -> int:
    def leading():
        dumps = {n: group_dump(s) for n, s in context.servers.items() if s.groups}
        return [n for n, d in dumps.items() if d["role"] == "leader"]

    wait_until(leading, "a leader")
    return leading()[0]


def follower(context) -> int:
    leading = leader(context)
    return next(n for n in context.servers if n != leading and n < 3)


@given("a watch of all keys")
def watch_all(context):
    context.client.watch(CONTROL_GROUP, "key/", 0, context.batches.append)


def make_change(context):
    put = pb.Put(key=f"key/{context.made:04d}", value=b"v", expected_revision=0)
    command = pb.Command(transaction=pb.Transaction(puts=[put]))
    result = context.client.propose(CONTROL_GROUP, command, WAIT_S)
    assert result.is_ok(), result
    assert result.ok.status == Status.APPLIED, result
    context.made += 1


@when("{count:d} changes are made")
def make_changes(context, count):
    for _ in range(count):
        make_change(context)


@when("{count:d} changes are made while the leader is stopped and started again")
def changes_and_restart(context, count):
    stopped = leader(context)
    changing = threading.Thread(target=make_changes, args=(context, count))
    changing.start()
    context.servers[stopped].stop(2.0)
    start(context, stopped)
    changing.join()


@then("all members hold {count:d} keys")
@then("the remaining members hold {count:d} keys")
def hold_keys(context, count):
    for server in context.servers.values():
        wait_until(
            lambda s=server: s.groups and group_dump(s)["keys"] == count, "all keys"
        )


@then("the watch has seen each change once and in order")
def watch_whole(context):
    expected = [f"key/{n:04d}" for n in range(context.made)]

    def seen():
        keys = []
        for batch in list(context.batches):
            if batch.snapshot:
                keys = []
            keys += [event.entry.key for event in batch.events]
        return keys

    wait_until(lambda: len(seen()) >= len(expected), "all events")
    assert seen() == expected, seen()


@when("a watch begins at a revision that no member has reached")
def watch_ahead(context):
    ahead = context.made + 2
    context.client.watch(CONTROL_GROUP, "key/", ahead, context.batches.append)


@then("it gets nothing before that revision is passed")
def nothing_before(context):
    make_changes(context, 4)
    wait_until(lambda: context.batches, "a batch")
    revisions = [event.revision for b in context.batches for event in b.events]
    assert min(revisions) == 8, revisions
    assert not any(batch.snapshot for batch in context.batches)


def acquire(context, holder, name, duration):
    acquired = pb.LeaseAcquire(name=name, holder=holder, duration_ms=duration)
    command = pb.Command(lease_acquire=acquired)
    return context.client.propose(CONTROL_GROUP, command, WAIT_S).ok


@when('"{holder}" acquires the lease "{name}" for {duration:d} ms')
def acquires(context, holder, name, duration):
    context.first = acquire(context, holder, name, duration)
    assert context.first.status == Status.APPLIED


@then('"{holder}" gets the lease "{name}" with a larger number within {limit:g} s')
def gets_lease(context, holder, name, limit):
    def is_acquired():
        context.second = acquire(context, holder, name, 200)
        return context.second.status == Status.APPLIED

    wait_until(is_acquired, "the lease", limit)
    first, second = context.first.lease, context.second.lease
    assert second.fencing_number == first.fencing_number + 1


@then("a client that lets a lease lapse is refused")
def lapse_refused(context):
    command = pb.Command(lease_lapse=pb.LeaseLapse(name="x", fencing_number=2))
    result = context.client.propose(CONTROL_GROUP, command, WAIT_S)
    assert "only the leader" in str(result.error), result


@when("a follower comes back with an empty data folder")
def emptied(context):
    number = follower(context)
    context.servers[number].stop(0)
    shutil.rmtree(f"{context.folder}/{number}")
    start(context, number)


@then('it ends because "{reason}"')
def has_ended(context, reason):
    wait_until(lambda: context.ended, "the end")
    assert reason in str(context.ended[0]), context.ended


@when('a member of cluster "{cluster}" is added by hand')
def add_foreign(context, cluster):
    context.ports += free_ports(1)
    foreign = start(context, 3, cluster)
    member = pb.Member(id="s3", address=foreign.address)
    action = pb.MemberChangeRequest.ADD_LEARNER
    context.changed = context.client.change_member(
        CONTROL_GROUP, action, member, WAIT_S
    )


@then('the change is refused because "{reason}"')
def change_refused(context, reason):
    assert reason in str(context.changed.error), context.changed


@when("a follower is lost for good")
@when("a second follower is lost for good")
def lost(context):
    number = follower(context)
    context.servers.pop(number).stop(0)
    context.lost = f"s{number}"


@then("the spare is a voter and the lost member is none within {limit:g} s")
def is_repaired(context, limit):
    def is_done():
        members = group_dump(context.servers[leader(context)])["members"]
        spare = members.get("s3", {}).get("role")
        return spare == "VOTER" and context.lost not in members

    wait_until(is_done, "the repair", limit)


@then("the leader's dump names its role, members, peers and files")
def dump_names(context):
    dump = group_dump(context.servers[leader(context)])
    assert set(dump["members"]) == {"s0", "s1", "s2"}
    assert len(dump["peers"]) == 2
    assert dump["log_file_bytes"] > 0
    assert all(peer["mode"] == "replicate" for peer in dump["peers"].values())
