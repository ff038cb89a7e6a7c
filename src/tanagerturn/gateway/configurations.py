"""Accepts configurations of operators, and puts the newest one in force here."""

from __future__ import annotations

import asyncio
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import StepError, UnavailableError
from tanagerturn.gateway.logs import part_log
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.mesh import Mesh
    from tanagerturn.gateway.replicated import ReplicatedStore
    from tanagerturn.gateway.state import GatewayState

CURRENT_KEY: Final = "configuration/current"

OPERATOR_TIMEOUT_S: Final = 0.9
"""Time in which an operator is answered; it asks elsewhere after a second."""

BYTES_PER_S: Final = 500_000.0
"""Size of a document by which the operator waits longer; links of small hosts
carry about that."""

PULL_TIMEOUT_S: Final = 1.0
"""Longest time to fetch a configuration from another gateway."""

PULL_PAUSE_S: Final = 0.1
"""Time between two tries to fetch."""

COMPRESSION_LEVEL: Final = 1
"""Documents shrink about ten times at the fastest level."""

log = part_log("configuration")


@dataclass(frozen=True)
class Accepted:
    """A configuration that is durable, or older than one that is."""

    version: int
    """Version in force."""


class Configurations:
    """The way of configurations through one gateway.

    Args:
        state: State of the gateway.
        store: The state group.
        links: Links to other gateways.
        mesh: Datagrams to other gateways.
        on_adopted: Called after a newer one is in force.
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
        """The state group."""
        self.links = links
        """Links to other gateways."""
        self.mesh = mesh
        """Datagrams to other gateways."""
        self.on_adopted = on_adopted
        """Called after a newer one is in force."""
        self.stored = gpb.StoredConfiguration()
        """The newest configuration, as others may fetch it."""
        self.sources: dict[str, int] = {}
        """Link addresses of gateways to the version that they have."""
        self.pulling: asyncio.Task[None] | None = None
        """The task that fetches a newer one."""

    async def put(self, document: bytes) -> Result[Accepted, StepError]:
        """Make a configuration durable, unless a newer one is.

        Returns:
            The version in force; a `RefusedError` for an invalid document; an
            `UnavailableError` after which it is to be sent again.
        """
        decoded = self.state.dialect.decode_configuration(document)
        if decoded.is_error():
            log.info("configuration_refused", reason=str(decoded.error))
            return Error(decoded.error)
        version = decoded.ok.version
        packed = zlib.compress(document, COMPRESSION_LEVEL)
        value = gpb.StoredConfiguration(version=version, document=packed)
        timeout_s = OPERATOR_TIMEOUT_S + len(document) / BYTES_PER_S
        deadline_s = boot_s() + timeout_s
        while True:
            left_s = deadline_s - boot_s()
            if left_s <= 0:
                reason = "not committed in time"
                return Error(UnavailableError("put configuration", "", reason))
            read = await self.store.read(CURRENT_KEY, left_s)
            if read.is_error():
                return Error(read.error)
            entry = read.ok
            current = gpb.StoredConfiguration()
            if entry is not None:
                current.ParseFromString(entry.value)
            if current.version >= version:
                self.adopt_stored(current)
                return Ok(Accepted(current.version))
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
                self.mesh.tell_version(version)
                return Ok(Accepted(version))

    async def newest(self) -> Result[bytes, StepError]:
        """Return the newest document, confirmed by a majority.

        Returns:
            The document; an `UnavailableError` when it is not sure or there is none.
        """
        read = await self.store.read(CURRENT_KEY, OPERATOR_TIMEOUT_S)
        if read.is_error():
            return Error(read.error)
        if read.ok is None:
            reason = "there is none yet"
            return Error(UnavailableError("read configuration", "", reason))
        stored = gpb.StoredConfiguration.FromString(read.ok.value)
        self.adopt_stored(stored)
        return Ok(zlib.decompress(stored.document))

    def on_batch(self, batch: pb.WatchBatch) -> None:
        """Take committed writes of the own member."""
        for event in batch.events:
            if event.entry.key == CURRENT_KEY and not event.deleted:
                stored = gpb.StoredConfiguration.FromString(event.entry.value)
                if self.adopt_stored(stored):
                    self.mesh.tell_version(stored.version)

    def on_told(self, version: int, link_address: str) -> None:
        """Note that another gateway has a version; fetch it if it is newer."""
        self.sources[link_address] = max(version, self.sources.get(link_address, 0))
        if version <= self.state.configuration.version:
            return
        if self.pulling is None or self.pulling.done():
            self.pulling = asyncio.create_task(self._pull())

    def adopt_stored(self, stored: gpb.StoredConfiguration) -> bool:
        """Put a committed configuration in force, unless a newer one is."""
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
        self.stored = stored
        self.state.adopt(decoded.ok, boot_s())
        self.on_adopted()
        return True

    def serve(self) -> gpb.Frame:
        """Return the newest configuration here, for another gateway."""
        if not self.stored.version:
            return gpb.Frame(failure=gpb.Failure(reason="no configuration here"))
        entry = pb.KeyValue(key=CURRENT_KEY, value=self.stored.SerializeToString())
        return gpb.Frame(answer=gpb.ReadAnswer(entry=entry))

    async def fetch(self, address: str) -> bool:
        """Fetch what another gateway has in force; return whether it is newer."""
        read = gpb.ReadCall(key=CURRENT_KEY, stale_allowed=True)
        answered = await self.links.to(address).call(
            gpb.Frame(read=read), PULL_TIMEOUT_S
        )
        if answered.is_error() or answered.ok.WhichOneof("kind") != "answer":
            return False
        value = answered.ok.answer.entry.value
        return self.adopt_stored(gpb.StoredConfiguration.FromString(value))

    async def _pull(self) -> None:
        """Fetch the newest version that others tell of."""
        while True:
            have = self.state.configuration.version
            newest = max(self.sources.values(), default=0)
            if newest <= have:
                return
            able = [a for a, version in self.sources.items() if version > have]
            address = self.state.random.choice(able)
            if not await self.fetch(address):
                # It is asked again once it tells its version again.
                self.sources.pop(address, None)
                log.info("configuration_not_fetched", peer=address, have=have)
                await asyncio.sleep(PULL_PAUSE_S)
