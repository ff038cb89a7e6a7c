"""Sends the requests of a trace over HTTP and retries them as a caller would."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Final

import urllib3

from tanagerturn.replay._requests import PreparedRequest, prepare_request
from tanagerturn.replay._responses import (
    AttemptResult,
    read_event_stream,
    read_whole_response,
)
from tanagerturn.replay.results import CallerOutcome, RequestResult
from tanagerturn.replay.trace import AnswerMode, CallKind
from tanagerturn.shared.http_pools import make_pools

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.replay.trace import TraceRequest

MS_PER_S: Final = 1000.0
CONNECT_TIMEOUT_S: Final = 1.0
DEADLINE_GRACE_S: Final = 2.0
"""Time after the deadline at which a caller gives up, in seconds."""
RETRY_DELAY_S: Final = 0.1
POLL_INTERVAL_S: Final = 0.25
MAX_ATTEMPTS: Final = 12
"""Maximum number of times that a caller sends one request."""


@dataclass
class CallProgress:
    """State of a caller's request across its attempts."""

    request: TraceRequest
    """Request in the trace."""
    due_s: float
    """Intended send time on the monotonic clock, in seconds."""
    deadline_ms: float
    """Deadline of the response, in milliseconds after the intended send time."""
    sent_s: float
    """Time of the first attempt on the monotonic clock, in seconds."""
    key: str
    """Current idempotency key."""
    attempts: int = 0
    """Number of attempts so far."""
    keys: list[str] = field(default_factory=list)
    """Idempotency keys that were sent, without duplicates."""
    not_run_keys: list[str] = field(default_factory=list)
    """Idempotency keys that a response reported as not run."""
    result: AttemptResult = field(default_factory=AttemptResult)
    """Result of the last attempt."""

    @property
    def remaining_s(self) -> float:
        """Time until the caller gives up, in seconds."""
        return (
            self.due_s
            + self.deadline_ms / MS_PER_S
            + DEADLINE_GRACE_S
            - time.monotonic()
        )


