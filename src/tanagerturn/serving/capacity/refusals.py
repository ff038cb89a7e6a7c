"""Refused host starts by zone, class and market, with backoff."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

    from tanagerturn.serving.capacity.messages import OfferKey

INITIAL_PAUSE_MS: Final = 10_000
"""Pause after a first refusal in milliseconds; it doubles with each further one."""

MAX_PAUSE_MS: Final = 300_000
"""Longest pause before jitter, in milliseconds."""

JITTER_SHARE: Final = 0.25
"""Largest share by which a pause is lengthened or shortened at random."""


@dataclass(frozen=True)
class Refusal:
    """Consecutive refusals of one kind of host."""

    count: int
    """Number of consecutive refusals."""
    until_ms: int
    """Time in milliseconds before which no start of the kind is attempted."""


class Refusals:
    """Kinds of hosts whose last start was refused."""

    def __init__(self) -> None:
        self.by_key: dict[OfferKey, Refusal] = {}
        """Refusals by zone, class and market."""

    def on_refused(self, key: OfferKey, now_ms: int, random: Random) -> None:
        """Record a refused start; each consecutive one lengthens the pause."""
        known = self.by_key.get(key)
        if known is not None and now_ms < known.until_ms:
            return
        count = known.count + 1 if known else 1
        pause_ms = min(MAX_PAUSE_MS, INITIAL_PAUSE_MS << min(count - 1, 10))
        jitter = 1.0 + JITTER_SHARE * random.uniform(-1.0, 1.0)
        self.by_key[key] = Refusal(count, now_ms + int(pause_ms * jitter))

    def on_started(self, key: OfferKey) -> None:
        """Remove the refusals of a kind of which a host was started."""
        self.by_key.pop(key, None)

    def blocked(self, key: OfferKey, now_ms: int) -> bool:
        """Return whether starts of a kind are paused."""
        known = self.by_key.get(key)
        return known is not None and now_ms < known.until_ms
