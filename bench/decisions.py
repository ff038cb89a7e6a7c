"""Compares routing, capacity and reclaim policies; see docs/measurements/decisions.md.

Run `PYTHONPATH=src:bench python bench/decisions.py NAME` with a key of COMPARISONS, or
NAME:FIRM; by default all comparisons run. Each prints one JSON line for each trace, arm
and seed, and a table of the mean, least and greatest values over the seeds.
"""

from __future__ import annotations

import json
import statistics
import sys
import time
from contextlib import contextmanager
from dataclasses import replace

from decisions_sim import Arm, Simulation

from tanagerturn.replay.firms import FASCICOLI, FIRMS, INYENYERI
from tanagerturn.replay.generator import Scenario, generate_trace
from tanagerturn.replay.trace import ReclaimNotice, Trace
from tanagerturn.schema import serving_pb2, settings_pb2
from tanagerturn.serving.backends import backend as backend_module
from tanagerturn.serving.routing import _estimate
from tanagerturn.serving.routing import choose as choose_module

SEEDS = range(1, 6)
MINUTE_MS = 60_000
LOWEST = settings_pb2.LOWEST_COST


def percentile(values, fraction):
    """Return the value at a fraction of the sorted values, 0 without values."""
    values = sorted(values)
    return values[min(len(values) - 1, int(fraction * len(values)))] if values else 0.0


def make_services(firm):
    """Return the settings of a firm's plain and model service, by name."""
    bounds = settings_pb2.CapacityBounds(
        min_hosts=1, max_hosts=10, max_on_demand=2, scale_in_after_ms=600_000
    )
    return {
        firm.plain_service: settings_pb2.Service(
            name=firm.plain_service, priority=serving_pb2.URGENT, capacity=bounds
        ),
        firm.model_service: settings_pb2.Service(
            name=firm.model_service, priority=serving_pb2.LOW, capacity=bounds
        ),
    }


def collect_metrics(sim):
    """Return the metrics of a simulated run.

    Times are in ms; recomputed and computed are tokens; late counts the requests
    without a response by their deadline.
    """
    calls = list(sim.calls.values())
    ended = [call for call in calls if call.ended_ms is not None]
    generations = [call for call in ended if call.request.max_tokens]

    def durations_ms(call_names):
        return [
            call.ended_ms - call.request.at_ms
            for call in ended
            if call.request.call in call_names
        ]

    late = sum(
        call.ended_ms is None or call.ended_ms - call.request.at_ms
        > call.request.deadline_ms
        for call in calls
    )  # fmt: skip
    return {
        "recomputed": sim.recomputed_tokens,
        "computed": sim.computed_tokens,
        "late": late,
        "late_work": sim.late_attempts,
        "lookup_p95": percentile(durations_ms(("lookup", "status")), 0.95),
        "lookup_mean": statistics.fmean(durations_ms(("lookup", "status")) or [0]),
        "deposit_p95": percentile(durations_ms(("purchase", "file")), 0.95),
        "first_p95": percentile(
            [c.first_ms - c.request.at_ms for c in generations], 0.95
        ),
        "draft_mean": statistics.fmean(
            [c.ended_ms - c.request.at_ms for c in generations] or [0]
        ),
        "cost": sum(sim.cost.values()),
        "reclaimed": dict(sim.reclaim_step_counts),
    }


def run_arm(trace_name, trace, arm, seed, **options):
    """Simulate a trace under an arm; print and return its metrics.

    Args:
        trace_name: Name of the trace in the results.
        trace: Trace to simulate.
        arm: Policies of the run.
        seed: Seed of the run.
        options: Further arguments of Simulation.
    """
    started = time.process_time()
    sim = Simulation(trace, arm, seed, **options).run()
    result = {"what": trace_name, "arm": arm.name, "seed": seed, **collect_metrics(sim)}
    result["cpu_s"] = round(time.process_time() - started, 1)
    print(json.dumps(result), flush=True)
    return result


def print_table(results, keys):
    """Print the mean, least and greatest value of each metric by trace and arm."""
    arms = list(dict.fromkeys((r["what"], r["arm"]) for r in results))
    print("\n| trace | arm | " + " | ".join(keys) + " |")
    print("| --- " * (2 + len(keys)) + "|")
    for trace_name, arm in arms:
        cells = []
        for key in keys:
            values = [
                r[key] for r in results if (r["what"], r["arm"]) == (trace_name, arm)
            ]
            cells.append(
                f"{statistics.fmean(values):.5g} ({min(values):.5g}-{max(values):.5g})"
            )
        print(f"| {trace_name} | {arm} | " + " | ".join(cells) + " |")


