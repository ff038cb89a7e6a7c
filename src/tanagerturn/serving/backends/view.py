"""State of all backend servers as known to an entry process.

The view is built from announcements, local requests, failures and reclaim notices. It
learns that a backend server is leaving from two independent sources: an announcement
of the backend server itself and a reclaim notice of the cloud API. After either, the
backend server gets no new requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from expression import Error, Ok, Result

from tanagerturn.serving.backends._check import find_fault
from tanagerturn.serving.backends.backend import Backend
from tanagerturn.serving.backends.messages import (
    AnnouncementAccepted,
    AnnouncementFault,
    BackendId,
)
from tanagerturn.serving.backends.outliers import OutlierEjector
from tanagerturn.serving.cache.blocks import BLOCK_TOKENS
from tanagerturn.serving.cache.view import CacheView, make_cache_view

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.schema import serving_pb2
    from tanagerturn.serving.backends._check import Network
    from tanagerturn.serving.backends.messages import (
        AvailabilityZone,
        Completion,
        RequestId,
    )

MS_PER_S: Final = 1000.0
MAX_RETIRED_INCARNATIONS: Final = 4
"""Number of earlier incarnations of each backend server whose announcements are
ignored."""

NOTICE_RETENTION_MS: Final = 120_000
"""Milliseconds for which a notice is retained after its reclaim time."""

MAX_DEPARTED: Final = 1_000
"""Number of departed backend servers whose late announcements are recognized."""

MAX_CACHED_POOLS: Final = 1_000
"""Maximum number of cached pools; all are removed before one more is cached."""


class PoolKey(NamedTuple):
    """Service and model that a backend server must offer; empty strings match any."""

    service: str
    model: str
    version: str
    adapter: str


class BackendView:
    """Backend servers with their local requests, reclaim notices and cached prefixes.

    Args:
        networks: Networks that may contain announced addresses; empty for any.
    """

    def __init__(self, networks: Sequence[Network] = ()) -> None:
        self.networks = tuple(networks)
        """Networks that may contain announced addresses; empty for any."""
        self.backends: dict[BackendId, Backend] = {}
        """Backend servers that have not expired, by id."""
        self.notices: dict[str, int] = {}
        """Reclaim time in milliseconds of each zone or backend server under notice."""
        self.cache: CacheView = make_cache_view()
        """Index of the prefix blocks that the engines hold."""
        self.outliers = OutlierEjector()
        """Failures and ejections of backend servers."""
        self._by_address: dict[str, BackendId] = {}
        self._retired: dict[BackendId, list[str]] = {}
        self._departed: dict[tuple[BackendId, str], None] = {}
        self._pools: dict[PoolKey, list[Backend]] = {}

    def __repr__(self) -> str:
        return f"BackendView(backends={len(self.backends)}, notices={self.notices})"

    def on_announcement(
        self, announcement: serving_pb2.Announcement, now_ms: int
    ) -> Result[AnnouncementAccepted, AnnouncementFault]:
        """Apply an announcement unless it is invalid or outdated.

        Args:
            announcement: The announcement as received.
            now_ms: Current time in milliseconds.

        Returns:
            Whether the announcement was applied, or the field for which it was refused.
        """
        fault = find_fault(announcement, self.networks)
        if fault:
            return Error(AnnouncementFault(announcement.id, fault))
        backend_id = BackendId(announcement.id)
        if self.is_stale(announcement):
            sequence = self.cache.sequence(backend_id)
            return Ok(AnnouncementAccepted(sequence, applied=False))
        changed = self._apply(announcement, now_ms)
        max_blocks = announcement.kv_tokens // BLOCK_TOKENS
        sequence = self.cache.on_events(
            backend_id, announcement.cache_events, now_ms, max_blocks
        )
        return Ok(AnnouncementAccepted(sequence, eligibility_changed=changed))

    def on_started(
        self, backend_id: BackendId, request_id: RequestId, now_ms: int
    ) -> None:
        """Count a local request as in flight from the time at which it is sent.

        Args:
            backend_id: Backend server to which the request is sent.
            request_id: The request.
            now_ms: Current time in milliseconds.
        """
        backend = self.backends.get(backend_id)
        if backend is not None:
            backend.in_flight[request_id] = now_ms

    def on_ended(
        self,
        backend_id: BackendId,
        request_id: RequestId,
        now_ms: int,
        completion: Completion | None = None,
    ) -> None:
        """Remove a local request that ended from those in flight.

        Args:
            backend_id: Backend server to which the request was sent.
            request_id: The request.
            now_ms: Current time in milliseconds.
            completion: Measurements of a successful request, after which the
                consecutive failures are reset; None for any other outcome.
        """
        backend = self.backends.get(backend_id)
        if backend is None:
            return
        backend.in_flight.pop(request_id, None)
        if completion is not None:
            self.outliers.count_success(backend_id, now_ms / MS_PER_S)
            backend.rates.observe(completion, now_ms)

    def on_failure(
        self, backend_id: BackendId, request_id: RequestId, now_ms: int
    ) -> None:
        """Remove a local request that failed and count the failure.

        Args:
            backend_id: Backend server at which the request failed.
            request_id: The request.
            now_ms: Current time in milliseconds.
        """
        backend = self.backends.get(backend_id)
        if backend is None:
            return
        backend.in_flight.pop(request_id, None)
        peers = [
            b.id for b in self.backends.values() if _offer_same_service(b, backend)
        ]
        self.outliers.count_failure(backend_id, peers, now_ms / MS_PER_S)

    def on_load_hint(self, backend_id: BackendId, running: int, waiting: int) -> None:
        """Record the load that a backend server reported with a response.

        Args:
            backend_id: The backend server.
            running: Number of running requests at the backend server.
            waiting: Number of waiting requests at the backend server.
        """
        backend = self.backends.get(backend_id)
        if backend is not None:
            backend.record_load(running, waiting)

    def on_notice(
        self, target: AvailabilityZone | BackendId, reclaim_at_ms: int
    ) -> None:
        """Record a reclaim notice for an availability zone or a backend server.

        Args:
            target: The availability zone or backend server.
            reclaim_at_ms: Time of the reclaim in milliseconds; the earliest reported
                time applies.
        """
        known = self.notices.get(target)
        self.notices[target] = (
            reclaim_at_ms if known is None else min(known, reclaim_at_ms)
        )

    def on_notice_ended(self, target: AvailabilityZone | BackendId) -> None:
        """Remove the cancelled reclaim notice of a zone or backend server."""
        self.notices.pop(target, None)

    def expire(self, now_ms: int) -> list[BackendId]:
        """Remove backend servers without heartbeats and notices of past reclaims.

        Args:
            now_ms: Current time in milliseconds.

        Returns:
            Ids of the removed backend servers.
        """
        expired = [b.id for b in self.backends.values() if not b.is_alive(now_ms)]
        for backend_id in expired:
            self._remove(backend_id)
        for target, reclaim_at_ms in list(self.notices.items()):
            if reclaim_at_ms + NOTICE_RETENTION_MS <= now_ms:
                del self.notices[target]
        return expired

    def forget(self, backend_id: BackendId) -> None:
        """Remove a backend server that is known to have stopped."""
        self._remove(backend_id)

    def is_leaving(self, backend: Backend) -> bool:
        """Return whether a backend server is leaving by its announcement or a notice.

        A notice for an availability zone does not apply to backend servers that were
        first seen after the reclaim time of the zone.
        """
        if backend.leaving or backend.id in self.notices:
            return True
        reclaim_at_ms = self.notices.get(backend.zone)
        return reclaim_at_ms is not None and backend.first_seen_ms <= reclaim_at_ms

    def is_eligible(self, backend: Backend, now_ms: int) -> bool:
        """Return whether a backend server may get new requests."""
        if not now_ms < backend.expires_ms or backend.leaving:
            return False
        return not self.notices or not self.is_leaving(backend)

    def is_ejected(self, backend: Backend, now_ms: int) -> bool:
        """Return whether a backend server is ejected because of its failures."""
        return self.outliers.is_ejected(backend.id, now_ms / MS_PER_S)

    def weight(self, backend: Backend, now_ms: int) -> float:
        """Return the share of its normal load that a backend server may get, 0 to 1."""
        return self.outliers.weight(backend.id, now_ms / MS_PER_S)

    def pool(
        self, service: str, model: str = "", version: str = "", adapter: str = ""
    ) -> list[Backend]:
        """Return all backend servers that offer a service and model, even if leaving.

        The list is shared and must not be modified.
        """
        key = PoolKey(service, model, version, adapter)
        pool = self._pools.get(key)
        if pool is None:
            pool = [b for b in self.backends.values() if self.offers(b, key)]
            if len(self._pools) >= MAX_CACHED_POOLS:
                self._pools.clear()
            self._pools[key] = pool
        return pool

    def offers(self, backend: Backend, key: PoolKey) -> bool:
        """Return whether a backend server offers a service and model."""
        if key.service and not backend.serves(key.service):
            return False
        return not key.model or backend.has_model(key.model, key.version, key.adapter)

    def candidates(
        self,
        service: str,
        model: str = "",
        version: str = "",
        adapter: str = "",
        *,
        now_ms: int,
    ) -> list[Backend]:
        """Return the backend servers that may get a request.

        Ejected backend servers are omitted unless all eligible ones are ejected.

        Args:
            service: Service that they must offer; empty for any.
            model: Model that they must have ready; empty for any.
            version: Version of the model; empty for any.
            adapter: Adapter of the model; empty for any.
            now_ms: Current time in milliseconds.
        """
        eligible = [
            backend
            for backend in self.pool(service, model, version, adapter)
            if self.is_eligible(backend, now_ms)
        ]
        healthy = [b for b in eligible if not self.is_ejected(b, now_ms)]
        return healthy or eligible

    def earlier_starts(self, announcement: serving_pb2.Announcement) -> list[Backend]:
        """Return known backend servers that the one announced would replace.

        They have its id or its address, and are another start.
        """
        ids = (
            BackendId(announcement.id),
            self._by_address.get(announcement.address, BackendId("")),
        )
        known = {i: self.backends[i] for i in ids if i in self.backends}
        return [
            backend
            for backend in known.values()
            if (backend.id, backend.incarnation)
            != (announcement.id, announcement.incarnation)
        ]

    def is_stale(self, announcement: serving_pb2.Announcement) -> bool:
        """Return whether an announcement is known or older than what is known."""
        backend_id = BackendId(announcement.id)
        if announcement.incarnation in self._retired.get(backend_id, ()):
            return True
        if self._is_earlier_start(announcement):
            return True
        backend = self.backends.get(backend_id)
        if backend is None or backend.incarnation != announcement.incarnation:
            return False
        if announcement.leaving and not backend.leaving:
            # A start that leaves does not come back, so the order does not matter: the
            # sender may not have received the latest announcements.
            return False
        return announcement.sequence <= backend.sequence

    def _is_earlier_start(self, announcement: serving_pb2.Announcement) -> bool:
        """Return whether a later process start is known with the same id or address.

        An announcement without a start time counts as earlier than those with one.
        """
        at_address = self._by_address.get(announcement.address, BackendId(""))
        for backend_id in (BackendId(announcement.id), at_address):
            known = self.backends.get(backend_id)
            if known is not None and announcement.born_ms < known.announcement.born_ms:
                return True
        return False

    def _apply(self, announcement: serving_pb2.Announcement, now_ms: int) -> bool:
        backend_id = BackendId(announcement.id)
        known = self.backends.get(backend_id)
        if known is not None and known.incarnation == announcement.incarnation:
            announcement = known.with_departure(announcement, now_ms)
            if announcement.sequence < known.sequence:
                announcement = with_sequence(announcement, known.sequence)
            changed = _eligibility_differs(known.announcement, announcement)
            self._assign_address(backend_id, known.address, announcement.address)
            known.update(announcement, now_ms)
            if changed:
                self._pools.clear()
            return changed
        if known is not None:
            self._retire(known)
            self._remove(backend_id)
        self._assign_address(backend_id, "", announcement.address)
        backend = self.backends[backend_id] = Backend(announcement, now_ms)
        if (backend_id, backend.incarnation) in self._departed:
            # A late announcement of a process start that is about to stop, or has.
            backend.leaving = True
            backend.announcement = backend.with_departure(announcement, now_ms)
        self._pools.clear()
        return True

    def _assign_address(self, backend_id: BackendId, before: str, after: str) -> None:
        """Assign an address to a backend server and remove its previous user.

        Args:
            backend_id: The backend server.
            before: Its previous address; empty for none.
            after: Its announced address.
        """
        if before == after:
            return
        self._by_address.pop(before, None)
        earlier = self._by_address.get(after)
        if earlier is not None and earlier != backend_id:
            self._remove(earlier)
        self._by_address[after] = backend_id

    def _retire(self, backend: Backend) -> None:
        retired = self._retired.setdefault(backend.id, [])
        retired.append(backend.incarnation)
        del retired[:-MAX_RETIRED_INCARNATIONS]

    def _remove(self, backend_id: BackendId) -> None:
        backend = self.backends.pop(backend_id, None)
        if backend is None:
            return
        if self._by_address.get(backend.address) == backend_id:
            del self._by_address[backend.address]
        if backend.leaving:
            self._departed[backend_id, backend.incarnation] = None
            if len(self._departed) > MAX_DEPARTED:
                del self._departed[next(iter(self._departed))]
        self.cache.forget(backend_id)
        self.outliers.forget(backend_id)
        self._pools.clear()


def make_backend_view(networks: Sequence[Network] = ()) -> BackendView:
    """Return a view without backend servers.

    Args:
        networks: Networks that may contain announced addresses; empty for any.
    """
    return BackendView(networks)


def with_sequence(
    announcement: serving_pb2.Announcement, sequence: int
) -> serving_pb2.Announcement:
    """Return a copy of an announcement with another sequence number."""
    copy = type(announcement)()
    copy.CopyFrom(announcement)
    copy.sequence = sequence
    return copy


def _offer_same_service(one: Backend, other: Backend) -> bool:
    return any(one.serves(name) for name in other.announcement.services)


def _eligibility_differs(
    before: serving_pb2.Announcement, after: serving_pb2.Announcement
) -> bool:
    if before.leaving != after.leaving or before.role != after.role:
        return True
    if before.address != after.address:
        return True
    if list(before.services) != list(after.services):
        return True
    return list(before.models) != list(after.models)
