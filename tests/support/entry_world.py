"""Entry hosts and stand-ins in one process, connected over loopback."""

from __future__ import annotations

import socket
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import orjson
import urllib3

from tanagerturn.deploy import DeploymentPlan, start_deployment
from tanagerturn.settings import read_folder
from tanagerturn.standins.engine.config import EngineConfig
from tanagerturn.standins.engine.server import start_engine
from tanagerturn.standins.service.config import ServiceConfig
from tanagerturn.standins.service.ledger import Ledger
from tanagerturn.standins.service.server import start_service

EXAMPLES = Path(__file__).parents[2] / "examples"
TIMEOUT_S = 30.0


@dataclass(frozen=True)
class CallerResult:
    """HTTP response that a caller received."""

    status: int
    """HTTP status; 0 if the connection failed."""
    headers: dict[str, str]
    """Headers, with names in lower case."""
    body: bytes
    """Response body."""

    @property
    def outcome(self) -> str:
        """Return the outcome in a problem details body; empty for other bodies."""
        if self.headers.get("content-type") != "application/problem+json":
            return ""
        return orjson.loads(self.body)["outcome"]


class EntryWorld:
    """A deployment of the Inyenyeri example with stand-ins."""

    def __init__(
        self,
        entries: int,
        change=lambda text: text,
        threads: int = 64,
        controls: int = 0,
        extra_control_yaml: str = "",
    ):
        self.folder = tempfile.TemporaryDirectory()
        files = read_folder(EXAMPLES / "inyenyeri")
        plan = DeploymentPlan(
            cluster="inyenyeri",
            site="kigali",
            files={name: change(text) for name, text in files.items()},
            data_folder=Path(self.folder.name),
            state_members=1,
            controls=controls,
            extra_control_yaml=extra_control_yaml,
            entries=entries,
            threads=threads,
        )
        self.deployment = start_deployment(plan)
        self.entries = self.deployment.entries
        self.ledger = Ledger()
        self.services: list = []
        self.engines: list = []
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self.callers = ThreadPoolExecutor(48)

    def close(self) -> None:
        """Stop all stand-ins and processes without draining."""
        self.callers.shutdown(wait=False, cancel_futures=True)
        for standin in (*self.engines, *self.services):
            standin.kill()
        for entry in self.entries:
            if not entry.stopped:
                entry.abort()
        self.entries.clear()
        self.deployment.stop()
        self.folder.cleanup()

    def add_services(self, count: int, **config) -> None:
        """Start stand-ins of the seat service that share one ledger."""
        addresses = tuple(self.deployment.announcement_addresses)
        for _ in range(count):
            name = f"desk-{len(self.services)}"
            settings = ServiceConfig(id=name, announce_to=addresses, **config)
            self.services.append(start_service(settings, self.ledger))
        self.wait_known()

    def add_engines(self, count: int, **config) -> None:
        """Start stand-in engines of the service `drafts`."""
        addresses = tuple(self.deployment.announcement_addresses)
        for _ in range(count):
            name = f"engine-{len(self.engines)}"
            settings = EngineConfig(
                id=name,
                announce_to=addresses,
                services=("drafts",),
                model="choir-writer",
                **{"step_ms": 5.0, **config},
            )
            self.engines.append(start_engine(settings))
        self.wait_known()

    def wait_known(self) -> None:
        """Wait until each entry host knows all stand-ins and all entry hosts."""
        count = len(self.services) + len(self.engines)
        alive = [entry for entry in self.entries if not entry.stopped]
        wait_for(lambda: all(e.known_backend_servers() >= count for e in alive))
        wait_for(lambda: all(len(e.hosts.owners) == len(self.entries) for e in alive))

    def send(
        self,
        method: str,
        path: str,
        account: str,
        body: bytes = b"",
        entry: int = 0,
        **headers: str,
    ) -> CallerResult:
        """Send one request to an entry host and read the complete response."""
        address = self.entries[entry].callers.address
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        named["Authorization"] = f"Bearer {account}-example-key"
        try:
            response = self.http.request(
                method,
                f"http://{address}{path}",
                body=body or None,
                headers=named,
                timeout=TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return CallerResult(0, {}, b"")
        lowered = {name.lower(): value for name, value in response.headers.items()}
        return CallerResult(response.status, lowered, response.data)

    def buy(self, key: str, entry: int = 0, body: bytes = b"") -> CallerResult:
        """Send a purchase with a key to an entry host."""
        body = body or b'{"seat": "%s"}' % key.encode()
        return self.send(
            "POST", "/services/seats/purchases", "families-app", body, entry,
            Idempotency_Key=key,
        )  # fmt: skip

    def look_up(self, entry: int = 0) -> CallerResult:
        """Send a lookup of a seat to an entry host."""
        path = "/services/seats/seats/12"
        return self.send("GET", path, "families-app", entry=entry)

    def draft(
        self, prompt: str, tokens: int, entry: int = 0, **headers: str
    ) -> CallerResult:
        """Request a streamed draft from an entry host."""
        return self.send(
            "POST", "/v1/completions", "choir-union",
            draft_body(prompt, tokens), entry, **headers,
        )  # fmt: skip

    def resend_until_done(self, key: str, entry: int) -> CallerResult:
        """Send a purchase until it is no longer reported as running."""
        got = self.buy(key, entry)
        deadline_s = time.monotonic() + TIMEOUT_S
        while got.status == 409 and time.monotonic() < deadline_s:
            time.sleep(0.2)
            got = self.buy(key, entry)
        return got

    def check(self, key: str, replies: list[CallerResult]) -> None:
        """Check that the replies to a purchase agree with its executions."""
        ran = self.ledger.executions[key]
        assert ran <= 1, f"{key} executed {ran} times"
        for got in replies:
            if got.outcome == "not_run":
                assert ran == 0, (key, got)
            if got.status == 200:
                assert ran == 1, (key, got)
        bodies = {got.body for got in replies if got.status == 200}
        assert len(bodies) <= 1, (key, bodies)


def draft_body(prompt: str, tokens: int, stream: bool = True) -> bytes:
    """Return the body of a request for a draft."""
    return orjson.dumps(
        {
            "model": "choir-writer",
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        }
    )


def stream_text(body: bytes) -> str:
    """Return the text of a streamed response."""
    texts = []
    for line in body.split(b"\n"):
        if line.startswith(b"data: {"):
            for choice in orjson.loads(line[6:]).get("choices", ()):
                texts.append(choice.get("text", ""))
    return "".join(texts)


def wait_for(condition, timeout_s: float = TIMEOUT_S) -> None:
    """Wait until a condition holds; fail after a timeout in seconds."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, f"timed out after {timeout_s} s"
        time.sleep(0.02)


def raw_exchange(address: str, chunks: list[bytes], pause_s=0.0, close_write=False):
    """Send chunks over a TCP socket; return the first bytes received.

    Returns empty bytes if the connection fails or is closed without a response.
    """
    ip, _, port = address.rpartition(":")
    with socket.create_connection((ip, int(port)), timeout=5.0) as sock:
        try:
            for chunk in chunks:
                sock.sendall(chunk)
                time.sleep(pause_s)
            if close_write:
                sock.shutdown(socket.SHUT_WR)
            return sock.recv(4096)
        except OSError:
            return b""
