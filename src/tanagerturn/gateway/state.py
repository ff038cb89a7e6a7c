"""State of one gateway that its parts share; they all run on one event loop."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from tanagerturn.gateway.configuration import Configuration, empty_configuration
from tanagerturn.gateway.fleet import Fleet
from tanagerturn.gateway.limits import AccountLimits
from tanagerturn.gateway.logs import part_log
from tanagerturn.gateway.metrics import GatewayMetrics, make_gateway_metrics
from tanagerturn.gateway.pool import ConnectionPool
from tanagerturn.gateway.usage import UsageCounts
from tanagerturn.gateway.wall_time import WallTime
from tanagerturn.serving.capacity.asked import AskedTokens
from tanagerturn.serving.limits.spread import SpreadTerms
from tanagerturn.serving.retries.window import RetryTerms, RetryWindow

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.gateway.dialect import Dialect
    from tanagerturn.gateway.settings import GatewaySettings

log = part_log("configuration")


@dataclass
class GatewayState:
    """What the parts of a gateway share."""

    settings: GatewaySettings
    """Settings of the process."""
    dialect: Dialect
    """Adapter of the platform."""
    limits: AccountLimits
    """Limits of client accounts."""
    wall_time: WallTime
    """Corrected wall clock."""
    usage: UsageCounts
    """Requests that began to run, by report window."""
    configuration: Configuration = field(default_factory=empty_configuration)
    """The configuration in force."""
    fleet: Fleet = field(default_factory=Fleet)
    """Backend servers."""
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    """Connections to backend servers."""
    asked: AskedTokens = field(default_factory=AskedTokens)
    """What callers ask of engines."""
    metrics: GatewayMetrics = field(default_factory=make_gateway_metrics)
    """Metrics of the process."""
    random: Random = field(default_factory=Random)
    """Source of draws."""
    retries: dict[str, RetryWindow] = field(default_factory=dict)
    """Retry budgets by service."""
    gateways: int = 1
    """Gateways that take part, this one included."""
    is_draining: bool = False
    """The process was told to stop."""

    def adopt(self, configuration: Configuration, now_s: float) -> bool:
        """Put a configuration in force, unless a higher one is.

        Returns:
            Whether it is in force now.
        """
        if configuration.version <= self.configuration.version:
            return False
        before, self.configuration = self.configuration.version, configuration
        self.limits.set_terms(
            {
                account.name: SpreadTerms(account.rate_per_s, account.burst)
                for account in configuration.accounts
                if account.rate_per_s > 0
            },
            now_s,
        )
        self.fleet.kv_tokens = {
            service.name: service.engine.kv_tokens
            for service in configuration.services.values()
            if service.engine is not None
        }
        log.info(
            "configuration_in_force",
            version=configuration.version,
            before=before,
            routes=len(configuration.routes),
        )
        return True

    def set_gateways(self, others: Mapping[str, str], known: int, now_s: float) -> None:
        """Take the other gateways that are present.

        Args:
            others: Their link addresses by host.
            known: Number of all that are known, this one and lost ones included.
            now_s: Present time.
        """
        self.gateways = 1 + len(others)
        share = min(1.0, self.gateways / max(1, known))
        self.limits.set_gateways(others, share, now_s)

    def retry_window(self, service: str) -> RetryWindow:
        """Return the retry budget of a service."""
        found = self.retries.get(service)
        if found is None:
            settings = self.settings
            terms = RetryTerms(
                settings.retry_window_s, settings.retry_ratio, settings.retry_allowance
            )
            found = self.retries[service] = RetryWindow(terms)
        return found


def make_state(
    settings: GatewaySettings, dialect: Dialect, now_s: float, wall_s: float
) -> GatewayState:
    """Return the state of a gateway at its start.

    Args:
        settings: Settings of the process.
        dialect: Adapter of the platform.
        now_s: Boot clock.
        wall_s: Wall clock.
    """
    return GatewayState(
        settings=settings,
        dialect=dialect,
        limits=AccountLimits(settings.host, settings.limit_tolerance),
        wall_time=WallTime(now_s, wall_s),
        usage=UsageCounts(settings.report_window_s),
    )
