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
        consume_imported_tokens: Removes the KV cache that was imported for a sequence
            and returns its number of tokens; 0 without an imported KV cache.
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
        """Removes a sequence's imported KV cache and returns its number of tokens."""
        self.waiting: list[Sequence] = []
        """Sequences that wait for a slot."""
        self.running: list[Sequence] = []
        """Sequences that have a slot in the batch."""
        self.step_prefill_tokens: dict[str, int] = {}
        """Number of tokens that the current step prefills, by request id; sequences
        without an entry decode."""

    @property
    def kv_used_tokens(self) -> int:
        """Number of KV cache tokens reserved for the running sequences."""
        return sum(sequence.kv_tokens for sequence in self.running)

    @property
    def cache_capacity_blocks(self) -> int:
        """Number of prefix blocks that fit into the KV cache beside running sequences.

        Negative if a single sequence needs more than the engine's capacity.
        """
        return (self.config.kv_tokens - self.kv_used_tokens) // BLOCK_TOKENS

    def begin_step(self, now_ms: float) -> float:
        """Admit waiting sequences and begin a step.

        Args:
            now_ms: Current time, in milliseconds.

        Returns:
            Duration of the step, in milliseconds.
        """
        self._admit(now_ms)
        self.step_prefill_tokens = self._plan_prefill()
        prefill_tokens = sum(self.step_prefill_tokens.values())
        decoding_count = len(self.running) - len(self.step_prefill_tokens)
        return (
            self.config.step_ms
            + decoding_count * self.config.sequence_step_ms
            + prefill_tokens * MS_PER_S / self.config.prefill_tokens_per_s
        )

    def end_step(self, now_ms: float) -> list[Sequence]:
        """Count the tokens that the step computed.

        Args:
            now_ms: Current time, in milliseconds.

        Returns:
            The sequences that generated a token.
        """
        producing_sequences = []
        for sequence in self.running:
            computed_tokens = self.step_prefill_tokens.get(
                sequence.generation.request_id, 0
            )
            sequence.tokens_to_prefill -= computed_tokens
            if sequence.tokens_to_prefill > 0:
                continue
            if computed_tokens:
                self.cache.store(sequence.blocks, self.cache_capacity_blocks, now_ms)
            sequence.next_token += 1
            producing_sequences.append(sequence)
        return producing_sequences

    def remove(self, sequence: Sequence) -> None:
        """Remove a waiting or running sequence."""
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
            cached_tokens = self.cache.match_prefix(sequence.blocks) * BLOCK_TOKENS
            sequence.start_prefill(
                max(cached_tokens, self.consume_imported_tokens(sequence))
            )
            self.cache.evict_beyond(self.cache_capacity_blocks, now_ms)

    def _fits(self, sequence: Sequence) -> bool:
        if len(self.running) >= self.config.slots:
            return False
        if not self.running:
            # Otherwise a sequence above the KV cache capacity would wait forever.
            return True
        return self.kv_used_tokens + sequence.kv_tokens <= self.config.kv_tokens

    def _preempt_for(self, sequence: Sequence) -> bool:
        """Preempt running sequences of lower priority until an urgent sequence fits.

        Returns:
            Whether the sequence fits now.
        """
        if sequence.generation.priority != Priority.URGENT:
            return False
        while not self._fits(sequence):
            least_urgent = max(self.running, key=lambda running: running.sort_key)
            if least_urgent.generation.priority <= sequence.generation.priority:
                return False
            self.running.remove(least_urgent)
            self.waiting.append(least_urgent)
            least_urgent.preemptions += 1
        return True

    def _plan_prefill(self) -> dict[str, int]:
        """Divide the prefill limit of a step among sequences, most urgent first."""
        remaining_tokens = self.config.prefill_chunk_tokens
        tokens_by_request: dict[str, int] = {}
        for sequence in sorted(self.running, key=lambda item: item.sort_key):
            if sequence.tokens_to_prefill <= 0:
                continue
            tokens = min(remaining_tokens, sequence.tokens_to_prefill)
            tokens_by_request[sequence.generation.request_id] = tokens
            remaining_tokens -= tokens
        return tokens_by_request
