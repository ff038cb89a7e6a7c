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


def make_entry_metrics() -> EntryMetrics:
    """Return new metrics in a registry of their own."""
    registry = CollectorRegistry()
    return EntryMetrics(
        registry=registry,
        responses=Counter(
            "tanager_entry_responses_total",
            "Responses to callers by status.",
            ["status"],
            registry=registry,
        ),
        settings_revision=Gauge(
            "tanager_settings_revision",
            "Number of the settings revision in force.",
            registry=registry,
        ),
    )
