"""Decides what starts, waits or is refused on one entry host.

Two bounds hold: each service has the slots of its backend servers, and the host
can hold only so many requests at once, waiting ones included. Of both, a share
is kept for urgent requests, which no other load takes.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.admission._fair_queue import FairQueue
from tanagerturn.serving.admission.tickets import (
    Decision,
    RefusalReason,
    Refuse,
    Start,
    Ticket,
    TicketId,
    Wait,
)

HOLD_WEIGHT: Final = 0.1
"""Weight of the last request in the mean time that one holds its slot."""

FIRST_HOLD_S: Final = 0.5
"""Mean time assumed before a request of the service has ended."""

WAIT_MARGIN: Final = 1.25
"""Factor on the estimated wait, since it varies."""

PRIORITY_SHARE: Final = 0.75
"""Share of the host's open capacity that one priority may hold."""

ACCOUNT_SHARE: Final = 0.6
"""Share of the host's open capacity that one client account may hold."""

LEAST_RETRY_AFTER_S: Final = 1.0
NO_BACKEND_RETRY_S: Final = 5.0


@dataclass
class ServiceRoom:
    """Slots, running and waiting requests of one service."""

    slots: int
    """Requests that its backend servers take at once."""
    reserve: float
    """Share of the slots kept for urgent requests."""
    running: dict[TicketId, tuple[Ticket, float]] = field(default_factory=dict)
    """Running requests with the time of their start."""
    running_urgent: int = 0
    """Running requests that are urgent."""
    queue: FairQueue = field(default_factory=FairQueue)
    """Waiting requests."""
    hold_s: float = FIRST_HOLD_S
    """Mean time that a request holds its slot."""

    @property
    def open_slots(self) -> int:
        """Return the slots that requests which are not urgent may use."""
        return max(0, self.slots - math.ceil(self.slots * self.reserve))

    def has_room(self, urgent: bool) -> bool:
        """Tell whether one more request may run."""
        running = len(self.running)
        if urgent:
            return running < self.slots
        return running < self.slots and running - self.running_urgent < self.open_slots

    def wait_s(self, ticket: Ticket) -> float:
        """Estimate how long a new request would wait."""
        usable = self.slots if ticket.urgent else self.open_slots
        if usable == 0:
            return math.inf
        by_slots_s = (self.queue.ahead_of(ticket) + 1) * self.hold_s / usable
        return max(by_slots_s, self.queue.line_wait_s(ticket))


