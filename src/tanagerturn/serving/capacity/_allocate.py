"""Selection of the cheapest hosts that meet a need, also after the loss of a zone."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.capacity.messages import HeldHost, HostId, Market, OfferKey

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from tanagerturn.serving.capacity.messages import Offer, ServiceNeed

MIN_SWITCH_SAVING: Final = 0.25
"""Share of the cost by which another host must be cheaper to replace a held one."""


@dataclass(frozen=True)
class HostOption:
    """One host that is held or could be started."""

    key: OfferKey
    """Availability zone, class and market of the host."""
    slots: int
    """Number of requests that the host accepts concurrently."""
    cost: float
    """Expected cost per hour, including reclaims, used to compare units."""
    price: float
    """Price per hour."""
    held: HostId | None = None
    """Id of the held host; None for a host that would have to be started."""


@dataclass(frozen=True)
class Allocation:
    """The hosts to hold for one service."""

    hosts: tuple[HostOption, ...]
    """Hosts to hold, including those to start."""
    short_slots: float
    """Number of required slots that the hosts do not provide, 0 or more."""

    @property
    def cost(self) -> float:
        """Total expected cost of the hosts per hour."""
        return sum(option.cost for option in self.hosts)


def make_host_options(
    held: Iterable[HeldHost],
    offers: Iterable[Offer],
    risk: dict[str, float],
    max_starts: int,
) -> list[HostOption]:
    """Return all hosts that can be held, in ascending order of cost per slot.

    Args:
        held: Held hosts that may be kept; their cost is reduced by
            `MIN_SWITCH_SAVING`.
        offers: Offers whose last start was not refused recently.
        risk: Expected cost of reclaims by zone, as a share of the price.
        max_starts: Maximum number of hosts to start of each offer.
    """
    options = []
    for host in held:
        cost = _expected_cost(host.key, host.price_per_hour, risk) * (
            1.0 - MIN_SWITCH_SAVING
        )
        options.append(
            HostOption(host.key, host.slots, cost, host.price_per_hour, host.id)
        )
    for offer in offers:
        cost = _expected_cost(offer.key, offer.price_per_hour, risk)
        option = HostOption(offer.key, offer.slots, cost, offer.price_per_hour)
        options += [option] * max_starts
    options.sort(key=lambda option: (option.cost / option.slots, option.held or ""))
    return options


def allocate(
    need: ServiceNeed, options: Sequence[HostOption], max_on_demand: int
) -> Allocation:
    """Return the cheapest allocation over all limits of hosts per zone.

    With few hosts per zone, the loss of a zone costs few slots, but expensive zones
    are used; with many hosts per zone it is the reverse. Every limit is tried.

    Args:
        need: Capacity need of the service.
        options: Hosts that can be held, in ascending order of cost per slot.
        max_on_demand: Maximum number of on-demand hosts.
    """
    best: Allocation | None = None
    for max_per_zone in range(1, need.max_hosts + 1):
        allocation = _select_hosts(need, options, max_per_zone, max_on_demand)
        if best is None or _sort_key(allocation) < _sort_key(best):
            best = allocation
        zones = Counter(option.key.zone for option in allocation.hosts)
        if max(zones.values(), default=0) < max_per_zone:
            # A higher limit per zone leads to the same selection.
            break
    return best or Allocation((), need.slots)


def short_slots(need: ServiceNeed, options: Iterable[HostOption]) -> float:
    """Return the number of missing slots, now or after the loss of the largest zone.

    A small positive number if only the minimum number of hosts is not met.
    """
    by_zone: Counter[str] = Counter()
    count = 0
    for option in options:
        by_zone[option.key.zone] += option.slots
        count += 1
    return _missing_slots(need, by_zone, count)


def _missing_slots(need: ServiceNeed, by_zone: Counter[str], count: int) -> float:
    total = sum(by_zone.values())
    largest_zone = max(by_zone.values(), default=0)
    missing = max(
        need.slots - total, need.slots_after_loss - (total - largest_zone), 0.0
    )
    return max(missing, 0.001) if count < need.min_hosts else missing


def _select_hosts(
    need: ServiceNeed,
    options: Sequence[HostOption],
    max_per_zone: int,
    max_on_demand: int,
) -> Allocation:
    selected: list[HostOption] = []
    hosts: Counter[str] = Counter()
    slots: Counter[str] = Counter()
    on_demand = 0
    for option in options:
        if len(selected) >= need.max_hosts or not _missing_slots(
            need, slots, len(selected)
        ):
            break
        is_on_demand = option.key.market is Market.ON_DEMAND
        if hosts[option.key.zone] >= max_per_zone or (
            is_on_demand and on_demand >= max_on_demand
        ):
            continue
        selected.append(option)
        hosts[option.key.zone] += 1
        slots[option.key.zone] += option.slots
        on_demand += is_on_demand
    return _remove_redundant(need, selected, slots)


def _remove_redundant(
    need: ServiceNeed, selected: list[HostOption], slots: Counter[str]
) -> Allocation:
    """Remove hosts that later selected ones made redundant, most expensive first."""
    missing = _missing_slots(need, slots, len(selected))
    remaining = list(selected)
    for option in sorted(selected, key=lambda each: -each.cost):
        slots[option.key.zone] -= option.slots
        if _missing_slots(need, slots, len(remaining) - 1) <= missing:
            remaining.remove(option)
        else:
            slots[option.key.zone] += option.slots
    return Allocation(tuple(remaining), missing)


def _sort_key(allocation: Allocation) -> tuple[float, float]:
    return (round(allocation.short_slots, 3), allocation.cost)


def _expected_cost(key: OfferKey, price: float, risk: dict[str, float]) -> float:
    if key.market is Market.ON_DEMAND:
        return price
    return price * (1.0 + risk.get(key.zone, 0.0))
