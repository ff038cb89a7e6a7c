"""State of one backend server as known to an entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.messages import AvailabilityZone, BackendId
from tanagerturn.serving.backends.rates import LearnedRates

if TYPE_CHECKING:
    from tanagerturn.serving.backends.messages import RequestId

MAX_MISSED_HEARTBEATS: Final = 3
"""Heartbeat intervals without an announcement after which a backend server expires."""


class Backend:
    """Announced values, local requests in flight and learned rates of a backend server.

    All times are on the clock of `now_ms`, in milliseconds.

    Args:
        announcement: First announcement of the incarnation.
        now_ms: Time at which it was received.
    """

    def __init__(self, announcement: serving_pb2.Announcement, now_ms: int) -> None:
        self.id = BackendId(announcement.id)
        """Id of the backend server."""
        self.incarnation = announcement.incarnation
        """Id of the start of the process to which this state belongs."""
        self.first_seen_ms = now_ms
        """Time of the first announcement of this incarnation."""
        self.in_flight: dict[RequestId, int] = {}
        """Local requests in flight, with the time at which each was sent."""
        self.rates = LearnedRates()
        """Rates learned from finished requests."""
        self.round_robin_turn = 0
        """Round-robin turn in which it was last chosen; 0 for never."""
        self.leaving = False
        """Whether it announced that it is leaving; never reset."""
        self.stops_at_ms: int | None = None
        """Latest time at which it stops; None when it is not leaving."""
        self.departure_is_reported = False
        """Whether it reported `gone_at_ms` itself by `on_departure`."""
        self.load_read_at_ms = -1
        """Clock of the backend server at its last load report; -1 before the first."""
        self.peer_requests = 0
        """Number of requests of other entry processes in the last load report."""
        self.reported_requests = 0
        """Number of running and waiting requests in the last load report."""
        self.update(announcement, now_ms)

    def __repr__(self) -> str:
        return (
            f"Backend({self.id}, zone={self.zone}, own={len(self.in_flight)}, "
            f"reported={self.reported_requests}, leaving={self.leaving})"
        )

    def update(self, announcement: serving_pb2.Announcement, now_ms: int) -> None:
        """Apply an announcement of the same incarnation."""
        self.announcement = announcement
        """Last announcement."""
        self.sequence = announcement.sequence
        """Sequence number of the last announcement."""
        self.address = announcement.address
        """IP address and port."""
        self.zone = AvailabilityZone(announcement.availability_zone)
        """Availability zone."""
        self.slots = announcement.slots
        """Number of requests that it accepts concurrently."""
        self.price_per_hour = announcement.price_per_hour
        """Price of its host per hour."""
        self.reclaimable = announcement.reclaimable
        """Whether the platform may reclaim its host."""
        self.role = announcement.role or serving_pb2.BOTH
        """Phases of a request that it runs: BOTH, PREFILL or DECODE."""
        self.kv_free = announcement.kv_tokens * (1.0 - announcement.load.kv_used)
        """Free KV cache, in tokens."""
        self.record_heartbeat(now_ms)
        if announcement.leaving:
            self._mark_leaving(announcement.leaving_in_ms, now_ms)
        if announcement.load.read_at_ms > self.load_read_at_ms:
            self.load_read_at_ms = announcement.load.read_at_ms
            load = announcement.load
            self.report_load(load.running, load.waiting)

    def record_heartbeat(self, now_ms: int) -> None:
        """Record that the backend server was heard from."""
        self.last_heard_ms = now_ms
        """Time at which it was last heard from."""
        heartbeat_ms = self.announcement.heartbeat_ms
        self.expires_ms = now_ms + MAX_MISSED_HEARTBEATS * heartbeat_ms
        """Time at which it is considered dead unless it is heard from again."""

    def report_load(self, running: int, waiting: int) -> None:
        """Record a load report from an announcement or a response."""
        self.reported_requests = running + waiting
        self.peer_requests = max(0, self.reported_requests - len(self.in_flight))

    def load(self) -> int:
        """Return the estimated number of requests, counting local ones at once."""
        return len(self.in_flight) + self.peer_requests

    def alive(self, now_ms: int) -> bool:
        """Return whether it was heard from within three heartbeat intervals."""
        return now_ms < self.expires_ms

    def serves(self, service: str) -> bool:
        """Return whether it announces a service."""
        return service in self.announcement.services

    def has_model(self, model: str, version: str, adapter: str) -> bool:
        """Return whether a model is ready; an empty version or adapter matches any."""
        for loaded in self.announcement.models:
            if loaded.model != model or not loaded.ready:
                continue
            if version and loaded.version != version:
                continue
            if not adapter or adapter in loaded.adapters:
                return True
        return False

    def on_departure(self, stops_at_ms: int) -> None:
        """Record a stop time that it reported itself; the earliest one is kept."""
        self.leaving = True
        if self.departure_is_reported and self.stops_at_ms is not None:
            stops_at_ms = min(stops_at_ms, self.stops_at_ms)
        self.stops_at_ms = stops_at_ms
        self.departure_is_reported = True

    def _mark_leaving(self, leaving_in_ms: int, now_ms: int) -> None:
        self.leaving = True
        if self.departure_is_reported:
            return
        stops_at_ms = now_ms + leaving_in_ms
        if self.stops_at_ms is None or stops_at_ms < self.stops_at_ms:
            self.stops_at_ms = stops_at_ms
