"""One caller's request over HTTP, with the caller's own retries."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Final

import urllib3

from tanagerturn.replay._answers import Received, read_answer, read_stream
from tanagerturn.replay._bodies import Prepared, prepare
from tanagerturn.replay.results import CallerOutcome, RequestResult
from tanagerturn.replay.trace import AnswerMode, CallKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.replay.trace import TraceRequest

MS_PER_S: Final = 1000.0
CONNECT_TIMEOUT_S: Final = 1.0
SPARE_S: Final = 2.0
"""Time past the deadline that a caller still waits for the answer."""
RETRY_PAUSE_S: Final = 0.1
POLL_S: Final = 0.25
ATTEMPTS: Final = 12
"""Times that a caller sends one request at most."""


@dataclass
class Progress:
    """What a caller has done for one request so far."""

    request: TraceRequest
    """The request."""
    due_s: float
    """Intended time, on the monotonic clock."""
    deadline_ms: float
    """Time after the intended one by which the answer is of use."""
    sent_s: float
    """When it was first sent."""
    key: str
    """Present idempotency key."""
    attempts: int = 0
    """Times that it was sent."""
    keys: list[str] = field(default_factory=list)
    """Keys sent."""
    not_run_keys: list[str] = field(default_factory=list)
    """Keys told as not run."""
    received: Received = field(default_factory=Received)
    """What the last attempt got."""

    @property
    def left_s(self) -> float:
        """Time until the caller gives up."""
        return self.due_s + self.deadline_ms / MS_PER_S + SPARE_S - time.monotonic()


class Caller:
    """Calls entry hosts as an orderly client does; safe for several threads.

    After a broken connection it sends the same key to the next entry host.
    Patient work that was refused is sent again after the time asked for; other
    refused calls are not.

    Args:
        addresses: IP number and port of each entry host.
        speed: How much faster than recorded requests are sent; the deadlines
            of patient requests shrink by as much.
        connections: Connections kept for each entry host.
        direct: Calls a backend server itself: paths have no service in front.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        speed: float = 1.0,
        connections: int = 64,
        direct: bool = False,
    ) -> None:
        self.addresses = list(addresses)
        """Entry hosts."""
        self.speed = speed
        """How much faster than recorded requests are sent."""
        self.direct = direct
        """Whether a backend server itself is called."""
        self.turn = count()
        """Spreads requests over the entry hosts, as a balancer does."""
        self.pool = urllib3.PoolManager(
            num_pools=256, maxsize=connections, retries=False
        )
        """Connections to the entry hosts."""

    def call(self, request: TraceRequest, due_s: float) -> RequestResult:
        """Send one request until it has an outcome.

        Args:
            request: The request.
            due_s: Intended time of sending, on the monotonic clock.

        Returns:
            What the caller got; the time is counted from the intended one.
        """
        patient = request.kind == CallKind.PATIENT
        deadline_ms = request.deadline_ms / (self.speed if patient else 1.0)
        progress = Progress(request, due_s, deadline_ms, time.monotonic(), request.id)
        prepared = prepare(request, self.direct)
        place = next(self.turn)
        while progress.attempts < ATTEMPTS and progress.left_s > 0:
            address = self.addresses[(place + progress.attempts) % len(self.addresses)]
            self._send(progress, prepared, address)
            if not self._goes_on(progress):
                break
        return self._result(progress)

    def close(self) -> None:
        """Close all connections."""
        self.pool.clear()

    def _send(self, progress: Progress, prepared: Prepared, address: str) -> None:
        progress.attempts += 1
        if progress.key not in progress.keys:
            progress.keys.append(progress.key)
        headers = prepared.headers | {"Idempotency-Key": progress.key}
        if prepared.lookup:
            del headers["Idempotency-Key"]
        progress.received = Received()
        try:
            response = self._request(progress, prepared, address, headers)
            if response.status == 202:
                response = self._collect(progress, response, address, headers)
            self._read(progress, prepared, response)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            progress.received.outcome = CallerOutcome.NO_ANSWER
            progress.received.detail = type(error).__name__

    def _request(
        self,
        progress: Progress,
        prepared: Prepared,
        address: str,
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse:
        return self.pool.request(
            prepared.method,
            f"http://{address}{prepared.path}",
            body=prepared.body or None,
            headers=headers,
            preload_content=False,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=max(0.1, progress.left_s)
            ),
        )

    def _collect(
        self,
        progress: Progress,
        response: urllib3.BaseHTTPResponse,
        address: str,
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse:
        """Ask for the answer of an accepted request, at any entry host."""
        location = response.headers.get("Location", "")
        response.drain_conn()
        place = self.addresses.index(address)
        wanted = {"Authorization": headers["Authorization"]}
        while location and progress.left_s > 0:
            address = self.addresses[place % len(self.addresses)]
            place += 1
            try:
                response = self.pool.request(
                    "GET",
                    f"http://{address}{location}",
                    headers=wanted,
                    preload_content=False,
                    redirect=False,
                    timeout=urllib3.Timeout(
                        connect=CONNECT_TIMEOUT_S, read=max(0.1, progress.left_s)
                    ),
                )
            except (urllib3.exceptions.HTTPError, OSError):
                time.sleep(RETRY_PAUSE_S)
                continue
            if response.status not in (202, 404):
                return response
            response.drain_conn()
            time.sleep(POLL_S)
        return response

    def _read(
        self, progress: Progress, prepared: Prepared, response: urllib3.BaseHTTPResponse
    ) -> None:
        received = progress.received
        received.status = response.status
        received.retry_after_s = _retry_after(response)
        streamed = response.headers.get("Content-Type", "").startswith(
            "text/event-stream"
        )
        if response.status == 200 and streamed:
            read_stream(response, prepared, received)
        else:
            read_answer(response, prepared, received)

    def _goes_on(self, progress: Progress) -> bool:
        """Tell whether the caller sends again, after the wait that it takes."""
        received = progress.received
        request = progress.request
        if received.outcome == CallerOutcome.NO_ANSWER:
            time.sleep(RETRY_PAUSE_S)
            return True
        if received.status == 409 and received.retry_after_s:
            time.sleep(min(received.retry_after_s, max(0.0, progress.left_s)))
            return True
        if received.outcome != CallerOutcome.NOT_RUN:
            return False
        progress.not_run_keys.append(progress.key)
        if request.kind != CallKind.PATIENT:
            return False
        wait_s = max(RETRY_PAUSE_S, received.retry_after_s)
        if wait_s >= progress.left_s:
            return False
        time.sleep(wait_s)
        progress.key = f"{request.id}~{len(progress.not_run_keys) + 1}"
        return True

    def _result(self, progress: Progress) -> RequestResult:
        request, received = progress.request, progress.received
        streamed = request.answer == AnswerMode.STREAM and received.first_token_s
        first_ms = (received.first_token_s - progress.due_s) * MS_PER_S
        return RequestResult(
            id=request.id,
            at_ms=0.0,
            client_account=request.client_account,
            service=request.service,
            call=request.call,
            kind=request.kind.value,
            deadline_ms=progress.deadline_ms,
            outcome=received.outcome,
            status=received.status,
            late_ms=round((progress.sent_s - progress.due_s) * MS_PER_S, 3),
            latency_ms=round((time.monotonic() - progress.due_s) * MS_PER_S, 3),
            first_token_ms=round(first_ms, 3) if streamed else 0.0,
            tokens=received.tokens,
            recomputed_tokens=received.recomputed_tokens,
            attempts=progress.attempts,
            keys=tuple(progress.keys),
            not_run_keys=tuple(progress.not_run_keys),
            right=received.right,
            in_order=received.in_order,
            detail=received.detail,
        )


def _retry_after(response: urllib3.BaseHTTPResponse) -> float:
    try:
        return max(0.0, float(response.headers.get("Retry-After", "0")))
    except ValueError:
        return 0.0
