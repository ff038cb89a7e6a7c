"""Measures how the cost of each part grows with its size, for docs/CAPACITY.md.

Run: PYTHONPATH=src:tests python bench/capacity.py [--out FILE] [PART ...]
Parts: announcements, view, routing, membership, settings, store, voter, control,
relays. Each is measured at several sizes. The result file holds the measured points
and the lines fitted through them; a part that is not named keeps its last result.
"""

from __future__ import annotations

import argparse
import gc
import random
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import decisions_speed
import numpy as np
import orjson
import psutil
from dissemination import WatcherTree
from google.protobuf import json_format
from loguru import logger
from state_cluster import start_cluster

from support.membership_network import Network
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.membership.codec import decode_datagram, encode_datagram
from tanagerturn.coordination.membership.config import MembershipConfig
from tanagerturn.coordination.store import Store
from tanagerturn.schema import coordination_pb2, serving_pb2
from tanagerturn.serving.backends.view import make_backend_view
from tanagerturn.serving.capacity.messages import HeldHost, HostState, ServiceNeed
from tanagerturn.serving.capacity.plan import CapacityPlanner
from tanagerturn.serving.routing.choose import choose
from tanagerturn.serving.routing.messages import RouteRequest
from tanagerturn.settings import merge_sites
from tanagerturn.shared.announcements import parse_announcement

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_RESULT_FILE = (
    Path(__file__).parents[1] / "docs" / "measurements" / "data" / "capacity.json"
)
"""Result file that is updated without --out."""

NOW_MS = 1_790_000_000_000
"""Current time of the views and announcements, in ms since the Unix epoch."""

ZONES_BY_REGION = {"west": ["a", "b", "c", "d"], "east": ["e", "f", "g"]}
"""Availability zones by region."""

COMMIT_WINDOW_S = 6.0
"""Seconds for which each commit rate is held."""

COMMIT_THREADS = 16
"""Threads that commit concurrently."""

SETTINGS_CHANGES = 10
"""Settings changes of which the bytes and the CPU time are averaged."""


def make_announcement(number: int, sequence: int) -> serving_pb2.Announcement:
    """Return an announcement of an engine under typical load.

    Args:
        number: Number of the engine; sets its id, address and availability zone.
        sequence: Sequence number of the announcement and of its cache event.
    """
    blocks = [
        f"{random.Random(number * 1000 + i).getrandbits(64):016x}" for i in range(4)
    ]
    return serving_pb2.Announcement(
        id=f"engine-{number}",
        address=f"127.0.{number // 250}.{number % 250 + 1}:8000",
        incarnation="i1",
        sequence=sequence,
        services=["drafts"],
        models=[
            serving_pb2.LoadedModel(model="writer", version="1", ready=True),
        ],
        role=serving_pb2.BOTH,
        availability_zone="abcdefg"[number % 7],
        host_class="standard",
        reclaimable=number % 100 < 61,
        price_per_hour=1.2,
        checks_fencing=True,
        load=serving_pb2.LoadReport(
            running=8 + number % 5, kv_used=0.4, tokens_per_s=1276, read_at_ms=NOW_MS
        ),
        cache_events=[
            serving_pb2.CacheEvent(
                sequence=sequence, action=serving_pb2.CacheEvent.STORED, blocks=blocks
            )
        ],
        slots=32,
        kv_tokens=65536,
        heartbeat_ms=1000,
    )


def mean_cpu_us(action: Callable[[], object], calls: int) -> float:
    """Return the mean CPU time of a call in microseconds, after one warm-up call."""
    action()
    started = time.process_time()
    for _ in range(calls):
        action()
    return (time.process_time() - started) / calls * 1e6


def rss_mib() -> float:
    """Return the resident memory of this process in MiB."""
    gc.collect()
    return psutil.Process().memory_info().rss / 2**20


def make_filled_view(engines: int):
    """Return a backend view that holds the given number of engines."""
    view = make_backend_view()
    for number in range(engines):
        accepted = view.on_announcement(make_announcement(number, 1), NOW_MS)
        assert accepted.is_ok(), accepted
    return view


def measure_announcements() -> dict[str, Any]:
    """Measure CPU time and size of an announcement at an entry process, by engines."""
    points = []
    for engines in (10, 50, 200, 760):
        view = make_filled_view(engines)
        bodies = [
            json_format.MessageToJson(make_announcement(n, 2), indent=None).encode()
            for n in range(engines)
        ]
        started = time.process_time()
        for body in bodies:
            view.on_announcement(parse_announcement(body), NOW_MS + 1)
        mean_us = (time.process_time() - started) / engines * 1e6
        size = float(np.mean([len(body) for body in bodies]))
        points.append({"engines": engines, "cpu_us": mean_us, "bytes": size})
    return {"points": points}


def measure_view() -> dict[str, Any]:
    """Measure the memory of a backend view, by engines."""
    points = []
    for engines in (100, 400, 1600):
        before = rss_mib()
        view = make_filled_view(engines)
        points.append({"engines": engines, "mb": rss_mib() - before})
        del view
    return {"points": points}


