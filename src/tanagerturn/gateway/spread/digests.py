"""Fills the gateway's digests, and applies digests and updates of its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends.brittle import apply_brittle, encode_brittle
from tanagerturn.gateway.backends.departure_sources import (
    DepartureSource,
    log_departure,
    staying_ids,
)
from tanagerturn.gateway.backends.speed_reports import add_speeds, apply_speeds
from tanagerturn.gateway.backends.state import Work
from tanagerturn.gateway.callers import scarcity
from tanagerturn.gateway.fleet import backend_hash
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.quarantine import (
    apply_suspects,
    encode_suspects,
    reported_parts,
)
from tanagerturn.gateway.repeats import (
    apply_suspect_requests,
    encode_suspect_requests,
    reported_requests,
)
from tanagerturn.gateway.spread.departures import (
    EXTENDED_DIGEST_INTERVAL,
    apply_departures,
    encode_known_departures,
    fill_departures,
    restore_departures,
)
from tanagerturn.gateway.spread.lag import ExchangeLag
from tanagerturn.gateway.spread.mesh import BATCH_INTERVAL_S
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.rollouts.spread import RolloutSpread
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.gateway.state_group.member import StateMember

DIRECTLY_HEARD_MAX_AGE_S: Final = 2.0
"""Age in seconds from which an announcement that this gateway received is no longer
reported to peers as a sign of life of the backend server."""

REGISTRY_FETCH_INTERVAL_S: Final = 0.5
"""Minimum time between two fetches of a peer's registry, and their timeout, in
seconds."""

REGISTRY_SETTLE_S: Final = 1.0
"""Time in seconds after a change of the local registry for which a peer's registry that
differs is not fetched: digests on their way are older than the change, and each change
is sent to all gateways."""

MAX_REGISTRY_SETTLE_S: Final = 3.0
"""Time in seconds after the last fetch from which a peer's registry that differs is
fetched although the local one keeps changing."""

REGISTRY_HASH_MAX_AGE_S: Final = 0.1
"""Age in seconds from which the hash of the local registry is computed again.
Computing it takes 0.2 ms with 100 backend servers, and up to 120 digests arrive per
second."""

WINDOWS_PER_DIGEST: Final = 2
"""Number of report windows in each digest: the current one and the previous one, which
is reported to the cloud API next."""

WINDOWS_PER_EXTENDED_DIGEST: Final = 4
"""Number of report windows in an extended digest, from which a lease holder that has
just started receives the counts of older windows."""

log = component_log("digests")


class DigestExchange:
    """Fills this gateway's digests and applies those of its peers.

    Args:
        state: State of the gateway.
        links: Links to peer gateways.
        loop: Event loop of the gateway.
        on_version: Called with the configuration version of a peer and the peer's link
            address.
        on_changed: Called when a backend server is new or its offer, its address or
            its leaving state changed.
    """

    def __init__(
        self,
        state: GatewayState,
        links: Links,
        loop: asyncio.AbstractEventLoop,
        on_version: Callable[[int, str], None],
        on_changed: Callable[[], None],
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.links = links
        """Links to peer gateways."""
        self.loop = loop
        """Event loop of the gateway."""
        self.on_version = on_version
        """Called with the configuration version of a peer and the peer's link
        address."""
        self.on_changed = on_changed
        """Called when a backend server is new or has changed."""
        self.member: StateMember | None = None
        """Local member of the state group; None on hosts without a disk, and until the
        member is open."""
        self.has_disk = False
        """Whether the host has a disk."""
        self.rollouts: RolloutSpread | None = None
        """Permissions and evidence of rollouts; None unless the settings allow them."""
        self.registry_fetched_at_s = 0.0
        """Boot-clock time in seconds at which the last registry fetch started; 0 before
        the first one."""
        self.registry_hash = 0
        """Hash of the local registry, as of `registry_hashed_at_s`."""
        self.registry_changed_s = -1e9
        """Boot-clock time in seconds at which `registry_hash` last changed."""
        self.registry_hashed_at_s = -1e9
        """Boot-clock time in seconds at which `registry_hash` was computed."""
        self.lag = ExchangeLag(BATCH_INTERVAL_S)
        """How late this gateway handles the datagrams of its peers."""
        self.fetch_task: asyncio.Task[bool] | None = None
        """Last task that fetches a peer's registry; None before the first fetch."""

    def fill_digest(self, digest: gpb.Digest, now_s: float) -> None:
        """Add the state of this gateway to a digest.

        Args:
            digest: Digest whose sequence number is set; the sequence number decides
                whether the digest is extended.
            now_s: Current boot-clock time in seconds.
        """
        state = self.state
        wall_s = state.wall_clock.read(now_s)
        digest.configuration_version = state.configuration.version
        digest.registry_hash = state.fleet.registry_hash(now_s)
        digest.draining = state.is_draining
        digest.repeats_departures = True
        digest.unreached_services.extend(state.unreached_services(now_s))
        for backend_id, heard_s in state.fleet.directly_heard_s.items():
            if now_s - heard_s < DIRECTLY_HEARD_MAX_AGE_S:
                digest.heard.append(backend_hash(backend_id))
        for backend_id, backend_state in state.fleet.states.items():
            work = backend_state.local_work()
            if work.running:
                digest.work.add(
                    backend=backend_hash(backend_id),
                    running=work.running,
                    prompt_tokens=work.prompt_tokens,
                    kv_tokens=work.kv_tokens,
                )
        digest.asked_tokens_per_s = state.token_demand.local_tokens_per_s(now_s)
        digest.sent_parts.extend(state.fleet.take_reported_parts())
        parts = reported_parts(state.quarantine, now_s)
        if parts:
            digest.suspects.CopyFrom(encode_suspects(state.quarantine, parts, now_s))
        requests = reported_requests(state.repeats, now_s)
        if requests:
            digest.suspect_requests.CopyFrom(
                encode_suspect_requests(state.repeats, requests, now_s)
            )
        named = state.backend_limits.named.statements
        if named:
            digest.named_limits.CopyFrom(state.backend_limits.encode(named, now_s))
        if state.fleet.brittle.statements:
            digest.brittle.CopyFrom(
                encode_brittle(state.fleet, state.fleet.brittle.statements, (), now_s)
            )
        if state.fleet.speeds.services:
            add_speeds(state.fleet, digest)
        scarcity.fill_digest(state, digest, now_s)
        is_extended = digest.sequence % EXTENDED_DIGEST_INTERVAL == 0
        window_count = (
            WINDOWS_PER_EXTENDED_DIGEST if is_extended else WINDOWS_PER_DIGEST
        )
        last_omitted = state.usage.window_at(wall_s) - window_count
        for number, counts in state.usage.local_counts.items():
            if number > last_omitted:
                window = digest.windows.add(number=number)
                for name, count in counts.items():
                    window.counts.add(client_account=name, count=count)
        member = self.member
        if member is not None:
            digest.member.CopyFrom(member.member_record)
            digest.founded = member.is_in_group
            digest.replaces_draining_voters = True
            digest.voters.extend(member.committed_voters)
            if member.core is not None:
                digest.term = member.core.term
                digest.leader_address = member.leader_address
        if not state.configuration.version:
            digest.founding_part = self._founding_part()
        if self.rollouts is not None:
            self.rollouts.fill_digest(digest, now_s)

    def _founding_part(self) -> gpb.FoundingPart.ValueType:
        if self.member is not None:
            return self.member.founding.part
        if self.has_disk:
            return gpb.FOUNDING_PART_UNKNOWN
        return gpb.FOUNDING_PART_WITNESS

    def stamp_digest(self, digest: gpb.Digest, now_s: float) -> None:
        """Set what has to be as of the sending of a digest.

        This is its time on the corrected wall clock, and what has to bind the peers
        soon: in a large deployment, sending a digest to all takes over a second.
        """
        state = self.state
        digest.sent_at_ms = int(state.wall_clock.read(now_s) * 1000)
        digest.configuration_version = state.configuration.version
        digest.draining = state.is_draining
        fill_departures(state.fleet, digest, now_s)

    def on_digest(self, digest: gpb.Digest, now_s: float) -> None:
        """Apply the digest of a peer gateway."""
        state = self.state
        self.lag.on_digest(state.wall_clock.read(now_s) - digest.sent_at_ms / 1000)
        state.wall_clock.on_peer_time(digest.host, digest.sent_at_ms / 1000, now_s)
        state.fleet.on_heard_by_peer(digest.heard, now_s)
        state.peer_paths.on_report(digest.host, digest.unreached_services, now_s)
        work = [
            (each.backend, Work(each.running, each.prompt_tokens, each.kv_tokens))
            for each in digest.work
        ]
        state.fleet.on_peer_work(digest.host, work, now_s)
        state.token_demand.on_peer_report(digest.host, digest.asked_tokens_per_s, now_s)
        state.fleet.on_peer_sent_parts(digest.sent_parts)
        apply_suspects(state.quarantine, digest.suspects, now_s)
        apply_suspect_requests(state.repeats, digest.suspect_requests, now_s)
        state.backend_limits.on_reported(digest.named_limits.limits, now_s)
        apply_brittle(state.fleet, digest.brittle, now_s)
        if digest.speed_backends:
            apply_speeds(state.fleet, digest, now_s)
        scarcity.on_digest(state, digest, now_s)
        gateway_start = f"{digest.host}@{digest.started_ms}"
        for window in digest.windows:
            counts = {each.client_account: each.count for each in window.counts}
            state.usage.on_peer_counts(gateway_start, window.number, counts)
        self.on_version(digest.configuration_version, digest.link_address)
        if self.member is not None and digest.member.id:
            # A member that was just added learns the addresses of the other members
            # only from digests.
            self.member.transport.update_addresses([digest.member])
        if self.rollouts is not None:
            self.rollouts.on_permissions(digest.rollouts, now_s)
            self.rollouts.on_reports(digest.rollout_reports)
        if digest.HasField("departures"):
            self.on_departures(
                digest.departures, DepartureSource.DIGEST, digest.host, now_s
            )
        self._compare_registries(digest, now_s)

    def on_departures(
        self,
        departures: gpb.Departures,
        source: DepartureSource,
        peer: str,
        now_s: float,
    ) -> None:
        """Apply departures that a peer states.

        Args:
            departures: The departures.
            source: How they were received.
            peer: Host or address of the peer.
            now_s: Current boot-clock time in seconds.
        """
        if apply_departures(self.state, departures, source, peer, now_s):
            self.on_changed()

    def _compare_registries(self, digest: gpb.Digest, now_s: float) -> None:
        """Fetch a peer's registry if it differs from the local one."""
        if now_s - self.registry_hashed_at_s > REGISTRY_HASH_MAX_AGE_S:
            self._hash_registry(now_s)
        if digest.registry_hash == self.registry_hash:
            return
        if now_s - self.registry_fetched_at_s < REGISTRY_FETCH_INTERVAL_S:
            return
        # The local registry may have changed since it was hashed.
        self._hash_registry(now_s)
        if digest.registry_hash == self.registry_hash:
            return
        is_settled = now_s - self.registry_changed_s >= REGISTRY_SETTLE_S
        since_fetch_s = now_s - self.registry_fetched_at_s
        if not is_settled and since_fetch_s < MAX_REGISTRY_SETTLE_S:
            return
        self.registry_fetched_at_s = now_s
        self.fetch_task = self.loop.create_task(
            self.fetch_registry(digest.link_address)
        )

    def _hash_registry(self, now_s: float) -> None:
        registry_hash = self.state.fleet.registry_hash(now_s)
        if registry_hash != self.registry_hash:
            self.registry_changed_s = now_s
        self.registry_hash, self.registry_hashed_at_s = registry_hash, now_s

    async def fetch_registry(
        self, address: str, *, with_departures: bool = False
    ) -> bool:
        """Fetch and apply the registry of a peer gateway.

        Args:
            address: Link address of the peer.
            with_departures: Also fetch all departures that the peer knows.

        Returns:
            Whether the peer answered.
        """
        link = self.links.link_to(address)
        call = gpb.NewsCall(is_starting=with_departures)
        answered = await link.call(gpb.Frame(ask_news=call), REGISTRY_FETCH_INTERVAL_S)
        if answered.is_error():
            log.info("registry_not_fetched", peer=address, reason=str(answered.error))
            return False
        self.on_backend_updates(
            answered.ok.news, DepartureSource.REGISTRY, address, boot_s()
        )
        return True

    def on_news(self, datagram: gpb.Datagram, peer: str, now_s: float) -> None:
        """Apply what a peer sends to all at once, ahead of its next digest.

        Args:
            datagram: The received datagram.
            peer: IP address and port of the peer.
            now_s: Current boot-clock time in seconds.
        """
        state, kind = self.state, datagram.WhichOneof("kind")
        if kind == "news":
            self.on_backend_updates(datagram.news, DepartureSource.UPDATE, peer, now_s)
        elif kind == "departures":
            self.on_departures(
                datagram.departures, DepartureSource.DEPARTURES, peer, now_s
            )
        elif kind == "suspects":
            apply_suspects(state.quarantine, datagram.suspects, now_s)
        elif kind == "suspect_requests":
            apply_suspect_requests(state.repeats, datagram.suspect_requests, now_s)
        elif kind == "brittle":
            apply_brittle(state.fleet, datagram.brittle, now_s)
        elif kind == "named_limits":
            state.backend_limits.on_reported(datagram.named_limits.limits, now_s)
        elif kind == "rollouts" and self.rollouts is not None:
            self.rollouts.on_permissions(datagram.rollouts, now_s)
        elif kind == "rollout_reports" and self.rollouts is not None:
            self.rollouts.on_reports(datagram.rollout_reports)

    def backend_updates(
        self, now_s: float, *, with_departures: bool = False
    ) -> gpb.BackendNews:
        """Return what another gateway needs to know of the backend servers.

        Args:
            now_s: Current boot-clock time in seconds.
            with_departures: Include all known departures, for one that starts.
        """
        news = self.state.fleet.backend_updates(now_s)
        if with_departures:
            news.known_departures.CopyFrom(
                encode_known_departures(self.state.fleet, now_s)
            )
        if self.rollouts is not None:
            self.rollouts.add_knowledge(news)
        return news

    def on_backend_updates(
        self,
        news: gpb.BackendNews,
        source: DepartureSource,
        peer: str,
        now_s: float,
    ) -> None:
        """Apply backend server updates from a peer gateway.

        Args:
            news: The updates.
            source: How they were received.
            peer: IP address and port of the peer.
            now_s: Current boot-clock time in seconds.
        """
        if self.rollouts is not None:
            self.rollouts.apply_knowledge(news, now_s)
        state, fleet = self.state, self.state.fleet
        staying = staying_ids(fleet, news)
        has_changed = fleet.on_backend_updates(news, now_s)
        if news.HasField("known_departures"):
            has_changed |= restore_departures(fleet, news.known_departures, 0.0, now_s)
        if has_changed:
            self.on_changed()
        for backend_id in staying:
            backend = fleet.view.backends.get(backend_id)
            if backend is not None and backend.leaving:
                log_departure(state, backend_id, source, peer, news.sending)
