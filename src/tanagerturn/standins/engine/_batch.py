"""Which requests run, and how long each step of the batch takes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.schema.serving_pb2 import Priority
from tanagerturn.serving.cache.blocks import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.standins.engine._sequence import Sequence
    from tanagerturn.standins.engine.cache import PrefixCache
    from tanagerturn.standins.engine.config import EngineConfig

MS_PER_S: Final = 1000.0


class Batch:
    """Waiting and running sequences of one engine.

    Args:
        config: Configuration of the engine.
        cache: Prefix cache that shares the KV memory.
        imported_tokens: Tells how many tokens an imported KV cache brings.
    """

    def __init__(
        self,
        config: EngineConfig,
        cache: PrefixCache,
        imported_tokens: Callable[[Sequence], int],
    ) -> None:
        self.config = config
        """Configuration of the engine."""
        self.cache = cache
        """Prefix cache that shares the KV memory."""
        self.imported_tokens = imported_tokens
        """Tells how many tokens an imported KV cache brings."""
        self.waiting: list[Sequence] = []
        """Sequences without a slot."""
        self.running: list[Sequence] = []
        """Sequences of the batch."""
        self.prefilling: dict[str, int] = {}
        """Tokens computed in the present step, by request."""

    @property
    def kv_used_tokens(self) -> int:
        """KV cache reserved for running sequences."""
        return sum(sequence.kv_tokens for sequence in self.running)

    @property
    def cache_room_blocks(self) -> int:
        """Prefix blocks that fit beside the running sequences."""
        return (self.config.kv_tokens - self.kv_used_tokens) // BLOCK_TOKENS

    def begin_step(self, now_ms: float) -> float:
        """Fill the batch and return how long its next step takes, in ms."""
        self._admit(now_ms)
        self.prefilling = self._plan_prefill()
        prefill = sum(self.prefilling.values())
        decoding = len(self.running) - len(self.prefilling)
        return (
            self.config.step_ms
            + decoding * self.config.sequence_step_ms
            + prefill * MS_PER_S / self.config.prefill_tokens_per_s
        )

    def end_step(self, now_ms: float) -> list[Sequence]:
        """Account the step and return the sequences that got a token."""
        produced = []
        for sequence in self.running:
            computed = self.prefilling.get(sequence.generation.request_id, 0)
            sequence.to_prefill -= computed
            if sequence.to_prefill > 0:
                continue
            if computed:
                self.cache.store(sequence.blocks, self.cache_room_blocks, now_ms)
            sequence.next_token += 1
            produced.append(sequence)
        return produced

    def remove(self, sequence: Sequence) -> None:
        """Take a sequence out."""
        if sequence in self.running:
            self.running.remove(sequence)
        if sequence in self.waiting:
            self.waiting.remove(sequence)

    def _admit(self, now_ms: float) -> None:
        self.waiting.sort(key=lambda sequence: sequence.sort_key)
        for sequence in list(self.waiting):
            if not self._has_room(sequence) and not self._preempt_for(sequence):
                return
            self.waiting.remove(sequence)
            self.running.append(sequence)
            matched = self.cache.match(sequence.blocks) * BLOCK_TOKENS
            sequence.begin(max(matched, self.imported_tokens(sequence)))
            self.cache.shrink(self.cache_room_blocks, now_ms)

    def _has_room(self, sequence: Sequence) -> bool:
        if len(self.running) >= self.config.slots:
            return False
        if not self.running:
            return True
        return self.kv_used_tokens + sequence.kv_tokens <= self.config.kv_tokens

    def _preempt_for(self, sequence: Sequence) -> bool:
        """Move the least urgent sequences out for an urgent one."""
        if sequence.generation.priority != Priority.URGENT:
            return False
        while not self._has_room(sequence):
            last = max(self.running, key=lambda running: running.sort_key)
            if last.generation.priority <= sequence.generation.priority:
                return False
            self.running.remove(last)
            self.waiting.append(last)
            last.preempted += 1
        return True

    def _plan_prefill(self) -> dict[str, int]:
        left = self.config.prefill_chunk_tokens
        planned: dict[str, int] = {}
        for sequence in sorted(self.running, key=lambda item: item.sort_key):
            if sequence.to_prefill <= 0:
                continue
            share = min(left, sequence.to_prefill)
            planned[sequence.generation.request_id] = share
            left -= share
        return planned
