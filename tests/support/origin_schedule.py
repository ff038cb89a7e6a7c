"""Seeded schedules of versions, kills, restarts and streams that are taken up.

There is no network: gateways exchange messages within a step, and announcements of
engines arrive up to a heartbeat late.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.stream_origins import (
    apply_origins,
    encode_origins,
    encode_saved_origins,
)
from tanagerturn.gateway.warm_start import aged_origins, has_fresh_origins
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.backends.messages import SoftwareVersion
from tanagerturn.serving.streams.origins import (
    StreamOrigin,
    StreamOrigins,
    attempt_hash,
)

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE: Final = "desk"
STEP_S: Final = 0.25
STEPS: Final = 480
LIFE_S: Final = 20.0
"""Time in seconds for which streams may be taken up."""

GATEWAYS: Final = 5
DISKS: Final = 2
"""Number of gateways with a disk."""

HEARTBEAT_S: Final = 1.2
POWER_LOSS_S: Final = 1.0
"""Time in seconds before a loss of power whose saves may be lost."""

CLOCK_ERRORS_S: Final = (0.0, 0.0, 0.5, 6.0, -6.0)
"""Errors of a wall clock after a restart in seconds."""


@dataclass
class SimulatedGateway:
    """One gateway; without `origins` it is down."""

    has_disk: bool
    origins: StreamOrigins | None = None
    starts_s: float = 0.0
    """Time in seconds of its next start while it is down."""
    configured_s: float = 0.0
    """Time in seconds from which it knows how long streams live."""
    known_s: dict[SoftwareVersion, float] = field(default_factory=dict)
    """Time in seconds from which it knows the engines of a version."""
    saves: list[tuple[float, gpb.WarmStart]] = field(default_factory=list)


@dataclass
class Stream:
    """A stream that a gateway has begun."""

    attempt_id: str
    version: SoftwareVersion
    begun_s: float


class OriginSchedule:
    """Runs the schedule of one seed.

    Args:
        seed: Seed of all random choices.
        make_origins: Returns the origins of a gateway that starts at a time in seconds.
    """

    def __init__(
        self, seed: int, make_origins: Callable[[float], StreamOrigins] = StreamOrigins
    ) -> None:
        self.random = Random(seed)
        self.make_origins = make_origins
        self.now_s = 0.0
        self.version_count = 1
        self.versions = [SoftwareVersion("v1")]
        """Versions of which engines are alive, the oldest first."""
        self.next_release_s = LIFE_S + self.random.uniform(5, 15)
        self.next_kill_s = LIFE_S + self.random.uniform(5, 20)
        self.gateways = [SimulatedGateway(n < DISKS) for n in range(GATEWAYS)]
        self.streams: list[Stream] = []
        self.joined: list[str] = []
        """Streams that went on at another version."""
        self.went_on_count = 0
        self.refused_count = 0
        for gateway in self.gateways:
            self._start(gateway)

    def run(self) -> None:
        """Run all steps."""
        for _ in range(STEPS):
            self.now_s += STEP_S
            self._change_versions()
            self._kill_and_start()
            for gateway in self._running():
                self._tick(gateway)
            self._begin_streams()
            self._take_up_streams()

    def _running(self) -> list[SimulatedGateway]:
        return [g for g in self.gateways if g.origins is not None]

    def _change_versions(self) -> None:
        if self.now_s < self.next_release_s:
            return
        random = self.random
        self.next_release_s = self.now_s + random.choice((0.5, 4.0, 26.0, 30.0))
        if random.random() < 0.5:
            self.next_kill_s = self.now_s + random.uniform(0.5, 1.5)
        if len(self.versions) > 1 and random.random() < 0.6:
            # A release is finished, or taken back.
            version = self.versions.pop(0 if random.random() < 0.7 else -1)
            for gateway in self.gateways:
                gateway.known_s.pop(version, None)
            return
        self.version_count += 1
        version = SoftwareVersion(f"v{self.version_count}")
        self.versions.append(version)
        for gateway in self.gateways:
            # The first gateway that receives the announcement sends it to all.
            gateway.known_s[version] = self.now_s + random.uniform(0.0, 0.5)

    def _kill_and_start(self) -> None:
        random = self.random
        if self.now_s >= self.next_kill_s:
            self.next_kill_s = self.now_s + random.choice((3.0, 8.0, 20.0))
            running = self._running()
            if random.random() < 0.4:
                running = random.sample(running, min(1, len(running)))
                if random.random() < 0.5:
                    # A version joins while the gateway is down.
                    self.next_release_s = self.now_s + STEP_S
            for gateway in running:
                gateway.origins = None
                gateway.starts_s = self.now_s + random.uniform(0.5, 6.0)
                if random.random() < 0.5:
                    gateway.saves = [
                        save
                        for save in gateway.saves
                        if save[0] <= self.now_s - POWER_LOSS_S
                    ]
        for gateway in self.gateways:
            if gateway.origins is None and self.now_s >= gateway.starts_s:
                self._start(gateway)

    def _start(self, gateway: SimulatedGateway) -> None:
        now_s, random = self.now_s, self.random
        origins = gateway.origins = self.make_origins(now_s)
        wait_s = 0.0 if gateway.has_disk else random.uniform(0.0, 1.0)
        gateway.configured_s = now_s + wait_s
        gateway.known_s = {
            version: now_s + random.uniform(0.0, HEARTBEAT_S)
            for version in self.versions
        }
        if gateway.has_disk:
            origins.stream_life_s = LIFE_S
        if gateway.saves:
            wall_s = now_s + random.choice(CLOCK_ERRORS_S)
            saved, wall_ms = gateway.saves[-1][1], int(1000 * wall_s)
            restored = aged_origins(saved, wall_ms)
            if restored is not None:
                apply_origins(origins, restored, now_s)
                is_fresh = has_fresh_origins(saved, wall_ms)
                origins.on_restored(now_s, is_fresh=is_fresh)

    def _tick(self, gateway: SimulatedGateway) -> None:
        origins, now_s = gateway.origins, self.now_s
        assert origins is not None
        if now_s >= gateway.configured_s:
            origins.stream_life_s = LIFE_S
        for version in self._known(gateway):
            origins.on_seen(StreamOrigin(SERVICE, version), now_s)
        origins.expire(now_s)
        attempts = origins.take_unsent()
        if attempts:
            message = encode_origins(origins, attempts, now_s)
            for peer in self._running():
                if peer is not gateway and peer.origins is not None:
                    apply_origins(peer.origins, message, now_s)
        if gateway.has_disk and now_s % 1.0 == 0:
            saved = gpb.WarmStart(
                written_at_ms=int(1000 * now_s),
                stream_origins=encode_saved_origins(origins, now_s),
            )
            gateway.saves = [*gateway.saves[-2:], (now_s, saved)]

    def _known(self, gateway: SimulatedGateway) -> list[SoftwareVersion]:
        return [
            version
            for version in self.versions
            if self.now_s >= gateway.known_s.get(version, float("inf"))
        ]

    def _begin_streams(self) -> None:
        ready = [g for g in self._running() if self.now_s >= g.configured_s]
        for gateway in ready:
            known = self._known(gateway)
            if not known or self.random.random() < 0.5:
                continue
            origins = gateway.origins
            assert origins is not None
            settled = origins.settled_versions(SERVICE, self.now_s)
            choices = [v for v in known if v in settled] or known
            version = self.random.choice(choices)
            attempt_id = f"r{len(self.streams)}"
            self.streams.append(Stream(attempt_id, version, self.now_s))
            origins.on_began(
                attempt_id,
                StreamOrigin(SERVICE, version),
                self.now_s,
                has_other_services=False,
            )

    def _take_up_streams(self) -> None:
        ready = [g for g in self._running() if self.now_s >= g.configured_s]
        # Origins are sent to peers within 25 ms, before a caller can come back.
        recent = [
            stream
            for stream in self.streams[-300:]
            if 0.0 < self.now_s - stream.begun_s < LIFE_S
        ]
        # The newest streams are on fewer disks.
        chosen = recent[-8:] + self.random.sample(recent, min(4, len(recent)))
        for stream in chosen:
            if not ready:
                return
            gateway = self.random.choice(ready)
            is_named = self.random.random() < 0.8
            version = self._find(gateway, stream.attempt_id if is_named else "")
            if version is None or version not in self._known(gateway):
                self.refused_count += 1
            elif version == stream.version:
                self.went_on_count += 1
            else:
                self.joined.append(
                    f"{stream.attempt_id} of {stream.version} at {version}, "
                    f"{self.now_s:.2f} s"
                )

    def _find(
        self, gateway: SimulatedGateway, attempt_id: str
    ) -> SoftwareVersion | None:
        """Return the version at which a gateway continues a stream, as intake does."""
        origins, now_s = gateway.origins, self.now_s
        assert origins is not None
        origin = origins.find(attempt_id) if attempt_id else None
        if origin is not None:
            return origin.software_version
        if not origins.needs_confirmation(now_s):
            version = origins.sole_version(SERVICE, now_s)
            if version is not None:
                return version
        attempt = attempt_hash(attempt_id)
        for peer in self._running():
            if peer is gateway or peer.origins is None:
                continue
            attempts = [attempt] if attempt in peer.origins.records else []
            answer = encode_origins(peer.origins, attempts, now_s)
            apply_origins(origins, answer, now_s)
        origin = origins.find(attempt_id) if attempt_id else None
        if origin is not None:
            return origin.software_version
        return origins.sole_version(SERVICE, now_s)
