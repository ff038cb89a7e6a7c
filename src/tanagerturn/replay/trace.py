"""Messages of the trace format, version 1; see docs/TRACES.md."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

FORMAT_VERSION: Final = 1
"""Version that this code writes, and the only one that it reads."""


class CallKind(Enum):
    """What may be done with a call after a failure."""

    IDEMPOTENT = "idempotent"
    """The call may be executed any number of times."""
    NOT_REPEATABLE = "not_repeatable"
    """The call may be executed at most once."""
    PATIENT = "patient"
    """The call may be executed again, and its response is stored."""


class Priority(Enum):
    """Priority among waiting requests."""

    URGENT = "urgent"
    """Served before all other requests."""
    NORMAL = "normal"
    """Served after urgent and before low requests."""
    LOW = "low"
    """Served after all other requests."""


class AnswerMode(Enum):
    """How the caller receives the response."""

    WHOLE = "whole"
    """The response is one body."""
    STREAM = "stream"
    """The response is a stream of server-sent events."""
    ASYNC = "async"
    """The caller gets a 202 response and collects the result later from the URL in
    its Location header."""


class BackendType(Enum):
    """Type of a backend server."""

    ENGINE = "engine"
    """A model engine."""
    SERVICE = "service"
    """A host of a plain service."""


class OutcomeKind(Enum):
    """Property that an expected outcome requires.

    An accepted request is one that was not refused, which means neither reported as
    not run nor rejected.
    """

    ANSWERED = "answered"
    """At most `limit` accepted requests did not get their complete response."""
    RIGHT_ANSWER = "right_answer"
    """At most `limit` requests got the response of another request."""
    EXECUTED_ONCE = "executed_once"
    """At most `limit` not_repeatable calls ran more than once; each executed key that
    no caller sent counts as well."""
    NOT_RUN_IS_TRUE = "not_run_is_true"
    """At most `limit` requests were reported as not run although they ran."""
    LATENCY = "latency"
    """The percentile `percentile` of the latency is at most `limit` ms."""
    FIRST_TOKEN = "first_token"
    """The percentile `percentile` of the time to the first token is at most `limit`
    ms."""
    REFUSED_SHARE = "refused_share"
    """At most the fraction `limit` of the requests was refused."""
    DEADLINES = "deadlines"
    """At most `limit` requests were not answered by their deadline."""
    NO_LATE_WORK = "no_late_work"
    """At most `limit` requests reached a backend server more than 2 s after it
    announced that it is leaving."""
    RECOMPUTED_SHARE = "recomputed_share"
    """The ratio of recomputed to generated tokens is at most `limit`."""
    STREAMS_IN_ORDER = "streams_in_order"
    """At most `limit` streams had missing, duplicate or unordered tokens."""


@dataclass(frozen=True)
class ExpectedOutcome:
    """An outcome that a replay is checked for."""

    outcome: OutcomeKind
    """Required property."""
    limit: float = 0.0
    """Largest value that still passes; its unit depends on the outcome."""
    service: str = ""
    """Service whose requests count; empty for all."""
    call: str = ""
    """Call whose requests count; empty for all."""
    percentile: float = 95.0
    """Percentile for LATENCY and FIRST_TOKEN, 0 to 100."""
    from_ms: int = 0
    """Start of the window of the trace in which requests count, in milliseconds."""
    to_ms: int = 0
    """End of the window of the trace, in milliseconds; 0 for the trace's end."""


@dataclass(frozen=True)
class TraceBackend:
    """A backend server that runs at the start of the trace."""

    id: str
    """Id of the backend server."""
    type: BackendType
    """Type of the backend server."""
    service: str
    """Service that it serves."""
    availability_zone: str
    """Availability zone of its host."""
    host_class: str
    """Class of its host."""
    price_per_hour: float
    """Price of its host per hour."""
    reclaimable: bool = True
    """Whether the cloud may reclaim the host."""
    checks_fencing: bool = True
    """Whether it refuses requests with stale fencing numbers; engines only."""
    model: str = ""
    """Model that an engine has loaded; empty for a plain service."""
    version: str = ""
    """Version of the model; empty for a plain service."""


@dataclass(frozen=True)
class TraceHeader:
    """First line of a trace: its format, deployment and expected outcomes."""

    version: int
    """Version of the trace format."""
    name: str
    """Name of the trace."""
    firm: str
    """Firm whose traffic the trace holds."""
    seed: int
    """Seed that the trace was generated with; 0 for a recorded access log."""
    duration_ms: int
    """Length of the trace in milliseconds."""
    availability_zones: tuple[str, ...]
    """Availability zones of the deployment."""
    entry_hosts: int
    """Number of entry hosts."""
    client_accounts: tuple[str, ...]
    """Client accounts; generated traces list them by descending weight."""
    backends: tuple[TraceBackend, ...] = ()
    """Backend servers that run at the start of the trace."""
    outcomes: tuple[ExpectedOutcome, ...] = ()
    """Expected outcomes of the whole trace."""


@dataclass(frozen=True)
class PrefixRun:
    """A sequence of blocks in a prompt that other prompts may share."""

    name: str
    """Name of the sequence; equal names mean equal text."""
    blocks: int
    """Number of blocks that the prompt takes from the start of the sequence."""


