"""Runs both firms' examples in one process, with a zone reclaim in the middle."""

from __future__ import annotations

import random
import sys
import tempfile
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Final

import click
import orjson
import urllib3

from tanagerturn.deploy import DeploymentPlan, start_deployment, wait_until
from tanagerturn.observe.logs import set_up_logs
from tanagerturn.operator.output import make_table
from tanagerturn.schema.settings_pb2 import Logging
from tanagerturn.settings import read_folder
from tanagerturn.standins.engine.config import EngineConfig
from tanagerturn.standins.engine.server import EngineServer, start_engine
from tanagerturn.standins.service.config import ServiceConfig
from tanagerturn.standins.service.ledger import Ledger
from tanagerturn.standins.service.server import ServiceServer, start_service
from tanagerturn.standins.tokens import expected_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.deploy import Deployment

EXAMPLES: Final = Path(__file__).parents[2] / "examples"
SECONDS: Final = 8.0
RECLAIM_AT_S: Final = 3.0
NOTICE_MS: Final = 1500.0
RATE_PER_S: Final = 25.0
DRAFT_SHARE: Final = 0.1
PURCHASE_SHARE: Final = 0.3
DRAFT_TOKENS: Final = 60
RECLAIMED_ZONE: Final = "a"
ZONES: Final = ("a", "b", "c", "d")
TIMEOUT_S: Final = 30.0
WORKERS: Final = 48


@dataclass(frozen=True)
class Firm:
    """What the demo asks of one firm's deployment."""

    name: str
    """Name of the example."""
    site: str
    """Its site."""
    model: str
    """Model of its drafts."""
    model_service: str
    """Service of its drafts."""
    service: str
    """Its plain service."""
    lookup: str
    """Path of a lookup."""
    purchase: str
    """Path of a call that may not be repeated."""
    desk_account: str
    """Client account of lookups and purchases."""
    draft_account: str
    """Client account of drafts."""


FIRMS: Final = (
    Firm(
        "inyenyeri", "kigali", "choir-writer", "drafts", "seats", "/seats/12",
        "/purchases", "families-app", "choir-union",
    ),
    Firm(
        "fascicoli", "padova", "bundle-writer", "bundles", "filing", "/status/7",
        "/filings", "studio-marin", "assembly-team",
    ),
)  # fmt: skip


