"""Admission of generations while engine time is scarce; without I/O.

Decides to send, to let wait or to refuse a request from its priority, its work, the
time that its objective and its caller leave, what was spent on it already, and the
price of engine time that all gateways share.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.admission.engine_demand import LEAST_URGENT, DemandKey

if TYPE_CHECKING:
    from tanagerturn.serving.admission.price import ServicePrice

OUTPUT_TOKEN_S: Final = 0.0004
"""Engine time of one output token in seconds: a step of about 25 ms, shared by the 64
requests that run together."""

MIN_SLACK_SHARE: Final = 0.25
"""Least slack of a request, as a share of its objective; the prompt of some requests
takes longer than their objective on any engine."""

NOTHING_WAITS_S: Final = 0.02
"""Mean wait in seconds at which nothing counts as waiting at the engines; a step of an
engine, which a request joins at its end, takes about this time."""

MIN_RETRY_AFTER_S: Final = 0.25
"""Shortest retry delay in seconds; after it, this gateway knows the requests that peer
gateways sent in the meantime."""

MAX_RETRY_SHARE: Final = 0.3
"""Longest retry delay, as a share of the time until the caller gives up."""

RETRY_PER_STEP_S: Final = 0.5
"""Retry delay in seconds for each priority step between the level and the request."""


@dataclass(frozen=True)
class ScarceRequest:
    """What decides about one request."""

    priority: int
    """Priority, 0 being the most urgent."""
    account: int
    """Hash of the client account; 0 for none."""
    draw: float
    """Number in [0, 1) that is the same for all attempts of the request everywhere."""
    read_s: float
    """Time in seconds in which the engine reads the prompt, without its cached part."""
    output_tokens: int
    """Expected number of output tokens."""
    idle_s: float
    """Expected time to the first event at the best engine if no other prompt and no
    request waited there, without `read_s`."""
    backlog_s: float
    """Expected wait at the best engine for other prompts and for a slot, in seconds."""
    waited_s: float
    """Seconds since the caller first sent the request, to any gateway."""
    objective_s: float
    """Objective for the time to the first event, in seconds."""
    time_left_s: float
    """Seconds until the caller gives up."""
    is_started: bool = False
    """Engine time was already spent on it, or another gateway has admitted it."""
    nothing_waits: bool = False
    """The best engine has a free slot and no prompt left to read."""
    is_full: bool = False
    """No engine has a free slot."""

    @property
    def work_s(self) -> float:
        """Engine time that the request takes, in seconds."""
        return self.read_s + self.output_tokens * OUTPUT_TOKEN_S

    @property
    def key(self) -> DemandKey:
        """What its demand is counted under."""
        priority = min(max(0, self.priority), LEAST_URGENT)
        return DemandKey(priority, self.account)

    @property
    def is_late_anyway(self) -> bool:
        """Whether the request would be late without any backlog."""
        alone_s = self.idle_s + self.read_s + self.waited_s
        return alone_s > self.objective_s

    @property
    def expected_s(self) -> float:
        """Expected time to the first event in seconds."""
        return self.idle_s + self.backlog_s + self.read_s


@dataclass(frozen=True)
class Send:
    """The request is sent now."""


@dataclass(frozen=True)
class Wait:
    """The request is admitted and waits for a free slot."""


@dataclass(frozen=True)
class Refuse:
    """The request is refused at once."""

    retry_after_s: float
    """Seconds after which capacity for it is expected, without jitter."""
    reason: str
    """`price`, `late` or `unservable`."""


def on_requested(price: ServicePrice, request: ScarceRequest, now_s: float) -> None:
    """Record the first attempt of a request as demand."""
    left_s = request.objective_s - request.read_s - request.idle_s
    slack_s = max(MIN_SLACK_SHARE * request.objective_s, left_s)
    price.on_requested(request.key, request.work_s, slack_s, now_s)


def decide(
    price: ServicePrice, request: ScarceRequest, now_s: float
) -> Send | Wait | Refuse:
    """Decide about a request that was not admitted before.

    Args:
        price: Price of the service, whose step has been made if it was due.
        request: The request.
        now_s: Current boot-clock time in seconds.
    """
    price.on_backlog(request.backlog_s, now_s)
    reason = refusal_reason(price, request, now_s)
    if reason:
        return Refuse(_retry_after_s(price, request), reason)
    price.on_sent(request.work_s, now_s)
    return Wait() if request.is_full else Send()


def refusal_reason(price: ServicePrice, request: ScarceRequest, now_s: float) -> str:
    """Return why a request is refused, empty if admitted; changes nothing."""
    if request.is_started:
        return ""
    # All gateways see the same idle engine until their next digests: together they must
    # not send it more than the capacity.
    if request.nothing_waits and price.has_part_left(now_s):
        # An engine that is idle now is used for a request that is late in any case only
        # if others, which can still be in time, do not wait either.
        is_idle = not price.is_scarce or price.wait_s(now_s) <= NOTHING_WAITS_S
        if is_idle or not request.is_late_anyway:
            return ""
    if request.expected_s > request.time_left_s:
        return "unservable"
    if price.is_scarce and price.is_below_level(request.key.priority):
        # The level keeps the backlog small; the known backlog is too old to refuse a
        # request of a priority that is served whole.
        return ""
    if _is_late(price, request, now_s):
        return "late"
    if not price.is_served(request.key, request.draw):
        return "price"
    if price.is_scarce and request.is_late_anyway:
        # Others of its priority can still meet their objectives.
        return "price"
    return ""


def _is_late(price: ServicePrice, request: ScarceRequest, now_s: float) -> bool:
    """Return whether the backlog makes this request or more urgent ones late."""
    if request.backlog_s > price.least_slack_s(request.key.priority - 1, now_s):
        return True
    if request.is_late_anyway:
        return request.backlog_s > MIN_SLACK_SHARE * request.objective_s
    return request.expected_s + request.waited_s > request.objective_s


def _retry_after_s(price: ServicePrice, request: ScarceRequest) -> float:
    steps = max(0.0, request.key.priority + request.draw - price.level)
    expected_s = request.backlog_s + RETRY_PER_STEP_S * (1.0 + steps)
    longest_s = max(MIN_RETRY_AFTER_S, MAX_RETRY_SHARE * request.time_left_s)
    return min(longest_s, max(MIN_RETRY_AFTER_S, expected_s))
