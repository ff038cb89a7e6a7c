"""Demand of a service, derived only from its recent load and latency."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.capacity.messages import ServiceName, ServiceNeed

if TYPE_CHECKING:
    from tanagerturn.schema import settings_pb2

SAMPLE_MS: Final = 5_000
"""Milliseconds over which the observed load is averaged into one sample."""

TARGET_UTILIZATION: Final[dict[serving_pb2.Priority.ValueType, float]] = {
    serving_pb2.URGENT: 0.6,
    serving_pb2.NORMAL: 0.7,
    serving_pb2.LOW: 0.9,
}
"""Share of used slots at which the latency target is met, by priority."""

LATE_FACTOR: Final = 1.1
"""Multiplier of the latency factor after a sample whose latency exceeds the target."""

MAX_LATENCY_FACTOR: Final = 2.5
"""Maximum of the latency factor."""

EARLY_FACTOR: Final = 0.98
"""Multiplier of the latency factor after a sample below `EARLY_SHARE` of the target."""

EARLY_SHARE: Final = 0.5
"""Share of the latency target below which the latency factor is reduced."""


class Demand:
    """Load of one service over a window, with a factor learned from its latency.

    Args:
        window_ms: Length in milliseconds of the window whose highest load counts.
    """

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        """Length in milliseconds of the window whose highest load counts."""
        self.samples: deque[tuple[int, float]] = deque()
        """Time in milliseconds and average load of each sample in the window."""
        self.latency_factor = 1.0
        """Latency factor by which the required slots are multiplied, 1 or more."""
        self._sum = 0.0
        self._count = 0
        self._since_ms: int | None = None

    def observe(self, load: float, now_ms: int) -> None:
        """Record the current load.

        Args:
            load: Number of running and waiting requests.
            now_ms: Current time in milliseconds.
        """
        if self._since_ms is None:
            self._since_ms = now_ms
        self._sum += load
        self._count += 1
        if now_ms - self._since_ms < SAMPLE_MS:
            return
        self.samples.append((now_ms, self._sum / self._count))
        self._sum, self._count, self._since_ms = 0.0, 0, now_ms
        while self.samples[0][0] < now_ms - self.window_ms:
            self.samples.popleft()

    def observe_latency(self, latency_ms: float, target_ms: float) -> None:
        """Update the latency factor with a sample of responses.

        Args:
            latency_ms: 95th percentile of the latencies in milliseconds.
            target_ms: Latency target of the service in milliseconds.
        """
        if latency_ms > target_ms:
            self.latency_factor = min(
                MAX_LATENCY_FACTOR, self.latency_factor * LATE_FACTOR
            )
        elif latency_ms < EARLY_SHARE * target_ms:
            self.latency_factor = max(1.0, self.latency_factor * EARLY_FACTOR)

    def load(self) -> float:
        """Return the highest average load of the samples in the window.

        Before the first sample is complete, the average of its observations counts.
        """
        current_average = self._sum / self._count if self._count else 0.0
        return max((load for _, load in self.samples), default=current_average)


def service_need(service: settings_pb2.Service, demand: Demand) -> ServiceNeed:
    """Return the capacity need of a service.

    Only low-priority services may miss their latency target after the loss of a zone.

    Args:
        service: Settings of the service.
        demand: Observed demand of the service.
    """
    priority = service.priority or serving_pb2.NORMAL
    slots = demand.load() * demand.latency_factor / TARGET_UTILIZATION[priority]
    may_miss_target = priority == serving_pb2.LOW
    return ServiceNeed(
        service=ServiceName(service.name),
        slots=slots,
        slots_after_loss=0.0 if may_miss_target else slots,
        min_hosts=service.capacity.min_hosts,
        max_hosts=service.capacity.max_hosts,
        max_on_demand=service.capacity.max_on_demand,
        scale_in_after_ms=service.capacity.scale_in_after_ms,
    )
