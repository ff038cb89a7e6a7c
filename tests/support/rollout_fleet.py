"""Backend servers of an old and a new version behind gateways that run rollouts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from typing import Final

import orjson
from expression import Error

from support.engine_fleet import HEARTBEAT_S, WORK_S, EngineFleet, FleetEngine
from support.gateway_cluster import Cluster
from support.gateway_world import KEY, CallerResponse, route
from support.host_disks import SYNC_S, SyncRange
from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import UnavailableError
from tanagerturn.serving.rollouts.messages import ExposureBound

BOUND: Final = ExposureBound()

OLD, TARGET = "v1", "v2"

FIELDS = {
    "routes": [
        route("/look/", "idempotent", max_attempts=2, slo_ms=100),
        route("/list/", "idempotent", max_attempts=2, slo_ms=100),
        route("/buy/", "non_idempotent", slo_ms=500, timeout_ms=8000),
    ],
    "limits": {"max_header_bytes": 4096, "idle_timeout_ms": 5000},
    "tenants": [{"name": "choir", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}],
}

TARGETS: Final = ("GET /look/", "GET /list/", "POST /buy/")
"""Requests of the three routes; a number follows."""

SLOWNESS: Final = 5.0
"""Multiple of the usual time that slow responses take."""


FINAL_STATUSES: Final = (400, 409, 412, 413, 422)
"""Statuses at which an operator ends a call."""

MAX_OTHER_4XX: Final = 3
"""Number of other client errors at which it does."""


class RolloutCluster(Cluster):
    """Gateways whose settings allow rollouts, unless they are named in `without`."""

    without: tuple[int, ...] = ()

    def settings(self, number: int):
        """Return the settings of the gateway with this number."""
        bound = None if number in self.without else BOUND
        return replace(super().settings(number), rollouts=bound)


@dataclass
class Fault:
    """What is wrong with the responses of a version."""

    share: float = 0.0
    """Share of its responses that are bad."""
    is_slow: bool = False
    """Bad ones are slow, not failures."""
    path: str = ""
    """Start of the paths whose responses are bad; empty for all."""
    after_s: float = 0.0
    """Time in seconds after the first request from which responses are bad."""


@dataclass
class Arrivals:
    """Requests that the backend servers of a version received."""

    at_s: list[float] = field(default_factory=list)
    """Boot-clock time in seconds of each."""
    hosts: set[str] = field(default_factory=set)
    """Gateways that sent them."""
    bad_s: list[float] = field(default_factory=list)
    """Boot-clock time in seconds of each bad response."""


class RolloutEngine(FleetEngine):
    """Backend server of a version that may be bad."""

    async def announce(self) -> None:
        """Announce the server to one gateway, unless all are down."""
        if self.fleet.cluster.gateways:
            await super().announce()

    async def _respond(
        self, headers: dict[str, str], writer: asyncio.StreamWriter, *, is_bad: bool
    ) -> None:
        fleet, now_s = self.fleet, boot_s()
        arrivals = fleet.arrivals.setdefault(self.software_version, Arrivals())
        arrivals.at_s.append(now_s)
        arrivals.hosts.add(headers["x-test-host"])
        fleet.paths.append(headers["x-test-path"] + headers["x-test-number"])
        fault = fleet.fault if self.software_version == TARGET else Fault()
        is_faulty = (
            fleet.random.random() < fault.share
            and now_s >= arrivals.at_s[0] + fault.after_s
            and headers["x-test-path"].startswith(fault.path)
        )
        work_s = fleet.work_s.get(headers["x-test-path"].split("/")[1], WORK_S)
        await asyncio.sleep(work_s * (SLOWNESS if is_faulty and fault.is_slow else 1))
        status = 500 if is_faulty and not fault.is_slow else 200
        if is_faulty:
            arrivals.bad_s.append(boot_s())
        writer.write(
            f"HTTP/1.1 {status} X\r\nX-Request-Id: {headers['x-request-id']}\r\n"
            "X-Server-Stamp: 1a.2b\r\nContent-Length: 2\r\n\r\nok".encode()
        )
        await writer.drain()


class RolloutFleet(EngineFleet):
    """Gateways, callers, and backend servers that a rollout replaces.

    Args:
        gateways: Number of gateways, three of them with a disk.
        seed: Seed of all random choices.
        without: Numbers of the gateways whose settings do not allow rollouts.
        sync_s: Shortest and longest time in seconds of a sync of a disk.
    """

    def __init__(
        self,
        gateways: int,
        seed: int,
        without: tuple[int, ...] = (),
        sync_s: SyncRange = SYNC_S,
    ) -> None:
        self.without = without
        """Numbers of the gateways whose settings do not allow rollouts."""
        self.sync_s = sync_s
        """Shortest and longest time in seconds of a sync of a disk."""
        super().__init__(gateways, 3, seed)
        self.fields = FIELDS
        self.arrivals: dict[str, Arrivals] = {}
        """Requests by version."""
        self.fault = Fault()
        """What is wrong with the target."""
        self.work_s: dict[str, float] = {}
        """Time in seconds that requests of a route take, by the first word of its
        path, if not the usual one."""
        self.answers: list[tuple[float, CallerResponse]] = []
        """Responses to callers, with the time of the request."""
        self.cut_off_host = ""
        """Gateway that is cut off and that operators do not call; empty for none."""
        self.paths: list[str] = []
        """Path of each request that a backend server received."""
        self.ordered_s = 0.0
        """Boot-clock time in seconds of the order."""
        for engine in self.engines:
            engine.software_version = OLD

    def make_cluster(self, with_disk: int, diskless: int) -> Cluster:
        """Return the gateways, of which the first `with_disk` have a disk."""
        cluster = RolloutCluster(with_disk, diskless, self.sync_s)
        cluster.without = self.without
        return cluster

    def make_engine(self, number: int) -> FleetEngine:
        """Return a backend server that has not started yet."""
        return RolloutEngine(self, number)

    async def call(
        self, method: str, path: str, body: object = b"", host: str = ""
    ) -> CallerResponse:
        """Send one call of an operator to a gateway, a random one if none is given."""
        reached = [h for h in self.cluster.gateways if h != self.cut_off_host]
        host = host or self.random.choice(reached)
        address = self.cluster.gateways[host].settings.control_address
        ip, _, port = address.rpartition(":")
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = f"{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(data)}\r\n"
        writer.write(f"{head}Connection: close\r\n\r\n".encode() + data)
        raw = await reader.read()
        writer.close()
        head_bytes, _, content = raw.partition(b"\r\n\r\n")
        status = int(head_bytes.split(b" ")[1]) if head_bytes else 0
        return CallerResponse(status, {}, content, True)

    async def operate(
        self, method: str, path: str, body: object = b"", timeout_s: float = 4.5
    ) -> CallerResponse:
        """Send a call as an operator does, at another gateway after an error."""
        end_s, other_4xx = boot_s() + timeout_s, 0
        while True:
            answer = CallerResponse(0, {}, b"", False)
            try:
                async with asyncio.timeout(1.0):
                    answer = await self.call(method, path, body)
            except (TimeoutError, ConnectionError, IndexError):
                pass
            other_4xx += 400 <= answer.status < 500
            is_final = 0 < answer.status < 400 or answer.status in FINAL_STATUSES
            if is_final or other_4xx == MAX_OTHER_4XX or boot_s() > end_s:
                return answer
            await asyncio.sleep(0.1)

    async def order(self, duration_s: float, target: str = TARGET) -> CallerResponse:
        """Order a rollout, and start the backend servers of the target."""
        body = {"service": "desk", "target": target, "duration_s": duration_s}
        self.ordered_s = boot_s()
        answer = await self.operate("POST", "/v1/rollouts", body)
        if answer.status == 200:
            await self.add_engines(target)
        return answer

    async def add_engines(self, version: str, count: int = 3) -> None:
        """Start backend servers of another version."""
        for _ in range(count):
            engine = self.make_engine(len(self.engines))
            engine.software_version = version
            self.engines.append(engine)
            await engine.start()

    async def state(self) -> str:
        """Return the state of the rollout as an operator reads it; empty if unknown."""
        answer = await self.operate("GET", "/v1/rollouts/desk", timeout_s=2.0)
        return orjson.loads(answer.body)["state"] if answer.status == 200 else ""

    async def watch(self, duration_s: float) -> tuple[str, float]:
        """Wait for the end of the rollout as operators do.

        Old backend servers stop at once when it is completed.

        Returns:
            The last state, and the time in seconds since the order.
        """
        state = ""
        while boot_s() < self.ordered_s + duration_s:
            state = await self.state()
            if state in ("completed", "rolled_back"):
                break
            await asyncio.sleep(0.1)
        ended_s = boot_s() - self.ordered_s
        if state == "completed":
            for engine in self.engines:
                if engine.software_version != TARGET:
                    engine.stop()
        return state, ended_s

    async def callers(self, rate_per_s: float) -> None:
        """Send requests of all routes to random gateways until cancelled."""
        while True:
            self.add_task(self.ask(self.random.choice(TARGETS)))
            await asyncio.sleep(self.random.expovariate(rate_per_s))

    async def ask(self, target: str, host: str = "") -> None:
        """Send one request and note its response."""
        sent_s = boot_s()
        self.request_count += 1
        path, number = target.split(" ")[1], self.request_count
        try:
            host = host or self.random.choice(list(self.cluster.gateways))
            headers = (
                f"X-Test-Path: {path}\r\nX-Test-Number: {number}\r\n"
                f"X-Test-Host: {host}\r\n"
            )
            call = f"{target}{number}"
            answer = await self.request(host, call, KEY, headers=headers)
        except (ConnectionError, KeyError, IndexError):
            answer = CallerResponse(0, {}, b"", False)
        self.answers.append((sent_s, answer))

    def cut_off(self, host: str) -> None:
        """Cut a gateway off from its peers, not from backend servers and callers."""
        gateway, self.cut_off_host = self.cluster.gateways[host], host

        async def unavailable(frame: object, timeout_s: float):
            await asyncio.sleep(timeout_s)
            return Error(UnavailableError("call state group", "", "cut off"))

        gateway.store._call = unavailable
        gateway.relay.detours.choose = lambda run, now_s: None
        gateway.mesh.receive = lambda: None
        gateway.mesh._send_all = lambda data, ips: None
        gateway.mesh.core.receive = lambda packet, address, now_ms: []
        gateway.mesh.probe_socket.send = lambda data, ip, port: None

    def holder(self) -> str:
        """Return the host that holds the lease of rollouts; empty if none."""
        for host, gateway in self.cluster.gateways.items():
            rollouts = gateway.rollouts
            if rollouts is not None and rollouts.holder.controlled:
                return host
        return ""

    async def restart(self, hosts: list[str]) -> None:
        """Kill gateways and start them again."""
        for host in hosts:
            await self.cluster.kill(host)
        await asyncio.sleep(HEARTBEAT_S)
        for host in hosts:
            await self.cluster.start(int(host[1:]), is_first_start=False)

    def statuses(self, from_s: float = 0.0) -> dict[int, int]:
        """Return the number of responses to callers by status."""
        counts: dict[int, int] = {}
        for sent_s, answer in self.answers:
            if sent_s >= from_s:
                counts[answer.status] = counts.get(answer.status, 0) + 1
        return counts
