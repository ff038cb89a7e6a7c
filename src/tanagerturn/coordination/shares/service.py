"""Carries reports and grants between entry hosts and the allocator."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

import grpc
from loguru import logger

from tanagerturn.coordination.shares.allocator import GRANT_MS, ShareAllocator
from tanagerturn.coordination.shares.amounts import split_limits
from tanagerturn.coordination.shares.holder import HostShares
from tanagerturn.schema import shares_pb2 as spb
from tanagerturn.schema import shares_pb2_grpc as spb_grpc

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from tanagerturn.coordination.ids import ClusterId
    from tanagerturn.coordination.leases import LeaseKeeper
    from tanagerturn.schema.settings_pb2 import AccountLimits

REPORT_S: Final = 1.0
"""Time between two reports of a host."""

REPORT_TIMEOUT_S: Final = 0.8


class ShareServicer(spb_grpc.ShareServiceServicer):
    """Divides the limits while this process holds the lease.

    Args:
        cluster: Name of the cluster; callers of another one are refused.
        keeper: Lease of the allocator.
    """

    def __init__(self, cluster: ClusterId, keeper: LeaseKeeper) -> None:
        self.cluster = cluster
        """Name of the cluster."""
        self.keeper = keeper
        """Lease of the allocator."""
        self.lock = threading.Lock()
        """Guards the rest."""
        self.number = 0
        """Fencing number under which the allocator was made."""
        self.allocator: ShareAllocator | None = None
        """The allocator of this term."""
        self.pools: dict[str, spb.Amounts] = {}
        """Pool of each client account."""
        self.grant_ms = GRANT_MS
        """Time that a grant lasts; the same in all processes."""

    def set_limits(self, limits: Mapping[str, AccountLimits], hosts: int) -> None:
        """Take the limits of newer settings, or another number of hosts."""
        with self.lock:
            self.pools = {
                name: split_limits(limit, hosts).pool for name, limit in limits.items()
            }
            if self.allocator is not None:
                self.allocator.set_pools(self.pools)

    def Report(  # noqa: N802
        self, request: spb.ShareReport, context: grpc.ServicerContext
    ) -> spb.ShareGrant:
        """Answer a host's report, unless another process is the allocator."""
        if request.cluster != self.cluster:
            context.abort(grpc.StatusCode.PERMISSION_DENIED, "another cluster")
        grant = self.grant(request)
        if grant is None:
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, "not the allocator")
        return grant

    def grant(self, request: spb.ShareReport) -> spb.ShareGrant | None:
        """Return the grant for a report; None when the lease is not held."""
        with self.lock:
            now_ms = self.keeper.clock()
            if not self.keeper.held(now_ms):
                return None
            if self.allocator is None or self.number != self.keeper.fencing_number:
                self.number = self.keeper.fencing_number
                started_ms = self.keeper.core.granted_at_ms
                self.allocator = ShareAllocator(started_ms, self.grant_ms)
                self.allocator.set_pools(self.pools)
            return self.allocator.report(request, now_ms)

    def dump(self) -> dict[str, object]:
        """Return the state for a dump."""
        with self.lock:
            if self.allocator is None:
                return {}
            return self.allocator.dump(self.keeper.clock())


class ShareReporter:
    """Reports a host's demand each second and keeps its shares.

    Args:
        shares: Shares of the host.
        locate: Returns the allocator's address; empty while it is not known.
        make_channel: Opens a channel to an address.
        on_shares: Called with the share of each client account at each change
            and each second.
        clock: Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        shares: HostShares,
        locate: Callable[[], str],
        make_channel: Callable[[str], grpc.Channel],
        on_shares: Callable[[Mapping[str, spb.Amounts]], None],
        clock: Callable[[], int],
    ) -> None:
        self.shares = shares
        """Shares of the host; guarded by `lock`."""
        self.locate = locate
        """Returns the allocator's address."""
        self.open = make_channel
        """Opens a channel to an address."""
        self.on_shares = on_shares
        """Called with the share of each client account."""
        self.clock = clock
        """Returns the monotonic time."""
        self.lock = threading.Lock()
        """Guards the shares."""
        self.address = ""
        """The allocator that was asked last."""
        self.channel: grpc.Channel | None = None
        """Channel to it."""
        self.stopping = threading.Event()
        """Set when the thread has to end."""
        self.thread = threading.Thread(target=self._run, name="shares", daemon=True)
        """Reports each second."""

    def set_limits(self, limits: Mapping[str, AccountLimits], hosts: int) -> None:
        """Take the limits of newer settings, or another number of hosts."""
        safe = {name: split_limits(limit, hosts).safe for name, limit in limits.items()}
        with self.lock:
            self.shares.set_safe_shares(safe)
        self.tell()

    def on_request(self, account: str) -> None:
        """Count a request, let in or refused."""
        with self.lock:
            share = self.shares.accounts.get(account)
            if share is not None:
                share.on_request(self.clock())

    def on_started(self, account: str) -> None:
        """Count a request that began to run."""
        with self.lock:
            share = self.shares.accounts.get(account)
            if share is not None:
                share.running += 1

    def on_ended(self, account: str, tokens: float) -> None:
        """Count a request that ended, and the tokens that it made."""
        with self.lock:
            share = self.shares.accounts.get(account)
            if share is not None:
                share.running -= 1
                share.on_tokens(tokens, self.clock())

    def start(self) -> None:
        """Start to report."""
        self.thread.start()

    def stop(self) -> None:
        """Report no more."""
        self.stopping.set()
        self.thread.join()
        if self.channel is not None:
            self.channel.close()

    def step(self) -> bool:
        """Report once; returns whether a grant was taken."""
        address = self.locate()
        with self.lock:
            report = self.shares.make_report(self.clock())
        grant = self._send(address, report) if address else None
        taken = False
        if grant is not None:
            with self.lock:
                taken = self.shares.take_grant(grant)
        self.tell()
        return taken

    def tell(self) -> None:
        """Hand the present shares on."""
        with self.lock:
            now_ms = self.clock()
            shares = {n: a.share(now_ms) for n, a in self.shares.accounts.items()}
        self.on_shares(shares)

    def dump(self) -> dict[str, object]:
        """Return the state for a dump."""
        with self.lock:
            now_ms = self.clock()
            return {
                "allocator": self.address,
                "accounts": {
                    name: {
                        "share": account.share(now_ms),
                        "cut_off": account.cut_off(now_ms),
                        "demand": account.demand,
                        "running": account.running,
                    }
                    for name, account in self.shares.accounts.items()
                },
            }

    def _send(self, address: str, report: spb.ShareReport) -> spb.ShareGrant | None:
        if address != self.address or self.channel is None:
            if self.channel is not None:
                self.channel.close()
            self.channel, self.address = self.open(address), address
        stub = spb_grpc.ShareServiceStub(self.channel)
        try:
            return stub.Report(report, timeout=REPORT_TIMEOUT_S)
        except grpc.RpcError as error:
            logger.warning("shares: no grant from {}: {}", address, error)
            return None

    def _run(self) -> None:
        while not self.stopping.wait(REPORT_S):
            self.step()


def make_host_shares(holder: str, cluster: str) -> HostShares:
    """Return the shares of a host without client accounts.

    Args:
        holder: Name of the process, new at each start.
        cluster: Name of the cluster.
    """
    return HostShares(holder, cluster)
