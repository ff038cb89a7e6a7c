"""Index of the prefix blocks that each engine holds, in bounded memory.

Cache events arrive late, out of order and with gaps, and each is applied on arrival.
While a gap is open, an event about a block is outdated if an event about this block
with a higher sequence number was applied. The response to an announcement states the
last sequence number without a gap, so that the engine resends lost events. If they do
not arrive, the gap is skipped. The lost events may have been evictions, so blocks that
were not stored or used shortly before the gap are no longer trusted.
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

MAX_BLOCKS_PER_ENGINE: Final = 20_000
"""Maximum number of blocks indexed per engine; the least recently used ones are
removed."""

GAP_TIMEOUT_MS: Final = 3_000
"""Milliseconds to wait for the missing events of a gap before it is skipped."""

MAX_EVENTS_AFTER_GAP: Final = 1_000
"""Maximum number of events tracked after a gap; with more events, it is skipped."""

UNTRUSTED_AGE_MS: Final = 60_000
"""Milliseconds before a skipped gap within which a block must have been stored or used
to be trusted after it."""

BLOCK_MAX_AGE_MS: Final = 900_000
"""Milliseconds after its last store or use from which a block is no longer trusted."""


class EngineCache:
    """Indexed blocks of one engine and the state of its event sequence.

    Args:
        max_blocks: Initial maximum number of indexed blocks.
    """

    def __init__(self, max_blocks: int) -> None:
        self.max_blocks = max_blocks
        """Maximum number of indexed blocks, limited by the KV cache of the engine."""
        self.blocks: OrderedDict[BlockHash, int] = OrderedDict()
        """Blocks with the time of their last store or use in milliseconds, oldest
        first."""
        self.sequence = 0
        """Sequence number of the last event received without a gap."""
        self.after_gap: SortedSet[int] = SortedSet()
        """Sequence numbers of the events applied after the open gap."""
        self.last_event_by_block: dict[BlockHash, int] = {}
        """Highest sequence number of the events about each block after the open gap."""
        self.last_clear_sequence = 0
        """Sequence number of the last clear event after the open gap; 0 for none."""
        self.gap_since_ms: int | None = None
        """Time in milliseconds at which the gap was detected; None without a gap."""
        self.trusted_from_ms = -1
        """Time in milliseconds of the last store or use from which blocks are trusted;
        -1 if no gap was skipped."""


class CacheView:
    """Index of the blocks of each engine and of the engines that hold each block.

    Args:
        max_blocks_per_engine: Maximum number of blocks indexed per engine.
    """

    def __init__(self, max_blocks_per_engine: int = MAX_BLOCKS_PER_ENGINE) -> None:
        self.max_blocks_per_engine = max_blocks_per_engine
        """Maximum number of blocks indexed per engine."""
        self.engines: dict[BackendId, EngineCache] = {}
        """Engines of which cache events or blocks are known, by id."""
        self.holders: dict[BlockHash, set[BackendId]] = {}
        """Engines that hold each block."""

    def __repr__(self) -> str:
        return f"CacheView(engines={len(self.engines)}, blocks={len(self.holders)})"

    def sequence(self, engine: BackendId) -> int:
        """Return the sequence number of the last event received without a gap.

        Args:
            engine: The engine; 0 is returned for an unknown one.
        """
        cache = self.engines.get(engine)
        return cache.sequence if cache else 0

    def on_events(
        self,
        engine: BackendId,
        events: Sequence[CacheEvent],
        now_ms: int,
        max_blocks: int | None = None,
    ) -> int:
        """Apply cache events of an engine.

        Args:
            engine: The engine.
            events: Cache events in any order; those applied before are ignored.
            now_ms: Current time in milliseconds.
            max_blocks: Number of blocks that the engine can hold; None to keep the
                previous number.

        Returns:
            Sequence number of the last event received without a gap.
        """
        if not events and engine not in self.engines:
            return 0
        cache = self._get_or_create(engine)
        if max_blocks is not None:
            cache.max_blocks = min(self.max_blocks_per_engine, max_blocks)
        for event in sorted(events, key=lambda event: event.sequence):
            self._receive(engine, cache, event, now_ms)
        self._close_gap(cache, now_ms)
        return cache.sequence

    def on_used(
        self, engine: BackendId, blocks: Sequence[BlockHash], now_ms: int
    ) -> None:
        """Record that an engine gets a request with these blocks and will store them.

        Args:
            engine: The engine.
            blocks: Blocks of the prompt.
            now_ms: Current time in milliseconds.
        """
        cache = self._get_or_create(engine)
        self._store(engine, cache, blocks, now_ms)

    def on_missed(self, engine: BackendId, blocks: Sequence[BlockHash]) -> None:
        """Remove blocks that an engine did not hold according to its response."""
        cache = self.engines.get(engine)
        if cache is not None:
            self._evict(engine, cache, blocks)

    def forget(self, engine: BackendId) -> None:
        """Remove all blocks of an engine that restarted or stopped."""
        cache = self.engines.pop(engine, None)
        if cache is not None:
            self._evict(engine, cache, list(cache.blocks))

    def count_matched_blocks(
        self, engine: BackendId, blocks: Sequence[BlockHash], now_ms: int
    ) -> int:
        """Return the number of leading blocks that an engine is expected to hold.

        The last held block is found by bisection: engines evict a prefix from either
        end, so the blocks that they still hold are contiguous.

        Args:
            engine: The engine.
            blocks: Blocks of the prompt.
            now_ms: Current time in milliseconds.
        """
        cache = self.engines.get(engine)
        if cache is None:
            return 0
        trusted_ms = max(now_ms - BLOCK_MAX_AGE_MS, cache.trusted_from_ms)
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

    def find_prefix_holders(
        self, blocks: Sequence[BlockHash], limit: int
    ) -> list[BackendId]:
        """Return the engines that hold most leading blocks of a prefix, longest first.

        Args:
            blocks: Blocks of the prefix.
            limit: Maximum number of returned engines.
        """
        found: list[BackendId] = []
        index = self._last_held_index(blocks)
        while index >= 0 and len(found) < limit:
            for engine in self.holders.get(blocks[index], ()):
                if engine not in found and len(found) < limit:
                    found.append(engine)
            index = index // 2 if index > 0 else -1
        return found

    def _last_held_index(self, blocks: Sequence[BlockHash]) -> int:
        """Return the index of the last block that any engine holds; -1 if none is held.

        The index is found by bisection.
        """
        low, high = -1, len(blocks) - 1
        while low < high:
            middle = (low + high + 1) // 2
            if blocks[middle] in self.holders:
                low = middle
            else:
                high = middle - 1
        return low

    def _get_or_create(self, engine: BackendId) -> EngineCache:
        cache = self.engines.get(engine)
        if cache is None:
            cache = self.engines[engine] = EngineCache(self.max_blocks_per_engine)
        return cache

    def _receive(
        self, engine: BackendId, cache: EngineCache, event: CacheEvent, now_ms: int
    ) -> None:
        event_sequence = event.sequence
        if event_sequence <= cache.sequence or event_sequence in cache.after_gap:
            return
        if event_sequence == cache.sequence + 1 and not cache.after_gap:
            cache.sequence = event_sequence
            self._apply(engine, cache, event, now_ms)
            return
        cache.after_gap.add(event_sequence)
        self._apply(engine, cache, event, now_ms)
        if event.action == CacheEvent.CLEARED:
            cache.last_clear_sequence = max(event_sequence, cache.last_clear_sequence)
        for block in event.blocks:
            hashed = BlockHash(block)
            cache.last_event_by_block[hashed] = max(
                event_sequence, cache.last_event_by_block.get(hashed, 0)
            )

    def _apply(
        self, engine: BackendId, cache: EngineCache, event: CacheEvent, now_ms: int
    ) -> None:
        blocks: list[BlockHash] = [BlockHash(block) for block in event.blocks]
        if event.action == CacheEvent.CLEARED:
            blocks = list(cache.blocks)
        event_sequence = event.sequence
        if event_sequence < cache.last_clear_sequence:
            return
        if cache.last_event_by_block:
            blocks = [
                b
                for b in blocks
                if cache.last_event_by_block.get(b, 0) < event_sequence
            ]
        if event.action == CacheEvent.STORED:
            self._store(engine, cache, blocks, now_ms)
        elif event.action in (CacheEvent.EVICTED, CacheEvent.CLEARED):
            self._evict(engine, cache, blocks)

    def _close_gap(self, cache: EngineCache, now_ms: int) -> None:
        _advance_sequence(cache)
        if not cache.after_gap:
            cache.gap_since_ms = None
            cache.last_event_by_block.clear()
            cache.last_clear_sequence = 0
            return
        if cache.gap_since_ms is None:
            cache.gap_since_ms = now_ms
        waited_ms = now_ms - cache.gap_since_ms
        if waited_ms < GAP_TIMEOUT_MS and len(cache.after_gap) <= MAX_EVENTS_AFTER_GAP:
            return
        cache.trusted_from_ms = cache.gap_since_ms - UNTRUSTED_AGE_MS
        cache.gap_since_ms = None
        cache.sequence = cache.after_gap[0] - 1
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
        while len(cache.blocks) > cache.max_blocks:
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


def _advance_sequence(cache: EngineCache) -> None:
    while cache.after_gap and cache.after_gap[0] == cache.sequence + 1:
        cache.sequence = cache.after_gap.pop(0)


def make_cache_view(max_blocks_per_engine: int = MAX_BLOCKS_PER_ENGINE) -> CacheView:
    """Return an empty index.

    Args:
        max_blocks_per_engine: Maximum number of blocks indexed per engine.
    """
    return CacheView(max_blocks_per_engine)
