"""What a gateway knows of the backend servers, from all sources together.

Announcements that came to any gateway, own requests at once, requests of the
other gateways by their digests, failures, and which prompt parts were sent where.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.clocks import to_ms
from tanagerturn.gateway.backend_state import BackendState, Sent, Work, part_hash
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.backends.messages import BackendId
from tanagerturn.serving.backends.view import make_backend_view

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.gateway.messages import LoadHint, Prompt
    from tanagerturn.schema import serving_pb2
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.view import BackendView

UNREACHED_S: Final = 0.4
"""Time for which a backend server that could not be reached gets no requests; it
doubles with each further failure."""

UNREACHED_MOST_S: Final = 3.0
"""Longest of these times; a crashed backend server is back after some seconds."""

SILENT_KEEP_S: Final = 8.0
"""Time after its last sign of life for which a backend server is still used when
no other one is at hand; one cut off from control may still serve."""

TOLD_TIMES: Final = 2
"""Digests in which a part is told: one may get lost."""

DEFAULT_KV_TOKENS: Final = 400_000
"""Memory assumed of an engine when the configuration does not tell it."""

KEPT_SHARE: Final = 0.7
"""Part of an engine's memory expected to hold prompt parts; the rest is taken by
running requests."""


class Fleet:
    """All backend servers, as one gateway knows them."""

    def __init__(self) -> None:
        self.view: BackendView = make_backend_view()
        """Announced values and ejections."""
        self.states: dict[BackendId, BackendState] = {}
        """Requests and failures by backend server."""
        self.heard_s: dict[BackendId, float] = {}
        """When an announcement came to this gateway itself."""
        self.by_hash: dict[int, BackendId] = {}
        """Backend servers by the hash of their id."""
        self.sent_parts: list[tuple[gpb.SentPart, int]] = []
        """Parts that others are to be told, and how often."""
        self.kv_tokens: dict[str, int] = {}
        """Memory of one engine by service."""

    def on_announcement(
        self, announcement: serving_pb2.Announcement, now_s: float, *, heard: bool
    ) -> bool:
        """Take an announcement.

        Args:
            announcement: The announcement; a late one is ignored.
            now_s: Present boot clock.
            heard: It came from the backend server itself.

        Returns:
            Whether other gateways have to know of it at once.
        """
        taken = self.view.on_announcement(announcement, to_ms(now_s))
        if taken.is_error() or not taken.ok.applied:
            return False
        backend_id = BackendId(announcement.id)
        self.by_hash[backend_hash(backend_id)] = backend_id
        if heard:
            self.heard_s[backend_id] = now_s
        return taken.ok.eligibility_changed

    def on_withdrawal(
        self, backend_id: BackendId, born_ms: int, leaving_in_ms: int, now_s: float
    ) -> serving_pb2.Announcement | None:
        """Take the word of a backend server that it ends.

        Returns:
            The announcement that tells others; None when it is not known here or
            a later start of it is.
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
        leaving.sequence = announced.sequence + 1
        self.on_announcement(leaving, now_s, heard=False)
        return leaving

    def on_departure(self, departure: gpb.Departure, now_s: float) -> None:
        """Take the time at which a backend server ends, as it told."""
        backend = self.view.backends.get(BackendId(departure.backend))
        if backend is None or backend.announcement.born_ms != departure.born_ms:
            return
        backend.on_departure(to_ms(now_s) + departure.leaving_in_ms)

    def on_heard(self, hashes: Iterable[int], now_s: float) -> None:
        """Note that another gateway heard from backend servers itself."""
        for number in hashes:
            backend = self.view.backends.get(self.by_hash.get(number, BackendId("")))
            if backend is not None:
                backend.hear(to_ms(now_s))

    def on_work(
        self, gateway: str, work: Iterable[tuple[int, Work]], now_s: float
    ) -> None:
        """Take the work of another gateway out of its digest."""
        told = {self.by_hash.get(number): each for number, each in work}
        for backend_id, state in self.states.items():
            if backend_id in told:
                state.others[gateway] = (told[backend_id], now_s)
            else:
                state.others.pop(gateway, None)

    def on_sent(
        self,
        backend: Backend,
        attempt: str,
        prompt: Prompt | None,
        now_s: float,
        expected_s: float = 0.0,
    ) -> None:
        """Count a request that is being sent.

        Args:
            backend: Where it goes.
            attempt: Its id.
            prompt: Its prompt; None for plain requests.
            now_s: Present boot clock.
            expected_s: Time to its first event expected at pace 1; 0 if unknown.
        """
        state = self.state(backend.id)
        if prompt is None:
            state.sent[attempt] = Sent(now_s, 0, 0)
            return
        cached = state.cached_tokens(prompt.parts)
        uncached = max(0, prompt.prompt_tokens - cached)
        output = prompt.expected_output_tokens or prompt.most_output_tokens
        kv_tokens = prompt.prompt_tokens + output
        state.sent[attempt] = Sent(now_s, uncached, kv_tokens, expected_s)
        room = int(KEPT_SHARE * self.room_tokens(backend))
        last = len(prompt.parts) - 1
        for place, part in enumerate(prompt.parts):
            number = part_hash(part.id)
            # The last part belongs to the request; others need not know of it.
            if state.note_part(number, part.tokens, room) and place < last:
                told = gpb.SentPart(
                    backend=backend_hash(backend.id), part=number, tokens=part.tokens
                )
                self.sent_parts.append((told, TOLD_TIMES))

    def take_sent_parts(self) -> list[gpb.SentPart]:
        """Return the parts to tell other gateways now; each is told a few times."""
        told = [part for part, _ in self.sent_parts]
        left = [(part, times - 1) for part, times in self.sent_parts]
        self.sent_parts = [(part, times) for part, times in left if times > 0]
        return told

    def on_sent_parts(self, sent: Iterable[gpb.SentPart]) -> None:
        """Note the parts that another gateway sent."""
        for each in sent:
            backend_id = self.by_hash.get(each.backend, BackendId(""))
            backend = self.view.backends.get(backend_id)
            if backend is not None:
                room = int(KEPT_SHARE * self.room_tokens(backend))
                self.state(backend_id).note_part(each.part, each.tokens, room)

    def on_first_event(self, backend_id: BackendId, attempt: str, now_s: float) -> None:
        """Note that the prompt of an own request was read."""
        state = self.state(backend_id)
        sent = state.sent.get(attempt)
        if sent is not None:
            sent.is_read = True
            state.pace.on_first_event(now_s - sent.sent_s, sent.expected_s, now_s)

    def on_ended(self, backend_id: BackendId, attempt: str) -> None:
        """Take an own request off."""
        self.state(backend_id).sent.pop(attempt, None)

    def on_success(self, backend_id: BackendId, now_s: float) -> None:
        """Note that it answered a request well."""
        state = self.state(backend_id)
        state.unreached = 0
        state.blocked_until_s = 0.0
        state.used_s = now_s
        self.view.outliers.succeeded(backend_id, now_s)

    def on_failure(self, backend: Backend, now_s: float) -> None:
        """Note that it failed a request; several in a row eject it."""
        peers = [b.id for b in self.view.pool(service_of(backend))]
        self.view.outliers.failed(backend.id, peers, now_s)

    def on_unreached(self, backend_id: BackendId, now_s: float) -> None:
        """Note that no connection to it could be opened, or it fell silent."""
        state = self.state(backend_id)
        wait_s = min(UNREACHED_MOST_S, UNREACHED_S * 2**state.unreached)
        state.unreached = min(state.unreached + 1, 8)
        state.blocked_until_s = now_s + wait_s

    def on_load_hint(self, backend: Backend, hint: LoadHint) -> None:
        """Take the load that came with an answer."""
        backend.report_load(hint.running, hint.waiting)

    def expire(self, now_s: float) -> None:
        """Forget backend servers without a sign of life."""
        for backend in list(self.view.backends.values()):
            seen_s = max(backend.heard_ms / 1000, self.state(backend.id).used_s)
            if now_s - seen_s > SILENT_KEEP_S:
                self.view.forget(backend.id)
                self.states.pop(backend.id, None)
                self.heard_s.pop(backend.id, None)
                self.by_hash.pop(backend_hash(backend.id), None)

    def state(self, backend_id: BackendId) -> BackendState:
        """Return what is known of a backend server."""
        found = self.states.get(backend_id)
        if found is None:
            found = self.states[backend_id] = BackendState()
        return found

    def candidates(
        self, service: str, excluded: Iterable[BackendId], now_s: float
    ) -> list[Backend]:
        """Return the backend servers that may get a request now.

        Those that were heard of lately and reached go first; silent ones, blocked
        ones and ejected ones are used only while there is no other.
        """
        left_out = frozenset(excluded)
        able = [
            b
            for b in self.view.pool(service)
            if b.id not in left_out and not self.view.is_leaving(b)
        ]
        fresh = [b for b in able if b.alive(to_ms(now_s))] or able
        open_ = [b for b in fresh if now_s >= self.state(b.id).blocked_until_s]
        healthy = [b for b in open_ if not self.view.outliers.is_ejected(b.id, now_s)]
        return healthy or open_ or fresh

    def room_tokens(self, backend: Backend) -> int:
        """Return the memory of an engine in tokens."""
        return self.kv_tokens.get(service_of(backend)) or DEFAULT_KV_TOKENS

    def registry_hash(self, now_s: float) -> int:
        """Return a hash of what the registry holds, equal where it is equal."""
        total = 0
        for backend in self.view.backends.values():
            if not backend.alive(to_ms(now_s)):
                continue
            told = backend.announcement
            text = f"{told.id}|{told.born_ms}|{told.address}|{backend.leaving}"
            total ^= xxhash.xxh64_intdigest(text.encode())
        return total

    def news(self, now_s: float) -> gpb.BackendNews:
        """Return the last announcement of each backend server that is alive."""
        news = gpb.BackendNews()
        for backend in self.view.backends.values():
            if backend.alive(to_ms(now_s)):
                news.announcements.append(backend.announcement)
                news.heard_ago_ms.append(max(0, to_ms(now_s) - backend.heard_ms))
        return news

    def on_news(self, news: gpb.BackendNews, now_s: float) -> bool:
        """Take what another gateway tells; return whether anything changed."""
        changed = False
        ages_ms = list(news.heard_ago_ms) or [0] * len(news.announcements)
        for announcement, ago_ms in zip(news.announcements, ages_ms, strict=True):
            heard_s = now_s - ago_ms / 1000
            changed |= self.on_announcement(announcement, heard_s, heard=False)
        for departure in news.departures:
            self.on_departure(departure, now_s)
        return changed


def backend_hash(backend_id: BackendId) -> int:
    """Return the number that stands for a backend server in digests."""
    return xxhash.xxh64_intdigest(backend_id.encode())


def service_of(backend: Backend) -> str:
    """Return the service that a backend server runs."""
    services = backend.announcement.services
    return services[0] if services else ""
