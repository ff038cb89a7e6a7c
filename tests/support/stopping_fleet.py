"""Slow engines behind gateways of which one is told to stop."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final

from support.gateway_world import HOST, KEY, CallerResponse, read_response, route
from support.partition_fleet import (
    PATH_FIELDS,
    FirstTry,
    PartitionFleet,
    PathEngine,
)
from tanagerturn.clocks import boot_s

if TYPE_CHECKING:
    from tanagerturn.schema import serving_pb2

TIMEOUT_MS: Final = 15_000
"""Timeout of the routes and of the callers in milliseconds, longer than any grace."""

GRACE_S: Final = 8.0

SLOW_FIELDS: Final = {
    **PATH_FIELDS,
    "routes": [
        route(
            f"/{kind}/", route_type, timeout_ms=TIMEOUT_MS, slo_ms=3000, max_attempts=2
        )
        for kind, route_type in (("look", "idempotent"), ("buy", "non_idempotent"))
    ],
}


class SlowEngine(PathEngine):
    """Engine that runs as many requests at once as it has slots."""

    def __init__(self, fleet: StoppingFleet, number: int) -> None:
        super().__init__(fleet, number)
        self.free_slots = asyncio.Semaphore(fleet.slots)

    def announcement(self) -> serving_pb2.Announcement:
        """Return the next announcement of the engine."""
        announcement = super().announcement()
        announcement.slots = self.fleet.slots
        return announcement

    async def _respond(
        self, headers: dict[str, str], writer: asyncio.StreamWriter, *, is_bad: bool
    ) -> None:
        pause_s = self.fleet.pause_s
        if pause_s:
            writer.write(
                "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Server-Stamp: 1a.2b\r\n"
                f"X-Request-Id: {headers['x-request-id']}\r\nRetry-After: {pause_s:g}"
                "\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return
        async with self.free_slots:
            await asyncio.sleep(self.fleet.work_s)
            await super()._respond(headers, writer, is_bad=is_bad)


class StoppingFleet(PartitionFleet):
    """Gateways of which one is told to stop while requests are at it.

    Args:
        gateways: Number of gateways, three of them with a disk.
        engines: Number of engines.
        slots: Number of requests that an engine runs at once.
        work_s: Time in seconds that a request takes.
    """

    def __init__(self, gateways: int, engines: int, slots: int, work_s: float) -> None:
        self.slots, self.work_s = slots, work_s
        self.pause_s = 0.0
        """Pause in seconds that engines ask for as they refuse; 0 if they don't."""
        super().__init__(gateways, engines, seed=1)
        self.fields = SLOW_FIELDS
        self.deadline_ms = TIMEOUT_MS
        self.stopped_s = 0.0
        """Time in seconds from the signal to the end of the stopped gateway."""
        self.terminated_s = 0.0
        """Boot-clock time in seconds of the signal."""

    def make_engine(self, number: int) -> SlowEngine:
        """Return an engine that has not started yet."""
        return SlowEngine(self, number)

    async def stop_gateway(self, host: str) -> None:
        """Do what SIGTERM does to a gateway, and close its connections at its end."""
        self.terminated_s = boot_s()
        self.cluster.gateways[host].on_terminate()
        await asyncio.wait((self.cluster.gateway_tasks[host],))
        self.stopped_s = boot_s() - self.terminated_s
        await self.cluster.kill(host)

    async def try_in_halves(self, host: str, kind: str, rest_after_s: float) -> None:
        """Send a request of which a half arrives at once.

        Args:
            host: Gateway that receives the request.
            kind: Route of the request.
            rest_after_s: Time in seconds until the other half; infinite for never.
        """
        self.attempt_count += 1
        attempt, sent_s = f"r{self.attempt_count}", boot_s()
        ip, _, port = self.cluster.gateways[host].settings.callers_address.rpartition(
            ":"
        )
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = (
            f"POST /{kind}/{attempt} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {attempt}\r\nX-Deadline-Ms: {self.deadline_ms}\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: 100\r\n\r\n"
        )
        writer.write(head.encode() + bytes(50))
        if rest_after_s < math.inf:
            await asyncio.sleep(rest_after_s)
            writer.write(bytes(50))
        try:
            response = await read_response(reader)
        except (ConnectionError, KeyError):
            response = CallerResponse(0, {}, b"", False)
        writer.close()
        took_s = boot_s() - sent_s
        tried = FirstTry(host, kind, sent_s, took_s, attempt, response, 0)
        self.tries.append(tried)

    async def order_late(self, host: str) -> CallerResponse:
        """Send a configuration that is not stored before a stopping gateway ends."""
        gateway = self.cluster.gateways[host]

        async def put(document: bytes) -> object:
            del document
            return await asyncio.get_running_loop().create_future()

        gateway.configurations.put = put
        ip, _, port = gateway.settings.control_address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(
            b"PUT /v1/config HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\n{}"
        )
        try:
            return await read_response(reader)
        except (ConnectionError, KeyError):
            return CallerResponse(0, {}, b"", False)
        finally:
            writer.close()

    def unanswered(self) -> list[tuple[str, CallerResponse]]:
        """Return the requests without a whole answer."""
        return [(t.attempt, t.response) for t in self.tries if not t.response.is_whole]

    def cut_purchases(self) -> list[str]:
        """Return the purchases that an engine ran and whose caller was not served."""
        return [
            t.attempt
            for t in self.tries
            if t.kind == "buy" and self.runs[t.attempt] and not t.is_served
        ]

    async def warm_up(self, host: str) -> None:
        """Let a gateway see how long requests take."""
        tries = [self.try_once(host, kind) for kind in ("look", "buy")]
        assert all(t.is_served for t in await asyncio.gather(*tries))
