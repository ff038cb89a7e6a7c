"""Counts how much traffic quarantines reject, so that a wrong one is noticed."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.logs import component_log

if TYPE_CHECKING:
    import prometheus_client

REPORT_INTERVAL_S: Final = 10.0
"""Interval in seconds at which rejections are logged."""

MAX_SHARE: Final = 0.1
"""Share of a service's requests from which their rejection is logged as an error; few
callers send what crashes backend servers."""

log = component_log("quarantine")


class QuarantineShare:
    """Requests of each service, and those that a quarantine rejected.

    Args:
        rejections: Metric of rejected requests by service.
    """

    def __init__(self, rejections: prometheus_client.Counter) -> None:
        self.rejections = rejections
        """Metric of rejected requests by service."""
        self.requests: Counter[str] = Counter()
        """Requests by service since the last report."""
        self.rejected: Counter[str] = Counter()
        """Rejected ones among them."""
        self.next_report_s = 0.0
        """Boot-clock time in seconds of the next report."""

    def on_request(self, service: str) -> None:
        """Count a request whose route was found."""
        self.requests[service] += 1

    def on_rejected(self, service: str) -> None:
        """Count a request that a quarantine rejected."""
        self.rejected[service] += 1
        self.rejections.labels(service).inc()

    def report(self, now_s: float) -> None:
        """Log the rejections of the last interval, if there are any and it is over.

        Args:
            now_s: Current boot-clock time in seconds.
        """
        if now_s < self.next_report_s:
            return
        self.next_report_s = now_s + REPORT_INTERVAL_S
        for service, rejected in sorted(self.rejected.items()):
            requests = max(rejected, self.requests[service])
            counts = {"rejected": rejected, "requests": requests}
            if rejected > MAX_SHARE * requests:
                log.error("quarantine_rejections", service=service, **counts)
            else:
                log.info("quarantine_rejections", service=service, **counts)
        self.requests.clear()
        self.rejected.clear()
