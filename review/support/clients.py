"""Clients that send purchases to all gateways."""

from __future__ import annotations

import itertools
import threading
import time
from typing import TYPE_CHECKING, Final

from support.gateways import FRONT_PORT, Deployment, Record, call

if TYPE_CHECKING:
    from support.engine import Engine


CLIENTS: Final = 8


class Clients:
    """Some clients, each of which sends purchases to all gateways in turn."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record
        self.sent_s: dict[str, float] = {}
        self.status: dict[str, int] = {}
        """Status of the answer by request; 0 if the channel ended without one."""
        self.numbers = itertools.count()
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._send, daemon=True) for _ in range(CLIENTS)
        ]

    def start(self) -> None:
        """Start to send."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop to send, and wait for the last answers."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    @property
    def were_served(self) -> bool:
        """Whether any purchase got its answer."""
        return 200 in self.status.values()

    def _send(self) -> None:
        while not self.stopping.is_set():
            number = next(self.numbers)
            gateway = self.deployment.gateways[number % 4]
            attempt = f"purchase-{number}"
            headers = {
                "Host": "site.example",
                "X-Request-Id": attempt,
                "X-Deadline-Ms": "1500",
            }
            self.sent_s[attempt] = time.monotonic()
            address = f"{gateway.ip}:{FRONT_PORT}"
            status, _ = call(address, "POST", "/desk/buy", headers, b"{}", 2.0)
            self.status[attempt] = status
            self.record.line(f"{attempt} at {gateway.name}: {status}")
            self.stopping.wait(0.05)


def sent_late(clients: Clients, engine: Engine, due_s: float) -> list[str]:
    """Return the requests that reached an engine and were sent after a time."""
    return [attempt for attempt, _ in engine.ran if clients.sent_s[attempt] > due_s]
