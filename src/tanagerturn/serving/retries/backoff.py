"""Full-jitter backoff within the overall deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

BASE_S: Final = 0.05
CAP_S: Final = 2.0


def backoff_s(attempt: int, random: Random) -> float:
    """Return a wait, uniform between 0 and a bound that doubles.

    Args:
        attempt: Attempt that failed, from 1.
        random: Source of the jitter.
    """
    bound_s = min(CAP_S, BASE_S * 2.0 ** (attempt - 1))
    return random.uniform(0.0, bound_s)


def wait_before_retry(
    attempt: int, least_s: float, time_left_s: float, random: Random
) -> float | None:
    """Return the wait before a retry; None when the deadline leaves no time.

    Args:
        attempt: Attempt that failed, from 1.
        least_s: Wait that the backend server asked for; 0 for none.
        time_left_s: Time until the overall deadline.
        random: Source of the jitter.
    """
    wait_s = least_s + backoff_s(attempt, random)
    return wait_s if wait_s < time_left_s else None
