"""Whether a generation is taken, by its expected time to the first event; pure.

Answers the pattern of demand beyond what the engines read, after a zone was taken
or in a burst: if all are taken, each waits behind all others and all are late. Those
that would be late are told at once when to come back, the less urgent ones first,
so that the others are in time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

TAKEN_UP_TO: Final = (1.0, 0.9, 0.8)
"""Expected time to the first event, as a multiple of the objective, up to which a
request is taken, by rank; the last one holds for all further ranks. An overload
settles at the bound, so that none may lie above the objective."""

LATE_UP_TO: Final = 0.5
"""What may be before a request that is late in any case, for its size or because
its caller has waited: as a multiple of the objective. It is taken while engines have
little before it, and does not make others late."""

ROOM_SHARE: Final = 0.6
"""Part of the objective at which a caller that comes back should find the backlog."""

LEAST_RETRY_S: Final = 0.25
"""Shortest time to come back after: what other gateways send is known by then."""

PATIENCE_SHARE: Final = 0.3
"""Part of its remaining time that a caller is asked to stay away at most."""


@dataclass(frozen=True)
class Taken:
    """The request is sent now."""


@dataclass(frozen=True)
class SentAway:
    """The request would be late."""

    retry_after_s: float
    """Time after which the backlog is expected to have gone."""


def admit(
    expected_s: float,
    own_s: float,
    waited_s: float,
    objective_s: float,
    rank: int,
    time_left_s: float,
) -> Taken | SentAway:
    """Decide about a generation.

    Args:
        expected_s: Expected time to its first event at the best engine.
        own_s: Part of it in which the engine reads this prompt.
        waited_s: Time since its caller sent it first, here or elsewhere.
        objective_s: Time to the first event that callers want.
        rank: Its rank, 0 is the most urgent.
        time_left_s: Time until its caller gives up.
    """
    bound = TAKEN_UP_TO[min(max(0, rank), len(TAKEN_UP_TO) - 1)]
    if expected_s + waited_s <= bound * objective_s:
        return Taken()
    backlog_s = expected_s - own_s
    is_late_anyway = own_s + waited_s > bound * objective_s
    if is_late_anyway and backlog_s <= LATE_UP_TO * objective_s:
        return Taken()
    too_long_s = expected_s - ROOM_SHARE * objective_s
    longest_s = max(LEAST_RETRY_S, PATIENCE_SHARE * time_left_s)
    return SentAway(min(longest_s, max(LEAST_RETRY_S, too_long_s)))
