"""Waiting requests of one service: priorities with ageing, fair inside each."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from sortedcontainers import SortedSet

from tanagerturn.schema import serving_pb2 as pb

if TYPE_CHECKING:
    from tanagerturn.serving.admission.tickets import Ticket, TicketId

PRIORITIES: Final = (pb.URGENT, pb.NORMAL, pb.LOW)

HEAD_START_S: Final = {pb.URGENT: 0.0, pb.NORMAL: 5.0, pb.LOW: 30.0}
"""A request goes before one of higher priority that came so much later."""

INTERVAL_WEIGHT: Final = 0.2
"""Weight of the last gap in the mean time between starts."""


@dataclass
class _Line:
    """Waiting requests of one client account in one priority."""

    account: str
    tickets: dict[TicketId, Ticket] = field(default_factory=dict)
    weight: float = 1.0
    finish_tag: float = 0.0
    interval_s: float = 0.0
    started_s: float | None = None

    def count_start(self, now_s: float) -> None:
        """Learn the time between starts while requests wait."""
        if self.started_s is not None:
            gap_s = now_s - self.started_s
            self.interval_s += INTERVAL_WEIGHT * (gap_s - self.interval_s)
        self.started_s = now_s if self.tickets else None

    def wait_s(self) -> float:
        """Return how long the waiting requests take to start, by that time."""
        return (len(self.tickets) + 1) * self.interval_s if self.tickets else 0.0


class _PriorityQueue:
    """Start-time fair queue of the client accounts in one priority."""

    def __init__(self) -> None:
        self.lines: dict[str, _Line] = {}
        self.order: SortedSet[tuple[float, str]] = SortedSet()
        self.arrivals: deque[Ticket] = deque()
        self.virtual_time = 0.0
        self.size = 0
        self.active_weight = 0.0

    def add(self, ticket: Ticket) -> None:
        line = self.lines.setdefault(
            ticket.client_account, _Line(ticket.client_account)
        )
        if not line.tickets:
            line.finish_tag = max(line.finish_tag, self.virtual_time)
            self.order.add((line.finish_tag, line.account))
            line.weight = ticket.weight
            self.active_weight += line.weight
        line.tickets[ticket.ticket_id] = ticket
        self.arrivals.append(ticket)
        self.size += 1

    def remove(self, ticket: Ticket) -> bool:
        line = self.lines.get(ticket.client_account)
        if line is None or line.tickets.pop(ticket.ticket_id, None) is None:
            return False
        self.size -= 1
        if not line.tickets:
            self.order.discard((line.finish_tag, line.account))
            self.active_weight -= line.weight
        return True

    def pop(self, now_s: float) -> Ticket:
        tag, account = self.order[0]
        line = self.lines[account]
        ticket = next(iter(line.tickets.values()))
        self.order.discard((tag, account))
        del line.tickets[ticket.ticket_id]
        line.count_start(now_s)
        self.size -= 1
        self.virtual_time = tag
        line.finish_tag = tag + 1.0 / line.weight
        if line.tickets:
            self.order.add((line.finish_tag, account))
        else:
            self.active_weight -= line.weight
        self.oldest_s()  # Drops what has left from the front of the arrivals.
        return ticket

    def oldest_s(self) -> float:
        while self.arrivals:
            oldest = self.arrivals[0]
            line = self.lines[oldest.client_account]
            if oldest.ticket_id in line.tickets:
                return oldest.arrived_s
            self.arrivals.popleft()
        return float("inf")

    def ahead_of(self, account: str, weight: float) -> float:
        """Return at most how many start before a new request of the account."""
        line = self.lines.get(account)
        mine = len(line.tickets) if line is not None else 0
        others_weight = self.active_weight - (line.weight if mine and line else 0.0)
        shared = (mine + 1) * others_weight / weight
        return mine + min(self.size - mine, shared)


class FairQueue:
    """Waiting requests of one service.

    Among priorities the one whose oldest request has the earliest arrival plus
    head start goes first, so that patient work ends under any load. Inside a
    priority client accounts share by weight.
    """

    def __init__(self) -> None:
        self.queues = {priority: _PriorityQueue() for priority in PRIORITIES}
        """One queue a priority."""

    def __len__(self) -> int:
        return sum(queue.size for queue in self.queues.values())

    def add(self, ticket: Ticket) -> None:
        """Add a request."""
        self.queues[ticket.priority].add(ticket)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request; False when it does not wait."""
        return self.queues[ticket.priority].remove(ticket)

    def has_urgent(self) -> bool:
        """Tell whether an urgent request waits."""
        return self.queues[pb.URGENT].size > 0

    def pop(self, urgent_only: bool, now_s: float) -> Ticket | None:
        """Take the next request; None when none may go."""
        if urgent_only:
            urgent = self.queues[pb.URGENT]
            return urgent.pop(now_s) if urgent.size else None
        ready = [p for p in PRIORITIES if self.queues[p].size]
        if not ready:
            return None
        first = min(ready, key=lambda p: self.queues[p].oldest_s() + HEAD_START_S[p])
        return self.queues[first].pop(now_s)

    def line_wait_s(self, ticket: Ticket) -> float:
        """Return how long a new request would wait at its account's last pace."""
        line = self.queues[ticket.priority].lines.get(ticket.client_account)
        return line.wait_s() if line is not None else 0.0

    def ahead_of(self, ticket: Ticket) -> float:
        """Return how many waiting requests start before a new one."""
        ahead = 0.0
        for priority in PRIORITIES:
            if priority == ticket.priority:
                own = self.queues[priority]
                return ahead + own.ahead_of(ticket.client_account, ticket.weight)
            ahead += self.queues[priority].size
        return ahead
