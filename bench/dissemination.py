"""Measures the distribution of settings changes through relays to watchers.

usage: PYTHONPATH=src python bench/dissemination.py [--watchers 10,50,100,380]
           [--grpc]

All watchers run in one process. With --grpc they follow their relays over gRPC on the
loopback interface, by default by direct calls.
"""

from __future__ import annotations

import argparse
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import grpc
import psutil
from hdrh.histogram import HdrHistogram
from loguru import logger

from tanagerturn.coordination.dissemination.local_relays import LocalRelays
from tanagerturn.coordination.dissemination.relay_service import (
    GrpcRelays,
    RelayServicer,
)
from tanagerturn.coordination.dissemination.tree import Peer, parent_of
from tanagerturn.coordination.dissemination.watcher import SettingsWatcher
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.ids import ChangeId, ClusterId, ProcessId
from tanagerturn.coordination.local import LocalStateClient
from tanagerturn.coordination.settings_history import SettingsHistory
from tanagerturn.schema import dissemination_pb2_grpc as dpb_grpc

CHANGES: Final = 50
"""Settings changes of one measurement."""

CHANGES_PER_DAY: Final = 4400
"""Rate of changes for which bytes per second are printed."""

SECONDS_PER_DAY: Final = 86_400
FILES: Final = 8
"""Settings files of a revision."""

FILE_BYTES: Final = 2500
"""Approximate bytes of each file; a change replaces one line of one file."""

MICROSECONDS_PER_S: Final = 1e6
CLUSTER: Final = ClusterId("bench")
RELAY_SERVER_THREADS: Final = 64
"""Threads of a relay's server; each follower occupies one."""

APPLY_TIMEOUT_S: Final = 30
"""Seconds to wait until all watchers applied a revision."""


class WatcherTree:
    """Watchers in several availability zones, connected as the relay tree prescribes.

    Args:
        count: Number of watchers.
        over_grpc: Whether watchers follow their relays over gRPC.
    """

    def __init__(self, count: int, over_grpc: bool) -> None:
        self.client = LocalStateClient()
        self.history = SettingsHistory(self.client, CONTROL_GROUP)
        self.relays = LocalRelays()
        self.over_grpc = over_grpc
        self.servers: dict[str, tuple[grpc.Server, str]] = {}
        self.applied: list[float] = []
        self.applied_changed = threading.Condition()
        zones, regions = (4, 1) if count <= 100 else (7, 2)
        self.peers = [
            Peer(ProcessId(f"entry-{n}"), f"r-{n % zones % regions}",
                 f"z-{n % zones}", f"entry-{n}")
            for n in range(count)
        ]  # fmt: skip
        self.depths: dict[str, int] = {}
        self.apply_change(0)
        for peer in self.peers:
            self.start(peer)

    def start(self, peer: Peer) -> None:
        """Start a watcher and, before it, the relays that it depends on."""
        if peer.relay_address in self.relays.watchers:
            return
        parent = parent_of(peer.process, self.peers, frozenset(("r-0",)))
        if parent is not None:
            self.start(parent)
        calls = GrpcRelays(CLUSTER, peer.process, grpc.insecure_channel)
        watcher = SettingsWatcher(
            self.client,
            CONTROL_GROUP,
            lambda revision: self.record_applied(),
            calls if self.over_grpc else self.relays,
        )
        watcher.follow(self.address_of(parent) if parent else "")
        if watcher.start().is_error():
            raise RuntimeError(f"{peer.process}: the watcher received no settings")
        self.relays.watchers[peer.relay_address] = watcher
        parent_depth = self.depths[parent.process] if parent else 0
        self.depths[peer.process] = parent_depth + 1

    def record_applied(self) -> None:
        """Record the time at which a watcher applied a revision."""
        with self.applied_changed:
            self.applied.append(time.perf_counter())
            self.applied_changed.notify_all()

    def wait_applied(self, count: int) -> None:
        """Wait until a number of watchers applied the revision."""
        with self.applied_changed:
            if not self.applied_changed.wait_for(
                lambda: len(self.applied) >= count, APPLY_TIMEOUT_S
            ):
                raise RuntimeError(
                    f"timed out after {APPLY_TIMEOUT_S} s: {len(self.applied)} "
                    f"of {count} watchers applied the revision"
                )

    def address_of(self, peer: Peer) -> str:
        """Return the address of a relay; over gRPC, start its server on first use."""
        if not self.over_grpc:
            return peer.relay_address
        if peer.process not in self.servers:
            server = grpc.server(ThreadPoolExecutor(RELAY_SERVER_THREADS))
            watcher = self.relays.watchers[peer.relay_address]
            dpb_grpc.add_RelayServiceServicer_to_server(
                RelayServicer(CLUSTER, watcher), server
            )
            port = server.add_insecure_port("127.0.0.1:0")
            server.start()
            self.servers[peer.process] = (server, f"127.0.0.1:{port}")
        return self.servers[peer.process][1]

    def stop(self) -> None:
        """Stop all watchers and relay servers."""
        for watcher in self.relays.watchers.values():
            watcher.stop()
        for server, _ in self.servers.values():
            server.stop(None).wait()

    def apply_change(self, number: int) -> None:
        """Apply a settings change that replaces one line of one file.

        Args:
            number: Number of the change; also the settings revision that it expects.
        """
        files = {f"site/{n}": _content(n, number) for n in range(FILES)}
        accepted = self.history.apply(
            files, number, ChangeId(f"change-{number}"), "bench", "", 0, lambda _: []
        )
        if accepted.is_error():
            raise accepted.error


