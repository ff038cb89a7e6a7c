"""Keeps the settings of a process up to date from the state group, a relay or peers."""

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
"""Largest number of peers from which a process fetches settings when it can't read
from the state group."""


class RelayClient(Protocol):
    """Calls to the settings relays of other processes."""

    def fetch(
        self, address: str, after_number: int, timeout_s: float
    ) -> Result[dpb.SettingsDelta | None, StepError]:
        """Return the delta to the newest revision; None if the caller has it.

        Args:
            address: IP address and port of the relay.
            after_number: Revision number in force at the caller.
            timeout_s: Timeout in seconds.
        """
        ...

    def follow(
        self,
        address: str,
        after_number: Callable[[], int],
        on_delta: Callable[[dpb.SettingsDelta], None],
    ) -> WatchHandle:
        """Deliver the delta to the newest revision, and one for each later revision.

        A stream that ended is reopened from the caller's revision at that time.

        Args:
            address: IP address and port of the relay.
            after_number: Returns the revision number in force at the caller.
            on_delta: Called with each delta.
        """
        ...


class SettingsWatcher:
    """Keeps the settings of one process up to date.

    Args:
        client: Calls to the replicated store.
        group: Replication group that holds the settings.
        on_revision: Called with each newer revision, one at a time, in order; must
            not call the client or the watcher.
        relays: Calls to relays; None when the process uses none.
        peers: Returns the addresses of the relays from which settings are fetched
            when the state group can't be read, in order of preference.
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
        """Calls to relays; None when the process uses none."""
        self.peers = peers
        """Returns the addresses of the relays from which settings are fetched when the
        state group can't be read."""
        self.clock = clock
        """Returns the monotonic time in milliseconds."""
        self.lock = threading.RLock()
        """Guards the follower and the order of `on_revision` calls."""
        self.follower = SettingsFollower()
        """Revision in force; decides which revisions are applied."""
        self.relay_hub = RelayHub()
        """Makes deltas for the followers of this process."""
        self.relay_address = ""
        """IP address and port of the followed relay; empty for the state group."""
        self.state_revision = Revision(0)
        """Store revision of the last linearizable read; 0 before the first."""
        self.watch_handle: WatchHandle | None = None
        """Running watch or relay stream; None when stopped or not started."""
        self.subscribers: list[Callable[[], None]] = []
        """Functions called after each newer revision, one per follower of this
        process."""
        self.bytes_received = 0
        """Total size of the received messages in bytes."""
        self.messages_received = 0
        """Number of received watch batches, deltas and whole revisions."""

    def start(self) -> Result[pb.SettingsRevision, StepError]:
        """Read the settings, from peers if the state group fails, and start to follow.

        Returns:
            The revision in force, with number 0 before the first; an error when neither
            the state group nor a peer had a revision.
        """
        read = self._read_state()
        if read.is_error() and not self._fetch_from_peers(str(read.error)):
            return Error(read.error)
        self._watch()
        return Ok(self.follower.revision)

    def stop(self) -> None:
        """Stop the watch or relay stream."""
        with self.lock:
            watch_handle, self.watch_handle = self.watch_handle, None
        if watch_handle is not None:
            watch_handle.stop()

    def follow(self, address: str) -> None:
        """Follow the relay at an address; an empty address is the state group."""
        with self.lock:
            if address == self.relay_address or self.watch_handle is None:
                self.relay_address = address
                return
            self.relay_address = address
        logger.info("settings: following {}", address or "the state group")
        self.stop()
        self._watch()

    def on_peer_number(self, number: int, peer: str) -> None:
        """Record the revision number that a peer announced."""
        with self.lock:
            self.follower.on_peer_number(number, peer, self.clock())

    def tick(self) -> None:
        """Read the settings if a read is due; see `SettingsFollower.fetch_due`."""
        with self.lock:
            due = self.follower.fetch_due(self.clock())
        if not due:
            return
        read = self._read_state()
        if read.is_error():
            self._fetch_from_peers(str(read.error))

    def delta_for(self, number: int) -> dpb.SettingsDelta | None:
        """Return the delta to the newest revision; None if `number` is not older."""
        with self.lock:
            return self.relay_hub.delta_for(number)

    def subscribe(self, wake: Callable[[], None]) -> None:
        """Add a function to call after each newer revision; it must not block."""
        with self.lock:
            self.subscribers.append(wake)

    def unsubscribe(self, wake: Callable[[], None]) -> None:
        """Remove a function added by `subscribe`."""
        with self.lock:
            self.subscribers.remove(wake)

    def dump(self) -> dict[str, object]:
        """Return the revision in force, its source and the counters for a dump."""
        with self.lock:
            return {
                **self.follower.dump(self.clock()),
                "upstream": self.relay_address or "state group",
                "messages_received": self.messages_received,
                "bytes_received": self.bytes_received,
                "relay": self.relay_hub.dump(),
            }

    def _watch(self) -> None:
        if self.relay_address and self.relays is not None:
            watch_handle = self.relays.follow(
                self.relay_address, lambda: self.follower.number, self._on_relay_delta
            )
        else:
            watch_handle = self.client.watch(
                self.group, DELTA_PREFIX, self.state_revision, self._on_batch
            )
        with self.lock:
            self.watch_handle = watch_handle

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
        if (
            self._offer([delta], Origin(Source.RELAY, self.relay_address))
            is OfferResult.GAP
        ):
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
        is_answered = False
        for address in list(self.peers())[:MAX_PEERS_ASKED]:
            number = self.follower.number
            fetched = self.relays.fetch(address, number, READ_TIMEOUT_S)
            if fetched.is_error():
                continue
            is_answered = True
            if fetched.ok is not None:
                self._count_message(fetched.ok.ByteSize())
                self._offer([fetched.ok], Origin(Source.PEERS, address, reason))
        return is_answered and self.follower.number > 0

    def _on_applied(self) -> None:
        revision = self.follower.revision
        self.relay_hub.publish(revision)
        logger.info(
            "settings: applied settings revision {} from {}",
            revision.number,
            self.follower.origin.source.value,
        )
        self.on_revision(revision)
        for wake in list(self.subscribers):
            wake()

    def _count_message(self, size: int) -> None:
        self.messages_received += 1
        self.bytes_received += size
