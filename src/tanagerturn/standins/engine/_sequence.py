"""State of one generation in the engine model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.serving.cache.blocks import hash_text_blocks
from tanagerturn.standins.engine.messages import Usage
from tanagerturn.standins.tokens import (
    count_prompt_tokens,
    prompt_digest,
)

if TYPE_CHECKING:
    from tanagerturn.standins.engine.messages import Generation


class Sequence:
    """Progress of one generation, as the engine's batch schedules it.

    Args:
        generation: The requested generation.
        arrival_number: Number of the request in order of arrival, from 1.
    """

    def __init__(self, generation: Generation, arrival_number: int) -> None:
        self.generation = generation
        """The requested generation."""
        self.arrival_number = arrival_number
        """Number of the request in order of arrival, from 1."""
        self.digest = prompt_digest(generation.prompt)
        """Hash of the prompt."""
        self.blocks = hash_text_blocks(generation.prompt, generation.cache_seed)
        """Prefix blocks of the prompt."""
        self.prompt_tokens = count_prompt_tokens(generation.prompt)
        """Number of prompt tokens."""
        self.next_token = generation.resume_from
        """Index of the next token to generate, from 0."""
        self.tokens_to_prefill = 0
        """Number of prompt and generated tokens to compute before the next token."""
        self.cached_tokens = 0
        """Number of tokens found in a cache at the last admission."""
        self.recomputed_tokens = 0
        """Number of tokens computed again after a resume or a preemption."""
        self.was_admitted = False
        """Whether the sequence ever had a slot."""
        self.preemptions = 0
        """Number of times that the sequence lost its slot to a more urgent request."""

    @property
    def sort_key(self) -> tuple[int, int]:
        """Key that sorts by priority, most urgent first, then by arrival."""
        return (int(self.generation.priority), self.arrival_number)

    @property
    def kv_tokens(self) -> int:
        """Number of KV cache tokens reserved: prompt and whole completion."""
        return self.prompt_tokens + self.generation.max_tokens

    @property
    def is_resumed(self) -> bool:
        """Whether an earlier attempt already computed the prompt."""
        return self.generation.attempt > 1 or self.generation.resume_from > 0

    @property
    def is_done(self) -> bool:
        """Whether all tokens of the completion are generated."""
        return self.next_token >= self.generation.max_tokens

    def start_prefill(self, available_tokens: int) -> None:
        """Start to compute the prompt and generated tokens that are in no cache.

        At least the last token is computed, as the next token depends on it.

        Args:
            available_tokens: Number of leading prompt and generated tokens found in a
                cache.
        """
        total_tokens = self.prompt_tokens + self.next_token
        cached_tokens = min(available_tokens, total_tokens - 1)
        self.cached_tokens = cached_tokens
        self.tokens_to_prefill = total_tokens - cached_tokens
        if self.is_resumed or self.was_admitted:
            self.recomputed_tokens += self.tokens_to_prefill
        self.was_admitted = True

    def usage(self) -> Usage:
        """Return the token counts of the generation so far."""
        return Usage(
            prompt_tokens=self.prompt_tokens,
            completion_tokens=self.next_token - self.generation.resume_from,
            cached_tokens=self.cached_tokens,
            recomputed_tokens=self.recomputed_tokens,
        )
