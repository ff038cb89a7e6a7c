"""Pure model of a cloud; the present time is passed in, in milliseconds."""

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
PAID_STATES: Final = (HostState.RUNNING, HostState.NOTICED)


@dataclass(frozen=True)
class CloudConfig:
    """What the cloud offers and how it behaves."""

    ip: str = "127.0.0.1"
    """IP number to listen on."""
    port: int = 0
    """Port to listen on; 0 takes a free one."""
    offers: tuple[Offer, ...] = ()
    """Classes of hosts with prices."""
    start_ms: float = 1000.0
    """Time from a start to a running host."""
    refuse_rate: float = 0.0
    """Share of starts that are refused by chance."""
    seed: int = 0
    """Seed of the chance."""


class CloudModel:
    """Hosts, prices, shortages, notices and cost.

    Args:
        config: What the cloud offers and how it behaves.
    """

    def __init__(self, config: CloudConfig) -> None:
        self.config = config
        """What the cloud offers and how it behaves."""
        self.offers = list(config.offers)
        """Present offers."""
        self.hosts: dict[str, Host] = {}
        """All hosts by id."""
        self.by_request: dict[str, Host] = {}
        """Host of each start request."""
        self.notices: list[Notice] = []
        """Notices in order."""
        self.shortages: list[Shortage] = []
        """Times in which starts are refused."""
        self.refused = 0
        """Starts refused."""
        self.cost = 0.0
        """Cost up to `cost_at_ms`."""
        self.cost_at_ms: float | None = None
        """Time up to which cost is counted."""
        self.random = Random(config.seed)
        """Chooses refusals by chance."""

    def add_running(self, host_id: str, request: StartRequest, now_ms: float) -> Host:
        """Add a host that is there already."""
        self._count_cost(now_ms)
        host = Host(host_id, request, HostState.RUNNING, now_ms)
        self.hosts[host_id] = host
        self.by_request[request.request_id] = host
        return host

    def start(self, request: StartRequest, now_ms: float) -> Host | Refusal:
        """Start a host, or refuse it; a repeated request gives the same host."""
        known = self.by_request.get(request.request_id)
        if known is not None:
            return known
        if self.price(request) is None:
            return self._refuse("no such offer")
        if any(shortage.covers(request, now_ms) for shortage in self.shortages):
            return self._refuse("no capacity")
        if self.random.random() < self.config.refuse_rate:
            return self._refuse("no capacity")
        self._count_cost(now_ms)
        ready_at_ms = now_ms + self.config.start_ms
        host_id = f"host-{len(self.hosts) + 1}"
        host = Host(host_id, request, HostState.STARTING, ready_at_ms)
        self.hosts[host_id] = host
        self.by_request[request.request_id] = host
        return host

    def stop(self, host_id: str, now_ms: float) -> bool:
        """Give a host back; False when there is none."""
        host = self.hosts.get(host_id)
        if host is None:
            return False
        self._count_cost(now_ms)
        host.state = HostState.GONE
        return True

    def notice(
        self, host_ids: Iterable[str], notice_ms: float, now_ms: float
    ) -> list[Host]:
        """Tell that hosts will be taken back, and return those concerned."""
        noticed = []
        for host_id in host_ids:
            host = self.hosts.get(host_id)
            if host is None or host.state == HostState.GONE:
                continue
            host.state = HostState.NOTICED
            host.ends_at_ms = now_ms + notice_ms
            zone = host.request.availability_zone
            number = len(self.notices) + 1
            self.notices.append(Notice(number, host_id, zone, host.ends_at_ms))
            noticed.append(host)
        return noticed

    def refuse_starts(self, shortage: Shortage) -> None:
        """Refuse starts for a time."""
        self.shortages.append(shortage)

    def set_price(
        self, zone: str, host_class: str, price_per_hour: float, now_ms: float
    ) -> None:
        """Change the price of reclaimable hosts of a class in a zone."""
        self._count_cost(now_ms)
        for offer in self.offers:
            same = (offer.availability_zone, offer.host_class) == (zone, host_class)
            if same and offer.reclaimable:
                offer.price_per_hour = price_per_hour

    def price(self, request: StartRequest) -> float | None:
        """Return the present price of what was asked for; None without offer."""
        wanted = (request.availability_zone, request.host_class, request.reclaimable)
        for offer in self.offers:
            found = (offer.availability_zone, offer.host_class, offer.reclaimable)
            if found == wanted:
                return offer.price_per_hour
        return None

    def advance(self, now_ms: float) -> list[Host]:
        """Start and end the hosts whose time has come, and return them."""
        self._count_cost(now_ms)
        changed = []
        for host in self.hosts.values():
            if host.state == HostState.STARTING and host.ready_at_ms <= now_ms:
                host.state = HostState.RUNNING
                changed.append(host)
            ends_at_ms = host.ends_at_ms
            if host.state == HostState.NOTICED and ends_at_ms is not None:
                if ends_at_ms > now_ms:
                    continue
                host.state = HostState.GONE
                changed.append(host)
        return changed

    def _refuse(self, reason: str) -> Refusal:
        self.refused += 1
        return Refusal(reason)

    def _count_cost(self, now_ms: float) -> None:
        """Add the cost of the time since it was last counted."""
        last_ms = now_ms if self.cost_at_ms is None else self.cost_at_ms
        hours = max(0.0, now_ms - last_ms) / MS_PER_HOUR
        for host in self.hosts.values():
            if host.state in PAID_STATES:
                self.cost += (self.price(host.request) or 0.0) * hours
        self.cost_at_ms = now_ms
