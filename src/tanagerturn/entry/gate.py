"""Admits requests: first by the limits of client accounts, then by capacity.

Each decision takes a few microseconds, so a lock guards the state; an actor would
add two thread switches to every request.
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
"""Caller threads reserved for refusing requests."""

DEFAULT_URGENT_RESERVE: Final = 0.2
OVERCOMMIT: Final = 1.5
"""Factor on a host's even part of the slots, as requests are spread unevenly."""

SLOTS_MAX_AGE_S: Final = 0.5
"""Age in seconds from which the slots of the services are read again."""


@dataclass
class AdmittedRequest:
    """A request that was admitted; `release` has an effect only once."""

    gate: Gate
    """Gate that admitted the request."""
    ticket: Ticket
    """Admission ticket of the request."""
    tokens: int = 0
    """Generated tokens, charged to the client account on release."""
    released: bool = False
    """Whether the request was released."""

    def release(self) -> None:
        """End the request and start waiting requests that now have capacity."""
        self.gate.release(self)


class Gate:
    """Account limits and admission of one entry process; thread-safe.

    Args:
        threads: Number of threads for callers' requests.
        read_slots: Function that returns the total slots of each service at its
            backend servers.
    """

    def __init__(
        self, threads: int, read_slots: Callable[[], Mapping[str, int]]
    ) -> None:
        capacity = max(1, threads - REFUSAL_THREADS)
        self.admission = Admission(capacity, DEFAULT_URGENT_RESERVE)
        """Starts, queues or refuses each request."""
        self.limiter = AccountLimiter()
        """Limits of client accounts."""
        self.read_slots = read_slots
        """Function that returns the total slots of each service at its servers."""
        self.host_count = 1
        """Number of entry hosts that share the slots and limits, at least 1."""
        self.resolved_settings: ResolvedSettings | None = None
        """Resolved settings in force; None before the first settings."""
        self.shares: ShareReporter | None = None
        """Reporter of limit shares by demand; None for an even part of each limit."""
        self.slots_read_s = 0.0
        """Monotonic time of the last read of the slots, in seconds."""
        self.started: dict[TicketId, threading.Event] = {}
        """Event by waiting ticket; set when the request may run."""
        self.is_ending = False
        """Whether waiting requests are refused, since the process is about to end."""
        self.ticket_numbers = itertools.count(1)
        """Counter of ticket ids."""
        self.lock = threading.Lock()
        """Guards `admission`, `limiter` and `resolved_settings`."""

    def __repr__(self) -> str:
        return f"Gate({self.admission!r}, hosts={self.host_count})"

    def set_settings(self, resolved_settings: ResolvedSettings) -> None:
        """Apply new resolved settings."""
        with self.lock:
            self.resolved_settings = resolved_settings
        self._set_limits()

    def set_host_count(self, hosts: int) -> None:
        """Apply the number of live entry hosts that share the limits."""
        with self.lock:
            self.host_count = max(1, hosts)
        self._set_limits()

    def set_share_reporter(self, shares: ShareReporter) -> None:
        """Use shares by demand in place of even parts of the limits."""
        self.shares = shares
        self._set_limits()

    def set_allowances(self, allowances: Mapping[ClientAccountId, Allowance]) -> None:
        """Set this host's allowance of each client account."""
        now_s = time.monotonic()
        with self.lock:
            for account, allowance in allowances.items():
                self.limiter.set_allowance(account, allowance, now_s)

    def admit(self, call: CallerCall, now_s: float) -> AdmittedRequest:
        """Admit a request, after waiting for capacity if needed.

        Args:
            call: The request to admit.
            now_s: Current monotonic time in seconds.

        Returns:
            The admitted request, to be released when it has ended.

        Raises:
            ProblemError: The request is refused and did not run.
        """
        account = ClientAccountId(call.account.name)
        charged = self._charge(account, now_s)
        if isinstance(charged, LimitExceeded):
            raise ProblemError(
                429, "Over the limit", f"Over the limit of {charged.limit.value}.",
                step="limit", retry_after_s=charged.retry_after_s,
            )  # fmt: skip
        try:
            return self._wait_for_admission(call, now_s)
        except BaseException:
            with self.lock:
                self._finish(account, 0, now_s)
            raise

    def release(self, admitted: AdmittedRequest) -> None:
        """End a request; see `AdmittedRequest.release`."""
        now_s = time.monotonic()
        with self.lock:
            if admitted.released:
                return
            admitted.released = True
            account = ClientAccountId(admitted.ticket.client_account)
            self._finish(account, admitted.tokens, now_s)
            self._start(self.admission.finish(admitted.ticket, now_s))

    def drain(self) -> None:
        """Refuse all new requests from now on."""
        with self.lock:
            self.admission.draining = True

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait, because the process ends before their turn."""
        with self.lock:
            self.is_ending = True
            for started in self.started.values():
                started.set()

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        with self.lock:
            services = self.admission.services
            return {
                "hosts": self.host_count,
                "capacity": self.admission.capacity,
                "held": self.admission.held_by_priority.total(),
                "services": {
                    name: {
                        "slots": service_state.slots,
                        "running": len(service_state.running),
                        "waiting": len(service_state.queue),
                        "mean_hold_s": service_state.hold_s,
                    }
                    for name, service_state in services.items()
                },
                "running_by_account": {
                    name: use.concurrent for name, use in self.limiter.accounts.items()
                },
            }

    def _wait_for_admission(self, call: CallerCall, now_s: float) -> AdmittedRequest:
        self._refresh_slots(call.service.name, now_s)
        ticket = Ticket(
            ticket_id=TicketId(next(self.ticket_numbers)),
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
                return AdmittedRequest(self, ticket)
            if isinstance(decision, Refuse):
                raise make_refusal(decision)
            started = threading.Event()
            self.started[ticket.ticket_id] = started
        self._wait(ticket, started, now_s)
        return AdmittedRequest(self, ticket)

    def _wait(self, ticket: Ticket, started: threading.Event, now_s: float) -> None:
        started.wait(ticket.deadline_s - now_s)
        with self.lock:
            self.started.pop(ticket.ticket_id, None)
            if not self.admission.withdraw(ticket):
                return
            is_ending = self.is_ending
        reason = RefusalReason.DRAINING if is_ending else RefusalReason.DEADLINE
        raise make_refusal(Refuse(reason, 1.0))

    def _start(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            started = self.started.get(ticket.ticket_id)
            if started is not None:
                started.set()

    def _refresh_slots(self, service: str, now_s: float) -> None:
        with self.lock:
            service_state = self.admission.services.get(service)
            has_slots = service_state is not None and service_state.slots > 0
            if has_slots and now_s - self.slots_read_s < SLOTS_MAX_AGE_S:
                return
            self.slots_read_s = now_s
        slots = self.read_slots()
        with self.lock:
            for name in {*self.admission.services, *slots}:
                count = self._local_slots(slots.get(name, 0))
                reserve = self._urgent_reserve(name)
                self._start(self.admission.set_service(name, count, reserve, now_s))

    def _local_slots(self, slots: int) -> int:
        even_part = -(-slots // self.host_count)
        return min(slots, int(even_part * OVERCOMMIT + 0.5))

    def _urgent_reserve(self, name: str) -> float:
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
        resolved_settings, hosts = self.resolved_settings, self.host_count
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
                    make_allowance(account.limits), 1 / hosts
                )
                for account in accounts
            }
        )


def make_allowance(limits: settings_pb2.AccountLimits) -> Allowance:
    """Return a client account's limits, which hold over all entry hosts."""
    return Allowance(
        requests_per_s=limits.requests_per_s,
        concurrent_requests=limits.concurrent_requests,
        tokens_per_s=limits.tokens_per_s,
    )


def make_refusal(decision: Refuse) -> ProblemError:
    """Return the problem for a request that was not admitted."""
    detail = f"Not taken: {decision.reason.value}."
    return ProblemError(
        503, "Not taken", detail, step="admit", retry_after_s=decision.retry_after_s
    )
