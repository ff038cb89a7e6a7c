"""Steps of peer_paths.feature, in simulated time."""

from __future__ import annotations

import random
from collections import Counter

from behave import given, then, when

from tanagerturn.gateway.backends.detours import MAX_PEERS
from tanagerturn.gateway.spread.mesh import MAX_DIGESTS_PER_S, MIN_DIGEST_INTERVAL_S
from tanagerturn.gateway.spread.peer_paths import PeerPaths

NOTICED_S = 1.0
"""Time in seconds from the cut until a gateway knows that it is cut off."""

REQUESTS_PER_S = 4.0

ZONES = 4


@given("{count:d} gateways in 4 zones, of which {cut:d} are cut off, {where}")
def gateways(context, count, cut, where):
    context.random = random.Random(1)
    context.zones = {f"g{n}": f"z{n % ZONES}" for n in range(count)}
    hosts = list(context.zones)
    if where == "one zone first":
        hosts.sort(key=lambda host: (context.zones[host], host))
    else:
        context.random.shuffle(hosts)
    context.cut_hosts = set(hosts[:cut])


@when(
    "each of them forwards requests for {duration_s:g} s, and digests are lost one "
    "time in ten"
)
def forward(context, duration_s):
    draws = context.random
    hosts = list(context.zones)
    interval_s = max(MIN_DIGEST_INTERVAL_S, len(hosts) / MAX_DIGESTS_PER_S)
    context.results = []
    context.loads = Counter()
    for host in sorted(context.cut_hosts):
        paths = PeerPaths(context.zones[host])
        paths.set_peers({h: "10.0.0.1:7600" for h in hosts if h != host}, context.zones)
        due_s = {h: NOTICED_S + draws.uniform(0, interval_s) for h in context.cut_hosts}
        now_s = 0.0
        while now_s < duration_s:
            now_s += draws.expovariate(REQUESTS_PER_S)
            for peer in [h for h, at_s in due_s.items() if at_s <= now_s]:
                due_s[peer] += interval_s
                if draws.random() >= 0.1:
                    paths.on_report(peer, ["desk"], now_s)
            context.results.append((now_s, try_peers(context, paths, now_s)))


def try_peers(context, paths, now_s):
    tried = set()
    while len(tried) < MAX_PEERS:
        peer = paths.choose("desk", tried, context.random, now_s)
        if peer is None:
            return False
        tried.add(peer.host)
        if peer.host not in context.cut_hosts:
            context.loads[peer.host] += 1
            return True
        paths.on_failed(peer.host, now_s)
    return False


@then(
    "from {after_s:g} s on at least {percent:d} in 100 of the requests reach a peer "
    "with a path"
)
def reached(context, after_s, percent):
    results = [is_served for at_s, is_served in context.results if at_s >= after_s]
    share = sum(results) / len(results)
    assert share >= percent / 100, f"{share:.3f}"


@then("no peer gets more than {most:d} times its share")
def spread(context, most):
    peers = len(context.zones) - len(context.cut_hosts)
    share = sum(context.loads.values()) / peers
    assert max(context.loads.values()) <= most * share, (
        max(context.loads.values()),
        share,
    )
