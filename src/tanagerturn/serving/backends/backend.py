"""One backend server as an entry process knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.messages import AvailabilityZone, BackendId
from tanagerturn.serving.backends.rates import LearnedRates

if TYPE_CHECKING:
    from tanagerturn.serving.backends.messages import RequestId

MISSED_HEARTBEATS: Final = 3


class Backend:
    """Announced values, own requests in flight, failures and learned rates.

    Args:
        announcement: First announcement of the backend server.
        now_ms: When it was received.
    """

    def __init__(self, announcement: serving_pb2.Announcement, now_ms: int) -> None:
        self.id = BackendId(announcement.id)
        """Its name."""
        self.incarnation = announcement.incarnation
        """Start that the state below belongs to."""
        self.first_seen_ms = now_ms
        """When this incarnation was first heard of."""
        self.in_flight: dict[RequestId, int] = {}
        """Own requests to the time each was sent."""
        self.rates = LearnedRates()
        """What finished requests showed."""
        self.chosen = 0
        """Turn in which it was last chosen, for round robin."""
        self.leaving = False
        """It said that it leaves; that is never taken back."""
        self.gone_at_ms: int | None = None
        """When it stops at the latest, if it is leaving."""
        self.departure_is_told = False
        """It told this time itself, apart from the usual one of its kind."""
        self.load_read_at_ms = -1
        """The backend server's clock at its last load report."""
        self.others = 0
        """Requests of other entry processes in the last load report."""
        self.reported = 0
        """Running and waiting requests in the last load report."""
        self.update(announcement, now_ms)

    def __repr__(self) -> str:
        return (
            f"Backend({self.id}, zone={self.zone}, own={len(self.in_flight)}, "
            f"reported={self.reported}, leaving={self.leaving})"
        )

    def update(self, announcement: serving_pb2.Announcement, now_ms: int) -> None:
        """Take over an announcement of the same incarnation."""
        self.announcement = announcement
        """Last announcement."""
        self.sequence = announcement.sequence
        """Its sequence number."""
        self.address = announcement.address
        """IP number and port."""
        self.zone = AvailabilityZone(announcement.availability_zone)
        """Availability zone."""
        self.slots = announcement.slots
        """Concurrent requests that it takes."""
        self.price_per_hour = announcement.price_per_hour
        """Price of its host."""
        self.reclaimable = announcement.reclaimable
        """The platform may take its host back."""
        self.role = announcement.role or serving_pb2.BOTH
        """Parts of a request that it runs."""
        self.kv_free = announcement.kv_tokens * (1.0 - announcement.load.kv_used)
        """Tokens of free KV cache."""
        self.hear(now_ms)
        if announcement.leaving:
            self._leave(announcement.leaving_in_ms, now_ms)
        if announcement.load.read_at_ms > self.load_read_at_ms:
            self.load_read_at_ms = announcement.load.read_at_ms
            load = announcement.load
            self.report_load(load.running, load.waiting)

    def hear(self, now_ms: int) -> None:
        """Note a sign of life."""
        self.heard_ms = now_ms
        """When it was last heard of."""
        heartbeat_ms = self.announcement.heartbeat_ms
        self.expires_ms = now_ms + MISSED_HEARTBEATS * heartbeat_ms
        """Unless it announces again, it is gone at this time."""

    def report_load(self, running: int, waiting: int) -> None:
        """Take a load report, from an announcement or with an answer."""
        self.reported = running + waiting
        self.others = max(0, self.reported - len(self.in_flight))

    def load(self) -> int:
        """Return the estimated requests there: own ones at once, and others."""
        return len(self.in_flight) + self.others

    def alive(self, now_ms: int) -> bool:
        """Tell whether it was heard of within three heartbeats."""
        return now_ms < self.expires_ms

    def serves(self, service: str) -> bool:
        """Tell whether it announces a service."""
        return service in self.announcement.services

    def has_model(self, model: str, version: str, adapter: str) -> bool:
        """Tell whether a model is ready there; empty texts match any."""
        for loaded in self.announcement.models:
            if loaded.model != model or not loaded.ready:
                continue
            if version and loaded.version != version:
                continue
            if not adapter or adapter in loaded.adapters:
                return True
        return False

    def on_departure(self, gone_at_ms: int) -> None:
        """Take the time at which it ends, as it told; the earliest one stays."""
        self.leaving = True
        if self.departure_is_told and self.gone_at_ms is not None:
            gone_at_ms = min(gone_at_ms, self.gone_at_ms)
        self.gone_at_ms = gone_at_ms
        self.departure_is_told = True

    def _leave(self, leaving_in_ms: int, now_ms: int) -> None:
        self.leaving = True
        if self.departure_is_told:
            return
        gone_at_ms = now_ms + leaving_in_ms
        if self.gone_at_ms is None or gone_at_ms < self.gone_at_ms:
            self.gone_at_ms = gone_at_ms
