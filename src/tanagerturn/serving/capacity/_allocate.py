"""The cheapest set of hosts that meets a need and any one zone's loss."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.capacity.messages import HeldHost, HostId, Market, OfferKey

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from tanagerturn.serving.capacity.messages import Offer, ServiceNeed

SWITCH_SAVING: Final = 0.25
"""Held hosts are kept unless others are cheaper by this share."""


@dataclass(frozen=True)
class Unit:
    """One host, held or to be started."""

    key: OfferKey
    """Zone, class and market."""
    slots: int
    """Concurrent requests that it takes."""
    cost: float
    """Expected cost per hour, by which units are compared."""
    price: float
    """Price per hour."""
    held: HostId | None = None
    """The host, if it is held."""


@dataclass(frozen=True)
class Allocation:
    """A set of units."""

    units: tuple[Unit, ...]
    """Hosts wanted."""
    short_slots: float
    """Slots that are missing."""

    @property
    def cost(self) -> float:
        """Expected cost per hour."""
        return sum(unit.cost for unit in self.units)


def units_of(
    held: Iterable[HeldHost],
    offers: Iterable[Offer],
    risk: dict[str, float],
    copies: int,
) -> list[Unit]:
    """Return all hosts that can be held, cheapest for a slot first.

    Args:
        held: Hosts that are held and stay.
        offers: Offers that aren't refused.
        risk: Expected cost of a reclaim by zone, as a share of the price.
        copies: Hosts that may be started of one offer.
    """
    units = []
    for host in held:
        cost = _cost(host.key, host.price_per_hour, risk) * (1.0 - SWITCH_SAVING)
        units.append(Unit(host.key, host.slots, cost, host.price_per_hour, host.id))
    for offer in offers:
        cost = _cost(offer.key, offer.price_per_hour, risk)
        unit = Unit(offer.key, offer.slots, cost, offer.price_per_hour)
        units += [unit] * copies
    units.sort(key=lambda unit: (unit.cost / unit.slots, unit.held or ""))
    return units


def allocate(
    need: ServiceNeed, units: Sequence[Unit], max_on_demand: int
) -> Allocation:
    """Return the cheapest allocation over all bounds on hosts in one zone.

    With few hosts in each zone the loss of one costs little but dear zones are
    used; with many it is the other way round. Every bound is tried.
    """
    best: Allocation | None = None
    for in_zone in range(1, need.max_hosts + 1):
        found = _fill(need, units, in_zone, max_on_demand)
        if best is None or _rank(found) < _rank(best):
            best = found
        zones = Counter(unit.key.zone for unit in found.units)
        if max(zones.values(), default=0) < in_zone:
            # A larger bound gives the same set.
            break
    return best or Allocation((), need.slots)


def short_slots(need: ServiceNeed, units: Iterable[Unit]) -> float:
    """Return the slots missing now, or after the loss of the worst zone."""
    by_zone: Counter[str] = Counter()
    count = 0
    for unit in units:
        by_zone[unit.key.zone] += unit.slots
        count += 1
    return _short(need, by_zone, count)


def _short(need: ServiceNeed, by_zone: Counter[str], count: int) -> float:
    total = sum(by_zone.values())
    worst = max(by_zone.values(), default=0)
    short = max(need.slots - total, need.slots_after_loss - (total - worst), 0.0)
    return max(short, 0.001) if count < need.min_hosts else short


def _fill(
    need: ServiceNeed, units: Sequence[Unit], in_zone: int, max_on_demand: int
) -> Allocation:
    taken: list[Unit] = []
    hosts: Counter[str] = Counter()
    slots: Counter[str] = Counter()
    on_demand = 0
    for unit in units:
        if len(taken) >= need.max_hosts or not _short(need, slots, len(taken)):
            break
        demanded = unit.key.market is Market.ON_DEMAND
        if hosts[unit.key.zone] >= in_zone or (demanded and on_demand >= max_on_demand):
            continue
        taken.append(unit)
        hosts[unit.key.zone] += 1
        slots[unit.key.zone] += unit.slots
        on_demand += demanded
    return _trim(need, taken, slots)


def _trim(need: ServiceNeed, taken: list[Unit], slots: Counter[str]) -> Allocation:
    """Drop units that the last ones taken have made needless, dearest first."""
    short = _short(need, slots, len(taken))
    kept = list(taken)
    for unit in sorted(taken, key=lambda each: -each.cost):
        slots[unit.key.zone] -= unit.slots
        if _short(need, slots, len(kept) - 1) <= short:
            kept.remove(unit)
        else:
            slots[unit.key.zone] += unit.slots
    return Allocation(tuple(kept), short)


def _rank(allocation: Allocation) -> tuple[float, float]:
    return (round(allocation.short_slots, 3), allocation.cost)


def _cost(key: OfferKey, price: float, risk: dict[str, float]) -> float:
    if key.market is Market.ON_DEMAND:
        return price
    return price * (1.0 + risk.get(key.zone, 0.0))
