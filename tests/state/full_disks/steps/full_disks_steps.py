"""Steps of full_disks.feature."""

from __future__ import annotations

import shutil
import socket
import threading
import time
from unittest import mock

from behave import given, then, when

from soak.faulty_gateway import FullDisk
from support.full_disk_files import FullDiskFiles
from support.host_disks import (
    SYNC_S,
    make_data_folder,
    simulate_syncs,
    stop_simulating,
)
from support.processes import wait_for
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.remote import connect
from tanagerturn.coordination.store import Status
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import settings_pb2
from tanagerturn.state import server as server_module
from tanagerturn.state.server import start_state

PAUSE_S = 0.3
CALL_TIMEOUT_S = 2.0


class FullAfterIdentity(FullDiskFiles):
    """Files on a disk that becomes full once the folder belongs to a member."""

    next_fullness = FullDisk.NO

    def rename(self, path: str, new_path: str) -> None:
        """Rename a file; the disk is full after that of the identity."""
        super().rename(path, new_path)
        if new_path == "identity.json":
            self.fullness = self.next_fullness


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def start_member(context, number):
    settings = settings_pb2.ProcessSettings(
        id=f"s{number}", cluster="c", site="x", availability_zone="z"
    )
    state = settings_pb2.StateProcess(
        data_folder=f"{context.folder}/{number}",
        election_timeout_ms=300,
        heartbeat_ms=60,
        snapshot_entries=10,
    )
    state.grpc.ip, state.grpc.port = "127.0.0.1", context.ports[number]
    settings.state.CopyFrom(state)
    for other, port in enumerate(context.ports):
        settings.state_members.add(id=f"s{other}", address=f"127.0.0.1:{port}")
    return start_state(settings, context.fatal_errors.append)


@given("three members, the last of which has a disk that becomes full for {calls}")
def three_members(context, calls):
    context.folder = make_data_folder()
    context.closers.append(lambda: shutil.rmtree(context.folder, ignore_errors=True))
    simulate_syncs(SYNC_S)
    context.closers.append(stop_simulating)
    context.ports = free_ports(3)
    context.fatal_errors = []
    context.confirmed = {}
    context.servers = []
    with mock.patch.object(server_module, "DiskFiles", FullAfterIdentity):
        for number in range(3):
            FullAfterIdentity.next_fullness = FullDisk[calls if number == 2 else "NO"]
            context.servers.append(start_member(context, number))
    for server in context.servers:
        context.closers.append(lambda s=server: s.stop(0))
    context.client = connect([f"127.0.0.1:{port}" for port in context.ports])
    context.closers.append(context.client.close)


def put(context, key):
    transaction = pb.Transaction(puts=[pb.Put(key=key, value=key.encode())])
    result = context.client.propose(
        CONTROL_GROUP,
        pb.Command(change_id=key, transaction=transaction),
        CALL_TIMEOUT_S,
    )
    if result.is_ok() and result.ok.status == Status.APPLIED:
        context.confirmed[key] = True
        return True
    return False


@when("its disk has room {after_s:g} s later")
def has_room(context, after_s):
    time.sleep(after_s)
    assert not context.servers[2].ready()
    context.servers[2].folder.files.fullness = FullDisk.NO


@then("all members are ready within {limit_s:g} s, and a change is confirmed")
def all_ready(context, limit_s):
    wait_for(
        lambda: all(server.ready() for server in context.servers), "readiness", limit_s
    )
    name = f"after {len(context.confirmed)}"
    wait_for(lambda: put(context, name), "a change", limit_s)
    assert not context.fatal_errors, context.fatal_errors


@when(
    "each disk in turn is full for {full_s:g} s in each way, with changes all the while"
)
def full_in_turn(context, full_s):
    stop = threading.Event()

    def change():
        number = 0
        while not stop.wait(0.02):
            number += 1
            put(context, f"change {number}")

    thread = threading.Thread(target=change)
    thread.start()
    for fullness in (FullDisk.WRITES, FullDisk.NEW_FILES, FullDisk.SYNCS):
        for server in context.servers:
            server.folder.files.fullness = fullness
            time.sleep(full_s)
            server.folder.files.fullness = FullDisk.NO
            time.sleep(PAUSE_S)
    stop.set()
    thread.join()


@then("no member has ended, and all hold each confirmed change")
def all_hold(context):
    assert not context.fatal_errors, context.fatal_errors
    assert len(context.confirmed) > len(context.servers)

    def held(server):
        dump = server.dump()["groups"][CONTROL_GROUP]
        return dump["keys"] >= len(context.confirmed)

    for server in context.servers:
        wait_for(lambda s=server: held(s), "all changes are held")
