"""Lets requests in: limits of client accounts first, then admission.

Each decision takes some microseconds, so a lock guards them; an actor would add
two switches of threads to every request.
"""

from __future__ import annotations

import itertools
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.admission.admission import Admission
from tanagerturn.serving.admission.tickets import (
    RefusalReason,
    Refuse,
    Start,
    Ticket,
    TicketId,
)
from tanagerturn.serving.limits.limiter import (
    AccountLimiter,
    Allowance,
    LimitExceeded,
    Within,
    scale_allowance,
)
from tanagerturn.serving.requests.ids import ClientAccountId
from tanagerturn.shared.problems import ProblemError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from tanagerturn.coordination.shares.service import ShareReporter
    from tanagerturn.entry.callers import CallerCall
    from tanagerturn.schema import settings_pb2
    from tanagerturn.shared.resolved_settings import ResolvedSettings

REFUSAL_THREADS: Final = 4
"""Threads kept for answering refusals."""

DEFAULT_RESERVE: Final = 0.2
OVERCOMMIT: Final = 1.5
"""A host's slots against its even part, since requests come unevenly."""

SLOTS_AGE_S: Final = 0.5
"""Time after which the slots of the services are read again."""


@dataclass
class Pass:
    """A request that was let in; `leave` ends it once."""

    gate: Gate
    """Gate that let it in."""
    ticket: Ticket
    """Its ticket."""
    tokens: int = 0
    """Tokens that were made for it, charged at its end."""
    left: bool = False
    """It has ended."""

    def leave(self) -> None:
        """End the request and start one that waits."""
        self.gate.leave(self)


