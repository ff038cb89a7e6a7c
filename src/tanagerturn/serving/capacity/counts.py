"""Numbers of backend servers to order by zone and market; pure.

For clouds that take a number of backend servers for each zone and market, not
single hosts. Answers the pattern of a zone whose reclaimable backend servers are
all taken within seconds while no others are to be had: reclaimable ones are
spread over all zones, one that can't be taken serves on, and what runs is given
back only when those that replace it are ready.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NamedTuple

from tanagerturn.serving.capacity.messages import Market

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from tanagerturn.serving.backends.messages import AvailabilityZone

ENGINE_TOKENS_PER_S: Final = 18_000.0
"""Tokens a second that callers may ask of one engine: it reads 38 to 62 in a
millisecond, half of them are cached, and running requests take turns with it."""

SPARE_ENGINES: Final = 2
"""Reclaimable engines beyond the need: a zone of them may be taken at once, and
a burst may come within the boot time."""

SPARE_ON_DEMAND: Final = 1
"""On-demand engines beyond the need where none can be reclaimed."""

BASE_ENGINES: Final = 1
"""Engines that can't be reclaimed while reclaimable ones are to be had."""

FEWER_AFTER_S: Final = 3.0
"""Time for which fewer must be enough before one is given back."""

LEAST_ENGINES: Final = 4
"""Engines for callers that come after a silence; a deployment starts like that."""

RISE_TIME_S: Final = 1.5
"""Time constant with which engines are ordered for more demand."""

FALL_TIME_S: Final = 12.0
"""Time constant with which less demand is believed; a lull of some seconds between
bursts is shorter than a boot and a return."""

GIVE_BACK_AFTER_S: Final = 3.0
"""Time for which enough reclaimable ones must be ready before on-demand ones are
given back; a reclaim often follows soon after a start."""

IDLE_GIVE_BACK_AFTER_S: Final = 0.4
"""The same time while no caller has come: nothing would be lost by a reclaim."""

GIVE_BACK_PAUSE_S: Final = 1.0
"""Time between two on-demand engines that are given back while callers are here: the
parts that each one held are read again elsewhere, and not all at once."""

BOOT_FACTOR: Final = 1.6
"""Multiple of the boot time after which an ordered backend server is not expected
any more."""

REFUSED_S: Final = 2.0
"""Time for which a refused zone and market is not asked again."""

ASK_MARGIN_S: Final = 1.0
"""Time within which it is asked again then."""


class CountKey(NamedTuple):
    """What an order names besides its service."""

    zone: AvailabilityZone
    """Availability zone."""
    market: Market
    """How the backend servers are rented."""


@dataclass(frozen=True)
class ZoneOffer:
    """What may be ordered in one zone."""

    zone: AvailabilityZone
    """The zone."""
    price: float
    """Price of an on-demand backend server."""
    least: int
    """Backend servers of both markets at least."""
    most: int
    """Backend servers of both markets at most."""


