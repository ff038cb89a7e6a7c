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
"""Interval in seconds between the reports of a host."""

REPORT_TIMEOUT_S: Final = 0.8


class ShareServicer(spb_grpc.ShareServiceServicer):
    """Divides the limits of client accounts while this process holds a lease.

    Args:
        cluster: Name of the cluster; callers of another cluster are refused.
        keeper: Keeper of the allocator's lease.
    """

    def __init__(self, cluster: ClusterId, keeper: LeaseKeeper) -> None:
        self.cluster = cluster
        """Name of the cluster."""
        self.keeper = keeper
        """Keeper of the allocator's lease."""
        self.lock = threading.Lock()
        """Guards `fencing_number`, `allocator`, `pools` and `grant_ms`."""
        self.fencing_number = 0
        """Fencing number of the lease for which `allocator` was created; 0 before the
        first."""
        self.allocator: ShareAllocator | None = None
        """Allocator for `fencing_number`; None before the first report."""
        self.pools: dict[str, spb.Amounts] = {}
        """Amounts of each client account that are divided among the holders, by account
        name; empty before `set_limits`."""
        self.grant_ms = GRANT_MS
        """Duration of a grant in milliseconds on the holder's clock; must be the same
        in all processes that may become the allocator."""

    def set_limits(self, limits: Mapping[str, AccountLimits], host_count: int) -> None:
        """Set the limits of newer settings, or another number of hosts.

        Args:
            limits: Limits across all hosts, by client account.
            host_count: Largest number of hosts that accept requests.
        """
        with self.lock:
            self.pools = {
                name: split_limits(limit, host_count).pool
                for name, limit in limits.items()
            }
            if self.allocator is not None:
                self.allocator.set_pools(self.pools)

    def Report(  # noqa: N802
        self, request: spb.ShareReport, context: grpc.ServicerContext
    ) -> spb.ShareGrant:
        """Respond to a host's report; refuse it unless this process holds the lease."""
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
        """Return the state of the allocator for a dump; empty before the first."""
        with self.lock:
            if self.allocator is None:
                return {}
            return self.allocator.dump(self.keeper.clock())


class ShareReporter:
    """Reports a host's demand periodically and receives grants.

    Args:
        shares: Shares of the host.
        locate_allocator: Returns the allocator's IP address and port; empty when it
            is unknown.
        make_channel: Opens a channel to an IP address and port.
        on_shares: Called with the current share of each client account after each
            change of the limits and after each report.
        clock: Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        shares: HostShares,
        locate_allocator: Callable[[], str],
        make_channel: Callable[[str], grpc.Channel],
        on_shares: Callable[[Mapping[str, spb.Amounts]], None],
        clock: Callable[[], int],
    ) -> None:
        self.shares = shares
        """Shares of the host; guarded by `lock`."""
        self.locate_allocator = locate_allocator
        """Returns the allocator's IP address and port; empty when unknown."""
        self.make_channel = make_channel
        """Opens a channel to an IP address and port."""
        self.on_shares = on_shares
        """Called with the current share of each client account."""
        self.clock = clock
        """Returns the monotonic time in milliseconds."""
        self.lock = threading.Lock()
        """Guards `shares`."""
        self.address = ""
        """IP address and port of the last used allocator; empty before the first."""
        self.channel: grpc.Channel | None = None
        """Channel to the last used allocator; None before the first."""
        self.stopping = threading.Event()
        """Set to end `thread`."""
        self.thread = threading.Thread(target=self._run, name="shares", daemon=True)
        """Thread that sends the reports."""

    def set_limits(self, limits: Mapping[str, AccountLimits], host_count: int) -> None:
        """Set the limits of newer settings, or another number of hosts.

        Args:
            limits: Limits across all hosts, by client account.
            host_count: Largest number of hosts that accept requests.
        """
        safe = {
            name: split_limits(limit, host_count).safe_share
            for name, limit in limits.items()
        }
        with self.lock:
            self.shares.set_safe_shares(safe)
        self.publish_shares()

    def on_request(self, account: str) -> None:
        """Add a request, admitted or refused, to the demand of its client account."""
        with self.lock:
            share = self.shares.accounts.get(account)
            if share is not None:
                share.on_request(self.clock())

    def on_started(self, account: str) -> None:
        """Count a request that started to run for a client account."""
        with self.lock:
            share = self.shares.accounts.get(account)
            if share is not None:
                share.running += 1

    def on_ended(self, account: str, tokens: float) -> None:
        """Count a request of a client account that ended, and its generated tokens."""
        with self.lock:
            share = self.shares.accounts.get(account)
            if share is not None:
                share.running -= 1
                share.on_tokens(tokens, self.clock())

    def start(self) -> None:
        """Start the thread that sends the reports."""
        self.thread.start()

    def stop(self) -> None:
        """Stop reporting and close the channel."""
        self.stopping.set()
        self.thread.join()
        if self.channel is not None:
            self.channel.close()

    def step(self) -> bool:
        """Send one report; return whether the grant for it was applied."""
        address = self.locate_allocator()
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
        """Return the shares of the host for a dump."""
        with self.lock:
            now_ms = self.clock()
            return {
                "allocator": self.address,
                "accounts": {
                    name: {
                        "share": account.share(now_ms),
                        "cut_off": account.has_no_grant(now_ms),
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
            self.channel, self.address = self.make_channel(address), address
        stub = spb_grpc.ShareServiceStub(self.channel)
        try:
            return stub.Report(report, timeout=REPORT_TIMEOUT_S)
        except grpc.RpcError as error:
            logger.warning(
                "shares: could not send the demand report to the allocator at {}: {}",
                address,
                error,
            )
            return None

    def _run(self) -> None:
        while not self.stopping.wait(REPORT_INTERVAL_S):
            self.step()


def make_host_shares(holder: str, cluster: str) -> HostShares:
    """Return the shares of a host that has no client accounts yet.

    Args:
        holder: Id of the host's process, different at each start.
        cluster: Name of the cluster.
    """
    return HostShares(holder, cluster)
