"""Continuous batching: which sequences run, and how long each step takes."""

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
        cache: Prefix cache, which uses the KV cache capacity that the running
            sequences leave free.
        consume_imported_tokens: Uses up the KV cache that was imported for a
            sequence, and returns the number of tokens in it, 0 for none.
    """

    def __init__(
        self,
        config: EngineConfig,
        cache: PrefixCache,
        consume_imported_tokens: Callable[[Sequence], int],
    ) -> None:
        self.config = config
        """Configuration of the engine."""
        self.cache = cache
        """Prefix cache, limited to the KV cache capacity that is free."""
        self.consume_imported_tokens = consume_imported_tokens
        """Uses up a sequence's imported KV cache and returns its tokens."""
        self.waiting: list[Sequence] = []
        """Sequences that wait for a slot."""
        self.running: list[Sequence] = []
        """Sequences in the batch."""
        self.step_prefill_tokens: dict[str, int] = {}
        """Tokens that the current step prefills, by id of each sequence's request;
        sequences without an entry decode."""

    @property
    def kv_used_tokens(self) -> int:
        """Tokens of KV cache reserved for the running sequences."""
        return sum(sequence.kv_tokens for sequence in self.running)

    @property
    def cache_capacity_blocks(self) -> int:
        """Number of prefix blocks that fit beside the running sequences.

        Negative if a single sequence needs more than the engine's capacity.
        """
        return (self.config.kv_tokens - self.kv_used_tokens) // BLOCK_TOKENS

    def begin_step(self, now_ms: float) -> float:
        """Admit waiting sequences and begin a step.

        Args:
            now_ms: Current time.

        Returns:
            Duration of the step, in milliseconds.
        """
        self._admit(now_ms)
        self.step_prefill_tokens = self._plan_prefill()
        prefill = sum(self.step_prefill_tokens.values())
        decoding = len(self.running) - len(self.step_prefill_tokens)
        return (
            self.config.step_ms
            + decoding * self.config.sequence_step_ms
            + prefill * MS_PER_S / self.config.prefill_tokens_per_s
        )

    def end_step(self, now_ms: float) -> list[Sequence]:
        """Account for the tokens of the step.

        Args:
            now_ms: Current time.

        Returns:
            The sequences that generated a token.
        """
        produced = []
        for sequence in self.running:
            computed = self.step_prefill_tokens.get(sequence.generation.request_id, 0)
            sequence.tokens_to_prefill -= computed
            if sequence.tokens_to_prefill > 0:
                continue
            if computed:
                self.cache.store(sequence.blocks, self.cache_capacity_blocks, now_ms)
            sequence.next_token += 1
            produced.append(sequence)
        return produced

    def remove(self, sequence: Sequence) -> None:
        """Remove a sequence, whether it waits or runs."""
        if sequence in self.running:
            self.running.remove(sequence)
        if sequence in self.waiting:
            self.waiting.remove(sequence)

    def _admit(self, now_ms: float) -> None:
        self.waiting.sort(key=lambda sequence: sequence.sort_key)
        for sequence in list(self.waiting):
            if not self._fits(sequence) and not self._preempt_for(sequence):
                return
            self.waiting.remove(sequence)
            self.running.append(sequence)
            cached = self.cache.match_prefix(sequence.blocks) * BLOCK_TOKENS
            sequence.start_prefill(max(cached, self.consume_imported_tokens(sequence)))
            self.cache.evict_beyond(self.cache_capacity_blocks, now_ms)

    def _fits(self, sequence: Sequence) -> bool:
        if len(self.running) >= self.config.slots:
            return False
        if not self.running:
            # A sequence above the engine's capacity would wait forever otherwise.
            return True
        return self.kv_used_tokens + sequence.kv_tokens <= self.config.kv_tokens

    def _preempt_for(self, sequence: Sequence) -> bool:
        """Preempt running sequences of lower priority until an urgent one fits.

        Returns:
            Whether the sequence fits now.
        """
        if sequence.generation.priority != Priority.URGENT:
            return False
        while not self._fits(sequence):
            last = max(self.running, key=lambda running: running.sort_key)
            if last.generation.priority <= sequence.generation.priority:
                return False
            self.running.remove(last)
            self.waiting.append(last)
            last.preemptions += 1
        return True

    def _plan_prefill(self) -> dict[str, int]:
        """Divide the prefill limit of a step among sequences, most urgent first."""
        remaining = self.config.prefill_chunk_tokens
        planned: dict[str, int] = {}
        for sequence in sorted(self.running, key=lambda item: item.sort_key):
            if sequence.tokens_to_prefill <= 0:
                continue
            tokens = min(remaining, sequence.tokens_to_prefill)
            planned[sequence.generation.request_id] = tokens
            remaining -= tokens
        return planned
