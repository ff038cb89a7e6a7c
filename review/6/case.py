"""The confirmation of a manifest is lost, and the operator sends the manifest again."""

from __future__ import annotations

import json
import os
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support.gateways import (  # noqa: E402
    CONTROL_PORT,
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    Deployment,
    Record,
    call,
    manifest,
    wait_for,
)

ROUTES = 350
"""Number of routes of the second manifest, as `big_config` of the site adds."""

BODY_BYTES = 65_536
"""`max_body_bytes` of the second manifest: its clients send far smaller bodies."""

APPLY_S = 2.0
"""`config_apply_ms` of the settings."""


class LossyLink:
    """A proxy before the control listener of one gateway that may lose answers."""

    def __init__(self, ip: str, target: str, *, loses_answers: bool) -> None:
        self.target = target
        self.loses_answers = loses_answers
        self.answered: list[bytes] = []
        """Status lines that the gateway answered with."""
        self.listener = socket.create_server((ip, 0))
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        host, _, port = self.target.rpartition(":")
        with client, socket.create_connection((host, int(port))) as server:
            threading.Thread(target=_copy, args=(client, server), daemon=True).start()
            while data := server.recv(65_536):
                if data.startswith(b"HTTP/1.1"):
                    self.answered.append(data.partition(b"\r\n")[0])
                if not self.loses_answers:
                    client.sendall(data)


def _copy(source: socket.socket, target: socket.socket) -> None:
    try:
        while data := source.recv(65_536):
            target.sendall(data)
        target.shutdown(socket.SHUT_WR)
    except OSError:
        return


def second_manifest() -> dict[str, object]:
    """Return a valid manifest of many routes for clients with small bodies."""
    document = manifest(2)
    route = document["routes"][0]
    document["routes"] += [
        {**route, "name": f"r-desk-{n}", "path_prefix": f"/desk-{n}/"}
        for n in range(ROUTES)
    ]
    document["limits"]["max_body_bytes"] = BODY_BYTES
    return document


def main() -> int:
    """Send two manifests and judge the answers to the second one."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(record, count=4, disks=4)
    try:
        return play(deployment, record, trouble=trouble)
    finally:
        deployment.close()


def play(deployment: Deployment, record: Record, *, trouble: bool) -> int:
    """Return whether the manifest that was confirmed is refused later."""
    gateways = deployment.gateways
    deployment.start()
    first = manifest(1)
    if not wait_for(
        lambda: gateways[0].control("PUT", "/v1/config", first)[0] == 200, 20
    ):
        record.line("the first manifest was not confirmed")
        return EXIT_NOT_RUN
    record.line("PUT version 1 at edge-1: 200")
    time.sleep(APPLY_S)
    document = second_manifest()
    body = json.dumps(document).encode()
    record.line(f"version 2 has {ROUTES + 1} routes and {len(body)} bytes")
    target = f"{gateways[0].ip}:{CONTROL_PORT}"
    link = LossyLink(gateways[0].ip, target, loses_answers=trouble)
    # The operator waits a second for an answer, and longer for large bodies.
    status, _ = call(link.address, "PUT", "/v1/config", {}, body, 2.0)
    record.line(f"PUT version 2 at edge-1: {status}, sent were {link.answered}")
    if not any(b" 200 " in line + b" " for line in link.answered):
        record.line("edge-1 did not confirm version 2")
        return EXIT_NOT_RUN
    refused = []
    if status == 0:
        for gateway in (gateways[1], gateways[2], gateways[3], gateways[0]):
            status, _ = gateway.control("PUT", "/v1/config", document, 2.0)
            record.line(f"PUT version 2 again at {gateway.name}: {status}")
            if 400 <= status < 500 and status not in (408, 429):
                refused.append(gateway.name)
    for gateway in gateways:
        status, read = gateway.control("GET", "/v1/config", None, 2.0)
        version = json.loads(read)["version"] if status == 200 else None
        record.line(f"GET at {gateway.name}: {status}, version {version}")
    if refused:
        record.line(f"BROKEN: the confirmed version 2 was refused by {refused}")
        return EXIT_BROKEN
    return EXIT_HELD


if __name__ == "__main__":
    sys.exit(main())
