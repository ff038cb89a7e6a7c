"""Demand of a service, from the load seen lately and nothing more."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.capacity.messages import ServiceName, ServiceNeed

if TYPE_CHECKING:
    from tanagerturn.schema import settings_pb2

SAMPLE_MS: Final = 5_000
"""Load is averaged over this time."""

UTILISATION: Final[dict[serving_pb2.Priority.ValueType, float]] = {
    serving_pb2.URGENT: 0.6,
    serving_pb2.NORMAL: 0.7,
    serving_pb2.LOW: 0.9,
}
"""Share of slots in use at which the latency target is kept."""

LATE_STEP: Final = 1.1
"""Factor on the wanted slots for each sample whose latency was late."""

LATE_MAX: Final = 2.5
CALM_STEP: Final = 0.98
CALM_SHARE: Final = 0.5
"""Latency below this share of the target lets the factor shrink."""


class Demand:
    """Load of one service over a window, and a factor learned from latency.

    Args:
        window_ms: The highest load of this window is provided for.
    """

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        """The highest load of this window is provided for."""
        self.samples: deque[tuple[int, float]] = deque()
        """Time and average load of past samples."""
        self.factor = 1.0
        """Learned factor on the wanted slots."""
        self._sum = 0.0
        self._count = 0
        self._since_ms: int | None = None

    def observe(self, load: float, now_ms: int) -> None:
        """Take the present load: requests running and waiting."""
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
        """Take the 95th percentile of a sample of answers."""
        if latency_ms > target_ms:
            self.factor = min(LATE_MAX, self.factor * LATE_STEP)
        elif latency_ms < CALM_SHARE * target_ms:
            self.factor = max(1.0, self.factor * CALM_STEP)

    def load(self) -> float:
        """Return the highest load of the window, the running sample included."""
        running = self._sum / self._count if self._count else 0.0
        return max((load for _, load in self.samples), default=running)


def need_of(service: settings_pb2.Service, demand: Demand) -> ServiceNeed:
    """Return what a service needs.

    Patient services may wait out the loss of a zone; all others keep their
    target through it.
    """
    priority = service.priority or serving_pb2.NORMAL
    slots = demand.load() * demand.factor / UTILISATION[priority]
    patient = priority == serving_pb2.LOW
    return ServiceNeed(
        service=ServiceName(service.name),
        slots=slots,
        slots_after_loss=0.0 if patient else slots,
        min_hosts=service.capacity.min_hosts,
        max_hosts=service.capacity.max_hosts,
        max_on_demand=service.capacity.max_on_demand,
        scale_in_after_ms=service.capacity.scale_in_after_ms,
    )
