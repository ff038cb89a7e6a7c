"""Steps of fuzz.feature about parsers and components without I/O."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path
from random import Random

import orjson
from behave import then
from google.protobuf import json_format
from hypothesis import given, settings
from hypothesis import strategies as st

from support.strategies import json_values, messages, mutated
from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.ids import ClusterId, GroupId, ProcessId
from tanagerturn.coordination.membership.codec import decode_datagram, encode_datagram
from tanagerturn.coordination.membership.config import MembershipConfig
from tanagerturn.coordination.membership.core import MembershipCore
from tanagerturn.coordination.storage.files import DiskFiles
from tanagerturn.coordination.storage.group import GroupStorage
from tanagerturn.coordination.store import Store
from tanagerturn.entry.sse import EventReader, MalformedEventError
from tanagerturn.replay.results import ResultError, read_results
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import membership_pb2 as mpb
from tanagerturn.schema.serving_pb2 import Announcement
from tanagerturn.settings import SettingsError, merge_sites, parse_process, read_folder
from tanagerturn.shared.announcements import parse_announcement
from tanagerturn.shared.problems import ProblemError

EXAMPLES = Path(__file__).parents[4] / "examples"
KEY = b"0123456789abcdef"


@then("a mutated settings file is read or refused as SettingsError")
def settings_files(context):
    files = read_folder(EXAMPLES / "inyenyeri")
    base = files["base"].encode()
    process = (EXAMPLES / "inyenyeri/processes/entry-1.yaml").read_bytes()

    @settings(max_examples=80)
    @given(mutated(base), mutated(process))
    def check(new_base, new_process):
        for read in (
            lambda: merge_sites(files | {"base": new_base.decode("utf-8", "replace")}),
            lambda: parse_process(new_process.decode("utf-8", "replace"), "p"),
        ):
            try:
                read()
            except SettingsError as error:
                assert error.faults

    check()


@then("an announcement is read or refused as ProblemError")
def announcements(context):
    @settings(max_examples=200)
    @given(messages(Announcement), st.data())
    def check(announcement, data):
        text = json_format.MessageToJson(announcement).encode()
        for body in (text, data.draw(mutated(text))):
            try:
                parse_announcement(body)
            except ProblemError as error:
                assert error.status == 400

    check()


@then("an engine's event is read or refused as malformed event")
def engine_events(context):
    @settings(max_examples=400)
    @given(json_values, st.binary(max_size=60))
    def check(value, random_bytes):
        for data in (b"data: " + orjson.dumps(value), random_bytes):
            try:
                for event in EventReader().feed(data + b"\n\n"):
                    assert isinstance(event.text, str)
                    assert event.offset is None or event.offset >= 0
                    assert event.tokens >= 0
                    assert event.attempt is None or isinstance(event.attempt, int)
                    assert event.usage is None or isinstance(event.usage, dict)
            except MalformedEventError:
                continue

    check()


@then("a forged datagram is read or refused as dropped")
def datagrams(context):
    packet = mpb.Packet(cluster="c", sender="p", ping=mpb.Ping(sequence=3))
    datagram_bytes = encode_datagram(packet, KEY)
    assert decode_datagram(datagram_bytes, KEY, "c").is_ok()

    @settings(max_examples=300)
    @given(mutated(datagram_bytes), st.binary(max_size=2000))
    def check(mutated_bytes, random_bytes):
        for datagram in (mutated_bytes, random_bytes):
            assert (
                datagram == datagram_bytes
                or decode_datagram(datagram, KEY, "c").is_error()
            )

    check()


@then("a mutated group folder is read or refused as StorageError")
def stored_files(context):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder))
    storage = GroupStorage(DiskFiles(folder / "good"), ClusterId("c"), GroupId("g"))
    member = pb.Member(id="m", address="127.0.0.1:1", role=pb.VOTER)
    storage.initialize(pb.Membership(members=[member]))
    for index in range(1, 8):
        entry = pb.Entry(index=index, term=1, command=b"x" * index)
        storage.write(pb.HardState(term=1), [entry])
    storage.close()
    paths = sorted(p for p in (folder / "good").rglob("*") if p.is_file())

    @settings(max_examples=150)
    @given(st.sampled_from(paths), st.data())
    def check(path, data):
        mutated_bytes = data.draw(mutated(path.read_bytes()))
        shutil.rmtree(folder / "bad", ignore_errors=True)
        shutil.copytree(folder / "good", folder / "bad")
        (folder / "bad" / path.relative_to(folder / "good")).write_bytes(mutated_bytes)
        try:
            found = GroupStorage(
                DiskFiles(folder / "bad"), ClusterId("c"), GroupId("g")
            )
            found.recover()
            found.close()
        except StorageError as error:
            assert error.step

    check()


@then("a mutated result file is read or refused as ResultError")
def result_files(context):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder))
    line = (
        b'{"type":"run","version":1,"tool":"1","trace":"t","trace_seed":1,"seed":1,'
        b'"label":"","target":"","speed":1.0,"from_ms":0,"to_ms":1}\n'
    )
    end = (
        b'{"type":"end","duration_ms":1.0,"cost":1.0,"lateness_p50_ms":1.0,'
        b'"lateness_p99_ms":1.0,"lateness_max_ms":1.0}\n'
    )

    @settings(max_examples=200)
    @given(mutated(line + end), st.sampled_from(["r.jsonl", "r.jsonl.gz"]))
    def check(data, name):
        (folder / name).write_bytes(data)
        try:
            read_results(folder / name)
        except ResultError as error:
            assert name in str(error)

    check()


@then("the store returns a result for every command and stays usable")
def any_command(context):
    store = Store()

    @settings(max_examples=300)
    @given(messages(pb.Command))
    def check(command):
        revision_before = store.revision
        result = store.apply(command)
        assert result.status != pb.CommandResult.STATUS_UNSPECIFIED
        assert revision_before <= store.revision <= revision_before + 1

    check()
    put = pb.Put(key="orderly", value=b"1")
    transaction = pb.Transaction(puts=[put])
    result = store.apply(pb.Command(transaction=transaction))
    assert result.status == pb.CommandResult.APPLIED


@then("the membership core handles every packet")
def any_packet(context):
    info = mpb.ProcessInfo(address="127.0.0.1:9", region="r")
    core = MembershipCore(ProcessId("me"), info, 1, MembershipConfig("c"), Random(1))
    context.now_ms = 0

    @settings(max_examples=300)
    @given(messages(mpb.Packet))
    def check(packet):
        context.now_ms += 50
        core.receive(packet, "127.0.0.1:8", context.now_ms)
        core.tick(context.now_ms)
        core.take_events()

    check()
    assert core.local_member.process == "me"
    core.dump(context.now_ms)