class CountPlanner:
    """Plans one service.

    Args:
        boot_s: Time from an order to a backend server that is ready.
    """

    def __init__(self, boot_s: float) -> None:
        self.boot_s = boot_s
        """Time from an order to a backend server that is ready."""
        self.refused_until_s: dict[CountKey, float] = {}
        """Refused orders, and when they are tried again."""
        self.accepted: dict[CountKey, tuple[int, float]] = {}
        """Last accepted number by zone and market, and when it was ordered."""
        self.was_asked = False
        """Callers have asked for something."""
        self.smoothed = 0.0
        """Smoothed demand in tokens a second."""
        self.smoothed_at_s = 0.0
        self.engines = 0
        """Number that is held now."""
        self.fewer_since_s: float | None = None
        """Since when fewer would be enough."""
        self.enough_since_s: float | None = None
        """Since when enough reclaimable ones have been ready."""

    def on_accepted(self, key: CountKey, count: int, now_s: float) -> None:
        """Remember an order that the cloud carries out."""
        self.accepted[key] = (count, now_s)
        self.refused_until_s.pop(key, None)

    def on_refused(self, key: CountKey, now_s: float) -> None:
        """Remember that the cloud has none of a kind now."""
        self.refused_until_s[key] = now_s + REFUSED_S
        self.accepted.pop(key, None)

    def plan(
        self,
        tokens_per_s: float,
        offers: Sequence[ZoneOffer],
        has_reclaimable: bool,
        ready: Mapping[CountKey, int],
        now_s: float,
        prior_per_s: float = 0.0,
    ) -> dict[CountKey, int]:
        """Return the numbers to hold.

        Args:
            tokens_per_s: What callers ask, refused requests included.
            offers: Zones in which backend servers may be ordered, at least one.
            has_reclaimable: Reclaimable ones are on offer.
            ready: Backend servers that are ready and do not leave.
            now_s: Present time.
            prior_per_s: Demand to expect while nothing was asked yet.
        """
        self.was_asked |= tokens_per_s > 0
        if not self.was_asked:
            self.smoothed, self.smoothed_at_s = prior_per_s, now_s
            tokens_per_s = prior_per_s
        smoothed = self._smooth(tokens_per_s, now_s)
        need = self._steady(needed_engines(smoothed), now_s)
        spots: dict[CountKey, int] = {}
        if has_reclaimable:
            spots = self._reclaimable(need, offers, ready)
        wanted = self._on_demand(need, spots, ready, now_s)
        on_demand = self._place_on_demand(wanted, offers, ready, now_s)
        most = {offer.zone: offer.most for offer in offers}
        for key, count in spots.items():
            taken = on_demand[CountKey(key.zone, Market.ON_DEMAND)]
            spots[key] = max(0, min(count, most[key.zone] - taken))
        return {**spots, **on_demand}

    def _reclaimable(
        self, need: int, offers: Sequence[ZoneOffer], ready: Mapping[CountKey, int]
    ) -> dict[CountKey, int]:
        """Return the reclaimable backend servers to hold, spread over the zones."""
        # On-demand ones that run take their zone's room until given back.
        running = {k.zone: n for k, n in ready.items() if k.market is Market.ON_DEMAND}
        held = Counter(running)
        base = base_zone(offers, ready)
        held[base] = max(held[base], BASE_ENGINES)
        spots = spread(need + SPARE_ENGINES - BASE_ENGINES, offers, held)
        for offer in offers:
            lacking = offer.least - held[offer.zone] - spots[offer.zone]
            spots[offer.zone] += max(0, lacking)
        return {CountKey(zone, Market.RECLAIMABLE): n for zone, n in spots.items()}

    def _place_on_demand(
        self,
        wanted: int,
        offers: Sequence[ZoneOffer],
        ready: Mapping[CountKey, int],
        now_s: float,
    ) -> dict[CountKey, int]:
        """Divide on-demand backend servers among the zones.

        Those that run or boot are kept before others are ordered. A zone has room
        besides the reclaimable ones that it has, not those that it refuses.
        """
        keys = {o.zone: CountKey(o.zone, Market.ON_DEMAND) for o in offers}
        expected = {k: self._expected(k, ready, now_s) for k in keys.values()}
        order = sorted(offers, key=lambda offer: _keep_rank(offer, expected))
        counts = {}
        for offer in order:
            key = keys[offer.zone]
            counts[key] = min(wanted, expected[key])
            wanted -= counts[key]
        for offer in order:
            key = keys[offer.zone]
            spot = CountKey(offer.zone, Market.RECLAIMABLE)
            room = offer.most - counts[key] - self._expected(spot, ready, now_s)
            more = max(0, min(wanted, room))
            counts[key] += more
            wanted -= more
        return counts

    def _on_demand(
        self,
        need: int,
        spots: Mapping[CountKey, int],
        ready: Mapping[CountKey, int],
        now_s: float,
    ) -> int:
        """Return the on-demand backend servers to hold."""
        if not spots:
            return need + SPARE_ON_DEMAND
        wanted = need - BASE_ENGINES
        running = sum(min(n, ready.get(key, 0)) for key, n in spots.items())
        coming = sum(self._coming(k, n, ready, now_s) for k, n in spots.items())
        at_risk = self._at_risk(spots, ready, now_s)
        substitutes = BASE_ENGINES + max(0, wanted + at_risk - coming)
        kinds = {*ready, *self.accepted}
        held = sum(
            self._expected(key, ready, now_s)
            for key in kinds
            if key.market is Market.ON_DEMAND
        )
        # On-demand ones may take the room of reclaimable ones in their zone.
        surplus = running + held - need - SPARE_ENGINES
        enough = substitutes if running >= wanted else max(substitutes, held - surplus)
        if enough >= held:
            self.enough_since_s = None
        elif self.enough_since_s is None:
            self.enough_since_s = now_s
        steady = self.enough_since_s
        least_s = GIVE_BACK_AFTER_S if self.was_asked else IDLE_GIVE_BACK_AFTER_S
        if steady is None or now_s - steady < least_s:
            return max(substitutes, held)
        if not self.was_asked:
            return enough
        self.enough_since_s = now_s - least_s + GIVE_BACK_PAUSE_S
        return held - 1

    def _at_risk(
        self, spots: Mapping[CountKey, int], ready: Mapping[CountKey, int], now_s: float
    ) -> int:
        """Return the most reclaimable ones in a zone while none can be had anew.

        They may be taken next, and what replaces them takes a boot.
        """
        asked_s = [self.refused_until_s.get(key, 0.0) + ASK_MARGIN_S for key in spots]
        if now_s >= max(asked_s):
            return 0
        return max(ready.get(key, 0) for key in spots)

    def _coming(
        self, key: CountKey, count: int, ready: Mapping[CountKey, int], now_s: float
    ) -> int:
        """Return the reclaimable ones that run, boot, or are ordered with this plan.

        On-demand ones would boot no sooner than those that are not refused.
        """
        if now_s < self.refused_until_s.get(key, 0.0):
            return self._expected(key, ready, now_s)
        return max(count, self._expected(key, ready, now_s))

    def _expected(
        self, key: CountKey, ready: Mapping[CountKey, int], now_s: float
    ) -> int:
        """Return the backend servers of a kind that run or are about to."""
        runs = ready.get(key, 0)
        count, at_s = self.accepted.get(key, (0, 0.0))
        if now_s - at_s < BOOT_FACTOR * self.boot_s:
            return max(runs, count)
        return runs

    def _smooth(self, tokens_per_s: float, now_s: float) -> float:
        """Return the demand over the time that an engine takes to boot and more."""
        passed_s = max(0.0, now_s - self.smoothed_at_s)
        time_s = RISE_TIME_S if tokens_per_s > self.smoothed else FALL_TIME_S
        weight = 1.0 - math.exp(-passed_s / time_s)
        self.smoothed += weight * (tokens_per_s - self.smoothed)
        self.smoothed_at_s = now_s
        return self.smoothed

    def _steady(self, engines: int, now_s: float) -> int:
        """Return the number to hold: more at once, fewer after a steady time."""
        if engines >= self.engines:
            self.engines = engines
            self.fewer_since_s = None
        elif self.fewer_since_s is None:
            self.fewer_since_s = now_s
        elif now_s - self.fewer_since_s >= FEWER_AFTER_S:
            self.engines -= 1
            self.fewer_since_s = None
        return self.engines


