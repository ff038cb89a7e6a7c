"""What callers, backend servers and operators saw, and what it must fulfil."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""

EVENTS = 12
"""Events of each stream."""

ONCE = ("/buy/", "/draft/")
"""Routes whose requests may run once at most."""


@dataclass
class Ledger:
    """Everything that was seen in one run."""

    runs: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    """Backend servers that ran each attempt, in order."""
    paths: dict[str, str] = field(default_factory=dict)
    """Path of each attempt that was sent."""
    statuses: dict[str, int] = field(default_factory=dict)
    """Status that the caller of each attempt got; 0 for none."""
    cut: dict[str, str] = field(default_factory=dict)
    """Attempts that a gateway ended without a whole answer, and at which door."""
    broken_off: set[str] = field(default_factory=set)
    """Attempts that a backend server broke off or left without an answer."""
    acknowledged: int = 0
    """Newest configuration that was acknowledged."""
    faults: list[str] = field(default_factory=list)
    """What broke a promise, as it was seen."""

    def on_run(self, backend: str, attempt: str, path: str) -> None:
        """A backend server begins to run an attempt."""
        self.runs[attempt].append(backend)
        if self.paths.get(attempt) != path:
            self.faults.append(f"{attempt}: run as {path}, not as it was sent")

    def on_answer(
        self, attempt: str, status: int, body: bytes, *, is_whole: bool, is_proven: bool
    ) -> None:
        """The caller of an attempt got an answer, or none with status 0."""
        self.statuses[attempt] = status
        path = self.paths[attempt]
        if status != 200:
            return
        if not is_proven:
            self.faults.append(f"{attempt}: a success without proof")
        if path.startswith(("/notes/", "/draft/")):
            self._check_stream(attempt, body, is_whole=is_whole)
        elif is_whole and body != f"{attempt}:{path}".encode():
            self.faults.append(f"{attempt}: another answer: {body[:80]!r}")

    def _check_stream(self, attempt: str, body: bytes, *, is_whole: bool) -> None:
        events = body.split(b"\n\n")
        cut = events.pop()
        expected = [
            f"id: {n}\ndata: {attempt}/{n}".encode() for n in range(1, EVENTS + 1)
        ]
        if events != expected[: len(events)]:
            self.faults.append(f"{attempt}: events {events}")
        if is_whole and (cut or len(events) != EVENTS):
            self.faults.append(f"{attempt}: {len(events)} events looked complete")

    def on_read(self, host: str, version: int, least: int) -> None:
        """A gateway answered a read of the configuration in force."""
        if version < least:
            self.faults.append(f"{host}: read version {version} after {least}")

    def on_acknowledged(self, version: int) -> None:
        """A gateway acknowledged a configuration."""
        self.acknowledged = max(self.acknowledged, version)

    def check_end(self) -> list[str]:
        """Return all that broke a promise, once everything has ended."""
        faults = list(self.faults)
        for attempt, backends in self.runs.items():
            path = self.paths.get(attempt, "")
            if path.startswith(ONCE) and len(backends) > 1:
                faults.append(f"{attempt}: {path} ran at {backends}")
            if path.startswith(ONCE) and self.statuses.get(attempt) in NOT_RUN:
                status = self.statuses[attempt]
                faults.append(f"{attempt}: {path} got {status} and ran at {backends}")
        return faults

    def summary(self) -> str:
        """Return counts of answers by status."""
        counts = Counter(self.statuses.values())
        told = ", ".join(f"{status}: {n}" for status, n in sorted(counts.items()))
        return f"{len(self.paths)} requests ({told}), version {self.acknowledged}"
