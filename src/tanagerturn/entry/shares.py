"""This entry host's shares of the client accounts' limits.

Without membership in its settings a process has an even part of each limit.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.ids import LeaseName
from tanagerturn.coordination.shares.service import ShareReporter, make_host_shares
from tanagerturn.serving.limits.limiter import Allowance
from tanagerturn.serving.requests.ids import ClientAccountId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.coordination.client import StateClient
    from tanagerturn.coordination.ids import ProcessId
    from tanagerturn.coordination.node import CoordinationNode
    from tanagerturn.entry.gate import Gate
    from tanagerturn.schema.shares_pb2 import Amounts

ALLOCATOR_LEASE: Final = LeaseName("control")
LOOK_UP_S: Final = 2.0
"""Time for which the allocator's place is remembered."""

LEAST_RATE: Final = 1e-6
"""Rate of a share that is nothing, since a bucket must fill."""


class AllocatorPlace:
    """Finds the process that holds the allocator's lease.

    Args:
        client: Calls to the replicated store.
        node: Knows the addresses of other processes.
    """

    def __init__(self, client: StateClient, node: CoordinationNode) -> None:
        self.client = client
        """Calls to the replicated store."""
        self.node = node
        """Knows the addresses of other processes."""
        self.address = ""
        """Address as of the last look-up."""
        self.looked_up_s = float("-inf")
        """When that was."""

    def locate(self) -> str:
        """Return the allocator's address; empty while it is not known."""
        now_s = time.monotonic()
        if now_s - self.looked_up_s < LOOK_UP_S:
            return self.address
        self.looked_up_s = now_s
        lease = self.client.lease(CONTROL_GROUP, ALLOCATOR_LEASE, 1.0)
        if lease.is_ok():
            process = lease.ok.holder.partition("#")[0]
            self.address = self.node.relay_of(process)
        return self.address


def start_shares(
    client: StateClient, node: CoordinationNode, gate: Gate, owner: ProcessId
) -> ShareReporter | None:
    """Start to report demand to the allocator and to follow its grants.

    Args:
        client: Calls to the replicated store.
        node: Membership of the process.
        gate: Gate whose limits follow the shares.
        owner: Name of this process, new at each start.

    Returns:
        The running reporter; None without membership.
    """
    if node.agent is None:
        return None
    reporter = ShareReporter(
        make_host_shares(owner, node.settings.cluster),
        AllocatorPlace(client, node).locate,
        node.open_channel,
        lambda shares: gate.set_allowances(allowances_of(shares)),
        lambda: time.monotonic_ns() // 1_000_000,
    )
    gate.follow_shares(reporter)
    reporter.start()
    return reporter


def allowances_of(
    shares: Mapping[str, Amounts],
) -> dict[ClientAccountId, Allowance]:
    """Return shares as the allowances of the limiter."""
    return {
        ClientAccountId(name): Allowance(
            requests_per_s=max(LEAST_RATE, share.requests_per_s),
            concurrent_requests=int(share.concurrent_requests),
            tokens_per_s=max(LEAST_RATE, share.tokens_per_s),
        )
        for name, share in shares.items()
    }
