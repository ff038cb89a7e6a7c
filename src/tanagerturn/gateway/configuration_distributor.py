"""Accepts configurations from operators and puts the newest in force at a gateway."""

from __future__ import annotations

import asyncio
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import StepError, UnavailableError
from tanagerturn.gateway.logs import component_log
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.spread.mesh import Mesh
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.gateway.state_group.replicated_store import ReplicatedStore

CURRENT_KEY: Final = "configuration/current"
"""Key of the newest configuration in the state group."""

OPERATOR_TIMEOUT_S: Final = 0.9
"""Time in seconds within which an operator's call is answered; the operator calls
another gateway after one second."""

DOCUMENT_BYTES_PER_S: Final = 500_000.0
"""Rate in bytes per second at which an operator's document is expected to be stored:
the timeout of the call grows by the document size divided by this rate. Network links
of small hosts carry about that rate."""

FETCH_TIMEOUT_S: Final = 1.0
"""Timeout in seconds of a fetch of the configuration from a peer gateway."""

FETCH_RETRY_S: Final = 0.1
"""Pause after a failed fetch in seconds."""

COMPRESSION_LEVEL: Final = 1
"""zlib level; the fastest one already shrinks documents about ten times."""

log = component_log("configuration")


@dataclass(frozen=True)
class AcceptedVersion:
    """Result of a put: the configuration, or a newer one, is durable."""

    version: int
    """Version in force."""


