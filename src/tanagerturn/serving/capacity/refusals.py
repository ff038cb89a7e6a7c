"""Refused starts, remembered by zone, class and market."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

    from tanagerturn.serving.capacity.messages import OfferKey

PAUSE_MS: Final = 10_000
PAUSE_MAX_MS: Final = 300_000
JITTER_SHARE: Final = 0.25


@dataclass(frozen=True)
class Refusal:
    """Refused starts of one kind in a row."""

    count: int
    """How many."""
    until_ms: int
    """No start of the kind is tried before this time."""


class Refusals:
    """Kinds of hosts that were refused lately."""

    def __init__(self) -> None:
        self.by_key: dict[OfferKey, Refusal] = {}
        """Refusals by zone, class and market."""

    def on_refused(self, key: OfferKey, now_ms: int, random: Random) -> None:
        """Remember a refused start; each one in a row pauses for longer."""
        known = self.by_key.get(key)
        if known is not None and now_ms < known.until_ms:
            return
        count = known.count + 1 if known else 1
        pause_ms = min(PAUSE_MAX_MS, PAUSE_MS << min(count - 1, 10))
        jitter = 1.0 + JITTER_SHARE * random.uniform(-1.0, 1.0)
        self.by_key[key] = Refusal(count, now_ms + int(pause_ms * jitter))

    def on_started(self, key: OfferKey) -> None:
        """Forget the refusals of a kind that was started."""
        self.by_key.pop(key, None)

    def blocked(self, key: OfferKey, now_ms: int) -> bool:
        """Tell whether starts of a kind are paused."""
        known = self.by_key.get(key)
        return known is not None and now_ms < known.until_ms
