"""Rates of a backend server, learned as exponential moving averages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from tanagerturn.serving.backends.messages import Completion

SMOOTHING: Final = 0.2
"""Weight of the latest observation in a moving average."""

INITIAL_PREFILL_MS_PER_TOKEN: Final = 0.25
INITIAL_TOKEN_MS: Final = 20.0
INITIAL_DURATION_MS: Final = 1_000.0
WAIT_HALF_LIFE_MS: Final = 4_000.0
"""Milliseconds after which an observed wait is weighted by one half."""

MIN_LEARNED_PROMPT_TOKENS: Final = 64
"""Smallest number of computed prompt tokens from which the prefill rate is learned."""


class LearnedRates:
    """Averages of the prefill, token, duration and wait times of one backend server."""

    def __init__(self) -> None:
        self.prefill_ms_per_token = INITIAL_PREFILL_MS_PER_TOKEN
        """Milliseconds that the engine takes to compute one prompt token."""
        self.token_ms = INITIAL_TOKEN_MS
        """Milliseconds between two generated tokens."""
        self.duration_ms = INITIAL_DURATION_MS
        """Milliseconds that a request occupies a slot."""
        self.wait_ms = 0.0
        """Average wait before the first token in recent requests, in milliseconds."""
        self.wait_at_ms = 0
        """Time in milliseconds at which `wait_ms` was last updated."""

    def observe(self, completion: Completion, now_ms: int) -> None:
        """Update the averages with a finished request.

        Args:
            completion: Measurements of the request.
            now_ms: Current time in milliseconds.
        """
        self.duration_ms = _smoothed(self.duration_ms, completion.duration_ms)
        if completion.first_token_ms is None:
            return
        self.observe_first_token(
            completion.first_token_ms, completion.computed_prompt_tokens, now_ms
        )
        if completion.output_tokens > 1:
            generating_ms = completion.duration_ms - completion.first_token_ms
            token_ms = generating_ms / (completion.output_tokens - 1)
            self.token_ms = _smoothed(self.token_ms, max(0.0, token_ms))

    def observe_first_token(
        self, first_token_ms: int, computed_tokens: int, now_ms: int
    ) -> None:
        """Update the wait and the prefill rate with the time to a first token.

        Time beyond the expected prefill time counts as wait. If the time per computed
        token is 1.5 times the learned one or more, the request also waited, and the
        prefill rate is not updated.

        Args:
            first_token_ms: Milliseconds from sending the request to the first token.
            computed_tokens: Number of prompt tokens that were not in the prefix cache.
            now_ms: Current time in milliseconds.
        """
        expected_ms = computed_tokens * self.prefill_ms_per_token
        observed_ms = max(0.0, first_token_ms - expected_ms)
        self.wait_ms = _smoothed(self.observed_wait_ms(now_ms), observed_ms)
        self.wait_at_ms = now_ms
        if computed_tokens < MIN_LEARNED_PROMPT_TOKENS:
            return
        rate = first_token_ms / computed_tokens
        if rate < 1.5 * self.prefill_ms_per_token:
            self.prefill_ms_per_token = _smoothed(self.prefill_ms_per_token, rate)

    def observed_wait_ms(self, now_ms: int) -> float:
        """Return the average wait in milliseconds, halved per `WAIT_HALF_LIFE_MS`."""
        if self.wait_ms < 1.0:
            return 0.0
        age_ms = max(0, now_ms - self.wait_at_ms)
        return self.wait_ms * float(0.5 ** (age_ms / WAIT_HALF_LIFE_MS))


def _smoothed(average: float, value: float) -> float:
    return average + SMOOTHING * (value - average)
