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
class Unit:
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

    units: tuple[Unit, ...]
    """Hosts to hold, including those to start."""
    short_slots: float
    """Number of required slots that the hosts do not provide, 0 or more."""

    @property
    def cost(self) -> float:
        """Total expected cost of the hosts per hour."""
        return sum(unit.cost for unit in self.units)


def make_units(
    held: Iterable[HeldHost],
    offers: Iterable[Offer],
    risk: dict[str, float],
    max_starts: int,
) -> list[Unit]:
    """Return all hosts that can be held, in ascending order of cost per slot.

    Args:
        held: Held hosts that may be kept; their cost is reduced by
            `MIN_SWITCH_SAVING`.
        offers: Offers whose last start was not refused recently.
        risk: Expected cost of reclaims by zone, as a share of the price.
        max_starts: Maximum number of hosts to start of each offer.
    """
    units = []
    for host in held:
        cost = _expected_cost(host.key, host.price_per_hour, risk) * (
            1.0 - MIN_SWITCH_SAVING
        )
        units.append(Unit(host.key, host.slots, cost, host.price_per_hour, host.id))
    for offer in offers:
        cost = _expected_cost(offer.key, offer.price_per_hour, risk)
        unit = Unit(offer.key, offer.slots, cost, offer.price_per_hour)
        units += [unit] * max_starts
    units.sort(key=lambda unit: (unit.cost / unit.slots, unit.held or ""))
    return units


def allocate(
    need: ServiceNeed, units: Sequence[Unit], max_on_demand: int
) -> Allocation:
    """Return the cheapest allocation over all limits of hosts per zone.

    With few hosts per zone, the loss of a zone costs few slots, but expensive zones
    are used; with many hosts per zone it is the reverse. Every limit is tried.

    Args:
        need: Capacity need of the service.
        units: Hosts that can be held, in ascending order of cost per slot.
        max_on_demand: Maximum number of on-demand hosts.
    """
    best: Allocation | None = None
    for max_per_zone in range(1, need.max_hosts + 1):
        found = _select_units(need, units, max_per_zone, max_on_demand)
        if best is None or _sort_key(found) < _sort_key(best):
            best = found
        zones = Counter(unit.key.zone for unit in found.units)
        if max(zones.values(), default=0) < max_per_zone:
            # A higher limit per zone leads to the same selection.
            break
    return best or Allocation((), need.slots)


def short_slots(need: ServiceNeed, units: Iterable[Unit]) -> float:
    """Return the number of missing slots, now or after the loss of the largest zone.

    A small positive number if only the minimum number of hosts is not met.
    """
    by_zone: Counter[str] = Counter()
    count = 0
    for unit in units:
        by_zone[unit.key.zone] += unit.slots
        count += 1
    return _missing_slots(need, by_zone, count)


def _missing_slots(need: ServiceNeed, by_zone: Counter[str], count: int) -> float:
    total = sum(by_zone.values())
    largest_zone = max(by_zone.values(), default=0)
    missing = max(
        need.slots - total, need.slots_after_loss - (total - largest_zone), 0.0
    )
    return max(missing, 0.001) if count < need.min_hosts else missing


def _select_units(
    need: ServiceNeed, units: Sequence[Unit], max_per_zone: int, max_on_demand: int
) -> Allocation:
    selected: list[Unit] = []
    hosts: Counter[str] = Counter()
    slots: Counter[str] = Counter()
    on_demand = 0
    for unit in units:
        if len(selected) >= need.max_hosts or not _missing_slots(
            need, slots, len(selected)
        ):
            break
        is_on_demand = unit.key.market is Market.ON_DEMAND
        if hosts[unit.key.zone] >= max_per_zone or (
            is_on_demand and on_demand >= max_on_demand
        ):
            continue
        selected.append(unit)
        hosts[unit.key.zone] += 1
        slots[unit.key.zone] += unit.slots
        on_demand += is_on_demand
    return _remove_redundant(need, selected, slots)


def _remove_redundant(
    need: ServiceNeed, selected: list[Unit], slots: Counter[str]
) -> Allocation:
    """Remove hosts that later selected ones made redundant, most expensive first."""
    missing = _missing_slots(need, slots, len(selected))
    kept = list(selected)
    for unit in sorted(selected, key=lambda each: -each.cost):
        slots[unit.key.zone] -= unit.slots
        if _missing_slots(need, slots, len(kept) - 1) <= missing:
            kept.remove(unit)
        else:
            slots[unit.key.zone] += unit.slots
    return Allocation(tuple(kept), missing)


def _sort_key(allocation: Allocation) -> tuple[float, float]:
    return (round(allocation.short_slots, 3), allocation.cost)


def _expected_cost(key: OfferKey, price: float, risk: dict[str, float]) -> float:
    if key.market is Market.ON_DEMAND:
        return price
    return price * (1.0 + risk.get(key.zone, 0.0))
