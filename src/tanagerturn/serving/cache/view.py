"""Which prefix blocks each engine holds, in bounded memory.

Events come late, out of order and with gaps. Each is applied as it comes; while
a gap is open, the sequence that last touched a block decides between an early
and a late event about it. The engine is asked for lost events through the
sequence in the answer to its announcement. If they don't come, the gap is given
up, and blocks not stored or used for a while before it are no longer trusted:
their evictions may have been lost.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from sortedcontainers import SortedSet

from tanagerturn.schema.serving_pb2 import CacheEvent
from tanagerturn.serving.cache.blocks import BlockHash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.serving.backends.messages import BackendId

BLOCKS_PER_ENGINE: Final = 20_000
"""Blocks remembered for one engine; the ones unused longest go first."""

GAP_WAIT_MS: Final = 3_000
"""Lost events are waited for this long."""

AHEAD_MAX: Final = 1_000
"""Events after a gap that are remembered until it closes."""

DOUBT_MS: Final = 60_000
"""Blocks unused this long before a lost event aren't trusted after it."""

BLOCK_KEEP_MS: Final = 900_000
"""Blocks that weren't stored or used within this time aren't trusted."""


class EngineCache:
    """Blocks of one engine and the state of its events.

    Args:
        room_blocks: Blocks remembered at most.
    """

    def __init__(self, room_blocks: int) -> None:
        self.room_blocks = room_blocks
        """Blocks remembered at most; the engine holds no more."""
        self.blocks: OrderedDict[BlockHash, int] = OrderedDict()
        """Held blocks to when they were last known to be held."""
        self.sequence = 0
        """Last event applied without a gap."""
        self.ahead: SortedSet[int] = SortedSet()
        """Applied events after a gap."""
        self.touched: dict[BlockHash, int] = {}
        """Last event about a block, of the events after a gap."""
        self.cleared = 0
        """Last clearing of the cache, of the events after a gap."""
        self.gap_since_ms: int | None = None
        """When the open gap was found."""
        self.distrust_before_ms = -1
        """Blocks last known before this time may have been evicted unseen."""


