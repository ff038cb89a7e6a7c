"""The two example firms: their deployments, services and traffic profiles."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from tanagerturn.replay.trace import BackendType, CallKind, Priority, TraceBackend

ENGINE_COUNT: Final = 5
SERVICE_HOST_COUNT: Final = 4
ENGINE_HOST_CLASS: Final = "accelerator"
SERVICE_HOST_CLASS: Final = "small"


@dataclass(frozen=True)
class PlainCall:
    """A call of a plain service."""

    name: str
    """Name of the call."""
    method: str
    """HTTP method."""
    path: str
    """Path below the service; lookups append a random number to it."""
    kind: CallKind
    """What may be done with the call after a failure."""
    deadline_ms: int
    """Deadline of the response, in milliseconds after sending."""
    p95_target_ms: float
    """Target of the latency's 95th percentile, in milliseconds."""


@dataclass(frozen=True)
class DraftProfile:
    """Distribution of the drafts of one kind."""

    name: str
    """Name of the call."""
    share: float
    """Fraction of all drafts, 0 to 1."""
    prefix_blocks: tuple[int, int]
    """Minimum and maximum number of blocks shared with drafts on the same subject."""
    suffix_tokens: tuple[int, int]
    """Minimum and maximum number of prompt tokens after the shared prefix."""
    max_tokens: tuple[int, int]
    """Minimum and maximum number of tokens to generate."""
    deadline_ms: int
    """Deadline of the response, in milliseconds after sending."""


@dataclass(frozen=True)
class Firm:
    """A firm with its deployment and its traffic profile."""

    name: str
    """Short name of the firm, as in the names of its traces."""
    availability_zones: tuple[str, ...]
    """Availability zones of the firm's deployment."""
    entry_hosts: int
    """Number of entry hosts."""
    plain_service: str
    """Name of the firm's plain service."""
    model_service: str
    """Name of the firm's service with model engines, which writes drafts."""
    model: str
    """Model of the model service."""
    version: str
    """Version of the model."""
    lookup: PlainCall
    """Idempotent call of the plain service: a lookup or a status call."""
    submission: PlainCall
    """Call of the plain service that may run at most once: a purchase or a filing."""
    drafts: tuple[DraftProfile, ...]
    """Profile of each kind of draft that the firm requests."""
    plain_accounts: dict[str, float]
    """Relative request rate of each client account that calls the plain service."""
    draft_accounts: dict[str, float]
    """Relative request rate of each client account that requests drafts."""
    draft_subject_count: int
    """Number of subjects (choirs or bundles) whose drafts share a prompt prefix."""
    prices: tuple[float, ...]
    """Price per hour of a reclaimable accelerator host in each availability zone."""

    @property
    def client_accounts(self) -> tuple[str, ...]:
        """All client accounts in descending order of their request rate."""
        weights = self.draft_accounts | self.plain_accounts
        return tuple(sorted(weights, key=lambda name: -weights[name]))


INYENYERI: Final = Firm(
    name="inyenyeri",
    availability_zones=("kigali-1", "kigali-2", "kigali-3", "kigali-4"),
    entry_hosts=9,
    plain_service="seats",
    model_service="drafts",
    model="choir-writer",
    version="1",
    lookup=PlainCall("lookup", "GET", "/seats", CallKind.IDEMPOTENT, 2000, 150),
    submission=PlainCall(
        "purchase", "POST", "/purchases", CallKind.NOT_REPEATABLE, 10_000, 400
    ),
    drafts=(
        DraftProfile("seating", 0.6, (6, 16), (60, 300), (80, 300), 1_800_000),
        DraftProfile("programme", 0.4, (16, 40), (100, 600), (200, 500), 1_800_000),
    ),
    plain_accounts={"families-app": 8.0, "parish-desk": 3.0, "ushers": 1.0},
    draft_accounts={"choir-union": 5.0, "parish-desk": 3.0, "programme-office": 1.0},
    draft_subject_count=60,
    prices=(0.9, 1.0, 1.1, 1.3),
)
"""Sells and looks up seats, and drafts texts for choirs and parishes."""

FASCICOLI: Final = Firm(
    name="fascicoli",
    availability_zones=("veneto-1", "veneto-2", "veneto-3", "veneto-4"),
    entry_hosts=10,
    plain_service="filing",
    model_service="bundles",
    model="bundle-writer",
    version="3",
    lookup=PlainCall("status", "GET", "/status", CallKind.IDEMPOTENT, 3000, 200),
    submission=PlainCall(
        "file", "POST", "/filings", CallKind.NOT_REPEATABLE, 20_000, 800
    ),
    drafts=(
        DraftProfile("index", 0.15, (60, 120), (100, 400), (400, 800), 3_600_000),
        DraftProfile("summary", 0.6, (30, 80), (200, 900), (250, 600), 3_600_000),
        DraftProfile("cover-note", 0.25, (8, 20), (60, 200), (60, 160), 3_600_000),
    ),
    plain_accounts={
        "studio-marin": 6.0,
        "studio-zanella": 5.0,
        "checking-team": 1.5,
        "court-liaison": 1.0,
    },
    draft_accounts={"assembly-team": 8.0, "studio-marin": 3.0, "studio-zanella": 2.0},
    draft_subject_count=25,
    prices=(1.0, 1.1, 1.2, 1.4),
)
"""Firm that drafts bundles at night, files them and looks up their status by day."""

FIRMS: Final = {firm.name: firm for firm in (INYENYERI, FASCICOLI)}
"""All example firms by short name."""


def make_backends(firm: Firm) -> tuple[TraceBackend, ...]:
    """Return the firm's backend servers, in its availability zones in turn."""
    zones = firm.availability_zones
    engines = tuple(
        TraceBackend(
            id=f"engine-{number + 1}",
            type=BackendType.ENGINE,
            service=firm.model_service,
            availability_zone=zones[number % len(zones)],
            host_class=ENGINE_HOST_CLASS,
            price_per_hour=firm.prices[number % len(zones)],
            checks_fencing=number % 2 == 0,
            model=firm.model,
            version=firm.version,
        )
        for number in range(ENGINE_COUNT)
    )
    hosts = tuple(
        TraceBackend(
            id=f"{firm.plain_service}-{number + 1}",
            type=BackendType.SERVICE,
            service=firm.plain_service,
            availability_zone=zones[number % len(zones)],
            host_class=SERVICE_HOST_CLASS,
            price_per_hour=round(firm.prices[number % len(zones)] / 5, 3),
        )
        for number in range(SERVICE_HOST_COUNT)
    )
    return engines + hosts


DRAFT_PRIORITY: Final = Priority.LOW
PLAIN_CALL_PRIORITY: Final = Priority.URGENT
