"""History of what callers, backend servers and operators observed, and its checks."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""HTTP statuses that guarantee that a request was not and will not be executed."""

EVENTS_PER_STREAM = 12
"""Number of events of each stream."""

AT_MOST_ONCE_ROUTES = ("/buy/", "/draft/")
"""Routes whose requests may be executed at most once."""


@dataclass
class History:
    """All observations of one run."""

    executions: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    """Backend servers that executed each request, in order, by request id."""
    paths: dict[str, str] = field(default_factory=dict)
    """Path of each request sent, by request id."""
    statuses: dict[str, int] = field(default_factory=dict)
    """HTTP status that the caller of each request got, by request id; 0 for no
    response."""
    incomplete_responses: dict[str, str] = field(default_factory=dict)
    """Address of the caller proxy of each request whose response was incomplete, by
    request id."""
    aborted_by_backend: set[str] = field(default_factory=set)
    """Ids of requests that a backend server aborted or never responded to."""
    acknowledged_version: int = 0
    """Latest configuration version that a gateway acknowledged; 0 for none."""
    violations: list[str] = field(default_factory=list)
    """Violated guarantees, as observed."""

    def on_execution(self, backend: str, request_id: str, path: str) -> None:
        """Record that a backend server starts to execute a request."""
        self.executions[request_id].append(backend)
        if self.paths.get(request_id) != path:
            self.violations.append(
                f"{request_id}: executed as {path}, not as it was sent"
            )

    def on_response(
        self,
        request_id: str,
        status: int,
        body: bytes,
        *,
        is_whole: bool,
        is_proven: bool,
    ) -> None:
        """Record the response to a request and check its proof of origin and body."""
        self.statuses[request_id] = status
        path = self.paths[request_id]
        if status != 200:
            return
        if not is_proven:
            self.violations.append(f"{request_id}: status 200 without proof of origin")
        if path.startswith(("/notes/", "/draft/")):
            self._check_stream(request_id, body, is_whole=is_whole)
        elif is_whole and body != f"{request_id}:{path}".encode():
            self.violations.append(f"{request_id}: wrong response body: {body[:80]!r}")

    def _check_stream(self, request_id: str, body: bytes, *, is_whole: bool) -> None:
        events = body.split(b"\n\n")
        incomplete = events.pop()
        expected = [
            f"id: {n}\ndata: {request_id}/{n}".encode()
            for n in range(1, EVENTS_PER_STREAM + 1)
        ]
        if events != expected[: len(events)]:
            self.violations.append(f"{request_id}: unexpected events {events}")
        if is_whole and (incomplete or len(events) != EVENTS_PER_STREAM):
            self.violations.append(
                f"{request_id}: complete response with {len(events)} events"
            )

    def on_read(self, host: str, version: int, acknowledged_version: int) -> None:
        """Record the version that a gateway returned for the configuration in force."""
        if version < acknowledged_version:
            self.violations.append(
                f"{host}: read version {version} after version {acknowledged_version}"
                " was acknowledged"
            )

    def on_acknowledged(self, version: int) -> None:
        """Record that a gateway acknowledged a configuration."""
        self.acknowledged_version = max(self.acknowledged_version, version)

    def find_violations(self) -> list[str]:
        """Return all violations; called once all requests have ended."""
        violations = list(self.violations)
        for request_id, backends in self.executions.items():
            path = self.paths.get(request_id, "")
            if path.startswith(AT_MOST_ONCE_ROUTES) and len(backends) > 1:
                violations.append(
                    f"{request_id}: {path} executed repeatedly at {backends}"
                )
            if (
                path.startswith(AT_MOST_ONCE_ROUTES)
                and self.statuses.get(request_id) in NOT_EXECUTED_STATUSES
            ):
                status = self.statuses[request_id]
                violations.append(
                    f"{request_id}: {path} got {status} but executed at {backends}"
                )
        return violations

    def summary(self) -> str:
        """Return the number of responses by status."""
        counts = Counter(self.statuses.values())
        by_status = ", ".join(f"{status}: {n}" for status, n in sorted(counts.items()))
        return (
            f"{len(self.paths)} requests ({by_status}),"
            f" version {self.acknowledged_version}"
        )