@dataclass
class Counts:
    """What callers got; guarded by `lock`."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    """Guards the counters."""
    asked: Counter[str] = field(default_factory=Counter)
    """Requests sent, by kind."""
    answered: Counter[str] = field(default_factory=Counter)
    """Whole and right answers, by kind."""
    refused: Counter[str] = field(default_factory=Counter)
    """Truthful refusals: not run."""
    wrong: list[str] = field(default_factory=list)
    """Everything else, in words."""
    bought: set[str] = field(default_factory=set)
    """Keys that callers know to be executed."""
    not_run: set[str] = field(default_factory=set)
    """Keys that callers were told did not run."""


class Caller:
    """Sends the requests of one firm's callers.

    Args:
        firm: What to ask.
        addresses: Callers' listeners, used in turn as the balancer does.
    """

    def __init__(self, firm: Firm, addresses: list[str]) -> None:
        self.firm = firm
        """What to ask."""
        self.addresses = addresses
        """Callers' listeners."""
        self.http = urllib3.PoolManager(maxsize=WORKERS, retries=False)
        """Connections to them."""
        self.counts = Counts()
        """What callers got."""

    def run(self, kind: str, number: int) -> None:
        """Send one request and judge its answer."""
        with self.counts.lock:
            self.counts.asked[kind] += 1
        sender: Callable[[int], str] = getattr(self, f"send_{kind}")
        try:
            verdict = sender(number)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            verdict = f"no answer: {error}"
        with self.counts.lock:
            if verdict == "answered":
                self.counts.answered[kind] += 1
            elif verdict == "not_run":
                self.counts.refused[kind] += 1
            else:
                self.counts.wrong.append(f"{kind} {number}: {verdict}")

    def send_lookup(self, number: int) -> str:
        """Look a seat or a status up."""
        path = f"/services/{self.firm.service}{self.firm.lookup}?n={number}"
        answer = self._request(number, "GET", path, self.firm.desk_account)
        return self._verdict(answer, answer.data.find(f"n={number}".encode()) >= 0)

    def send_purchase(self, number: int) -> str:
        """Buy a seat or file a bundle, once."""
        key = f"{self.firm.name}-{number}"
        answer = self._request(
            number,
            "POST",
            f"/services/{self.firm.service}{self.firm.purchase}",
            self.firm.desk_account,
            body=orjson.dumps({"order": number}),
            headers={"Idempotency-Key": key},
        )
        verdict = self._verdict(answer, key.encode() in answer.data)
        with self.counts.lock:
            if verdict == "answered":
                self.counts.bought.add(key)
            if verdict == "not_run":
                self.counts.not_run.add(key)
        return verdict

    def send_draft(self, number: int) -> str:
        """Stream a draft and check each token of it."""
        prompt = f"{self.firm.name} programme {number}"
        body = {
            "model": self.firm.model,
            "prompt": prompt,
            "stream": True,
            "max_tokens": DRAFT_TOKENS,
        }
        answer = self._request(
            number,
            "POST",
            "/v1/completions",
            self.firm.draft_account,
            body=orjson.dumps(body),
        )
        text = "".join(
            choice.get("text", "")
            for line in answer.data.split(b"\n")
            if line.startswith(b"data: {")
            for choice in orjson.loads(line[len(b"data: ") :]).get("choices", ())
        )
        return self._verdict(answer, text == expected_text(prompt, DRAFT_TOKENS))

    def _request(
        self,
        number: int,
        method: str,
        path: str,
        account: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        address = self.addresses[number % len(self.addresses)]
        return self.http.request(
            method,
            f"http://{address}{path}",
            body=body,
            headers={
                "Authorization": f"Bearer {account}-example-key",
                **(headers or {}),
            },
            timeout=TIMEOUT_S,
        )

    def _verdict(self, answer: urllib3.BaseHTTPResponse, whole: bool) -> str:
        if answer.status == 200:
            return "answered" if whole else f"wrong answer: {answer.data[:200]!r}"
        if b'"outcome":"not_run"' in answer.data:
            return "not_run"
        return f"status {answer.status}: {answer.data[:200]!r}"


@dataclass
class Backends:
    """Stand-ins of one firm's backend servers."""

    engines: list[EngineServer]
    """Model engines."""
    services: list[ServiceServer]
    """Hosts of the plain service."""
    ledger: Ledger
    """What the plain service executed."""

    def reclaim(self, zone: str) -> int:
        """Take a zone back after a notice; return the number of hosts."""
        hosts: list[EngineServer | ServiceServer] = [*self.engines, *self.services]
        taken = [h for h in hosts if h.config.availability_zone == zone]
        for host in taken:
            host.reclaim(NOTICE_MS)
        return len(taken)

    def stop(self) -> None:
        """End all stand-ins."""
        hosts: list[EngineServer | ServiceServer] = [*self.engines, *self.services]
        for host in hosts:
            host.stop()


def start_backends(firm: Firm, deployment: Deployment) -> Backends:
    """Start stand-ins that announce themselves to all entry processes."""
    announce_to = tuple(deployment.announcement_addresses)
    engines = [
        start_engine(
            EngineConfig(
                id=f"engine-{zone}",
                announce_to=announce_to,
                availability_zone=zone,
                services=(firm.model_service,),
                model=firm.model,
            )
        )
        for zone in ZONES
    ]
    ledger = Ledger()
    services = [
        start_service(
            ServiceConfig(
                id=f"service-{zone}",
                announce_to=announce_to,
                availability_zone=zone,
                services=(firm.service,),
            ),
            ledger,
        )
        for zone in ZONES
    ]
    return Backends(engines, services, ledger)


def run_firm(firm: Firm, folder: Path) -> bool:
    """Run one firm's part of the demo; tell whether its promises held."""
    plan = DeploymentPlan(
        cluster=firm.name,
        site=firm.site,
        files=read_folder(EXAMPLES / firm.name),
        data_folder=folder / firm.name,
    )
    deployment = start_deployment(plan)
    backends = start_backends(firm, deployment)
    try:
        wait_until(lambda: _all_known(deployment, 2 * len(ZONES)), "announcements")
        caller = Caller(firm, deployment.caller_addresses)
        _drive(caller, backends)
    finally:
        backends.stop()
        left = deployment.stop()
    return _report(firm, caller.counts, backends, left)


def _all_known(deployment: Deployment, count: int) -> bool:
    return all(entry.known_backend_servers() >= count for entry in deployment.entries)


def _drive(caller: Caller, backends: Backends) -> None:
    chooser = random.Random(7)
    started_s = time.monotonic()
    reclaimed = False
    with ThreadPoolExecutor(WORKERS) as pool:
        for number in range(int(SECONDS * RATE_PER_S)):
            due_s = started_s + number / RATE_PER_S
            time.sleep(max(0.0, due_s - time.monotonic()))
            if not reclaimed and time.monotonic() - started_s > RECLAIM_AT_S:
                reclaimed = True
                hosts = backends.reclaim(RECLAIMED_ZONE)
                click.echo(
                    f"  {RECLAIM_AT_S:g} s: zone {RECLAIMED_ZONE} is reclaimed, "
                    f"{hosts} hosts end in {NOTICE_MS / 1000:g} s"
                )
            draw = chooser.random()
            kind = "lookup"
            if draw < DRAFT_SHARE:
                kind = "draft"
            elif draw < DRAFT_SHARE + PURCHASE_SHARE:
                kind = "purchase"
            pool.submit(caller.run, kind, number)


def _report(firm: Firm, counts: Counts, backends: Backends, left: int) -> bool:
    rows = [
        {
            "kind": kind,
            "asked": counts.asked[kind],
            "answered": counts.answered[kind],
            "refused (not run)": counts.refused[kind],
        }
        for kind in ("lookup", "purchase", "draft")
    ]
    click.echo(make_table(rows))
    executions = backends.ledger.executions
    doubled = backends.ledger.doubled()
    false_not_run = sorted(key for key in counts.not_run if executions[key])
    unexecuted = sorted(key for key in counts.bought if not executions[key])
    for words in (
        *counts.wrong,
        *(f"told not run, but ran: {k}" for k in false_not_run),
    ):
        click.echo(f"  fault: {words}")
    refused = sum(counts.refused.values())
    accepted = sum(counts.asked.values()) - refused
    answered = sum(counts.answered.values())
    lost = accepted - answered + len(unexecuted) + len(false_not_run)
    click.echo(
        f"{firm.name.upper()}: {accepted} accepted, {answered} answered once, "
        f"{lost} lost, {len(doubled)} doubled"
    )
    return not (lost or doubled or left)


def main() -> None:
    """Run the demo; exit with 1 when a promise was broken."""
    set_up_logs(Logging(level="ERROR"), "demo")
    good = True
    with tempfile.TemporaryDirectory() as folder:
        for firm in FIRMS:
            click.echo(
                f"{firm.name}: 3 state, 2 control, 3 entry, 4 engines, 4 services"
            )
            good = run_firm(firm, Path(folder)) and good
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
