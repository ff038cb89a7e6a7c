"""Prefix cache of a stand-in engine, with its late and lossy events."""

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


@dataclass(frozen=True)
class DelayedEvent:
    """A cache event and when it may be announced."""

    visible_at_ms: float
    """Time from which it is announced."""
    event: CacheEvent
    """The event."""


class PrefixCache:
    """Least recently used prefix blocks and the events about them.

    Args:
        config: Configuration of the engine.
    """

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        """Configuration of the engine."""
        self.blocks: OrderedDict[str, None] = OrderedDict()
        """Cached blocks, least recently used first."""
        self.events: deque[DelayedEvent] = deque(maxlen=config.cache_events_kept)
        """Events that can still be announced."""
        self.sequence = 0
        """Sequence of the last event, lost ones included."""
        self.random = Random(config.seed)
        """Chooses lost events."""

    def match(self, blocks: Sequence[str]) -> int:
        """Count the leading blocks that are cached, and mark them as used."""
        matched = 0
        for block in blocks:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            matched += 1
        return matched

    def store(self, blocks: Iterable[str], room: int, now_ms: float) -> None:
        """Add blocks, and evict old ones beyond the room.

        Args:
            blocks: Blocks of a computed prompt, in order.
            room: Blocks that may be cached.
            now_ms: Present time.
        """
        added = [block for block in blocks if block not in self.blocks]
        for block in added:
            self.blocks[block] = None
        if added:
            self._publish(CacheEvent.STORED, added, now_ms)
        self.shrink(room, now_ms)

    def shrink(self, room: int, now_ms: float) -> None:
        """Evict the least recently used blocks beyond the room."""
        evicted = []
        while len(self.blocks) > max(0, room):
            block, _ = self.blocks.popitem(last=False)
            evicted.append(block)
        if evicted:
            self._publish(CacheEvent.EVICTED, evicted, now_ms)

    def events_after(self, sequence: int, now_ms: float) -> list[CacheEvent]:
        """Return the visible events after a sequence, oldest first."""
        found = [
            delayed.event
            for delayed in self.events
            if delayed.event.sequence > sequence and delayed.visible_at_ms <= now_ms
        ]
        return found[:EVENTS_PER_ANNOUNCEMENT]

    def _publish(
        self, action: CacheEvent.Action.ValueType, blocks: list[str], now_ms: float
    ) -> None:
        self.sequence += 1
        if self.random.random() < self.config.cache_event_loss:
            return
        event = CacheEvent(sequence=self.sequence, action=action, blocks=blocks)
        visible_at_ms = now_ms + self.config.cache_event_delay_ms
        self.events.append(DelayedEvent(visible_at_ms, event))
