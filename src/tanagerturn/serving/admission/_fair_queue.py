"""Queue of the waiting requests of one service.

Priorities age, and the client accounts share each priority fairly.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from sortedcontainers import SortedSet

from tanagerturn.schema import serving_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.serving.admission.tickets import Ticket, TicketId

PRIORITIES: Final = (pb.URGENT, pb.NORMAL, pb.LOW)

PRIORITY_DELAY_S: Final = {pb.URGENT: 0.0, pb.NORMAL: 5.0, pb.LOW: 30.0}
"""Seconds added to the arrival time of a request when priorities are compared. A
request starts before one of higher priority that arrives later by more than the
difference of their delays."""

INTERVAL_SMOOTHING: Final = 0.2
"""Weight of the latest interval in the moving average of the time between starts of
requests of one client account."""


@dataclass
class _AccountQueue:
    """Waiting requests of one client account in one priority.

    Attributes:
        account: The client account.
        tickets: The waiting requests in arrival order.
        weight: Share of the account relative to the other accounts of its priority.
        finish_tag: Virtual time at which the next request of the account may start.
        interval_s: Moving average of the time between starts in seconds; 0 before two
            starts.
        started_s: Monotonic time of the last start in seconds; None if no requests
            of the account were waiting after it.
    """

    account: str
    tickets: dict[TicketId, Ticket] = field(default_factory=dict)
    weight: float = 1.0
    finish_tag: float = 0.0
    interval_s: float = 0.0
    started_s: float | None = None

    def record_start(self, now_s: float) -> None:
        """Record the start of a request and update the average time between starts.

        Only intervals in which requests of the account wait are averaged.

        Args:
            now_s: Monotonic time of the start in seconds.
        """
        if self.started_s is not None:
            since_last_s = now_s - self.started_s
            self.interval_s += INTERVAL_SMOOTHING * (since_last_s - self.interval_s)
        self.started_s = now_s if self.tickets else None

    def wait_s(self) -> float:
        """Estimate the wait of a new request in seconds.

        The estimate is the average time between starts, multiplied by the number of
        waiting requests including the new one; 0 if no requests of the account wait.
        """
        return (len(self.tickets) + 1) * self.interval_s if self.tickets else 0.0


class _PriorityQueue:
    """Start-time fair queue over the client accounts of one priority."""

    def __init__(self) -> None:
        self.account_queues: dict[str, _AccountQueue] = {}
        self.by_finish_tag: SortedSet[tuple[float, str]] = SortedSet()
        self.arrivals: deque[Ticket] = deque()
        self.virtual_time = 0.0
        self.size = 0
        self.active_weight = 0.0

    def add(self, ticket: Ticket) -> None:
        account_queue = self.account_queues.setdefault(
            ticket.client_account, _AccountQueue(ticket.client_account)
        )
        if not account_queue.tickets:
            account_queue.finish_tag = max(account_queue.finish_tag, self.virtual_time)
            self.by_finish_tag.add((account_queue.finish_tag, account_queue.account))
            account_queue.weight = ticket.weight
            self.active_weight += account_queue.weight
        account_queue.tickets[ticket.ticket_id] = ticket
        self.arrivals.append(ticket)
        self.size += 1

    def remove(self, ticket: Ticket) -> bool:
        account_queue = self.account_queues.get(ticket.client_account)
        if (
            account_queue is None
            or account_queue.tickets.pop(ticket.ticket_id, None) is None
        ):
            return False
        self.size -= 1
        if not account_queue.tickets:
            self.by_finish_tag.discard(
                (account_queue.finish_tag, account_queue.account)
            )
            self.active_weight -= account_queue.weight
        return True

    def pop(self, now_s: float) -> Ticket:
        tag, account = self.by_finish_tag[0]
        account_queue = self.account_queues[account]
        ticket = next(iter(account_queue.tickets.values()))
        self.by_finish_tag.discard((tag, account))
        del account_queue.tickets[ticket.ticket_id]
        account_queue.record_start(now_s)
        self.size -= 1
        self.virtual_time = tag
        account_queue.finish_tag = tag + 1.0 / account_queue.weight
        if account_queue.tickets:
            self.by_finish_tag.add((account_queue.finish_tag, account))
        else:
            self.active_weight -= account_queue.weight
        self.oldest_arrival_s()  # Removes tickets that no longer wait from `arrivals`.
        return ticket

    def oldest_arrival_s(self) -> float:
        while self.arrivals:
            oldest = self.arrivals[0]
            account_queue = self.account_queues[oldest.client_account]
            if oldest.ticket_id in account_queue.tickets:
                return oldest.arrived_s
            self.arrivals.popleft()
        return float("inf")

    def requests_ahead(self, account: str, weight: float) -> float:
        """Return an upper bound of the number of requests that start before a new one.

        Args:
            account: Client account of the new request.
            weight: Share of the account relative to the other accounts.
        """
        account_queue = self.account_queues.get(account)
        own_requests = len(account_queue.tickets) if account_queue is not None else 0
        others_weight = self.active_weight - (
            account_queue.weight if own_requests and account_queue else 0.0
        )
        others_ahead = (own_requests + 1) * others_weight / weight
        return own_requests + min(self.size - own_requests, others_ahead)


class FairQueue:
    """Waiting requests of one service.

    The next priority is the one whose oldest request has the smallest sum of arrival
    time and `PRIORITY_DELAY_S`, so that low-priority requests complete under any load.
    Within a priority, client accounts share the starts by weight.
    """

    def __init__(self) -> None:
        self.queues = {priority: _PriorityQueue() for priority in PRIORITIES}
        """One queue per priority."""

    def __len__(self) -> int:
        return sum(queue.size for queue in self.queues.values())

    def add(self, ticket: Ticket) -> None:
        """Add a request to the queue of its priority."""
        self.queues[ticket.priority].add(ticket)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request from its queue; return False if it is not waiting."""
        return self.queues[ticket.priority].remove(ticket)

    def has_urgent(self) -> bool:
        """Return whether an urgent request is waiting."""
        return self.queues[pb.URGENT].size > 0

    def pop(self, urgent_only: bool, now_s: float) -> Ticket | None:
        """Remove and return the next request; None if no waiting request may start.

        Args:
            urgent_only: Whether only urgent requests may start.
            now_s: Monotonic time in seconds.
        """
        if urgent_only:
            urgent = self.queues[pb.URGENT]
            return urgent.pop(now_s) if urgent.size else None
        non_empty = [p for p in PRIORITIES if self.queues[p].size]
        if not non_empty:
            return None
        next_priority = min(
            non_empty,
            key=lambda p: self.queues[p].oldest_arrival_s() + PRIORITY_DELAY_S[p],
        )
        return self.queues[next_priority].pop(now_s)

    def account_wait_s(self, ticket: Ticket) -> float:
        """Estimate the wait of a new request in seconds from recent starts.

        Only starts of the same client account and priority count; 0 if no requests of
        them wait.
        """
        account_queue = self.queues[ticket.priority].account_queues.get(
            ticket.client_account
        )
        return account_queue.wait_s() if account_queue is not None else 0.0

    def requests_ahead(self, ticket: Ticket) -> float:
        """Estimate the number of waiting requests that start before a new one.

        All requests of higher priority count, and none of lower priority.
        """
        count = 0.0
        for priority in PRIORITIES:
            if priority == ticket.priority:
                own_queue = self.queues[priority]
                return count + own_queue.requests_ahead(
                    ticket.client_account, ticket.weight
                )
            count += self.queues[priority].size
        return count