@dataclass(frozen=True)
class TraceRequest:
    """One request of a caller."""

    at_ms: int
    """Send time, in milliseconds after the start of the trace."""
    id: str
    """Id of the request, unique in the trace; also its idempotency key."""
    client_account: str
    """Client account of the caller."""
    service: str
    """Service that is called."""
    call: str
    """Name of the call: lookup, purchase, draft and so on."""
    kind: CallKind
    """What may be done with the call after a failure."""
    priority: Priority
    """Priority among waiting requests."""
    deadline_ms: int
    """Deadline of the response, in milliseconds after sending."""
    method: str = "POST"
    """HTTP method."""
    path: str = ""
    """Path below the service; empty for a model request."""
    body_bytes: int = 0
    """Length of a plain call's body in bytes."""
    model: str = ""
    """Requested model; empty for a plain service."""
    prefix: tuple[PrefixRun, ...] = ()
    """Leading blocks of the prompt, as consecutive sequences."""
    prompt_tokens: int = 0
    """Number of tokens of the whole prompt; 0 for a plain service."""
    max_tokens: int = 0
    """Number of tokens to generate; 0 for a plain service."""
    answer: AnswerMode = AnswerMode.WHOLE
    """How the caller receives the response."""


@dataclass(frozen=True)
class TraceEvent:
    """An event during the trace."""

    at_ms: int
    """Time of the event, in milliseconds after the start of the trace."""
    outcomes: tuple[ExpectedOutcome, ...] = field(default=(), kw_only=True)
    """Expected outcomes that are checked if the replayed window has this event."""


@dataclass(frozen=True)
class ReclaimNotice(TraceEvent):
    """The cloud reclaims hosts."""

    backends: tuple[str, ...]
    """Ids of the backend servers whose hosts are reclaimed."""
    notice_ms: int
    """Time from the notice to the reclaim, in milliseconds; 0 for no notice."""
    announced: bool = True
    """Whether the backend servers announce the reclaim."""
    from_cloud: bool = True
    """Whether the cloud API reports the reclaim."""


@dataclass(frozen=True)
class StartsRefused(TraceEvent):
    """The cloud refuses to start hosts for a time."""

    availability_zone: str
    """Availability zone in which starts are refused; empty for all."""
    host_class: str
    """Class of hosts whose starts are refused; empty for all."""
    for_ms: int
    """Time for which starts are refused, in milliseconds."""


@dataclass(frozen=True)
class PriceChange(TraceEvent):
    """The price of reclaimable hosts changes."""

    availability_zone: str
    """Availability zone of the hosts."""
    host_class: str
    """Class of the hosts."""
    price_per_hour: float
    """New price of a host per hour."""


@dataclass(frozen=True)
class BackendFault(TraceEvent):
    """Fault injection into backend servers starts, or ends if the share is 0."""

    backends: tuple[str, ...]
    """Ids of the backend servers."""
    fault: str
    """Value of a `tanagerturn.standins.faults.Fault`."""
    share: float
    """Fraction of requests that the fault is injected into, 0 to 1."""


@dataclass(frozen=True)
class EntryDeath(TraceEvent):
    """An entry host crashes."""

    entry: int
    """Index of the entry host, from 0."""


@dataclass(frozen=True)
class SettingsChange(TraceEvent):
    """An operator changes the settings."""

    author: str
    """Name of the operator who makes the change."""
    file: str
    """Settings file: "base" or "site/NAME"."""
    content: str
    """New content of the file."""


@dataclass(frozen=True)
class Trace:
    """A complete trace in memory."""

    header: TraceHeader
    """Header: the deployment and the expected outcomes."""
    requests: tuple[TraceRequest, ...]
    """Requests in order of time."""
    events: tuple[TraceEvent, ...]
    """Events in order of time."""

    def __repr__(self) -> str:
        return (
            f"Trace({self.header.name!r}, {len(self.requests)} requests, "
            f"{len(self.events)} events)"
        )

    @property
    def outcomes(self) -> tuple[ExpectedOutcome, ...]:
        """Expected outcomes of the trace and of all its events."""
        return self.outcomes_between(0, self.header.duration_ms + 1)

    def outcomes_between(self, from_ms: int, to_ms: int) -> tuple[ExpectedOutcome, ...]:
        """Return the expected outcomes of the trace and of the events in a window.

        Args:
            from_ms: Start of the window, in milliseconds after the start of the trace.
            to_ms: End of the window, exclusive, in milliseconds after the start of the
                trace.

        Returns:
            The outcomes without duplicates.
        """
        expected = list(self.header.outcomes)
        for event in self.events:
            if from_ms <= event.at_ms < to_ms:
                expected += event.outcomes
        return tuple(dict.fromkeys(expected))


EVENT_TYPES: Final[dict[str, type[TraceEvent]]] = {
    "reclaim_notice": ReclaimNotice,
    "starts_refused": StartsRefused,
    "price_change": PriceChange,
    "backend_fault": BackendFault,
    "entry_death": EntryDeath,
    "settings_change": SettingsChange,
}
"""Class of each event by the `type` field of its line."""
