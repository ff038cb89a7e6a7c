"""Measures the duration of routing decisions, announcements and planning steps.

Run `PYTHONPATH=src python bench/decisions_speed.py`; prints a table of the median and
99th percentile in microseconds, with the sizes of announcements and the balance of
subsets.
"""

from __future__ import annotations

import statistics
import sys
import time
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from google.protobuf import json_format

from support import digest_messages
from support.backends import announcement
from support.cloud import offers
from support.gateway_world import gateway_settings
from tanagerturn.clocks import boot_s
from tanagerturn.gateway.spread.digests import DigestExchange
from tanagerturn.gateway.state import make_state
from tanagerturn.platform.dialect import PlatformDialect
from tanagerturn.schema import gateway_pb2, serving_pb2
from tanagerturn.serving.backends.subset import select_subset
from tanagerturn.serving.backends.view import make_backend_view
from tanagerturn.serving.cache.blocks import hash_text_blocks
from tanagerturn.serving.capacity.messages import HeldHost, HostState, ServiceNeed
from tanagerturn.serving.capacity.plan import CapacityPlanner
from tanagerturn.serving.reclaims.messages import Importer, LinkLimits, RunningRequest
from tanagerturn.serving.reclaims.plan import plan_actions
from tanagerturn.serving.routing.choose import choose
from tanagerturn.serving.routing.messages import RouteRequest
from tanagerturn.serving.routing.prompt_parts import CandidateEngine, place_prompt

ROUNDS = 3_000
"""Calls of an action that takes microseconds."""


def time_calls(action, rounds):
    """Return the median and 99th percentile duration of calls in microseconds."""
    times_us = []
    for i in range(rounds):
        started_ns = time.perf_counter_ns()
        action(i)
        times_us.append((time.perf_counter_ns() - started_ns) / 1_000)
    return statistics.median(times_us), sorted(times_us)[int(0.99 * len(times_us))]


def make_filled_view(engines, prefixes):
    """Return a backend view and its cached prompts of 80 blocks.

    Args:
        engines: Number of engines.
        prefixes: Number of prompts, each cached on up to three engines.
    """
    view, random = make_backend_view(), Random(1)
    for i in range(engines):
        load = serving_pb2.LoadReport(running=random.randrange(8), read_at_ms=1)
        name = f"{'abcdefg'[i % 7]}-{i}"
        address = f"10.0.{i // 250}.{i % 250}:80"
        message = announcement(name, address=address, load=load, kv_tokens=2_000_000)
        assert view.on_announcement(message, 0).is_ok()
    names = list(view.backends)
    prompts = [hash_text_blocks(f"work {i} " * 2_600, "m") for i in range(prefixes)]
    for blocks in prompts:
        for _ in range(3):
            view.cache.on_used(random.choice(names), blocks, 0)
    return view, prompts


def time_routing():
    """Time a routing decision by engines and cached prefixes."""
    for engines in (9, 24, 100, 380, 760):
        for prefixes in (0, 10, 500):
            view, prompts = make_filled_view(engines, prefixes)
            random = Random(2)

            def decide(i, view=view, prompts=prompts, random=random):
                blocks = prompts[i % len(prompts)] if prompts else ()
                request = RouteRequest(
                    "draft", "m", "1", prefix_blocks=blocks,
                    prompt_tokens=5_500, output_tokens=400,
                )  # fmt: skip
                assert choose(view, request, 10, random).is_ok()

            median_us, p99_us = time_calls(decide, ROUNDS)
            print(f"| choose | {engines} engines, {prefixes} prefixes of 80 blocks | "
                  f"{median_us:.0f} | {p99_us:.0f} |")  # fmt: skip


def time_announcements():
    """Time an announcement with and without cache events, and print its size."""
    view, _ = make_filled_view(24, 0)
    for blocks in (0, 80):

        def announce(i, blocks=blocks):
            events = []
            if blocks:
                event = serving_pb2.CacheEvent(
                    sequence=i + 1,
                    action=serving_pb2.CacheEvent.STORED,
                    blocks=[f"{i * 1000 + j:016x}" for j in range(blocks)],
                )
                events = [event]
            message = announcement("a-0", sequence=i + 2, cache_events=events,
                                 incarnation=f"of {blocks}",
                                 address="10.0.0.0:80")  # fmt: skip
            assert view.on_announcement(message, i).is_ok()

        median_us, p99_us = time_calls(announce, ROUNDS)
        print(f"| announcement | {blocks} blocks in events | "
              f"{median_us:.0f} | {p99_us:.0f} |")  # fmt: skip
        message = view.backends["a-0"].announcement
        text = json_format.MessageToJson(
            message, preserving_proto_field_name=True, indent=None
        )
        size = len(message.SerializeToString())
        print(f"| announcement, bytes as protobuf, as JSON | {blocks} blocks | "
              f"{size}, {len(text)} | |")  # fmt: skip


