"""Several complete gateways in one process, each with its own loopback address."""

from __future__ import annotations

import asyncio
import random
import shutil
from contextvars import ContextVar, copy_context
from dataclasses import replace

import orjson

from support.gateway_world import gateway_settings, manifest
from support.host_disks import (
    SYNC_S,
    SyncRange,
    make_data_folder,
    simulate_syncs,
    stop_simulating,
)
from tanagerturn.gateway.gateway import Gateway
from tanagerturn.platform.dialect import PlatformDialect

GROUP_TIMEOUT_S = 15.0
"""Timeout in seconds for the initialization of the state group; long enough for a busy
machine."""

RUNNING_HOST: ContextVar[str] = ContextVar("RUNNING_HOST", default="")
"""Host of the gateway whose task or callback runs; empty outside of gateways."""


class Cluster:
    """Gateways g1, g2, ..., of which the first ones have a disk.

    Args:
        with_disk: Number of gateways with a disk.
        diskless: Number of gateways without a disk.
        sync_s: Shortest and longest time in seconds of a sync of a disk.
    """

    def __init__(
        self, with_disk: int, diskless: int, sync_s: SyncRange = SYNC_S
    ) -> None:
        self.with_disk, self.diskless = with_disk, diskless
        self.folder = make_data_folder()
        simulate_syncs(sync_s)
        self.subnet = random.randrange(2, 250)
        self.port = random.randrange(20_000, 30_000)
        self.gateways: dict[str, Gateway] = {}
        self.gateway_tasks: dict[str, asyncio.Task[None]] = {}

    def settings(self, number: int):
        """Return the settings of the gateway with this number, 1 for g1."""
        ip = f"127.{self.subnet}.0.{number}"
        seeds = tuple(f"127.{self.subnet}.0.{n}" for n in (1, 2, 3))
        has_disk = number <= self.with_disk
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
            forwarding_port=self.port + 6,
            seed_ips=seeds,
        )

    async def start(self, number: int, *, is_first_start: bool = True) -> Gateway:
        """Start the gateway with this number."""
        settings = replace(self.settings(number), is_first_start=is_first_start)
        loop = asyncio.get_running_loop()
        dialect = PlatformDialect(1000, has_rollouts=settings.rollouts is not None)
        gateway = Gateway(settings, dialect, loop, lambda: settings)
        self.gateways[settings.host] = gateway
        context = copy_context()
        context.run(RUNNING_HOST.set, settings.host)
        self.gateway_tasks[settings.host] = asyncio.create_task(
            gateway.run(), context=context
        )
        return gateway

    async def start_all(self) -> None:
        """Start all gateways and wait for a complete state group with a leader."""
        for number in range(1, self.with_disk + self.diskless + 1):
            await self.start(number)
        await self.wait_until(
            lambda: any(
                self.is_complete(g) and g.member.committed_voters
                for g in self.members()
            )
        )

    def members(self) -> list[Gateway]:
        """Return the gateways with a disk."""
        return [g for g in self.gateways.values() if g.settings.data_folder]

    def is_complete(self, gateway: Gateway) -> bool:
        """Return whether a gateway's member knows the required number of voters."""
        return gateway.member is not None and gateway.member.is_complete

    async def wait_until(self, condition, timeout_s: float = GROUP_TIMEOUT_S) -> None:
        """Wait until a condition holds; raise `TimeoutError` after `timeout_s`."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.05)

    async def kill(self, host: str, *, wipe: bool = False) -> None:
        """Stop a gateway without draining, and delete its data if `wipe`."""
        gateway = self.gateways.pop(host)
        task = self.gateway_tasks.pop(host)
        gateway.may_exit.set()
        await asyncio.wait((task,))
        for server in (
            gateway.caller_server,
            gateway.forwarding_server,
            gateway.readiness_server,
            gateway.control_server,
        ):
            server.close()
            for connection_task in list(server.tasks):
                connection_task.cancel()
        gateway.links.close()
        gateway.mesh.close()
        if gateway.member is not None and gateway.member.actor is not None:
            gateway.member.actor.stop()
            gateway.member.folder.close()
        if wipe:
            shutil.rmtree(self.folder / host, ignore_errors=True)

    async def put_configuration(self, host: str, version: int, **fields: object):
        """Send a configuration to one gateway, with retries like an operator."""
        document = orjson.dumps(manifest(version=version, **fields))
        for _ in range(8):
            accepted = await self.gateways[host].configurations.put(document)
            if accepted.is_ok():
                return accepted
            await asyncio.sleep(0.3)
        return accepted

    async def read_version(self, host: str) -> int | None:
        """Return the latest version as read at a gateway; None if not confirmed."""
        newest = await self.gateways[host].configurations.read_newest()
        return orjson.loads(newest.ok)["version"] if newest.is_ok() else None

    def versions_in_force(self) -> list[int]:
        """Return the version in force at each gateway."""
        return [g.state.configuration.version for g in self.gateways.values()]

    async def close(self) -> None:
        """Stop all gateways and delete their data."""
        for host in list(self.gateways):
            await self.kill(host)
        stop_simulating()
        shutil.rmtree(self.folder, ignore_errors=True)
