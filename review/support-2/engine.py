"""Stand-in of an engine of a plain service."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import TYPE_CHECKING

from deployment import call

if TYPE_CHECKING:
    from deployment import Deployment


class PlainEngine:
    """Answers each request after `work_s`, and sends heartbeats."""

    def __init__(
        self,
        deployment: Deployment,
        number: int,
        service: str,
        work_s: float = 0.015,
        slots: int = 6,
    ) -> None:
        self.deployment = deployment
        self.id = f"i-7f3a{number:04x}"
        self.address = f"{deployment.subnet}.{number}:8080"
        self.service, self.work_s, self.slots = service, work_s, slots
        self.zone = deployment.gateways[0].zone
        self.born = int(time.time() * 1000)
        self.state, self.sequence = "ready", 0
        self.running = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        ip, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._serve, ip, int(port))
        task = asyncio.create_task(self._beat())
        self.tasks.add(task)

    async def _beat(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(1.2)

    async def announce(self) -> bool:
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        gateways = self.deployment.gateways
        for gateway in random.sample(gateways, len(gateways)):
            status, _, _ = await call(
                gateway.control,
                "PUT",
                f"/v1/instances/{self.id}",
                json.dumps(body).encode(),
                {"Content-Type": "application/json"},
            )
            if 200 <= status < 300:
                return True
        return False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                fields = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    fields[name.lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                await self.handle(lines[0], fields, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The loop ends with its servers.
            pass
        finally:
            writer.close()

    async def handle(
        self, line: str, fields: dict[str, str], body: bytes, writer
    ) -> None:
        request = fields.get("x-request-id", "")
        if fields.get("x-expect-instance", self.id) != self.id:
            self.answer(writer, 421, request, b"", "X-Not-Executed: 1\r\n")
            return
        self.deployment.record.write(f"{self.id} runs {request} ({line.split()[1]})")
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        self.answer(writer, 200, request, b"x" * 800)

    def answer(
        self, writer, status: int, request: str, body: bytes, extra: str = ""
    ) -> None:
        head = (
            f"HTTP/1.1 {status} X\r\nX-Request-Id: {request}\r\n"
            f"X-Server-Stamp: 3e1b.{self.id}\r\n"
            f"X-Instance-Load: {self.running},0,{self.slots}\r\n"
            f"{extra}Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
