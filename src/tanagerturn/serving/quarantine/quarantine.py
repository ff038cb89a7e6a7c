"""Finds the prompt part that crashes engines, and quarantines it; no I/O.

An engine that crashes takes all its requests with it, so each of their parts becomes a
suspect. Parts of requests that run well elsewhere are cleared. A part that remains
under several crashes is quarantined, and explains the crashes of the parts beside it.
The decision depends only on the evidence, so gateways with the same evidence agree.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.quarantine.evidence import (
    Crash,
    CrashId,
    PartEvidence,
    PartId,
    request_bit,
)
from tanagerturn.serving.quarantine.trials import (
    EARLY_DELAY_S,
    MAX_EARLY_TRIALS,
    SURVIVOR_DELAY_S,
    TURN_S,
    CrashLog,
    early_delay_s,
    is_held,
    pause_s,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

WELL_AFTER_S: Final = 0.5
"""Time in seconds for which an engine has to write a response until its prompt counts
as harmless; a prompt that crashes an engine does so at the first tokens."""

UNPROVEN_CRASHES: Final = 3
"""Number of crashes from which a part is quarantined that never ran well."""

PROVEN_CRASHES: Final = 4
"""Number of crashes from which a part is quarantined that ran well before them."""

AMBIGUOUS_CRASHES: Final = 5
"""Number of crashes from which a part is quarantined although another one was at the
same crashes; until then one of the two may run well elsewhere."""

CLEARLY_MORE: Final = 1.5
"""Ratio of the requests with two parts at the same crashes from which the part in fewer
of them is taken for the cause."""

SETTLE_S: Final = 1.0
"""Time in seconds from the last crash that is needed to the decision, in which peers
report requests with the part that run well."""

PROOF_MAX_AGE_S: Final = 60.0
"""Time in seconds for which a request that ran well speaks for its parts."""

MAX_PROVEN_PARTS: Final = 4_096
"""Maximum number of parts of which the last good run is kept."""

EVIDENCE_MAX_AGE_S: Final = 600.0
"""Time in seconds after the last crash at which the evidence of a part is dropped."""

CLEARED_MAX_AGE_S: Final = 10.0
"""Time in seconds after its last change at which evidence without a crash is dropped;
peers report no change for that long."""

OTHER_SUSPECT_WAIT_S: Final = 2.0
"""Time in seconds for which a trial waits for a prompt without another suspect; some
parts only occur together."""

MAX_SUSPECTED_DEPTH: Final = 128
"""Number of parts of a prompt, from its beginning, that are suspected."""

MAX_SUSPECTS: Final = 512
"""Maximum number of parts with evidence."""

SUSPECT_CRASHES: Final = 2
"""Number of crashes from which a broken request with a part that never ran well is not
sent to another engine."""


class PartQuarantine:
    """Evidence of all suspected parts at one gateway, and the quarantined parts.

    Args:
        crash_log: All known crashes; None for an empty log of its own.
    """

    def __init__(self, crash_log: CrashLog | None = None) -> None:
        self.evidence: dict[PartId, PartEvidence] = {}
        """Evidence by part; empty while no engine crashes."""
        self.quarantined: frozenset[PartId] = frozenset()
        """Parts whose requests are rejected."""
        self.proven_s: OrderedDict[PartId, float] = OrderedDict()
        """Monotonic time in seconds of the last request of this gateway that ran well,
        by part; the latest is last."""
        self.urgent: set[PartId] = set()
        """Parts with a crash that peers have to learn of immediately."""
        self.repeated: Sequence[frozenset[CrashId]] = ()
        """Crashes of each request that is quarantined itself."""
        self.crash_log = crash_log or CrashLog()
        """All known crashes."""
        self.waiting_since_s: dict[PartId, float] = {}
        """Monotonic time in seconds since which a trial of a part waits here for a
        prompt without another suspect."""

    def find(self, parts: Iterable[PartId]) -> PartId | None:
        """Return the first quarantined one of a prompt's parts; None if none is."""
        if not self.quarantined:
            return None
        return next((part for part in parts if part in self.quarantined), None)

    def try_again(
        self, parts: Sequence[PartId], turn: int, now_s: float, oldest_start_s: float
    ) -> bool:
        """Return whether to let a request through in spite of its quarantined parts.

        Args:
            parts: Shared parts of the request's prompt, of which one is quarantined.
            turn: Position of this gateway in an order of all gateways that depends on
                the part; each may let one through some time after the one before.
            now_s: Monotonic time in seconds.
            oldest_start_s: Monotonic time in seconds at which the engine started that
                has run for the longest time, of those that may get the request.
        """
        tried = [p for p in parts if p in self.quarantined and p in self.evidence]
        for part in tried:
            due_s = self.trial_due_s(part, oldest_start_s) + TURN_S * turn
            if now_s < due_s or is_held(self.evidence[part], now_s):
                return False
            if self._has_other_suspect(part, parts):
                since_s = self.waiting_since_s.setdefault(part, now_s)
                if now_s < since_s + OTHER_SUSPECT_WAIT_S:
                    return False
        for part in tried:
            self.waiting_since_s.pop(part, None)
            evidence = self.evidence[part]
            evidence.admitted_s = evidence.changed_s = now_s
            self.urgent.add(part)
        return True

    def on_tried(self, parts: Iterable[PartId], now_s: float) -> None:
        """Record that a request that was let through was sent to an engine."""
        for part in parts:
            evidence = self.evidence.get(part)
            if evidence is not None and part in self.quarantined:
                evidence.tried_s = evidence.changed_s = now_s
                self.urgent.add(part)

    def trial_due_s(self, part: PartId, oldest_start_s: float) -> float:
        """Return the monotonic time in seconds of the next trial of a part.

        Args:
            part: A quarantined part.
            oldest_start_s: As for `try_again`.
        """
        evidence = self.evidence.get(part)
        if evidence is None or not evidence.crashes:
            # Cleared since the last decision.
            return 0.0
        since_s = max(evidence.last_crash_s(), evidence.tried_s or 0.0)
        if self.crash_log.goes_on_without(evidence):
            return since_s + EARLY_DELAY_S
        if evidence.crashed_trials >= MAX_EARLY_TRIALS:
            return since_s + pause_s(evidence)
        has_survivor = oldest_start_s < evidence.first_crash_s()
        first_s = SURVIVOR_DELAY_S if has_survivor else EARLY_DELAY_S
        return since_s + early_delay_s(evidence, first_s)

    def _has_other_suspect(self, part: PartId, parts: Iterable[PartId]) -> bool:
        """Return whether another part of a prompt was at crashes without this one."""
        crashes = self.evidence[part].crashes.keys()
        return any(
            self.evidence[other].crashes.keys() - crashes
            for other in parts
            if other != part and other in self.evidence
        )

    def is_suspect(self, parts: Iterable[PartId]) -> bool:
        """Return whether a broken request must not be sent to another engine."""
        if not self.evidence:
            return False
        explained = self._explained()
        for part in parts:
            evidence = self.evidence.get(part)
            if part in self.quarantined:
                return True
            if evidence is None or evidence.is_proven:
                continue
            unexplained = evidence.crashes.keys() - explained
            if len(unexplained - self._repeated_crashes(evidence)) >= SUSPECT_CRASHES:
                return True
        return False

    def on_crash(
        self,
        crash: CrashId,
        attempt_id: str,
        parts: Sequence[PartId],
        now_s: float,
        *,
        is_trial: bool = False,
    ) -> None:
        """Record that an engine crashed during a request that had not proven harmless.

        Args:
            crash: The engine that crashed.
            attempt_id: Id of the request.
            parts: Shared parts of the request's prompt, in order.
            now_s: Monotonic time in seconds.
            is_trial: The request was let through in spite of a quarantine.
        """
        self.crash_log.remember(crash, now_s)
        for depth, part in enumerate(parts[:MAX_SUSPECTED_DEPTH]):
            evidence = self._evidence(part, depth, now_s)
            if is_trial and part in self.quarantined:
                evidence.crashed_trials += 1
            if evidence.add_crashes({crash: Crash(now_s, request_bit(attempt_id))}):
                evidence.changed_s = now_s
                self.urgent.add(part)

    def on_ran_well(
        self, parts: Iterable[PartId], begun_s: float, now_s: float
    ) -> None:
        """Record that a request ran well; it clears earlier crashes of its parts.

        Args:
            parts: Shared parts of the request's prompt.
            begun_s: Monotonic time in seconds at which the engine began to write.
            now_s: Monotonic time in seconds.
        """
        for part in parts:
            self.proven_s[part] = now_s
            self.proven_s.move_to_end(part)
            evidence = self.evidence.get(part)
            if evidence is None:
                continue
            crashes = evidence.crashes
            earlier = [c for c, crash in crashes.items() if crash.seen_s < begun_s]
            if evidence.clear(earlier) or not evidence.is_proven:
                evidence.is_proven = True
                evidence.changed_s = now_s
                if part in self.quarantined:
                    evidence.crashed_trials = 0
                    self.urgent.add(part)
        while len(self.proven_s) > MAX_PROVEN_PARTS:
            self.proven_s.popitem(last=False)

    def merge(
        self,
        part: PartId,
        reported: PartEvidence,
        now_s: float,
    ) -> None:
        """Merge evidence that a peer reported.

        Args:
            part: The part.
            reported: Evidence of the peer, in this gateway's monotonic time.
            now_s: Monotonic time in seconds.
        """
        if now_s - reported.crashed_s >= EVIDENCE_MAX_AGE_S:
            return
        for crash, seen in reported.crashes.items():
            self.crash_log.remember(crash, seen.seen_s)
        evidence = self._evidence(part, reported.depth, now_s, reported.crashed_s)
        is_cleared = evidence.clear(list(reported.cleared))
        has_crashed = evidence.add_crashes(reported.crashes)
        evidence.is_proven |= reported.is_proven
        evidence.merge_trials(reported)
        evidence.crashed_s = max(evidence.crashed_s, reported.crashed_s)
        if is_cleared or has_crashed:
            evidence.changed_s = now_s

    def update(self, now_s: float, repeated: Sequence[frozenset[CrashId]] = ()) -> bool:
        """Drop old evidence, and decide which parts are quarantined.

        Args:
            now_s: Monotonic time in seconds.
            repeated: Crashes of each request that is quarantined itself.

        Returns:
            Whether the quarantined parts have changed.
        """
        self.repeated = repeated
        if not self.evidence and not self.quarantined:
            return False
        for part, evidence in list(self.evidence.items()):
            is_idle = now_s - evidence.changed_s >= CLEARED_MAX_AGE_S
            is_old = now_s - evidence.crashed_s >= EVIDENCE_MAX_AGE_S
            if is_old or (is_idle and not evidence.crashes):
                del self.evidence[part]
        previous, self.quarantined = self.quarantined, self._select(now_s)
        for part in self.waiting_since_s.keys() - self.quarantined:
            del self.waiting_since_s[part]
        return self.quarantined != previous

    def take_urgent(self) -> list[PartId]:
        """Return the parts that peers have to learn of immediately, and clear them."""
        urgent, self.urgent = self.urgent, set()
        return sorted(part for part in urgent if part in self.evidence)

    def _evidence(
        self, part: PartId, depth: int, now_s: float, crashed_s: float | None = None
    ) -> PartEvidence:
        evidence = self.evidence.get(part)
        if evidence is None:
            self._make_room()
            crashed_s = now_s if crashed_s is None else crashed_s
            evidence = self.evidence[part] = PartEvidence(crashed_s, now_s, depth=depth)
            proven_s = self.proven_s.get(part, -PROOF_MAX_AGE_S)
            evidence.is_proven = now_s - proven_s < PROOF_MAX_AGE_S
        evidence.depth = min(evidence.depth, depth)
        return evidence

    def _make_room(self) -> None:
        """Drop the evidence with the oldest last crash, if there is no room."""
        if len(self.evidence) < MAX_SUSPECTS:
            return
        others = self.evidence.keys() - self.quarantined or self.evidence.keys()
        del self.evidence[min(others, key=lambda p: (self.evidence[p].crashed_s, p))]

    def _explained(self) -> set[CrashId]:
        """Return the crashes that quarantined parts explain."""
        return {
            crash
            for part in self.quarantined
            if part in self.evidence
            for crash in self.evidence[part].crashes
        }

    def _repeated_crashes(self, evidence: PartEvidence) -> frozenset[CrashId]:
        """Return the crashes of a part that quarantined requests explain.

        A part that ran well is innocent of all of them. One that never did may be the
        cause in several requests that come again; only one of these can be the cause
        in its place.
        """
        crashes = evidence.crashes.keys()
        explained = [each & crashes for each in self.repeated if each & crashes]
        if evidence.is_proven:
            return frozenset().union(*explained)
        return max(explained, key=len, default=frozenset())

    def _select(self, now_s: float) -> frozenset[PartId]:
        """Return the parts to quarantine: the fewest that explain repeated crashes."""
        selected: set[PartId] = set()
        explained: set[CrashId] = set()
        suspected = {
            crash
            for evidence in self.evidence.values()
            if not evidence.is_proven and len(evidence.crashes) >= SUSPECT_CRASHES
            for crash in evidence.crashes
        }
        repeated = {
            part: evidence
            for part, evidence in self.evidence.items()
            if len(evidence.crashes) >= UNPROVEN_CRASHES
        }
        while True:
            # A part that ran well is not blamed while one that never did is suspected.
            incidents = {
                part: evidence.incident_times_s(
                    (explained | suspected if evidence.is_proven else explained)
                    | self._repeated_crashes(evidence)
                )
                for part, evidence in repeated.items()
                if part not in selected
            }
            guilty = _most_suspect(self.evidence, incidents, now_s)
            if guilty is None:
                return frozenset(selected)
            selected.add(guilty)
            explained |= self.evidence[guilty].crashes.keys()


