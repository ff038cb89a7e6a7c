"""Reclaimable engines that suffice without some availability zones; without I/O.

All reclaimable engines of a zone may be reclaimed at once, and none may be available
anywhere for a while afterwards. Where they are cheap, enough of them are held in
advance for the loss of two zones: on-demand engines that replace them cost several
times as much, and are ready only after the boot time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.serving.capacity.messages import CountKey, Market

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from tanagerturn.serving.capacity.messages import ZoneOffer

TOLERATED_ZONES: Final = 2
"""Number of zones without which the engines have to suffice."""

MAX_COST_SHARE: Final = 0.5
"""Largest cost of the reclaimable engines with all spares, as a share of the cost of
on-demand engines without spares."""


def are_spares_cheap(reclaimable_price: float, zones: int) -> bool:
    """Return whether engines for the loss of zones cost less than on-demand ones.

    Args:
        reclaimable_price: Price of a reclaimable engine as a fraction of the on-demand
            price; 0 if none are offered.
        zones: Number of zones in which engines may be ordered.
    """
    if not reclaimable_price or zones <= TOLERATED_ZONES:
        return False
    held_per_needed = zones / (zones - TOLERATED_ZONES)
    return reclaimable_price * held_per_needed <= MAX_COST_SHARE


def plan_with_spares(
    needed_count: int,
    offers: Sequence[ZoneOffer],
    ready: Mapping[CountKey, int],
    *,
    keeps_ready: bool,
) -> dict[CountKey, int]:
    """Return the number of reclaimable engines to hold by zone.

    Args:
        needed_count: Number of engines that the demand needs.
        offers: Zones in which engines may be ordered, more than `TOLERATED_ZONES`.
        ready: Number of engines that are ready and not leaving, by zone and market.
        keeps_ready: None are available in some zone, so that released ones could not be
            replaced.
    """
    per_zone = -(-needed_count // (len(offers) - TOLERATED_ZONES))
    planned = {}
    for offer in offers:
        key = CountKey(offer.zone, Market.RECLAIMABLE)
        wanted = max(per_zone, offer.min_count)
        if keeps_ready:
            wanted = max(wanted, ready.get(key, 0))
        planned[key] = min(wanted, offer.max_count)
    return planned