class CacheView:
    """Prefix index: block to engines, and engine to blocks.

    Args:
        blocks_per_engine: Blocks remembered for one engine.
    """

    def __init__(self, blocks_per_engine: int = BLOCKS_PER_ENGINE) -> None:
        self.blocks_per_engine = blocks_per_engine
        """Blocks remembered for one engine."""
        self.engines: dict[BackendId, EngineCache] = {}
        """Engines that have sent events."""
        self.holders: dict[BlockHash, set[BackendId]] = {}
        """Engines that hold a block."""

    def __repr__(self) -> str:
        return f"CacheView(engines={len(self.engines)}, blocks={len(self.holders)})"

    def sequence(self, engine: BackendId) -> int:
        """Return the last event of an engine known without a gap."""
        cache = self.engines.get(engine)
        return cache.sequence if cache else 0

    def on_events(
        self,
        engine: BackendId,
        events: Sequence[CacheEvent],
        now_ms: int,
        room_blocks: int | None = None,
    ) -> int:
        """Take events of an engine, in any order.

        Args:
            engine: The engine.
            events: New events, or some that are already known.
            now_ms: Present time.
            room_blocks: Blocks that fit into the engine's memory.

        Returns:
            The last event known without a gap.
        """
        if not events and engine not in self.engines:
            return 0
        cache = self._cache(engine)
        if room_blocks is not None:
            cache.room_blocks = min(self.blocks_per_engine, room_blocks)
        for event in sorted(events, key=lambda event: event.sequence):
            self._take(engine, cache, event, now_ms)
        self._close_gap(cache, now_ms)
        return cache.sequence

    def on_used(
        self, engine: BackendId, blocks: Sequence[BlockHash], now_ms: int
    ) -> None:
        """Expect blocks at an engine to which a request with them was sent."""
        cache = self._cache(engine)
        self._store(engine, cache, blocks, now_ms)

    def on_missed(self, engine: BackendId, blocks: Sequence[BlockHash]) -> None:
        """Drop blocks that an answer showed not to be there."""
        cache = self.engines.get(engine)
        if cache is not None:
            self._evict(engine, cache, blocks)

    def forget(self, engine: BackendId) -> None:
        """Drop all of an engine that restarted or is gone."""
        cache = self.engines.pop(engine, None)
        if cache is not None:
            self._evict(engine, cache, list(cache.blocks))

    def matched(
        self, engine: BackendId, blocks: Sequence[BlockHash], now_ms: int
    ) -> int:
        """Return how many leading blocks an engine is expected to hold.

        The end is found by bisection: engines drop prefixes from either end.
        """
        cache = self.engines.get(engine)
        if cache is None:
            return 0
        trusted_ms = max(now_ms - BLOCK_KEEP_MS, cache.distrust_before_ms)
        held = cache.blocks
        if not blocks or held.get(blocks[0], -2) < trusted_ms:
            return 0
        low, high = 0, len(blocks) - 1
        while low < high:
            middle = (low + high + 1) // 2
            if held.get(blocks[middle], -2) < trusted_ms:
                high = middle - 1
            else:
                low = middle
        return low + 1

    def engines_with(self, blocks: Sequence[BlockHash], limit: int) -> list[BackendId]:
        """Return engines that hold a long part of a prefix, longest first.

        Args:
            blocks: The prefix.
            limit: Most engines returned.
        """
        found: list[BackendId] = []
        index = self._longest(blocks)
        while index >= 0 and len(found) < limit:
            for engine in self.holders.get(blocks[index], ()):
                if engine not in found and len(found) < limit:
                    found.append(engine)
            index = index // 2 if index > 0 else -1
        return found

    def _longest(self, blocks: Sequence[BlockHash]) -> int:
        """Return the index of the last block that any engine holds."""
        low, high = -1, len(blocks) - 1
        while low < high:
            middle = (low + high + 1) // 2
            if blocks[middle] in self.holders:
                low = middle
            else:
                high = middle - 1
        return low

    def _cache(self, engine: BackendId) -> EngineCache:
        cache = self.engines.get(engine)
        if cache is None:
            cache = self.engines[engine] = EngineCache(self.blocks_per_engine)
        return cache

    def _take(
        self, engine: BackendId, cache: EngineCache, event: CacheEvent, now_ms: int
    ) -> None:
        number = event.sequence
        if number <= cache.sequence or number in cache.ahead:
            return
        if number == cache.sequence + 1 and not cache.ahead:
            cache.sequence = number
            self._apply(engine, cache, event, now_ms)
            return
        cache.ahead.add(number)
        self._apply(engine, cache, event, now_ms)
        if event.action == CacheEvent.CLEARED:
            cache.cleared = max(number, cache.cleared)
        for block in event.blocks:
            hashed = BlockHash(block)
            cache.touched[hashed] = max(number, cache.touched.get(hashed, 0))

    def _apply(
        self, engine: BackendId, cache: EngineCache, event: CacheEvent, now_ms: int
    ) -> None:
        named: list[BlockHash] = [BlockHash(block) for block in event.blocks]
        if event.action == CacheEvent.CLEARED:
            named = list(cache.blocks)
        number = event.sequence
        if number < cache.cleared:
            return
        if cache.touched:
            named = [b for b in named if cache.touched.get(b, 0) < number]
        if event.action == CacheEvent.STORED:
            self._store(engine, cache, named, now_ms)
        elif event.action in (CacheEvent.EVICTED, CacheEvent.CLEARED):
            self._evict(engine, cache, named)

    def _close_gap(self, cache: EngineCache, now_ms: int) -> None:
        _join(cache)
        if not cache.ahead:
            cache.gap_since_ms = None
            cache.touched.clear()
            cache.cleared = 0
            return
        if cache.gap_since_ms is None:
            cache.gap_since_ms = now_ms
        waited_ms = now_ms - cache.gap_since_ms
        if waited_ms < GAP_WAIT_MS and len(cache.ahead) <= AHEAD_MAX:
            return
        cache.distrust_before_ms = cache.gap_since_ms - DOUBT_MS
        cache.gap_since_ms = None
        cache.sequence = cache.ahead[0] - 1
        self._close_gap(cache, now_ms)

    def _store(
        self,
        engine: BackendId,
        cache: EngineCache,
        blocks: Sequence[BlockHash],
        now_ms: int,
    ) -> None:
        for block in blocks:
            cache.blocks[block] = now_ms
            cache.blocks.move_to_end(block)
            self.holders.setdefault(block, set()).add(engine)
        while len(cache.blocks) > cache.room_blocks:
            oldest = next(iter(cache.blocks))
            self._evict(engine, cache, [oldest])

    def _evict(
        self, engine: BackendId, cache: EngineCache, blocks: Sequence[BlockHash]
    ) -> None:
        for block in blocks:
            cache.blocks.pop(block, None)
            holders = self.holders.get(block)
            if holders is None:
                continue
            holders.discard(engine)
            if not holders:
                del self.holders[block]


def _join(cache: EngineCache) -> None:
    while cache.ahead and cache.ahead[0] == cache.sequence + 1:
        cache.sequence = cache.ahead.pop(0)


def make_cache_view(blocks_per_engine: int = BLOCKS_PER_ENGINE) -> CacheView:
    """Return an empty view.

    Args:
        blocks_per_engine: Blocks remembered for one engine.
    """
    return CacheView(blocks_per_engine)
