"""Clocks, message transport and watch of a gateway's state group member."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.logs import component_log
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.state._watches import Watcher
from tanagerturn.state.clocks import Clocks

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Sequence

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.gateway.links import Links

log = component_log("member")


class MemberClocks(Clocks):
    """Clocks of the member, which also advance while the host is suspended."""

    def monotonic_s(self) -> float:
        """Return the boot-clock time in seconds."""
        return boot_s()


class MemberTransport:
    """Passes log messages from the member's thread to the links on the event loop.

    Args:
        links: Links to peer gateways.
        loop: Event loop of the gateway.
    """

    def __init__(self, links: Links, loop: asyncio.AbstractEventLoop) -> None:
        self.links = links
        """Links to peer gateways."""
        self.loop = loop
        """Event loop of the gateway."""
        self.addresses: dict[str, str] = {}
        """Link address (`ip:port`) of each known member by member id."""

    def update_addresses(self, members: Sequence[pb.Member]) -> None:
        """Record the link addresses of members of the state group."""
        for member in members:
            self.addresses[member.id] = member.address

    def send(self, messages: Sequence[pb.LogMessage]) -> None:
        """Send log messages; those to members without a known address are dropped."""
        by_address: dict[str, list[pb.LogMessage]] = {}
        for message in messages:
            address = self.addresses.get(message.receiver)
            if address is not None:
                by_address.setdefault(address, []).append(message)
        for address, batch in by_address.items():
            frame = gpb.Frame(log=pb.LogMessages(messages=batch))
            self.loop.call_soon_threadsafe(self._send_frame, address, frame)

    def _send_frame(self, address: str, frame: gpb.Frame) -> None:
        self.links.link_to(address).send_one_way(frame)


class LoopWatcher(Watcher):
    """Watch of committed writes whose batches are delivered on the event loop.

    Args:
        prefix: Prefix of the watched keys.
        loop: Event loop of the gateway.
        on_batch: Called on the event loop with each batch of committed writes.
    """

    def __init__(
        self,
        prefix: str,
        loop: asyncio.AbstractEventLoop,
        on_batch: Callable[[pb.WatchBatch], None],
    ) -> None:
        super().__init__(prefix, 0)
        self.loop = loop
        """Event loop of the gateway."""
        self.on_batch = on_batch
        """Called on the event loop with each batch of committed writes."""

    def offer(self, batch: pb.WatchBatch) -> None:
        """Deliver a batch of committed writes on the event loop."""
        self.revision = batch.revision
        self.loop.call_soon_threadsafe(self.on_batch, batch)

    def end(self) -> None:
        """Mark the watch as ended: it missed changes, and a new watch is needed."""
        self.is_ended = True


def exit_process(error: StepError) -> None:
    """Log a fatal error of the member and exit the process immediately.

    No further write may be acknowledged from this disk.
    """
    log.error("member_ended", reason=str(error))
    os._exit(1)
