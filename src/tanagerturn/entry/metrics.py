"""Metrics of an entry process."""

from __future__ import annotations

from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Gauge


@dataclass(frozen=True)
class EntryMetrics:
    """Counters and gauges of an entry process."""

    registry: CollectorRegistry
    """Registry that the operations listener exposes."""
    responses: Counter
    """Responses to callers, by HTTP status."""
    settings_revision: Gauge
    """Number of the settings revision in force; 0 before the first revision."""
    refusals: Counter
    """Requests refused before they ran, by step."""
    replies: Counter
    """Replies to non-repeatable calls, by kind of reply."""
    taken_over: Counter
    """Request records taken over from dead entry hosts, by kind of call."""
    retries: Counter
    """Attempts made after a failed attempt."""
    hedges: Counter
    """Hedged attempts of lookups."""
    hedges_without_server: Counter
    """Hedged attempts not made as no other backend server was available."""
    resumed: Counter
    """Resumptions of streams after a lost attempt, by cause."""
    recomputed_tokens: Counter
    """Tokens that engines recomputed, by cause."""
    dropped_chunks: Counter
    """Engine events that were not delivered at once, by reason."""


def make_entry_metrics() -> EntryMetrics:
    """Return new metrics in a separate registry."""
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
