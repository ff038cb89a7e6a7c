"""The two firms whose traffic is recorded: places, services and habits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from tanagerturn.replay.trace import BackendType, CallKind, Priority, TraceBackend

ENGINES: Final = 5
SERVICE_HOSTS: Final = 4
ENGINE_CLASS: Final = "accelerator"
SERVICE_CLASS: Final = "small"


@dataclass(frozen=True)
class PlainCall:
    """A call of a plain service."""

    name: str
    """Name of the call."""
    method: str
    """HTTP method."""
    path: str
    """Path below the service; a number is appended to lookups."""
    kind: CallKind
    """What the call allows after a failure."""
    deadline_ms: int
    """Time by which the answer is of use."""
    target_ms: float
    """Time within which 95 in 100 answers are wanted."""


@dataclass(frozen=True)
class DraftHabit:
    """How drafts of one kind look."""

    name: str
    """Name of the call."""
    share: float
    """Share among the drafts."""
    prefix_blocks: tuple[int, int]
    """Least and most blocks shared with drafts of the same work."""
    own_tokens: tuple[int, int]
    """Least and most prompt tokens after the prefix."""
    max_tokens: tuple[int, int]
    """Least and most tokens of the answer."""
    deadline_ms: int
    """Time by which the answer is of use."""


@dataclass(frozen=True)
class Firm:
    """One firm."""

    name: str
    """Short name."""
    availability_zones: tuple[str, ...]
    """Availability zones of its deployment."""
    entry_hosts: int
    """Number of entry hosts."""
    plain_service: str
    """Name of its plain service."""
    model_service: str
    """Name of its drafting service."""
    model: str
    """Model of the drafting service."""
    version: str
    """Version of the model."""
    lookup: PlainCall
    """Its quick call."""
    deposit: PlainCall
    """Its call that may not be repeated."""
    drafts: tuple[DraftHabit, ...]
    """Kinds of its drafts."""
    plain_accounts: dict[str, float]
    """Weights of the client accounts that call the plain service."""
    draft_accounts: dict[str, float]
    """Weights of the client accounts that ask for drafts."""
    works: int
    """Choirs or bundles that drafts are about in an hour."""
    prices: tuple[float, ...]
    """Price per hour of a reclaimable accelerator host, by zone."""

    @property
    def client_accounts(self) -> tuple[str, ...]:
        """All client accounts, heaviest first."""
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
    deposit=PlainCall(
        "purchase", "POST", "/purchases", CallKind.NOT_REPEATABLE, 10_000, 400
    ),
    drafts=(
        DraftHabit("seating", 0.6, (6, 16), (60, 300), (80, 300), 1_800_000),
        DraftHabit("programme", 0.4, (16, 40), (100, 600), (200, 500), 1_800_000),
    ),
    plain_accounts={"families-app": 8.0, "parish-desk": 3.0, "ushers": 1.0},
    draft_accounts={"choir-union": 5.0, "parish-desk": 3.0, "programme-office": 1.0},
    works=60,
    prices=(0.9, 1.0, 1.1, 1.3),
)
"""Seat sales and lookups, and drafts for choirs and parishes."""

FASCICOLI: Final = Firm(
    name="fascicoli",
    availability_zones=("veneto-1", "veneto-2", "veneto-3", "veneto-4"),
    entry_hosts=10,
    plain_service="filing",
    model_service="bundles",
    model="bundle-writer",
    version="3",
    lookup=PlainCall("status", "GET", "/status", CallKind.IDEMPOTENT, 3000, 200),
    deposit=PlainCall("file", "POST", "/filings", CallKind.NOT_REPEATABLE, 20_000, 800),
    drafts=(
        DraftHabit("index", 0.15, (60, 120), (100, 400), (400, 800), 3_600_000),
        DraftHabit("summary", 0.6, (30, 80), (200, 900), (250, 600), 3_600_000),
        DraftHabit("cover-note", 0.25, (8, 20), (60, 200), (60, 160), 3_600_000),
    ),
    plain_accounts={
        "studio-marin": 6.0,
        "studio-zanella": 5.0,
        "checking-team": 1.5,
        "court-liaison": 1.0,
    },
    draft_accounts={"assembly-team": 8.0, "studio-marin": 3.0, "studio-zanella": 2.0},
    works=25,
    prices=(1.0, 1.1, 1.2, 1.4),
)
"""Bundles drafted by night, filings and status by day."""

FIRMS: Final = {firm.name: firm for firm in (INYENYERI, FASCICOLI)}
"""Firms by short name."""


def backends_of(firm: Firm) -> tuple[TraceBackend, ...]:
    """Return the firm's backend servers, spread over its zones."""
    zones = firm.availability_zones
    engines = tuple(
        TraceBackend(
            id=f"engine-{number + 1}",
            type=BackendType.ENGINE,
            service=firm.model_service,
            availability_zone=zones[number % len(zones)],
            host_class=ENGINE_CLASS,
            price_per_hour=firm.prices[number % len(zones)],
            checks_fencing=number % 2 == 0,
            model=firm.model,
            version=firm.version,
        )
        for number in range(ENGINES)
    )
    hosts = tuple(
        TraceBackend(
            id=f"{firm.plain_service}-{number + 1}",
            type=BackendType.SERVICE,
            service=firm.plain_service,
            availability_zone=zones[number % len(zones)],
            host_class=SERVICE_CLASS,
            price_per_hour=round(firm.prices[number % len(zones)] / 5, 3),
        )
        for number in range(SERVICE_HOSTS)
    )
    return engines + hosts


PRIORITY_OF_DRAFTS: Final = Priority.LOW
PRIORITY_OF_CALLS: Final = Priority.URGENT
