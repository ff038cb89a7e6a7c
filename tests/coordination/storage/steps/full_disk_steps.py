"""Steps of storage.feature that write on full disks."""

from __future__ import annotations

import errno
from itertools import product
from random import Random
from typing import TYPE_CHECKING, Final
from unittest import mock

from behave import then, when

from support.fake_disk import FakeDisk, Fullness
from tanagerturn.coordination.log.ready import ReceivedChunk
from tanagerturn.coordination.storage import segments
from tanagerturn.coordination.storage.files import DiskFullError
from tanagerturn.coordination.storage.folder import open_folder
from tanagerturn.coordination.storage.group import GroupStorage
from tanagerturn.coordination.store import Store
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable

ENTRIES: Final = [pb.Entry(index=n, term=1, command=b"x" * 900) for n in (1, 2, 3)]
TEMPORARY_IDENTITY: Final = "identity.json.temporary"
"""File of a few bytes, which the next attempt replaces."""

META: Final = pb.SnapshotMeta(index=9, term=2)


def open_group(disk: FakeDisk) -> GroupStorage:
    return GroupStorage(disk, "c", "g")


def holds_entries(disk: FakeDisk) -> bool:
    return open_group(disk).recover()[0].entries == ENTRIES


def holds_snapshot(disk: FakeDisk) -> bool:
    return open_group(disk).recover()[0].snapshot.index == META.index


def with_batch(disk: FakeDisk) -> GroupStorage:
    storage = open_group(disk)
    storage.write(None, ENTRIES[:2])
    return storage


def batch(disk: FakeDisk):
    storage = with_batch(disk)
    return lambda: storage.write(None, ENTRIES[2:]), holds_entries


def new_segment(disk: FakeDisk):
    storage = with_batch(disk)

    def write() -> None:
        with mock.patch.object(segments, "SEGMENT_LIMIT_BYTES", 1000):
            storage.write(None, ENTRIES[2:])

    return write, holds_entries


def snapshot(disk: FakeDisk):
    storage = with_batch(disk)
    records = list(Store().image().records())
    return lambda: storage.snapshots.save(META, records), holds_snapshot


def received(disk: FakeDisk) -> tuple[pb.SnapshotMeta, bytes]:
    other = FakeDisk(Random(0))
    meta = open_group(other).snapshots.save(META, Store().image().records())
    path = next(path for path in other.inodes if path.endswith(".data"))
    return meta, other.read(path)


def received_chunk(disk: FakeDisk):
    storage = with_batch(disk)
    meta, data = received(disk)
    chunk = ReceivedChunk(meta, 0, data, last=True)

    def is_loaded(_: FakeDisk) -> bool:
        return storage.snapshots.load_incoming(meta) is not None

    return lambda: storage.store_chunk(chunk), is_loaded


def received_snapshot(disk: FakeDisk):
    storage = with_batch(disk)
    meta, data = received(disk)
    chunk = ReceivedChunk(meta, 0, data, last=True)

    def install() -> None:
        was_full, disk.is_full = disk.is_full, False
        storage.store_chunk(chunk)
        disk.is_full = was_full
        storage.install(meta)

    return install, holds_snapshot


def initial_membership(disk: FakeDisk):
    membership = pb.Membership(members=[pb.Member(id="a")])

    def initialize() -> None:
        GroupStorage(disk, "c", "g").initialize(membership)

    def has_membership(disk: FakeDisk) -> bool:
        return open_group(disk).recover()[0].snapshot.membership == membership

    return initialize, has_membership


def identity(disk: FakeDisk):
    def open_it() -> None:
        open_folder(disk, "c", "a", "i").close()

    return open_it, lambda disk: disk.names("") == ["identity.json"]


WRITES: Final[dict[str, Callable]] = {
    "a batch": batch,
    "a batch in a new segment": new_segment,
    "a snapshot": snapshot,
    "a received chunk": received_chunk,
    "a received snapshot": received_snapshot,
    "an initial membership": initial_membership,
    "the identity of a folder": identity,
}


@when("{write} is tried 3 times on a disk that is full for each kind of call")
def tried(context, write):
    context.problems = []
    failed = 0
    for fullness, number, seed in product(
        Fullness, (errno.ENOSPC, errno.EDQUOT), range(5)
    ):
        disk = FakeDisk(Random(seed))
        action, is_done = WRITES[write](disk)
        kept = set(disk.inodes)
        disk.is_full, disk.fullness, disk.full_errno = True, fullness, number
        case = f"{write}, {fullness.name}, {errno.errorcode[number]}, seed {seed}"
        for _ in range(3):
            try:
                action()
            except DiskFullError:
                failed += 1
            except Exception as error:
                context.problems.append(f"{case}: {error!r}")
            else:
                break
            if set(disk.inodes) - kept - {TEMPORARY_IDENTITY}:
                context.problems.append(f"{case}: {set(disk.inodes) - kept} is left")
        disk.is_full = False
        action()
        if not is_done(disk):
            context.problems.append(f"{case}: not done")
    assert failed, "no write failed"


@then("it fails only as on a full disk, leaves no part of a file, and then succeeds")
def only_full(context):
    assert not context.problems, "\n".join(context.problems[:8])
