"""Steps of dissemination.feature."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from random import Random

import grpc
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from support.faulty_client import FaultyClient
from tanagerturn.coordination.dissemination.delta import apply_delta, make_delta
from tanagerturn.coordination.dissemination.local_relays import LocalRelays
from tanagerturn.coordination.dissemination.relay_service import (
    GrpcRelays,
    RelayServicer,
)
from tanagerturn.coordination.dissemination.tree import Peer, parent_of
from tanagerturn.coordination.dissemination.watcher import SettingsWatcher
from tanagerturn.coordination.local import LocalStateClient
from tanagerturn.coordination.settings_history import SettingsHistory
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import dissemination_pb2_grpc as dpb_grpc

GROUP = "control"
WAIT_LIMIT_S = 10


def accept(store: LocalStateClient, count: int) -> None:
    history = SettingsHistory(store, GROUP)
    for _ in range(count):
        n = history.current().ok.number
        files = {"base": "services: []", "site/kigali": f"number: {n + 1}"}
        changed = history.apply(files, n, f"c{n + 1}", "ana", "", 0, lambda _: [])
        assert changed.is_ok()


class Recorder:
    """A watcher with a simulated clock, and the revision numbers that it applied."""

    def __init__(self, store: LocalStateClient, **options: object) -> None:
        self.numbers: list[int] = []
        self.now = 0
        self.reached = threading.Condition()
        self.client = FaultyClient(store, Random(0), loss=0)
        self.watcher = SettingsWatcher(
            self.client, GROUP, self.record, clock=lambda: self.now, **options
        )

    def record(self, revision: pb.SettingsRevision) -> None:
        """Record an applied revision."""
        with self.reached:
            self.numbers.append(revision.number)
            self.reached.notify_all()


@given('revision {number:d} with files "{files}"')
def revision_with(context, number, files):
    pairs = sorted(pair.split("=") for pair in files.split())
    revision = pb.SettingsRevision(
        number=number, files=[pb.SettingsFile(name=n, content=c) for n, c in pairs]
    )
    context.revisions = {**getattr(context, "revisions", {}), number: revision}


@then(
    'the delta from 1 to 2 edits "{edited}" with "{text}", adds "{added}" and '
    'removes "{removed}"'
)
def delta_has(context, edited, text, added, removed):
    context.delta = make_delta(context.revisions[1], context.revisions[2])
    assert [(e.name, e.middle) for e in context.delta.edits] == [(edited, text)]
    assert [f.name for f in context.delta.changed] == added.split()
    assert list(context.delta.removed) == removed.split()


@then("each delta between random files results in the later files")
def random_deltas(context):
    content = st.text(st.sampled_from("ab\u00e9\n"), max_size=8)
    files = st.dictionaries(st.sampled_from(["base", "site/x", "site/y"]), content)

    def revision(number, contents):
        listed = [pb.SettingsFile(name=n, content=c) for n, c in contents.items()]
        listed.sort(key=lambda file: file.name)
        return pb.SettingsRevision(number=number, files=listed)

    @hypothesis_given(files, files)
    def check(before, after):
        first, second = revision(1, before), revision(2, after)
        assert apply_delta(first, make_delta(first, second)).ok == second
        empty = pb.SettingsRevision()
        assert apply_delta(empty, make_delta(None, second)).ok == second

    check()


@then("the delta applied to revision 1 gives revision 2")
def delta_applies(context):
    assert apply_delta(context.revisions[1], context.delta).ok == context.revisions[2]


@then("the delta applied to a different revision 1 is refused")
def delta_refused(context):
    other = pb.SettingsRevision(number=1, files=[pb.SettingsFile(name="base")])
    assert apply_delta(other, context.delta).is_error()


@given("a settings group with {count:d} changes")
def settings_group(context, count):
    context.store = LocalStateClient()
    accept(context.store, count)


@given("a state replica that is isolated from now on")
def isolated_replica(context):
    context.replica = LocalStateClient()
    accept(context.replica, 3)


@given('a relay "one" at revision {one:d} and a relay "two" at revision {two:d}')
def two_relays(context, one, two):
    context.relays = LocalRelays()
    for name, number in (("one", one), ("two", two)):
        store = LocalStateClient()
        accept(store, number)
        relay = Recorder(store).watcher
        assert relay.start().is_ok()
        context.relays.watchers[name] = relay


@when("a watcher starts")
def watcher_starts(context):
    context.recorder = Recorder(context.store)
    assert context.recorder.watcher.start().is_ok()


@when("a watcher starts without access to the state group")
def start_without_state_group(context):
    context.recorder = Recorder(
        context.store, relays=context.relays, peers=lambda: ["gone", "one", "two"]
    )
    context.recorder.client.isolated = True
    assert context.recorder.watcher.start().is_ok()


@when("the state group is reachable again at revision {number:d}")
def restore_state_group(context, number):
    context.recorder.watcher.stop()
    accept(context.store, number - 3)
    context.recorder.watcher.tick()
    context.recorder.client.isolated = False


@when("the watcher's watch is stopped")
def stop_watch(context):
    context.recorder.watcher.stop()


@when("the watcher's watch is restarted")
def restart_watch(context):
    context.recorder.watcher._watch()


@when("{count:d} changes are accepted")
def more_changes(context, count):
    accept(context.store, count)


@when("the watcher reads from the isolated replica and watches it")
def follow_replica(context):
    watcher = context.recorder.watcher
    context.recorder.client.inner = context.replica
    watcher._read_state()
    watcher.stop()
    watcher._watch()


@when("a peer announces revision {number:d}")
def announce_peer_revision(context, number):
    context.recorder.watcher.on_peer_number(number, "peer")


@then('the watcher applied the revisions "{numbers}"')
def applied(context, numbers):
    found = context.recorder.numbers
    assert found == [int(n) for n in numbers.split()], found


@then('the watcher applied the revisions "{numbers}" after {ms:d} ms and not before')
def applied_after(context, numbers, ms):
    recorder = context.recorder
    before = list(recorder.numbers)
    recorder.now = ms - 1
    recorder.watcher.tick()
    assert recorder.numbers == before
    recorder.now = ms
    recorder.watcher.tick()
    applied(context, numbers)


@then('its dump shows revision {number:d} from "{source}"')
def dump_shows(context, number, source):
    dump = context.recorder.watcher.dump()
    assert (dump["number"], dump["source"]) == (number, source), dump


@then('its dump shows the reason "{reason}"')
def dump_reason(context, reason):
    assert context.recorder.watcher.dump()["reason"] == reason


def peers(count: int, zones: int, regions: int) -> list[Peer]:
    return [
        Peer(f"entry-{n}", f"region-{n % zones % regions}", f"zone-{n % zones}", "ip:1")
        for n in range(count)
    ]


def parents(all_peers: list[Peer]) -> dict[str, Peer | None]:
    states = frozenset({"region-0"})
    return {p.process: parent_of(p.process, all_peers, states) for p in all_peers}


@then(
    "{count:d} processes in {zones:d} zones of {regions:d} regions form a tree with "
    "at most 32 direct followers"
)
def tree_shape(context, count, zones, regions):
    all_peers = peers(count, zones, regions)
    tree = parents(all_peers)
    peers_by_id = {p.process: p for p in all_peers}
    direct = [
        peers_by_id[process] for process, parent in tree.items() if parent is None
    ]
    assert len(direct) <= 32, len(direct)
    assert sum(p.region != "region-0" for p in direct) == 2
    children = [parent.process for parent in tree.values() if parent]
    assert max(children.count(c) for c in set(children)) <= 24
    for process in tree:
        depth, current = 0, peers_by_id[process]
        while tree[current.process] is not None:
            parent = tree[current.process]
            assert parent.region == current.region
            current, depth = parent, depth + 1
        assert depth <= 2


@then("in a tree of {count:d} processes all are direct followers")
def small_tree(context, count):
    assert set(parents(peers(count, 4, 1)).values()) == {None}


@then("a process that leaves changes the parents of at most 40 others")
def stable_tree(context):
    all_peers = peers(380, 7, 2)
    before = parents(all_peers)
    max_changed = 0
    for leaving_peer in all_peers[:60]:
        after = parents([p for p in all_peers if p != leaving_peer])
        max_changed = max(max_changed, sum(before[p] != after[p] for p in after))
    assert max_changed <= 40, max_changed


@given("a relay over gRPC")
def grpc_relay(context):
    relay = Recorder(context.store).watcher
    assert relay.start().is_ok()
    server = grpc.server(ThreadPoolExecutor(8))
    dpb_grpc.add_RelayServiceServicer_to_server(RelayServicer("test", relay), server)
    context.address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
    server.start()
    context.closers.append(lambda: server.stop(None).wait())


@when("a watcher follows the relay over gRPC")
def follow_grpc(context):
    relays = GrpcRelays("test", "entry-1", grpc.insecure_channel)
    context.recorder = Recorder(context.store, relays=relays)
    context.recorder.client.isolated = True
    context.recorder.watcher.follow(context.address)
    context.recorder.watcher.peers = lambda: [context.address]
    assert context.recorder.watcher.start().is_ok()
    context.closers.append(context.recorder.watcher.stop)


@then('the watcher reaches revision {number:d} from "{source}"')
def reaches(context, number, source):
    recorder = context.recorder
    with recorder.reached:
        assert recorder.reached.wait_for(
            lambda: recorder.numbers and recorder.numbers[-1] == number, WAIT_LIMIT_S
        )
    assert recorder.numbers == sorted(set(recorder.numbers))
    dump_shows(context, number, source)


@then("a follower of another cluster is refused")
def foreign_follower_refused(context):
    relays = GrpcRelays("other", "entry-1", grpc.insecure_channel)
    error = relays.fetch(context.address, 0, 5).error
    assert "PERMISSION_DENIED" in error.reason
