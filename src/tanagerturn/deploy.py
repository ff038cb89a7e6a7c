"""Runs the roles of a deployment inside one process, connected over loopback."""

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
    """A condition of a running deployment did not hold in time."""


@dataclass(frozen=True)
class DeploymentPlan:
    """Number of processes of each role, and their settings."""

    cluster: str
    """Name of the cluster."""
    site: str
    """Name of the site whose overlay applies."""
    files: Mapping[str, str]
    """Text of each settings file by its name: "base" or "site/NAME"."""
    data_folder: Path
    """Folder in which each state member has a data folder of its name."""
    zones: tuple[str, ...] = ("a", "b", "c", "d")
    """Names of availability zones; the processes of a role take them in turn."""
    state_members: int = 3
    """Number of state processes."""
    controls: int = 2
    """Number of control processes."""
    entries: int = 3
    """Number of entry processes."""
    threads: int = 64
    """Number of threads with which an entry process serves callers."""
    extra_control_yaml: str = ""
    """YAML lines appended to the `control` section, indented by two; empty for none."""


@dataclass
class Deployment:
    """Running roles of a deployment."""

    plan: DeploymentPlan
    """Plan from which the roles were started."""
    states: list[StateServer] = field(default_factory=list)
    """Running state processes."""
    controls: list[ControlServer] = field(default_factory=list)
    """Running control processes."""
    entries: list[EntryServer] = field(default_factory=list)
    """Running entry processes."""
    clients: list[RemoteStateClient] = field(default_factory=list)
    """Clients of the state members: one for settings, then one for each control and
    entry process."""

    @property
    def caller_addresses(self) -> list[str]:
        """Return IP address and port of each entry process's listener for callers."""
        return [entry.callers.address for entry in self.entries]

    @property
    def announcement_addresses(self) -> list[str]:
        """Return IP address and port of each entry process's announcement listener."""
        return [entry.announcements.address for entry in self.entries]

    def history(self) -> SettingsHistory:
        """Return a client of the deployment's settings history."""
        return SettingsHistory(self.clients[0], CONTROL_GROUP)

    def stop(self) -> int:
        """Stop all roles gracefully; return the number of unfinished requests."""
        unfinished = sum(entry.stop() for entry in self.entries)
        for control in self.controls:
            control.stop()
        for client in self.clients:
            client.close()
        for state in self.states:
            state.stop(0.0)
        return unfinished


def start_deployment(plan: DeploymentPlan) -> Deployment:
    """Start the roles of a plan and apply its settings.

    Args:
        plan: Number of processes of each role, and their settings.

    Returns:
        Running deployment whose entry processes are ready for callers.

    Raises:
        NotReadyError: The settings were not applied, or an entry process was not
            ready, within `READY_TIMEOUT_S`.
        SettingsError: The settings are not valid.
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

    Args:
        condition: Returns whether the condition holds; polled every `POLL_S`.
        what: Name of the condition in the error message, as in "waiting for NAME".

    Raises:
        NotReadyError: The condition did not hold within `READY_TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise NotReadyError(
                f"timed out after {READY_TIMEOUT_S:g} s waiting for {what}"
            )
        time.sleep(POLL_S)


def free_port() -> int:
    """Return a TCP port of the loopback address that is currently free."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        port: int = probe.getsockname()[1]
        return port


def parse_process_settings(
    plan: DeploymentPlan, addresses: list[str], name: str, index: int, section: str
) -> pb.ProcessSettings:
    """Return the validated settings of one process; see `process_yaml`."""
    return parse_process(process_yaml(plan, addresses, name, index, section), name)


def process_yaml(
    plan: DeploymentPlan,
    addresses: list[str],
    name: str,
    index: int,
    section: str,
    operations_port: int = 0,
) -> str:
    """Return the text of the settings file of one process.

    Args:
        plan: Plan to which the process belongs.
        addresses: IP address and port of each state member.
        name: Id of the process.
        index: Index of the process among those of its role, from 0.
        section: `state`, `control` or `entry` section of the settings, as YAML.
        operations_port: Port of the operations listener; 0 selects a free port.
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
        f"state_members:\n{members}{section}"
    )


def state_section(plan: DeploymentPlan, name: str, address: str) -> str:
    """Return the `state` section of a state process's settings, as YAML.

    Args:
        plan: Plan to which the process belongs.
        name: Id of the process.
        address: IP address and port on which the state member listens.
    """
    ip, _, port = address.rpartition(":")
    folder = plan.data_folder / name
    return f"state:\n  grpc:\n    ip: {ip}\n    port: {port}\n  data_folder: {folder}\n"


def control_section(plan: DeploymentPlan) -> str:
    """Return the `control` section of a control process's settings, as YAML."""
    return f"control:\n  lease_ms: 4000\n  period_ms: 100\n{plan.extra_control_yaml}"


def entry_section(
    plan: DeploymentPlan, callers_port: int = 0, announcements_port: int = 0
) -> str:
    """Return the `entry` section of an entry process's settings, as YAML.

    Args:
        plan: Plan to which the process belongs.
        callers_port: Port of the listener for callers; 0 selects a free port.
        announcements_port: Port of the announcement listener; 0 selects a free port.
    """
    return (
        f"entry:\n  callers:\n    ip: {LOOPBACK}\n    port: {callers_port}\n"
        f"  announcements:\n    ip: {LOOPBACK}\n    port: {announcements_port}\n"
        f"  threads: {plan.threads}\n  balancer_grace_ms: 0\n  drain_ms: 10000\n"
    )


def _start_roles(deployment: Deployment, addresses: list[str]) -> None:
    plan = deployment.plan
    for index, address in enumerate(addresses):
        name = f"state-{index + 1}"
        section = state_section(plan, name, address)
        settings = parse_process_settings(plan, addresses, name, index, section)
        deployment.states.append(start_state(settings))
    deployment.clients.append(connect(addresses))
    _apply_settings(deployment)
    for index in range(plan.controls):
        name = f"control-{index + 1}"
        settings = parse_process_settings(
            plan, addresses, name, index, control_section(plan)
        )
        client = connect(addresses)
        deployment.clients.append(client)
        deployment.controls.append(start_control(settings, client))
    for index in range(plan.entries):
        name = f"entry-{index + 1}"
        settings = parse_process_settings(
            plan, addresses, name, index, entry_section(plan)
        )
        client = connect(addresses)
        deployment.clients.append(client)
        deployment.entries.append(start_entry(settings, client))
    wait_until(lambda: all(e.ready() for e in deployment.entries), "entry processes")


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
