"""Admission of generations by the expected time to the first event; without I/O.

When demand exceeds the prefill rate of the engines, in a burst or after the loss of an
availability zone, admitting every request makes each wait behind all others, so that
all miss their objective. Requests that would be late are therefore refused at once
with a retry delay, the least urgent first, so that the admitted ones meet it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

ADMISSION_BOUNDS: Final = (1.0, 0.9, 0.8)
"""Longest expected time to the first event at which a request is admitted, as a
multiple of the objective, by priority; the last bound applies to all further
priorities. Under overload the expected time settles at the bound, so no bound may
exceed the objective."""

MAX_BACKLOG_FOR_LATE: Final = 0.5
"""Longest backlog at which a request that is late in any case is admitted, as a
multiple of the objective. Such a request is late because its prompt is long or its
caller has already waited; with a longer backlog it would make other requests late."""

TARGET_BACKLOG_SHARE: Final = 0.6
"""Backlog that a retry should find at the engines, as a share of the objective."""

MIN_RETRY_AFTER_S: Final = 0.25
"""Shortest retry delay in seconds; after it, this gateway knows the requests that peer
gateways sent in the meantime."""

MAX_RETRY_SHARE: Final = 0.3
"""Longest retry delay, as a share of the time until the caller gives up."""


@dataclass(frozen=True)
class Taken:
    """The request is admitted and sent now."""


@dataclass(frozen=True)
class Deferred:
    """The request is refused because its first event would be late."""

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
        own_s: Part of `expected_s` in which the engine computes this prompt; the
            remainder is the backlog.
        waited_s: Seconds since the caller first sent the request, to any gateway.
        objective_s: Objective for the time to the first event, in seconds.
        priority: Priority of the request, 0 being the most urgent.
        time_left_s: Seconds until the caller gives up.

    Returns:
        `Taken`, or `Deferred` with the retry delay.
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
