"""An operator that sends manifests and reads them back, and the judge of its reads."""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING

from support.gateways import Gateway, Record, manifest

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

CONFIG_APPLY_S = 2.0
"""`config_apply_ms` of the settings."""


class Operator:
    """Sends manifests, one after the other, and reads them at all gateways.

    As the pages state, a manifest without a clear answer is sent again unchanged, to
    another gateway.
    """

    def __init__(
        self,
        gateways: Sequence[Gateway],
        record: Record,
        make: Callable[[int], dict[str, object]] = manifest,
        interval_s: float = 0.5,
    ) -> None:
        self.gateways = list(gateways)
        self.record = record
        self.make = make
        self.interval_s = interval_s
        self.accepted: list[tuple[int, float]] = []
        """Confirmed versions, with the time of their confirmation."""
        self.sent: dict[int, str] = {}
        """Content of each version that was sent, as JSON."""
        self.broken: list[str] = []
        """What broke the rule CONFIG."""
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self._send, daemon=True)]
        self.threads += [
            threading.Thread(target=self._read, args=(gateway,), daemon=True)
            for gateway in self.gateways
        ]

    def start(self) -> None:
        """Start to send and to read."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop to send and to read."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    @property
    def newest(self) -> int:
        """The newest confirmed version; 0 before the first one."""
        return max((version for version, _ in self.accepted), default=0)

    def read_back(self, contact_s: float = 3.0) -> None:
        """Read the manifest at each gateway at the end, and judge the answers."""
        end_s = time.monotonic() + contact_s + CONFIG_APPLY_S
        while time.monotonic() < end_s:
            for gateway in self.gateways:
                self._read_once(gateway)
            time.sleep(0.2)

    def _send(self) -> None:
        version, turn = 1, 0
        while not self.stopping.is_set():
            gateway = self.gateways[turn % len(self.gateways)]
            turn += 1
            document = self.make(version)
            self.sent[version] = json.dumps(document, sort_keys=True)
            status, _ = gateway.control("PUT", "/v1/config", document, 1.0)
            self.record.line(f"PUT version {version} at {gateway.name}: {status}")
            if status == 200:
                self.accepted.append((version, time.monotonic()))
                version += 1
            self.stopping.wait(self.interval_s)

    def _read(self, gateway: Gateway) -> None:
        while not self.stopping.is_set():
            self._read_once(gateway)
            self.stopping.wait(0.25)

    def _read_once(self, gateway: Gateway) -> None:
        sent_s = time.monotonic()
        due = [v for v, at_s in list(self.accepted) if at_s + CONFIG_APPLY_S < sent_s]
        status, body = gateway.control("GET", "/v1/config", None, 1.0)
        if status != 200:
            return
        document = json.loads(body)
        version = document["version"]
        expected = max(due, default=0)
        if version < expected:
            text = (
                f"{gateway.name} answers a read with version {version}, over "
                f"{CONFIG_APPLY_S} s after the confirmation of version {expected}"
            )
            self.broken.append(text)
            self.record.line(f"BROKEN {text}")
        elif json.dumps(document, sort_keys=True) != self.sent.get(version):
            text = f"{gateway.name} answers a read with other content for {version}"
            self.broken.append(text)
            self.record.line(f"BROKEN {text}")
        else:
            self.record.line(f"GET at {gateway.name}: version {version}")
