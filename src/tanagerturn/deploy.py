"""Runs any set of the roles inside one process, over loopback."""

from __future__ import annotations

import socket
import time
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import wall_ms
from tanagerturn.control.server import ControlServer, start_control
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.ids import ChangeId
from tanagerturn.coordination.remote import RemoteStateClient, connect
from tanagerturn.coordination.settings_history import SettingsHistory
from tanagerturn.entry.server import EntryServer, start_entry
from tanagerturn.settings import merge_sites, parse_process
from tanagerturn.state.server import StateServer, start_state

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from pathlib import Path

    from tanagerturn.schema import settings_pb2 as pb

LOOPBACK: Final = "127.0.0.1"
READY_TIMEOUT_S: Final = 15.0
POLL_S: Final = 0.02


class NotReadyError(Exception):
    """A part did not become ready in time."""


@dataclass(frozen=True)
class DeploymentPlan:
    """Which roles to run, and with which settings."""

    cluster: str
    """Name of the cluster."""
    site: str
    """Site whose overlay applies."""
    files: Mapping[str, str]
    """Files of the deployment's settings, by "base" or "site/NAME"."""
    data_folder: Path
    """Folder for the data of the state members."""
    zones: tuple[str, ...] = ("a", "b", "c", "d")
    """Availability zones, used in turn."""
    state_members: int = 3
    """Number of state processes."""
    controls: int = 2
    """Number of control processes."""
    entries: int = 3
    """Number of entry processes."""
    threads: int = 64
    """Threads of each entry process for callers."""
    control_text: str = ""
    """Further lines of the `control` part of the settings, indented by two."""


@dataclass
class Deployment:
    """A running set of roles."""

    plan: DeploymentPlan
    """What was asked for."""
    states: list[StateServer] = field(default_factory=list)
    """State processes."""
    controls: list[ControlServer] = field(default_factory=list)
    """Control processes."""
    entries: list[EntryServer] = field(default_factory=list)
    """Entry processes."""
    clients: list[RemoteStateClient] = field(default_factory=list)
    """Connections to the state members, one a process."""

    @property
    def caller_addresses(self) -> list[str]:
        """Return the callers' listeners of the entry processes."""
        return [entry.callers.address for entry in self.entries]

    @property
    def announcement_addresses(self) -> list[str]:
        """Return the announcement listeners of the entry processes."""
        return [entry.announcements.address for entry in self.entries]

    def history(self) -> SettingsHistory:
        """Return the history of the deployment's settings."""
        return SettingsHistory(self.clients[0], CONTROL_GROUP)

    def stop(self) -> int:
        """Stop all roles gracefully; return the requests left unfinished."""
        left = sum(entry.stop() for entry in self.entries)
        for control in self.controls:
            control.stop()
        for client in self.clients:
            client.close()
        for state in self.states:
            state.stop(0.0)
        return left


def start_deployment(plan: DeploymentPlan) -> Deployment:
    """Start the roles of a plan and apply its settings.

    Args:
        plan: Roles and settings.

    Returns:
        The running deployment, ready for callers.

    Raises:
        NotReadyError: A part did not become ready in time.
        SettingsError: The settings are not allowed.
    """
    merge_sites(plan.files)
    deployment = Deployment(plan)
    addresses = [f"{LOOPBACK}:{free_port()}" for _ in range(plan.state_members)]
    try:
        _start_roles(deployment, addresses)
    except BaseException:
        deployment.stop()
        raise
    return deployment


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds.

    Raises:
        NotReadyError: It did not hold within `READY_TIMEOUT_S`.
    """
    until_s = time.monotonic() + READY_TIMEOUT_S
    while not condition():
        if time.monotonic() > until_s:
            raise NotReadyError(f"{what} did not happen within {READY_TIMEOUT_S:g} s")
        time.sleep(POLL_S)


def free_port() -> int:
    """Return a TCP port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        port: int = probe.getsockname()[1]
        return port


def process_settings(
    plan: DeploymentPlan, addresses: list[str], name: str, index: int, part: str
) -> pb.ProcessSettings:
    """Return the settings of one process of a plan; see `process_text`."""
    return parse_process(process_text(plan, addresses, name, index, part), name)


def process_text(
    plan: DeploymentPlan,
    addresses: list[str],
    name: str,
    index: int,
    part: str,
    operations_port: int = 0,
) -> str:
    """Return the settings file of one process of a plan.

    Args:
        plan: Roles and settings.
        addresses: Addresses of the state members.
        name: Name of the process.
        index: Number of the process among those of its role, from 0.
        part: The process's own part of the settings, as YAML.
        operations_port: Port of the operations listener; 0 takes a free one.
    """
    members = "".join(
        f"- id: state-{i + 1}\n  address: {address}\n"
        f"  availability_zone: {plan.zones[i % len(plan.zones)]}\n"
        for i, address in enumerate(addresses)
    )
    return (
        f"id: {name}\ncluster: {plan.cluster}\nsite: {plan.site}\n"
        f"availability_zone: {plan.zones[index % len(plan.zones)]}\n"
        f"operations:\n  ip: {LOOPBACK}\n  port: {operations_port}\n"
        f"state_members:\n{members}{part}"
    )


def state_part(plan: DeploymentPlan, name: str, address: str) -> str:
    """Return the `state` part of a state process's settings."""
    ip, _, port = address.rpartition(":")
    folder = plan.data_folder / name
    return f"state:\n  grpc:\n    ip: {ip}\n    port: {port}\n  data_folder: {folder}\n"


def control_part(plan: DeploymentPlan) -> str:
    """Return the `control` part of a control process's settings."""
    return f"control:\n  lease_ms: 4000\n  period_ms: 100\n{plan.control_text}"


def entry_part(
    plan: DeploymentPlan, callers_port: int = 0, announcements_port: int = 0
) -> str:
    """Return the `entry` part of an entry process's settings."""
    return (
        f"entry:\n  callers:\n    ip: {LOOPBACK}\n    port: {callers_port}\n"
        f"  announcements:\n    ip: {LOOPBACK}\n    port: {announcements_port}\n"
        f"  threads: {plan.threads}\n  balancer_grace_ms: 0\n  drain_ms: 10000\n"
    )


def _start_roles(deployment: Deployment, addresses: list[str]) -> None:
    plan = deployment.plan
    for index, address in enumerate(addresses):
        name = f"state-{index + 1}"
        part = state_part(plan, name, address)
        settings = process_settings(plan, addresses, name, index, part)
        deployment.states.append(start_state(settings))
    deployment.clients.append(connect(addresses))
    _apply_settings(deployment)
    for index in range(plan.controls):
        name = f"control-{index + 1}"
        settings = process_settings(plan, addresses, name, index, control_part(plan))
        client = connect(addresses)
        deployment.clients.append(client)
        deployment.controls.append(start_control(settings, client))
    for index in range(plan.entries):
        name = f"entry-{index + 1}"
        settings = process_settings(plan, addresses, name, index, entry_part(plan))
        client = connect(addresses)
        deployment.clients.append(client)
        deployment.entries.append(start_entry(settings, client))
    wait_until(lambda: all(e.ready() for e in deployment.entries), "readiness")


def _apply_settings(deployment: Deployment) -> None:
    change_id = ChangeId(uuid.uuid4().hex)
    history = deployment.history()
    applied = False

    def apply() -> bool:
        nonlocal applied
        result = history.apply(
            deployment.plan.files, 0, change_id, "deploy", "first revision",
            wall_ms(), lambda files: [],
        )  # fmt: skip
        applied = result.is_ok()
        return applied

    wait_until(apply, "the first settings revision")
