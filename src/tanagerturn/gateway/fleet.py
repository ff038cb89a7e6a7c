"""State of the backend servers as one gateway knows it, merged from all sources.

The sources are announcements received by any gateway, this gateway's requests,
digests of the requests of peer gateways, failures, and the prompt parts that each
engine was sent.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.clocks import to_ms
from tanagerturn.gateway.backends.speeds import Speeds
from tanagerturn.gateway.backends.state import (
    PEER_WORK_MAX_AGE_S,
    BackendState,
    InFlightRequest,
    Work,
    part_hash,
)
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.backends._check import SEQUENCE_MAX
from tanagerturn.serving.backends.departures import Departures, StartKey, start_key
from tanagerturn.serving.backends.messages import BackendId
from tanagerturn.serving.backends.paths import Paths
from tanagerturn.serving.backends.view import make_backend_view
from tanagerturn.serving.limits.brittle import BrittleServices
from tanagerturn.serving.routing.spread import plain_load

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from tanagerturn.gateway.messages import LoadHint, Prompt
    from tanagerturn.schema import serving_pb2
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.departures import Departure
    from tanagerturn.serving.backends.messages import SoftwareVersion
    from tanagerturn.serving.backends.view import BackendView

UNREACHABLE_BACKOFF_S: Final = 0.4
"""Time in seconds for which a backend server gets no requests after it was
unreachable once; each further unreachable attempt in a row doubles the time."""

MAX_UNREACHABLE_BACKOFF_S: Final = 3.0
"""Upper bound in seconds of the backoff after unreachable attempts; a crashed backend
server is reachable again within seconds."""

SILENT_MAX_AGE_S: Final = 8.0
"""Time in seconds after its last message or successful response at which a backend
server is forgotten. Until then it gets requests when no other one is available: a
backend server that can't reach the control listener may still serve."""

EXPIRY_INTERVAL_S: Final = 0.5
"""Interval in seconds at which silent backend servers are looked for."""

INITIAL_DIGEST_INTERVAL_S: Final = 0.35
"""Time in seconds between two digests of a peer gateway that is assumed at first."""

SENT_PART_DIGESTS: Final = 2
"""Number of digests that report each sent prompt part; a datagram may get lost."""

DEFAULT_KV_CAPACITY_TOKENS: Final = 400_000
"""KV cache capacity in tokens that is assumed of an engine if the configuration states
none."""

PROMPT_PART_CACHE_FRACTION: Final = 0.7
"""Fraction of an engine's KV cache that is expected to hold prompt parts; running
requests take up the remainder."""


MAX_STARTS_PER_BACKEND: Final = 3
"""Number of known starts per backend server from which replaced ones are forgotten."""


@dataclass(frozen=True)
class StatedDeparture:
    """Departure that a backend server stated in a response."""

    backend_id: BackendId
    """The backend server."""
    start: StartKey
    """The start that leaves."""
    announcement: serving_pb2.Announcement | None
    """Its announcement with the departure; None if this start is not known."""


