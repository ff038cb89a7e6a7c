"""Refused host starts by availability zone, class and market, with backoff."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

    from tanagerturn.serving.capacity.messages import OfferKey

INITIAL_PAUSE_MS: Final = 10_000
"""Pause in milliseconds after the first refusal; doubled by each consecutive one."""

MAX_PAUSE_MS: Final = 300_000
"""Longest pause before jitter, in milliseconds."""

JITTER_SHARE: Final = 0.25
"""Largest share by which a pause is lengthened or shortened at random."""


@dataclass(frozen=True)
class Refusal:
    """Consecutive refusals of starts of one kind of host."""

    count: int
    """Number of consecutive refusals."""
    until_ms: int
    """Time in milliseconds before which no start of this kind is attempted."""


class Refusals:
    """Kinds of hosts whose last start was refused.

    A kind is an availability zone, host class and market.
    """

    def __init__(self) -> None:
        self.by_key: dict[OfferKey, Refusal] = {}
        """Refusals by kind of host."""

    def on_refused(self, key: OfferKey, now_ms: int, random: Random) -> None:
        """Record a refused start and pause further starts of its kind.

        A refusal during the pause of an earlier one is ignored.

        Args:
            key: Kind of the host.
            now_ms: Current time in milliseconds.
            random: Source of the jitter.
        """
        known = self.by_key.get(key)
        if known is not None and now_ms < known.until_ms:
            return
        count = known.count + 1 if known else 1
        pause_ms = min(MAX_PAUSE_MS, INITIAL_PAUSE_MS << min(count - 1, 10))
        jitter = 1.0 + JITTER_SHARE * random.uniform(-1.0, 1.0)
        self.by_key[key] = Refusal(count, now_ms + int(pause_ms * jitter))

    def on_started(self, key: OfferKey) -> None:
        """Remove the refusals of a kind of host after a successful start."""
        self.by_key.pop(key, None)

    def is_paused(self, key: OfferKey, now_ms: int) -> bool:
        """Return whether starts of a kind of host are paused."""
        known = self.by_key.get(key)
        return known is not None and now_ms < known.until_ms
