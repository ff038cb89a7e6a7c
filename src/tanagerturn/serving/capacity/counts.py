"""Number of backend servers to order by zone and market; without I/O.

This planner is for clouds that accept a number of backend servers per zone and market
instead of single hosts. All reclaimable backend servers of a zone may be reclaimed
within seconds while no others are available. Reclaimable backend servers are therefore
spread over all zones, one on-demand backend server is always held, and running ones
are released only when their replacements are ready.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.capacity.messages import CountKey, Market, ZoneOffer
from tanagerturn.serving.capacity.zone_spares import (
    are_spares_cheap,
    plan_with_spares,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from tanagerturn.serving.backends.messages import AvailabilityZone

ENGINE_TOKENS_PER_S: Final = 18_000.0
"""Tokens per second that callers may request from one engine. An engine computes 38 to
62 tokens per millisecond, half of the requested tokens are cached, and running requests
share the steps of the engine."""

SPARE_ENGINES: Final = 2
"""Number of reclaimable engines beyond the need, because all engines of a zone may be
reclaimed at once and a burst may arrive within the boot time."""

SPARE_ON_DEMAND_ENGINES: Final = 1
"""Number of on-demand engines beyond the need if no reclaimable ones are offered."""

BASE_ON_DEMAND_ENGINES: Final = 1
"""Number of on-demand engines that are held while reclaimable ones are available."""

SCALE_IN_DELAY_S: Final = 3.0
"""Seconds for which fewer engines must suffice before the number is reduced by one."""

MIN_ENGINES: Final = 4
"""Minimum number of engines, for callers that arrive after a time without requests. A
deployment starts with this number."""

RISE_TIME_CONSTANT_S: Final = 1.5
"""Time constant in seconds of the smoothed demand while it rises."""

FALL_TIME_CONSTANT_S: Final = 12.0
"""Time constant in seconds of the smoothed demand while it falls. A pause of some
seconds between bursts is shorter than releasing an engine and booting another."""

RELEASE_DELAY_S: Final = 3.0
"""Seconds for which enough reclaimable engines must be ready before on-demand engines
are released, because a reclaim often follows soon after a start."""

IDLE_RELEASE_DELAY_S: Final = 0.4
"""Value of `RELEASE_DELAY_S` before the first request, when a reclaim costs nothing."""

RELEASE_INTERVAL_S: Final = 1.0
"""Seconds between the releases of two on-demand engines after the first request. The
prompt parts that a released engine held are recomputed elsewhere, which must not happen
for all engines at once."""

BOOT_TIMEOUT_FACTOR: Final = 1.6
"""Multiple of the boot time after which an ordered backend server is no longer
expected."""

REFUSAL_PAUSE_S: Final = 2.0
"""Seconds for which a refused zone and market is not ordered again."""

KEEP_AFTER_REFUSAL_S: Final = 30.0
"""Seconds after a refusal for which ready reclaimable engines are kept where spares are
held: a shortage in one zone is followed by others within some seconds."""

RETRY_MARGIN_S: Final = 1.0
"""Seconds after `REFUSAL_PAUSE_S` within which the refused order is repeated."""


class CountPlanner:
    """Plans the number of backend servers of one service.

    Args:
        boot_s: Seconds from an order until the backend server is ready.
    """

    def __init__(self, boot_s: float) -> None:
        self.boot_s = boot_s
        """Seconds from an order until the backend server is ready."""
        self.refused_until_s: dict[CountKey, float] = {}
        """Refused zones and markets, with the monotonic time in seconds before which
        they are not ordered again."""
        self.accepted_orders: dict[CountKey, tuple[int, float]] = {}
        """Last accepted number by zone and market, with the monotonic time of its order
        in seconds."""
        self.has_had_demand = False
        """Whether any request has arrived so far."""
        self.smoothed_per_s = 0.0
        """Smoothed demand, in tokens per second."""
        self.smoothed_updated_s = 0.0
        """Monotonic time of the last update of `smoothed_per_s` in seconds."""
        self.engine_count = 0
        """Number of engines that the demand needs, reduced only after the scale-in
        delay."""
        self.scale_in_since_s: float | None = None
        """Monotonic time in seconds since which fewer engines would suffice; None if
        they would not."""
        self.refused_s = -math.inf
        """Monotonic time of the last refusal in seconds; -inf before one."""
        self.release_since_s: float | None = None
        """Monotonic time in seconds since which on-demand engines could be released;
        None if none could."""

    def on_accepted(self, key: CountKey, count: int, now_s: float) -> None:
        """Record an order that the cloud accepted.

        Args:
            key: Zone and market of the order.
            count: Ordered number of backend servers.
            now_s: Monotonic time in seconds.
        """
        self.accepted_orders[key] = (count, now_s)
        self.refused_until_s.pop(key, None)

    def on_refused(self, key: CountKey, now_s: float) -> None:
        """Record that the cloud has no capacity in a zone and market now."""
        self.refused_s = now_s
        self.refused_until_s[key] = now_s + REFUSAL_PAUSE_S
        self.accepted_orders.pop(key, None)

    def plan(
        self,
        tokens_per_s: float,
        offers: Sequence[ZoneOffer],
        has_reclaimable: bool,
        ready: Mapping[CountKey, int],
        now_s: float,
        prior_per_s: float = 0.0,
        engines_for: Callable[[float], float] | None = None,
        spares_price: float = 0.0,
    ) -> dict[CountKey, int]:
        """Return the number of backend servers to hold by zone and market.

        Args:
            tokens_per_s: Demand of callers in tokens per second, including refused
                requests.
            offers: Zones in which backend servers may be ordered, at least one.
            has_reclaimable: Whether reclaimable backend servers are offered.
            ready: Number of backend servers that are ready and not leaving, by zone and
                market.
            now_s: Monotonic time in seconds.
            prior_per_s: Assumed demand before the first request, in tokens per second.
            engines_for: Returns the number of engines that meet a demand in tokens per
                second, from measurements; None if there are none.
            spares_price: Price of a reclaimable backend server as a fraction of the
                on-demand price, if spares may be held for the loss of zones; else 0.
        """
        self.has_had_demand |= tokens_per_s > 0
        if not self.has_had_demand:
            self.smoothed_per_s, self.smoothed_updated_s = prior_per_s, now_s
            tokens_per_s = prior_per_s
        smoothed_per_s = self._smooth_demand(tokens_per_s, now_s)
        needed_count = needed_engines(smoothed_per_s)
        if engines_for is not None and self.has_had_demand:
            needed_count = max(MIN_ENGINES, math.ceil(engines_for(smoothed_per_s)))
        needed_count = self._limit_scale_in(needed_count, now_s)
        reclaimable: dict[CountKey, int] = {}
        if has_reclaimable and are_spares_cheap(spares_price, len(offers)):
            keeps_ready = now_s - self.refused_s < KEEP_AFTER_REFUSAL_S
            reclaimable = plan_with_spares(
                needed_count, offers, ready, keeps_ready=keeps_ready
            )
            wanted_count = self._plan_beside_spares(
                needed_count, reclaimable, ready, now_s
            )
        else:
            if has_reclaimable:
                reclaimable = self._plan_reclaimable(needed_count, offers, ready)
            wanted_count = self._plan_on_demand(needed_count, reclaimable, ready, now_s)
        on_demand = self._divide_on_demand(wanted_count, offers, ready, now_s)
        max_by_zone = {offer.zone: offer.max_count for offer in offers}
        for key, count in reclaimable.items():
            on_demand_count = on_demand[CountKey(key.zone, Market.ON_DEMAND)]
            reclaimable[key] = max(
                0, min(count, max_by_zone[key.zone] - on_demand_count)
            )
        return {**reclaimable, **on_demand}

    def _plan_reclaimable(
        self,
        needed_count: int,
        offers: Sequence[ZoneOffer],
        ready: Mapping[CountKey, int],
    ) -> dict[CountKey, int]:
        """Return the number of reclaimable backend servers to hold by zone."""
        # On-demand engines use the capacity of their zone until they are released.
        running = {k.zone: n for k, n in ready.items() if k.market is Market.ON_DEMAND}
        held = Counter(running)
        base_zone = base_on_demand_zone(offers, ready)
        held[base_zone] = max(held[base_zone], BASE_ON_DEMAND_ENGINES)
        reclaimable = divide_evenly(
            needed_count + SPARE_ENGINES - BASE_ON_DEMAND_ENGINES, offers, held
        )
        for offer in offers:
            missing_count = offer.min_count - held[offer.zone] - reclaimable[offer.zone]
            reclaimable[offer.zone] += max(0, missing_count)
        return {
            CountKey(zone, Market.RECLAIMABLE): n for zone, n in reclaimable.items()
        }

    def _divide_on_demand(
        self,
        wanted_count: int,
        offers: Sequence[ZoneOffer],
        ready: Mapping[CountKey, int],
        now_s: float,
    ) -> dict[CountKey, int]:
        """Divide on-demand backend servers among the zones.

        Running and booting on-demand backend servers are kept before others are
        ordered. The capacity of a zone is reduced by its running and booting
        reclaimable backend servers, but not by those that the cloud refuses there.
        """
        keys = {o.zone: CountKey(o.zone, Market.ON_DEMAND) for o in offers}
        expected = {k: self._running_or_booting(k, ready, now_s) for k in keys.values()}
        preferred_offers = sorted(
            offers, key=lambda offer: _on_demand_sort_key(offer, expected)
        )
        counts = {}
        for offer in preferred_offers:
            key = keys[offer.zone]
            counts[key] = min(wanted_count, expected[key])
            wanted_count -= counts[key]
        for offer in preferred_offers:
            key = keys[offer.zone]
            reclaimable_key = CountKey(offer.zone, Market.RECLAIMABLE)
            capacity = (
                offer.max_count
                - counts[key]
                - self._running_or_booting(reclaimable_key, ready, now_s)
            )
            added_count = max(0, min(wanted_count, capacity))
            counts[key] += added_count
            wanted_count -= added_count
        return counts

    def _plan_on_demand(
        self,
        needed_count: int,
        reclaimable: Mapping[CountKey, int],
        ready: Mapping[CountKey, int],
        now_s: float,
    ) -> int:
        """Return the total number of on-demand backend servers to hold."""
        if not reclaimable:
            return needed_count + SPARE_ON_DEMAND_ENGINES
        wanted_count = needed_count - BASE_ON_DEMAND_ENGINES
        running = sum(min(n, ready.get(key, 0)) for key, n in reclaimable.items())
        expected_reclaimable = sum(
            self._expected_reclaimable(k, n, ready, now_s)
            for k, n in reclaimable.items()
        )
        at_risk = self._reclaimable_at_risk(reclaimable, ready, now_s)
        required = BASE_ON_DEMAND_ENGINES + max(
            0, wanted_count + at_risk - expected_reclaimable
        )
        held = self._held_on_demand(ready, now_s)
        # On-demand engines may use the capacity of reclaimable ones in their zone.
        surplus = running + held - needed_count - SPARE_ENGINES
        sufficient = (
            required if running >= wanted_count else max(required, held - surplus)
        )
        return self._release_slowly(required, sufficient, held, now_s)

    def _plan_beside_spares(
        self,
        needed_count: int,
        reclaimable: Mapping[CountKey, int],
        ready: Mapping[CountKey, int],
        now_s: float,
    ) -> int:
        """Return the total number of on-demand backend servers beside spares.

        They only fill what the reclaimable ones lack.
        """
        running = sum(min(n, ready.get(key, 0)) for key, n in reclaimable.items())
        expected = sum(
            self._expected_reclaimable(key, n, ready, now_s)
            for key, n in reclaimable.items()
        )
        required = max(0, needed_count - expected)
        sufficient = max(required, needed_count - running)
        held = self._held_on_demand(ready, now_s)
        return self._release_slowly(required, sufficient, held, now_s)

    def _held_on_demand(self, ready: Mapping[CountKey, int], now_s: float) -> int:
        return sum(
            self._running_or_booting(key, ready, now_s)
            for key in {*ready, *self.accepted_orders}
            if key.market is Market.ON_DEMAND
        )

    def _release_slowly(
        self, required: int, sufficient: int, held: int, now_s: float
    ) -> int:
        """Return the number of on-demand backend servers to hold.

        Args:
            required: Number that the need requires, booting ones included.
            sufficient: Number that suffices while others boot.
            held: Number that is ready or booting.
            now_s: Monotonic time in seconds.
        """
        if sufficient >= held:
            self.release_since_s = None
        elif self.release_since_s is None:
            self.release_since_s = now_s
        since_s = self.release_since_s
        delay_s = RELEASE_DELAY_S if self.has_had_demand else IDLE_RELEASE_DELAY_S
        if since_s is None or now_s - since_s < delay_s:
            return max(required, held)
        if not self.has_had_demand:
            return sufficient
        self.release_since_s = now_s - delay_s + RELEASE_INTERVAL_S
        return held - 1

    def _reclaimable_at_risk(
        self,
        reclaimable: Mapping[CountKey, int],
        ready: Mapping[CountKey, int],
        now_s: float,
    ) -> int:
        """Return the number of reclaimable engines that the loss of a zone would cost.

        The zone with most reclaimable engines counts, because it may be reclaimed next
        and replacements would have to boot first. 0 unless the cloud has recently
        refused an order for reclaimable engines in any zone.
        """
        retry_times_s = [
            self.refused_until_s.get(key, 0.0) + RETRY_MARGIN_S for key in reclaimable
        ]
        if now_s >= max(retry_times_s):
            return 0
        return max(ready.get(key, 0) for key in reclaimable)

    def _expected_reclaimable(
        self, key: CountKey, count: int, ready: Mapping[CountKey, int], now_s: float
    ) -> int:
        """Return the number of reclaimable engines ready, booting or ordered now.

        Orders of this plan count unless the cloud refuses them, because on-demand
        engines would not boot faster.
        """
        if now_s < self.refused_until_s.get(key, 0.0):
            return self._running_or_booting(key, ready, now_s)
        return max(count, self._running_or_booting(key, ready, now_s))

    def _running_or_booting(
        self, key: CountKey, ready: Mapping[CountKey, int], now_s: float
    ) -> int:
        """Return the number of backend servers that are ready or booting.

        Args:
            key: Zone and market of the backend servers.
            ready: Number of ready backend servers, by zone and market.
            now_s: Monotonic time in seconds.
        """
        running = ready.get(key, 0)
        count, at_s = self.accepted_orders.get(key, (0, 0.0))
        if now_s - at_s < BOOT_TIMEOUT_FACTOR * self.boot_s:
            return max(running, count)
        return running

    def _smooth_demand(self, tokens_per_s: float, now_s: float) -> float:
        """Update and return the smoothed demand, in tokens per second."""
        passed_s = max(0.0, now_s - self.smoothed_updated_s)
        time_constant_s = (
            RISE_TIME_CONSTANT_S
            if tokens_per_s > self.smoothed_per_s
            else FALL_TIME_CONSTANT_S
        )
        weight = 1.0 - math.exp(-passed_s / time_constant_s)
        self.smoothed_per_s += weight * (tokens_per_s - self.smoothed_per_s)
        self.smoothed_updated_s = now_s
        return self.smoothed_per_s

    def _limit_scale_in(self, engine_count: int, now_s: float) -> int:
        """Return the number of engines to hold: rises at once, falls after a delay.

        Args:
            engine_count: Number of engines that the current demand needs.
            now_s: Monotonic time in seconds.
        """
        if engine_count >= self.engine_count:
            self.engine_count = engine_count
            self.scale_in_since_s = None
        elif self.scale_in_since_s is None:
            self.scale_in_since_s = now_s
        elif now_s - self.scale_in_since_s >= SCALE_IN_DELAY_S:
            self.engine_count -= 1
            self.scale_in_since_s = None
        return self.engine_count


def needed_engines(tokens_per_s: float) -> int:
    """Return the number of engines that meet a demand in tokens per second.

    The number is at least `MIN_ENGINES`.
    """
    return max(MIN_ENGINES, math.ceil(tokens_per_s / ENGINE_TOKENS_PER_S))


def base_on_demand_zone(
    offers: Sequence[ZoneOffer], ready: Mapping[CountKey, int]
) -> AvailabilityZone:
    """Return the zone in which the base on-demand engines are held.

    This is the cheapest zone with running on-demand engines, or the cheapest of all
    zones if none has any.
    """
    return min(offers, key=lambda offer: _on_demand_sort_key(offer, ready)).zone


def divide_evenly(
    count: int, offers: Sequence[ZoneOffer], held: Counter[AvailabilityZone]
) -> Counter[AvailabilityZone]:
    """Divide backend servers among zones as evenly as their limits allow.

    Args:
        count: Number of backend servers to divide; fewer are divided if the limits of
            the zones do not allow more.
        offers: Zones with their limits.
        held: Number of other backend servers held in each zone.
    """
    divided: Counter[AvailabilityZone] = Counter()
    for _ in range(count):
        eligible = [o for o in offers if divided[o.zone] + held[o.zone] < o.max_count]
        if not eligible:
            break
        selected = min(eligible, key=lambda o: (divided[o.zone], o.price, o.zone))
        divided[selected.zone] += 1
    return divided


def _on_demand_sort_key(
    offer: ZoneOffer, ready: Mapping[CountKey, int]
) -> tuple[bool, float, str]:
    """Return the sort key of a zone for on-demand backend servers, preferred first."""
    running = ready.get(CountKey(offer.zone, Market.ON_DEMAND), 0) > 0
    return not running, offer.price, offer.zone
