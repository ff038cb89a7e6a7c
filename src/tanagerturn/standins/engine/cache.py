"""Prefix cache of a stand-in engine, with delayed and lost cache events."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Final

from tanagerturn.schema.serving_pb2 import CacheEvent

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from tanagerturn.standins.engine.config import EngineConfig

EVENTS_PER_ANNOUNCEMENT: Final = 128
"""Maximum number of cache events in one announcement."""


@dataclass(frozen=True)
class DelayedEvent:
    """A cache event that is announced after a delay."""

    visible_at_ms: float
    """Time from which the event is announced, in milliseconds."""
    event: CacheEvent
    """The cache event."""


class PrefixCache:
    """A prefix cache that evicts the least recently used blocks.

    Each change is recorded as a cache event, which is announced later.

    Args:
        config: Configuration of the engine.
    """

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        """Configuration of the engine."""
        self.blocks: OrderedDict[str, None] = OrderedDict()
        """Hashes of the cached blocks, least recently used first; values unused."""
        self.events: deque[DelayedEvent] = deque(maxlen=config.max_cache_events)
        """Retained cache events, oldest first; lost events are not retained."""
        self.sequence = 0
        """Sequence of the last event, lost events included; 0 before the first."""
        self.random = Random(config.seed)
        """Selects the events that are lost."""

    def match_prefix(self, blocks: Sequence[str]) -> int:
        """Find the leading blocks that are cached, and mark them as recently used.

        Args:
            blocks: Hashes of a prompt's blocks, in order.

        Returns:
            Number of leading blocks that are cached.
        """
        matched_count = 0
        for block in blocks:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            matched_count += 1
        return matched_count

    def store(self, blocks: Iterable[str], max_blocks: int, now_ms: float) -> None:
        """Add blocks, then evict the least recently used blocks above a limit.

        Args:
            blocks: Hashes of a computed prompt's blocks, in order.
            max_blocks: Number of blocks that may stay cached.
            now_ms: Current time, in milliseconds.
        """
        added = [block for block in blocks if block not in self.blocks]
        for block in added:
            self.blocks[block] = None
        if added:
            self._record_event(CacheEvent.STORED, added, now_ms)
        self.evict_beyond(max_blocks, now_ms)

    def evict_beyond(self, max_blocks: int, now_ms: float) -> None:
        """Evict the least recently used blocks above a limit.

        Args:
            max_blocks: Number of blocks that may stay cached; a negative number
                counts as 0.
            now_ms: Current time, in milliseconds.
        """
        evicted = []
        while len(self.blocks) > max(0, max_blocks):
            block, _ = self.blocks.popitem(last=False)
            evicted.append(block)
        if evicted:
            self._record_event(CacheEvent.EVICTED, evicted, now_ms)

    def events_after(self, sequence: int, now_ms: float) -> list[CacheEvent]:
        """Return the events for one announcement, oldest first.

        Args:
            sequence: Sequence up to which the receiver has all events.
            now_ms: Current time, in milliseconds; events whose delay has not passed are
                left out.
        """
        found = [
            delayed.event
            for delayed in self.events
            if delayed.event.sequence > sequence and delayed.visible_at_ms <= now_ms
        ]
        return found[:EVENTS_PER_ANNOUNCEMENT]

    def _record_event(
        self, action: CacheEvent.Action.ValueType, blocks: list[str], now_ms: float
    ) -> None:
        self.sequence += 1
        if self.random.random() < self.config.cache_event_loss:
            return
        event = CacheEvent(sequence=self.sequence, action=action, blocks=blocks)
        visible_at_ms = now_ms + self.config.cache_event_delay_ms
        self.events.append(DelayedEvent(visible_at_ms, event))
