"""The configuration in force: routes, services, client accounts and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final, NewType

if TYPE_CHECKING:
    from collections.abc import Mapping

ConfigurationVersion = NewType("ConfigurationVersion", int)
"""Version number of a configuration; the highest one is in force."""

ServiceName = NewType("ServiceName", str)
"""Name of a service, as backend servers announce it."""

AccountName = NewType("AccountName", str)
"""Name of a client account."""

NO_VERSION: Final = ConfigurationVersion(0)
"""Version before an operator has sent a configuration."""


class RequestKind(Enum):
    """How requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NOT_REPEATABLE = "not repeatable"
    STREAM = "stream"


@dataclass(frozen=True)
class Target:
    """One service of a route and its share of the route's requests."""

    service: ServiceName
    """Service that gets the requests."""
    weight: float
    """Share of the requests, relative to the weights of the route's other targets."""


@dataclass(frozen=True)
class Route:
    """Destination and policies of requests with one host name and path prefix."""

    name: str
    """Name given by the operator."""
    host: str
    """Host name in lower case, without a port."""
    path_prefix: str
    """Prefix of the path; starts and ends with a slash."""
    kind: RequestKind
    """How requests may be retried."""
    is_resumable: bool
    """Another backend server may resume a stream after its last event."""
    timeout_s: float
    """Maximum time in seconds from the arrival of a request to the end of its
    response."""
    latency_objective_s: float
    """Objective in seconds for the time from the arrival of a request to its response
    or to the first event of a stream."""
    pause_objective_s: float
    """Objective in seconds for the pause between two events of a stream; 0 for none."""
    priority: int
    """Priority of the requests; 0 is the most urgent."""
    max_backends: int
    """Maximum number of backend servers that one request may be sent to."""
    is_anonymous: bool
    """Requests need no API key."""
    targets: tuple[Target, ...]
    """Services that get the requests; at least one weight is above 0."""


@dataclass(frozen=True)
class EngineTraits:
    """Properties of the engines of a service, as configured by the operator."""

    kv_tokens: int
    """KV cache capacity of one engine in tokens; 0 if not stated."""
    kv_token_bytes: float
    """Size of one token in the KV cache in bytes; 0 if not stated."""
    can_move: bool
    """Engines can migrate running requests to each other."""
    can_back_up: bool
    """Engines can copy the KV cache of running requests to each other as it grows."""


@dataclass(frozen=True)
class Scaling:
    """Bounds and prices of the backend servers that may be ordered for a service."""

    min_backends: int
    """Minimum number of backend servers in each availability zone."""
    max_backends: int
    """Maximum number of backend servers in each availability zone."""
    boot_s: float
    """Time in seconds from the order of a backend server to its first request."""
    reclaimable_price: float
    """Price of a reclaimable backend server as a fraction of the on-demand price; 0 if
    none are offered."""
    zone_prices: Mapping[str, float]
    """Price of an on-demand backend server by availability zone."""


@dataclass(frozen=True)
class Service:
    """One service and the properties of its backend servers."""

    name: ServiceName
    """Name of the service."""
    health_path: str
    """Path of the health check; empty for none."""
    max_connections: int
    """Maximum number of connections that one backend server accepts from all gateways
    together; 0 if not stated."""
    slots: int = 0
    """Number of requests that one backend server runs concurrently; 0 if not stated."""
    engine: EngineTraits | None = None
    """Properties of its model engines; None for a plain service."""
    scaling: Scaling | None = None
    """Bounds for orders of backend servers; None if none may be ordered."""


@dataclass(frozen=True)
class Account:
    """One client account with its API keys and its limit."""

    name: AccountName
    """Name of the client account."""
    keys: frozenset[str]
    """API keys of its callers."""
    priority: int | None
    """Priority that replaces that of the route; None for the route's."""
    counts_tokens: bool
    """The limit's units are tokens, not requests."""
    plain_cost: float
    """Units of a plain request, which states no token counts."""
    rate_per_s: float
    """Limit in units per second over all gateways; 0 for no limit."""
    burst: float
    """Maximum number of units beyond the rate that may be used in a burst."""


@dataclass(frozen=True)
class IngressLimits:
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16_384
    """Maximum size of a request's head in bytes."""
    body_bytes: int = 4_194_304
    """Maximum size of a request's body in bytes."""
    header_timeout_s: float = 3.0
    """Maximum time from the first to the last byte of a head in seconds."""
    idle_timeout_s: float = 15.0
    """Maximum time in seconds that a connection stays open without a request."""


@dataclass(frozen=True)
class Configuration:
    """One accepted configuration of an operator, decoded and indexed."""

    version: ConfigurationVersion
    """Version number; `NO_VERSION` before an operator has sent a configuration."""
    routes: tuple[Route, ...]
    """Routes in the order of the document."""
    services: Mapping[ServiceName, Service]
    """Services by name."""
    accounts: tuple[Account, ...]
    """Client accounts; empty if callers need no key."""
    limits: IngressLimits
    """Limits on callers' requests."""
    document: bytes = b""
    """The operator's document as received; empty before an operator has sent one."""
    routes_by_host: dict[str, list[Route]] = field(init=False, repr=False)
    """Routes by host name, the longest path prefix first."""
    accounts_by_key: dict[str, Account] = field(init=False, repr=False)
    """Client accounts by API key."""

    def __post_init__(self) -> None:
        """Index routes by host, the longest prefix first, and accounts by key."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        by_key = {key: account for account in self.accounts for key in account.keys}
        object.__setattr__(self, "routes_by_host", by_host)
        object.__setattr__(self, "accounts_by_key", by_key)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path; None if none matches."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def account_for(self, key: str) -> Account | None:
        """Return the client account of an API key; None if the key is unknown."""
        return self.accounts_by_key.get(key)


def empty_configuration() -> Configuration:
    """Return the configuration in force before an operator has sent one."""
    return Configuration(NO_VERSION, (), {}, (), IngressLimits())


def pick_target(route: Route, draw: float) -> ServiceName:
    """Choose the service of one request at random, by the targets' weights.

    Args:
        route: Route of the request.
        draw: Random number, uniformly distributed from 0 up to but excluding 1.
    """
    total = sum(target.weight for target in route.targets)
    remaining = draw * total
    for target in route.targets:
        remaining -= target.weight
        if remaining < 0:
            return target.service
    return next(t.service for t in reversed(route.targets) if t.weight > 0)
