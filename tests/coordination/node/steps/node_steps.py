"""Steps of node.feature."""

from __future__ import annotations

import runpy
import tempfile
import time
from pathlib import Path
from random import Random

from behave import given, then, when

from support.faulty_client import FaultyClient
from tanagerturn.coordination.dissemination import tree
from tanagerturn.coordination.local import LocalStateClient
from tanagerturn.coordination.node import start_node
from tanagerturn.coordination.settings_history import SettingsHistory
from tanagerturn.schema import settings_pb2

EXAMPLE = Path(__file__).parents[4] / "examples" / "embedding" / "scheduler.py"
WAIT_LIMIT_S = 30


def accept(store, count):
    history = SettingsHistory(store, "control")
    for _ in range(count):
        n = history.current().ok.number
        files = {"base": f"number: {n + 1}"}
        assert history.apply(files, n, f"c{n}", "ana", "", 0, lambda _: []).is_ok()


def start(context, isolated=False):
    name = f"entry-{len(context.nodes)}"
    settings = settings_pb2.ProcessSettings(
        id=name, cluster="test", region="main", availability_zone="zone-0"
    )
    settings.relay.ip = settings.membership.listener.ip = "127.0.0.1"
    settings.membership.probe_interval_ms = 200
    settings.membership.suspicion_ms = 800
    settings.membership.key_file = str(context.key)
    settings.membership.seeds.extend(n.agent.address for n in context.nodes[:1])
    client = FaultyClient(context.store, Random(0), loss=0)
    client.isolated = isolated
    node = start_node(settings, client, "entry", lambda revision: None)
    context.nodes.append(node)
    context.closers.append(node.stop)
    return node


def wait_for(check, explain):
    end = time.monotonic() + WAIT_LIMIT_S
    while not check():
        assert time.monotonic() < end, explain()
        time.sleep(0.05)


@given("{count:d} nodes in one zone, with a relay tree from 2 processes on")
def nodes(context, count):
    limit = tree.MAX_PROCESSES_WITHOUT_TREE
    tree.MAX_PROCESSES_WITHOUT_TREE = 1
    folder = tempfile.TemporaryDirectory()
    context.closers += [
        folder.cleanup,
        lambda: setattr(tree, "MAX_PROCESSES_WITHOUT_TREE", limit),
    ]
    context.key = Path(folder.name) / "key"
    context.key.write_bytes(b"0123456789abcdef")
    context.store = LocalStateClient()
    accept(context.store, 3)
    context.nodes = []
    for _ in range(count):
        start(context)


@then("all nodes reach revision {number:d}")
def all_reach(context, number):
    def numbers() -> list[int]:
        return [node.watcher.follower.number for node in context.nodes]

    wait_for(lambda: set(numbers()) == {number}, numbers)


@then("{direct:d} nodes follow the state group and {others:d} follow a relay")
def upstream_counts(context, direct, others):
    def upstreams() -> list[str]:
        return [node.watcher.relay_address for node in context.nodes]

    wait_for(lambda: upstreams().count("") == direct, upstreams)
    assert len([u for u in upstreams() if u]) == others


@when("{count:d} changes are accepted")
def changes(context, count):
    accept(context.store, count)


@when("a node starts without access to the state group")
def start_isolated(context):
    start(context, isolated=True)


@then('the new node reaches revision {number:d} from "{source}"')
def new_node(context, number, source):
    node = context.nodes[-1]
    wait_for(lambda: node.watcher.follower.number == number, node.dump)
    assert node.dump()["settings"]["source"] == source, node.dump()["settings"]
    assert node.dump()["settings"]["reason"]
    node.watcher.client.isolated = False


@when("a relay stops without an announcement and {count:d} change is accepted")
def stop_relay(context, count):
    followed = {node.watcher.relay_address for node in context.nodes} - {""}
    relay = next(
        node
        for node in context.nodes
        if any(
            m.info.relay_address in followed and m.process == node.settings.id
            for m in node.members()
        )
    )
    relay.stop()
    context.nodes.remove(relay)
    context.closers.remove(relay.stop)
    accept(context.store, count)


@when("the embedding example runs")
def run_example(context):
    example = runpy.run_path(str(EXAMPLE))
    context.active = example["run"](LocalStateClient())


@then("a second worker continued after the first one stopped")
def second_worker(context):
    assert len(context.active) == len(set(context.active)) == 2, context.active
