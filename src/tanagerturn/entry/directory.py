"""Actor that tracks the backend servers and chooses one for each attempt."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, Final

import pykka

from tanagerturn.clocks import wall_ms
from tanagerturn.observe.logs import component_logger
from tanagerturn.serving.backends.view import make_backend_view
from tanagerturn.serving.reclaims.plan import find_importers, local_share
from tanagerturn.serving.routing.choose import choose
from tanagerturn.shared.announcements import Announce

if TYPE_CHECKING:
    from expression import Result

    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import (
        AnnouncementAccepted,
        AnnouncementFault,
        BackendId,
        Completion,
        RequestId,
    )
    from tanagerturn.serving.reclaims.messages import Importer
    from tanagerturn.serving.routing.messages import (
        NoBackend,
        RouteDecision,
        RouteRequest,
    )

log = component_logger("directory")

DEFAULT_SLOTS: Final = 32
"""Number of slots assumed for a backend server that announces no slots."""


@dataclass(frozen=True)
class Choose:
    """Chooses a backend server and counts the attempt as in flight at this server."""

    request_id: RequestId
    """Request of the attempt."""
    route: RouteRequest
    """Service, model and other criteria of the choice."""


@dataclass(frozen=True)
class AttemptEnded:
    """Reports the end of an attempt."""

    backend_id: BackendId
    """Backend server of the attempt."""
    request_id: RequestId
    """Request of the attempt."""
    failed: bool = False
    """Whether the backend server failed the attempt."""
    completion: Completion | None = None
    """Measurements of the attempt; None when there are none to record."""


@dataclass(frozen=True)
class ReclaimNotice:
    """Reports that an availability zone or a backend server will be reclaimed."""

    target: str
    """Name of the availability zone or backend server."""
    at_ms: int
    """Wall clock time of the reclaim, in milliseconds."""


@dataclass(frozen=True)
class ReclaimNoticeEnded:
    """Reports that a reclaim notice was cancelled or has ended."""

    target: str
    """Name of the availability zone or backend server."""


@dataclass(frozen=True)
class GetSlots:
    """Requests the slots of each service at backend servers that aren't leaving."""


@dataclass(frozen=True)
class IsLeaving:
    """Asks whether a backend server is leaving or under a reclaim notice."""

    backend_id: BackendId
    """Id of the backend server."""


@dataclass(frozen=True)
class StartAttempt:
    """Counts an attempt as in flight at a given backend server."""

    request_id: RequestId
    """Request of the attempt."""
    backend_id: BackendId
    """Id of the backend server."""


@dataclass(frozen=True)
class GetReclaimState:
    """Requests the leaving engines of a model and the possible importers."""

    service: str
    """Name of the service."""
    model: str
    """Name of the model."""
    request_tokens: float = 0.0
    """Mean KV cache size of a request, in tokens."""


@dataclass(frozen=True)
class LeavingEngine:
    """An engine that is leaving."""

    address: str
    """IP address and port of the engine."""
    stops_at_ms: int
    """Wall clock time at which the engine stops, in milliseconds."""


@dataclass(frozen=True)
class ReclaimState:
    """Leaving engines of a model and the engines that can import their KV caches."""

    sources: dict[BackendId, LeavingEngine]
    """Leaving engines by id."""
    importers: list[Importer]
    """Engines that can import KV caches."""
    addresses: dict[BackendId, str]
    """IP address and port of each importer, by id."""
    fraction: float
    """Fraction of the link capacity that this process may use, 0 to 1."""


@dataclass(frozen=True)
class Dump:
    """Requests the actor's state for a dump."""


