"""This entry host's shares of the client accounts' limits.

A process without membership in its settings uses an even part of each limit.
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
ADDRESS_MAX_AGE_S: Final = 2.0
"""Age in seconds from which the allocator's address is looked up again."""

MIN_RATE: Final = 1e-6
"""Rate used for a share of 0, as a token bucket needs a positive rate."""


class AllocatorLocator:
    """Locates the process that holds the allocator's lease.

    Args:
        client: Client of the replicated store.
        node: Resolves process names to addresses.
    """

    def __init__(self, client: StateClient, node: CoordinationNode) -> None:
        self.client = client
        """Client of the replicated store."""
        self.node = node
        """Resolves process names to addresses."""
        self.address = ""
        """Address found by the last successful lookup; empty if unknown."""
        self.looked_up_at_s = float("-inf")
        """Monotonic time of the last lookup, in seconds."""

    def locate(self) -> str:
        """Return the allocator's address; empty if unknown."""
        now_s = time.monotonic()
        if now_s - self.looked_up_at_s < ADDRESS_MAX_AGE_S:
            return self.address
        self.looked_up_at_s = now_s
        lease = self.client.lease(CONTROL_GROUP, ALLOCATOR_LEASE, 1.0)
        if lease.is_ok():
            process = lease.ok.holder.partition("#")[0]
            self.address = self.node.relay_of(process)
        return self.address


def start_shares(
    client: StateClient, node: CoordinationNode, gate: Gate, owner: ProcessId
) -> ShareReporter | None:
    """Start to report demand to the allocator and to apply the shares it grants.

    Args:
        client: Client of the replicated store.
        node: Membership of the process.
        gate: Gate whose account limits are set to the shares.
        owner: Name of this process, new at each start.

    Returns:
        The running reporter; None for a process without membership.
    """
    if node.agent is None:
        return None
    reporter = ShareReporter(
        make_host_shares(owner, node.settings.cluster),
        AllocatorLocator(client, node).locate,
        node.open_channel,
        lambda shares: gate.set_allowances(make_allowances(shares)),
        lambda: time.monotonic_ns() // 1_000_000,
    )
    gate.set_share_reporter(reporter)
    reporter.start()
    return reporter


def make_allowances(
    shares: Mapping[str, Amounts],
) -> dict[ClientAccountId, Allowance]:
    """Convert shares, by client account, to allowances of the limiter."""
    return {
        ClientAccountId(name): Allowance(
            requests_per_s=max(MIN_RATE, share.requests_per_s),
            concurrent_requests=int(share.concurrent_requests),
            tokens_per_s=max(MIN_RATE, share.tokens_per_s),
        )
        for name, share in shares.items()
    }
