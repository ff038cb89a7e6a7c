"""Measures the decisions with traces; see docs/measurements/decisions.md.

Run `PYTHONPATH=src:bench python bench/decisions.py NAME` with one of the names
below, or NAME:FIRM; results are JSON lines, one for each trace, arm and seed,
and a table of mean and spread.
"""

from __future__ import annotations

import json
import statistics
import sys
import time
from contextlib import contextmanager
from dataclasses import replace

from decisions_sim import Arm, Sim

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


def percentile(values, share):
    """Return a percentile."""
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def services_of(firm):
    """Return the settings of the services of a firm."""
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


def measure(sim):
    """Return the figures of a run."""
    calls = list(sim.calls.values())
    ended = [call for call in calls if call.ended_ms is not None]
    drafts = [call for call in ended if call.request.max_tokens]

    def took(name):
        return [
            call.ended_ms - call.request.at_ms
            for call in ended
            if call.request.call in name
        ]

    late = sum(
        call.ended_ms is None or call.ended_ms - call.request.at_ms
        > call.request.deadline_ms
        for call in calls
    )  # fmt: skip
    return {
        "recomputed": sim.recomputed,
        "computed": sim.computed,
        "late": late,
        "late_work": sim.late_work,
        "lookup_p95": percentile(took(("lookup", "status")), 0.95),
        "lookup_mean": statistics.fmean(took(("lookup", "status")) or [0]),
        "deposit_p95": percentile(took(("purchase", "file")), 0.95),
        "first_p95": percentile([c.first_ms - c.request.at_ms for c in drafts], 0.95),
        "draft_mean": statistics.fmean(
            [c.ended_ms - c.request.at_ms for c in drafts] or [0]
        ),
        "cost": sum(sim.cost.values()),
        "reclaimed": dict(sim.lose),
    }


def run(name, trace, arm, seed, **fields):
    """Run the trace."""
    started = time.process_time()
    sim = Sim(trace, arm, seed, **fields).run()
    result = {"what": name, "arm": arm.name, "seed": seed, **measure(sim)}
    result["cpu_s"] = round(time.process_time() - started, 1)
    print(json.dumps(result), flush=True)
    return result


def table(results, keys):
    """Print mean, least and most of each figure."""
    arms = list(dict.fromkeys((r["what"], r["arm"]) for r in results))
    print("\n| trace | arm | " + " | ".join(keys) + " |")
    print("| --- " * (2 + len(keys)) + "|")
    for what, arm in arms:
        cells = []
        for key in keys:
            values = [r[key] for r in results if (r["what"], r["arm"]) == (what, arm)]
            cells.append(
                f"{statistics.fmean(values):.5g} ({min(values):.5g}-{max(values):.5g})"
            )
        print(f"| {what} | {arm} | " + " | ".join(cells) + " |")


def one_zone(trace, at_ms, notice_ms):
    """Replace the events of a trace by one reclaim of its first zone."""
    zone = trace.header.availability_zones[0]
    names = tuple(b.id for b in trace.header.backends if b.availability_zone == zone)
    return Trace(
        trace.header, trace.requests, (ReclaimNotice(at_ms, names, notice_ms),)
    )


HELD = {"capacity": None}
RECLAIM_ARMS = (
    Arm("all", **HELD),
    Arm("no moves, no view", kv_moves=False, cache_view=False, **HELD),
    Arm("no moves", kv_moves=False, **HELD),
    Arm("no view", cache_view=False, **HELD),
    Arm("no reclaim", reclaims=False, **HELD),
)


def reclaim(firms=(FASCICOLI, INYENYERI)):
    """One zone of each firm taken with 30 s and with 5 s notice."""
    results = []
    night = Scenario.NIGHT_BEFORE_FILING
    for firm in firms:
        scenario = night if firm is FASCICOLI else Scenario.RECLAIM_WAVES
        for notice_ms in (30_000, 5_000):
            for seed in SEEDS:
                trace = faster(generate_trace(firm, scenario, seed), 2)
                trace = one_zone(trace, 4 * MINUTE_MS, notice_ms)
                what = f"{firm.name} {notice_ms // 1000} s"
                results += [
                    run(what, trace, arm, seed, until_ms=5 * MINUTE_MS)
                    for arm in RECLAIM_ARMS
                ]
    table(results, ("recomputed", "computed", "late", "first_p95"))


def night(seeds=SEEDS):
    """The whole night of Fascicoli with a zone taken in the middle."""
    results = []
    for seed in seeds:
        trace = generate_trace(FASCICOLI, Scenario.NIGHT_BEFORE_FILING, seed)
        trace = one_zone(trace, 60 * MINUTE_MS, 30_000)
        results += [run("night", trace, arm, seed, step_ms=15.0)
                    for arm in (RECLAIM_ARMS[0], RECLAIM_ARMS[4])]  # fmt: skip
    table(results, ("recomputed", "late", "late_work", "deposit_p95"))


