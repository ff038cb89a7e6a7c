"""Prometheus metrics of a gateway."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
)
from prometheus_client.exposition import generate_latest

from tanagerturn.clocks import to_ms

if TYPE_CHECKING:
    from tanagerturn.gateway.state import GatewayState

LATENCY_BUCKETS_S: Final = (0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0)
"""Bucket bounds of latency histograms in seconds, around the latency objectives of
plain services and drafts."""

OVERHEAD_BUCKETS_S: Final = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0)
"""Bucket bounds in seconds of histograms of the delay that a gateway adds; at most 10
ms for a request and 20 ms for an event are allowed."""


@dataclass(frozen=True)
class GatewayMetrics:
    """Counters, gauges and histograms of one gateway."""

    registry: CollectorRegistry
    """Registry that the metrics listener exposes."""
    exchange_lag_s: Gauge
    """Longest time in seconds by which a round that reads peers' datagrams was late, of
    the last second."""
    digest_age_s: Gauge
    """Longest time in seconds from the sending of a peer's digest to its application,
    of the last second."""
    missed_digests: Gauge
    """Number of digests that peers sent and that were not received. A gauge, as
    `connections` is."""
    outcomes: Counter
    """Requests by outcome and status."""
    first_event_s: Histogram
    """Time in seconds from the arrival of each request for a stream to its first
    event."""
    answer_s: Histogram
    """Time in seconds from the arrival of each request to the end of its complete
    response."""
    held_s: Histogram
    """Time from the arrival of each request to its first backend attempt in seconds."""
    passed_on_s: Histogram
    """Longest time in seconds within each response from receiving bytes of a backend
    server to writing them to the caller."""
    pause_s: Histogram
    """Longest pause between two events of each stream in seconds."""
    configuration_version: Gauge
    """Version of the configuration in force."""
    gateways: Gauge
    """Number of present gateways, this one included."""
    backends: Gauge
    """Number of known backend servers."""
    unreached_backends: Gauge
    """Backend servers that this gateway fails to open connections to."""
    running: Gauge
    """Number of requests in flight at backend servers."""
    waiting: Gauge
    """Number of requests that wait for capacity at a backend server."""
    quarantined_parts: Gauge
    """Number of quarantined prompt parts."""
    quarantined_requests: Gauge
    """Number of requests that are rejected because they crashed backend servers."""
    connections: Gauge
    """Number of connections to backend servers opened since the process start."""
    clock_offset_s: Gauge
    """Corrected wall-clock time minus the host's wall-clock time in seconds."""
    stream_ends: Counter
    """Streams whose responses ended, by how they were delimited, the state of their
    migration and what shows that they are complete."""
    limit_units: Counter
    """Units of requests that were checked against limits of client accounts here, by
    charge. The help texts of counters are short: they are exposed twice, and a scrape
    may be cut after 4 KB."""

    backend_limit_requests: Counter
    """Requests that were checked against limits of backend servers here, by charge."""
    price: Gauge
    """Price of engine time by service, in priority steps that are not served."""
    price_refusals: Counter
    """Requests that the shared price refused, by service and reason."""
    quarantine_rejections: Counter
    """Requests that were rejected because of a quarantine, by service."""
    unknown_load_fields: Gauge
    """Number of load reports of backend servers with more fields than are known. Like
    `connections`, a gauge: the samples of a counter take twice the bytes."""
    departures: Counter
    """Backend servers that this gateway learned to be leaving, by source."""
    refusals: Counter
    """Requests and connections that were refused or closed for want of memory or
    descriptors, by kind."""
    memory_held: Gauge
    """Memory in bytes that requests and responses hold."""
    rollout_share: Gauge
    """Share of the requests that may use the target of a rollout in progress, by
    service."""
    rollout_requests: Gauge
    """Requests sent to backend servers since the order, by service and by whether they
    are of the target."""

    def update(
        self,
        state: GatewayState,
        running: int,
        waiting: int,
        now_s: float,
        wall_s: float,
    ) -> None:
        """Set the gauges from the gateway's state.

        Args:
            state: State of the gateway.
            running: Number of requests in flight at backend servers.
            waiting: Number of requests that wait for capacity at a backend server.
            now_s: Current boot-clock time in seconds.
            wall_s: Current wall-clock time of the host in seconds.
        """
        self.clock_offset_s.set(state.wall_clock.read(now_s) - wall_s)
        self.configuration_version.set(state.configuration.version)
        self.gateways.set(state.gateway_count)
        self.backends.set(len(state.fleet.view.backends))
        self.unreached_backends.set(
            sum(
                not state.fleet.paths.is_open(backend_id)
                for backend_id in state.fleet.view.backends
            )
        )
        self.running.set(running)
        self.waiting.set(waiting)
        self.quarantined_parts.set(len(state.quarantine.quarantined))
        self.quarantined_requests.set(len(state.repeats.quarantined()))
        self.connections.set(state.pool.opened_count)
        self.memory_held.set(state.memory.budget.used_bytes)
        if state.rollouts is not None:
            now_ms = to_ms(state.wall_clock.read(now_s))
            for service, known in state.rollouts.services.items():
                self.rollout_share.labels(service).set(known.share(now_ms))
                old, target = known.counter.sent_counts()
                self.rollout_requests.labels(service, "old").set(old)
                self.rollout_requests.labels(service, "target").set(target)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def make_gateway_metrics() -> GatewayMetrics:
    """Return the metrics of one gateway, in a new registry."""
    registry = CollectorRegistry()

    def histogram(
        name: str, text: str, buckets: tuple[float, ...] = LATENCY_BUCKETS_S
    ) -> Histogram:
        return Histogram(name, text, buckets=buckets, registry=registry)

    def gauge(name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=registry)

    # The times at which counters were created would take 1 KB of the first 4 KB.
    disable_created_metrics()  # type: ignore[no-untyped-call]
    # Gauges and counters come first: a scrape that is cut loses the histograms, whose
    # buckets are most of its bytes.
    return GatewayMetrics(
        registry=registry,
        configuration_version=gauge(
            "tanager_gateway_configuration_version", "Configuration in force."
        ),
        gateways=gauge("tanager_gateway_gateways", "Gateways present, itself too."),
        backends=gauge("tanager_gateway_backends", "Backend servers known."),
        unreached_backends=gauge(
            "tanager_gateway_unreached_backends",
            "Backend servers that this gateway does not reach.",
        ),
        running=gauge("tanager_gateway_running", "Requests at backend servers."),
        waiting=gauge("tanager_gateway_waiting", "Requests that wait for a place."),
        quarantined_parts=gauge(
            "tanager_gateway_quarantined_parts",
            "Prompt parts that crashed engines and are rejected.",
        ),
        quarantined_requests=gauge(
            "tanager_gateway_quarantined_requests",
            "Requests that crashed backend servers and are rejected.",
        ),
        connections=gauge(
            "tanager_gateway_connections_opened",
            "Connections to backend servers opened since the start.",
        ),
        memory_held=gauge(
            "tanager_gateway_memory_held_bytes",
            "Memory that requests and responses hold.",
        ),
        clock_offset_s=gauge(
            "tanager_gateway_clock_offset_seconds",
            "Corrected wall clock less the host's clock.",
        ),
        exchange_lag_s=gauge(
            "tanager_gateway_exchange_lag_seconds", "Lateness of reading datagrams."
        ),
        digest_age_s=gauge(
            "tanager_gateway_digest_age_seconds", "Age of applied digests."
        ),
        missed_digests=gauge(
            "tanager_gateway_missed_digests", "Digests sent to it and not received."
        ),
        outcomes=Counter(
            "tanager_gateway_requests",
            "Requests by outcome and status; status 0 for cut answers.",
            ("outcome", "status"),
            registry=registry,
        ),
        stream_ends=Counter(
            "tanager_gateway_stream_ends",
            "Ends of streams by framing, state of their migration and the proof that "
            "they are complete; none if they may not be.",
            ("framing", "migration", "proof"),
            registry=registry,
        ),
        limit_units=Counter(
            "tanager_gateway_limit_units",
            "Units checked against limits of client accounts here, by charge.",
            ("charge",),
            registry=registry,
        ),
        backend_limit_requests=Counter(
            "tanager_gateway_backend_limit_requests",
            "Requests checked against limits of backend servers.",
            ("charge",),
            registry=registry,
        ),
        price=Gauge(
            "tanager_gateway_engine_time_price",
            "Priority steps that are not served for want of engines.",
            ("service",),
            registry=registry,
        ),
        price_refusals=Counter(
            "tanager_gateway_price_refusals",
            "Requests refused since capacity is scarce.",
            ("service", "reason"),
            registry=registry,
        ),
        quarantine_rejections=Counter(
            "tanager_gateway_quarantine_rejections",
            "Requests rejected by a quarantine, by service.",
            ("service",),
            registry=registry,
        ),
        unknown_load_fields=gauge(
            "tanager_gateway_unknown_load_fields", "Load reports with unknown fields."
        ),
        departures=Counter(
            "tanager_gateway_departures",
            "Leaving backend servers learned of, by source.",
            ("source",),
            registry=registry,
        ),
        refusals=Counter(
            "tanager_gateway_overload_refusals",
            "Refusals for want of memory or descriptors.",
            ("kind",),
            registry=registry,
        ),
        rollout_share=Gauge(
            "tanager_gateway_rollout_share",
            "Share of requests for the target of a rollout.",
            ("service",),
            registry=registry,
        ),
        rollout_requests=Gauge(
            "tanager_gateway_rollout_requests",
            "Requests sent since the order of a rollout.",
            ("service", "versions"),
            registry=registry,
        ),
        first_event_s=histogram(
            "tanager_gateway_first_event_seconds", "Time to the first event of streams."
        ),
        answer_s=histogram(
            "tanager_gateway_answer_seconds", "Time to whole answers, streams included."
        ),
        held_s=histogram(
            "tanager_gateway_held_seconds",
            "Time from the arrival of requests to their first sending.",
            OVERHEAD_BUCKETS_S,
        ),
        passed_on_s=histogram(
            "tanager_gateway_passed_on_seconds",
            "Longest time of each answer from bytes of a backend server to their "
            "sending to the caller.",
            OVERHEAD_BUCKETS_S,
        ),
        pause_s=histogram(
            "tanager_gateway_pause_seconds", "Longest pause within each stream."
        ),
    )
