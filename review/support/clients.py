"""Clients that send purchases to all gateways, one after the other."""

from __future__ import annotations

import itertools
import threading
import time
from typing import TYPE_CHECKING

from support.gateways import FRONT_PORT, Deployment, Record, call

if TYPE_CHECKING:
    from support.engine import Engine


class Clients:
    """Sends purchases to all gateways in turn and keeps the time of each."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record
        self.sent_s: dict[str, float] = {}
        self.answered = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._send, daemon=True)

    def _send(self) -> None:
        for number in itertools.count():
            if self.stopping.is_set():
                return
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
            self.answered += status == 200
            self.record.line(f"{attempt} at {gateway.name}: {status}")
            self.stopping.wait(0.03)


def sent_late(clients: Clients, engine: Engine, due_s: float) -> list[str]:
    """Return the requests that reached an engine and were sent after a time."""
    return [attempt for attempt, _ in engine.ran if clients.sent_s[attempt] > due_s]
