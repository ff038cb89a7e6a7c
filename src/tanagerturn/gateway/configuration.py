"""The configuration in force: routes, services, client accounts and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final, NewType

if TYPE_CHECKING:
    from collections.abc import Mapping

ConfigurationVersion = NewType("ConfigurationVersion", int)
"""Number of a configuration; the highest one is in force."""

ServiceName = NewType("ServiceName", str)
"""Name of a service, as backend servers announce it."""

AccountName = NewType("AccountName", str)
"""Name of a client account."""

NO_VERSION: Final = ConfigurationVersion(0)


class RequestKind(Enum):
    """What a route allows after a failure."""

    IDEMPOTENT = "idempotent"
    NOT_REPEATABLE = "not repeatable"
    STREAM = "stream"


@dataclass(frozen=True)
class Target:
    """One service of a route and its part of the route's requests."""

    service: ServiceName
    """Service that gets the requests."""
    weight: float
    """Part, relative to the weights of the route's other targets."""


@dataclass(frozen=True)
class Route:
    """Where requests of one host name and path prefix go."""

    name: str
    """Name given by the operator."""
    host: str
    """Host name in lower case, without a port."""
    path_prefix: str
    """Begin of the path; starts and ends with a slash."""
    kind: RequestKind
    """What may be repeated."""
    resumable: bool
    """A stream may go on at another backend server after its last event."""
    timeout_s: float
    """Longest time that a caller is kept waiting."""
    objective_s: float
    """Time to the answer, of a stream to its first event, that callers want."""
    pause_objective_s: float
    """Longest pause between events that callers want; 0 for none."""
    priority: int
    """Rank, 0 is the most urgent."""
    most_backends: int
    """Backend servers that one request may be sent to."""
    is_anonymous: bool
    """Requests need no key."""
    targets: tuple[Target, ...]
    """Services that get the requests; at least one weight is above 0."""


@dataclass(frozen=True)
class EngineTraits:
    """What the operator tells of the engines of a service."""

    kv_tokens: int
    """Tokens of memory of one engine."""
    kv_token_bytes: float
    """Bytes of one token in memory."""
    can_move: bool
    """Engines move running requests to each other."""
    can_back_up: bool
    """Engines copy running requests to each other as they grow."""


@dataclass(frozen=True)
class Scaling:
    """Bounds within which backend servers of a service may be ordered."""

    least: int
    """Backend servers in each availability zone at least."""
    most: int
    """Backend servers in each availability zone at most."""
    boot_s: float
    """Time from an order to the first request."""
    reclaimable_price: float
    """Price of a reclaimable backend server as a part of the usual price; 0 when
    there are none."""
    zone_prices: Mapping[str, float]
    """Price of a backend server by availability zone."""


@dataclass(frozen=True)
class Service:
    """One service."""

    name: ServiceName
    """Its name."""
    health_path: str
    """Path of its health check."""
    most_connections: int
    """Connections that one backend server takes from all gateways."""
    slots: int = 0
    """Requests that one backend server runs at once; 0 when not told."""
    engine: EngineTraits | None = None
    """Set when its backend servers are model engines."""
    scaling: Scaling | None = None
    """Set when its backend servers may be ordered."""


@dataclass(frozen=True)
class Account:
    """One client account."""

    name: AccountName
    """Its name."""
    keys: frozenset[str]
    """Keys that its callers send."""
    priority: int | None
    """Rank that replaces the route's; None keeps the route's."""
    counts_tokens: bool
    """Limits count tokens, not requests."""
    plain_cost: float
    """Units of a request that tells no token counts."""
    rate_per_s: float
    """Units a second over all gateways; 0 for no limit."""
    burst: float
    """Units beyond the rate that may be used at once."""


@dataclass(frozen=True)
class IngressLimits:
    """What callers may send, and how long they may take."""

    header_bytes: int = 16_384
    """Size of a request's head."""
    body_bytes: int = 4_194_304
    """Size of a request's body."""
    header_timeout_s: float = 3.0
    """Time from the first byte of a head to its last."""
    idle_timeout_s: float = 15.0
    """Time that a connection may be kept without a request."""


@dataclass(frozen=True)
class Configuration:
    """One accepted configuration."""

    version: ConfigurationVersion
    """Its number."""
    routes: tuple[Route, ...]
    """Routes, in the operator's order."""
    services: Mapping[ServiceName, Service]
    """Services by name."""
    accounts: tuple[Account, ...]
    """Client accounts; empty when callers need no key."""
    limits: IngressLimits
    """Limits of callers."""
    document: bytes = b""
    """The operator's document, as sent."""
    routes_by_host: dict[str, list[Route]] = field(init=False, repr=False)
    accounts_by_key: dict[str, Account] = field(init=False, repr=False)

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
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def account_for(self, key: str) -> Account | None:
        """Return the client account that holds a key."""
        return self.accounts_by_key.get(key)


def empty_configuration() -> Configuration:
    """Return what is in force before an operator has sent a configuration."""
    return Configuration(NO_VERSION, (), {}, (), IngressLimits())


def pick_target(route: Route, draw: float) -> ServiceName:
    """Return the service of one request.

    Args:
        route: Route of the request.
        draw: A number from 0 up to 1, evenly distributed.
    """
    total = sum(target.weight for target in route.targets)
    left = draw * total
    for target in route.targets:
        left -= target.weight
        if left < 0:
            return target.service
    return next(t.service for t in reversed(route.targets) if t.weight > 0)
