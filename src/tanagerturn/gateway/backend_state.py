"""Requests in flight, cached prompt parts and failures of one backend server."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.serving.routing.pace import Pace

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.gateway.messages import PromptPart, PromptPartId

PEER_WORK_MAX_AGE_S: Final = 3.0
"""Age in seconds from which the outstanding work in a peer's digest is ignored."""


@dataclass(frozen=True)
class Work:
    """Outstanding work at one backend server."""

    running: int = 0
    """Requests in flight."""
    prompt_tokens: int = 0
    """Prompt tokens that were sent and are not known to have been read."""
    kv_tokens: int = 0
    """KV cache tokens that the requests in flight are expected to take."""


NO_WORK: Final = Work()


@dataclass
class InFlightRequest:
    """One request of this gateway that a backend server has not finished."""

    sent_at_s: float
    """Boot-clock time of its forwarding in seconds."""
    prompt_tokens: int
    """Prompt tokens that the engine has to read: those not expected in its cache."""
    kv_tokens: int
    """KV cache tokens that it is expected to take."""
    expected_s: float = 0.0
    """Expected time to its first event in seconds, at pace 1; 0 if unknown."""
    first_event_received: bool = False
    """Its first event was received, so its prompt has been read."""


@dataclass
class BackendState:
    """What this gateway and its peers observed at one backend server."""

    in_flight: dict[str, InFlightRequest] = field(default_factory=dict)
    """Requests of this gateway by attempt id."""
    peer_work: dict[str, tuple[Work, float]] = field(default_factory=dict)
    """Outstanding work by peer gateway, and the boot-clock time of its digest."""
    consecutive_unreachable: int = 0
    """Consecutive attempts at which the backend server was unreachable."""
    blocked_until_s: float = 0.0
    """Boot-clock time in seconds until which it gets no requests."""
    cached_parts: OrderedDict[int, int] = field(default_factory=OrderedDict)
    """Tokens of the prompt parts in its KV cache by part hash, as expected from what
    was sent; the most recently used is last."""
    cached_part_tokens: int = 0
    """Tokens of all cached parts together."""
    last_success_s: float = -1e9
    """Boot-clock time of its last successful answer to this gateway, in seconds."""
    pace: Pace = field(default_factory=Pace)
    """Ratio of observed to expected time to the first event."""

    def local_work(self) -> Work:
        """Return the outstanding work of this gateway."""
        running = len(self.in_flight)
        if not running:
            return NO_WORK
        prompt = sum(
            request.prompt_tokens
            for request in self.in_flight.values()
            if not request.first_event_received
        )
        return Work(
            running,
            prompt,
            sum(request.kv_tokens for request in self.in_flight.values()),
        )

    def work(self, now_s: float) -> Work:
        """Return the outstanding work of all gateways."""
        own = self.local_work()
        running, prompt, kv = own.running, own.prompt_tokens, own.kv_tokens
        for work, at_s in self.peer_work.values():
            if now_s - at_s < PEER_WORK_MAX_AGE_S:
                running += work.running
                prompt += work.prompt_tokens
                kv += work.kv_tokens
        return Work(running, prompt, kv)

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt's longest prefix expected in the KV cache."""
        cached = 0
        for part in parts:
            if part_hash(part.id) not in self.cached_parts:
                break
            cached += part.tokens
        return cached

    def record_part(self, part: int, tokens: int, capacity_tokens: int) -> bool:
        """Record that the engine was sent a prompt part.

        The least recently used parts beyond the capacity are dropped.

        Args:
            part: Hash of the part's id.
            tokens: Size of the part.
            capacity_tokens: Tokens of prompt parts that its KV cache may hold.

        Returns:
            Whether the part was not expected in the KV cache before.
        """
        was_absent = part not in self.cached_parts
        if was_absent:
            self.cached_part_tokens += tokens
        self.cached_parts[part] = tokens
        self.cached_parts.move_to_end(part)
        while self.cached_part_tokens > capacity_tokens and self.cached_parts:
            _, evicted_tokens = self.cached_parts.popitem(last=False)
            self.cached_part_tokens -= evicted_tokens
        return was_absent


def part_hash(part_id: PromptPartId) -> int:
    """Return the hash that stands for a prompt part in digests."""
    return xxhash.xxh32_intdigest(part_id.encode())
