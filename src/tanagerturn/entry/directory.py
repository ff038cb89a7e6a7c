"""Actor that knows the backend servers and chooses one for each attempt."""

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
"""Slots of a backend server that announces none."""


@dataclass(frozen=True)
class Choose:
    """An attempt needs a backend server; it counts as started from now on."""

    request_id: RequestId
    """Request of the attempt."""
    route: RouteRequest
    """What the backend server must offer."""


@dataclass(frozen=True)
class Ended:
    """An attempt ended."""

    backend_id: BackendId
    """Backend server of the attempt."""
    request_id: RequestId
    """Request of the attempt."""
    failed: bool = False
    """The backend server failed the attempt."""
    completion: Completion | None = None
    """What was measured on the attempt."""


@dataclass(frozen=True)
class Notice:
    """A zone or a backend server is to be reclaimed."""

    target: str
    """Availability zone or backend server."""
    at_ms: int
    """Wall clock time in milliseconds at which it is taken."""


@dataclass(frozen=True)
class NoticeEnded:
    """A notice was called off or is over."""

    target: str
    """Availability zone or backend server."""


@dataclass(frozen=True)
class Slots:
    """Asks for the slots of each service at the backend servers that stay."""


@dataclass(frozen=True)
class IsLeaving:
    """Asks whether a backend server leaves or is to be reclaimed."""

    backend_id: BackendId
    """The backend server."""


@dataclass(frozen=True)
class Place:
    """An attempt goes to a named backend server, which it counts at."""

    request_id: RequestId
    """Request of the attempt."""
    backend_id: BackendId
    """The backend server."""


@dataclass(frozen=True)
class Reclaiming:
    """Asks which engines of a model leave, and which may take their streams."""

    service: str
    """Service."""
    model: str
    """Model."""
    request_tokens: float = 0.0
    """Mean KV cache of a request, in tokens."""


@dataclass(frozen=True)
class Source:
    """An engine that leaves."""

    address: str
    """IP number and port."""
    stops_at_ms: int
    """Wall clock time in milliseconds at which it is gone."""


@dataclass(frozen=True)
class Situation:
    """Engines that leave and engines that may take their streams."""

    sources: dict[BackendId, Source]
    """Engines that leave."""
    importers: list[Importer]
    """Engines that may take KV caches."""
    addresses: dict[BackendId, str]
    """Addresses of the importers."""
    fraction: float
    """Part of the links that this process may use."""


@dataclass(frozen=True)
class Dump:
    """Asks for the actor's state."""


class DirectoryActor(pykka.ThreadingActor):
    """Owns the view of the backend servers.

    Args:
        seed: Seed of the random choice among candidates.
    """

    use_daemon_thread = True

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.view = make_backend_view()
        """What is known of the backend servers."""
        self.random = random.Random(seed)
        """Random choice among candidates."""
        self.last_decisions: list[str] = []
        """Reasons of the last few choices, for the dump."""

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
        """Take an announcement."""
        now_ms = wall_ms()
        self.view.expire(now_ms)
        return self.view.on_announcement(message.announcement, now_ms)

    @handle.register(Choose)
    def on_choose(self, message: Choose) -> Result[RouteDecision, NoBackend]:
        """Choose a backend server and count the attempt there."""
        now_ms = wall_ms()
        decision = choose(self.view, message.route, now_ms, self.random)
        if decision.is_ok():
            chosen = decision.ok
            self.view.on_started(chosen.backend_id, message.request_id, now_ms)
            self.last_decisions.append(f"{message.request_id}: {chosen.reason}")
            del self.last_decisions[:-20]
        return decision

    @handle.register(Ended)
    def on_ended(self, message: Ended) -> None:
        """Take an attempt off."""
        now_ms = wall_ms()
        if message.failed:
            self.view.on_failure(message.backend_id, message.request_id, now_ms)
            return
        self.view.on_ended(
            message.backend_id, message.request_id, now_ms, message.completion
        )

    @handle.register(Notice)
    def on_notice(self, message: Notice) -> None:
        """Stop new work for what is to be reclaimed."""
        self.view.on_notice(message.target, message.at_ms)  # type: ignore[arg-type]

    @handle.register(NoticeEnded)
    def on_notice_ended(self, message: NoticeEnded) -> None:
        """Forget a notice."""
        self.view.on_notice_ended(message.target)  # type: ignore[arg-type]

    @handle.register(Slots)
    def on_slots(self, message: Slots) -> dict[str, int]:
        """Return the slots of each service."""
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
        """Tell whether a backend server leaves or is gone."""
        backend = self.view.backends.get(message.backend_id)
        return backend is not None and self.view.is_leaving(backend)

    @handle.register(Place)
    def on_place(self, message: Place) -> str:
        """Count an attempt; return the address, empty when it takes no work."""
        now_ms = wall_ms()
        backend = self.view.backends.get(message.backend_id)
        if backend is None or not self.view.is_eligible(backend, now_ms):
            return ""
        self.view.on_started(backend.id, message.request_id, now_ms)
        return backend.address

    @handle.register(Reclaiming)
    def on_reclaiming(self, message: Reclaiming) -> Situation:
        """Return the engines that leave and those that may take over."""
        now_ms = wall_ms()
        pool = self.view.pool(message.service, message.model)
        leaving = [backend for backend in pool if self.view.is_leaving(backend)]
        # KV caches fit engines of the same version only; mixed versions are rare.
        versions = Counter(_version_of(each, message.model) for each in leaving)
        version = versions.most_common(1)[0][0] if versions else ""
        leaving = [b for b in leaving if _version_of(b, message.model) == version]
        sources = {
            backend.id: Source(backend.address, self._gone_at_ms(backend, now_ms))
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
        return Situation(sources, importers, addresses, fraction)

    @handle.register(Dump)
    def on_dump(self, message: Dump) -> dict[str, Any]:
        """Return the state."""
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

    def _gone_at_ms(self, backend: Backend, now_ms: int) -> int:
        times = [self.view.notices.get(backend.id), self.view.notices.get(backend.zone)]
        if backend.leaving:
            times.append(backend.stops_at_ms)
        return min((at_ms for at_ms in times if at_ms is not None), default=now_ms)


def _version_of(backend: Backend, model: str) -> str:
    loaded = backend.announcement.models
    return next((each.version for each in loaded if each.model == model), "")