class Admission:
    """Admission of one entry host; its caller keeps calls apart.

    Args:
        capacity: Requests that the host can hold at once, waiting ones included.
        urgent_reserve: Share of the capacity kept for urgent requests.
    """

    def __init__(self, capacity: int, urgent_reserve: float) -> None:
        self.capacity = capacity
        """Requests that the host can hold at once."""
        self.urgent_reserve = urgent_reserve
        """Share of the capacity kept for urgent requests."""
        self.rooms: dict[str, ServiceRoom] = {}
        """One room a service."""
        self.held: Counter[pb.Priority.ValueType] = Counter()
        """Requests running or waiting, by priority."""
        self.held_by: Counter[tuple[str, bool]] = Counter()
        """The same by client account and whether they are urgent."""
        self.draining = False
        """True once the host takes nothing new."""

    def __repr__(self) -> str:
        held = self.held.total()
        return f"Admission(held={held}, capacity={self.capacity})"

    def set_service(
        self, service: str, slots: int, reserve: float, now_s: float
    ) -> list[Ticket]:
        """Set the slots of a service; return the waiting requests that start."""
        room = self.rooms.get(service)
        if room is None:
            self.rooms[service] = ServiceRoom(slots, reserve)
            return []
        room.slots = slots
        room.reserve = reserve
        return self._start_waiting(room, now_s)

    def offer(self, ticket: Ticket, now_s: float) -> Decision:
        """Decide about a new request.

        Args:
            ticket: The request.
            now_s: Present monotonic clock in seconds.

        Returns:
            `Start`, or `Wait` until a later call returns the ticket, or `Refuse`.
        """
        refusal = self._refusal(ticket, now_s)
        if refusal is not None:
            return refusal
        room = self.rooms[ticket.service]
        if not len(room.queue) and room.has_room(ticket.urgent):
            self._hold(ticket)
            self._run(room, ticket, now_s)
            return Start()
        if ticket.urgent and room.has_room(urgent=True) and not room.queue.has_urgent():
            self._hold(ticket)
            self._run(room, ticket, now_s)
            return Start()
        wait_s = room.wait_s(ticket) * WAIT_MARGIN
        time_left_s = ticket.deadline_s - now_s
        if wait_s > time_left_s:
            retry_after_s = max(LEAST_RETRY_AFTER_S, wait_s - time_left_s)
            return Refuse(RefusalReason.WAIT_TOO_LONG, retry_after_s)
        self._hold(ticket)
        room.queue.add(ticket)
        return Wait(wait_s)

    def finish(self, ticket: Ticket, now_s: float) -> list[Ticket]:
        """End a running request; return the waiting ones that start."""
        room = self.rooms[ticket.service]
        found = room.running.pop(ticket.ticket_id, None)
        if found is None:
            return []
        _, started_s = found
        room.running_urgent -= ticket.urgent
        room.hold_s += HOLD_WEIGHT * (now_s - started_s - room.hold_s)
        self._let_go(ticket)
        return self._start_waiting(room, now_s)

    def leave(self, ticket: Ticket) -> bool:
        """Take back a waiting request; False when it does not wait."""
        if not self.rooms[ticket.service].queue.remove(ticket):
            return False
        self._let_go(ticket)
        return True

    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(room.queue) for room in self.rooms.values())

    def _refusal(self, ticket: Ticket, now_s: float) -> Refuse | None:
        if self.draining:
            return Refuse(RefusalReason.DRAINING, LEAST_RETRY_AFTER_S)
        room = self.rooms.get(ticket.service)
        if room is None or room.slots == 0:
            return Refuse(RefusalReason.NO_BACKEND, NO_BACKEND_RETRY_S)
        if now_s >= ticket.deadline_s:
            return Refuse(RefusalReason.DEADLINE, LEAST_RETRY_AFTER_S)
        if self._host_has_room(ticket):
            return None
        retry_after_s = max(LEAST_RETRY_AFTER_S, self._soonest_end_s())
        return Refuse(RefusalReason.HOST_FULL, retry_after_s)

    def _host_has_room(self, ticket: Ticket) -> bool:
        if ticket.urgent:
            return self.held.total() < self.capacity
        reserved = math.ceil(self.capacity * self.urgent_reserve)
        room = self.capacity - reserved
        if self.held.total() - self.held[pb.URGENT] >= room:
            return False
        if self.held[ticket.priority] >= PRIORITY_SHARE * room:
            return False
        by_account = self.held_by[ticket.client_account, False]
        return by_account < ACCOUNT_SHARE * room

    def _soonest_end_s(self) -> float:
        rates = [len(r.running) / r.hold_s for r in self.rooms.values() if r.hold_s > 0]
        total = sum(rates)
        return 1.0 / total if total else LEAST_RETRY_AFTER_S

    def _hold(self, ticket: Ticket) -> None:
        self.held[ticket.priority] += 1
        self.held_by[ticket.client_account, ticket.urgent] += 1

    def _let_go(self, ticket: Ticket) -> None:
        self.held[ticket.priority] -= 1
        self.held_by[ticket.client_account, ticket.urgent] -= 1

    def _run(self, room: ServiceRoom, ticket: Ticket, now_s: float) -> None:
        room.running[ticket.ticket_id] = (ticket, now_s)
        room.running_urgent += ticket.urgent

    def _start_waiting(self, room: ServiceRoom, now_s: float) -> list[Ticket]:
        started: list[Ticket] = []
        while room.has_room(urgent=True):
            ticket = room.queue.pop(not room.has_room(urgent=False), now_s)
            if ticket is None:
                break
            self._run(room, ticket, now_s)
            started.append(ticket)
        return started
