"""Decides which requests start, wait or are refused on one entry host.

Two limits apply: the slots of the backend servers of each service, and the number of
running and waiting requests that the host can hold. A share of both is reserved for
urgent requests.
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

HOLD_SMOOTHING: Final = 0.1
"""Weight of the latest request in the moving average of `ServiceState.hold_s`."""

INITIAL_HOLD_S: Final = 0.5
"""Assumed slot holding time in seconds before any request of the service has ended."""

WAIT_SAFETY_FACTOR: Final = 1.25
"""Factor applied to the estimated wait, because the actual wait may be longer."""

MAX_PRIORITY_SHARE: Final = 0.75
"""Largest share of the host's unreserved capacity that requests of one non-urgent
priority may hold."""

MAX_ACCOUNT_SHARE: Final = 0.6
"""Largest share of the host's unreserved capacity that non-urgent requests of one
client account may hold."""

MIN_RETRY_AFTER_S: Final = 1.0
"""Shortest retry delay that a refusal states, in seconds."""

NO_BACKEND_RETRY_S: Final = 5.0
"""Retry delay in seconds when the service has no backend server."""


@dataclass
class ServiceState:
    """Slots, running requests and waiting requests of one service."""

    slots: int
    """Number of requests that its backend servers accept concurrently, in total."""
    reserve: float
    """Share of the slots reserved for urgent requests, 0 to 1."""
    running: dict[TicketId, tuple[Ticket, float]] = field(default_factory=dict)
    """Running requests, each with the monotonic time of its start in seconds."""
    running_urgent: int = 0
    """Number of running requests that are urgent."""
    queue: FairQueue = field(default_factory=FairQueue)
    """Waiting requests."""
    hold_s: float = INITIAL_HOLD_S
    """Moving average of the time that a request holds its slot, in seconds."""

    @property
    def unreserved_slots(self) -> int:
        """Return the number of slots that non-urgent requests may use."""
        return max(0, self.slots - math.ceil(self.slots * self.reserve))

    def has_free_slot(self, urgent: bool) -> bool:
        """Return whether one more request may run.

        Args:
            urgent: Whether the request may use the reserved slots.
        """
        running = len(self.running)
        if urgent:
            return running < self.slots
        return (
            running < self.slots
            and running - self.running_urgent < self.unreserved_slots
        )

    def wait_s(self, ticket: Ticket) -> float:
        """Return the estimated wait of a new request in seconds.

        Infinite if the request may use no slot.
        """
        usable = self.slots if ticket.urgent else self.unreserved_slots
        if usable == 0:
            return math.inf
        slot_wait_s = (self.queue.requests_ahead(ticket) + 1) * self.hold_s / usable
        return max(slot_wait_s, self.queue.account_wait_s(ticket))


class Admission:
    """Admission control of one entry host; not thread-safe.

    Args:
        capacity: Maximum number of running and waiting requests on the host.
        urgent_reserve: Share of the capacity reserved for urgent requests, 0 to 1.
    """

    def __init__(self, capacity: int, urgent_reserve: float) -> None:
        self.capacity = capacity
        """Maximum number of running and waiting requests on the host."""
        self.urgent_reserve = urgent_reserve
        """Share of the capacity reserved for urgent requests, 0 to 1."""
        self.services: dict[str, ServiceState] = {}
        """State of each service, by name."""
        self.held_by_priority: Counter[pb.Priority.ValueType] = Counter()
        """Number of running and waiting requests, by priority."""
        self.held_by_account: Counter[tuple[str, bool]] = Counter()
        """Number of running and waiting requests, by client account and urgency."""
        self.draining = False
        """Whether the host refuses all new requests because it is shutting down."""

    def __repr__(self) -> str:
        held = self.held_by_priority.total()
        return f"Admission(held={held}, capacity={self.capacity})"

    def set_service(
        self, service: str, slots: int, reserve: float, now_s: float
    ) -> list[Ticket]:
        """Set the slots of a service.

        Args:
            service: Name of the service.
            slots: Number of requests that its backend servers accept concurrently.
            reserve: Share of the slots reserved for urgent requests, 0 to 1.
            now_s: Monotonic time in seconds.

        Returns:
            The waiting requests that start now.
        """
        state = self.services.get(service)
        if state is None:
            self.services[service] = ServiceState(slots, reserve)
            return []
        state.slots = slots
        state.reserve = reserve
        return self._start_waiting(state, now_s)

    def offer(self, ticket: Ticket, now_s: float) -> Decision:
        """Decide whether a new request starts, waits or is refused.

        Args:
            ticket: The request.
            now_s: Monotonic time in seconds.

        Returns:
            `Start`; `Wait`, after which `finish` or `set_service` returns the ticket
            when the request starts; or `Refuse`.
        """
        refusal = self._refusal(ticket, now_s)
        if refusal is not None:
            return refusal
        state = self.services[ticket.service]
        if not len(state.queue) and state.has_free_slot(ticket.urgent):
            self._hold(ticket)
            self._start(state, ticket, now_s)
            return Start()
        if (
            ticket.urgent
            and state.has_free_slot(urgent=True)
            and not state.queue.has_urgent()
        ):
            self._hold(ticket)
            self._start(state, ticket, now_s)
            return Start()
        wait_s = state.wait_s(ticket) * WAIT_SAFETY_FACTOR
        time_left_s = ticket.deadline_s - now_s
        if wait_s > time_left_s:
            retry_after_s = max(MIN_RETRY_AFTER_S, wait_s - time_left_s)
            return Refuse(RefusalReason.WAIT_TOO_LONG, retry_after_s)
        self._hold(ticket)
        state.queue.add(ticket)
        return Wait(wait_s)

    def finish(self, ticket: Ticket, now_s: float) -> list[Ticket]:
        """Remove a running request that has ended and start waiting requests.

        Args:
            ticket: The request.
            now_s: Monotonic time in seconds.

        Returns:
            The waiting requests that start now; empty if the request was not running.
        """
        state = self.services[ticket.service]
        found = state.running.pop(ticket.ticket_id, None)
        if found is None:
            return []
        _, started_s = found
        state.running_urgent -= ticket.urgent
        state.hold_s += HOLD_SMOOTHING * (now_s - started_s - state.hold_s)
        self._release(ticket)
        return self._start_waiting(state, now_s)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a request from its queue; return False if it is not waiting."""
        if not self.services[ticket.service].queue.remove(ticket):
            return False
        self._release(ticket)
        return True

    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(state.queue) for state in self.services.values())

    def _refusal(self, ticket: Ticket, now_s: float) -> Refuse | None:
        if self.draining:
            return Refuse(RefusalReason.DRAINING, MIN_RETRY_AFTER_S)
        state = self.services.get(ticket.service)
        if state is None or state.slots == 0:
            return Refuse(RefusalReason.NO_BACKEND, NO_BACKEND_RETRY_S)
        if now_s >= ticket.deadline_s:
            return Refuse(RefusalReason.DEADLINE, MIN_RETRY_AFTER_S)
        if self._host_can_hold(ticket):
            return None
        retry_after_s = max(MIN_RETRY_AFTER_S, self._expected_next_end_s())
        return Refuse(RefusalReason.HOST_FULL, retry_after_s)

    def _host_can_hold(self, ticket: Ticket) -> bool:
        if ticket.urgent:
            return self.held_by_priority.total() < self.capacity
        reserved = math.ceil(self.capacity * self.urgent_reserve)
        unreserved = self.capacity - reserved
        if (
            self.held_by_priority.total() - self.held_by_priority[pb.URGENT]
            >= unreserved
        ):
            return False
        if self.held_by_priority[ticket.priority] >= MAX_PRIORITY_SHARE * unreserved:
            return False
        by_account = self.held_by_account[ticket.client_account, False]
        return by_account < MAX_ACCOUNT_SHARE * unreserved

    def _expected_next_end_s(self) -> float:
        end_rates = [
            len(s.running) / s.hold_s for s in self.services.values() if s.hold_s > 0
        ]
        total_rate = sum(end_rates)
        return 1.0 / total_rate if total_rate else MIN_RETRY_AFTER_S

    def _hold(self, ticket: Ticket) -> None:
        self.held_by_priority[ticket.priority] += 1
        self.held_by_account[ticket.client_account, ticket.urgent] += 1

    def _release(self, ticket: Ticket) -> None:
        self.held_by_priority[ticket.priority] -= 1
        self.held_by_account[ticket.client_account, ticket.urgent] -= 1

    def _start(self, state: ServiceState, ticket: Ticket, now_s: float) -> None:
        state.running[ticket.ticket_id] = (ticket, now_s)
        state.running_urgent += ticket.urgent

    def _start_waiting(self, state: ServiceState, now_s: float) -> list[Ticket]:
        started: list[Ticket] = []
        while state.has_free_slot(urgent=True):
            ticket = state.queue.pop(not state.has_free_slot(urgent=False), now_s)
            if ticket is None:
                break
            self._start(state, ticket, now_s)
            started.append(ticket)
        return started
