"""Choice of one of several candidates whose load is known late; without I/O.

Gateways that all know the same outdated load would all choose the candidate with the
lowest cost. The requests that other gateways are expected to send before their effect
is known are therefore poured onto the candidates like water into a vessel, the lowest
cost first. A candidate is chosen with a probability in proportion to its part, after
which the expected costs of all candidates that got a part are equal. Without such
requests, the candidate with the lowest cost is chosen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_SAMPLE_SIZE: Final = 8
"""Smallest number of candidates whose completion is estimated."""

MAX_SAMPLE_SIZE: Final = 21
"""Number of candidates, with few of them, whose completion is estimated."""

CANDIDATES_PER_SAMPLED: Final = 9
"""Number of further candidates for which one less is estimated."""

PLAIN_SAMPLE_FACTOR: Final = 1.55
"""Factor on the number of estimated candidates for plain requests."""

CONTENTION: Final = 0.5
"""Part by which a plain request takes longer if all other slots of its backend server
are in use."""


def spread_choice(
    costs: Sequence[float], added: Sequence[float], unknown_count: float, draw: float
) -> int:
    """Return the index of the chosen candidate.

    Args:
        costs: Cost of each candidate, at least one.
        added: Amount by which one more request raises the cost of each candidate.
        unknown_count: Number of requests of others whose effect is not known yet.
        draw: Random number, uniformly distributed from 0 up to but excluding 1.
    """
    order = sorted(range(len(costs)), key=costs.__getitem__)
    best = order[0]
    if unknown_count <= 0 or len(order) == 1:
        return best
    inverse_sum = 0.0
    weighted_sum = 0.0
    level = costs[best]
    used = 0
    for index in order:
        cost = costs[index]
        if used and cost >= level:
            break
        inverse = 1.0 / added[index]
        inverse_sum += inverse
        weighted_sum += cost * inverse
        level = (unknown_count + weighted_sum) / inverse_sum
        used += 1
    remaining = draw * unknown_count
    for index in order[:used]:
        remaining -= (level - costs[index]) / added[index]
        if remaining < 0:
            return index
    return best


def sample_size(count: int, *, is_plain: bool) -> int:
    """Return for how many of a number of candidates the completion is estimated.

    Finding candidates takes longer the more there are; with these sizes, a choice takes
    at most 300 us.

    Args:
        count: Number of candidates.
        is_plain: The request is plain, whose estimate takes less than that of a prompt.
    """
    size = max(MIN_SAMPLE_SIZE, MAX_SAMPLE_SIZE - count // CANDIDATES_PER_SAMPLED)
    return int(PLAIN_SAMPLE_FACTOR * size) if is_plain else size


def plain_load(running: int, slots: int) -> float:
    """Return the expected time at a backend server of a plain service by its load.

    Args:
        running: Number of requests at the backend server.
        slots: Number of requests that it runs concurrently.

    Returns:
        Multiple of the time at an idle one.
    """
    slots = max(1, slots)
    queued = max(0, running + 1 - slots)
    return 1.0 + CONTENTION * running / slots + queued / slots


def unknown_requests(others_running: float, late_s: float, in_flight_s: float) -> float:
    """Return the number of requests that others send before their effect is known.

    As many requests end meanwhile, but a backend server that has kept many in flight
    probably still does, since it is slow.

    Args:
        others_running: Number of requests that others are known to have in flight.
        late_s: Age in seconds of what is known of the requests of others.
        in_flight_s: Mean time in seconds that a request is in flight; 0 if unknown.
    """
    if late_s <= 0 or in_flight_s <= 0:
        return 0.0
    return others_running * late_s / in_flight_s
