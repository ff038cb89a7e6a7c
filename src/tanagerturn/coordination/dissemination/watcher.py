"""Keeps a process's settings up to date from the state group, a relay or peers."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final, Protocol

from expression import Error, Ok, Result
from loguru import logger

from tanagerturn.coordination.dissemination.follower import (
    OfferResult,
    Origin,
    SettingsFollower,
    Source,
)
from tanagerturn.coordination.dissemination.relay import RelayHub
from tanagerturn.coordination.ids import Revision
from tanagerturn.coordination.settings_history import CURRENT_KEY, DELTA_PREFIX
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import dissemination_pb2 as dpb

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from tanagerturn.coordination.client import StateClient, WatchHandle
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.coordination.ids import GroupId

READ_TIMEOUT_S: Final = 2.0
MAX_PEERS_ASKED: Final = 3
"""Most peers that a process asks when it can't read from the state group."""


class RelayClient(Protocol):
    """Calls to the relays of other processes."""

    def fetch(
        self, address: str, after_number: int, timeout_s: float
    ) -> Result[dpb.SettingsDelta | None, StepError]:
        """Return the delta that the caller lacks, or None when it is up to date."""
        ...

    def follow(
        self,
        address: str,
        after_number: Callable[[], int],
        on_delta: Callable[[dpb.SettingsDelta], None],
    ) -> WatchHandle:
        """Deliver the delta that the caller lacks, and one for each later revision.

        A lost stream is reopened from the caller's revision at that time.
        """
        ...


