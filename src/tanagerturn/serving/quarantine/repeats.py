"""Finds requests that crash backend servers however often they come again; no I/O.

All attempts of a request share a fingerprint. A backend server that crashes takes all
its requests with it, so each of their fingerprints becomes a suspect. One that stays
under several crashes without a good run in between is quarantined. It may still be
innocent, so attempts of it are let through now and then.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.quarantine.evidence import (
    Crash,
    CrashEvidence,
    CrashId,
    Fingerprint,
)
from tanagerturn.serving.quarantine.trials import (
    MAX_EARLY_TRIALS,
    PAUSE_S,
    TURN_S,
    CrashLog,
    early_delay_s,
    is_held,
    last_trial_s,
    pause_s,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

SUSPECT_CRASHES: Final = 2
"""Number of crashes from which a broken attempt is not sent to another backend
server."""

QUARANTINE_CRASHES: Final = 3
"""Number of crashes from which a request is quarantined."""

TRIAL_GAP_S: Final = 0.5
"""Time in seconds between trials of different requests. A trial that crashes a backend
server should not take another one with it; one that runs well is over by then, and
counts no more."""

EVIDENCE_MAX_AGE_S: Final = 600.0
"""Time in seconds after the last crash at which the evidence against a request is
dropped."""

CLEARED_MAX_AGE_S: Final = 10.0
"""Time in seconds after its last change at which evidence without a crash is dropped;
peers report no change for that long."""

MAX_SUSPECTS: Final = 1_024
"""Maximum number of requests with evidence."""

KEPT_SUSPECTS: Final = 768
"""Number of requests that keep their evidence when there are too many: those at most
crashes, the latest first."""

UPDATE_INTERVAL_S: Final = 1.0
"""Interval in seconds at which old evidence is dropped."""


@dataclass
class RepeatEvidence(CrashEvidence):
    """Crashes of backend servers that were working on attempts of one request."""

    @property
    def has_many_crashes(self) -> bool:
        """Whether attempts are rejected unless another request explains the crashes."""
        return len(self.crashes) >= QUARANTINE_CRASHES


class RepeatQuarantine:
    """Evidence of all suspected requests at one gateway.

    Args:
        crash_log: All known crashes; None for an empty log of its own.
    """

    def __init__(self, crash_log: CrashLog | None = None) -> None:
        self.evidence: dict[Fingerprint, RepeatEvidence] = {}
        """Evidence by request; empty while no backend server crashes."""
        self.urgent: set[Fingerprint] = set()
        """Requests with a change that peers have to learn of immediately."""
        self.crash_log = crash_log or CrashLog()
        """All known crashes, also those that no suspect is left of."""
        self.next_update_s = 0.0
        """Monotonic time in seconds at which old evidence is dropped next."""
        self._explained: frozenset[CrashId] | None = frozenset()
        """Crashes of convicted requests; None if the evidence has changed since."""

    def quarantined(self) -> frozenset[Fingerprint]:
        """Return the requests whose attempts are rejected."""
        return frozenset(f for f in self.evidence if self.is_quarantined(f))

    def quarantined_crashes(self) -> list[frozenset[CrashId]]:
        """Return the crashes of each quarantined request."""
        return [
            frozenset(self.evidence[fingerprint].crashes)
            for fingerprint in self.quarantined()
        ]

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether attempts of a request are rejected.

        One that was only at crashes of convicted requests is released. A further crash
        is enough to reject it again.
        """
        evidence = self.evidence.get(fingerprint)
        if evidence is None or not evidence.has_many_crashes:
            return False
        is_explained = evidence.crashes.keys() <= self._explained_crashes()
        return not is_explained or self._is_convicted(fingerprint)

    def _explained_crashes(self) -> frozenset[CrashId]:
        if self._explained is None:
            self._explained = frozenset(
                crash
                for fingerprint, evidence in self.evidence.items()
                if self._is_convicted(fingerprint)
                for crash in evidence.crashes
            )
        return self._explained

    def _is_convicted(self, fingerprint: Fingerprint) -> bool:
        """Return whether a trial of a request crashed a backend server on its own.

        That is, a crash since the quarantine at which no other request was that is at
        many crashes.
        """
        evidence = self.evidence[fingerprint]
        if not evidence.crashed_trials or not evidence.has_many_crashes:
            return False
        by_time = sorted(evidence.crashes.items(), key=lambda item: item[1].seen_s)
        later = {crash for crash, _ in by_time[QUARANTINE_CRASHES:]}
        for other, other_evidence in self.evidence.items():
            if other != fingerprint and other_evidence.has_many_crashes:
                later -= other_evidence.crashes.keys()
        return bool(later)

    def is_guilty(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is quarantined and no other cause is known."""
        return self.is_quarantined(fingerprint) and not self.may_be_innocent(
            fingerprint
        )

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a broken attempt must not be sent to another backend server.

        Crashes that a quarantined request explains do not count, unless the request is
        quarantined itself.
        """
        if self.is_quarantined(fingerprint):
            return True
        evidence = self.evidence.get(fingerprint)
        if evidence is None or len(evidence.crashes) < SUSPECT_CRASHES:
            return False
        explained = {
            crash
            for other, other_evidence in self.evidence.items()
            if other != fingerprint and self.is_quarantined(other)
            for crash in other_evidence.crashes
        }
        return len(evidence.crashes.keys() - explained) >= SUSPECT_CRASHES

    def may_be_innocent(self, fingerprint: Fingerprint) -> bool:
        """Return whether a quarantined request may only have been beside the cause.

        Either another request was at the same crashes, or many backend servers crashed
        at about that time without this request.
        """
        suspect = self.evidence[fingerprint]
        if not suspect.crashes:
            return True
        has_rival = any(
            evidence.crashes.keys() >= suspect.crashes.keys()
            for other, evidence in self.evidence.items()
            if other != fingerprint
        )
        return has_rival or self.crash_log.has_other_cause(suspect)

    def trial_due_s(self, fingerprint: Fingerprint) -> float:
        """Return the monotonic time in seconds of the next trial of a request."""
        evidence = self.evidence[fingerprint]
        if not evidence.crashes:
            return 0.0
        last_crash_s = evidence.last_crash_s()
        since_s = max(last_crash_s, evidence.tried_s or 0.0)
        if self._is_tried_early(fingerprint, last_crash_s):
            # A trial while backend servers crash for another reason shows nothing.
            quiet_s = max(since_s, self.crash_log.last_s()) + early_delay_s(evidence)
            return min(quiet_s, since_s + PAUSE_S)
        return since_s + pause_s(evidence)

    def _is_tried_early(self, fingerprint: Fingerprint, last_crash_s: float) -> bool:
        evidence = self.evidence[fingerprint]
        if not evidence.crashed_trials:
            return self.may_be_innocent(fingerprint)
        # The cause of a first crashed trial may have been another one as well.
        others_s = self.crash_log.others(evidence).values()
        return (
            evidence.crashed_trials < MAX_EARLY_TRIALS
            and max(others_s, default=0.0) > last_crash_s
        )

    def try_again(self, fingerprint: Fingerprint, turn: int, now_s: float) -> bool:
        """Return whether to let an attempt through in spite of the quarantine.

        Args:
            fingerprint: A quarantined request.
            turn: Position of this gateway in an order of all gateways that depends on
                the request; each may let one through some time after the one before.
            now_s: Monotonic time in seconds.
        """
        if now_s < self.trial_due_s(fingerprint) + TURN_S * turn:
            return False
        last_s = last_trial_s(self.evidence.values())
        if last_s is not None and now_s < last_s + TRIAL_GAP_S:
            return False
        evidence = self.evidence[fingerprint]
        if is_held(evidence, now_s):
            return False
        evidence.admitted_s = evidence.changed_s = now_s
        self.urgent.add(fingerprint)
        return True

    def on_tried(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Record that an attempt that was let through was sent to a backend server."""
        evidence = self.evidence.get(fingerprint)
        if evidence is not None:
            evidence.tried_s = evidence.changed_s = now_s
            self.urgent.add(fingerprint)

    def on_crash(
        self, crash: CrashId, fingerprint: Fingerprint, now_s: float, *, is_trial: bool
    ) -> None:
        """Record that a backend server crashed during an attempt of a request.

        Args:
            crash: The backend server that crashed.
            fingerprint: The request.
            now_s: Monotonic time in seconds.
            is_trial: The attempt was let through in spite of the quarantine.
        """
        self.crash_log.remember(crash, now_s)
        evidence = self._evidence(fingerprint, now_s, now_s)
        is_crashed_trial = is_trial and evidence.has_many_crashes
        evidence.crashed_trials += is_crashed_trial
        if evidence.add_crashes({crash: Crash(now_s, 0)}) or is_crashed_trial:
            evidence.changed_s = now_s
            self.urgent.add(fingerprint)
            self._explained = None

    def on_ran_well(
        self, fingerprint: Fingerprint, begun_s: float, now_s: float
    ) -> None:
        """Record that an attempt of a request ran well; it clears earlier crashes.

        Args:
            fingerprint: The request.
            begun_s: Monotonic time in seconds at which the backend server began to
                write.
            now_s: Monotonic time in seconds.
        """
        evidence = self.evidence.get(fingerprint)
        if evidence is None:
            return
        was_quarantined = evidence.has_many_crashes
        crashes = evidence.crashes
        if evidence.clear(
            [c for c, crash in crashes.items() if crash.seen_s < begun_s]
        ):
            evidence.changed_s = now_s
            evidence.crashed_trials = 0
            self._explained = None
            if was_quarantined:
                self.urgent.add(fingerprint)

    def merge(
        self, fingerprint: Fingerprint, reported: RepeatEvidence, now_s: float
    ) -> None:
        """Merge evidence that a peer reported.

        Args:
            fingerprint: The request.
            reported: Evidence of the peer, in this gateway's monotonic time.
            now_s: Monotonic time in seconds.
        """
        if now_s - reported.crashed_s >= EVIDENCE_MAX_AGE_S:
            return
        for crash, seen in reported.crashes.items():
            self.crash_log.remember(crash, seen.seen_s)
        evidence = self._evidence(fingerprint, reported.crashed_s, now_s)
        is_cleared = evidence.clear(list(reported.cleared))
        has_crashed = evidence.add_crashes(reported.crashes)
        if (
            is_cleared
            or has_crashed
            or reported.crashed_trials > evidence.crashed_trials
        ):
            self._explained = None
        evidence.merge_trials(reported)
        evidence.crashed_s = max(evidence.crashed_s, reported.crashed_s)
        if is_cleared or has_crashed:
            evidence.changed_s = now_s

    def update(self, now_s: float) -> None:
        """Drop old evidence."""
        if not self.evidence or now_s < self.next_update_s:
            return
        self.next_update_s = now_s + UPDATE_INTERVAL_S
        for fingerprint, evidence in list(self.evidence.items()):
            is_idle = now_s - evidence.changed_s >= CLEARED_MAX_AGE_S
            is_old = now_s - evidence.crashed_s >= EVIDENCE_MAX_AGE_S
            if is_old or (is_idle and not evidence.crashes):
                del self.evidence[fingerprint]
                self._explained = None

    def take_urgent(self) -> list[Fingerprint]:
        """Return the requests that peers have to learn of immediately, and clear them.

        Those at most crashes come first.
        """
        urgent, self.urgent = self.urgent, set()
        return self.by_crashes(f for f in urgent if f in self.evidence)

    def by_crashes(self, fingerprints: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Return requests with evidence in an order, those at most crashes first."""

        def rank(fingerprint: Fingerprint) -> tuple[int, Fingerprint]:
            return -len(self.evidence[fingerprint].crashes), fingerprint

        return sorted(fingerprints, key=rank)

    def _evidence(
        self, fingerprint: Fingerprint, crashed_s: float, now_s: float
    ) -> RepeatEvidence:
        evidence = self.evidence.get(fingerprint)
        if evidence is None:
            if len(self.evidence) >= MAX_SUSPECTS:
                self._make_room()
            evidence = self.evidence[fingerprint] = RepeatEvidence(crashed_s, now_s)
        return evidence

    def _make_room(self) -> None:
        def rank(item: tuple[Fingerprint, RepeatEvidence]) -> tuple[int, float]:
            return len(item[1].crashes), item[1].crashed_s

        kept = sorted(self.evidence.items(), key=rank, reverse=True)
        self.evidence = dict(kept[:KEPT_SUSPECTS])
        self._explained = None