def measure_routing() -> dict[str, Any]:
    """Measure the CPU time of one routing decision, by engines."""
    points = []
    for engines in (10, 50, 200, 760):
        view = make_filled_view(engines)
        chooser = random.Random(1)
        request = RouteRequest(
            service="drafts",
            model="writer",
            deadline_ms=NOW_MS + 60_000,
            prompt_tokens=2000,
            output_tokens=300,
        )

        def decide() -> None:
            decision = choose(view, request, NOW_MS + 1, chooser)  # noqa: B023
            assert decision.is_ok()

        points.append({"engines": engines, "cpu_us": mean_cpu_us(decide, 300)})
    return {"points": points}


def measure_membership() -> dict[str, Any]:
    """Measure bytes, CPU time and memory of membership, by processes."""
    points = []
    for processes in (10, 50, 100, 200):
        before = rss_mib()
        network = Network(3, ZONES_BY_REGION, MembershipConfig("capacity"))
        network.start(processes)
        network.know_all()
        network.run(20_000)
        memory = (rss_mib() - before) / processes
        network.measure = True
        packets, window_start_s = network.packets, network.now // 1000
        started = time.process_time()
        network.run(60_000)
        spent_cpu_s = time.process_time() - started
        sent = network.packets - packets
        by_node = [
            sum(n for at, n in node.bytes_at.items() if at >= window_start_s) / 60
            for node in network.nodes.values()
        ]
        points.append(
            {
                "processes": processes,
                "bytes_per_s_mean": float(np.mean(by_node)),
                "bytes_per_s_max": float(np.max(by_node)),
                "packets_per_s": sent / 60 / processes,
                "cpu_us_per_s": spent_cpu_s / 60 / processes * 1e6,
                "mb": memory,
            }
        )
    network.measure = True
    return {"points": points, "seal_us": measure_packet_codec()}


def measure_packet_codec() -> float:
    """Return the CPU time to encode and decode an authenticated packet, in us."""
    network = Network(3, ZONES_BY_REGION, MembershipConfig("capacity"))
    network.start(20)
    network.run(3000)
    core = next(iter(network.nodes.values())).core
    packets = [d.packet for at in range(20) for d in core.tick(4000 + at * 500)]
    packet = max(packets, key=lambda p: p.ByteSize())

    def encode_and_decode() -> None:
        decode_datagram(encode_datagram(packet, b"k" * 16), b"k" * 16, "capacity")

    return mean_cpu_us(encode_and_decode, 2000)


def measure_settings() -> dict[str, Any]:
    """Measure the CPU time to merge and validate settings, by services."""
    points = []
    for services in (2, 8, 32, 128):
        entries = "".join(
            f"- name: s{n}\n  type: model\n  models:\n  - model: m{n}\n"
            f'    version: "1"\n'
            for n in range(services)
        )
        files = {
            "base": "services:\n" + entries,
            "site/x": "services:\n- name: s0\n  deadline_ms: 1000\n",
        }
        size = sum(len(text) for text in files.values())
        points.append(
            {
                "services": services,
                "bytes": size,
                "cpu_us": mean_cpu_us(lambda: merge_sites(files), 5),  # noqa: B023
            }
        )
    return {"points": points}


def measure_store() -> dict[str, Any]:
    """Measure CPU time and memory of request records in the store, by records."""
    points = []
    for records in (1000, 5000, 20000):
        before = rss_mib()
        store = Store()
        started = time.process_time()
        for number in range(records):
            put_record(store, number)
        mean_us = (time.process_time() - started) / records * 1e6
        points.append({"records": records, "cpu_us": mean_us, "mb": rss_mib() - before})
        del store
    return {"points": points}


def put_record(store: Store, number: int) -> None:
    """Write a request record of typical size, as entry processes do."""
    record = serving_pb2.RequestRecord(
        client_account="families-app",
        idempotency_key=f"order-{number}",
        request_id=f"{number:032x}",
        state=serving_pb2.ANSWERED,
        answer=serving_pb2.Answer(status=200, body=b"x" * 200),
    )
    put = coordination_pb2.Put(
        key=f"request/families-app/order-{number}", value=record.SerializeToString()
    )
    transaction = coordination_pb2.Transaction(puts=[put])
    store.apply(coordination_pb2.Command(transaction=transaction))


def measure_voter() -> dict[str, Any]:
    """Measure the CPU time of the leader and of a follower, by commits per second."""
    cluster = start_cluster()
    points = []
    try:
        leader = cluster.leader()
        follower = next(n for n in cluster.processes if n != leader)
        for rate in (50, 150, 300):
            cpu_before_s = {n: cluster.cpu_s(n) for n in (leader, follower)}
            reached_rate = commit_at_rate(cluster, rate)
            points.append(
                {
                    "commits_per_s": reached_rate,
                    "leader_us_per_s": (cluster.cpu_s(leader) - cpu_before_s[leader])
                    / COMMIT_WINDOW_S
                    * 1e6,
                    "follower_us_per_s": (
                        cluster.cpu_s(follower) - cpu_before_s[follower]
                    )
                    / COMMIT_WINDOW_S
                    * 1e6,
                    "rss_mb": cluster.rss_mib(leader),
                }
            )
    finally:
        cluster.close()
    return {"points": points}


