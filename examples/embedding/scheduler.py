"""Example: a job scheduler with one active worker, built on the coordination library.

Three workers in one process find each other over UDP, follow the settings, and
compete for a lease; the holder writes each tick with its fencing number. After a third
of the run the holder stops, and another worker acquires the lease.

usage: python examples/embedding/scheduler.py [--state IP:PORT,IP:PORT,IP:PORT]

Without --state, the replicated store is a local one in this process.
"""

from __future__ import annotations

import argparse
import secrets
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.ids import ChangeId, LeaseName, ProcessId
from tanagerturn.coordination.leases import LeaseKeeper, LeaseTerms, holder_id
from tanagerturn.coordination.local import LocalStateClient
from tanagerturn.coordination.node import start_node
from tanagerturn.coordination.remote import connect
from tanagerturn.coordination.settings_history import SettingsHistory
from tanagerturn.schema import coordination_pb2, settings_pb2

if TYPE_CHECKING:
    from tanagerturn.coordination.client import StateClient

LEASE_MS = 1500
"""Duration of the lease without a renewal."""

TICK_S = 0.1
"""Time between ticks."""

RUN_S = 6.0
"""Duration of the example."""

TICKS_KEY = "example/ticks"
"""Key of the replicated store that the active worker writes."""


def monotonic_ms() -> int:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class Worker:
    """A cluster member that follows the settings and competes for the lease.

    Args:
        name: Process id of the worker.
        client: Client of the replicated store.
        key_file: File with the cluster's key, which authenticates membership packets.
        seeds: Addresses and ports of members to join; empty for the first worker.
    """

    def __init__(
        self, name: str, client: StateClient, key_file: Path, seeds: list[str]
    ):
        settings = settings_pb2.ProcessSettings(
            id=name, cluster="example", region="main", availability_zone="a"
        )
        settings.membership.listener.ip = "127.0.0.1"
        settings.membership.probe_interval_ms = 200
        settings.membership.suspicion_ms = 800
        settings.membership.key_file = str(key_file)
        settings.membership.seeds.extend(seeds)
        self.name = name
        self.client = client
        self.revision = 0
        self.node = start_node(settings, client, "worker", self.on_revision)
        self.keeper = LeaseKeeper(
            client,
            CONTROL_GROUP,
            LeaseName("example"),
            holder_id(ProcessId(name), secrets.token_hex(4)),
            LeaseTerms(LEASE_MS),
            monotonic_ms,
        )

    def on_revision(self, revision: coordination_pb2.SettingsRevision) -> None:
        """Record the number of a newer settings revision."""
        self.revision = revision.number

    def tick(self) -> bool:
        """Write a tick if this worker holds the lease; return whether it did."""
        if not self.keeper.step():
            return False
        value = f"{self.name} as {self.keeper.fencing_number}".encode()
        put = coordination_pb2.Put(key=TICKS_KEY, value=value)
        transaction = coordination_pb2.Transaction(
            puts=[put], fences=[self.keeper.fence()]
        )
        command = coordination_pb2.Command(transaction=transaction)
        written = self.client.propose(CONTROL_GROUP, command, 1.0)
        applied = coordination_pb2.CommandResult.APPLIED
        return written.is_ok() and written.ok.status == applied


def change_settings(client: StateClient) -> None:
    """Apply a settings change, as any worker or operator can."""
    history = SettingsHistory(client, CONTROL_GROUP)
    number = history.current().ok.number
    changed = history.apply(
        {"base": f"interval_ms: {100 + number}\n"},
        number,
        ChangeId(secrets.token_hex(8)),
        "example",
        "another interval",
        time.time_ns() // 1_000_000,
        lambda files: [],
    )
    print(f"settings revision {changed.ok.number} was accepted")


def run(client: StateClient) -> list[str]:
    """Run the workers; return the names of the active ones in order of takeover."""
    with tempfile.TemporaryDirectory() as folder:
        key_file = Path(folder) / "key"
        key_file.write_bytes(secrets.token_bytes(32))
        workers = [Worker("worker-1", client, key_file, [])]
        seeds = [workers[0].node.agent.address]
        workers += [Worker(f"worker-{n}", client, key_file, seeds) for n in (2, 3)]
        change_settings(client)
        active: list[str] = []
        started_s = time.monotonic()
        holder_stopped = False
        while time.monotonic() - started_s < RUN_S:
            for worker in workers:
                if worker.tick() and active[-1:] != [worker.name]:
                    active.append(worker.name)
                    print(f"{worker.name} is active")
            if (
                active
                and not holder_stopped
                and time.monotonic() - started_s > RUN_S / 3
            ):
                holder_stopped = True
                holder = next(w for w in workers if w.name == active[-1])
                workers.remove(holder)
                holder.node.stop()
                # A local store has no leader that expires leases.
                holder.keeper.release()
                print(f"{holder.name} has stopped")
            time.sleep(TICK_S)
        for worker in workers:
            alive = [m.process for m in worker.node.present_members()]
            print(f"{worker.name}: revision {worker.revision}, alive members {alive}")
            worker.node.stop()
    return active


def main() -> None:
    """Run the example with a replicated or a local store."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--state",
        default="",
        help="IP addresses and ports of the state members, separated by commas.",
    )
    addresses = [a for a in parser.parse_args().state.split(",") if a]
    run(connect(addresses) if addresses else LocalStateClient())


if __name__ == "__main__":
    main()