class SettingsWatcher:
    """Settings of one process, from the state group, a relay or peers.

    Args:
        client: Calls to the replicated store.
        group: Replication group that holds the settings.
        on_revision: Called with each newer revision, one at a time, in order; must
            not call the client or the watcher.
        relays: Calls to relays; None when the process uses none.
        peers: Returns the relay addresses to ask when the state group can't be read.
        clock: Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        client: StateClient,
        group: GroupId,
        on_revision: Callable[[pb.SettingsRevision], None],
        relays: RelayClient | None = None,
        peers: Callable[[], Sequence[str]] = tuple,
        clock: Callable[[], int] = lambda: time.monotonic_ns() // 1_000_000,
    ) -> None:
        self.client = client
        """Calls to the replicated store."""
        self.group = group
        """Replication group that holds the settings."""
        self.on_revision = on_revision
        """Called with each newer revision."""
        self.relays = relays
        """Calls to relays, or None."""
        self.peers = peers
        """Returns the relay addresses to ask when the state group can't be read."""
        self.clock = clock
        """Returns the monotonic time in milliseconds."""
        self.lock = threading.RLock()
        """Guards the follower and the order of `on_revision` calls."""
        self.follower = SettingsFollower()
        """Decides which revisions are applied."""
        self.hub = RelayHub()
        """Makes deltas for the followers of this process."""
        self.upstream = ""
        """Address of the followed relay; empty for the state group."""
        self.state_revision = Revision(0)
        """Store revision of the last linearizable read."""
        self.handle: WatchHandle | None = None
        """Running watch or relay stream, or None."""
        self.subscribers: list[Callable[[], None]] = []
        """Called after each newer revision, for followers of this process."""
        self.bytes_received = 0
        """Total size of the received messages in bytes."""
        self.messages_received = 0
        """Number of received batches, deltas and revisions."""

    def start(self) -> Result[pb.SettingsRevision, StepError]:
        """Read the settings, from the peers if the state group fails, then watch.

        Returns:
            The revision in force, number 0 before the first one; an error when neither
            the state group nor a peer answered.
        """
        read = self._read_state()
        if read.is_error() and not self._fetch_from_peers(str(read.error)):
            return Error(read.error)
        self._watch()
        return Ok(self.follower.revision)

    def stop(self) -> None:
        """Stop the watch."""
        with self.lock:
            handle, self.handle = self.handle, None
        if handle is not None:
            handle.stop()

    def follow(self, address: str) -> None:
        """Follow a relay from now on, or the state group when the address is empty."""
        with self.lock:
            if address == self.upstream or self.handle is None:
                self.upstream = address
                return
            self.upstream = address
        logger.info("settings: following {}", address or "the state group")
        self.stop()
        self._watch()

    def on_peer_number(self, number: int, peer: str) -> None:
        """Record the revision number of a peer."""
        with self.lock:
            self.follower.on_peer_number(number, peer, self.clock())

    def tick(self) -> None:
        """Read the settings when due; see `SettingsFollower.fetch_due`."""
        with self.lock:
            due = self.follower.fetch_due(self.clock())
        if not due:
            return
        read = self._read_state()
        if read.is_error():
            self._fetch_from_peers(str(read.error))

    def delta_for(self, number: int) -> dpb.SettingsDelta | None:
        """Return the delta from a revision to the newest; None when there is none."""
        with self.lock:
            return self.hub.delta_for(number)

    def subscribe(self, wake: Callable[[], None]) -> None:
        """Add a function to call after each newer revision; it must be short."""
        with self.lock:
            self.subscribers.append(wake)

    def unsubscribe(self, wake: Callable[[], None]) -> None:
        """Remove a function added by `subscribe`."""
        with self.lock:
            self.subscribers.remove(wake)

    def dump(self) -> dict[str, object]:
        """Return the state for a dump."""
        with self.lock:
            return {
                **self.follower.dump(self.clock()),
                "upstream": self.upstream or "state group",
                "messages_received": self.messages_received,
                "bytes_received": self.bytes_received,
                "relay": self.hub.dump(),
            }

    def _watch(self) -> None:
        if self.upstream and self.relays is not None:
            handle = self.relays.follow(
                self.upstream, lambda: self.follower.number, self._on_relay_delta
            )
        else:
            handle = self.client.watch(
                self.group, DELTA_PREFIX, self.state_revision, self._on_batch
            )
        with self.lock:
            self.handle = handle

    def _on_batch(self, batch: pb.WatchBatch) -> None:
        self._count_message(batch.ByteSize())
        deltas = [
            dpb.SettingsDelta.FromString(event.entry.value)
            for event in batch.events
            if not event.deleted
        ]
        if self._offer(deltas, Origin(Source.STATE_WATCH)) is OfferResult.GAP:
            self._read_state()

    def _on_relay_delta(self, delta: dpb.SettingsDelta) -> None:
        self._count_message(delta.ByteSize())
        if self._offer([delta], Origin(Source.RELAY, self.upstream)) is OfferResult.GAP:
            self._read_state()

    def _offer(
        self, deltas: Sequence[dpb.SettingsDelta], origin: Origin
    ) -> OfferResult:
        with self.lock:
            offer = self.follower.offer_deltas(deltas, origin, self.clock())
            if offer is OfferResult.APPLIED:
                self._on_applied()
        return offer

    def _read_state(self) -> Result[None, StepError]:
        read = self.client.read(self.group, CURRENT_KEY, READ_TIMEOUT_S)
        if read.is_error():
            return Error(read.error)
        entry = read.ok if read.ok is not None else pb.KeyValue()
        self._count_message(entry.ByteSize())
        revision = pb.SettingsRevision.FromString(entry.value)
        with self.lock:
            self.state_revision = Revision(entry.mod_revision)
            origin = Origin(Source.STATE_READ)
            offer = self.follower.offer_revision(revision, origin, self.clock())
            if offer is OfferResult.APPLIED:
                self._on_applied()
        return Ok(None)

    def _fetch_from_peers(self, reason: str) -> bool:
        if self.relays is None:
            return False
        answered = False
        for address in list(self.peers())[:MAX_PEERS_ASKED]:
            number = self.follower.number
            fetched = self.relays.fetch(address, number, READ_TIMEOUT_S)
            if fetched.is_error():
                continue
            answered = True
            if fetched.ok is not None:
                self._count_message(fetched.ok.ByteSize())
                self._offer([fetched.ok], Origin(Source.PEERS, address, reason))
        return answered and self.follower.number > 0

    def _on_applied(self) -> None:
        revision = self.follower.revision
        self.hub.publish(revision)
        logger.info(
            "settings: applied revision {} from {}",
            revision.number,
            self.follower.origin.source.value,
        )
        self.on_revision(revision)
        for wake in list(self.subscribers):
            wake()

    def _count_message(self, size: int) -> None:
        self.messages_received += 1
        self.bytes_received += size