def with_zone_reclaim(trace, at_ms, notice_ms):
    """Replace the events of a trace by one reclaim of its first availability zone.

    Args:
        trace: Trace whose requests are kept.
        at_ms: Time of the notice.
        notice_ms: Time from the notice until the backend servers stop.
    """
    zone = trace.header.availability_zones[0]
    names = tuple(b.id for b in trace.header.backends if b.availability_zone == zone)
    return Trace(
        trace.header, trace.requests, (ReclaimNotice(at_ms, names, notice_ms),)
    )


FIXED_HOSTS = {"capacity_policy": None}
"""Arm fields that keep the hosts of the trace, without capacity planning."""

RECLAIM_ARMS = (
    Arm("all", **FIXED_HOSTS),
    Arm("no moves, no view", kv_moves=False, cache_view=False, **FIXED_HOSTS),
    Arm("no moves", kv_moves=False, **FIXED_HOSTS),
    Arm("no view", cache_view=False, **FIXED_HOSTS),
    Arm("no reclaim", reclaims=False, **FIXED_HOSTS),
)


def compare_reclaims(firms=(FASCICOLI, INYENYERI)):
    """Compare RECLAIM_ARMS when a whole zone is reclaimed with 30 s and 5 s notice."""
    results = []
    night_scenario = Scenario.NIGHT_BEFORE_FILING
    for firm in firms:
        scenario = night_scenario if firm is FASCICOLI else Scenario.RECLAIM_WAVES
        for notice_ms in (30_000, 5_000):
            for seed in SEEDS:
                trace = compress(generate_trace(firm, scenario, seed), 2)
                trace = with_zone_reclaim(trace, 4 * MINUTE_MS, notice_ms)
                trace_name = f"{firm.name} {notice_ms // 1000} s"
                results += [
                    run_arm(trace_name, trace, arm, seed, until_ms=5 * MINUTE_MS)
                    for arm in RECLAIM_ARMS
                ]
    print_table(results, ("recomputed", "computed", "late", "first_p95"))


def compare_night(seeds=SEEDS):
    """Compare the night before filing of Fascicoli, with a zone reclaimed after 1 h."""
    results = []
    for seed in seeds:
        trace = generate_trace(FASCICOLI, Scenario.NIGHT_BEFORE_FILING, seed)
        trace = with_zone_reclaim(trace, 60 * MINUTE_MS, 30_000)
        results += [run_arm("night", trace, arm, seed, step_ms=15.0)
                    for arm in (RECLAIM_ARMS[0], RECLAIM_ARMS[4])]  # fmt: skip
    print_table(results, ("recomputed", "late", "late_work", "deposit_p95"))


def compare_cost(firms=(INYENYERI, FASCICOLI)):
    """Compare the cost at the latency target with that of the baseline policies."""
    policies = settings_pb2
    arms = (
        Arm("lowest cost"),
        Arm("on-demand only", capacity_policy=policies.ON_DEMAND_ONLY),
        Arm("scale-in at once", capacity_policy=policies.SCALE_IN_AT_ONCE),
        Arm("round robin", routing=policies.ROUND_ROBIN),
        Arm("least load", routing=policies.LEAST_LOAD),
    )
    results = []
    for firm in firms:
        for seed in SEEDS:
            trace = generate_trace(firm, Scenario.RECLAIM_WAVES, seed)
            results += [
                run_arm(
                    f"{firm.name} waves", trace, arm, seed, services=make_services(firm)
                )
                for arm in arms
            ]
    print_table(results, ("cost", "lookup_p95", "deposit_p95", "late", "late_work",
                    "recomputed", "draft_mean"))  # fmt: skip


@contextmanager
def override_constants(module, **values):
    """Set constants of a module within a with block."""
    before = {name: getattr(module, name) for name in values}
    for name, value in values.items():
        setattr(module, name, value)
    try:
        yield
    finally:
        for name, value in before.items():
            setattr(module, name, value)


