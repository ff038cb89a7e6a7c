"""Counts what the backend servers of a service in a rollout do with its requests."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.configuration import RequestKind
from tanagerturn.gateway.retry_policy import AttemptOutcome
from tanagerturn.serving.rollouts.evidence import CellKey

if TYPE_CHECKING:
    from tanagerturn.gateway.request_run import RequestRun
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.rollouts.evidence import VersionEvidence

MIN_OBJECTIVE_S: Final = 0.01
"""Smallest objective in seconds to which times are related; a route may state none."""

MIN_PACE_EVENTS: Final = 3
"""Number of pauses between events from which their mean is counted."""


@dataclass
class Attempt:
    """A request at a backend server."""

    run: RequestRun
    """The request."""
    backend: Backend
    """The backend server."""
    sent_s: float
    """Boot-clock time in seconds at which it was sent."""
    events_before: int
    """Number of events of the stream that the caller had."""
    first_event_s: float = 0.0
    """Boot-clock time in seconds of the first data; 0 before it."""
    is_timed: bool = False
    """Whether its response time has been counted."""
    number: int = 0
    """Number of the order in whose evidence it was counted last."""

    def key(self, target: str) -> CellKey:
        """Return the cell in which it is counted, for a target version."""
        version = self.backend.software_version
        backend = self.backend.id if version == target else ""
        return CellKey(self.run.route.name, version, backend)

    def time_ratio(self, now_s: float) -> float:
        """Return the time since it was sent over the route's objective."""
        objective_s = max(MIN_OBJECTIVE_S, self.run.route.latency_objective_s)
        return (now_s - self.sent_s) / objective_s

    def pace_ratio(self) -> float | None:
        """Return the mean pause between events over the pause objective.

        None with too few events, or without an objective.
        """
        run = self.run
        pauses = run.progress.event_count - self.events_before - 1
        objective_s = run.route.pause_objective_s
        if pauses < MIN_PACE_EVENTS or not self.first_event_s or objective_s <= 0:
            return None
        return (run.last_event_s - self.first_event_s) / pauses / objective_s


class AttemptCounter:
    """Counts the requests of one service in the evidence of its rollout.

    It knows all requests that run, so that those which run when an order comes count.
    """

    def __init__(self) -> None:
        self.running: dict[RequestRun, Attempt] = {}
        """Requests at backend servers."""
        self.evidence: VersionEvidence | None = None
        """Counters of the order in progress; None without one."""
        self.sent_to: Counter[str] = Counter()
        """Number of requests sent to each backend server since the order."""
        self.target = ""
        """Target version of that order."""

    def begin(self, target: str, evidence: VersionEvidence) -> None:
        """Count for another order, first the requests that run.

        Args:
            target: Target version of the order.
            evidence: New counters.
        """
        self.target, self.evidence = target, evidence
        self.sent_to.clear()
        for attempt in self.running.values():
            self._count_start(attempt)

    def end(self) -> None:
        """Stop counting: the rollout has ended."""
        self.evidence = None

    def on_sent(self, run: RequestRun, backend: Backend, now_s: float) -> None:
        """Count a request that is sent to a backend server."""
        attempt = Attempt(run, backend, now_s, run.progress.event_count)
        self.running[run] = attempt
        self._count_start(attempt)

    def on_first_data(self, run: RequestRun, now_s: float) -> None:
        """Count the time to the first data of a stream."""
        attempt = self.running.get(run)
        if attempt is None:
            return
        attempt.first_event_s = now_s
        self._count_time(attempt, now_s)

    def on_finished(
        self,
        run: RequestRun,
        outcome: AttemptOutcome | None,
        now_s: float,
        *,
        is_harmless: bool,
    ) -> None:
        """Count the end of a request at a backend server.

        Args:
            run: The request.
            outcome: How the attempt failed; None if it succeeded.
            now_s: Current boot-clock time in seconds.
            is_harmless: The result says nothing about the version.
        """
        attempt = self.running.pop(run, None)
        if attempt is None or not self._is_counted(attempt):
            return
        assert self.evidence is not None
        key = attempt.key(self.target)
        is_cancelled = is_harmless or outcome is AttemptOutcome.REJECTED
        if outcome is None and not is_harmless:
            if run.route.kind is not RequestKind.STREAM:
                self._count_time(attempt, now_s)
        elif is_harmless and attempt.time_ratio(now_s) > 1:
            # The caller left, or was cut off, after a response was due.
            self._count_time(attempt, now_s)
        self.evidence.on_ended(
            key,
            failed=outcome is not None and not is_cancelled,
            cancelled=is_cancelled,
            pace_ratio=attempt.pace_ratio() if outcome is None else None,
        )

    def update_waiting(self, now_s: float) -> None:
        """Set the ages of the requests that have no response yet."""
        if self.evidence is None:
            return
        self.evidence.set_waiting(
            (attempt.key(self.target), attempt.time_ratio(now_s))
            for attempt in self.running.values()
            if not attempt.is_timed and self._is_counted(attempt)
        )

    def sent_counts(self) -> tuple[int, int]:
        """Return how many requests the old versions and the target got here."""
        if self.evidence is None:
            return 0, 0
        counts = [0, 0]
        for key, cell in self.evidence.cells.items():
            counts[key.version == self.target] += cell.started
        return counts[0], counts[1]

    def _is_counted(self, attempt: Attempt) -> bool:
        return self.evidence is not None and attempt.number == self.evidence.number

    def _count_start(self, attempt: Attempt) -> None:
        if self.evidence is None:
            return
        attempt.number = self.evidence.number
        self.sent_to[attempt.backend.id] += 1
        self.evidence.on_started(attempt.key(self.target))

    def _count_time(self, attempt: Attempt, now_s: float) -> None:
        if attempt.is_timed or not self._is_counted(attempt):
            return
        assert self.evidence is not None
        attempt.is_timed = True
        self.evidence.on_time(attempt.key(self.target), attempt.time_ratio(now_s))