class Caller:
    """Calls entry hosts as a well-behaved client does; thread-safe.

    After an attempt without a complete response, the request is sent with the same key
    to the next entry host. A patient request that was reported as not run is sent again
    with a new key after the Retry-After time; other refused calls are not sent again.

    Args:
        addresses: IP address and port of each entry host.
        speed: Factor by which requests are sent faster than recorded; the deadlines
            of patient requests are divided by it.
        connections: Maximum number of idle connections kept to each entry host.
        direct: Whether a backend server is called directly; paths then lack
            the prefix `/services/NAME`.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        speed: float = 1.0,
        connections: int = 64,
        direct: bool = False,
    ) -> None:
        self.addresses = list(addresses)
        """IP address and port of each entry host."""
        self.speed = speed
        """Factor by which requests are sent faster than recorded."""
        self.direct = direct
        """Whether a backend server is called directly."""
        self.request_counter = count()
        """Counts requests; selects entry hosts in turn, as a load balancer does."""
        self.pool = make_pools(256, connections)
        """Connection pool of the entry hosts."""

    def call(self, request: TraceRequest, due_s: float) -> RequestResult:
        """Send one request, with retries, until its outcome is final.

        Args:
            request: Request in the trace.
            due_s: Intended send time on the monotonic clock, in seconds.

        Returns:
            Result of the request; times are measured from the intended send time.
        """
        is_patient = request.kind == CallKind.PATIENT
        deadline_ms = request.deadline_ms / (self.speed if is_patient else 1.0)
        progress = CallProgress(
            request, due_s, deadline_ms, time.monotonic(), request.id
        )
        prepared = prepare_request(request, self.direct)
        address_index = next(self.request_counter)
        while progress.attempts < MAX_ATTEMPTS and progress.remaining_s > 0:
            address = self.addresses[
                (address_index + progress.attempts) % len(self.addresses)
            ]
            self._send_attempt(progress, prepared, address)
            if not self._prepare_retry(progress):
                break
        return self._build_result(progress)

    def close(self) -> None:
        """Close all pooled connections."""
        self.pool.clear()

    def _send_attempt(
        self, progress: CallProgress, prepared: PreparedRequest, address: str
    ) -> None:
        progress.attempts += 1
        if progress.key not in progress.keys:
            progress.keys.append(progress.key)
        headers = prepared.headers | {"Idempotency-Key": progress.key}
        if prepared.is_lookup:
            del headers["Idempotency-Key"]
        progress.result = AttemptResult()
        try:
            response = self._send_request(progress, prepared, address, headers)
            if response.status == 202:
                response = self._poll_response(progress, response, address, headers)
            self._read_response(progress, prepared, response)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            progress.result.outcome = CallerOutcome.NO_ANSWER
            progress.result.detail = type(error).__name__

    def _send_request(
        self,
        progress: CallProgress,
        prepared: PreparedRequest,
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
                connect=CONNECT_TIMEOUT_S, read=max(0.1, progress.remaining_s)
            ),
        )

    def _poll_response(
        self,
        progress: CallProgress,
        response: urllib3.BaseHTTPResponse,
        address: str,
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse:
        """Poll the entry hosts in turn for the response to an accepted request."""
        location = response.headers.get("Location", "")
        response.drain_conn()
        address_index = self.addresses.index(address)
        poll_headers = {"Authorization": headers["Authorization"]}
        while location and progress.remaining_s > 0:
            address = self.addresses[address_index % len(self.addresses)]
            address_index += 1
            try:
                response = self.pool.request(
                    "GET",
                    f"http://{address}{location}",
                    headers=poll_headers,
                    preload_content=False,
                    redirect=False,
                    timeout=urllib3.Timeout(
                        connect=CONNECT_TIMEOUT_S, read=max(0.1, progress.remaining_s)
                    ),
                )
            except (urllib3.exceptions.HTTPError, OSError):
                time.sleep(RETRY_DELAY_S)
                continue
            if response.status not in (202, 404):
                return response
            response.drain_conn()
            time.sleep(POLL_INTERVAL_S)
        return response

    def _read_response(
        self,
        progress: CallProgress,
        prepared: PreparedRequest,
        response: urllib3.BaseHTTPResponse,
    ) -> None:
        result = progress.result
        result.status = response.status
        result.retry_after_s = _retry_after(response)
        is_stream = response.headers.get("Content-Type", "").startswith(
            "text/event-stream"
        )
        if response.status == 200 and is_stream:
            read_event_stream(response, prepared, result)
        else:
            read_whole_response(response, prepared, result)

    def _prepare_retry(self, progress: CallProgress) -> bool:
        """Wait before a retry; return whether the request must be sent again."""
        result = progress.result
        request = progress.request
        if result.outcome == CallerOutcome.NO_ANSWER:
            time.sleep(RETRY_DELAY_S)
            return True
        if result.status == 409 and result.retry_after_s:
            time.sleep(min(result.retry_after_s, max(0.0, progress.remaining_s)))
            return True
        if result.outcome != CallerOutcome.NOT_RUN:
            return False
        progress.not_run_keys.append(progress.key)
        if request.kind != CallKind.PATIENT:
            return False
        wait_s = max(RETRY_DELAY_S, result.retry_after_s)
        if wait_s >= progress.remaining_s:
            return False
        time.sleep(wait_s)
        progress.key = f"{request.id}~{len(progress.not_run_keys) + 1}"
        return True

    def _build_result(self, progress: CallProgress) -> RequestResult:
        request, result = progress.request, progress.result
        is_stream = request.answer == AnswerMode.STREAM and result.first_token_s
        first_token_ms = (result.first_token_s - progress.due_s) * MS_PER_S
        return RequestResult(
            id=request.id,
            at_ms=0.0,
            client_account=request.client_account,
            service=request.service,
            call=request.call,
            kind=request.kind.value,
            deadline_ms=progress.deadline_ms,
            outcome=result.outcome,
            status=result.status,
            late_ms=round((progress.sent_s - progress.due_s) * MS_PER_S, 3),
            latency_ms=round((time.monotonic() - progress.due_s) * MS_PER_S, 3),
            first_token_ms=round(first_token_ms, 3) if is_stream else 0.0,
            tokens=result.tokens,
            recomputed_tokens=result.recomputed_tokens,
            attempts=progress.attempts,
            keys=tuple(progress.keys),
            not_run_keys=tuple(progress.not_run_keys),
            right=result.right,
            in_order=result.in_order,
            detail=result.detail,
        )


def _retry_after(response: urllib3.BaseHTTPResponse) -> float:
    try:
        return max(0.0, float(response.headers.get("Retry-After", "0")))
    except ValueError:
        return 0.0
