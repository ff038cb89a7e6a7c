"""gRPC service of the allocator, and the reporter of an entry host."""

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

REPORT_INTERVAL_S: Final = 1.0
"""Interval in seconds between reports of a host."""

REPORT_TIMEOUT_S: Final = 0.8


class ShareServicer(spb_grpc.ShareServiceServicer):
    """Divides the limits while this process holds the lease.

    Args:
        cluster: Name of the cluster; callers of another cluster are refused.
        keeper: Lease of the allocator.
    """

    def __init__(self, cluster: ClusterId, keeper: LeaseKeeper) -> None:
        self.cluster = cluster
        """Name of the cluster."""
        self.keeper = keeper
        """Lease of the allocator."""
        self.lock = threading.Lock()
        """Guards the fields below."""
        self.fencing_number = 0
        """Fencing number for which the allocator was created."""
        self.allocator: ShareAllocator | None = None
        """Allocator for that fencing number, or None before the first report."""
        self.pools: dict[str, spb.Amounts] = {}
        """Pool of each client account."""
        self.grant_ms = GRANT_MS
        """Duration of a grant in milliseconds; must be the same in all processes."""

    def set_limits(self, limits: Mapping[str, AccountLimits], hosts: int) -> None:
        """Set the limits of newer settings, or another number of hosts."""
        with self.lock:
            self.pools = {
                name: split_limits(limit, hosts).pool for name, limit in limits.items()
            }
            if self.allocator is not None:
                self.allocator.set_pools(self.pools)

    def Report(  # noqa: N802
        self, request: spb.ShareReport, context: grpc.ServicerContext
    ) -> spb.ShareGrant:
        """Answer a host's report; refused unless this process holds the lease."""
        if request.cluster != self.cluster:
            context.abort(grpc.StatusCode.PERMISSION_DENIED, "another cluster")
        grant = self.grant(request)
        if grant is None:
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, "not the allocator")
        return grant

    def grant(self, request: spb.ShareReport) -> spb.ShareGrant | None:
        """Return the grant for a report, or None when the lease is not held."""
        with self.lock:
            now_ms = self.keeper.clock()
            if not self.keeper.held(now_ms):
                return None
            if (
                self.allocator is None
                or self.fencing_number != self.keeper.fencing_number
            ):
                self.fencing_number = self.keeper.fencing_number
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
    """Reports a host's demand periodically and receives its shares.

    Args:
        shares: Shares of the host.
        locate: Returns the allocator's address; empty when it is unknown.
        make_channel: Opens a channel to an address.
        on_shares: Called with the share of each client account after each change and
            after each report.
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
        """Returns the allocator's address; empty when it is unknown."""
        self.open = make_channel
        """Opens a channel to an address."""
        self.on_shares = on_shares
        """Called with the share of each client account."""
        self.clock = clock
        """Returns the monotonic time in milliseconds."""
        self.lock = threading.Lock()
        """Guards the shares."""
        self.address = ""
        """Address of the last used allocator; empty before the first."""
        self.channel: grpc.Channel | None = None
        """Channel to the last used allocator, or None."""
        self.stopping = threading.Event()
        """Set to end the thread."""
        self.thread = threading.Thread(target=self._run, name="shares", daemon=True)
        """Thread that reports periodically."""

    def set_limits(self, limits: Mapping[str, AccountLimits], hosts: int) -> None:
        """Set the limits of newer settings, or another number of hosts."""
        safe = {name: split_limits(limit, hosts).safe for name, limit in limits.items()}
        with self.lock:
            self.shares.set_safe_shares(safe)
        self.publish_shares()

    def on_request(self, account: str) -> None:
        """Count a request, admitted or refused."""
        with self.lock:
            share = self.shares.accounts.get(account)
            if share is not None:
                share.on_request(self.clock())

    def on_started(self, account: str) -> None:
        """Count a request that started to run."""
        with self.lock:
            share = self.shares.accounts.get(account)
            if share is not None:
                share.running += 1

    def on_ended(self, account: str, tokens: float) -> None:
        """Count a request that ended, and its generated tokens."""
        with self.lock:
            share = self.shares.accounts.get(account)
            if share is not None:
                share.running -= 1
                share.on_tokens(tokens, self.clock())

    def start(self) -> None:
        """Start to report."""
        self.thread.start()

    def stop(self) -> None:
        """Stop reporting and close the channel."""
        self.stopping.set()
        self.thread.join()
        if self.channel is not None:
            self.channel.close()

    def step(self) -> bool:
        """Send one report; return whether its grant was applied."""
        address = self.locate()
        with self.lock:
            report = self.shares.make_report(self.clock())
        grant = self._send(address, report) if address else None
        applied = False
        if grant is not None:
            with self.lock:
                applied = self.shares.apply_grant(grant)
        self.publish_shares()
        return applied

    def publish_shares(self) -> None:
        """Pass the current shares to `on_shares`."""
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
                        "cut_off": account.lacks_grant(now_ms),
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
            logger.warning("shares: report to {} failed: {}", address, error)
            return None

    def _run(self) -> None:
        while not self.stopping.wait(REPORT_INTERVAL_S):
            self.step()


def make_host_shares(holder: str, cluster: str) -> HostShares:
    """Return the shares of a host, without client accounts.

    Args:
        holder: Id of the process that is new at each start.
        cluster: Name of the cluster.
    """
    return HostShares(holder, cluster)
