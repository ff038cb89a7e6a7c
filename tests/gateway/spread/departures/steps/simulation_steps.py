"""Steps of simulation.feature."""

from __future__ import annotations

from behave import given, then, when

from support.departure_network import (
    SETTLE_S,
    START_S,
    DepartureNetwork,
    Faults,
)

FAULTS = {
    "no fault": Faults(),
    "the first gateway's datagrams lost for 0.8 s": Faults(first_lost_s=0.8),
    "the first gateway killed": Faults(first_dies=True),
    "a third of all datagrams lost": Faults(loss=1 / 3),
    "loaded links": Faults(loss=0.02, digest_bytes=2_000),
    "half of the gateways older": Faults(older=0.5),
}
"""Faults by their name in the feature."""

SEED = 59


@given(
    "{gateways:d} gateways in simulated time that know {backends:d} backend servers, "
    "with {fault}"
)
def network_with_fault(context, gateways, backends, fault):
    context.network = DepartureNetwork(gateways, backends, FAULTS[fault], SEED)


@when("{count:d} of these leave at the same moment")
def backends_leave(context, count):
    network = context.network
    network.run_until(START_S + SETTLE_S)
    for number in range(count):
        # The first gateway, which has the fault, gets the first one.
        gateway = number * len(network.nodes) // count
        network.nodes[gateway].withdraw(f"i-{number}")


@then("{bound_s:g} s after each acknowledgment all gateways know it")
def all_know(context, bound_s):
    network = context.network
    network.run_until_known(START_S + SETTLE_S + bound_s + 0.5)
    assert network.acknowledged_s
    late = {
        backend_id: gateways
        for backend_id in network.acknowledged_s
        if (gateways := network.late_gateways(backend_id, bound_s))
    }
    assert not late, (network.longest_s(), late)