class Gate:
    """Limits and admission of one entry process; safe for several threads.

    Args:
        threads: Threads for callers' requests.
        read_slots: Returns the slots of each service at its backend servers.
    """

    def __init__(
        self, threads: int, read_slots: Callable[[], Mapping[str, int]]
    ) -> None:
        capacity = max(1, threads - REFUSAL_THREADS)
        self.admission = Admission(capacity, DEFAULT_RESERVE)
        """Decides about each request."""
        self.limiter = AccountLimiter()
        """Limits of client accounts."""
        self.read_slots = read_slots
        """Returns the slots of each service at its backend servers."""
        self.hosts = 1
        """Entry hosts that share the slots and the limits."""
        self.resolved_settings: ResolvedSettings | None = None
        """Settings in force."""
        self.shares: ShareReporter | None = None
        """Shares that follow demand; None: an even part of each limit."""
        self.slots_read_s = 0.0
        """When the slots were read."""
        self.started: dict[TicketId, threading.Event] = {}
        """Set when a waiting request may run."""
        self.numbers = itertools.count(1)
        """Numbers of the tickets."""
        self.lock = threading.Lock()
        """Guards all of it."""

    def __repr__(self) -> str:
        return f"Gate({self.admission!r}, hosts={self.hosts})"

    def set_settings(self, resolved_settings: ResolvedSettings) -> None:
        """Take over settings."""
        with self.lock:
            self.resolved_settings = resolved_settings
        self._set_limits()

    def set_hosts(self, hosts: int) -> None:
        """Take over the number of entry hosts that share the limits."""
        with self.lock:
            self.hosts = max(1, hosts)
        self._set_limits()

    def follow_shares(self, shares: ShareReporter) -> None:
        """Let shares by demand take the place of even parts."""
        self.shares = shares
        self._set_limits()

    def set_allowances(self, allowances: Mapping[ClientAccountId, Allowance]) -> None:
        """Set what this host may let each client account use."""
        now_s = time.monotonic()
        with self.lock:
            for account, allowance in allowances.items():
                self.limiter.set_allowance(account, allowance, now_s)

    def enter(self, call: CallerCall, now_s: float) -> Pass:
        """Let a request in, perhaps after a wait.

        Args:
            call: The request.
            now_s: Present monotonic clock in seconds.

        Returns:
            Its pass, to be left when the request has ended.

        Raises:
            ProblemError: It is refused; it did not run.
        """
        account = ClientAccountId(call.account.name)
        over = self._charge(account, now_s)
        if isinstance(over, LimitExceeded):
            raise ProblemError(
                429, "Over the limit", f"Over the limit of {over.limit.value}.",
                step="limit", retry_after_s=over.retry_after_s,
            )  # fmt: skip
        try:
            return self._admit(call, now_s)
        except BaseException:
            with self.lock:
                self._finish(account, 0, now_s)
            raise

    def leave(self, passed: Pass) -> None:
        """End a request; see `Pass.leave`."""
        now_s = time.monotonic()
        with self.lock:
            if passed.left:
                return
            passed.left = True
            account = ClientAccountId(passed.ticket.client_account)
            self._finish(account, passed.tokens, now_s)
            self._start(self.admission.finish(passed.ticket, now_s))

    def drain(self) -> None:
        """Let nothing new in."""
        with self.lock:
            self.admission.draining = True

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        with self.lock:
            rooms = self.admission.services
            return {
                "hosts": self.hosts,
                "capacity": self.admission.capacity,
                "held": self.admission.held.total(),
                "services": {
                    name: {
                        "slots": room.slots,
                        "running": len(room.running),
                        "waiting": len(room.queue),
                        "mean_hold_s": room.hold_s,
                    }
                    for name, room in rooms.items()
                },
                "running_by_account": {
                    name: use.concurrent for name, use in self.limiter.accounts.items()
                },
            }

    def _admit(self, call: CallerCall, now_s: float) -> Pass:
        self._refresh_slots(call.service.name, now_s)
        ticket = Ticket(
            ticket_id=TicketId(next(self.numbers)),
            service=call.service.name,
            client_account=call.account.name,
            priority=call.priority or serving_pb2.NORMAL,
            arrived_s=now_s,
            deadline_s=now_s + call.deadline_ms / 1000,
            weight=call.account.weight or 1.0,
        )
        with self.lock:
            decision = self.admission.offer(ticket, now_s)
            if isinstance(decision, Start):
                return Pass(self, ticket)
            if isinstance(decision, Refuse):
                raise refusal(decision)
            started = threading.Event()
            self.started[ticket.ticket_id] = started
        self._wait(ticket, started, now_s)
        return Pass(self, ticket)

    def _wait(self, ticket: Ticket, started: threading.Event, now_s: float) -> None:
        started.wait(ticket.deadline_s - now_s)
        with self.lock:
            self.started.pop(ticket.ticket_id, None)
            if started.is_set() or not self.admission.withdraw(ticket):
                return
        raise refusal(Refuse(RefusalReason.DEADLINE, 1.0))

    def _start(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            started = self.started.get(ticket.ticket_id)
            if started is not None:
                started.set()

    def _refresh_slots(self, service: str, now_s: float) -> None:
        with self.lock:
            room = self.admission.services.get(service)
            known = room is not None and room.slots > 0
            if known and now_s - self.slots_read_s < SLOTS_AGE_S:
                return
            self.slots_read_s = now_s
        slots = self.read_slots()
        with self.lock:
            for name in {*self.admission.services, *slots}:
                count = self._part_of(slots.get(name, 0))
                reserve = self._reserve_of(name)
                self._start(self.admission.set_service(name, count, reserve, now_s))

    def _part_of(self, slots: int) -> int:
        part = -(-slots // self.hosts)
        return min(slots, int(part * OVERCOMMIT + 0.5))

    def _reserve_of(self, name: str) -> float:
        service = (
            self.resolved_settings.services.get(name)
            if self.resolved_settings
            else None
        )
        return service.urgent_reserve if service is not None else 0.0

    def _charge(self, account: ClientAccountId, now_s: float) -> Within | LimitExceeded:
        with self.lock:
            verdict = self.limiter.start(account, now_s)
        if self.shares is not None:
            self.shares.on_request(account)
            if isinstance(verdict, Within):
                self.shares.on_started(account)
        return verdict

    def _finish(self, account: ClientAccountId, tokens: int, now_s: float) -> None:
        self.limiter.finish(account, tokens, now_s)
        if self.shares is not None:
            self.shares.on_ended(account, tokens)

    def _set_limits(self) -> None:
        resolved_settings, hosts = self.resolved_settings, self.hosts
        if resolved_settings is None:
            return
        accounts = resolved_settings.settings.client_accounts
        if self.shares is not None:
            limits = {account.name: account.limits for account in accounts}
            self.shares.set_limits(limits, hosts)
            return
        self.set_allowances(
            {
                ClientAccountId(account.name): scale_allowance(
                    allowance_of(account.limits), 1 / hosts
                )
                for account in accounts
            }
        )


def allowance_of(limits: settings_pb2.AccountLimits) -> Allowance:
    """Return the limits of a client account over all entry hosts."""
    return Allowance(
        requests_per_s=limits.requests_per_s,
        concurrent_requests=limits.concurrent_requests,
        tokens_per_s=limits.tokens_per_s,
    )


def refusal(decision: Refuse) -> ProblemError:
    """Return the problem of a request that was not let in."""
    detail = f"Not taken: {decision.reason.value}."
    return ProblemError(
        503, "Not taken", detail, step="admit", retry_after_s=decision.retry_after_s
    )
