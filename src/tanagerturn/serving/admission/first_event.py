"""Admission of generations by the expected time to the first event; pure functions.

When demand exceeds the prefill rate of the engines, in a burst or after the loss of an
availability zone, admitting every request makes each wait behind all others, so that
all miss their objective. Requests that would be late are therefore refused at once
with a retry delay, the least urgent first, so that the others meet the objective.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

ADMISSION_BOUNDS: Final = (1.0, 0.9, 0.8)
"""Largest expected time to the first event at which a request is admitted, as a
multiple of the objective, by priority; the last bound applies to all further
priorities. Under overload the expected time settles at the bound, so no bound may
exceed the objective."""

MAX_BACKLOG_FOR_LATE: Final = 0.5
"""Largest backlog before a request that is late in any case, because of its size or
because its caller has waited, as a multiple of the objective. Such a request is
admitted only while the backlog is small, so that it does not make others late."""

TARGET_BACKLOG_SHARE: Final = 0.6
"""Backlog that a retry should find, as a share of the objective."""

MIN_RETRY_AFTER_S: Final = 0.25
"""Shortest retry delay in seconds; by then the requests that peer gateways sent in
the meantime are known."""

MAX_RETRY_SHARE: Final = 0.3
"""Longest retry delay, as a share of the time that the caller has left."""


@dataclass(frozen=True)
class Taken:
    """The request is admitted and sent now."""


@dataclass(frozen=True)
class Deferred:
    """The request is refused because it would be late."""

    retry_after_s: float
    """Seconds after which the backlog is expected to be small enough."""


def admit(
    expected_s: float,
    own_s: float,
    waited_s: float,
    objective_s: float,
    priority: int,
    time_left_s: float,
) -> Taken | Deferred:
    """Decide whether to admit a generation.

    Args:
        expected_s: Expected time to the first event at the best engine, in seconds.
        own_s: Part of `expected_s` in which the engine computes this prompt.
        waited_s: Time since the caller first sent the request, to any gateway.
        objective_s: Objective for the time to the first event, in seconds.
        priority: Priority of the request, 0 being the most urgent.
        time_left_s: Time until the caller gives up, in seconds.
    """
    bound = ADMISSION_BOUNDS[min(max(0, priority), len(ADMISSION_BOUNDS) - 1)]
    if expected_s + waited_s <= bound * objective_s:
        return Taken()
    backlog_s = expected_s - own_s
    is_late_anyway = own_s + waited_s > bound * objective_s
    if is_late_anyway and backlog_s <= MAX_BACKLOG_FOR_LATE * objective_s:
        return Taken()
    excess_s = expected_s - TARGET_BACKLOG_SHARE * objective_s
    max_retry_s = max(MIN_RETRY_AFTER_S, MAX_RETRY_SHARE * time_left_s)
    return Deferred(min(max_retry_s, max(MIN_RETRY_AFTER_S, excess_s)))