def time_reclaim_plans():
    """Time a reclaim plan by running requests."""
    for count in (20, 200, 1_000):
        requests = [
            RunningRequest(
                f"r{i}",
                f"a-{i % 5}",
                prompt_tokens=500 + i,
                done_tokens=100,
                left_tokens=2_000,
            )
            for i in range(count)
        ]
        importers = [Importer(f"b-{i}", "b", 10**6, 32) for i in range(20)]
        median_us, p99_us = time_calls(
            lambda _, r=requests, i=importers: plan_actions(
                r, i, 30_000, LinkLimits(), 0
            ),
            20,
        )
        print(f"| reclaim plan | {count} requests, 20 importers | "
              f"{median_us:.0f} | {p99_us:.0f} |")  # fmt: skip


def time_capacity_plans():
    """Time a capacity plan by hosts held."""
    for hosts in (5, 20, 80):
        held = [
            HeldHost(f"h{i}", offers()[2 * (i % 4)].key, HostState.READY, 0, 0.4, 8)
            for i in range(hosts)
        ]
        need = ServiceNeed("s", hosts * 6.0, hosts * 5.0, max_hosts=2 * hosts)
        planner = CapacityPlanner()
        median_us, p99_us = time_calls(
            lambda _, p=planner, n=need, h=held: p.plan(n, h, offers(), 0), 20
        )
        print(
            f"| capacity plan | {hosts} hosts held | {median_us:.0f} | {p99_us:.0f} |"
        )


def time_prefixes():
    """Time a routing decision over 24 engines by the length of the cached prefix."""
    for blocks in (0, 8, 80, 512):
        view, _ = make_filled_view(24, 0)
        prompt = hash_text_blocks("x" * 256 * blocks, "m")
        view.cache.on_used("a-0", prompt, 0)
        request = RouteRequest(
            "draft", "m", "1", prefix_blocks=prompt, prompt_tokens=64 * blocks
        )
        random = Random(3)
        median_us, p99_us = time_calls(
            lambda _, v=view, r=request, d=random: choose(v, r, 10, d), ROUNDS
        )
        print(
            f"| choose | prefix of {blocks} blocks | {median_us:.0f} | {p99_us:.0f} |"
        )


def time_placements():
    """Time the choice of an engine for a prompt of named parts."""
    for count in (50, 500):
        engines = [
            CandidateEngine(f"i-{n}", n == 1, 64, 0, 0, 0, 480_000, 0)
            for n in range(count)
        ]
        median_us, p99_us = time_calls(
            lambda i, e=engines: place_prompt(e, 17_000, 120, f"p{i}"), 300
        )
        print(
            f"| prompt placement | {count} engines | {median_us:.0f} | {p99_us:.0f} |"
        )


def time_digests():
    """Time the processing of a peer's digest."""
    for backends in (105, 1_050):
        state = make_state(
            gateway_settings(), PlatformDialect(1000), boot_s(), digest_messages.WALL_S
        )
        for number in range(backends):
            digest_messages.announce(state, number)
        digests = [digest_messages.digest(state, n, Random(n)) for n in range(92)]
        exchange = DigestExchange(state, None, None, lambda *_: None, lambda: None)

        def process(i, exchange=exchange, digests=digests):
            received = gateway_pb2.Datagram.FromString(digests[i % len(digests)])
            exchange.on_digest(received.digest, boot_s())

        median_us, p99_us = time_calls(process, ROUNDS)
        print(f"| digest | {backends} backend servers | "
              f"{median_us:.0f} | {p99_us:.0f} |")  # fmt: skip


def time_subsets():
    """Time the selection of an engine subset, and print how evenly it spreads."""
    engines = {f"engine-{i}": f"z{i % 7}" for i in range(760)}
    median_us, p99_us = time_calls(
        lambda i: select_subset(f"e{i}", "z1", engines, 24), 50
    )
    print(f"| subset | 24 of 760 engines | {median_us:.0f} | {p99_us:.0f} |")
    entries_by_engine = dict.fromkeys(engines, 0)
    for i in range(380):
        for engine in select_subset(f"entry-{i}", f"z{i % 7}", engines, 24):
            entries_by_engine[engine] += 1
    counts = sorted(entries_by_engine.values())
    print(f"| subset, entry hosts of an engine | least, median, greatest | "
          f"{counts[0]}, {counts[380]}, {counts[-1]} | |")  # fmt: skip


if __name__ == "__main__":
    print("| decision | size | median us | p99 us |\n| --- | --- | --- | --- |")
    for measurement in (
        time_routing,
        time_prefixes,
        time_announcements,
        time_reclaim_plans,
        time_capacity_plans,
        time_subsets,
        time_placements,
        time_digests,
    ):
        measurement()