class Fleet:
    """All backend servers known to one gateway.

    Args:
        host: Host of the gateway.
    """

    def __init__(self, host: str = "") -> None:
        self.view: BackendView = make_backend_view()
        """Last announcement and ejections of each backend server."""
        self.states: dict[BackendId, BackendState] = {}
        """Requests in flight, cached prompt parts and failures by backend server id."""
        self.blocked_ids: set[BackendId] = set()
        """Backend servers that were unreachable since their last success."""
        self.brittle = BrittleServices(host)
        """Services whose backend servers fail when they reject many requests."""
        self.paths = Paths()
        """Backend servers that this gateway fails to open connections to."""
        self.directly_heard_s: dict[BackendId, float] = {}
        """Boot-clock time of the last announcement that this gateway received from
        the backend server itself, in seconds."""
        self.id_by_hash: dict[int, BackendId] = {}
        """Backend server ids by their hash, which stands for them in digests."""
        self.worked_at: dict[str, frozenset[BackendId]] = {}
        """Backend servers in the latest digest of each peer gateway; most peers report
        a few only."""
        self.peers_heard_s: dict[str, float] = {}
        """Boot-clock time of the latest digest of each peer gateway in seconds."""
        self.digest_interval_s = INITIAL_DIGEST_INTERVAL_S
        """Moving average of the time between two digests of a peer in seconds."""
        self.speeds = Speeds()
        """Speeds of the backend servers that report them."""
        self.next_expiry_s = 0.0
        """Boot-clock time in seconds at which silent backend servers are looked for."""
        self.entry_hashes: dict[BackendId, tuple[tuple[int, str, bool], int]] = {}
        """Hash of each backend server in the registry, and what it was computed of."""
        self.reported_parts: list[tuple[gpb.SentPart, int]] = []
        """Sent prompt parts to report to peers, each with the number of digests that
        still have to report it."""
        self.departures = Departures()
        """Departures of backend servers that this gateway knows."""
        self.id_by_start: dict[StartKey, BackendId] = {}
        """Backend server ids by the hash of their start, as departures state it."""
        self.stated_departures: list[StatedDeparture] = []
        """Departures of backend servers that stated in a response that they leave,
        until peers are informed."""
        self.replaced: list[Backend] = []
        """Backend servers whose id or address another start has taken although they
        never said that they leave, until `take_replaced`."""
        self.change_count = 0
        """Number of announcements that were new or changed where requests may go."""
        self.kv_capacity_tokens: dict[str, int] = {}
        """KV cache capacity of one engine in tokens by service, as configured; 0 if not
        stated."""

    def on_announcement(
        self, announcement: serving_pb2.Announcement, now_s: float, *, heard: bool
    ) -> bool:
        """Apply an announcement of a backend server.

        Args:
            announcement: The announcement; an outdated one is ignored.
            now_s: Current boot-clock time in seconds.
            heard: The announcement came from the backend server itself, not from a
                peer gateway.

        Returns:
            Whether peers have to be informed immediately: the backend server is new, or
            its address, its offer or its leaving state changed.
        """
        earlier = self.view.earlier_starts(announcement)
        applied_announcement = self.view.on_announcement(announcement, to_ms(now_s))
        if applied_announcement.is_error() or not applied_announcement.ok.applied:
            return False
        self.replaced += [each for each in earlier if not each.leaving]
        backend_id = BackendId(announcement.id)
        self.id_by_hash[backend_hash(backend_id)] = backend_id
        if heard:
            self.directly_heard_s[backend_id] = now_s
        self.change_count += applied_announcement.ok.eligibility_changed
        if earlier:
            self.paths.on_restarted(backend_id)
        self._on_start_known(self.view.backends[backend_id], now_s)
        return applied_announcement.ok.eligibility_changed

    def on_withdrawal(
        self,
        backend_id: BackendId,
        born_ms: int,
        leaving_in_ms: int,
        now_s: float,
        sequence: int = SEQUENCE_MAX,
    ) -> serving_pb2.Announcement | None:
        """Mark a backend server as leaving after it announced its own stop.

        Args:
            backend_id: Backend server that withdrew.
            born_ms: Wall-clock start time of the process that withdrew, in
                milliseconds; 0 if unknown.
            leaving_in_ms: Time in milliseconds until the backend server is expected to
                stop.
            now_s: Current boot-clock time in seconds.
            sequence: Sequence number of the announcement that states it; the highest
                one by default, since no other announcement will follow.

        Returns:
            The announcement to send to peers; None if the backend server is unknown to
            this gateway, or a later start of the backend server is known.
        """
        backend = self.view.backends.get(backend_id)
        if backend is None:
            return None
        announced = backend.announcement
        if born_ms and announced.born_ms and born_ms < announced.born_ms:
            return None
        leaving = type(announced)()
        leaving.CopyFrom(announced)
        leaving.leaving = True
        leaving.leaving_in_ms = leaving_in_ms
        leaving.sequence = sequence
        self.on_announcement(leaving, now_s, heard=False)
        return leaving

    def is_in_force(self, announcement: serving_pb2.Announcement) -> bool:
        """Return whether an announcement, or a later one of the same start, applies."""
        known = self.view.backends.get(BackendId(announcement.id))
        if known is None or known.incarnation != announcement.incarnation:
            return False
        return known.leaving or not announcement.leaving

    def on_leaving_stated(
        self, backend_id: BackendId, born_ms: int, leaving_in_ms: int, now_s: float
    ) -> None:
        """Record the departure of a backend server that stated it in a response.

        The start that made the response may have been forgotten, or never known: its
        later announcements are then those of a backend server that leaves.

        Args:
            backend_id: Backend server that made the response.
            born_ms: Wall-clock time of its start in milliseconds.
            leaving_in_ms: Time in milliseconds until it is expected to stop.
            now_s: Current boot-clock time in seconds.
        """
        start = start_key(backend_id, born_ms)
        known = self.backend_of(start)
        if start in self.departures.by_start and (known is None or known.leaving):
            return
        announcement = None
        if known is not None:
            # The backend server goes on to announce itself.
            sequence = known.sequence + 1
            announcement = self.on_withdrawal(
                backend_id, born_ms, leaving_in_ms, now_s, sequence
            )
        self.departures.record(start, now_s + leaving_in_ms / 1000, now_s)
        self.stated_departures.append(StatedDeparture(backend_id, start, announcement))

    def on_departed(
        self, start: StartKey, stops_at_s: float, now_s: float
    ) -> Backend | None:
        """Record a departure that a peer stated, also of a start that is not known yet.

        Args:
            start: The start that leaves.
            stops_at_s: Boot-clock time in seconds at which it is expected to stop.
            now_s: Current boot-clock time in seconds.

        Returns:
            The backend server if it was not known to leave; None otherwise.
        """
        if not self.departures.record(start, stops_at_s, now_s):
            return None
        backend = self.backend_of(start)
        if backend is None or backend.leaving:
            return None
        self._mark_leaving(backend, stops_at_s)
        return backend

    def on_departures_restored(self, departures: Iterable[Departure]) -> bool:
        """Record departures that were known before a restart, here or at a peer.

        Returns:
            Whether a known backend server leaves by them.
        """
        has_changed = False
        for departure in self.departures.restore(departures):
            backend = self.backend_of(departure.start)
            if backend is not None and not backend.leaving:
                self._mark_leaving(backend, departure.stops_at_s)
                has_changed = True
        return has_changed

    def on_departure_reported(self, start: StartKey, stops_at_s: float) -> None:
        """Record when a leaving backend server stops, as it reported to a peer."""
        if not self.departures.report(start, stops_at_s):
            return
        backend = self.backend_of(start)
        if backend is not None:
            backend.on_departure(to_ms(stops_at_s))

    def backend_of(self, start: StartKey) -> Backend | None:
        """Return the backend server of a start; None if unknown or replaced."""
        backend = self.view.backends.get(self.id_by_start.get(start, BackendId("")))
        return backend if backend is not None and start_of(backend) == start else None

    def take_replaced(self) -> list[Backend]:
        """Return the backend servers that were replaced without leaving; clear them."""
        replaced, self.replaced = self.replaced, []
        return replaced

    def on_departure(self, departure: gpb.Departure, now_s: float) -> None:
        """Record the departure time that a backend server itself reported."""
        backend = self.view.backends.get(BackendId(departure.backend))
        if backend is None or backend.announcement.born_ms != departure.born_ms:
            return
        stops_at_s = now_s + departure.leaving_in_ms / 1000
        backend.on_departure(to_ms(stops_at_s))
        self.departures.record(start_of(backend), stops_at_s, now_s)
        self.departures.report(start_of(backend), stops_at_s)

    def on_heard_by_peer(self, hashes: Iterable[int], now_s: float) -> None:
        """Record that a peer gateway heard from backend servers directly.

        Args:
            hashes: Hashes of the backend server ids; unknown ones are ignored.
            now_s: Current boot-clock time in seconds.
        """
        for number in hashes:
            backend = self.view.backends.get(self.id_by_hash.get(number, BackendId("")))
            if backend is not None:
                backend.record_heartbeat(to_ms(now_s))

    def on_peer_work(
        self, gateway: str, work: Iterable[tuple[int, Work]], now_s: float
    ) -> None:
        """Replace the outstanding work of a peer gateway by that in its latest digest.

        Args:
            gateway: Host of the peer gateway.
            work: Hash of each backend server's id with the outstanding work of the
                peer's requests there.
            now_s: Current boot-clock time in seconds.
        """
        previous = self.worked_at.get(gateway, frozenset())
        reported: dict[BackendId, Work] = {}
        for number, each in work:
            backend_id = self.id_by_hash.get(number)
            if backend_id is not None:
                reported[backend_id] = each
        for backend_id in previous - reported.keys():
            if backend_id in self.states:
                self.states[backend_id].set_peer_work(gateway, None, now_s)
        for backend_id, each in reported.items():
            if backend_id in self.view.backends:
                self.state(backend_id).set_peer_work(gateway, each, now_s)
        self.worked_at[gateway] = frozenset(reported)
        heard_s = self.peers_heard_s.get(gateway)
        self.peers_heard_s[gateway] = now_s
        if heard_s is not None:
            interval_s = min(PEER_WORK_MAX_AGE_S, now_s - heard_s)
            self.digest_interval_s += 0.02 * (interval_s - self.digest_interval_s)

    def on_forwarded(
        self,
        backend: Backend,
        attempt: str,
        prompt: Prompt | None,
        now_s: float,
        expected_s: float = 0.0,
        time_factor: float = 1.0,
    ) -> None:
        """Record a request that is about to be forwarded as in flight.

        Args:
            backend: Backend server that receives the request.
            attempt: Id of the caller's attempt.
            prompt: Prompt of a generation; None for plain requests.
            now_s: Current boot-clock time in seconds.
            expected_s: Expected time to the first event in seconds, at pace 1; 0 if
                unknown.
            time_factor: Factor of the backend server's speed, which `expected_s`
                contains; 0 if the time to the first event is not to be learned from.
        """
        state = self.state(backend.id)
        base_s, momentary = 0.0, 0.0
        speeds = self.speeds.active(service_of(backend))
        if speeds is not None:
            momentary = self.speeds.of(backend).momentary(speeds.decay, now_s)
            base_s = expected_s / time_factor if time_factor else 0.0
        if prompt is None:
            if speeds is not None:
                running = state.total_work(now_s).running
                base_s = plain_load(running, backend.slots)
            request = InFlightRequest(now_s, 0, 0, base_s=base_s, momentary=momentary)
            state.add_request(attempt, request)
            return
        cached = state.cached_tokens(prompt.parts)
        tokens_to_read = max(0, prompt.prompt_tokens - cached)
        output = prompt.expected_output_tokens or prompt.max_output_tokens
        kv_tokens = prompt.prompt_tokens + output
        if speeds is not None:
            asked_tokens = prompt.prompt_tokens + prompt.max_output_tokens
            rate = self.speeds.rates[service_of(backend)]
            rate.on_sent(asked_tokens, tokens_to_read, now_s)
        request = InFlightRequest(
            now_s, tokens_to_read, kv_tokens, expected_s, base_s, momentary
        )
        state.add_request(attempt, request)
        capacity = int(PROMPT_PART_CACHE_FRACTION * self.kv_capacity_of(backend))
        last = len(prompt.parts) - 1
        for index, part in enumerate(prompt.parts):
            number = part_hash(part.id)
            # The last part occurs only in this request, so peers need not know of it.
            if state.record_part(number, part.tokens, capacity) and index < last:
                reported = gpb.SentPart(
                    backend=backend_hash(backend.id), part=number, tokens=part.tokens
                )
                self.reported_parts.append((reported, SENT_PART_DIGESTS))

    def take_reported_parts(self) -> list[gpb.SentPart]:
        """Return the sent prompt parts for the next digest and count them down.

        Each part is returned `SENT_PART_DIGESTS` times.
        """
        parts = [part for part, _ in self.reported_parts]
        remaining = [(part, digests - 1) for part, digests in self.reported_parts]
        self.reported_parts = [
            (part, digests) for part, digests in remaining if digests > 0
        ]
        return parts

    def on_peer_sent_parts(self, sent: Iterable[gpb.SentPart]) -> None:
        """Record the prompt parts that a peer gateway sent to engines."""
        for each in sent:
            backend_id = self.id_by_hash.get(each.backend, BackendId(""))
            backend = self.view.backends.get(backend_id)
            if backend is not None:
                capacity = int(
                    PROMPT_PART_CACHE_FRACTION * self.kv_capacity_of(backend)
                )
                self.state(backend_id).record_part(each.part, each.tokens, capacity)

    def on_first_event(self, backend_id: BackendId, attempt: str, now_s: float) -> None:
        """Record the first event of a local request: its prompt has been read."""
        state = self.state(backend_id)
        request = state.on_first_event(attempt)
        if request is not None:
            state.pace.on_first_event(
                now_s - request.sent_at_s, request.expected_s, now_s
            )
            backend = self.view.backends.get(backend_id)
            if backend is not None and not backend.announcement.warmup_left_ms:
                self.speeds.on_first_event(backend, service_of(backend), request, now_s)

    def on_stream_ended(
        self,
        backend: Backend,
        attempt: str,
        event_s: float,
        event_count: int,
        now_s: float,
    ) -> None:
        """Record the end of the stream of a local request.

        Args:
            backend: Backend server that sent it.
            attempt: Id of the caller's attempt.
            event_s: Time from the first to the last event in seconds.
            event_count: Number of events.
            now_s: Current boot-clock time in seconds.
        """
        request = self.state(backend.id).in_flight.get(attempt)
        if request is not None:
            self.speeds.on_stream_ended(
                backend, service_of(backend), request, event_s, event_count, now_s
            )

    def on_whole_response(self, backend: Backend, attempt: str, now_s: float) -> None:
        """Record a complete response to a plain request."""
        request = self.state(backend.id).in_flight.get(attempt)
        if request is not None:
            self.speeds.on_whole_response(backend, service_of(backend), request, now_s)

    def on_request_ended(self, backend_id: BackendId, attempt: str) -> None:
        """Remove a local request that is no longer in flight."""
        self.state(backend_id).remove_request(attempt)

    def on_success(self, backend_id: BackendId, now_s: float) -> None:
        """Record a successful response; it resets the backoff and failure counts."""
        state = self.state(backend_id)
        state.consecutive_unreachable = 0
        state.blocked_until_s = 0.0
        self.blocked_ids.discard(backend_id)
        state.last_success_s = now_s
        self.view.outliers.count_success(backend_id, now_s)

    def on_failure(self, backend: Backend, now_s: float) -> None:
        """Record a request that a backend server failed; several in a row eject it."""
        peers = [b.id for b in self.view.pool(service_of(backend))]
        self.view.outliers.count_failure(backend.id, peers, now_s)

    def on_unreachable(self, backend_id: BackendId, now_s: float) -> None:
        """Send no requests to an unreachable or silent backend server for a backoff."""
        state = self.state(backend_id)
        backoff_s = min(
            MAX_UNREACHABLE_BACKOFF_S,
            UNREACHABLE_BACKOFF_S * 2**state.consecutive_unreachable,
        )
        state.consecutive_unreachable = min(state.consecutive_unreachable + 1, 8)
        state.doubted_since_s = now_s
        state.blocked_until_s = now_s + backoff_s
        self.blocked_ids.add(backend_id)

    def on_path_opened(self, backend_id: BackendId, begun_s: float) -> None:
        """Record that a connection was opened; it ends the backoff of unreached ones.

        Args:
            backend_id: Backend server that accepted it.
            begun_s: Boot-clock time in seconds at which the attempt began.
        """
        if not self.paths.is_open(backend_id):
            state = self.state(backend_id)
            state.consecutive_unreachable = 0
            state.blocked_until_s = 0.0
            self.blocked_ids.discard(backend_id)
        self.paths.on_opened(backend_id, begun_s)

    def on_broken(self, backend: Backend, now_s: float) -> None:
        """Record a response that a backend server broke off; it counts as a failure."""
        self.state(backend.id).doubted_since_s = now_s
        self.on_failure(backend, now_s)

    def unfit_ids(
        self, service: str, software_version: SoftwareVersion, now_s: float
    ) -> set[BackendId]:
        """Return the backend servers at which a stream of a version must not go on.

        Those that may have been replaced by another start are left out as well, unless
        they are the only ones, and all are of this version.
        """
        pool = self.view.pool(service)
        fit = [b for b in pool if b.software_version == software_version]
        trusted = {
            b.id
            for b in fit
            if b.is_alive(to_ms(now_s))
            and b.last_heard_ms / 1000 > self.state(b.id).doubted_since_s
        }
        if not trusted and len(fit) == len(pool):
            return set()
        return {b.id for b in pool if b.id not in trusted}

    def on_load_hint(self, backend: Backend, hint: LoadHint, now_s: float) -> None:
        """Record the load that a backend server reported in a response."""
        backend.record_load(hint.running, hint.waiting)
        if hint.time_percent is not None:
            self.speeds.on_report(backend, hint.time_percent, now_s)

    def expire(self, now_s: float) -> None:
        """Forget backend servers that were silent for more than `SILENT_MAX_AGE_S`."""
        if now_s < self.next_expiry_s:
            return
        self.next_expiry_s = now_s + EXPIRY_INTERVAL_S
        self.brittle.expire(self.view.backends, now_s)
        for backend in list(self.view.backends.values()):
            last_seen_s = max(
                backend.last_heard_ms / 1000, self.state(backend.id).last_success_s
            )
            if now_s - last_seen_s > SILENT_MAX_AGE_S:
                self.view.forget(backend.id)
                self.states.pop(backend.id, None)
                self.speeds.forget(backend.id)
                self.blocked_ids.discard(backend.id)
                self.directly_heard_s.pop(backend.id, None)
                self.id_by_hash.pop(backend_hash(backend.id), None)
                self.entry_hashes.pop(backend.id, None)
                self.id_by_start.pop(start_of(backend), None)
        if len(self.id_by_start) > MAX_STARTS_PER_BACKEND * len(self.view.backends):
            # Those that later starts have replaced.
            known = self.view.backends.values()
            self.id_by_start = {start_of(backend): backend.id for backend in known}

    def state(self, backend_id: BackendId) -> BackendState:
        """Return the state of a backend server; an empty one is added if missing."""
        backend_state = self.states.get(backend_id)
        if backend_state is None:
            backend_state = self.states[backend_id] = BackendState()
        return backend_state

    def candidates(
        self, service: str, excluded: Iterable[BackendId], now_s: float
    ) -> list[Backend]:
        """Return the backend servers that may get a request now.

        Leaving ones are never returned. Silent, blocked and ejected ones are returned
        only if no other one remains.

        Args:
            service: Service of the request.
            excluded: Ids of backend servers that must not get the request.
            now_s: Current boot-clock time in seconds.
        """
        excluded_ids, now_ms = frozenset(excluded), to_ms(now_s)
        view, outliers = self.view, self.view.outliers
        avoided = excluded_ids.union(
            (i for i in self.blocked_ids if now_s < self.state(i).blocked_until_s),
            (i for i in outliers.health if outliers.is_ejected(i, now_s)),
        )
        # Usually some are in best order, which one pass without calls finds.
        best = [
            b
            for b in view.pool(service)
            if now_ms < b.expires_ms and not b.leaving and b.id not in avoided
        ]
        if view.notices:
            best = [b for b in best if not view.is_leaving(b)]
        if best:
            return best
        eligible = [
            b
            for b in self.view.pool(service)
            if b.id not in excluded_ids and not self.view.is_leaving(b)
        ]
        alive = [b for b in eligible if b.is_alive(now_ms)] or eligible
        unblocked = [b for b in alive if now_s >= self.state(b.id).blocked_until_s]
        healthy = [b for b in unblocked if not outliers.is_ejected(b.id, now_s)]
        return healthy or unblocked or alive

    def is_healthy(self, backend: Backend, now_s: float) -> bool:
        """Return whether a backend server is neither silent, blocked nor ejected."""
        return (
            backend.is_alive(to_ms(now_s))
            and now_s >= self.state(backend.id).blocked_until_s
            and not self.view.outliers.is_ejected(backend.id, now_s)
        )

    def with_room(self, backends: Sequence[Backend], now_s: float) -> Sequence[Backend]:
        """Return the backend servers that may get a request without rejecting it.

        Those that are not brittle may reject requests.

        Args:
            backends: Backend servers of one service.
            now_s: Current boot-clock time in seconds.
        """
        if not backends or not self.brittle.is_brittle(service_of(backends[0]), now_s):
            return backends
        return [
            backend
            for backend in backends
            if self.brittle.has_room(
                backend.id,
                backend.slots,
                len(self.state(backend.id).in_flight),
                now_s,
            )
        ]

    def owns_no_slots(self, service: str, now_s: float) -> bool:
        """Return whether all slots of a brittle service belong to other gateways."""
        return self.brittle.is_brittle(service, now_s) and not any(
            self.brittle.own_slots(backend.id, backend.slots)
            for backend in self.view.pool(service)
            if backend.is_alive(to_ms(now_s)) and not backend.leaving
        )

    def kv_capacity_of(self, backend: Backend) -> int:
        """Return the KV cache capacity of an engine in tokens."""
        return (
            self.kv_capacity_tokens.get(service_of(backend))
            or DEFAULT_KV_CAPACITY_TOKENS
        )

    def registry_hash(self, now_s: float) -> int:
        """Return a hash of the live backend servers.

        The hash is equal at gateways that know the same id, start, address and leaving
        state of each.
        """
        total, now_ms = 0, to_ms(now_s)
        for backend in self.view.backends.values():
            if backend.is_alive(now_ms):
                total ^= self._entry_hash(backend)
        return total

    def _entry_hash(self, backend: Backend) -> int:
        announced = backend.announcement
        key = (announced.born_ms, announced.address, backend.leaving)
        known = self.entry_hashes.get(backend.id)
        if known is not None and known[0] == key:
            return known[1]
        text = "|".join((announced.id, *map(str, key)))
        entry_hash = xxhash.xxh64_intdigest(text.encode())
        self.entry_hashes[backend.id] = key, entry_hash
        return entry_hash

    def backend_updates(self, now_s: float) -> gpb.BackendNews:
        """Return the last announcement of each live backend server.

        Each one has the time in milliseconds since the backend server was last heard
        from.
        """
        news = gpb.BackendNews()
        for backend in self.view.backends.values():
            if backend.is_alive(to_ms(now_s)):
                news.announcements.append(backend.announcement)
                news.heard_ago_ms.append(max(0, to_ms(now_s) - backend.last_heard_ms))
        return news

    def _on_start_known(self, backend: Backend, now_s: float) -> None:
        """Reconcile a start, which may have just become known, with the departures."""
        start = start_of(backend)
        self.id_by_start[start] = backend.id
        if backend.leaving:
            stops_at_ms = backend.stops_at_ms
            stops_at_s = now_s if stops_at_ms is None else stops_at_ms / 1000
            self.departures.record(start, stops_at_s, now_s)
            return
        departure = self.departures.by_start.get(start)
        if departure is not None:
            # A late announcement, or one of a peer that does not know the departure.
            self._mark_leaving(backend, departure.stops_at_s)

    def _mark_leaving(self, backend: Backend, stops_at_s: float) -> None:
        """Mark a backend server as leaving, without a message of its own."""
        heard_s = backend.last_heard_ms / 1000
        leaving_in_ms = max(0, to_ms(stops_at_s - heard_s))
        self.on_withdrawal(
            backend.id,
            backend.announcement.born_ms,
            leaving_in_ms,
            heard_s,
            backend.sequence,
        )

    def on_backend_updates(self, news: gpb.BackendNews, now_s: float) -> bool:
        """Apply backend server updates from a peer gateway or a warm start.

        Returns:
            Whether a backend server is new or its address, its offer or its leaving
            state changed.
        """
        has_changed = False
        silences_ms = list(news.heard_ago_ms) or [0] * len(news.announcements)
        for announcement, silence_ms in zip(
            news.announcements, silences_ms, strict=True
        ):
            if self.view.is_stale(announcement):
                continue
            heard_s = now_s - silence_ms / 1000
            has_changed |= self.on_announcement(announcement, heard_s, heard=False)
            if announcement.leaving:
                start = start_key(BackendId(announcement.id), announcement.born_ms)
                self.departures.confirm(start)
        for departure in news.departures:
            self.on_departure(departure, now_s)
        return has_changed


def backend_hash(backend_id: BackendId) -> int:
    """Return the hash that stands for a backend server in digests."""
    return xxhash.xxh64_intdigest(backend_id.encode())


def start_of(backend: Backend) -> StartKey:
    """Return the hash of a backend server's present start."""
    return start_key(backend.id, backend.announcement.born_ms)


def service_of(backend: Backend) -> str:
    """Return the first service that a backend server announces; empty if none."""
    services = backend.announcement.services
    return services[0] if services else ""