def _content(file: int, number: int) -> str:
    """Return the text of a file at a revision; one file changes at each revision."""
    changed = number - (number - file) % FILES
    lines = [f"line_{n}: value {n}\n" for n in range(FILE_BYTES // 20)]
    return f"changed: {changed}\n" + "".join(lines)


def measure(count: int, over_grpc: bool) -> None:
    """Measure one number of watchers and print its row."""
    tree = WatcherTree(count, over_grpc)
    tree.wait_applied(count)
    watchers = list(tree.relays.watchers.values())
    received = sum(w.bytes_received for w in watchers)
    messages = sum(w.messages_received for w in watchers)
    sent_before = {w: w.relay_hub.bytes_sent for w in watchers}
    times = HdrHistogram(1, 60_000_000, 3)
    for number in range(1, CHANGES + 1):
        tree.applied.clear()
        started = time.perf_counter()
        tree.apply_change(number)
        tree.wait_applied(count)
        for at_s in tree.applied:
            times.record_value(max(1, round((at_s - started) * MICROSECONDS_PER_S)))
    received = sum(w.bytes_received for w in watchers) - received
    messages = sum(w.messages_received for w in watchers) - messages
    busiest_bytes = (
        max(w.relay_hub.bytes_sent - sent_before[w] for w in watchers) / CHANGES
    )
    direct = sum(1 for w in watchers if not w.upstream)
    per_change = received / CHANGES / count
    rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    rss_mb = psutil.Process().memory_info().rss / 2**20
    print(
        f"watchers={count:3} direct={direct:2} depth={max(tree.depths.values())} "
        f"messages/change={messages / CHANGES / count:4.2f} "
        f"bytes/change={per_change:6.0f} busiest relay sends={busiest_bytes:7.0f} "
        f"at {CHANGES_PER_DAY}/day bytes/s in={per_change * rate:5.0f} "
        f"busiest relay out={busiest_bytes * rate:6.0f} "
        f"applied after ms p50={times.get_value_at_percentile(50) / 1000:6.1f} "
        f"max={times.get_max_value() / 1000:6.1f} "
        f"RSS={rss_mb:.0f} MiB",
        flush=True,
    )
    tree.stop()


def main() -> None:
    """Measure each number of watchers."""
    logger.remove()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--watchers", default="10,50,100,380")
    parser.add_argument("--grpc", action="store_true")
    options = parser.parse_args()
    for size in options.watchers.split(","):
        measure(int(size), options.grpc)


if __name__ == "__main__":
    main()
