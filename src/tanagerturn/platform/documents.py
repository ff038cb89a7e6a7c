"""Decodes the platform's manifest into a configuration."""

from __future__ import annotations

from typing import Any, Final

import orjson
from expression import Error, Ok, Result

from tanagerturn.coordination.errors import RefusedError, StepError
from tanagerturn.gateway.configuration import (
    Account,
    AccountName,
    Configuration,
    ConfigurationVersion,
    EngineTraits,
    IngressLimits,
    RequestKind,
    Route,
    Scaling,
    Service,
    ServiceName,
    Target,
)

STEP: Final = "decode manifest"

KINDS: Final = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NOT_REPEATABLE,
    "streaming": RequestKind.STREAM,
}

MS_PER_S: Final = 1000.0


def decode_document(document: bytes) -> Result[Configuration, StepError]:
    """Check a manifest and decode it."""
    try:
        manifest = orjson.loads(document)
        return Ok(_decode(manifest, document))
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        # A missing or mistyped field shows as one of these.
        return Error(RefusedError(STEP, "", f"{type(error).__name__}: {error}"))


def _decode(manifest: dict[str, Any], document: bytes) -> Configuration:
    version = manifest["version"]
    if not isinstance(version, int) or isinstance(version, bool) or version < 1:
        raise ValueError("version must be a whole number above 0")
    services = [_service(each) for each in manifest["services"]]
    names = {service.name for service in services}
    routes = tuple(_route(each, names) for each in manifest["routes"])
    places = {(route.host, route.path_prefix) for route in routes}
    if len(places) != len(routes):
        raise ValueError("two routes share host and path_prefix")
    accounts = tuple(_account(each) for each in manifest.get("tenants") or ())
    keys = [key for account in accounts for key in account.keys]
    if len(set(keys)) != len(keys):
        raise ValueError("two tenants share a key")
    return Configuration(
        ConfigurationVersion(version),
        routes,
        {service.name: service for service in services},
        accounts,
        _limits(manifest.get("limits") or {}),
        document,
    )


def _route(route: dict[str, Any], services: set[ServiceName]) -> Route:
    prefix = route["path_prefix"]
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"path_prefix {prefix!r} needs a slash at both ends")
    timeout_ms = float(route["timeout_ms"])
    if timeout_ms <= 0:
        raise ValueError(f"timeout_ms of {route['name']} is not above 0")
    return Route(
        name=str(route["name"]),
        host=route["host"].lower(),
        path_prefix=prefix,
        kind=KINDS[route["route_type"]],
        resumable=bool(route.get("stream_resume")),
        timeout_s=timeout_ms / MS_PER_S,
        objective_s=float(route.get("slo_ms") or timeout_ms) / MS_PER_S,
        pause_objective_s=float(route.get("gap_slo_ms") or 0) / MS_PER_S,
        priority=int(route.get("priority") or 0),
        # "attempts" are backend servers of one client attempt, the first included.
        most_backends=max(1, int(route.get("max_attempts") or 1)),
        is_anonymous=bool(route.get("anonymous")),
        targets=_targets(route, services),
    )


def _targets(route: dict[str, Any], services: set[ServiceName]) -> tuple[Target, ...]:
    # "backends" are services here, not backend servers.
    split = route.get("backends")
    if split:
        targets = [Target(ServiceName(t["service"]), float(t["weight"])) for t in split]
    else:
        targets = [Target(ServiceName(route["service"]), 1.0)]
    unknown = [t.service for t in targets if t.service not in services]
    if unknown:
        raise ValueError(f"unknown service {unknown[0]!r}")
    if any(t.weight < 0 for t in targets) or sum(t.weight for t in targets) <= 0:
        raise ValueError(f"weights of {route['name']} add up to 0")
    return tuple(targets)


def _service(service: dict[str, Any]) -> Service:
    engine = service.get("engine")
    scaling = service.get("scaling")
    return Service(
        name=ServiceName(service["name"]),
        health_path=str(service.get("health_path") or ""),
        most_connections=int(service.get("max_connections") or 0),
        slots=int(engine.get("slots") or 0) if engine else 0,
        engine=_engine(engine) if engine else None,
        scaling=_scaling(scaling) if scaling else None,
    )


def _engine(engine: dict[str, Any]) -> EngineTraits:
    return EngineTraits(
        kv_tokens=int(engine.get("kv_capacity_tokens") or 0),
        kv_token_bytes=float(engine.get("kv_bytes") or 0),
        can_move=bool(engine.get("moves")),
        can_back_up=bool(engine.get("backups")),
    )


def _scaling(scaling: dict[str, Any]) -> Scaling:
    return Scaling(
        # Both bounds hold for each zone.
        least=int(scaling.get("min") or 0),
        most=int(scaling.get("max") or 0),
        boot_s=float(scaling.get("boot_s") or 0),
        # A share of the usual price, not a price.
        reclaimable_price=float(scaling.get("spot_price") or 0),
        zone_prices={
            zone: float(price)
            for zone, price in (scaling.get("zone_prices") or {}).items()
        },
    )


def _account(tenant: dict[str, Any]) -> Account:
    priority = tenant.get("priority")
    return Account(
        name=AccountName(str(tenant["name"])),
        keys=frozenset(tenant["api_keys"]),
        priority=None if priority is None else int(priority),
        counts_tokens=tenant.get("unit") == "token_count",
        plain_cost=float(tenant.get("plain_tokens") or 1),
        rate_per_s=float(tenant.get("rate_per_s") or 0),
        burst=float(tenant.get("burst") or 0),
    )


def _limits(limits: dict[str, Any]) -> IngressLimits:
    usual = IngressLimits()
    return IngressLimits(
        header_bytes=int(limits.get("max_header_bytes") or usual.header_bytes),
        body_bytes=int(limits.get("max_body_bytes") or usual.body_bytes),
        header_timeout_s=_seconds(limits, "header_timeout_ms", usual.header_timeout_s),
        idle_timeout_s=_seconds(limits, "idle_timeout_ms", usual.idle_timeout_s),
    )


def _seconds(fields: dict[str, Any], name: str, usual_s: float) -> float:
    value = fields.get(name)
    return float(value) / MS_PER_S if value else usual_s