NO_OVERRIDE = (backend_module, {})
ROUTING_PARTS = {
    "all": NO_OVERRIDE,
    "no cache view": (backend_module, {}),
    "least load": (backend_module, {}),
    "round robin": (backend_module, {}),
    "every engine weighed": (choose_module, {"MAX_EXHAUSTIVE_POOL": 10**6}),
    "no zone distance": (_estimate, {"OTHER_ZONE_MS": 0.0}),
    "no batch slowdown": (_estimate, {"BATCH_SLOWDOWN": 0.0}),
}
"""Arms with one part of routing off: the module and its constants to override."""


def compare_routing_parts(firms=(INYENYERI, FASCICOLI)):
    """Compare routing with each of its parts off, at three times the traces' load."""
    results = []
    for firm in firms:
        for seed in SEEDS:
            trace = compress(generate_trace(firm, Scenario.RECLAIM_WAVES, seed), 3)
            for name, (module, values) in ROUTING_PARTS.items():
                routing = {
                    "least load": settings_pb2.LEAST_LOAD,
                    "round robin": settings_pb2.ROUND_ROBIN,
                }.get(name, settings_pb2.PREFIX_AND_LOAD)
                arm = Arm(name, routing=routing, capacity_policy=None, reclaims=False,
                          cache_view=name != "no cache view")  # fmt: skip
                with override_constants(module, **values):
                    results.append(
                        run_arm(
                            f"{firm.name} x3", trace, arm, seed, until_ms=3 * MINUTE_MS
                        )
                    )
    print_table(results, ("computed", "first_p95", "draft_mean", "lookup_mean"))


def compress(trace, factor):
    """Divide the times of a trace's requests by a factor and remove its events."""
    requests = [replace(r, at_ms=int(r.at_ms / factor)) for r in trace.requests]
    return Trace(trace.header, tuple(requests), ())


MANY_ENGINES_ARMS = ("all", "every engine weighed", "no cache view")


def compare_many_engines():
    """Compare routing parts that matter with 20 engines, at twelve times the load."""
    results = []
    for firm in (FASCICOLI, INYENYERI):
        for seed in SEEDS:
            trace = compress(generate_trace(firm, Scenario.RECLAIM_WAVES, seed), 12)
            engines = [b for b in trace.header.backends if b.model]
            copies = [
                replace(b, id=f"{b.id}-{copy}") for b in engines for copy in range(3)
            ]
            backends = (*trace.header.backends, *copies)
            header = replace(trace.header, backends=backends)
            trace = Trace(header, trace.requests, ())
            for name in MANY_ENGINES_ARMS:
                module, values = ROUTING_PARTS[name]
                arm = Arm(name, cache_view=name != "no cache view", **FIXED_HOSTS)
                with override_constants(module, **values):
                    trace_name = f"{firm.name}, 20 engines"
                    results.append(
                        run_arm(trace_name, trace, arm, seed, until_ms=45_000)
                    )
    print_table(results, ("computed", "first_p95", "draft_mean", "late"))


def compare_lossy_cache_events(firms=(FASCICOLI, INYENYERI)):
    """Compare cache events in time with late and lost ones, at three times the load.

    Late events come after 30 s; one in ten is lost.
    """
    results = []
    for firm in firms:
        for seed in SEEDS:
            trace = compress(generate_trace(firm, Scenario.RECLAIM_WAVES, seed), 3)
            for name, lossy in (("all", False), ("events late and lost", True)):
                arm = Arm(name, reclaims=False, **FIXED_HOSTS)
                trace_name = f"{firm.name} x3"
                results.append(run_arm(trace_name, trace, arm, seed,
                                       lossy_cache_events=lossy,
                                       until_ms=3 * MINUTE_MS))  # fmt: skip
    print_table(results, ("computed", "first_p95", "draft_mean"))


COMPARISONS = {
    "many": compare_many_engines,
    "lossy": compare_lossy_cache_events,
    "reclaim": compare_reclaims,
    "night": compare_night,
    "cost": compare_cost,
    "parts": compare_routing_parts,
}
"""Functions that run a comparison, by its name on the command line."""

if __name__ == "__main__":
    for argument in sys.argv[1:] or COMPARISONS:
        name, _, firm = argument.partition(":")
        COMPARISONS[name](*([[FIRMS[firm]]] if firm else []))
