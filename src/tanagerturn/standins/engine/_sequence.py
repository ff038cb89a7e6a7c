"""One request inside the engine model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.serving.cache.blocks import text_blocks
from tanagerturn.standins.engine.messages import Usage
from tanagerturn.standins.tokens import (
    count_prompt_tokens,
    prompt_digest,
)

if TYPE_CHECKING:
    from tanagerturn.standins.engine.messages import Generation


class Sequence:
    """Progress of one generation.

    Args:
        generation: What was asked for.
        order: Number by which earlier requests come first.
    """

    def __init__(self, generation: Generation, order: int) -> None:
        self.generation = generation
        """What was asked for."""
        self.order = order
        """Number by which earlier requests come first."""
        self.digest = prompt_digest(generation.prompt)
        """Hash of the prompt."""
        self.blocks = text_blocks(generation.prompt, generation.cache_seed)
        """Prefix blocks of the prompt."""
        self.prompt_tokens = count_prompt_tokens(generation.prompt)
        """Tokens of the prompt."""
        self.next_token = generation.resume_from
        """Number of the next token to generate."""
        self.to_prefill = 0
        """Tokens still to compute before the next token."""
        self.cached_tokens = 0
        """Tokens that were not computed."""
        self.recomputed_tokens = 0
        """Tokens computed again after a resume or a preemption."""
        self.begun = False
        """Whether it ever had a slot."""
        self.preempted = 0
        """How often it lost its slot to a more urgent request."""

    @property
    def sort_key(self) -> tuple[int, int]:
        """Urgent first, then by order."""
        return (int(self.generation.priority), self.order)

    @property
    def kv_tokens(self) -> int:
        """KV cache that it may need in all."""
        return self.prompt_tokens + self.generation.max_tokens

    @property
    def resumed(self) -> bool:
        """Whether an earlier attempt had computed it."""
        return self.generation.attempt > 1 or self.generation.resume_from > 0

    @property
    def done(self) -> bool:
        """Whether all tokens are generated."""
        return self.next_token >= self.generation.max_tokens

    def begin(self, known_tokens: int) -> None:
        """Start to compute what is not known from a cache.

        Args:
            known_tokens: Leading prompt and answer tokens that are at hand.
        """
        total = self.prompt_tokens + self.next_token
        known = min(known_tokens, total - 1)
        self.cached_tokens = known
        self.to_prefill = total - known
        if self.resumed or self.begun:
            self.recomputed_tokens += self.to_prefill
        self.begun = True

    def usage(self) -> Usage:
        """Return the tokens of the generation so far."""
        return Usage(
            prompt_tokens=self.prompt_tokens,
            completion_tokens=self.next_token - self.generation.resume_from,
            cached_tokens=self.cached_tokens,
            recomputed_tokens=self.recomputed_tokens,
        )
