"""At which software version each stream began; no I/O.

What two versions of an engine's software write does not fit together, so a stream may
go on only at the version that began it. Callers that take a stream up name the attempt
that began it. While all engines of a service have one version, it is known without a
record.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.serving.backends.messages import SoftwareVersion

MAX_RECORDS: Final = 100_000
"""Maximum number of streams whose origin is kept."""

NEW_VERSION_DELAY_S: Final = 3.0
"""Time in seconds after its first engine is known from which new streams begin at a
version beside older ones. Hosts with a disk save the versions every second, and a loss
of power may cost the last save; a version that no disk has could not be told from the
older one after a kill of all gateways."""


@dataclass(frozen=True)
class StreamOrigin:
    """Service and software version of the engine that wrote a stream's first event."""

    service: str
    software_version: SoftwareVersion


@dataclass
class OriginRecord:
    """Where one stream began."""

    origin: StreamOrigin
    recorded_s: float
    """Monotonic time in seconds."""
    is_local: bool
    """Whether the stream began at this gateway."""


class StreamOrigins:
    """Origins of recent streams, and the versions that engines had recently.

    Args:
        now_s: Monotonic time in seconds, from which on all versions are seen.
    """

    def __init__(self, now_s: float) -> None:
        self.records: OrderedDict[int, OriginRecord] = OrderedDict()
        """Origin by the hash of the attempt that began the stream; the oldest first."""
        self.seen_s: dict[StreamOrigin, float] = {}
        """Monotonic time in seconds at which engines of each service and version were
        last known."""
        self.started_s = now_s
        """Monotonic time in seconds of the start."""
        self.complete_since_s = now_s
        """Monotonic time in seconds from which on `seen_s` has all versions."""
        self.first_seen_s: dict[StreamOrigin, float] = {}
        """Monotonic time in seconds at which each version in `seen_s` became known."""
        self.forgotten_seen_s = float("-inf")
        """Monotonic time in seconds at which the last version that was dropped had been
        seen last."""
        self.restored_s: float | None = None
        """Monotonic time in seconds at which the state of before a restart was
        restored; None if there was none."""
        self.is_restored_fresh = False
        """Whether the restored state was saved shortly before the restart."""
        self.is_unsure = False
        """Whether versions may be missing in the restored state: peers may have served
        after it was saved, and none that has seen all versions has reported since."""
        self.stream_life_s = 0.0
        """Longest time in seconds from the first event of a stream to its last take-up,
        by the configuration; 0 while it is unknown."""
        self.unsent: list[int] = []
        """Streams whose origin has to be sent to peers."""

    def on_seen(self, origin: StreamOrigin, now_s: float) -> None:
        """Record that engines of a version are known."""
        self._on_seen_at(origin, now_s, now_s)

    def _on_seen_at(self, origin: StreamOrigin, at_s: float, now_s: float) -> None:
        """Record when engines of a version were known, here or at a peer.

        When another version of the service joins, the origins of the local streams
        have to be sent to peers.
        """
        is_new = now_s - self.seen_s.get(origin, -1e9) >= self.stream_life_s
        self.seen_s[origin] = max(at_s, self.seen_s.get(origin, at_s))
        self.first_seen_s.setdefault(origin, now_s)
        if is_new and len(self.recent_versions(origin.service, now_s)) > 1:
            self.unsent += [
                attempt
                for attempt, record in self.records.items()
                if record.is_local and record.origin.service == origin.service
            ]

    def on_began(
        self,
        attempt_id: str,
        origin: StreamOrigin,
        now_s: float,
        *,
        has_other_services: bool,
    ) -> None:
        """Record the first event of a stream at this gateway.

        Args:
            attempt_id: Id of the attempt that began it.
            origin: Where it began.
            now_s: Monotonic time in seconds.
            has_other_services: Its route has other services too, so that it is not
                known from the versions where it began.
        """
        self.on_seen(origin, now_s)
        attempt = attempt_hash(attempt_id)
        self._record(attempt, OriginRecord(origin, now_s, is_local=True))
        if has_other_services or self.sole_version(origin.service, now_s) is None:
            self.unsent.append(attempt)

    def on_reported(
        self, origin: StreamOrigin, attempts: Iterable[int], now_s: float
    ) -> None:
        """Record the origins of streams that a peer reported."""
        for attempt in attempts:
            if attempt not in self.records:
                self._record(attempt, OriginRecord(origin, now_s, is_local=False))

    def on_reported_versions(
        self,
        seen_s: dict[StreamOrigin, float],
        complete_since_s: float,
        now_s: float,
    ) -> None:
        """Merge the versions that a peer has seen."""
        for origin, at_s in seen_s.items():
            self._on_seen_at(origin, at_s, now_s)
        self.complete_since_s = min(self.complete_since_s, complete_since_s)
        if now_s - complete_since_s >= self.stream_life_s > 0:
            self.is_unsure = False

    def on_missed(self, now_s: float) -> None:
        """Record that versions may have been missed until now."""
        self.complete_since_s = now_s

    def on_restored(self, now_s: float, *, is_fresh: bool) -> None:
        """Record that what was merged until now was saved before a restart.

        Peers may have begun streams at another version after the save. If it is fresh,
        engines of that version announce themselves within `NEW_VERSION_DELAY_S`. Else
        they may have come and gone; only a peer that has seen all versions knows.

        Args:
            now_s: Monotonic time in seconds.
            is_fresh: It was saved shortly before the restart.
        """
        self.restored_s = now_s
        self.is_restored_fresh = is_fresh
        self.is_unsure = True

    def knows_present_versions(self, now_s: float) -> bool:
        """Return whether engines of all versions announced themselves since the start.

        Until then, peers may begin streams at a version that is not known here.
        """
        return now_s - self.started_s >= NEW_VERSION_DELAY_S

    def needs_confirmation(self, now_s: float) -> bool:
        """Return whether peers have to be asked before versions are relied on.

        They may have seen another version between the last save and the restart.
        """
        restored_s = self.restored_s
        return restored_s is not None and now_s - restored_s < self.stream_life_s

    def find(self, attempt_id: str) -> StreamOrigin | None:
        """Return where a stream began; None if that is not known here."""
        record = self.records.get(attempt_hash(attempt_id))
        return record.origin if record else None

    def recent_versions(self, service: str, now_s: float) -> set[SoftwareVersion]:
        """Return the versions at which streams that may still run can have begun."""
        return {
            origin.software_version
            for origin, at_s in self.seen_s.items()
            if origin.service == service and now_s - at_s < self.stream_life_s
        }

    def sole_version(self, service: str, now_s: float) -> SoftwareVersion | None:
        """Return the version of all streams of a service; None if that is not sure."""
        versions = self.recent_versions(service, now_s)
        if len(versions) != 1 or not self.is_complete(now_s):
            return None
        return next(iter(versions))

    def settled_versions(self, service: str, now_s: float) -> set[SoftwareVersion]:
        """Return the versions that have been known for `NEW_VERSION_DELAY_S`.

        New streams should begin at these, if there are any.
        """
        return {
            origin.software_version
            for origin, at_s in self.first_seen_s.items()
            if origin.service == service and now_s - at_s >= NEW_VERSION_DELAY_S
        }

    def is_sure(self, now_s: float) -> bool:
        """Return whether no version is missing in what was restored."""
        if not self.is_unsure or self.restored_s is None:
            return True
        wait_s = NEW_VERSION_DELAY_S if self.is_restored_fresh else self.stream_life_s
        return self.stream_life_s > 0 and now_s - self.restored_s >= wait_s

    def is_complete(self, now_s: float) -> bool:
        """Return whether all versions of the life of a stream are known."""
        known_since_s = max(self.complete_since_s, self.forgotten_seen_s)
        return self.is_sure(now_s) and now_s - known_since_s >= self.stream_life_s

    def expire(self, now_s: float) -> None:
        """Drop streams and versions that are too old to be taken up.

        Nothing is dropped while it is unknown how long streams live.
        """
        if not self.stream_life_s:
            return
        while self.records:
            attempt, record = next(iter(self.records.items()))
            if now_s - record.recorded_s < self.stream_life_s:
                break
            del self.records[attempt]
        old = [o for o, s in self.seen_s.items() if now_s - s >= self.stream_life_s]
        for origin in old:
            self.forgotten_seen_s = max(self.forgotten_seen_s, self.seen_s[origin])
            del self.seen_s[origin]
            del self.first_seen_s[origin]

    def take_unsent(self) -> list[int]:
        """Return the streams to send to peers, and clear them."""
        unsent, self.unsent = self.unsent, []
        return [each for each in dict.fromkeys(unsent) if each in self.records]

    def _record(self, attempt: int, record: OriginRecord) -> None:
        self.records[attempt] = record
        if len(self.records) > MAX_RECORDS:
            self.records.popitem(last=False)


def attempt_hash(attempt_id: str) -> int:
    """Return the hash that stands for an attempt of a caller, 64 bits."""
    return xxhash.xxh64_intdigest(attempt_id.encode("utf-8", "surrogateescape"))
