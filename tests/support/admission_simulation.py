"""Simulates request loads on an admission control and counts their outcomes."""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.admission.tickets import Refuse, Start, Ticket, TicketId

if TYPE_CHECKING:
    from tanagerturn.serving.admission.admission import Admission


@dataclass(frozen=True)
class Load:
    """Requests of one client account and priority.

    Attributes:
        name: Name of the load.
        account: Client account that sends the requests.
        priority: Priority of the requests.
        per_s: Mean number of requests per second.
        hold_s: Mean time that a request holds its slot, in seconds.
        deadline_s: Seconds after its arrival at which a waiting request is overdue.
        service: Service that the requests call.
    """

    name: str
    account: str
    priority: int
    per_s: float
    hold_s: float
    deadline_s: float
    service: str = "pool"


@dataclass
class Outcome:
    """Counts, waits and refusals of the requests of one load.

    Attributes:
        offered: Number of requests that arrived.
        refused: Number of refused requests.
        overdue: Number of requests withdrawn from the queue at their deadline.
        done: Number of requests that ended.
        waits: Wait of each started request, in seconds.
        refusals: Simulated time in seconds and decision of each refusal.
    """

    offered: int = 0
    refused: int = 0
    overdue: int = 0
    done: int = 0
    waits: list[float] = field(default_factory=list)
    refusals: list[tuple[float, Refuse]] = field(default_factory=list)

    def wait_percentile(self, percentile: float) -> float:
        """Return a percentile of the waits, in seconds.

        Args:
            percentile: The percentile, 0 to 100.
        """
        ordered = sorted(self.waits)
        return ordered[int(percentile / 100 * (len(ordered) - 1))]


class Simulation:
    """One entry host under several loads with Poisson arrivals.

    Args:
        admission: Admission control of the host.
        loads: Loads that send requests.
        seed: Seed of the arrival and holding times.
    """

    def __init__(self, admission: Admission, loads: list[Load], seed: int) -> None:
        self.admission = admission
        self.loads = loads
        self.random = Random(seed)
        self.ids = itertools.count(1)
        self.events: list[tuple[float, int, str, object]] = []
        self.outcomes: dict[str, Outcome] = defaultdict(Outcome)
        self.owners: dict[TicketId, Load] = {}
        self.waiting: dict[TicketId, Ticket] = {}

    def run(self, until_s: float, arrive_until_s: float) -> dict[str, Outcome]:
        """Run the simulation up to a time and return the outcome of each load by name.

        Args:
            until_s: Simulated time in seconds at which the simulation ends.
            arrive_until_s: Simulated time in seconds after which no request arrives.
        """
        for load in self.loads:
            self.schedule_arrival(0.0, load)
        while self.events and self.events[0][0] <= until_s:
            now_s, _, kind, subject = heapq.heappop(self.events)
            if kind == "arrive":
                self.arrive(subject, now_s)
                if now_s < arrive_until_s:
                    self.schedule_arrival(now_s, subject)
            elif kind == "end":
                self.outcomes[self.owners[subject.ticket_id].name].done += 1
                self.start_all(self.admission.finish(subject, now_s), now_s)
            elif self.admission.withdraw(subject):
                self.outcomes[self.owners[subject.ticket_id].name].overdue += 1
        return self.outcomes

    def schedule(self, at_s: float, kind: str, subject: object) -> None:
        """Schedule an event.

        Args:
            at_s: Simulated time of the event in seconds.
            kind: `arrive`, `end` or `deadline`.
            subject: The load for `arrive`, otherwise the ticket.
        """
        heapq.heappush(self.events, (at_s, next(self.ids), kind, subject))

    def schedule_arrival(self, now_s: float, load: Load) -> None:
        """Schedule the next arrival of a load."""
        self.schedule(now_s + self.random.expovariate(load.per_s), "arrive", load)

    def arrive(self, load: Load, now_s: float) -> None:
        """Offer a new request to the admission control."""
        ticket = make_ticket(next(self.ids), load, now_s)
        self.owners[ticket.ticket_id] = load
        outcome = self.outcomes[load.name]
        outcome.offered += 1
        decision = self.admission.offer(ticket, now_s)
        if isinstance(decision, Start):
            self.start_all([ticket], now_s)
        elif isinstance(decision, Refuse):
            outcome.refused += 1
            outcome.refusals.append((now_s, decision))
        else:
            self.schedule(ticket.deadline_s, "deadline", ticket)

    def start_all(self, tickets: list[Ticket], now_s: float) -> None:
        """Record the waits of started requests and schedule their ends."""
        for ticket in tickets:
            load = self.owners[ticket.ticket_id]
            self.outcomes[load.name].waits.append(now_s - ticket.arrived_s)
            self.schedule(
                now_s + self.random.expovariate(1 / load.hold_s), "end", ticket
            )


def make_ticket(number: int, load: Load, now_s: float) -> Ticket:
    """Return the ticket of a request of a load that arrives at `now_s`."""
    return Ticket(
        ticket_id=TicketId(number),
        service=load.service,
        client_account=load.account,
        priority=load.priority,
        arrived_s=now_s,
        deadline_s=now_s + load.deadline_s,
    )


PRIORITIES = {"urgent": pb.URGENT, "normal": pb.NORMAL, "low": pb.LOW}
