"""Configuration of a stand-in engine."""

from __future__ import annotations

from dataclasses import dataclass, field

from tanagerturn.schema.serving_pb2 import BackendRole
from tanagerturn.standins.faults import FaultPlan


@dataclass(frozen=True)
class EngineConfig:
    """What a stand-in engine is and how fast it works."""

    id: str = "engine"
    """Name of the backend server."""
    ip: str = "127.0.0.1"
    """IP number to listen on."""
    port: int = 0
    """Port to listen on; 0 takes a free one."""
    announce_to: tuple[str, ...] = ()
    """Announcement listeners of entry hosts."""
    announce_key: str = ""
    """Bearer key of announcements; empty for none."""
    heartbeat_ms: int = 1000
    """Longest time between two announcements."""
    availability_zone: str = "a"
    """Availability zone of the host."""
    host_class: str = "standard"
    """Class of the host."""
    price_per_hour: float = 1.0
    """Price of the host."""
    reclaimable: bool = True
    """Whether the platform may take the host back."""
    services: tuple[str, ...] = ("drafting",)
    """Services that the engine serves."""
    model: str = "draft"
    """Model loaded at the start."""
    version: str = "1"
    """Version loaded at the start."""
    role: BackendRole.ValueType = BackendRole.BOTH
    """Part of the work that the engine takes."""
    slots: int = 32
    """Requests that are batched at once."""
    queue_limit: int = 256
    """Requests that may wait; more are answered 503."""
    kv_tokens: int = 65536
    """Tokens of KV cache, for running requests and cached prefixes."""
    kv_bytes_per_token: int = 16
    """Bytes of exported KV cache for a token."""
    step_ms: float = 15.0
    """Time of one step without any sequence."""
    sequence_step_ms: float = 0.3
    """Time that each decoding sequence adds to a step."""
    prefill_tokens_per_s: float = 8000.0
    """Rate at which prompts are computed."""
    prefill_chunk_tokens: int = 1024
    """Prompt tokens computed in one step at most."""
    load_lag_ms: float = 500.0
    """Time between two readings of the load."""
    load_stuck: bool = False
    """Reports no load, whatever runs."""
    cache_event_delay_ms: float = 200.0
    """Time until a cache event is announced."""
    cache_event_loss: float = 0.0
    """Share of cache events that are never announced."""
    cache_events_kept: int = 1024
    """Cache events that can be announced again."""
    load_model_ms: float = 200.0
    """Time to load a model after its weights arrived."""
    weight_store_url: str = ""
    """Weight store that models are fetched from; empty for none."""
    checks_fencing: bool = True
    """Refuses orders with a stale fencing number."""
    faults: FaultPlan = field(default_factory=FaultPlan)
    """Faults committed on requests."""
    seed: int = 0
    """Seed of lost cache events."""
