"""History of what callers, backend servers and operators observed, and its checks."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""HTTP statuses that guarantee that a request was not and will not be executed."""

EVENTS_PER_STREAM = 12
"""Number of events of each stream."""

AT_MOST_ONCE_ROUTES = ("/buy/", "/draft/", "/solo/")
"""Routes whose requests may be executed at most once."""

MODEL_EVENTS = 30
"""Number of events of each stream of a model engine."""

MODEL_ROUTES = ("/sing/", "/solo/")
"""Routes to the model engines; streams of the first one may be resumed."""

LIFE_AFTER_END_S = 1.0
"""Time in seconds for which an engine has to live on after the end of a stream that
counts as sound: its end looks like its crash otherwise."""


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
    early_ends: dict[str, int] = field(default_factory=dict)
    """Number of events of each stream of a model engine that ended as complete before
    its last event, by request id."""
    whole_streams: set[str] = field(default_factory=set)
    """Ids of requests whose stream of a model engine came through whole."""
    sound_paths: set[str] = field(default_factory=set)
    """Ids of requests whose gateway and connection had no fault meanwhile."""
    times_s: dict[str, tuple[float, float]] = field(default_factory=dict)
    """Monotonic time in seconds at which each request was sent and ended, by id."""
    earlier_builds: set[str] = field(default_factory=set)
    """Ids of requests that a gateway of an earlier build answered."""
    engine_steps: dict[str, list[dict[str, object]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """Steps of the streams of model engines, in order, by request id."""
    engine_ends_s: dict[str, float] = field(default_factory=dict)
    """Monotonic time in seconds at which each start of a model engine ended, by its
    name."""
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
        if path.startswith(MODEL_ROUTES):
            self._check_model_stream(request_id, body, is_whole=is_whole)
        elif path.startswith(("/notes/", "/draft/")):
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

    def _check_model_stream(
        self, request_id: str, body: bytes, *, is_whole: bool
    ) -> None:
        """Check the events of a stream, each of which names its run."""
        *events, incomplete = body.decode().split("\n\n")
        runs = [event.rpartition("/")[0].rpartition("/")[2] for event in events]
        expected = [
            f"id: {n}\ndata: {request_id}/{run}/{n}" for n, run in enumerate(runs, 1)
        ]
        if events != expected:
            self.violations.append(f"{request_id}: unexpected events {events}")
        if len(set(runs)) > 1 and self.paths[request_id].startswith("/solo/"):
            self.violations.append(f"{request_id}: parts of the runs {set(runs)}")
        if not is_whole:
            return
        if incomplete or len(events) != MODEL_EVENTS:
            self.early_ends[request_id] = len(events)
        else:
            self.whole_streams.add(request_id)

    def on_engine_steps(self, steps: list[dict[str, object]]) -> None:
        """Record all steps of the streams of a model engine until now.

        Args:
            steps: Steps in the order of time; `step` is run, resumed, move, stopped or
                done.
        """
        for step in steps:
            request_id = str(step["request"])
            self.engine_steps[request_id].append(step)
            self.engine_steps[request_id].sort(key=lambda each: float(str(each["at"])))
            if step["step"] == "run":
                self.on_execution(str(step["engine"]), request_id, str(step["path"]))
            if step["step"] == "stopped":
                self.aborted_by_backend.add(request_id)

    def on_forwarded(
        self, request_id: str, disturbed_s: list[tuple[float, float]]
    ) -> None:
        """Record that a gateway sent a request through a peer.

        Args:
            request_id: Id of the request.
            disturbed_s: Begin and end of each fault of the peer in monotonic seconds.
        """
        sent_s, ended_s = self.times_s.get(request_id, (0.0, math.inf))
        if any(a <= ended_s and b >= sent_s for a, b in disturbed_s):
            self.sound_paths.discard(request_id)

    def killed_streams(self) -> set[str]:
        """Return the ids of requests whose run was cut by the end of its engine."""
        return {
            request_id
            for request_id, steps in self.engine_steps.items()
            if steps[-1]["step"] in ("run", "resumed", "move")
            and steps[-1]["engine"] in self.engine_ends_s
        }

    def _early_end_violations(self) -> list[str]:
        """Return a text for each stream that ended as complete before its last event.

        Earlier builds are known to do so for responses without a length or chunks.
        """
        return [
            f"{request_id}: complete response with {count} of {MODEL_EVENTS} events:"
            f" {self.paths[request_id]}, {self.describe_end(request_id)}"
            for request_id, count in self.early_ends.items()
            if request_id not in self.earlier_builds
        ]

    def describe_end(self, request_id: str) -> str:
        """Return how the last run of a stream was delimited and why it ended."""
        steps = self.engine_steps.get(request_id, [])
        starts = [step for step in steps if step["step"] in ("run", "resumed")]
        ends = [step for step in steps if step["step"] in ("stopped", "done")]
        framing = starts[-1]["framing"] if starts else "no run"
        if len(ends) < len(starts):
            return f"{framing}, engine killed"
        return f"{framing}, {ends[-1].get('cause', 'done') if ends else 'not begun'}"

    def _lost_stream_violations(self) -> list[str]:
        """Return a text for each sound stream that did not come through whole.

        A stream is sound if one run of it wrote all events and its end, no one ordered
        it to move without learning that it had ended, its engine lived on, and its
        gateways and the connection of its caller had no fault.
        """
        violations = []
        for request_id in self.sound_paths - self.whole_streams - self.earlier_builds:
            steps = self.engine_steps.get(request_id, [])
            kinds = [s["step"] for s in steps if s.get("answer") != "404"]
            if kinds != ["run", "done"]:
                continue
            last = steps[-1]
            end_s = self.engine_ends_s.get(str(last["engine"]), math.inf)
            if end_s - float(str(last["at"])) > LIFE_AFTER_END_S:
                violations.append(
                    f"{request_id}: {self.paths[request_id]}, a sound stream"
                    f" ({steps[0]['framing']}) got status {self.statuses[request_id]}"
                    " and did not come through whole"
                )
        return violations

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
        violations += self._early_end_violations() + self._lost_stream_violations()
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
        moves = Counter(
            str(step["answer"])
            for steps in self.engine_steps.values()
            for step in steps
            if step["step"] == "move"
        )
        ends = Counter(self.describe_end(request_id) for request_id in self.early_ends)
        return (
            f"{len(self.paths)} requests ({by_status}),"
            f" version {self.acknowledged_version};"
            f" {len(self.whole_streams)} whole streams of {len(self.engine_steps)} at"
            f" engines, {len(self.sound_paths)} sound paths; moves {dict(moves)};"
            f" early ends {dict(ends)}, {len(self.earlier_builds)} requests at the"
            " earlier build"
        )
