"""Valid announcements for tests."""

from __future__ import annotations

from typing import Any

import xxhash

from tanagerturn.schema import serving_pb2


def announcement(name: str, **changes: Any) -> serving_pb2.Announcement:
    """Return an announcement of an engine.

    Args:
        name: Id of the engine; the part before the first `-` is its availability zone.
        **changes: Fields that replace the defaults.
    """
    number = xxhash.xxh3_64_intdigest(name.encode())
    fields: dict[str, Any] = {
        "id": name,
        "address": f"127.0.{number % 251}.{number % 241}:{1024 + number % 60000}",
        "incarnation": "first",
        "sequence": 1,
        "services": ["draft"],
        "models": [
            serving_pb2.LoadedModel(model="m", version="1", adapters=["x"], ready=True)
        ],
        "role": serving_pb2.BOTH,
        "availability_zone": name.split("-")[0],
        "host_class": "gpu",
        "reclaimable": True,
        "price_per_hour": 1.0,
        "load": serving_pb2.LoadReport(read_at_ms=1),
        "slots": 8,
        "kv_tokens": 100_000,
        "heartbeat_ms": 1_000,
    }
    return serving_pb2.Announcement(**{**fields, **changes})