def cost(firms=(INYENYERI, FASCICOLI)):
    """Cost at the latency target, against the baselines."""
    policies = settings_pb2
    arms = (
        Arm("lowest cost"),
        Arm("on-demand only", capacity=policies.ON_DEMAND_ONLY),
        Arm("scale-in at once", capacity=policies.SCALE_IN_AT_ONCE),
        Arm("round robin", routing=policies.ROUND_ROBIN),
        Arm("least load", routing=policies.LEAST_LOAD),
    )
    results = []
    for firm in firms:
        for seed in SEEDS:
            trace = generate_trace(firm, Scenario.RECLAIM_WAVES, seed)
            results += [
                run(f"{firm.name} waves", trace, arm, seed, services=services_of(firm))
                for arm in arms
            ]
    table(results, ("cost", "lookup_p95", "deposit_p95", "late", "late_work",
                    "recomputed", "draft_mean"))  # fmt: skip


@contextmanager
def changed(module, **values):
    """Change constants of a module for a while."""
    before = {name: getattr(module, name) for name in values}
    for name, value in values.items():
        setattr(module, name, value)
    try:
        yield
    finally:
        for name, value in before.items():
            setattr(module, name, value)


ALL_ON = (backend_module, {})
PARTS = {
    "all": ALL_ON,
    "no cache view": (backend_module, {}),
    "least load": (backend_module, {}),
    "round robin": (backend_module, {}),
    "every engine weighed": (choose_module, {"MAX_EXHAUSTIVE_POOL": 10**6}),
    "no zone distance": (_estimate, {"OTHER_ZONE_MS": 0.0}),
    "no batch slowdown": (_estimate, {"BATCH_SLOWDOWN": 0.0}),
}


def parts(firms=(INYENYERI, FASCICOLI)):
    """Each part of routing switched off, at three times the traces' load."""
    results = []
    for firm in firms:
        for seed in SEEDS:
            trace = faster(generate_trace(firm, Scenario.RECLAIM_WAVES, seed), 3)
            for name, (module, values) in PARTS.items():
                routing = {
                    "least load": settings_pb2.LEAST_LOAD,
                    "round robin": settings_pb2.ROUND_ROBIN,
                }.get(name, settings_pb2.PREFIX_AND_LOAD)
                arm = Arm(name, routing=routing, capacity=None, reclaims=False,
                          cache_view=name != "no cache view")  # fmt: skip
                with changed(module, **values):
                    results.append(
                        run(f"{firm.name} x3", trace, arm, seed, until_ms=3 * MINUTE_MS)
                    )
    table(results, ("computed", "first_p95", "draft_mean", "lookup_mean"))


def faster(trace, factor):
    """Compress a trace in time."""
    requests = [replace(r, at_ms=int(r.at_ms / factor)) for r in trace.requests]
    return Trace(trace.header, tuple(requests), ())


MANY = ("all", "every engine weighed", "no cache view")


def many():
    """Parts that matter with many engines: 20 engines at twelve times the load."""
    results = []
    for firm in (FASCICOLI, INYENYERI):
        for seed in SEEDS:
            trace = faster(generate_trace(firm, Scenario.RECLAIM_WAVES, seed), 12)
            engines = [b for b in trace.header.backends if b.model]
            copies = [
                replace(b, id=f"{b.id}-{copy}") for b in engines for copy in range(3)
            ]
            backends = (*trace.header.backends, *copies)
            header = replace(trace.header, backends=backends)
            trace = Trace(header, trace.requests, ())
            for name in MANY:
                module, values = PARTS[name]
                arm = Arm(name, cache_view=name != "no cache view", **HELD)
                with changed(module, **values):
                    what = f"{firm.name}, 20 engines"
                    results.append(run(what, trace, arm, seed, until_ms=45_000))
    table(results, ("computed", "first_p95", "draft_mean", "late"))


def lossy(firms=(FASCICOLI, INYENYERI)):
    """Cache events 30 s late and one in ten lost, at three times the load."""
    results = []
    for firm in firms:
        for seed in SEEDS:
            trace = faster(generate_trace(firm, Scenario.RECLAIM_WAVES, seed), 3)
            for name, late in (("all", False), ("events late and lost", True)):
                arm = Arm(name, reclaims=False, **HELD)
                what = f"{firm.name} x3"
                results.append(run(what, trace, arm, seed, lossy=late,
                                   until_ms=3 * MINUTE_MS))  # fmt: skip
    table(results, ("computed", "first_p95", "draft_mean"))


NAMES = {
    "many": many,
    "lossy": lossy,
    "reclaim": reclaim,
    "night": night,
    "cost": cost,
    "parts": parts,
}

if __name__ == "__main__":
    for wanted in sys.argv[1:] or NAMES:
        name, _, firm = wanted.partition(":")
        NAMES[name](*([[FIRMS[firm]]] if firm else []))
