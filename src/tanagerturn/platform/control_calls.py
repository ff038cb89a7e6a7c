"""Decodes calls of backend servers and operators, and encodes cloud API calls."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import unquote

import orjson

from tanagerturn.gateway.messages import (
    Announce,
    ControlCall,
    GetConfiguration,
    GetRollout,
    MalformedCall,
    PutConfiguration,
    StartRollout,
    Withdraw,
)
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.messages import BackendId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.gateway.messages import RawHeaders

INSTANCES_PREFIX: Final = "/v1/instances/"
CONFIG_PATH: Final = "/v1/config"
ROLLOUTS_PATH: Final = "/v1/rollouts"

MAX_DURATION_S: Final = 1e9
"""Longest duration of a rollout in seconds; a longer one is shortened to it."""

MAX_VERSION_LENGTH: Final = 256
"""Maximum number of characters of a version in an order: datagrams repeat it."""

BACKEND_ROLES: Final = {
    "both": serving_pb2.BOTH,
    "prefill": serving_pb2.PREFILL,
    "decode": serving_pb2.DECODE,
}


def decode_control(
    method: str,
    target: str,
    body: bytes,
    heartbeat_ms: int,
    drain_ms: int,
    *,
    has_rollouts: bool = False,
) -> ControlCall:
    """Decode a call at the listener for backend servers and operators.

    Args:
        method: HTTP method.
        target: Path and query.
        body: Whole body; empty if the call has none.
        heartbeat_ms: Time between two announcements of a backend server, in
            milliseconds.
        drain_ms: Time for which a draining backend server keeps serving, in
            milliseconds, if its announcement does not state one.
        has_rollouts: Whether operators may start rollouts.

    Returns:
        The call; a `MalformedCall` with the HTTP status of the response if path,
        method or body is not valid.
    """
    path = target.partition("?")[0]
    if path == CONFIG_PATH:
        if method == "PUT":
            return PutConfiguration(body)
        return (
            GetConfiguration()
            if method == "GET"
            else MalformedCall(405, f"{method} {path}: expected GET or PUT")
        )
    if has_rollouts and (path + "/").startswith(ROLLOUTS_PATH + "/"):
        return _decode_rollout_call(method, path, body)
    if not path.startswith(INSTANCES_PREFIX):
        return MalformedCall(404, f"unknown path {path}")
    backend_id = unquote(path.removeprefix(INSTANCES_PREFIX))
    if method == "PUT":
        return _decode_announce(backend_id, body, heartbeat_ms, drain_ms)
    if method == "DELETE":
        return Withdraw(BackendId(backend_id), _decode_born_ms(body))
    return MalformedCall(405, f"{method} {path}: expected PUT or DELETE")


def _decode_rollout_call(method: str, path: str, body: bytes) -> ControlCall:
    service = unquote(path.removeprefix(ROLLOUTS_PATH).removeprefix("/"))
    if not service:
        if method != "POST":
            return MalformedCall(405, f"{method} {path}: expected POST")
        try:
            return _decode_rollout(orjson.loads(body))
        except KeyError as error:
            return MalformedCall(400, f"rollout without {error}")
        except (orjson.JSONDecodeError, TypeError, ValueError) as error:
            return MalformedCall(400, f"invalid rollout: {error!r}")
    if method != "GET":
        return MalformedCall(405, f"{method} {path}: expected GET")
    return GetRollout(service)


def _decode_rollout(fields: object) -> StartRollout:
    if not isinstance(fields, dict):
        raise TypeError("expected an object")
    for name in ("service", "target"):
        value = fields[name]
        if not isinstance(value, str) or not value:
            raise ValueError(f"{name} is {value!r}, expected a name")
    if len(fields["target"]) > MAX_VERSION_LENGTH:
        raise ValueError(f"target has more than {MAX_VERSION_LENGTH} characters")
    duration_s = fields["duration_s"]
    if isinstance(duration_s, bool) or not isinstance(duration_s, int | float):
        raise ValueError(f"duration_s is {duration_s!r}, expected a number")
    duration_ms = math.ceil(min(duration_s, MAX_DURATION_S) * 1000)
    if duration_ms <= 0:
        raise ValueError(f"duration_s is {duration_s!r}, expected a positive number")
    return StartRollout(fields["service"], fields["target"], duration_ms)


def encode_rollout(state: str, target: str) -> bytes:
    """Return the body of the response to a request for a rollout.

    Args:
        state: State of the rollout.
        target: Software version that the service is moved to.
    """
    return orjson.dumps({"state": state, "target": target})


def _decode_announce(
    backend_id: str, body: bytes, heartbeat_ms: int, drain_ms: int
) -> ControlCall:
    try:
        fields = orjson.loads(body)
        return Announce(
            _decode_announcement(backend_id, fields, heartbeat_ms, drain_ms)
        )
    except KeyError as error:
        return MalformedCall(400, f"announcement of {backend_id} without {error}")
    except (orjson.JSONDecodeError, TypeError, ValueError, AttributeError) as error:
        return MalformedCall(400, f"invalid announcement of {backend_id}: {error!r}")


def _decode_announcement(
    backend_id: str, fields: dict[str, Any], heartbeat_ms: int, drain_ms: int
) -> serving_pb2.Announcement:
    state = fields["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"state is {state!r}, expected 'ready' or 'draining'")
    service, address = fields["service"], fields["address"]
    for name in ("service", "address", "zone", "version"):
        if not isinstance(fields[name], str):
            raise ValueError(f"{name} is {fields[name]!r}, expected a string")
    if not service:
        raise ValueError("service is empty")
    born_ms = _whole_number(fields["born"])
    announcement = serving_pb2.Announcement(
        id=backend_id,
        address=address,
        # An instance id can be reused after a restart; the start time tells the two
        # starts apart.
        incarnation=f"b{born_ms}",
        sequence=_non_negative_int(fields["sequence"]),
        services=[service],
        role=BACKEND_ROLES.get(fields.get("stage", "both"), serving_pb2.BOTH),
        availability_zone=fields["zone"],
        reclaimable=bool(fields.get("spot")),
        leaving=state == "draining",
        slots=_non_negative_int(fields["slots"]),
        heartbeat_ms=heartbeat_ms,
        born_ms=born_ms,
        warmup_left_ms=_non_negative_int(fields["warmup_left_ms"]),
        # The version of the engine's software; versions of models are in `models`.
        software_version=fields["version"],
    )
    if announcement.leaving:
        announcement.leaving_in_ms = _non_negative_int(
            fields.get("leaves_ms", drain_ms)
        )
    for model in fields.get("models") or ():
        announcement.models.add(
            model=model["name"],
            version=str(model.get("version", "")),
            adapters=[str(adapter) for adapter in model.get("adapters") or ()],
            ready=True,
        )
    return announcement


def _decode_born_ms(body: bytes) -> int:
    if not body:
        return 0
    try:
        return _non_negative_int(orjson.loads(body).get("born", 0))
    except (orjson.JSONDecodeError, AttributeError, ValueError):
        # The path names the instance to withdraw, so the call is still valid; only
        # the start time is unknown.
        return 0


def _non_negative_int(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, found {value!r}")
    return max(0, int(value))


def _whole_number(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"expected a whole number, found {value!r}")
    return max(0, value)


def encode_usage(window: int, counts: Mapping[str, int]) -> tuple[str, bytes]:
    """Return path and body of a usage report to the cloud API.

    Args:
        window: Number of the reporting window.
        counts: Client account to its number of requests in the window.
    """
    body = {"window_number": window, "counts": dict(counts)}
    return "/usage", orjson.dumps(body)


def encode_scale(
    service: str, zone: str, count: int, *, reclaimable: bool
) -> tuple[str, bytes]:
    """Return path and body of a call that sets the number of backend servers.

    Args:
        service: Service whose backend servers are counted.
        zone: Availability zone in which the backend servers run.
        count: Wanted number of backend servers.
        reclaimable: Whether `count` applies to reclaimable backend servers, not to
            on-demand backend servers.
    """
    body: dict[str, object] = {
        "service": service,
        "zone": zone,
        "desired_count": count,
    }
    if reclaimable:
        body["spot"] = True
    return "/scale", orjson.dumps(body)


def encode_duty(holder: str, fencing_number: int) -> RawHeaders:
    """Return the headers that name the lease holder in a cloud API call.

    Only the holder of the duties lease may make calls with these headers.

    Args:
        holder: Host name of the gateway that holds the lease.
        fencing_number: Fencing number of the lease.
    """
    return [
        (b"X-Duty-Holder", holder.encode()),
        (b"X-Fencing-Token", str(fencing_number).encode()),
    ]