class ConfigurationDistributor:
    """Stores, distributes and adopts configurations at one gateway.

    Args:
        state: State of the gateway.
        store: Calls to the state group.
        links: Links to peer gateways.
        mesh: Datagrams to peer gateways.
        on_adopted: Called after a newer configuration was put in force.
    """

    def __init__(
        self,
        state: GatewayState,
        store: ReplicatedStore,
        links: Links,
        mesh: Mesh,
        on_adopted: Callable[[], None],
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.store = store
        """Calls to the state group."""
        self.links = links
        """Links to peer gateways."""
        self.mesh = mesh
        """Datagrams to peer gateways."""
        self.on_adopted = on_adopted
        """Called after a newer configuration was put in force."""
        self.stored_configuration = gpb.StoredConfiguration()
        """The configuration in force in the form that peers fetch; version 0 before one
        was adopted."""
        self.versions_by_address: dict[str, int] = {}
        """Configuration version of each peer gateway by its link address; a peer from
        which a fetch failed is missing until it reports its version again."""
        self.fetch_task: asyncio.Task[None] | None = None
        """Task that fetches a newer configuration; None before the first fetch."""

    async def put(self, document: bytes) -> Result[AcceptedVersion, StepError]:
        """Make a configuration durable unless a newer one already is.

        Returns:
            The version in force; a `RefusedError` for an invalid document; an
            `UnavailableError` if the document may not be durable, so that the operator
            has to send it again.
        """
        decoded = self.state.dialect.decode_configuration(document)
        if decoded.is_error():
            log.info("configuration_refused", reason=str(decoded.error))
            return Error(decoded.error)
        version = decoded.ok.version
        compressed = zlib.compress(document, COMPRESSION_LEVEL)
        value = gpb.StoredConfiguration(version=version, document=compressed)
        timeout_s = OPERATOR_TIMEOUT_S + len(document) / DOCUMENT_BYTES_PER_S
        deadline_s = boot_s() + timeout_s
        while True:
            remaining_s = deadline_s - boot_s()
            if remaining_s <= 0:
                reason = f"version {version} was not committed within {timeout_s:.2f} s"
                return Error(UnavailableError("put configuration", "", reason))
            read = await self.store.read(CURRENT_KEY, remaining_s)
            if read.is_error():
                return Error(read.error)
            entry = read.ok
            current = gpb.StoredConfiguration()
            if entry is not None:
                current.ParseFromString(entry.value)
            if current.version >= version:
                self.adopt_stored(current)
                return Ok(AcceptedVersion(current.version))
            expected = entry.mod_revision if entry is not None else 0
            put = pb.Put(
                key=CURRENT_KEY,
                value=value.SerializeToString(),
                expected_revision=expected,
            )
            command = pb.Command(transaction=pb.Transaction(puts=[put]))
            proposed = await self.store.propose(command, deadline_s - boot_s())
            if proposed.is_error():
                log.info("proposal_failed", version=version, reason=str(proposed.error))
            elif proposed.ok.status == pb.CommandResult.APPLIED:
                log.info("configuration_accepted", version=version)
                self.adopt_stored(value)
                self.mesh.send_version(version, boot_s())
                return Ok(AcceptedVersion(version))

    async def read_newest(self) -> Result[bytes, StepError]:
        """Read the newest configuration from the state group and adopt it.

        Returns:
            The document, confirmed by a majority; an `UnavailableError` if a
            majority did not confirm it, or if no configuration is stored.
        """
        read = await self.store.read(CURRENT_KEY, OPERATOR_TIMEOUT_S)
        if read.is_error():
            return Error(read.error)
        if read.ok is None:
            reason = "no configuration is stored in the state group"
            return Error(UnavailableError("read configuration", "", reason))
        stored = gpb.StoredConfiguration.FromString(read.ok.value)
        self.adopt_stored(stored)
        return Ok(zlib.decompress(stored.document))

    def on_batch(self, batch: pb.WatchBatch) -> None:
        """Adopt configurations among the writes committed at the local member."""
        for event in batch.events:
            if event.entry.key == CURRENT_KEY and not event.deleted:
                stored = gpb.StoredConfiguration.FromString(event.entry.value)
                if self.adopt_stored(stored):
                    self.mesh.send_version(stored.version, boot_s())

    def on_peer_version(self, version: int, link_address: str) -> None:
        """Record the configuration version of a peer gateway; fetch it if it is newer.

        Args:
            version: Configuration version in force at the peer.
            link_address: Link address of the peer.
        """
        self.versions_by_address[link_address] = max(
            version, self.versions_by_address.get(link_address, 0)
        )
        if version <= self.state.configuration.version:
            return
        if self.fetch_task is None or self.fetch_task.done():
            self.fetch_task = asyncio.create_task(self._fetch_newest())

    def adopt_stored(self, stored: gpb.StoredConfiguration) -> bool:
        """Put a committed configuration in force unless a newer one is.

        Returns:
            Whether it was put in force; False also if it can't be decoded.
        """
        if stored.version <= self.state.configuration.version:
            return False
        document = zlib.decompress(stored.document)
        decoded = self.state.dialect.decode_configuration(document)
        if decoded.is_error():
            log.error(
                "stored_configuration_unreadable",
                version=stored.version,
                reason=str(decoded.error),
            )
            return False
        self.stored_configuration = stored
        self.state.adopt(decoded.ok, boot_s())
        self.on_adopted()
        return True

    def serve_fetch(self) -> gpb.Frame:
        """Return the response to a peer's fetch: the configuration in force.

        The response is a failure if no configuration is in force.
        """
        if not self.stored_configuration.version:
            return gpb.Frame(failure=gpb.Failure(reason="no configuration here"))
        entry = pb.KeyValue(
            key=CURRENT_KEY, value=self.stored_configuration.SerializeToString()
        )
        return gpb.Frame(answer=gpb.ReadAnswer(entry=entry))

    async def fetch(self, address: str) -> bool:
        """Fetch and adopt the configuration of a peer gateway.

        Args:
            address: Link address of the peer.

        Returns:
            Whether a newer configuration was put in force.
        """
        read = gpb.ReadCall(key=CURRENT_KEY, stale_allowed=True)
        answered = await self.links.link_to(address).call(
            gpb.Frame(read=read), FETCH_TIMEOUT_S
        )
        if answered.is_error() or answered.ok.WhichOneof("kind") != "answer":
            return False
        value = answered.ok.answer.entry.value
        return self.adopt_stored(gpb.StoredConfiguration.FromString(value))

    async def _fetch_newest(self) -> None:
        """Fetch configurations until no peer is known to have a newer one."""
        while True:
            local_version = self.state.configuration.version
            newest = max(self.versions_by_address.values(), default=0)
            if newest <= local_version:
                return
            newer = [
                a
                for a, version in self.versions_by_address.items()
                if version > local_version
            ]
            address = self.state.random.choice(newer)
            if not await self.fetch(address):
                # The peer is asked again only after it has reported its version again.
                self.versions_by_address.pop(address, None)
                log.info("configuration_not_fetched", peer=address, have=local_version)
                await asyncio.sleep(FETCH_RETRY_S)
