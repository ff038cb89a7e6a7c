"""Backend servers that fail when they have to reject many requests; no I/O.

While a service states that its backend servers are brittle, their slots are divided
among the gateways, so that no backend server has to reject a request for want of room,
however late the gateways learn of each other's requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.serving.backends.messages import BackendId

STATED_MAX_AGE_S: Final = 4.0
"""Age in seconds from which a statement is no longer in force: all responses repeat
it."""

REJECTED_PAUSE_S: Final = 1.0
"""Time in seconds for which all gateways send nothing to a brittle backend server that
rejected a request of any of them: it has less room than it announced."""


@dataclass(frozen=True)
class BrittleStatement:
    """The latest statement of a service's backend servers."""

    rejections_per_s: float
    """Number of rejections in a second above which a backend server fails."""
    stated_s: float
    """Monotonic time in seconds at which a gateway received it."""


class BrittleServices:
    """Services with brittle backend servers, as known to one gateway.

    Args:
        host: Host of this gateway.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        """Host of this gateway."""
        self.hosts: frozenset[str] = frozenset((host,))
        """Hosts of all gateways, this one and recently lost ones included, which may
        still use their slots."""
        self.statements: dict[str, BrittleStatement] = {}
        """Latest statement by service."""
        self.rejected_s: dict[BackendId, float] = {}
        """Monotonic time in seconds of the last rejection by backend server, of any
        gateway's request."""
        self.urgent_services: set[str] = set()
        """Services whose statement peers do not know yet."""
        self.urgent_rejections: set[BackendId] = set()
        """Backend servers of whose last rejection peers do not know yet."""

    def set_gateways(self, hosts: Iterable[str]) -> None:
        """Set the gateways that share the slots, recently lost ones included."""
        self.hosts = frozenset((self.host, *hosts))

    def on_response(
        self, service: str, rejections_per_s: float | None, sent_s: float, now_s: float
    ) -> None:
        """Record what a response to a request of this gateway states.

        Args:
            service: Service of the backend server.
            rejections_per_s: Rejections above which it fails; None if it states none.
            sent_s: Monotonic time in seconds at which the request was sent.
            now_s: Monotonic time in seconds.
        """
        known = self.statements.get(service)
        if rejections_per_s is not None:
            if known is None:
                self.urgent_services.add(service)
            self.statements[service] = BrittleStatement(rejections_per_s, now_s)
        elif known is not None and sent_s > known.stated_s:
            del self.statements[service]

    def on_reported(self, service: str, statement: BrittleStatement) -> None:
        """Apply a statement that a peer reported, unless a later one is known."""
        known = self.statements.get(service)
        if known is None or known.stated_s < statement.stated_s:
            self.statements[service] = statement

    def on_rejected(self, service: str, backend_id: BackendId, now_s: float) -> None:
        """Record that a backend server rejected a request of this gateway.

        Args:
            service: Service of the backend server.
            backend_id: The backend server.
            now_s: Monotonic time in seconds.
        """
        if self.is_brittle(service, now_s):
            self.rejected_s[backend_id] = now_s
            self.urgent_rejections.add(backend_id)

    def on_rejection_reported(self, backend_id: BackendId, at_s: float) -> None:
        """Record that a backend server rejected a request of a peer."""
        self.rejected_s[backend_id] = max(at_s, self.rejected_s.get(backend_id, at_s))

    def is_brittle(self, service: str, now_s: float) -> bool:
        """Return whether the backend servers of a service are brittle now."""
        statement = self.statements.get(service)
        return statement is not None and now_s - statement.stated_s < STATED_MAX_AGE_S

    def has_room(
        self, backend_id: BackendId, slots: int, local_count: int, now_s: float
    ) -> bool:
        """Return whether a slot of this gateway at a brittle backend server is free.

        Args:
            backend_id: The backend server.
            slots: Number of requests that it runs concurrently.
            local_count: Number of this gateway's requests there.
            now_s: Monotonic time in seconds.
        """
        if now_s - self.rejected_s.get(backend_id, float("-inf")) < REJECTED_PAUSE_S:
            return False
        return local_count < self.own_slots(backend_id, slots)

    def own_slots(self, backend_id: BackendId, slots: int) -> int:
        """Return how many slots of a backend server belong to this gateway.

        What does not divide evenly belongs to the gateways with the highest weights.
        """
        each, rest = divmod(slots, len(self.hosts))

        def weight(host: str) -> int:
            return xxhash.xxh64_intdigest(f"{backend_id}|{host}".encode())

        own_weight = weight(self.host)
        rank = sum(weight(host) > own_weight for host in self.hosts)
        return each + (rank < rest)

    def take_urgent(self) -> tuple[list[str], list[BackendId]]:
        """Return the services and rejections to report to peers now; clear them."""
        services, self.urgent_services = sorted(self.urgent_services), set()
        rejections, self.urgent_rejections = sorted(self.urgent_rejections), set()
        return [s for s in services if s in self.statements], rejections

    def expire(self, known_ids: Iterable[BackendId], now_s: float) -> None:
        """Forget old statements, and rejections of backend servers that are gone."""
        if self.statements:
            self.statements = {
                service: statement
                for service, statement in self.statements.items()
                if self.is_brittle(service, now_s)
            }
        for backend_id in self.rejected_s.keys() - set(known_ids):
            del self.rejected_s[backend_id]