def _most_suspect(
    evidence: Mapping[PartId, PartEvidence],
    incidents: Mapping[PartId, list[float]],
    now_s: float,
) -> PartId | None:
    """Return the part that most likely caused unexplained crashes; None if unclear.

    Args:
        evidence: Evidence by part.
        incidents: Monotonic times in seconds of the unexplained crashes, by part.
        now_s: Monotonic time in seconds.
    """

    def likelihood(part: PartId) -> tuple[bool, int, int, int, PartId]:
        each = evidence[part]
        # Of two parts at the same crashes, the one in fewer of the requests is in those
        # that caused them.
        return (
            not each.is_proven,
            len(incidents[part]),
            -each.request_count(),
            each.depth,
            part,
        )

    for part in sorted(incidents, key=likelihood, reverse=True):
        needed = _needed_crashes(evidence, incidents, part)
        times_s = incidents[part]
        if len(times_s) >= needed and now_s - times_s[needed - 1] >= SETTLE_S:
            return part
    return None


def _needed_crashes(
    evidence: Mapping[PartId, PartEvidence],
    incidents: Collection[PartId],
    part: PartId,
) -> int:
    """Return the number of crashes from which a part is quarantined."""
    each = evidence[part]
    needed = PROVEN_CRASHES if each.is_proven else UNPROVEN_CRASHES
    rivals = [
        evidence[other].request_count()
        for other in incidents
        if other != part
        and evidence[other].is_proven == each.is_proven
        and evidence[other].crashes.keys() >= each.crashes.keys()
    ]
    if not rivals:
        return needed
    # If the other part was the cause, this one would be in fewer of the crashes.
    is_clear = min(rivals) >= CLEARLY_MORE * each.request_count()
    return needed + 1 if is_clear else AMBIGUOUS_CRASHES
