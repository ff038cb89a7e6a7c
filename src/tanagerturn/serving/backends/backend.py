"""State of one backend server as known to an entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.messages import (
    AvailabilityZone,
    BackendId,
    SoftwareVersion,
)
from tanagerturn.serving.backends.rates import LearnedRates

if TYPE_CHECKING:
    from tanagerturn.serving.backends.messages import RequestId

MAX_MISSED_HEARTBEATS: Final = 3
"""Heartbeat intervals without an announcement after which a backend server expires."""


class Backend:
    """Announced values, local requests in flight and learned rates of a backend server.

    Times are on the clock of `now_ms`, in milliseconds, unless stated otherwise.

    Args:
        announcement: First announcement of the incarnation.
        now_ms: Time in milliseconds at which the announcement was received.
    """

    def __init__(self, announcement: serving_pb2.Announcement, now_ms: int) -> None:
        self.id = BackendId(announcement.id)
        """Id of the backend server."""
        self.incarnation = announcement.incarnation
        """Id of the process start that sent the announcements."""
        self.first_seen_ms = now_ms
        """Time in milliseconds of the first announcement of this incarnation."""
        self.in_flight: dict[RequestId, int] = {}
        """Time in milliseconds at which each local request in flight was sent."""
        self.rates = LearnedRates()
        """Rates learned from finished local requests."""
        self.round_robin_turn = 0
        """Round-robin turn in which the backend server was last chosen; 0 for never."""
        self.leaving = False
        """Whether the backend server announced that it is leaving; never reset."""
        self.stops_at_ms: int | None = None
        """Latest time in milliseconds at which it stops; None if it is not leaving."""
        self.departure_is_reported = False
        """Whether `stops_at_ms` was reported by the backend server (`on_departure`)."""
        self.load_read_at_ms = -1
        """Time of its last load report on the backend server's own clock, in
        milliseconds; -1 before the first."""
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
        """Apply a later announcement of the same incarnation.

        Args:
            announcement: The announcement.
            now_ms: Time in milliseconds at which the announcement was received.
        """
        self.announcement = announcement
        """Last applied announcement."""
        self.sequence = announcement.sequence
        """Sequence number of the last applied announcement."""
        self.address = announcement.address
        """IP address and port at which the backend server accepts requests."""
        self.zone = AvailabilityZone(announcement.availability_zone)
        """Availability zone of the backend server."""
        self.software_version = SoftwareVersion(announcement.software_version)
        """Version of its software; empty if it reports none."""
        self.slots = announcement.slots
        """Number of requests that the backend server accepts concurrently."""
        self.price_per_hour = announcement.price_per_hour
        """Price of its host per hour."""
        self.reclaimable = announcement.reclaimable
        """Whether the platform may reclaim its host."""
        self.role = announcement.role or serving_pb2.BOTH
        """Phases of a generation that the engine runs: BOTH, PREFILL or DECODE."""
        self.kv_free_tokens = announcement.kv_tokens * (1.0 - announcement.load.kv_used)
        """Free KV cache capacity, in tokens."""
        self.record_heartbeat(now_ms)
        if announcement.leaving:
            self._mark_leaving(announcement.leaving_in_ms, now_ms)
        if announcement.load.read_at_ms > self.load_read_at_ms:
            self.load_read_at_ms = announcement.load.read_at_ms
            load = announcement.load
            self.record_load(load.running, load.waiting)

    def started_s(self, now_s: float, wall_s: float) -> float:
        """Return when the process started, by its own statement if it makes one.

        Args:
            now_s: Present time in seconds, on the clock of `now_ms`.
            wall_s: Present wall-clock time in seconds.

        Returns:
            Time in seconds on the clock of `now_ms`.
        """
        if not self.announcement.born_ms:
            return self.first_seen_ms / 1000
        return now_s - (wall_s - self.announcement.born_ms / 1000)

    def with_departure(
        self, announcement: serving_pb2.Announcement, now_ms: int
    ) -> serving_pb2.Announcement:
        """Return an announcement of this incarnation that also states its departure.

        A backend server may state it in a response only, or announce itself as ready
        later, while others learn of it only from its last announcement.

        Args:
            announcement: An announcement of the same incarnation.
            now_ms: Time in milliseconds at which it was received.
        """
        if not self.leaving or announcement.leaving:
            return announcement
        leaving = serving_pb2.Announcement()
        leaving.CopyFrom(announcement)
        leaving.leaving = True
        if self.stops_at_ms is not None:
            leaving.leaving_in_ms = max(0, self.stops_at_ms - now_ms)
        return leaving

    def record_heartbeat(self, now_ms: int) -> None:
        """Record that a message of the backend server was received.

        Args:
            now_ms: Time in milliseconds at which the message was received.
        """
        self.last_heard_ms = now_ms
        """Time in milliseconds at which the last message was received."""
        heartbeat_ms = self.announcement.heartbeat_ms
        self.expires_ms = now_ms + MAX_MISSED_HEARTBEATS * heartbeat_ms
        """Time in milliseconds from which it counts as dead without a new message."""

    def record_load(self, running: int, waiting: int) -> None:
        """Record a load report from an announcement or a response.

        Args:
            running: Number of running requests at the backend server.
            waiting: Number of waiting requests at the backend server.
        """
        self.reported_requests = running + waiting
        self.peer_requests = max(0, self.reported_requests - len(self.in_flight))

    def load(self) -> int:
        """Return the estimated number of requests; local ones count when sent."""
        return len(self.in_flight) + self.peer_requests

    def is_alive(self, now_ms: int) -> bool:
        """Return whether the last message is less than three heartbeats old."""
        return now_ms < self.expires_ms

    def serves(self, service: str) -> bool:
        """Return whether the backend server announces a service."""
        return service in self.announcement.services

    def has_model(self, model: str, version: str, adapter: str) -> bool:
        """Return whether the backend server has a model loaded and ready.

        Args:
            model: Name of the model.
            version: Version of the model; empty for any.
            adapter: Adapter of the model; empty for any.
        """
        for loaded in self.announcement.models:
            if loaded.model != model or not loaded.ready:
                continue
            if version and loaded.version != version:
                continue
            if not adapter or adapter in loaded.adapters:
                return True
        return False

    def on_departure(self, stops_at_ms: int) -> None:
        """Record the departure time that the backend server reported.

        Args:
            stops_at_ms: Time in milliseconds at which it stops; if several times are
                reported, the earliest applies.
        """
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
