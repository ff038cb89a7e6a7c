"""Messages of the trace format, version 1; see docs/TRACES.md."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

FORMAT_VERSION: Final = 1
"""Version that this code writes, and the only one that it reads."""


class CallKind(Enum):
    """What a call allows after a failure."""

    IDEMPOTENT = "idempotent"
    """May run any number of times."""
    NOT_REPEATABLE = "not_repeatable"
    """May run at most once."""
    PATIENT = "patient"
    """May run again; its answer is kept."""


class Priority(Enum):
    """Order among waiting requests."""

    URGENT = "urgent"
    """Before all others."""
    NORMAL = "normal"
    """Between urgent and low."""
    LOW = "low"
    """After all others."""


class AnswerMode(Enum):
    """How the caller takes the answer."""

    WHOLE = "whole"
    """In one piece."""
    STREAM = "stream"
    """As server-sent events."""
    ASYNC = "async"
    """Collected later from the location that a 202 names."""


class BackendType(Enum):
    """What stands behind a service."""

    ENGINE = "engine"
    """A model engine."""
    SERVICE = "service"
    """A host of a plain service."""


class OutcomeKind(Enum):
    """What a stated outcome asks for."""

    ANSWERED = "answered"
    """Every accepted request got its whole answer; `limit` may be lost."""
    RIGHT_ANSWER = "right_answer"
    """No caller got another answer than its own; `limit` may be wrong."""
    EXECUTED_ONCE = "executed_once"
    """No not-repeatable call ran twice; `limit` may be doubled."""
    NOT_RUN_IS_TRUE = "not_run_is_true"
    """What was told as not run did not run; `limit` may be false."""
    LATENCY = "latency"
    """The percentile of the time to the answer is at most `limit` ms."""
    FIRST_TOKEN = "first_token"
    """The percentile of the time to the first token is at most `limit` ms."""
    REFUSED_SHARE = "refused_share"
    """At most this share of the requests is refused."""
    DEADLINES = "deadlines"
    """At most `limit` requests end after their deadline, or never."""
    NO_LATE_WORK = "no_late_work"
    """At most `limit` requests reach a backend server 2 s after it said that
    it leaves."""
    RECOMPUTED_SHARE = "recomputed_share"
    """Tokens computed again are at most this share of the generated ones."""
    STREAMS_IN_ORDER = "streams_in_order"
    """Tokens of streams come in order, each once; `limit` may break it."""


@dataclass(frozen=True)
class StatedOutcome:
    """One outcome that a replay has to show."""

    outcome: OutcomeKind
    """What is asked for."""
    limit: float = 0.0
    """Largest value that still passes; its unit depends on the outcome."""
    service: str = ""
    """Only requests to this service; empty for all."""
    call: str = ""
    """Only requests of this call; empty for all."""
    percentile: float = 95.0
    """Percentile of times, 0 to 100."""
    from_ms: int = 0
    """Only requests from this time of the trace on."""
    to_ms: int = 0
    """Only requests before this time of the trace; 0 for no end."""


@dataclass(frozen=True)
class TraceBackend:
    """A backend server that is there at the start."""

    id: str
    """Name of the backend server."""
    type: BackendType
    """What it is."""
    service: str
    """Service that it serves."""
    availability_zone: str
    """Availability zone of its host."""
    host_class: str
    """Class of its host."""
    price_per_hour: float
    """Price of its host."""
    reclaimable: bool = True
    """Whether the platform may take the host back."""
    checks_fencing: bool = True
    """Whether it refuses stale fencing numbers."""
    model: str = ""
    """Model that an engine has loaded."""
    version: str = ""
    """Version of the model."""


@dataclass(frozen=True)
class TraceHeader:
    """First line of a trace."""

    version: int
    """Format version."""
    name: str
    """Name of the trace."""
    firm: str
    """Whose traffic it is."""
    seed: int
    """Seed of the recorder; 0 for a recorded access log."""
    duration_ms: int
    """Length of the trace."""
    availability_zones: tuple[str, ...]
    """Availability zones of the deployment."""
    entry_hosts: int
    """Number of entry hosts."""
    client_accounts: tuple[str, ...]
    """Client accounts, large ones first."""
    backends: tuple[TraceBackend, ...] = ()
    """Backend servers at the start."""
    outcomes: tuple[StatedOutcome, ...] = ()
    """Outcomes stated for the whole trace."""


@dataclass(frozen=True)
class PrefixRun:
    """Blocks that prompts may share."""

    name: str
    """Name of the run; equal names mean equal text."""
    blocks: int
    """Blocks of it that the prompt starts with, or goes on with."""


@dataclass(frozen=True)
class TraceRequest:
    """One request of a caller."""

    at_ms: int
    """Time after the start at which it is sent."""
    id: str
    """Name of the request, unique in the trace; its idempotency key."""
    client_account: str
    """Client account of the caller."""
    service: str
    """Service that is called."""
    call: str
    """Name of the call: lookup, purchase, draft and so on."""
    kind: CallKind
    """What the call allows after a failure."""
    priority: Priority
    """Order among waiting requests."""
    deadline_ms: int
    """Time after sending by which the answer is of use."""
    method: str = "POST"
    """HTTP method."""
    path: str = ""
    """Path below the service, for plain services."""
    body_bytes: int = 0
    """Length of the body, for plain services."""
    model: str = ""
    """Model that is asked; empty for plain services."""
    prefix: tuple[PrefixRun, ...] = ()
    """Leading blocks of the prompt."""
    prompt_tokens: int = 0
    """Tokens of the whole prompt; 0 for plain services."""
    max_tokens: int = 0
    """Tokens of the answer; 0 for plain services."""
    answer: AnswerMode = AnswerMode.WHOLE
    """How the caller takes the answer."""


@dataclass(frozen=True)
class TraceEvent:
    """Something that happens during the trace."""

    at_ms: int
    """Time after the start."""
    outcomes: tuple[StatedOutcome, ...] = field(default=(), kw_only=True)
    """What has to hold in spite of it."""


@dataclass(frozen=True)
class ReclaimNotice(TraceEvent):
    """The platform takes hosts back."""

    backends: tuple[str, ...]
    """Backend servers whose hosts go."""
    notice_ms: int
    """Time until they go; 0 for no notice."""
    announced: bool = True
    """Whether the backend servers tell of it themselves."""
    from_cloud: bool = True
    """Whether the cloud API tells of it."""


@dataclass(frozen=True)
class StartsRefused(TraceEvent):
    """The platform refuses to start hosts."""

    availability_zone: str
    """Availability zone; empty for all."""
    host_class: str
    """Class of hosts; empty for all."""
    for_ms: int
    """How long."""


@dataclass(frozen=True)
class PriceChange(TraceEvent):
    """A price changes."""

    availability_zone: str
    """Availability zone."""
    host_class: str
    """Class of hosts."""
    price_per_hour: float
    """New price of reclaimable hosts."""


@dataclass(frozen=True)
class BackendFault(TraceEvent):
    """Backend servers begin to commit a fault, or stop when the share is 0."""

    backends: tuple[str, ...]
    """Backend servers that commit it."""
    fault: str
    """Name of a `tanagerturn.standins.faults.Fault`."""
    share: float
    """Share of requests that meet it."""


@dataclass(frozen=True)
class EntryDeath(TraceEvent):
    """An entry host dies."""

    entry: int
    """Number of the entry host, from 0."""


@dataclass(frozen=True)
class SettingsChange(TraceEvent):
    """An operator's change of settings."""

    author: str
    """Who changes."""
    file: str
    """Settings file: "base" or "site/NAME"."""
    content: str
    """New content of the file."""


@dataclass(frozen=True)
class Trace:
    """A whole trace in memory."""

    header: TraceHeader
    """First line."""
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
    def outcomes(self) -> tuple[StatedOutcome, ...]:
        """All stated outcomes, of the trace and of its events."""
        return self.outcomes_between(0, self.header.duration_ms + 1)

    def outcomes_between(self, from_ms: int, to_ms: int) -> tuple[StatedOutcome, ...]:
        """Return the outcomes of the trace and of the events in a window."""
        stated = list(self.header.outcomes)
        for event in self.events:
            if from_ms <= event.at_ms < to_ms:
                stated += event.outcomes
        return tuple(dict.fromkeys(stated))


EVENT_TYPES: Final[dict[str, type[TraceEvent]]] = {
    "reclaim_notice": ReclaimNotice,
    "starts_refused": StartsRefused,
    "price_change": PriceChange,
    "backend_fault": BackendFault,
    "entry_death": EntryDeath,
    "settings_change": SettingsChange,
}
"""Type field of each kind of event."""
