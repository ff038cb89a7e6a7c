"""Learned rates of a backend server: simple averages that forget."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from tanagerturn.serving.backends.messages import Completion

LEARNING_SHARE: Final = 0.2
"""Weight of a new observation in an average."""

PRIOR_PREFILL_MS_PER_TOKEN: Final = 0.25
PRIOR_TOKEN_MS: Final = 20.0
PRIOR_DURATION_MS: Final = 1_000.0
WAIT_HALF_LIFE_MS: Final = 4_000.0
"""An observed wait says half as much after this time."""

SMALL_PROMPT_TOKENS: Final = 64
"""Prompts computed below this size say nothing about the prefill rate."""


class LearnedRates:
    """First-token, per-token and duration averages of one backend server."""

    def __init__(self) -> None:
        self.prefill_ms_per_token = PRIOR_PREFILL_MS_PER_TOKEN
        """Time to compute one prompt token."""
        self.token_ms = PRIOR_TOKEN_MS
        """Time between tokens."""
        self.duration_ms = PRIOR_DURATION_MS
        """Time that a request occupies a slot."""
        self.wait_ms = 0.0
        """Wait before the first token that recent requests saw."""
        self.wait_at_ms = 0
        """When the wait was last observed."""

    def observe(self, completion: Completion, now_ms: int) -> None:
        """Learn from a finished request."""
        self.duration_ms = _mix(self.duration_ms, completion.duration_ms)
        if completion.first_token_ms is None:
            return
        self.observe_first_token(
            completion.first_token_ms, completion.computed_prompt_tokens, now_ms
        )
        if completion.output_tokens > 1:
            generating_ms = completion.duration_ms - completion.first_token_ms
            token_ms = generating_ms / (completion.output_tokens - 1)
            self.token_ms = _mix(self.token_ms, max(0.0, token_ms))

    def observe_first_token(
        self, first_token_ms: int, computed_tokens: int, now_ms: int
    ) -> None:
        """Learn from the time to a first token.

        A time that the learned rate explains to within half moves the rate;
        what is beyond that was spent waiting.
        """
        expected_ms = computed_tokens * self.prefill_ms_per_token
        waited_ms = max(0.0, first_token_ms - expected_ms)
        self.wait_ms = _mix(self.observed_wait_ms(now_ms), waited_ms)
        self.wait_at_ms = now_ms
        if computed_tokens < SMALL_PROMPT_TOKENS:
            return
        rate = first_token_ms / computed_tokens
        if rate < 1.5 * self.prefill_ms_per_token:
            self.prefill_ms_per_token = _mix(self.prefill_ms_per_token, rate)

    def observed_wait_ms(self, now_ms: int) -> float:
        """Return the wait seen lately, discounted by its age."""
        if self.wait_ms < 1.0:
            return 0.0
        age_ms = max(0, now_ms - self.wait_at_ms)
        return self.wait_ms * float(0.5 ** (age_ms / WAIT_HALF_LIFE_MS))


def _mix(average: float, value: float) -> float:
    return average + LEARNING_SHARE * (value - average)
