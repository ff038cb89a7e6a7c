"""Model of a cloud without I/O; callers pass the current time in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Final

from tanagerturn.standins.cloud.messages import (
    Host,
    HostState,
    Notice,
    Refusal,
    Shortage,
    StartRequest,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.standins.cloud.messages import Offer

MS_PER_HOUR: Final = 3_600_000.0
BILLED_STATES: Final = (HostState.RUNNING, HostState.NOTICED)
"""States in which a host costs its price."""


@dataclass(frozen=True)
class CloudConfig:
    """Configuration of a stand-in cloud."""

    ip: str = "127.0.0.1"
    """IP address to listen on."""
    port: int = 0
    """Port to listen on; 0 selects a free one."""
    offers: tuple[Offer, ...] = ()
    """Hosts that can be started, with their initial prices."""
    start_ms: float = 1000.0
    """Time from the request of a host until it runs, in milliseconds."""
    refuse_rate: float = 0.0
    """Fraction of starts that are refused at random, from 0 to 1."""
    seed: int = 0
    """Seed of the random refusals."""


class CloudModel:
    """Hosts, prices, shortages, notices and cost of a cloud.

    Args:
        config: Configuration of the cloud.
    """

    def __init__(self, config: CloudConfig) -> None:
        self.config = config
        """Configuration of the cloud."""
        self.offers = list(config.offers)
        """Offers with their current prices."""
        self.hosts: dict[str, Host] = {}
        """All hosts by id, those that no longer run included."""
        self.hosts_by_request: dict[str, Host] = {}
        """Host of each start request, by request id."""
        self.notices: list[Notice] = []
        """All notices, ordered by sequence."""
        self.shortages: list[Shortage] = []
        """Shortages, past ones included."""
        self.refused_start_count = 0
        """Number of refused start requests."""
        self.cost = 0.0
        """Cost of all hosts up to `cost_updated_at_ms`, in the prices' currency."""
        self.cost_updated_at_ms: float | None = None
        """Time up to which `cost` is computed, in milliseconds; None before the
        first call that passes a time."""
        self.random = Random(config.seed)
        """Generates the random refusals."""

    def add_running(self, host_id: str, request: StartRequest, now_ms: float) -> Host:
        """Add a host that already runs.

        Args:
            host_id: Id of the host.
            request: Availability zone, class and reclaimability of the host.
            now_ms: Current time, in milliseconds.
        """
        self._update_cost(now_ms)
        host = Host(host_id, request, HostState.RUNNING, now_ms)
        self.hosts[host_id] = host
        self.hosts_by_request[request.request_id] = host
        return host

    def start(self, request: StartRequest, now_ms: float) -> Host | Refusal:
        """Start a host.

        Args:
            request: Requested host; a repeated request id returns the host that the
                first request started.
            now_ms: Current time, in milliseconds.

        Returns:
            The host; a refusal if there is no such offer or no capacity.
        """
        existing = self.hosts_by_request.get(request.request_id)
        if existing is not None:
            return existing
        if self.price(request) is None:
            return self._refuse("no such offer")
        if any(shortage.covers(request, now_ms) for shortage in self.shortages):
            return self._refuse("no capacity")
        if self.random.random() < self.config.refuse_rate:
            return self._refuse("no capacity")
        self._update_cost(now_ms)
        ready_at_ms = now_ms + self.config.start_ms
        host_id = f"host-{len(self.hosts) + 1}"
        host = Host(host_id, request, HostState.STARTING, ready_at_ms)
        self.hosts[host_id] = host
        self.hosts_by_request[request.request_id] = host
        return host

    def stop(self, host_id: str, now_ms: float) -> bool:
        """Release a host.

        Args:
            host_id: Id of the host.
            now_ms: Current time, in milliseconds.

        Returns:
            False if there is no host of this id.
        """
        host = self.hosts.get(host_id)
        if host is None:
            return False
        self._update_cost(now_ms)
        host.state = HostState.GONE
        return True

    def give_notice(
        self, host_ids: Iterable[str], notice_ms: float, now_ms: float
    ) -> list[Host]:
        """Give notice that hosts will be reclaimed.

        Args:
            host_ids: Ids of the hosts; unknown ids and hosts that no longer run are
                ignored.
            notice_ms: Time until the hosts are reclaimed, in milliseconds.
            now_ms: Current time, in milliseconds.

        Returns:
            The hosts that got the notice.
        """
        noticed_hosts = []
        for host_id in host_ids:
            host = self.hosts.get(host_id)
            if host is None or host.state == HostState.GONE:
                continue
            host.state = HostState.NOTICED
            host.ends_at_ms = now_ms + notice_ms
            zone = host.request.availability_zone
            sequence = len(self.notices) + 1
            self.notices.append(Notice(sequence, host_id, zone, host.ends_at_ms))
            noticed_hosts.append(host)
        return noticed_hosts

    def add_shortage(self, shortage: Shortage) -> None:
        """Add a shortage; the starts that it covers are refused until its end."""
        self.shortages.append(shortage)

    def set_price(
        self, zone: str, host_class: str, price_per_hour: float, now_ms: float
    ) -> None:
        """Change the price of reclaimable hosts.

        Args:
            zone: Availability zone of the hosts.
            host_class: Class of the hosts.
            price_per_hour: New price of one host per hour.
            now_ms: Current time, in milliseconds; running hosts cost the new price from
                that time on.
        """
        self._update_cost(now_ms)
        for offer in self.offers:
            same_hosts = (offer.availability_zone, offer.host_class) == (
                zone,
                host_class,
            )
            if same_hosts and offer.reclaimable:
                offer.price_per_hour = price_per_hour

    def price(self, request: StartRequest) -> float | None:
        """Return the current price per hour of a host; None without an offer."""
        wanted = (request.availability_zone, request.host_class, request.reclaimable)
        for offer in self.offers:
            found = (offer.availability_zone, offer.host_class, offer.reclaimable)
            if found == wanted:
                return offer.price_per_hour
        return None

    def advance(self, now_ms: float) -> list[Host]:
        """Start and reclaim the hosts whose time has come.

        Args:
            now_ms: Current time, in milliseconds.

        Returns:
            The hosts that started to run or were reclaimed.
        """
        self._update_cost(now_ms)
        changed_hosts = []
        for host in self.hosts.values():
            if host.state == HostState.STARTING and host.ready_at_ms <= now_ms:
                host.state = HostState.RUNNING
                changed_hosts.append(host)
            ends_at_ms = host.ends_at_ms
            if host.state == HostState.NOTICED and ends_at_ms is not None:
                if ends_at_ms > now_ms:
                    continue
                host.state = HostState.GONE
                changed_hosts.append(host)
        return changed_hosts

    def _refuse(self, reason: str) -> Refusal:
        self.refused_start_count += 1
        return Refusal(reason)

    def _update_cost(self, now_ms: float) -> None:
        """Add the cost of the time since the last update."""
        last_ms = now_ms if self.cost_updated_at_ms is None else self.cost_updated_at_ms
        hours = max(0.0, now_ms - last_ms) / MS_PER_HOUR
        for host in self.hosts.values():
            if host.state in BILLED_STATES:
                self.cost += (self.price(host.request) or 0.0) * hours
        self.cost_updated_at_ms = now_ms
