"""Validates the platform's manifest and decodes it into a configuration."""

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

REQUEST_KINDS: Final = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NOT_REPEATABLE,
    "streaming": RequestKind.STREAM,
}

MS_PER_S: Final = 1000.0


def decode_manifest(document: bytes) -> Result[Configuration, StepError]:
    """Validate a manifest and decode it into a configuration.

    Args:
        document: The manifest as a JSON document.

    Returns:
        The configuration; a `RefusedError` if the manifest is not valid.
    """
    try:
        manifest = orjson.loads(document)
        return Ok(_decode_configuration(manifest, document))
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        # A missing field or a value of a wrong type raises one of these errors too.
        return Error(RefusedError(STEP, "", f"{type(error).__name__}: {error}"))


def _decode_configuration(manifest: dict[str, Any], document: bytes) -> Configuration:
    version = manifest["version"]
    if not isinstance(version, int) or isinstance(version, bool) or version < 1:
        raise ValueError(f"version is {version!r}, expected an integer of at least 1")
    services = [_decode_service(each) for each in manifest["services"]]
    service_names = {service.name for service in services}
    routes = tuple(_decode_route(each, service_names) for each in manifest["routes"])
    host_prefixes = {(route.host, route.path_prefix) for route in routes}
    if len(host_prefixes) != len(routes):
        raise ValueError(
            f"{len(routes)} routes have {len(host_prefixes)} different pairs of host "
            "and path_prefix, expected a different pair for each route"
        )
    accounts = tuple(_decode_account(each) for each in manifest.get("tenants") or ())
    keys = [key for account in accounts for key in account.keys]
    if len(set(keys)) != len(keys):
        raise ValueError(
            f"tenants list {len(keys)} API keys, {len(set(keys))} of them different, "
            "expected each API key once"
        )
    return Configuration(
        ConfigurationVersion(version),
        routes,
        {service.name: service for service in services},
        accounts,
        _decode_limits(manifest.get("limits") or {}),
        document,
    )


def _decode_route(route: dict[str, Any], services: set[ServiceName]) -> Route:
    prefix = route["path_prefix"]
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(
            f"path_prefix is {prefix!r}, expected one that starts and ends with /"
        )
    timeout_ms = float(route["timeout_ms"])
    if timeout_ms <= 0:
        raise ValueError(
            f"timeout_ms of route {route['name']} is {timeout_ms:g}, expected above 0"
        )
    return Route(
        name=str(route["name"]),
        host=route["host"].lower(),
        path_prefix=prefix,
        kind=REQUEST_KINDS[route["route_type"]],
        is_resumable=bool(route.get("stream_resume")),
        timeout_s=timeout_ms / MS_PER_S,
        latency_objective_s=float(route.get("slo_ms") or timeout_ms) / MS_PER_S,
        pause_objective_s=float(route.get("gap_slo_ms") or 0) / MS_PER_S,
        priority=int(route.get("priority") or 0),
        # max_attempts counts the backend servers to which one request of a caller
        # may be sent, the first included.
        max_backends=max(1, int(route.get("max_attempts") or 1)),
        is_anonymous=bool(route.get("anonymous")),
        targets=_decode_targets(route, services),
    )


def _decode_targets(
    route: dict[str, Any], services: set[ServiceName]
) -> tuple[Target, ...]:
    # The manifest's "backends" are services with weights, not backend servers.
    weighted_services = route.get("backends")
    if weighted_services:
        targets = [
            Target(ServiceName(t["service"]), float(t["weight"]))
            for t in weighted_services
        ]
    else:
        targets = [Target(ServiceName(route["service"]), 1.0)]
    unknown = [t.service for t in targets if t.service not in services]
    if unknown:
        raise ValueError(
            f"route {route['name']} names service {unknown[0]!r}, which the manifest "
            "does not define"
        )
    if any(t.weight < 0 for t in targets) or sum(t.weight for t in targets) <= 0:
        raise ValueError(
            f"weights of route {route['name']} are {[t.weight for t in targets]}, "
            "expected none below 0 and at least one above 0"
        )
    return tuple(targets)


def _decode_service(service: dict[str, Any]) -> Service:
    engine = service.get("engine")
    scaling = service.get("scaling")
    return Service(
        name=ServiceName(service["name"]),
        health_path=str(service.get("health_path") or ""),
        max_connections=int(service.get("max_connections") or 0),
        slots=int(engine.get("slots") or 0) if engine else 0,
        engine=_decode_engine(engine) if engine else None,
        scaling=_decode_scaling(scaling) if scaling else None,
    )


def _decode_engine(engine: dict[str, Any]) -> EngineTraits:
    return EngineTraits(
        kv_tokens=int(engine.get("kv_capacity_tokens") or 0),
        kv_token_bytes=float(engine.get("kv_bytes") or 0),
        can_move=bool(engine.get("moves")),
        can_back_up=bool(engine.get("backups")),
    )


def _decode_scaling(scaling: dict[str, Any]) -> Scaling:
    return Scaling(
        # Both bounds apply to each availability zone separately.
        min_backends=int(scaling.get("min") or 0),
        max_backends=int(scaling.get("max") or 0),
        boot_s=float(scaling.get("boot_s") or 0),
        # spot_price is a fraction of the on-demand price, not an amount.
        reclaimable_price=float(scaling.get("spot_price") or 0),
        zone_prices={
            zone: float(price)
            for zone, price in (scaling.get("zone_prices") or {}).items()
        },
    )


def _decode_account(tenant: dict[str, Any]) -> Account:
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


def _decode_limits(limits: dict[str, Any]) -> IngressLimits:
    defaults = IngressLimits()
    return IngressLimits(
        header_bytes=int(limits.get("max_header_bytes") or defaults.header_bytes),
        body_bytes=int(limits.get("max_body_bytes") or defaults.body_bytes),
        header_timeout_s=_decode_seconds(
            limits, "header_timeout_ms", defaults.header_timeout_s
        ),
        idle_timeout_s=_decode_seconds(
            limits, "idle_timeout_ms", defaults.idle_timeout_s
        ),
    )


def _decode_seconds(fields: dict[str, Any], name: str, default_s: float) -> float:
    value = fields.get(name)
    return float(value) / MS_PER_S if value else default_s
