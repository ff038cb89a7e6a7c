"""A model engine as a process; its streams have no length and end with their channel.

Arguments: id, address, zone, file, control addresses. It appends a line to the file for
each run and each event that it makes.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from deployment import call  # noqa: E402

EVENTS, EVENT_S = 60, 0.05
SLOTS = 64


class Engine:
    def __init__(self, identity, address, zone, path, controls) -> None:
        self.id, self.address, self.zone = identity, address, zone
        self.file = Path(path).open("a", encoding="utf-8")
        self.controls = controls.split(",")
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: dict[str, int] = {}

    def note(self, text: str) -> None:
        self.file.write(f"{time.monotonic():.3f} {self.id} {text}\n")
        self.file.flush()

    async def beat(self) -> None:
        while True:
            self.sequence += 1
            body = {
                "service": "llm", "address": self.address, "zone": self.zone,
                "version": "v1", "slots": SLOTS, "state": "ready",
                "warmup_left_ms": 0, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self.sequence, "born": self.born,
            }
            for control in random.sample(self.controls, len(self.controls)):
                status, _, _ = await call(
                    control, "PUT", f"/v1/instances/{self.id}",
                    json.dumps(body).encode(), {"Content-Type": "application/json"},
                )
                if 200 <= status < 300:
                    break
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                fields = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    fields[name.lower()] = value.strip()
                await reader.readexactly(int(fields.get("content-length", "0")))
                path = lines[0].split()[1]
                if path == "/v1/report":
                    self.report(writer)
                elif fields.get("x-expect-instance", self.id) != self.id:
                    writer.write(b"HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\n"
                                 b"Content-Length: 0\r\n\r\n")
                else:
                    await self.stream(writer, fields)
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def report(self, writer) -> None:
        runs = [[run, 1000, made, 5] for run, made in self.runs.items()]
        body = json.dumps({
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False, "sequence": 0, "waiting": 0, "running": len(runs),
            "kv_used": 0, "kv_total": 480615, "handles": 0, "state": "ready",
            "runs": runs,
        }).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body
        )
        self.note("reports " + (" ".join(self.runs) or "no run"))

    async def stream(self, writer, fields) -> None:
        request = fields.get("x-request-id", "")
        first = int(fields.get("last-event-id") or 0) + 1
        self.note(f"runs {request} from event {first}")
        writer.write(
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {request}\r\nX-Server-Stamp: 3e1b.{self.id}\r\n"
            f"Connection: close\r\n\r\n".encode()
        )
        self.runs[request] = first - 1
        try:
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                if writer.transport.is_closing():
                    return
                writer.write(f"id: {number}\ndata: piece {number}\n\n".encode())
                await writer.drain()
                self.runs[request] = number
        finally:
            self.note(f"ends {request} after event {self.runs.pop(request)}")


async def main() -> None:
    engine = Engine(*sys.argv[1:6])
    ip, _, port = engine.address.rpartition(":")
    await asyncio.start_server(engine.serve, ip, int(port))
    engine.note("starts")
    await engine.beat()


if __name__ == "__main__":
    asyncio.run(main())
