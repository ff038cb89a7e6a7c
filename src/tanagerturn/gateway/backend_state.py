"""What own requests and other gateways tell of one backend server."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.serving.routing.pace import Pace

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.gateway.messages import PromptPart, PromptPartId

WORK_AGE_S: Final = 3.0
"""Digests older than this say nothing about the work of their sender."""


@dataclass(frozen=True)
class Work:
    """Work at one backend server."""

    running: int = 0
    """Requests in flight."""
    prompt_tokens: int = 0
    """Prompt tokens sent and not known to be read yet."""
    kv_tokens: int = 0
    """Tokens of memory that the requests in flight are expected to take."""


NO_WORK: Final = Work()


@dataclass
class Sent:
    """One own request in flight."""

    sent_s: float
    prompt_tokens: int
    """Prompt tokens that the engine has to read for it."""
    kv_tokens: int
    expected_s: float = 0.0
    """Time to its first event that was expected at pace 1."""
    is_read: bool = False
    """Its first event has come."""


@dataclass
class BackendState:
    """What own requests and other gateways tell of one backend server."""

    sent: dict[str, Sent] = field(default_factory=dict)
    """Own requests in flight by attempt id."""
    others: dict[str, tuple[Work, float]] = field(default_factory=dict)
    """Work of other gateways, and when their digest came."""
    unreached: int = 0
    """Failures to reach it in a row."""
    blocked_until_s: float = 0.0
    """It gets no requests before this time."""
    parts: OrderedDict[int, int] = field(default_factory=OrderedDict)
    """Prompt parts that it was sent, by hash, with their tokens; the last used at
    the end."""
    parts_tokens: int = 0
    """Tokens of all these parts."""
    used_s: float = -1e9
    """When it last answered an own request."""
    pace: Pace = field(default_factory=Pace)
    """Observed over expected time to the first event."""

    def own_work(self) -> Work:
        """Return the work of own requests."""
        running = len(self.sent)
        if not running:
            return NO_WORK
        prompt = sum(s.prompt_tokens for s in self.sent.values() if not s.is_read)
        return Work(running, prompt, sum(s.kv_tokens for s in self.sent.values()))

    def work(self, now_s: float) -> Work:
        """Return the work of all gateways."""
        own = self.own_work()
        running, prompt, kv = own.running, own.prompt_tokens, own.kv_tokens
        for work, at_s in self.others.values():
            if now_s - at_s < WORK_AGE_S:
                running += work.running
                prompt += work.prompt_tokens
                kv += work.kv_tokens
        return Work(running, prompt, kv)

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the leading prompt tokens that it is expected to hold."""
        held = 0
        for part in parts:
            if part_hash(part.id) not in self.parts:
                break
            held += part.tokens
        return held

    def note_part(self, part: int, tokens: int, room_tokens: int) -> bool:
        """Note that it was sent a prompt part; the least recently used yield.

        Returns:
            Whether it is not known to have held the part.
        """
        is_new = part not in self.parts
        if is_new:
            self.parts_tokens += tokens
        self.parts[part] = tokens
        self.parts.move_to_end(part)
        while self.parts_tokens > room_tokens and self.parts:
            _, dropped = self.parts.popitem(last=False)
            self.parts_tokens -= dropped
        return is_new


def part_hash(part_id: PromptPartId) -> int:
    """Return the number that stands for a prompt part in digests."""
    return xxhash.xxh32_intdigest(part_id.encode())
