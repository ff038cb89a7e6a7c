"""Engines of several software versions behind gateways, and streams taken up again."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from support.engine_fleet import (
    FIELDS,
    EngineFleet,
    FleetEngine,
)
from support.gateway_world import KEY, CallerResponse, route
from tanagerturn.clocks import boot_s

if TYPE_CHECKING:
    from collections.abc import Sequence

EVENT_COUNT: Final = 100
"""Events of each stream, which takes 3 s."""

EVENT: Final = re.compile(rb"id: (\d+)\ndata: word\d+@(\S+)\n\n")

TAKE_UP_PAUSE_S: Final = 0.3
"""Time in seconds after which a caller takes a broken stream up again, and between two
of its attempts to do so."""

MAX_TAKE_UPS: Final = 8


class VersionEngine(FleetEngine):
    """Engine whose events name its software version."""

    def event_text(self, number: int) -> str:
        """Return the data of an event."""
        return f"word{number}@{self.software_version}"


class ReplacedEngine(VersionEngine):
    """Engine that comes back under the same id at the same address."""

    @property
    def id(self) -> str:
        """Id of all boots."""
        return f"i-{self.number}"


@dataclass
class TakenStream:
    """A stream of a caller, over all attempts."""

    begun_s: float
    """Boot-clock time in seconds at which it was requested."""
    events: list[tuple[int, str]] = field(default_factory=list)
    """Id and version of each event."""
    answers: list[CallerResponse] = field(default_factory=list)
    """Responses to all attempts."""
    took_s: list[float] = field(default_factory=list)
    """Time in seconds of each attempt."""
    is_whole: bool = False

    @property
    def versions(self) -> set[str]:
        """Versions of the engines that wrote its events."""
        return {version for _, version in self.events}

    @property
    def was_taken_up(self) -> bool:
        """Whether the caller had events and had to ask again."""
        return len(self.answers) > 1 and bool(self.answers[0].body)

    @property
    def went_on(self) -> bool:
        """Whether a later attempt brought events."""
        return any(answer.body and answer.status == 200 for answer in self.answers[1:])


class VersionFleet(EngineFleet):
    """Gateways, and engines of several software versions.

    Args:
        gateways: Number of gateways, three of them with a disk.
        versions: Version of each engine.
        seed: Seed of all random choices.
        engine_type: Class of the engines.
    """

    def __init__(
        self,
        gateways: int,
        versions: Sequence[str],
        seed: int,
        engine_type: type[VersionEngine] = VersionEngine,
    ) -> None:
        self.engine_type = engine_type
        super().__init__(gateways, len(versions), seed)
        for engine, version in zip(self.engines, versions, strict=True):
            engine.software_version = version
        self.event_count = EVENT_COUNT
        self.deadline_ms = 14_000
        fields = {"slo_ms": 1000, "gap_slo_ms": 800, "timeout_ms": 15_000}
        self.fields = {
            **FIELDS,
            "routes": [
                route(
                    "/notes/",
                    "streaming",
                    max_attempts=3,
                    stream_resume=True,
                    **fields,
                )
            ],
        }
        self.streams: list[TakenStream] = []

    def make_engine(self, number: int) -> FleetEngine:
        """Return an engine that has not started yet."""
        return self.engine_type(self, number)

    async def stream(self, host: str = "", take_up_host: str = "") -> TakenStream:
        """Request a stream, and take it up again until it is whole.

        Args:
            host: Gateway of the first attempt; a random one if empty.
            take_up_host: Gateway of the others; random ones if empty.
        """
        self.request_count += 1
        number = self.request_count
        # Without shared parts, streams are spread evenly over the engines.
        prefix = f"{number:08x}:900"
        stream = TakenStream(boot_s())
        self.streams.append(stream)
        headers, first = "", ""
        while not stream.is_whole and len(stream.answers) <= MAX_TAKE_UPS:
            if stream.answers:
                await asyncio.sleep(TAKE_UP_PAUSE_S)
            chosen = take_up_host if stream.answers else host
            sent_s = boot_s()
            try:
                chosen = chosen or self.random.choice(list(self.cluster.gateways))
                first = first or f"r{self.attempt_count + 1}"
                answer = await self.request(
                    chosen, f"POST /notes/{number}", KEY, prefix, b"", headers
                )
            except (ConnectionError, KeyError, IndexError):
                answer = CallerResponse(0, {}, b"", False)
            stream.answers.append(answer)
            stream.took_s.append(boot_s() - sent_s)
            if answer.status != 200:
                first = first if stream.events else ""
                continue
            stream.events += [
                (int(number), version.decode())
                for number, version in EVENT.findall(answer.body)
            ]
            stream.is_whole = answer.is_whole
            if stream.events:
                last_id = stream.events[-1][0]
                headers = f"Last-Event-Id: {last_id}\r\nResumes: {first}\r\n"
            else:
                first = ""
        return stream

    def begin(self, count: int, host: str = "", take_up_host: str = "") -> None:
        """Begin streams at the same time, which run until they are whole."""
        for _ in range(count):
            self.add_task(self.stream(host, take_up_host))

    async def finish(self, timeout_s: float) -> None:
        """Wait until all streams are whole or given up."""
        async with asyncio.timeout(timeout_s):
            while any(
                not s.is_whole and len(s.answers) <= MAX_TAKE_UPS for s in self.streams
            ):
                await asyncio.sleep(0.1)

    def mixed(self) -> list[TakenStream]:
        """Return the streams with events of several versions."""
        return [stream for stream in self.streams if len(stream.versions) > 1]