def needed_engines(tokens_per_s: float) -> int:
    """Return the engines that meet a demand."""
    return max(LEAST_ENGINES, math.ceil(tokens_per_s / ENGINE_TOKENS_PER_S))


def base_zone(
    offers: Sequence[ZoneOffer], ready: Mapping[CountKey, int]
) -> AvailabilityZone:
    """Return the cheapest zone for the base, one where it runs already first."""
    return min(offers, key=lambda offer: _keep_rank(offer, ready)).zone


def spread(
    count: int, offers: Sequence[ZoneOffer], held: Counter[AvailabilityZone]
) -> Counter[AvailabilityZone]:
    """Divide backend servers among zones, as evenly as their bounds allow.

    Args:
        count: Number to divide.
        offers: Zones to choose from.
        held: What is held in zones besides.
    """
    divided: Counter[AvailabilityZone] = Counter()
    for _ in range(count):
        able = [o for o in offers if divided[o.zone] + held[o.zone] < o.most]
        if not able:
            break
        best = min(able, key=lambda o: (divided[o.zone], o.price, o.zone))
        divided[best.zone] += 1
    return divided


def _keep_rank(
    offer: ZoneOffer, ready: Mapping[CountKey, int]
) -> tuple[bool, float, str]:
    """Order zones in which on-demand backend servers are kept or ordered."""
    runs = ready.get(CountKey(offer.zone, Market.ON_DEMAND), 0) > 0
    return not runs, offer.price, offer.zone
