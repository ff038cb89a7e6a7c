"""Typed requests of callers, responses of backend servers, and control calls.

A dialect decodes these values from the wire and encodes them; see `dialect.py`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, NewType

from tanagerturn.coordination.errors import RefusedError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.schema import serving_pb2
    from tanagerturn.serving.backends.messages import BackendId

AttemptId = NewType("AttemptId", str)
"""Id that a caller gave to one of its attempts of a request."""

PromptPartId = NewType("PromptPartId", str)
"""Id of one part of a prompt; equal parts have equal ids."""

UNAVAILABLE_STATUS: Final = 503
"""HTTP status by which a backend server refuses a request for want of room."""

RawHeaders = list[tuple[bytes, bytes]]
"""Header names and values as on the wire."""


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt."""

    id: PromptPartId
    """Id of the part; the last part of a prompt is unique to its request or session."""
    tokens: int
    """Size of the part in tokens."""


@dataclass(frozen=True)
class Prompt:
    """Properties of a generation, as stated by its caller."""

    model: str
    """Name of the requested model."""
    prompt_tokens: int
    """Size of the prompt in tokens."""
    max_output_tokens: int
    """Maximum number of output tokens."""
    parts: tuple[PromptPart, ...] = ()
    """Parts of the prompt in the order in which an engine reads them; empty if the
    caller stated none."""
    expected_output_tokens: int | None = None
    """The caller's estimate of the number of output tokens, which is correct at the
    median but often far off; None if the caller gave none."""


@dataclass(frozen=True)
class InboundRequest:
    """The head of one request of a caller."""

    method: str
    """HTTP method."""
    target: str
    """Path and query as received."""
    path: str
    """Path without the query."""
    host: str
    """Host name in lower case, without a port."""
    attempt_id: AttemptId
    """Id of the caller's attempt; empty if the caller sent none."""
    caller_timeout_s: float | None
    """Time in seconds for which the caller waits for the response; None if it stated
    none."""
    key: str
    """API key of a client account; empty if the caller sent none."""
    last_event_id: int | None
    """Id of the last event of the stream that the caller has; None at its beginning."""
    prompt: Prompt | None
    """Prompt of a generation; None for plain requests."""
    resumed_attempt_id: AttemptId
    """Id of the attempt that began the stream that this one resumes; empty if the
    caller names none."""
    forwarded_headers: RawHeaders = field(default_factory=list, repr=False)
    """Headers to forward to the backend server."""


@dataclass(frozen=True)
class BackendReport:
    """State that a backend server reports about itself when queried."""

    leaving_in_ms: int | None
    """Time in milliseconds until the backend server stops; None if it is unknown."""
    runs: Mapping[str, int] | None = None
    """Number of events made of each running generation, by attempt id; None if the
    report has no valid list. It is some hundred ms old."""
    born_ms: int | None = None
    """Wall-clock time of the start that made the report, in milliseconds; None if the
    report does not state it."""


class UnknownRunError(RefusedError):
    """The backend server runs no request with the id that a call named."""


@dataclass(frozen=True)
class KvCopy:
    """KV cache of a stopped request that was copied to another engine."""

    source_address: str
    """IP address and port of the engine that ran the request before."""
    handle: str
    """Name of the copy at the source engine."""


@dataclass(frozen=True)
class Forwarding:
    """Values that a gateway adds to a request that it forwards to a backend server."""

    backend_id: BackendId
    """Backend server that has to run the request; another one at its address must
    not."""
    time_left_s: float
    """Time in seconds after which the backend server gives up the request."""
    client_account: str
    """Client account of the caller; empty on anonymous routes."""
    last_event_id: int | None
    """Id of the event after which a stream resumes; None to start at its beginning."""
    engine_priority: int | None = None
    """Priority at the engine, 0 is the most urgent; None for the engine's default."""
    kv_copy: KvCopy | None = None
    """Copy of the KV cache from which the request resumes; None for none."""


@dataclass(frozen=True)
class LoadHint:
    """Load of a backend server at the time of a response."""

    running: int
    """Number of requests that the backend server runs."""
    waiting: int
    """Number of requests that the backend server queues."""
    slots: int
    """Number of requests that the backend server can run concurrently."""
    time_percent: int | None = None
    """Time that work takes at this moment, in percent of the usual time of the backend
    server; None if it states none."""
    unknown_fields: int = 0
    """Number of further fields of the report, whose meaning is unknown."""


@dataclass(frozen=True)
class BackendReply:
    """Decoded head of a backend server's response."""

    status: int
    """HTTP status."""
    attempt_id: str
    """Id of the attempt that the response belongs to; empty if the head names none."""
    has_backend_proof: bool
    """The head has the header that proves that a backend server made the response."""
    states_not_run: bool
    """The backend server states that it did not run the request."""
    is_wrong_backend: bool
    """The address belongs to another backend server than the intended one."""
    load: LoadHint | None
    """Load of the backend server; None if the head states none."""
    keep_alive_s: float | None
    """Time in seconds after which the backend server closes an idle connection; None if
    not stated."""
    limit_per_s: float | None
    """Requests per second that the backend server takes from all gateways together;
    None if it names no limit."""
    pause_s: float | None
    """Time in seconds for which the backend server wants no requests; None if it asks
    for no pause."""
    is_leaving: bool
    """The backend server states that it is about to stop."""
    brittle_per_s: float | None
    """Number of rejections in a second above which the backend server fails; None if it
    states none."""
    closes_connection: bool
    """The backend server closes the connection after this response."""

    @property
    def is_want_of_room(self) -> bool:
        """Whether the backend server had no room for the request."""
        return self.states_not_run and self.status == UNAVAILABLE_STATUS

    @property
    def is_refusal(self) -> bool:
        """Whether the backend server refused the request without running it."""
        return self.states_not_run or self.is_wrong_backend


@dataclass(frozen=True)
class Announce:
    """A backend server announces itself."""

    announcement: serving_pb2.Announcement


@dataclass(frozen=True)
class Withdraw:
    """A backend server announces that it is about to stop."""

    backend_id: BackendId
    """Id of the backend server."""
    born_ms: int
    """Wall-clock time of its start in milliseconds; 0 if not stated."""


@dataclass(frozen=True)
class PutConfiguration:
    """An operator sends a configuration."""

    document: bytes
    """The document as received."""


@dataclass(frozen=True)
class GetConfiguration:
    """An operator requests the newest configuration."""


@dataclass(frozen=True)
class StartRollout:
    """An operator orders to move a service to another software version."""

    service: str
    """Service to move."""
    target: str
    """Software version to move it to."""
    duration_ms: int
    """Time in milliseconds within which the rollout has to end."""


@dataclass(frozen=True)
class GetRollout:
    """An operator requests the state of the newest rollout of a service."""

    service: str
    """Name of the service."""


@dataclass(frozen=True)
class MalformedCall:
    """A control call that can't be decoded."""

    status: int
    """HTTP status of the response."""
    reason: str
    """Why the call can't be decoded, as logged."""


ControlCall = (
    Announce
    | Withdraw
    | PutConfiguration
    | GetConfiguration
    | StartRollout
    | GetRollout
    | MalformedCall
)
"""Calls at the listener for backend servers and operators."""