class DirectoryActor(pykka.ThreadingActor):
    """Keeps the view of the backend servers.

    Args:
        seed: Seed of the generator that chooses among candidates.
    """

    use_daemon_thread = True

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.view = make_backend_view()
        """State of the announced backend servers."""
        self.random = random.Random(seed)
        """Random generator of the choice among candidates."""
        self.last_decisions: list[str] = []
        """Reasons of the last 20 choices, oldest first, for the dump."""

    def on_receive(self, message: Any) -> Any:
        """Handle a message."""
        return self.handle(message)

    @singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handle one kind of message."""
        raise TypeError(f"unknown message {message!r}")

    @handle.register(Announce)
    def on_announce(
        self, message: Announce
    ) -> Result[AnnouncementAccepted, AnnouncementFault]:
        """Apply an announcement."""
        now_ms = wall_ms()
        self.view.expire(now_ms)
        return self.view.on_announcement(message.announcement, now_ms)

    @handle.register(Choose)
    def on_choose(self, message: Choose) -> Result[RouteDecision, NoBackend]:
        """Choose a backend server and count the attempt as in flight at this server."""
        now_ms = wall_ms()
        decision = choose(self.view, message.route, now_ms, self.random)
        if decision.is_ok():
            chosen = decision.ok
            self.view.on_started(chosen.backend_id, message.request_id, now_ms)
            self.last_decisions.append(f"{message.request_id}: {chosen.reason}")
            del self.last_decisions[:-20]
        return decision

    @handle.register(AttemptEnded)
    def on_attempt_ended(self, message: AttemptEnded) -> None:
        """Remove an attempt from the in-flight requests of its backend server."""
        now_ms = wall_ms()
        if message.failed:
            self.view.on_failure(message.backend_id, message.request_id, now_ms)
            return
        self.view.on_ended(
            message.backend_id, message.request_id, now_ms, message.completion
        )

    @handle.register(ReclaimNotice)
    def on_reclaim_notice(self, message: ReclaimNotice) -> None:
        """Record a notice; its target gets no new requests."""
        self.view.on_notice(message.target, message.at_ms)  # type: ignore[arg-type]

    @handle.register(ReclaimNoticeEnded)
    def on_reclaim_notice_ended(self, message: ReclaimNoticeEnded) -> None:
        """Remove a notice."""
        self.view.on_notice_ended(message.target)  # type: ignore[arg-type]

    @handle.register(GetSlots)
    def on_get_slots(self, message: GetSlots) -> dict[str, int]:
        """Return the total slots of each service at servers that aren't leaving."""
        now_ms = wall_ms()
        self.view.expire(now_ms)
        slots: Counter[str] = Counter()
        for backend in self.view.backends.values():
            if self.view.is_leaving(backend):
                continue
            for service in backend.announcement.services:
                slots[service] += backend.slots or DEFAULT_SLOTS
        return dict(slots)

    @handle.register(IsLeaving)
    def on_is_leaving(self, message: IsLeaving) -> bool:
        """Return whether a backend server is leaving; False for an unknown one."""
        backend = self.view.backends.get(message.backend_id)
        return backend is not None and self.view.is_leaving(backend)

    @handle.register(StartAttempt)
    def on_start_attempt(self, message: StartAttempt) -> str:
        """Count an attempt; return the server's address; empty if it is refused."""
        now_ms = wall_ms()
        backend = self.view.backends.get(message.backend_id)
        if backend is None or not self.view.is_eligible(backend, now_ms):
            return ""
        self.view.on_started(backend.id, message.request_id, now_ms)
        return backend.address

    @handle.register(GetReclaimState)
    def on_get_reclaim_state(self, message: GetReclaimState) -> ReclaimState:
        """Return the leaving engines and the possible importers of their streams."""
        now_ms = wall_ms()
        pool = self.view.pool(message.service, message.model)
        leaving = [backend for backend in pool if self.view.is_leaving(backend)]
        # Only engines of the same model version can import a KV cache. Versions are
        # rarely mixed, so only the leaving engines' most common version is migrated.
        versions = Counter(_loaded_version(each, message.model) for each in leaving)
        version = versions.most_common(1)[0][0] if versions else ""
        leaving = [b for b in leaving if _loaded_version(b, message.model) == version]
        sources = {
            backend.id: LeavingEngine(
                backend.address, self._stops_at_ms(backend, now_ms)
            )
            for backend in leaving
        }
        importers = find_importers(
            self.view,
            message.service,
            message.model,
            version,
            "",
            now_ms,
            message.request_tokens,
        )
        addresses = {
            importer.backend_id: self.view.backends[importer.backend_id].address
            for importer in importers
        }
        fraction = local_share(self.view, sources)
        return ReclaimState(sources, importers, addresses, fraction)

    @handle.register(Dump)
    def on_dump(self, message: Dump) -> dict[str, Any]:
        """Return the state for a dump."""
        backends = self.view.backends.values()
        return {
            "backend_servers": {
                backend.id: {
                    "announcement": backend.announcement,
                    "in_flight": sorted(backend.in_flight),
                    "expires_ms": backend.expires_ms,
                    "leaving": self.view.is_leaving(backend),
                }
                for backend in backends
            },
            "cache_sequences": {
                backend.id: self.view.cache.sequence(backend.id) for backend in backends
            },
            "notices": dict(self.view.notices),
            "last_decisions": list(self.last_decisions),
        }

    def _stops_at_ms(self, backend: Backend, now_ms: int) -> int:
        stop_times_ms = [
            self.view.notices.get(backend.id),
            self.view.notices.get(backend.zone),
        ]
        if backend.leaving:
            stop_times_ms.append(backend.stops_at_ms)
        return min(
            (at_ms for at_ms in stop_times_ms if at_ms is not None), default=now_ms
        )


def _loaded_version(backend: Backend, model: str) -> str:
    loaded = backend.announcement.models
    return next((each.version for each in loaded if each.model == model), "")
