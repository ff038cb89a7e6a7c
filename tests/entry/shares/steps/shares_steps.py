"""Steps of shares.feature."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from behave import given, then, when

from tanagerturn.control.server import start_control
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.local import LocalStateClient
from tanagerturn.coordination.settings_history import SettingsHistory
from tanagerturn.entry.server import start_entry
from tanagerturn.schema import coordination_pb2, settings_pb2
from tanagerturn.security import hash_key
from tanagerturn.shared.entry_keys import ENTRY_KEY_PREFIX

WAIT_LIMIT_S = 40


def wait_for(check, explain):
    deadline_s = time.monotonic() + WAIT_LIMIT_S
    while not check():
        assert time.monotonic() < deadline_s, explain()
        time.sleep(0.02)


def make_process_settings(context, name):
    settings = settings_pb2.ProcessSettings(
        id=name, cluster="test", site="kigali", region="main", availability_zone="a"
    )
    settings.operations.ip = settings.relay.ip = "127.0.0.1"
    settings.membership.listener.ip = "127.0.0.1"
    settings.membership.probe_interval_ms = 200
    settings.membership.suspicion_ms = 800
    settings.membership.key_file = str(context.key)
    settings.membership.seeds.extend(context.seeds)
    return settings


@given("a control process and {count:d} entry processes with membership")
def start_all(context, count):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.key = Path(folder.name) / "key"
    context.key.write_bytes(b"0123456789abcdef")
    context.state, context.seeds, context.entries = LocalStateClient(), [], []
    settings = make_process_settings(context, "control-1")
    settings.control.lease_ms, settings.control.period_ms = 4000, 50
    context.control = start_control(settings, context.state)
    context.control.shares.grant_ms = 4000
    context.closers.append(context.control.stop)
    context.seeds = [context.control.node.agent.address]
    for number in range(count):
        settings = make_process_settings(context, f"entry-{number}")
        settings.entry.callers.ip = settings.entry.announcements.ip = "127.0.0.1"
        settings.entry.threads = 8
        entry = start_entry(settings, context.state)
        context.closers.append(entry.stop)
        context.entries.append(entry)


@given('settings with the client account "{name}" at {rate:d} requests per second')
def apply_settings(context, name, rate):
    text = f"""
client_accounts:
- name: {name}
  key_hashes: ["{hash_key("secret")}"]
  limits:
    requests_per_s: {rate}
    concurrent_requests: 100
    tokens_per_s: 10000
"""
    files = {"base": text, "site/kigali": "{}"}
    history = SettingsHistory(context.state, CONTROL_GROUP)
    assert history.apply(files, 0, "c1", "ana", "", 0, lambda files: []).is_ok()
    wait_for(
        lambda: all(
            e.ready() and e.components.gate.host_count == len(context.entries)
            for e in context.entries
        ),
        lambda: "entry processes are not ready or do not know each other",
    )


def rate_of(entry):
    account_state = entry.components.gate.limiter.accounts["choir"]
    return account_state.allowance.requests_per_s


def charge_one(context):
    gate = context.entries[0].components.gate
    now_s = time.monotonic()
    if type(gate._charge("choir", now_s)).__name__ == "Within":
        with gate.lock:
            gate._finish("choir", 0, now_s)


@when('all requests of "{name}" come to one entry process')
def all_to_one(context, name):
    context.name = name


@then(
    "its share grows above {min_rate:d} requests per second and the other's stays at "
    "{max_rate:d} or less"
)
def share_grows(context, min_rate, max_rate):
    def grown() -> bool:
        for _ in range(4):
            charge_one(context)
        return rate_of(context.entries[0]) > min_rate

    wait_for(grown, lambda: [e.dump()["shares"] for e in context.entries])
    assert rate_of(context.entries[1]) <= max_rate


@when("the control process is stopped")
def control_gone(context):
    context.closers.remove(context.control.stop)
    context.control.stop()


@then("the share falls back to the safe share of {rate:d} requests per second")
def share_falls_back(context, rate):
    wait_for(
        lambda: abs(rate_of(context.entries[0]) - rate) < 1e-6,
        lambda: rate_of(context.entries[0]),
    )


@then("the dump of each entry process shows the members and its settings revision")
def dumps_show_members(context):
    for entry in context.entries:
        node = entry.dump()["node"]
        health = {m["process"]: m["health"] for m in node["membership"]["members"]}
        assert health["entry-0"] == health["entry-1"] == "alive", health
        assert health["control-1"] == "left", health
        assert node["settings"]["number"] == 1


@when("the entry process has not yet read the keys of the entry hosts")
def hosts_not_read(context):
    (entry,) = context.entries
    wait_for(entry.ready, lambda: entry.dump())
    entry.hosts.owners.clear()


@then("it is not ready")
def entry_not_ready(context):
    (entry,) = context.entries
    assert not entry.ready()


@when("it has read the keys of {count:d} entry hosts")
def hosts_read(context, count):
    (entry,) = context.entries
    batch = coordination_pb2.WatchBatch(snapshot=True)
    owners = {f"{ENTRY_KEY_PREFIX}{number}": "other" for number in range(count - 1)}
    for key, owner in {**owners, entry.hosts.key: entry.owner}.items():
        event = batch.events.add()
        event.entry.key, event.entry.value = key, owner.encode()
    entry.hosts._on_batch(batch)


@then("it is ready and divides the limits by {count:d}")
def entry_ready(context, count):
    (entry,) = context.entries
    assert entry.ready()
    assert entry.components.gate.host_count == count
