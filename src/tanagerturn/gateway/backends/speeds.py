"""Speeds of backend servers, for services whose backend servers report them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.serving.capacity.engine_rate import EngineRate
from tanagerturn.serving.routing.speed import (
    WEIGHT_STEPS_PER_S,
    EngineSpeed,
    ServiceSpeeds,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.gateway.backends.state import InFlightRequest
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId

MAX_HORIZON_S: Final = 0.5
"""Longest time in seconds ahead for which a momentary factor is estimated."""

MIN_STREAM_EVENTS: Final = 4
"""Smallest number of events of a stream whose mean interval is learned from."""


def speed_key(backend_id: BackendId, start: str) -> int:
    """Return the hash that stands for a start of a backend server in digests."""
    return xxhash.xxh64_intdigest(f"{backend_id}|{start}".encode())


class Speeds:
    """Speeds of the backend servers that one gateway knows, by service.

    A service is active once one of its backend servers has reported the momentary time
    of its work; nothing is learned or stored for other services.
    """

    def __init__(self) -> None:
        self.services: dict[str, ServiceSpeeds] = {}
        """Active services by name."""
        self.rates: dict[str, EngineRate] = {}
        """Measurements for the capacity of the engines of active services."""
        self.by_backend: dict[BackendId, EngineSpeed] = {}
        """Speed of the last known start of each backend server of these services."""
        self.id_by_key: dict[int, BackendId] = {}
        """Backend servers by the keys of their starts, for digests of peers."""
        self.next_keys_s = 0.0
        """Boot-clock time in seconds from which `id_by_key` may be computed again."""

    def active(self, service: str) -> ServiceSpeeds | None:
        """Return what the backend servers of an active service have in common.

        None for a service that is not active.
        """
        return self.services.get(service)

    def of(self, backend: Backend) -> EngineSpeed:
        """Return the speed of a backend server; a new start has no measurements."""
        speed = self.by_backend.get(backend.id)
        if speed is None or speed.start != backend.incarnation:
            key = speed_key(backend.id, backend.incarnation)
            speed = EngineSpeed(backend.incarnation, key)
            self.by_backend[backend.id] = speed
        return speed

    def activate(self, backend: Backend) -> None:
        """Activate the services of a backend server that reports its speed."""
        for name in backend.announcement.services:
            if name not in self.services:
                self.services[name] = ServiceSpeeds()
                self.rates[name] = EngineRate()

    def on_report(self, backend: Backend, percent: int, now_s: float) -> None:
        """Record a reported momentary time, in percent of the usual one."""
        self.activate(backend)
        speed = self.of(backend)
        for name in backend.announcement.services[:1]:
            speed.on_report(percent, self.services[name].decay, now_s)

    def time_factors(
        self,
        service: ServiceSpeeds,
        pool: Sequence[Backend],
        backends: Sequence[Backend],
        now_s: float,
    ) -> list[float]:
        """Return the factors on the expected times of requests that are sent now.

        Args:
            service: The service of the backend servers.
            pool: All backend servers of the service, to which factors are relative.
            backends: Backend servers whose factors are returned, in their order.
            now_s: Current boot-clock time in seconds.
        """
        if service.is_refresh_due(now_s):
            service.refresh([self.of(backend) for backend in pool], now_s)
        # The middle of the request counts: the momentary factor changes meanwhile.
        middle_s = now_s + min(MAX_HORIZON_S, service.response_s / 2)
        known, factors = self.by_backend, []
        weights, last = service.decay.weights, len(service.decay.weights) - 1
        for backend in backends:
            speed = known.get(backend.id)
            if speed is None or speed.start != backend.incarnation:
                speed = self.of(backend)
            # As `EngineSpeed.time_factor`, without its calls.
            step = int((middle_s - speed.reported_s) * WEIGHT_STEPS_PER_S)
            mean = speed.mean_report
            weight = weights[step] if step < last else 0.0
            factors.append(speed.lasting * (mean + weight * (speed.report - mean)))
        return factors

    def on_first_event(
        self, backend: Backend, service: str, request: InFlightRequest, now_s: float
    ) -> None:
        """Learn from the time to the first event of a generation.

        Args:
            backend: Backend server that sent the event.
            service: Service of the request.
            request: The request.
            now_s: Current boot-clock time in seconds.
        """
        common = self.services.get(service)
        if common is None or request.momentary <= 0:
            return
        measured_s = now_s - request.sent_at_s
        common.on_response(measured_s)
        self._learn(common, backend, request, measured_s, request.base_s, now_s)

    def on_stream_ended(
        self,
        backend: Backend,
        service: str,
        request: InFlightRequest,
        event_s: float,
        event_count: int,
        now_s: float,
    ) -> None:
        """Learn from the mean time between the events of a stream.

        Args:
            backend: Backend server that sent the stream.
            service: Service of the request.
            request: The request.
            event_s: Time from the first to the last event in seconds.
            event_count: Number of events.
            now_s: Current boot-clock time in seconds.
        """
        common = self.services.get(service)
        if common is None or request.momentary <= 0:
            return
        common.on_ended(now_s - request.sent_at_s)
        if event_count < MIN_STREAM_EVENTS or event_s <= 0:
            return
        interval_s = event_s / (event_count - 1)
        speed = self.of(backend)
        expected_s = common.event_s
        common.on_event_time(interval_s, speed.mean_factor())
        if expected_s:
            # A stream is longer than the momentary factor lasts, so its mean counts.
            # The common error of first events is added, as `log_ratio` contains it.
            speed.on_measured(
                interval_s, expected_s / common.common_ratio(), speed.mean_report
            )

    def on_whole_response(
        self, backend: Backend, service: str, request: InFlightRequest, now_s: float
    ) -> None:
        """Learn from the time of a whole response of a plain service.

        Args:
            backend: Backend server that responded.
            service: Service of the request.
            request: The request.
            now_s: Current boot-clock time in seconds.
        """
        common = self.services.get(service)
        if common is None or request.momentary <= 0:
            return
        measured_s = now_s - request.sent_at_s
        expected_s = common.response_s * request.base_s
        common.on_response(measured_s)
        common.on_ended(measured_s)
        self._learn(common, backend, request, measured_s, expected_s, now_s)

    def _learn(
        self,
        common: ServiceSpeeds,
        backend: Backend,
        request: InFlightRequest,
        measured_s: float,
        expected_s: float,
        now_s: float,
    ) -> None:
        speed = self.of(backend)
        # The response brought a report of its end; both ends of the work count.
        momentary = (request.momentary + speed.momentary(common.decay, now_s)) / 2
        speed.on_measured(measured_s, expected_s, momentary)

    def forget(self, backend_id: BackendId) -> None:
        """Forget a backend server that was silent for too long."""
        self.by_backend.pop(backend_id, None)
