"""Metrics of an entry process."""

from __future__ import annotations

from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Gauge


@dataclass(frozen=True)
class EntryMetrics:
    """Counters and gauges of an entry process."""

    registry: CollectorRegistry
    """Registry that the operations listener shows."""
    responses: Counter
    """Responses by status."""
    settings_revision: Gauge
    """Number of the settings revision in force."""
    refusals: Counter
    """Requests refused before they ran, by step."""
    replies: Counter
    """Replies to calls that may not be repeated, by kind."""
    taken_over: Counter
    """Records taken over from dead entry hosts, by kind."""
    retries: Counter
    """Attempts after a failed one."""
    hedges: Counter
    """Lookups sent a second time."""
    hedges_without_server: Counter
    """Hedges given up for want of another backend server."""
    resumed: Counter
    """Streams resumed on another engine, by cause."""
    recomputed_tokens: Counter
    """Tokens that engines computed again, by cause."""
    dropped_chunks: Counter
    """Events of engines that were not delivered, by reason."""


def make_entry_metrics() -> EntryMetrics:
    """Return new metrics in a registry of their own."""
    registry = CollectorRegistry()

    def counter(name: str, text: str, *labels: str) -> Counter:
        return Counter(f"tanager_entry_{name}", text, labels, registry=registry)

    return EntryMetrics(
        registry=registry,
        responses=Counter(
            "tanager_entry_responses_total",
            "Responses to callers by status.",
            ["status"],
            registry=registry,
        ),
        refusals=counter(
            "refusals_total", "Requests refused before they ran, by step.", "step"
        ),
        replies=counter(
            "replies_total", "Replies to calls that may not be repeated.", "kind"
        ),
        taken_over=counter(
            "taken_over_total", "Records taken over from dead entry hosts.", "kind"
        ),
        retries=counter("retries_total", "Attempts after a failed one."),
        hedges=counter("hedges_total", "Lookups sent a second time."),
        hedges_without_server=counter(
            "hedges_without_server_total", "Hedges without another backend server."
        ),
        resumed=counter("resumed_total", "Streams resumed, by cause.", "cause"),
        recomputed_tokens=counter(
            "recomputed_tokens_total", "Tokens computed again, by cause.", "cause"
        ),
        dropped_chunks=counter(
            "dropped_chunks_total", "Events not delivered, by reason.", "reason"
        ),
        settings_revision=Gauge(
            "tanager_settings_revision",
            "Number of the settings revision in force.",
            registry=registry,
        ),
    )
