"""A stand-in of the infrastructure's API that keeps who called it."""

from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from support.gateways import Record


class Cloud:
    """Accepts each duty call.

    Args:
        record: Record of the case.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.holders: dict[tuple[str, int], set[str]] = {}
        """Holders that sent an epoch number for a subject."""
        self.server = _Server(("127.0.0.1", 0), _Handler)
        self.server.cloud = self
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def on_call(self, path: str, holder: str, epoch: int, body: bytes) -> None:
        """Keep a call."""
        fields = json.loads(body)
        subject = path
        if path == "/scale":
            subject = f"/scale {fields['service']} {fields['zone']}"
        self.record.line(f"cloud: {holder}, epoch {epoch}: {path} {fields}")
        self.holders.setdefault((subject, epoch), set()).add(holder)

    def shared_epochs(self) -> list[str]:
        """Return what two holders did with the same epoch number."""
        return [
            f"epoch {epoch} for {subject} was sent by {sorted(holders)}"
            for (subject, epoch), holders in self.holders.items()
            if len(holders) > 1
        ]

    def stop(self) -> None:
        """Stop to listen."""
        self.server.shutdown()
        self.server.server_close()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    cloud: Cloud


class _Handler(BaseHTTPRequestHandler):
    server: _Server

    def do_POST(self) -> None:
        """Accept a call."""
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        holder = self.headers.get("X-Duty-Holder", "")
        epoch = int(self.headers.get("X-Fencing-Token") or 0)
        self.server.cloud.on_call(self.path, holder, epoch, body)
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_: object) -> None:
        """Write nothing to standard error."""
