"""Several whole gateways in one process, each at an address of its own on loopback."""

from __future__ import annotations

import asyncio
import random
import shutil
import tempfile
from dataclasses import replace
from pathlib import Path

import orjson

from support.gateway_world import gateway_settings, manifest
from tanagerturn.gateway.gateway import Gateway
from tanagerturn.platform.dialect import PlatformDialect

FORM_S = 15.0
"""Longest time for a group to form on a busy machine."""


class Cluster:
    """Gateways g1, g2, ... of which the first ones have a disk.

    Args:
        disks: Gateways with a disk.
        plain: Gateways without one.
    """

    def __init__(self, disks: int, plain: int) -> None:
        self.disks, self.plain = disks, plain
        self.folder = Path(tempfile.mkdtemp())
        self.net = random.randrange(2, 250)
        self.port = random.randrange(20_000, 30_000)
        self.gateways: dict[str, Gateway] = {}
        self.running: dict[str, asyncio.Task[None]] = {}

    def settings(self, number: int):
        """Return the settings of one gateway."""
        ip = f"127.{self.net}.0.{number}"
        seeds = tuple(f"127.{self.net}.0.{n}" for n in (1, 2, 3))
        has_disk = number <= self.disks
        return replace(
            gateway_settings(self.folder / f"g{number}" if has_disk else None),
            host=f"g{number}",
            ip=ip,
            zone=f"z{number}",
            callers_address=f"{ip}:{self.port}",
            readiness_address=f"{ip}:{self.port + 1}",
            control_address=f"{ip}:{self.port + 2}",
            link_port=self.port + 3,
            digest_port=self.port + 4,
            membership_port=self.port + 5,
            seed_ips=seeds,
        )

    async def start(self, number: int, *, first: bool = True) -> Gateway:
        """Start one gateway."""
        settings = replace(self.settings(number), is_first_start=first)
        loop = asyncio.get_running_loop()
        gateway = Gateway(settings, PlatformDialect(1000), loop, lambda: settings)
        self.gateways[settings.host] = gateway
        self.running[settings.host] = asyncio.create_task(gateway.run())
        return gateway

    async def start_all(self) -> None:
        """Start all and wait until the group is complete."""
        for number in range(1, self.disks + self.plain + 1):
            await self.start(number)
        await self.until(lambda: any(self.is_complete(g) for g in self.members()))

    def members(self) -> list[Gateway]:
        """Return the gateways with a disk."""
        return [g for g in self.gateways.values() if g.settings.data_folder]

    def is_complete(self, gateway: Gateway) -> bool:
        """Tell whether a gateway's member knows a whole group."""
        return gateway.member is not None and gateway.member.is_complete

    async def until(self, condition, timeout_s: float = FORM_S) -> None:
        """Wait for a condition."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.05)

    async def kill(self, host: str, *, wipe: bool = False) -> None:
        """Stop a gateway at once, and empty its disk if asked for."""
        gateway = self.gateways.pop(host)
        task = self.running.pop(host)
        gateway.ended.set()
        await asyncio.wait((task,))
        for server in (gateway.callers, gateway.readiness, gateway.operators):
            server.close()
            for one in list(server.tasks):
                one.cancel()
        gateway.links.close()
        gateway.mesh.close()
        if gateway.member is not None and gateway.member.actor is not None:
            gateway.member.actor.stop()
        if wipe:
            shutil.rmtree(self.folder / host, ignore_errors=True)

    async def put(self, host: str, version: int, **fields: object):
        """Send a configuration to one gateway, as an operator who tries again."""
        document = orjson.dumps(manifest(version=version, **fields))
        for _ in range(8):
            accepted = await self.gateways[host].configurations.put(document)
            if accepted.is_ok():
                return accepted
            await asyncio.sleep(0.3)
        return accepted

    async def read(self, host: str) -> int | None:
        """Read the newest version at one gateway; None when it is not sure."""
        newest = await self.gateways[host].configurations.newest()
        return orjson.loads(newest.ok)["version"] if newest.is_ok() else None

    def versions(self) -> list[int]:
        """Return the version in force at each gateway."""
        return [g.state.configuration.version for g in self.gateways.values()]

    async def close(self) -> None:
        """End everything."""
        for host in list(self.gateways):
            await self.kill(host)
        shutil.rmtree(self.folder, ignore_errors=True)
