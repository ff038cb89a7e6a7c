"""Engines behind several gateways that crash under one request, whoever repeats it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

from support.engine_fleet import FIELDS, SHARED_PARTS, EngineFleet, SoundRequest
from support.gateway_world import KEY, CallerResponse, route
from tanagerturn.clocks import boot_s

OTHER_KEY: Final = "key-2"
"""API key of another client account."""

ACCOUNTS: Final = {KEY: "choir", OTHER_KEY: "chapel"}
"""Client account by API key."""


@dataclass(frozen=True)
class Call:
    """A request that callers may repeat."""

    method: str
    target: str
    body: bytes = b""
    key: str = KEY
    prefix: str = ""
    """Parts of the prompt; empty for a request without one."""


KINDS: Final = {
    "lookup": Call("GET", "/look/file/7"),
    "purchase": Call("POST", "/buy/seat", b"row 4"),
    "resumable stream": Call("POST", "/notes/a", b"opera", prefix="5c1e:300,0b:600"),
    "single stream": Call("POST", "/draft/a", b"opera", prefix="5c1e:300,0b:600"),
    "stream without shared parts": Call("POST", "/notes/a", b"x", prefix="0b:900"),
}
"""The crashing request by the kind of its route."""

STREAM_FIELDS: Final = {"slo_ms": 1000, "gap_slo_ms": 800, "timeout_ms": 4000}

REPEAT_FIELDS: Final = {
    "routes": [
        *FIELDS["routes"],
        route("/draft/", "streaming", **STREAM_FIELDS),
        route("/look/", "idempotent", max_attempts=2),
        route("/buy/", "non_idempotent"),
    ],
    "limits": FIELDS["limits"],
    "tenants": [
        {"name": name, "api_keys": [key], "rate_per_s": 0, "burst": 0}
        for key, name in ACCOUNTS.items()
    ],
}
"""Fields of the manifest: a route of each kind, and two accounts without limits."""


class RepeatFleet(EngineFleet):
    """Gateways, and engines that crash under the repeats of one request.

    Args:
        gateways: Number of gateways, three of them with a disk.
        engines: Number of engines.
        kind: Kind of the crashing request, a key of `KINDS`.
        seed: Seed of all random choices.
    """

    def __init__(self, gateways: int, engines: int, kind: str, seed: int) -> None:
        super().__init__(gateways, engines, seed)
        self.fields = REPEAT_FIELDS
        self.bad = KINDS[kind]
        self.crashes_engines = True
        """Whether the bad request crashes engines; otherwise it is a sound one."""

    def is_bad(self, target: str, headers: dict[str, str], body: bytes) -> bool:
        """Return whether a request is a repeat of the crashing one."""
        account = headers.get("x-tenant")
        return self.crashes_engines and (target, body, account) == (
            self.bad.target,
            self.bad.body,
            ACCOUNTS[self.bad.key],
        )

    def sound_calls(self) -> list[Call]:
        """Return requests like the crashing one, with another caller, body or path.

        The first one is the same for all its callers and at all times.
        """
        self.request_count += 1
        number = self.request_count
        part = self.random.choice(SHARED_PARTS[1:])
        prefix = f"5c1e:300,{part}:300,{number:08x}:300" if self.bad.prefix else ""
        bad = self.bad
        folder = bad.target.rpartition("/")[0]
        return [
            Call(bad.method, f"{folder}/poll", b"", bad.key, prefix),
            Call(bad.method, bad.target, bad.body, OTHER_KEY, prefix),
            Call(bad.method, bad.target, b"body %d" % number, bad.key, prefix),
            Call(bad.method, f"{folder}/sound{number}", bad.body, bad.key, prefix),
        ]

    async def send(self, *, is_bad: bool, host: str = "") -> CallerResponse:
        """Send one request to a gateway, a random one if `host` is empty."""
        call = self.bad if is_bad else self.random.choice(self.sound_calls())
        return await self.send_call(call, host)

    async def send_call(self, call: Call, host: str = "") -> CallerResponse:
        """Send one request to a gateway, a random one if `host` is empty."""
        host = host or self.random.choice(list(self.cluster.gateways))
        sent_s = boot_s()
        answer = await self.request(
            host, f"{call.method} {call.target}", call.key, call.prefix, call.body
        )
        if call == self.bad:
            self.bad_answers.append(answer)
        else:
            has_begun = answer.status == 200 and (
                not call.prefix or b"id: 1\n" in answer.body
            )
            self.sound.append(SoundRequest(sent_s, has_begun))
        return answer

    async def load_until(self, crashes: int, bad_per_s: float, sound_per_s: float):
        """Send both kinds until a number of crashes; fail after 20 s."""
        begun_s = boot_s()
        while len(self.crashes_s) < crashes:
            await self.load(bad_per_s, sound_per_s, 0.25)
            assert boot_s() < begun_s + 20.0, f"only {len(self.crashes_s)} crashes"

    async def restart(self, hosts: list[str]) -> None:
        """Kill gateways without draining, and start them again."""
        for host in hosts:
            await self.cluster.kill(host)
        for host in hosts:
            await self.cluster.start(int(host[1:]), is_first_start=False)

    async def wait(self, duration_s: float) -> None:
        """Let gateways and engines run."""
        await asyncio.sleep(duration_s)
