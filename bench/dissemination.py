"""Fan-out of settings through relays to embedded watchers in one process.

usage: PYTHONPATH=src python bench/dissemination.py [--watchers 10,50,100,380]
           [--grpc]

With --grpc followers reach their relays over gRPC on loopback.
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
CHANGES_A_DAY: Final = 4400
DAY_S: Final = 86_400
FILES: Final = 8
FILE_BYTES: Final = 2500
"""Bytes of each of the files; a change replaces one line of one file."""

MICROSECOND: Final = 1e6
CLUSTER: Final = ClusterId("bench")
FOLLOWERS_LIMIT: Final = 64
WAIT_LIMIT_S: Final = 30


class Fleet:
    """Watchers in zones, each following what the tree gives it.

    Args:
        count: Number of watchers.
        over_grpc: Followers reach their relays over gRPC.
    """

    def __init__(self, count: int, over_grpc: bool) -> None:
        self.client = LocalStateClient()
        self.history = SettingsHistory(self.client, CONTROL_GROUP)
        self.relays = LocalRelays()
        self.over_grpc = over_grpc
        self.servers: dict[str, tuple[grpc.Server, str]] = {}
        self.applied: list[float] = []
        self.reached = threading.Condition()
        zones, regions = (4, 1) if count <= 100 else (7, 2)
        self.peers = [
            Peer(ProcessId(f"entry-{n}"), f"r-{n % zones % regions}",
                 f"z-{n % zones}", f"entry-{n}")
            for n in range(count)
        ]  # fmt: skip
        self.depths: dict[str, int] = {}
        self.change(0)
        for peer in self.peers:
            self.start(peer)

    def start(self, peer: Peer) -> None:
        """Start a watcher, after the one that it follows."""
        if peer.relay_address in self.relays.watchers:
            return
        parent = parent_of(peer.process, self.peers, frozenset(("r-0",)))
        if parent is not None:
            self.start(parent)
        calls = GrpcRelays(CLUSTER, peer.process, grpc.insecure_channel)
        watcher = SettingsWatcher(
            self.client,
            CONTROL_GROUP,
            lambda revision: self.note(),
            calls if self.over_grpc else self.relays,
        )
        watcher.follow(self.address_of(parent) if parent else "")
        if watcher.start().is_error():
            raise RuntimeError("no settings")
        self.relays.watchers[peer.relay_address] = watcher
        above = self.depths[parent.process] if parent else 0
        self.depths[peer.process] = above + 1

    def note(self) -> None:
        """Note that a watcher applied a revision."""
        with self.reached:
            self.applied.append(time.perf_counter())
            self.reached.notify_all()

    def wait(self, count: int) -> None:
        """Wait until so many watchers applied the revision."""
        with self.reached:
            if not self.reached.wait_for(
                lambda: len(self.applied) >= count, WAIT_LIMIT_S
            ):
                raise RuntimeError(f"{len(self.applied)} of {count} applied")

    def address_of(self, peer: Peer) -> str:
        """Return the address of a relay, which serves from now on."""
        if not self.over_grpc:
            return peer.relay_address
        if peer.process not in self.servers:
            server = grpc.server(ThreadPoolExecutor(FOLLOWERS_LIMIT))
            watcher = self.relays.watchers[peer.relay_address]
            dpb_grpc.add_RelayServiceServicer_to_server(
                RelayServicer(CLUSTER, watcher), server
            )
            port = server.add_insecure_port("127.0.0.1:0")
            server.start()
            self.servers[peer.process] = (server, f"127.0.0.1:{port}")
        return self.servers[peer.process][1]

    def stop(self) -> None:
        """End all watchers and relays."""
        for watcher in self.relays.watchers.values():
            watcher.stop()
        for server, _ in self.servers.values():
            server.stop(None).wait()

    def change(self, number: int) -> None:
        """Accept a change of one file."""
        files = {f"site/{n}": _content(n, number) for n in range(FILES)}
        accepted = self.history.apply(
            files, number, ChangeId(f"change-{number}"), "bench", "", 0, lambda _: []
        )
        if accepted.is_error():
            raise accepted.error


def _content(file: int, number: int) -> str:
    changed = number - (number - file) % FILES
    lines = [f"line_{n}: value {n}\n" for n in range(FILE_BYTES // 20)]
    return f"changed: {changed}\n" + "".join(lines)


def measure(count: int, over_grpc: bool) -> None:
    """Run one size and print its row."""
    fleet = Fleet(count, over_grpc)
    fleet.wait(count)
    watchers = list(fleet.relays.watchers.values())
    received = sum(w.bytes_received for w in watchers)
    messages = sum(w.messages_received for w in watchers)
    relayed = {w: w.hub.bytes_sent for w in watchers}
    times = HdrHistogram(1, 60_000_000, 3)
    for number in range(1, CHANGES + 1):
        fleet.applied.clear()
        started = time.perf_counter()
        fleet.change(number)
        fleet.wait(count)
        for at_s in fleet.applied:
            times.record_value(max(1, round((at_s - started) * MICROSECOND)))
    received = sum(w.bytes_received for w in watchers) - received
    messages = sum(w.messages_received for w in watchers) - messages
    sent = max(w.hub.bytes_sent - relayed[w] for w in watchers) / CHANGES
    direct = sum(1 for w in watchers if not w.upstream)
    per_change = received / CHANGES / count
    rate = CHANGES_A_DAY / DAY_S
    rss_mb = psutil.Process().memory_info().rss / 2**20
    print(
        f"watchers={count:3} direct={direct:2} depth={max(fleet.depths.values())} "
        f"messages/change={messages / CHANGES / count:4.2f} "
        f"bytes/change={per_change:6.0f} busiest relay sends={sent:7.0f} "
        f"at {CHANGES_A_DAY}/day bytes/s in={per_change * rate:5.0f} "
        f"busiest relay out={sent * rate:6.0f} "
        f"last applied ms p50={times.get_value_at_percentile(50) / 1000:6.1f} "
        f"max={times.get_max_value() / 1000:6.1f} "
        f"RSS={rss_mb:.0f} MiB",
        flush=True,
    )
    fleet.stop()


def main() -> None:
    """Print one row a size."""
    logger.remove()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--watchers", default="10,50,100,380")
    parser.add_argument("--grpc", action="store_true")
    options = parser.parse_args()
    for size in options.watchers.split(","):
        measure(int(size), options.grpc)


if __name__ == "__main__":
    main()
