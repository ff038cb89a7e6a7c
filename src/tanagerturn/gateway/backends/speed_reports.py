"""Shares with peer gateways the lasting speeds of backend servers, in digests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.backends.speeds import speed_key
from tanagerturn.serving.backends.messages import BackendId

if TYPE_CHECKING:
    from tanagerturn.gateway.fleet import Fleet
    from tanagerturn.schema import gateway_pb2 as gpb

MAX_SPEEDS: Final = 8
"""Maximum number of speeds in one digest; each takes about 11 bytes."""

MIN_NEW_SAMPLES: Final = 10
"""Number of further measurements after which a speed is sent again."""

MIN_FIRST_SAMPLES: Final = 3
"""Number of measurements after which a speed is sent for the first time."""

LOG_SCALE: Final = 1000
"""Steps per unit of the logarithm of a factor in digests."""

KEYS_INTERVAL_S: Final = 1.0
"""Minimum time in seconds between two computations of the keys of all backend servers,
which an unknown key causes."""


def add_speeds(fleet: Fleet, digest: gpb.Digest) -> None:
    """Add the lasting speeds that this gateway has measured to a digest.

    Those with most measurements since they were last sent come first.
    """
    due = []
    for speed in fleet.speeds.by_backend.values():
        new_samples = speed.samples - speed.sent_samples
        needed = MIN_NEW_SAMPLES if speed.sent_samples else MIN_FIRST_SAMPLES
        if new_samples >= needed:
            due.append((new_samples, speed.key, speed))
    due.sort(key=lambda each: each[:2], reverse=True)
    for _, key, speed in due[:MAX_SPEEDS]:
        speed.sent_samples = speed.samples
        digest.speed_backends.append(key)
        digest.speed_log_ratios.append(round(speed.log_ratio * LOG_SCALE))
        digest.speed_samples.append(min(speed.samples, 1000))


def apply_speeds(fleet: Fleet, digest: gpb.Digest, now_s: float) -> None:
    """Learn from the lasting speeds in the digest of a peer.

    A speed also states that its service reports speeds, of which a gateway with little
    traffic may not know.

    Args:
        fleet: State of the backend servers.
        digest: Digest of the peer; other starts of backend servers are ignored.
        now_s: Current boot-clock time in seconds.
    """
    for key, ratio, samples in zip(
        digest.speed_backends,
        digest.speed_log_ratios,
        digest.speed_samples,
        strict=False,
    ):
        backend = fleet.view.backends.get(_backend_id(fleet, key, now_s))
        if backend is None or speed_key(backend.id, backend.incarnation) != key:
            continue
        fleet.speeds.activate(backend)
        fleet.speeds.of(backend).on_peer(ratio / LOG_SCALE, samples)


def _backend_id(fleet: Fleet, key: int, now_s: float) -> BackendId:
    speeds = fleet.speeds
    if key not in speeds.id_by_key and now_s >= speeds.next_keys_s:
        speeds.next_keys_s = now_s + KEYS_INTERVAL_S
        speeds.id_by_key = {
            speed_key(backend.id, backend.incarnation): backend.id
            for backend in fleet.view.backends.values()
        }
    return speeds.id_by_key.get(key, BackendId(""))
