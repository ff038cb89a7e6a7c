"""Exponential backoff with full jitter, up to the deadline of the request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

BACKOFF_BASE_S: Final = 0.05
MAX_BACKOFF_S: Final = 2.0


def backoff_s(attempt: int, random: Random) -> float:
    """Return a wait in seconds, uniform between 0 and a bound that doubles per attempt.

    Args:
        attempt: Number of the failed attempt, from 1.
        random: Source of the jitter.
    """
    bound_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2.0 ** (attempt - 1))
    return random.uniform(0.0, bound_s)


def wait_before_retry(
    attempt: int, min_wait_s: float, time_left_s: float, random: Random
) -> float | None:
    """Return the wait before a retry in seconds; None if it would pass the deadline.

    Args:
        attempt: Number of the failed attempt, from 1.
        min_wait_s: Wait that the backend server requested, in seconds; 0 for none.
        time_left_s: Seconds until the deadline of the request.
        random: Source of the jitter.
    """
    wait_s = min_wait_s + backoff_s(attempt, random)
    return wait_s if wait_s < time_left_s else None
