"""What gateways tell each other in digests, and news of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backend_state import Work
from tanagerturn.gateway.fleet import backend_hash
from tanagerturn.gateway.logs import part_log
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.member import StateMember
    from tanagerturn.gateway.state import GatewayState

HEARD_S: Final = 2.0
"""Backend servers that were heard of within this time are told in digests."""

REGISTRY_PULL_S: Final = 0.5
"""Time between two fetches of another gateway's backend servers."""

HASH_KEEP_S: Final = 0.1
"""Time for which the hash of what is known here is kept: it costs 0.2 ms with 100
backend servers, and 120 digests come in a second."""

WINDOWS_TOLD: Final = 2
"""Report windows in each digest: the present one, and the one that ended last, of
which a report is made."""

OLDER_WINDOWS_TOLD: Final = 4
"""The same with older ones, for a holder that has just started."""

OLDER_EVERY: Final = 4
"""Digests of which one tells older windows; they are half of a digest's bytes."""

log = part_log("digests")


class DigestExchange:
    """Fills digests, and spreads what those of others tell among the parts.

    Args:
        state: State of the gateway.
        links: Links to other gateways.
        loop: The event loop.
        on_version: Called with a configuration version and who has it.
        on_changed: Called when a backend server is new or leaves.
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
        """Links to other gateways."""
        self.loop = loop
        """The event loop."""
        self.on_version = on_version
        """Called with configuration versions of others."""
        self.on_changed = on_changed
        """Called when a backend server is new or leaves."""
        self.member: StateMember | None = None
        """Member of the state group, on hosts with a disk."""
        self.registry_pulled_s = 0.0
        self.registry_hash = 0
        """Hash of the backend servers known here, and when it was made."""
        self.registry_hashed_s = -1e9
        self.pulling: asyncio.Task[None] | None = None
        """Fetch of another gateway's backend servers that is under way."""

    def fill(self, digest: gpb.Digest, now_s: float) -> None:
        """Add what this gateway tells to a digest."""
        state = self.state
        wall_s = state.wall_time.read(now_s)
        digest.configuration_version = state.configuration.version
        digest.registry_hash = state.fleet.registry_hash(now_s)
        digest.draining = state.is_draining
        for backend_id, heard_s in state.fleet.heard_s.items():
            if now_s - heard_s < HEARD_S:
                digest.heard.append(backend_hash(backend_id))
        for backend_id, known in state.fleet.states.items():
            work = known.own_work()
            if work.running:
                digest.work.add(
                    backend=backend_hash(backend_id),
                    running=work.running,
                    prompt_tokens=work.prompt_tokens,
                    kv_tokens=work.kv_tokens,
                )
        digest.asked_tokens_per_s = state.asked.own(now_s)
        digest.sent_parts.extend(state.fleet.take_sent_parts())
        for name, demand_per_s in state.limits.spread.demands(now_s):
            digest.accounts.add(client_account=name, demand_per_s=demand_per_s)
        tells_older = digest.sequence % OLDER_EVERY == 0
        told = OLDER_WINDOWS_TOLD if tells_older else WINDOWS_TOLD
        first = state.usage.window_at(wall_s) - told
        for number, counts in state.usage.own.items():
            if number > first:
                window = digest.windows.add(number=number)
                for name, count in counts.items():
                    window.counts.add(client_account=name, count=count)
        member = self.member
        if member is not None:
            digest.member.CopyFrom(member.description)
            digest.founded = member.is_founded
            if member.core is not None:
                digest.term = member.core.term
                digest.leader_address = member.leader_address

    def stamp(self, digest: gpb.Digest, now_s: float) -> None:
        """Add the time at which a digest is sent."""
        digest.sent_at_ms = int(self.state.wall_time.read(now_s) * 1000)

    def on_digest(self, digest: gpb.Digest, now_s: float) -> None:
        """Take what another gateway tells."""
        state = self.state
        state.wall_time.on_heard(digest.host, digest.sent_at_ms / 1000, now_s)
        state.fleet.on_heard(digest.heard, now_s)
        work = [
            (each.backend, Work(each.running, each.prompt_tokens, each.kv_tokens))
            for each in digest.work
        ]
        state.fleet.on_work(digest.host, work, now_s)
        state.asked.on_told(digest.host, digest.asked_tokens_per_s, now_s)
        state.fleet.on_sent_parts(digest.sent_parts)
        demands = [(each.client_account, each.demand_per_s) for each in digest.accounts]
        state.limits.spread.on_demand(digest.host, demands, now_s)
        start = f"{digest.host}@{digest.started_ms}"
        for window in digest.windows:
            counts = {each.client_account: each.count for each in window.counts}
            state.usage.on_told(start, window.number, counts)
        self.on_version(digest.configuration_version, digest.link_address)
        if self.member is not None and digest.member.id:
            # A member that was just added does not know the others otherwise.
            self.member.transport.learn([digest.member])
        self._compare_registries(digest, now_s)

    def _compare_registries(self, digest: gpb.Digest, now_s: float) -> None:
        if now_s - self.registry_hashed_s > HASH_KEEP_S:
            self._hash_registry(now_s)
        if digest.registry_hash == self.registry_hash:
            return
        if now_s - self.registry_pulled_s < REGISTRY_PULL_S:
            return
        # What was hashed may have changed since.
        self._hash_registry(now_s)
        if digest.registry_hash == self.registry_hash:
            return
        self.registry_pulled_s = now_s
        self.pulling = self.loop.create_task(self.pull_registry(digest.link_address))

    def _hash_registry(self, now_s: float) -> None:
        self.registry_hash = self.state.fleet.registry_hash(now_s)
        self.registry_hashed_s = now_s

    async def pull_registry(self, address: str) -> None:
        """Fetch another gateway's backend servers."""
        link = self.links.to(address)
        answered = await link.call(gpb.Frame(ask_news=gpb.NewsCall()), REGISTRY_PULL_S)
        if answered.is_error():
            log.info("registry_not_fetched", peer=address, reason=str(answered.error))
            return
        self.on_news(answered.ok.news, boot_s())

    def on_news(self, news: gpb.BackendNews, now_s: float) -> None:
        """Take news of backend servers."""
        if self.state.fleet.on_news(news, now_s):
            self.on_changed()
