"""Steps of storage.feature."""

from __future__ import annotations

import tempfile
from pathlib import Path
from random import Random
from unittest import mock

from behave import given, then, when
from hypothesis import given as property_test
from hypothesis import settings
from hypothesis import strategies as st

from support.fake_disk import FakeDisk, Inode, SimulatedCrash
from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.storage import segments, snapshots
from tanagerturn.coordination.storage.files import (
    DamageError,
    DiskAppendFile,
    DiskFullError,
)
from tanagerturn.coordination.storage.folder import open_folder
from tanagerturn.coordination.storage.group import GroupStorage
from tanagerturn.coordination.store import Store
from tanagerturn.schema import coordination_pb2 as pb

FOLDER = "group-g"


def open_group(disk: FakeDisk) -> GroupStorage:
    return GroupStorage(disk, "c", "g")


def entries(start: int, count: int, term: int = 1, size: int = 40) -> list[pb.Entry]:
    indexes = range(start, start + count)
    return [pb.Entry(index=i, term=term, command=b"x" * size) for i in indexes]


def write_batches(disk: FakeDisk, count: int, size: int = 40) -> GroupStorage:
    storage = open_group(disk)
    for number in range(count):
        hard_state = pb.HardState(term=1, voted_for=f"m{number}")
        storage.write(hard_state, entries(number * 2 + 1, 2, size=size))
    return storage


def recovered(disk: FakeDisk) -> list[pb.Entry]:
    return open_group(disk).recover()[0].entries


def error_message(action) -> str:
    try:
        action()
    except StorageError as error:
        return str(error)
    return ""


@when("random batches are written with a crash at each sync boundary")
def crashes(context):
    context.problems = []

    @settings(max_examples=150)
    @property_test(
        seed=st.integers(0, 10**6),
        sizes=st.lists(st.integers(1, 1500), min_size=1, max_size=12),
        crash_after_boundaries=st.integers(1, 30),
    )
    def check(seed, sizes, crash_after_boundaries):
        problem = write_and_crash(FakeDisk(Random(seed)), sizes, crash_after_boundaries)
        context.problems += [problem] if problem else []

    with mock.patch.object(segments, "SEGMENT_LIMIT_BYTES", 4000):
        check()


def write_and_crash(
    disk: FakeDisk, sizes: list[int], crash_after_boundaries: int
) -> str:
    """Write, crash, recover, write and recover again.

    Returns:
        Description of the first wrong result; empty when there was none.
    """
    synced: list[pb.Entry] = []
    batch: list[pb.Entry] = []
    disk.crash_after_boundaries = crash_after_boundaries
    try:
        storage = open_group(disk)
        for size in sizes:
            batch = entries(len(synced) + 1, 2, size=size)
            storage.write(pb.HardState(term=len(synced) + 1), batch)
            synced += batch
            batch = []
    except SimulatedCrash:
        pass
    disk.crash()
    storage = open_group(disk)
    found = storage.recover()[0]
    if found.entries not in [(synced + batch)[:n] for n in range(len(synced), 100)]:
        return f"recovered {len(found.entries)} entries of {len(synced)} synced ones"
    if found.hard_state.term < max(0, len(synced) - 1):
        return "the recovered term is older than the synced term"
    more = entries(len(found.entries) + 1, 1)
    storage.write(None, more)
    disk.crash()
    return (
        ""
        if recovered(disk) == found.entries + more
        else "a batch written after the crash was lost"
    )


@then("each restart recovers all synced batches and at most a prefix of the next one")
def synced_recovered(context):
    assert not context.problems, context.problems[:3]


@when("each byte of a log with {count:d} synced batches is flipped in turn")
def flip_log(context, count):
    disk = FakeDisk(Random(1))
    write_batches(disk, count)
    written = recovered(disk)
    path = f"{FOLDER}/log-{1:020d}"
    data = bytes(disk.inodes[path].data)
    context.results = []
    for offset in range(len(data)):
        disk.inodes[path] = Inode(bytearray(flipped(data, offset)))
        message = error_message(
            lambda: context.results.append(recovered(disk) == written)
        )
        if message:
            is_clear = path in message and "offset" in message and "repair" in message
            context.results.append(is_clear)


def flipped(data: bytes, offset: int) -> bytes:
    return data[:offset] + bytes([data[offset] ^ 0x41]) + data[offset + 1 :]


@then("reading the log fails with path, offset and repair, or returns all entries")
@then("reading the snapshot fails with path, offset and repair")
def all_detected(context):
    wrong = [n for n, is_good in enumerate(context.results) if not is_good]
    assert context.results, "no byte was flipped"
    assert not wrong, f"{len(wrong)} flips not detected, first ones: {wrong[:5]}"


def sample_store() -> Store:
    store = Store()
    for number in range(20):
        put = pb.Put(key=f"key {number}", value=b"value")
        transaction = pb.Transaction(puts=[put])
        store.apply(pb.Command(change_id=str(number), transaction=transaction))
    return store


