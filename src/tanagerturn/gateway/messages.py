"""Requests of callers, answers of backend servers, and calls of control clients.

They are typed values: a dialect decodes what comes over the wire into them and
encodes them again; see `dialect.py`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from tanagerturn.schema import serving_pb2
    from tanagerturn.serving.backends.messages import BackendId

AttemptId = NewType("AttemptId", str)
"""Id that a caller gave to one attempt of a request."""

PromptPartId = NewType("PromptPartId", str)
"""Id of one part of a prompt; equal parts have equal ids."""

RawHeaders = list[tuple[bytes, bytes]]
"""Header names and values as on the wire."""


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt, in the order in which it is read."""

    id: PromptPartId
    """Its id; the last part of a prompt belongs to the request or its session."""
    tokens: int
    """Its size."""


@dataclass(frozen=True)
class Prompt:
    """What a caller tells of a generation."""

    model: str
    """Model that shall answer."""
    prompt_tokens: int
    """Tokens to read."""
    most_output_tokens: int
    """Tokens to generate at most."""
    parts: tuple[PromptPart, ...] = ()
    """Parts of the prompt."""
    expected_output_tokens: int | None = None
    """The caller's guess; right at the median, often far off."""


@dataclass(frozen=True)
class InboundRequest:
    """The head of one request of a caller."""

    method: str
    """HTTP method."""
    target: str
    """Path and query, as sent."""
    path: str
    """Path without the query."""
    host: str
    """Host name in lower case, without a port."""
    attempt_id: AttemptId
    """Id of the caller's attempt; empty when it sent none."""
    patience_s: float | None
    """How long the caller waits; None when it does not tell."""
    key: str
    """Key of a client account; empty when the caller sent none."""
    last_event_id: int | None
    """Last event that the caller has of this stream; None at its begin."""
    prompt: Prompt | None
    """Set on generations."""
    forwarded: RawHeaders = field(default_factory=list, repr=False)
    """Headers that go on to the backend server."""


@dataclass(frozen=True)
class BackendReport:
    """What a backend server tells of itself when it is asked."""

    leaving_in_ms: int | None
    """Time until it ends; None while that is not known."""


@dataclass(frozen=True)
class KvCopy:
    """Memory of a run that was stopped, copied to another engine."""

    source_address: str
    """IP number and port of the engine that ran it before."""
    handle: str
    """Name of the copy at that engine."""


@dataclass(frozen=True)
class Forwarding:
    """What a gateway adds to a request for a backend server."""

    backend_id: BackendId
    """The one that has to run it, and no other at its address."""
    time_left_s: float
    """Time after which the backend server stops."""
    client_account: str
    """Account of the caller; empty on anonymous routes."""
    last_event_id: int | None
    """Event after which a stream goes on."""
    engine_priority: int | None = None
    """Rank at the engine, 0 is the most urgent; None leaves it to the engine."""
    kv_copy: KvCopy | None = None
    """Memory of the same run from which it goes on."""


@dataclass(frozen=True)
class LoadHint:
    """Load of a backend server when it sent an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class BackendReply:
    """What the head of a backend server's answer tells."""

    status: int
    """HTTP status."""
    attempt_id: str
    """Request that it answers; empty when it does not tell."""
    is_proven: bool
    """It carries a backend server's proof."""
    not_run: bool
    """The backend server states that it did not run the request."""
    wrong_backend: bool
    """Another backend server has the address."""
    load: LoadHint | None
    """Load, when told."""
    keep_alive_s: float | None
    """Time after which it closes an idle connection."""
    closes: bool
    """It closes the connection after this answer."""


@dataclass(frozen=True)
class Announce:
    """A backend server tells of itself."""

    announcement: serving_pb2.Announcement


@dataclass(frozen=True)
class Withdraw:
    """A backend server says that it is about to end."""

    backend_id: BackendId
    born_ms: int
    """Wall clock of its start; 0 when it does not tell."""


@dataclass(frozen=True)
class PutConfiguration:
    """An operator sends a configuration."""

    document: bytes


@dataclass(frozen=True)
class GetConfiguration:
    """An operator asks for the newest configuration."""


@dataclass(frozen=True)
class MalformedCall:
    """A call of a control client that can't be read."""

    status: int
    reason: str


ControlCall = Announce | Withdraw | PutConfiguration | GetConfiguration | MalformedCall
"""Calls at the listener for backend servers and operators."""
