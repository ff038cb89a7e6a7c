"""What is known of a prompt part, or of a request, that was at engines that crashed.

Evidence only grows until it expires, and gateways merge it in any order and any number
of times with the same result, so that lost and repeated datagrams do not matter.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, NewType

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

PartId = NewType("PartId", str)
"""Id of a prompt part that several requests may share."""

Fingerprint = NewType("Fingerprint", int)
"""Hash that all attempts of a request have in common, 64 bits."""

CrashId = NewType("CrashId", int)
"""Hash of the id and the start time of an engine that crashed, 64 bits."""

SAME_INCIDENT_S: Final = 0.05
"""Time in seconds within which several crashes count as one: engines that are lost
together have a cause of their own."""

REQUEST_BITS: Final = 64
"""Size of the bitmap of requests."""

MAX_CRASHES: Final = 16
"""Maximum number of crashes kept of one suspect; a few decide."""

MAX_CLEARED: Final = 64
"""Maximum number of cleared crashes kept of one suspect; peers may report them
again."""


@dataclass(frozen=True)
class Crash:
    """Crash of an engine that was working on a suspect."""

    seen_s: float
    """Monotonic time in seconds."""
    requests: int
    """Bitmap with one bit for each of these requests, 64 bits; see `request_bit`."""


@dataclass
class CrashEvidence:
    """Crashes of engines that were working on one suspect."""

    crashed_s: float
    """Monotonic time in seconds of the last crash, also of a cleared one."""
    changed_s: float
    """Monotonic time in seconds of the last change that peers have to learn."""
    crashes: dict[CrashId, Crash] = field(default_factory=dict)
    """Crashes since the suspect ran well."""
    cleared: dict[CrashId, None] = field(default_factory=dict)
    """Crashes before the suspect ran well, the oldest first."""
    crashed_trials: int = 0
    """Number of requests that were let through in spite of the quarantine and ended in
    a crash."""
    admitted_s: float | None = None
    """Monotonic time in seconds at which the last such request was let through; None if
    there was none."""
    tried_s: float | None = None
    """Monotonic time in seconds at which the last such request was sent to a backend
    server; None if there was none."""

    def add_crashes(self, crashes: Mapping[CrashId, Crash]) -> bool:
        """Add crashes, or further requests to known ones; return whether any is new."""
        has_changed = False
        for crash, reported in crashes.items():
            if crash in self.cleared:
                continue
            known = self.crashes.get(crash)
            if known is None:
                known = Crash(reported.seen_s, 0)
                self.crashed_s = max(self.crashed_s, reported.seen_s)
            requests = known.requests | reported.requests
            if requests != known.requests or crash not in self.crashes:
                self.crashes[crash] = Crash(known.seen_s, requests)
                has_changed = True
        while len(self.crashes) > MAX_CRASHES:
            del self.crashes[min(self.crashes, key=lambda c: self.crashes[c].seen_s)]
        return has_changed

    def clear(self, crashes: Collection[CrashId]) -> bool:
        """Clear crashes with another cause; return whether one was not yet."""
        unknown = [crash for crash in crashes if crash not in self.cleared]
        for crash in unknown:
            self.cleared[crash] = None
            self.crashes.pop(crash, None)
        while len(self.cleared) > MAX_CLEARED:
            del self.cleared[next(iter(self.cleared))]
        return bool(unknown)

    def merge_trials(self, reported: CrashEvidence) -> None:
        """Merge the trials that a peer reported."""
        self.crashed_trials = max(self.crashed_trials, reported.crashed_trials)
        self.admitted_s = _latest_s(self.admitted_s, reported.admitted_s)
        self.tried_s = _latest_s(self.tried_s, reported.tried_s)

    def first_crash_s(self) -> float:
        """Return the monotonic time in seconds of the first uncleared crash."""
        return min(crash.seen_s for crash in self.crashes.values())

    def last_crash_s(self) -> float:
        """Return the monotonic time in seconds of the last uncleared crash."""
        return max(crash.seen_s for crash in self.crashes.values())


@dataclass
class PartEvidence(CrashEvidence):
    """Crashes of engines that were working on requests with one part."""

    depth: int = 0
    """Smallest position of the part in the prompts; parts further back are shared by
    fewer requests."""
    is_proven: bool = False
    """Whether a request with the part ran well at some gateway within the minute before
    its first crash, or since."""

    def request_count(self) -> int:
        """Return about how many requests with the part were at engines that crashed."""
        return sum(crash.requests.bit_count() for crash in self.crashes.values())

    def incident_times_s(self, explained: Collection[CrashId]) -> list[float]:
        """Return the times of crashes with no other explanation, in order.

        Crashes within `SAME_INCIDENT_S` count as one.

        Args:
            explained: Crashes that another part explains.
        """
        times_s: list[float] = []
        seen_s = sorted(
            c.seen_s for crash, c in self.crashes.items() if crash not in explained
        )
        for at_s in seen_s:
            if not times_s or at_s - times_s[-1] > SAME_INCIDENT_S:
                times_s.append(at_s)
        return times_s


def _latest_s(one_s: float | None, other_s: float | None) -> float | None:
    times_s = [at_s for at_s in (one_s, other_s) if at_s is not None]
    return max(times_s, default=None)


def request_bit(attempt_id: str) -> int:
    """Return the bit that stands for a request in a bitmap.

    Bitmaps of several gateways are merged without counting a request twice; requests
    with the same bit are counted as one.
    """
    return 1 << xxhash.xxh64_intdigest(attempt_id.encode()) % REQUEST_BITS
