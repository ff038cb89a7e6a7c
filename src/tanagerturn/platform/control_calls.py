"""Translates calls of engines and operators, and calls to the platform's cloud."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final
from urllib.parse import unquote

import orjson

from tanagerturn.gateway.messages import (
    Announce,
    ControlCall,
    GetConfiguration,
    MalformedCall,
    PutConfiguration,
    Withdraw,
)
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.messages import BackendId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.gateway.messages import RawHeaders

INSTANCES: Final = "/v1/instances/"
CONFIG: Final = "/v1/config"

ROLES: Final = {
    "both": serving_pb2.BOTH,
    "prefill": serving_pb2.PREFILL,
    "decode": serving_pb2.DECODE,
}


def decode_control(
    method: str, target: str, body: bytes, heartbeat_ms: int, drain_ms: int
) -> ControlCall:
    """Decode a call at the listener for engines and operators.

    Args:
        method: HTTP method.
        target: Path and query.
        body: Whole body.
        heartbeat_ms: Time between two announcements of an engine.
        drain_ms: Time that a draining engine serves on, when it does not tell.
    """
    path = target.partition("?")[0]
    if path == CONFIG:
        if method == "PUT":
            return PutConfiguration(body)
        return GetConfiguration() if method == "GET" else MalformedCall(405, method)
    if not path.startswith(INSTANCES):
        return MalformedCall(404, path)
    backend_id = unquote(path.removeprefix(INSTANCES))
    if method == "PUT":
        return _announce(backend_id, body, heartbeat_ms, drain_ms)
    if method == "DELETE":
        return Withdraw(BackendId(backend_id), _born_ms(body))
    return MalformedCall(405, method)


def _announce(
    backend_id: str, body: bytes, heartbeat_ms: int, drain_ms: int
) -> ControlCall:
    try:
        told = orjson.loads(body)
        return Announce(_announcement(backend_id, told, heartbeat_ms, drain_ms))
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        return MalformedCall(400, f"announcement of {backend_id}: {error!r}")


def _announcement(
    backend_id: str, told: dict[str, Any], heartbeat_ms: int, drain_ms: int
) -> serving_pb2.Announcement:
    state = told["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state {state!r}")
    service, address = told["service"], told["address"]
    if not isinstance(service, str) or not service or not isinstance(address, str):
        raise ValueError("service or address is no text")
    born_ms = _whole(told.get("born", 0))
    announcement = serving_pb2.Announcement(
        id=backend_id,
        address=address,
        # A start is told by its time; an id may start again.
        incarnation=f"b{born_ms}",
        sequence=_whole(told["sequence"]),
        services=[service],
        role=ROLES.get(told.get("stage", "both"), serving_pb2.BOTH),
        availability_zone=told["zone"],
        reclaimable=bool(told.get("spot")),
        leaving=state == "draining",
        slots=_whole(told["slots"]),
        heartbeat_ms=heartbeat_ms,
        born_ms=born_ms,
        warmup_left_ms=_whole(told.get("warmup_left_ms", 0)),
    )
    if announcement.leaving:
        announcement.leaving_in_ms = _whole(told.get("leaves_ms", drain_ms))
    for model in told.get("models") or ():
        announcement.models.add(
            model=model["name"],
            version=str(model.get("version", "")),
            adapters=[str(adapter) for adapter in model.get("adapters") or ()],
            ready=True,
        )
    return announcement


def _born_ms(body: bytes) -> int:
    if not body:
        return 0
    try:
        return _whole(orjson.loads(body).get("born", 0))
    except (orjson.JSONDecodeError, AttributeError, ValueError):
        # The withdrawal itself is in the path; only its start is not known.
        return 0


def _whole(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is no number")
    return max(0, int(value))


def encode_usage(window: int, counts: Mapping[str, int]) -> tuple[str, bytes]:
    """Return path and body of a usage report."""
    body = {"window_number": window, "counts": dict(counts)}
    return "/usage", orjson.dumps(body)


def encode_scale(
    service: str, zone: str, count: int, *, reclaimable: bool
) -> tuple[str, bytes]:
    """Return path and body of an order for engines."""
    body: dict[str, object] = {
        "service": service,
        "zone": zone,
        "desired_count": count,
    }
    if reclaimable:
        body["spot"] = True
    return "/scale", orjson.dumps(body)


def encode_duty(holder: str, fencing_number: int) -> RawHeaders:
    """Return the headers of a call that one machine at a time may make."""
    return [
        (b"X-Duty-Holder", holder.encode()),
        (b"X-Fencing-Token", str(fencing_number).encode()),
    ]
