"""When something quarantined is tried again; no I/O.

A quarantine may be wrong: what stands out at several crashes may only have been beside
their cause. So requests are let through now and then. Each trial that ends in a crash
costs a backend server, so the first ones come soon and the others after long pauses.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.serving.quarantine.evidence import CrashEvidence, CrashId

EARLY_DELAY_S: Final = 2.0
"""Time in seconds without a crash or trial from which something that may be innocent is
tried; doubled after a trial that ended in a crash."""

SURVIVOR_DELAY_S: Final = 10.0
"""The same while an engine runs that was there before the first crash: what is innocent
is usually cleared by good runs at such engines."""

MAX_EARLY_TRIALS: Final = 2
"""Number of crashed trials from which something is tried after long pauses only."""

PAUSE_S: Final = 60.0
"""Time in seconds after the last crash or trial from which anything else is tried;
doubled after each trial that ended in a crash."""

MAX_PAUSE_S: Final = 300.0
"""Upper bound of the time between two trials in seconds."""

ADMITTED_HOLD_S: Final = 2.0
"""Time in seconds for which no other request is let through after one that has not yet
reached a backend server; it may never reach one."""

TURN_S: Final = 0.25
"""Time in seconds after which another gateway may let a request through too; the first
one has informed its peers by then."""

OTHER_CAUSE_S: Final = 10.0
"""Time in seconds before the first and after the last crash of a suspect, within which
crashes without it speak for another cause."""

MIN_LATER_CRASHES: Final = 2
"""Number of crashes without a suspect, about or after its last one, from which a
crashed trial of it shows nothing: engines still crash for another reason."""

ABOUT_S: Final = 1.0
"""Time in seconds before the last crash of a suspect from which they count."""

MAX_KNOWN_CRASHES: Final = 256
"""Maximum number of crashes whose times are kept."""


class CrashLog:
    """Times of the crashes that a gateway knows of, whatever was at them."""

    def __init__(self) -> None:
        self.seen_s: OrderedDict[CrashId, float] = OrderedDict()
        """Monotonic time in seconds of each crash; the latest known is last."""

    def remember(self, crash: CrashId, seen_s: float) -> None:
        """Record a crash, or that a backend server was replaced without leaving."""
        self.seen_s.setdefault(crash, seen_s)
        if len(self.seen_s) > MAX_KNOWN_CRASHES:
            self.seen_s.popitem(last=False)

    def last_s(self) -> float:
        """Return the monotonic time in seconds of the last crash; 0 without one."""
        return max(self.seen_s.values(), default=0.0)

    def others(self, suspect: CrashEvidence) -> dict[CrashId, float]:
        """Return crashes without a suspect at about its time, and their times.

        Args:
            suspect: Evidence with at least one crash.
        """
        times_s = [crash.seen_s for crash in suspect.crashes.values()]
        earliest_s = min(times_s) - OTHER_CAUSE_S
        latest_s = max(times_s) + OTHER_CAUSE_S
        return {
            crash: seen_s
            for crash, seen_s in self.seen_s.items()
            if crash not in suspect.crashes and earliest_s <= seen_s <= latest_s
        }

    def goes_on_without(self, suspect: CrashEvidence) -> bool:
        """Return whether backend servers went on crashing without a suspect."""
        since_s = suspect.last_crash_s() - ABOUT_S
        later = [
            crash
            for crash, seen_s in self.seen_s.items()
            if seen_s >= since_s and crash not in suspect.crashes
        ]
        return len(later) >= MIN_LATER_CRASHES

    def has_other_cause(self, suspect: CrashEvidence) -> bool:
        """Return whether many backend servers crashed without a suspect at its time."""
        return 2 * len(self.others(suspect)) >= len(suspect.crashes)


def early_delay_s(suspect: CrashEvidence, first_s: float = EARLY_DELAY_S) -> float:
    """Return the time in seconds before an early trial of a suspect.

    Args:
        suspect: Evidence against the suspect.
        first_s: Time in seconds before the first such trial.
    """
    return first_s * 2.0**suspect.crashed_trials


def pause_s(suspect: CrashEvidence) -> float:
    """Return the time in seconds before a trial of a suspect that is likely guilty."""
    return min(PAUSE_S * 2.0 ** max(0, suspect.crashed_trials - 1), MAX_PAUSE_S)


def last_trial_s(suspects: Iterable[CrashEvidence]) -> float | None:
    """Return the time in seconds of the last trial that showed no good run, if any."""
    times_s = (
        at_s
        for suspect in suspects
        if suspect.crashes
        for at_s in (suspect.admitted_s, suspect.tried_s)
        if at_s is not None
    )
    return max(times_s, default=None)


def is_held(suspect: CrashEvidence, now_s: float) -> bool:
    """Return whether a request that was let through may still reach an engine.

    Args:
        suspect: Evidence of what the request was rejected for.
        now_s: Monotonic time in seconds.
    """
    return suspect.admitted_s is not None and (
        now_s < suspect.admitted_s + ADMITTED_HOLD_S
    )