@when("each byte of a snapshot is flipped in turn")
def flip_snapshot(context):
    disk = FakeDisk(Random(1))
    storage = open_group(disk)
    image = sample_store().image()
    storage.snapshots.save(pb.SnapshotMeta(index=9, term=1), image.records())
    restored = storage.recover()[1]
    assert list(restored.image().records()) == list(image.records())
    context.results = []
    for path in [p for p in disk.inodes if "snapshot" in p]:
        data = bytes(disk.inodes[path].data)
        for offset in range(len(data)):
            disk.inodes[path] = Inode(bytearray(flipped(data, offset)))
            message = error_message(lambda: recovered(disk))
            is_clear = path in message and "offset" in message and "repair" in message
            context.results.append(is_clear)
        disk.inodes[path] = Inode(bytearray(data))


@given("a log with several segments")
def several_segments(context):
    context.disk = FakeDisk(Random(1))
    with mock.patch.object(segments, "SEGMENT_LIMIT_BYTES", 1000):
        context.storage = write_batches(context.disk, 12)
    context.files = [p for p in context.disk.inodes if "/log-" in p]
    assert len(context.files) > 3


@when("a segment in the middle is removed")
def remove_middle(context):
    context.disk.remove(context.files[1])
    context.opened = error_message(lambda: recovered(context.disk))


@then('opening fails with an error that contains "{reason}"')
def is_refused(context, reason):
    assert reason in context.opened, context.opened


@given("a log with {count:d} batches")
def log_with_batches(context, count):
    context.disk = FakeDisk(Random(1))
    context.storage = write_batches(context.disk, count)


@when("writing a batch fails because the disk is full")
def write_on_full_disk(context):
    context.disk.is_full = True
    context.batch = entries(7, 2, size=3000)
    for _ in range(3):
        try:
            context.storage.write(None, context.batch)
        except DiskFullError:
            continue
        raise AssertionError("the write succeeded on a full disk")


@then("writing the batch again succeeds once disk space is available")
def write_again(context):
    context.disk.is_full = False
    context.storage.write(None, context.batch)
    context.disk.crash()
    assert [e.index for e in recovered(context.disk)] == list(range(1, 9))


@given("a log with several segments, some of them removed after a snapshot")
def remove_after_snapshot(context):
    several_segments(context)
    context.disk.sync_folder("")
    meta = pb.SnapshotMeta(index=20, term=1)
    context.storage.snapshots.save(meta, sample_store().image().records())
    context.kept = recovered(context.disk)
    context.removed = dict(context.disk.inodes)
    context.storage.log.remove_up_to(20)


@when("each of the removed segments in turn reappears after a crash")
def segment_reappears(context):
    gone = [p for p in context.files if p not in context.disk.inodes]
    assert len(gone) > 2
    context.reopened = []
    for path in gone:
        context.disk.inodes[path] = context.removed[path]
        context.reopened.append(recovered(context.disk))
        del context.disk.inodes[path]


@then("the log opens with the same entries")
def same_entries(context):
    assert all(found == context.kept for found in context.reopened)


@given("a log whose entry 5 conflicts with a snapshot at index 5")
def conflicting(context):
    context.disk = FakeDisk(Random(1))
    storage = write_batches(context.disk, 4)
    meta = pb.SnapshotMeta(index=5, term=3)
    storage.snapshots.save(meta, sample_store().image().records())


@then("the log opens empty and keeps entries written afterwards")
def opens_empty(context):
    storage = open_group(context.disk)
    assert storage.recover()[0].entries == []
    storage.write(None, entries(6, 2, term=3))
    context.disk.crash()
    assert recovered(context.disk) == entries(6, 2, term=3)


@given('a data folder of member "{member}" in cluster "{cluster}"')
def data_folder(context, member, cluster):
    context.disk = FakeDisk(Random(1))
    context.folder = open_folder(context.disk, cluster, member, "i")


@when('the folder is opened by member "{member}" in cluster "{cluster}"')
def opened_by(context, member, cluster):
    context.folder.close()
    context.opened = error_message(lambda: open_folder(context.disk, cluster, member))


@when("the folder is opened while it is in use")
def opened_in_use(context):
    context.opened = error_message(lambda: open_folder(context.disk, "c", "a"))


@given('a "{file}" file of the next format version')
def next_format(context, file):
    disk = FakeDisk(Random(1))
    module = segments if file == "log" else snapshots
    with mock.patch.object(module, "FORMAT_VERSION", module.FORMAT_VERSION + 1):
        storage = write_batches(disk, 1)
        meta = pb.SnapshotMeta(index=1, term=1)
        storage.snapshots.save(meta, Store().image().records())
    context.opened = error_message(lambda: recovered(disk))
    assert not isinstance(context.opened, DamageError)


@given("a log file on disk with a header")
def real_file(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.path = Path(folder.name) / "log"
    context.path.write_bytes(b"header")
    context.file = DiskAppendFile(context.path)
    context.closers.append(context.file.close)


@given("a system that writes at the given offset regardless of write flags")
def ignore_write_flags(context):
    def write_at(descriptor, buffers, offset, flags=0):
        with context.path.open("r+b") as file:
            file.seek(offset)
            return file.write(b"".join(buffers))

    patch = mock.patch("os.pwritev", write_at)
    patch.start()
    context.closers.append(patch.stop)


@when("3 synced batches are appended")
def synced_batches(context):
    for batch in (b"-one", b"-two", b"-three"):
        context.file.write_synced(batch)


@then("the file holds the header and the batches in order")
def in_order(context):
    assert context.path.read_bytes() == b"header-one-two-three"
