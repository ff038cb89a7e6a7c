"""A deployment in this process, as the target of a replay."""

from __future__ import annotations

import shutil
import tempfile
import threading
import uuid
from pathlib import Path
from typing import TYPE_CHECKING, Final

import xxhash
import yaml

from tanagerturn.clocks import wall_ms
from tanagerturn.control.server import CONTROL_LEASE
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.ids import ChangeId
from tanagerturn.deploy import DeploymentPlan, start_deployment, wait_until
from tanagerturn.settings import SettingsError, merge_sites, read_folder
from tanagerturn.standins._http import reset_connection

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.deploy import Deployment
    from tanagerturn.replay.environment import StandinEnvironment
    from tanagerturn.replay.trace import SettingsChange, TraceHeader

WATCH_INTERVAL_S: Final = 0.25
CALL_TIMEOUT_S: Final = 2.0
SITE_PREFIX: Final = "site/"
BASE_FILE: Final = "base"


class Target:
    """Runs the roles of a deployment in this process.

    A thread adds changes of the control lease and of the settings revision to the
    timeline.

    Args:
        header: Header of the trace: availability zones and number of entry hosts.
        files: Settings files of the deployment, by "base" or "site/NAME".
        environment: Stand-ins; the control processes call its cloud.
        entries: Number of entry processes; 0 for the number in the trace.
    """

    def __init__(
        self,
        header: TraceHeader,
        files: Mapping[str, str],
        environment: StandinEnvironment,
        entries: int = 0,
    ) -> None:
        self.files = dict(files)
        """Settings files that were last submitted, by "base" or "site/NAME"."""
        self.environment = environment
        """Stand-in backend servers and cloud; the control processes call its cloud."""
        self.folder = Path(tempfile.mkdtemp(prefix="tanager-replay-"))
        """Data folder of the state members; removed by `stop`."""
        self.stopped = threading.Event()
        """Set to stop the thread that writes the timeline."""
        site = next(name for name in files if name.startswith(SITE_PREFIX))
        plan = DeploymentPlan(
            cluster=header.firm,
            site=site.removeprefix(SITE_PREFIX),
            files=self.files,
            data_folder=self.folder,
            zones=header.availability_zones,
            entries=entries or header.entry_hosts,
            extra_control_yaml=f"  cloud_url: http://{environment.cloud.address}\n",
        )
        self.deployment: Deployment = start_deployment(plan)
        """Deployment whose roles run in this process."""
        self.caller_addresses = tuple(self.deployment.caller_addresses)
        """IP address and port of each entry host's listener for callers; those of
        crashed entry hosts remain."""

    def start_backends(self) -> None:
        """Start the backend servers and wait until every entry host knows them.

        Raises:
            NotReadyError: An entry host did not register all backend servers in time.
        """
        self.environment.kill_entry = self.kill_entry
        self.environment.change_settings = self.change_settings
        self.environment.start_backends(self.deployment.announcement_addresses)
        count = len(self.environment.header.backends)
        wait_until(lambda: self._all_registered(count), "announcements")
        threading.Thread(target=self._watch, name="watch", daemon=True).start()

    def kill_entry(self, number: int) -> None:
        """Crash an entry host: reset its connections and close its listeners.

        The last entry host is not crashed.

        Args:
            number: Index of the entry host, modulo the number of running entry hosts.
        """
        entries = self.deployment.entries
        if len(entries) < 2:
            self.environment.add_timeline_event("entry", "the last entry host stays")
            return
        entry = entries.pop(number % len(entries))
        client = next(c for c in self.deployment.clients if c is entry.client)
        client.close()
        for channel in list(entry.callers.waitress_server.active_channels.values()):
            reset_connection(channel.socket)
        entry.callers.stop()
        entry.announcements.stop()

    def change_settings(self, change: SettingsChange) -> None:
        """Apply an operator's change of a settings file to the settings in force."""
        self.files[change.file] = change.content
        history = self.deployment.history()
        current = history.current()
        number = current.ok.number if current.is_ok() else 0
        result = history.apply(
            self.files,
            number,
            ChangeId(uuid.uuid4().hex),
            change.author,
            "replayed",
            wall_ms(),
            _find_faults,
        )
        if result.is_error():
            self.environment.add_timeline_event(
                "settings", f"not accepted: {result.error}"
            )

    def stop(self) -> int:
        """Stop all roles; return the number of requests that were not finished."""
        self.stopped.set()
        unfinished = self.deployment.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
        return unfinished

    def _all_registered(self, count: int) -> bool:
        entries = self.deployment.entries
        return all(entry.known_backend_servers() >= count for entry in entries)

    def _watch(self) -> None:
        """Add changes of the control lease and settings revision to the timeline."""
        client, history = self.deployment.clients[0], self.deployment.history()
        last_seen = {"lease": "", "settings": ""}
        while not self.stopped.wait(WATCH_INTERVAL_S):
            lease = client.lease(CONTROL_GROUP, CONTROL_LEASE, CALL_TIMEOUT_S)
            revision = history.current()
            current_values = dict(last_seen)
            if lease.is_ok():
                control_holder = f"control held by {lease.ok.holder or 'nobody'}"
                current_values["lease"] = (
                    f"{control_holder}, number {lease.ok.fencing_number}"
                )
            if revision.is_ok():
                current_values["settings"] = f"revision {revision.ok.number} in force"
            for what, detail in current_values.items():
                if detail != last_seen[what]:
                    self.environment.add_timeline_event(what, detail)
            last_seen = current_values


def _find_faults(files: Mapping[str, str]) -> list[object]:
    """Return the faults of settings files; empty if they are valid."""
    try:
        merge_sites(files)
    except SettingsError as error:
        return list(error.faults)
    return []


def read_settings(folder: str | Path, policies: Mapping[str, str]) -> dict[str, str]:
    """Read a deployment's settings files and override policies.

    Args:
        folder: Folder with `base.yaml` and `sites/`.
        policies: Values to set under `policies` in `base.yaml`, by name.

    Returns:
        Settings files by "base" or "site/NAME".

    Raises:
        SettingsError: The files can't be read, or the resulting settings are invalid.
    """
    files = read_folder(folder)
    if policies:
        base = yaml.safe_load(files[BASE_FILE])
        base["policies"] = {**base.get("policies", {}), **policies}
        files[BASE_FILE] = yaml.safe_dump(base, sort_keys=False)
    merge_sites(files)
    return files


def describe_settings(files: Mapping[str, str]) -> str:
    """Return the policies and a digest of the settings files as one line of text."""
    policies = yaml.safe_load(files[BASE_FILE]).get("policies", {})
    policy_texts = [f"{name}={value}" for name, value in policies.items()]
    digest = xxhash.xxh64_hexdigest(repr(sorted(files.items())).encode())
    return " ".join([*policy_texts, f"files={digest}"])


def start_target(
    header: TraceHeader,
    files: Mapping[str, str],
    environment: StandinEnvironment,
    entries: int = 0,
) -> Target:
    """Start the roles of a deployment in this process."""
    return Target(header, files, environment, entries)