def commit_at_rate(cluster, rate: int) -> float:
    """Commit at a fixed rate from several threads; return the commits per second.

    Args:
        cluster: State members that commit.
        rate: Commits per second to start.
    """
    started_s = time.monotonic()
    committed = [0] * COMMIT_THREADS

    def call(caller: int) -> None:
        number = caller
        while True:
            due_s = started_s + number / rate
            if due_s - started_s > COMMIT_WINDOW_S:
                return
            time.sleep(max(0.0, due_s - time.monotonic()))
            put = coordination_pb2.Put(key=f"request/{number % 500}", value=b"x" * 400)
            transaction = coordination_pb2.Transaction(puts=[put])
            command = coordination_pb2.Command(transaction=transaction)
            committed[caller] += cluster.client.propose(
                CONTROL_GROUP, command, 5.0
            ).is_ok()
            number += COMMIT_THREADS

    threads = [
        threading.Thread(target=call, args=(caller,))
        for caller in range(COMMIT_THREADS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(committed) / COMMIT_WINDOW_S


def measure_control() -> dict[str, Any]:
    """Measure the CPU time of one capacity plan, by hosts held."""
    points = []
    offers = decisions_speed.offers()
    for hosts in (5, 20, 80, 160):
        held = [
            HeldHost(f"h{i}", offers[2 * (i % 4)].key, HostState.READY, 0, 0.4, 8)
            for i in range(hosts)
        ]
        need = ServiceNeed("s", hosts * 6.0, hosts * 5.0, max_hosts=2 * hosts)
        planner = CapacityPlanner()

        def plan() -> None:
            planner.plan(need, held, offers, 0)  # noqa: B023

        points.append({"hosts": hosts, "cpu_us": mean_cpu_us(plan, 5)})
    return {"points": points}


def measure_relays() -> dict[str, Any]:
    """Measure the bytes of a settings change at watchers and relays, by watchers."""
    points = []
    for watchers in (10, 50, 100):
        tree = WatcherTree(watchers)
        followers = list(tree.relays.watchers.values())
        received_before = [w.bytes_received for w in followers]
        sent_before = [w.relay_hub.bytes_sent for w in followers]
        started = time.process_time()
        for number in range(1, SETTINGS_CHANGES + 1):
            tree.apply_change(number)
        spent_cpu_s = time.process_time() - started
        received = [
            w.bytes_received - b
            for w, b in zip(followers, received_before, strict=True)
        ]
        sent = [
            w.relay_hub.bytes_sent - b
            for w, b in zip(followers, sent_before, strict=True)
        ]
        points.append(
            {
                "watchers": watchers,
                "bytes_per_change": float(np.mean(received)) / SETTINGS_CHANGES,
                "busiest_relay_bytes_per_change": max(sent) / SETTINGS_CHANGES,
                "cpu_us_per_change": spent_cpu_s / SETTINGS_CHANGES / watchers * 1e6,
            }
        )
    return {"points": points}


PARTS = {
    "announcements": measure_announcements,
    "view": measure_view,
    "routing": measure_routing,
    "membership": measure_membership,
    "settings": measure_settings,
    "store": measure_store,
    "voter": measure_voter,
    "control": measure_control,
    "relays": measure_relays,
}


def fit_line(xs: list[float], ys: list[float]) -> dict[str, float]:
    """Return the least-squares line through points and its relative error.

    The relative error is the root mean square error divided by the mean of ys.
    """
    slope, base = np.polyfit(xs, ys, 1)
    fitted = np.array(xs) * slope + base
    scale = max(abs(float(np.mean(ys))), 1e-9)
    error = float(np.sqrt(np.mean((fitted - np.array(ys)) ** 2))) / scale
    return {"slope": float(slope), "base": float(base), "relative_error": error}


def main() -> None:
    """Measure the named parts, by default all, and update the result file."""
    logger.remove()
    parser = argparse.ArgumentParser()
    parser.add_argument("parts", nargs="*", default=list(PARTS))
    parser.add_argument("--out", type=Path, default=DEFAULT_RESULT_FILE)
    options = parser.parse_args()
    results = orjson.loads(options.out.read_bytes()) if options.out.exists() else {}
    for name in options.parts:
        result = PARTS[name]()
        points = result["points"]
        size = next(iter(points[0]))
        result["fits"] = {
            key: fit_line([p[size] for p in points], [p[key] for p in points])
            for key in points[0]
            if key != size
        }
        results[name] = result
        print(name, orjson.dumps(result["fits"]).decode())
    results["date"] = time.strftime("%Y-%m-%d", time.gmtime())
    text = orjson.dumps(results, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS)
    options.out.write_bytes(text + b"\n")


if __name__ == "__main__":
    main()
