"""A deployment inside this process that a trace is played against."""

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
    from tanagerturn.replay.stage import Stage
    from tanagerturn.replay.trace import SettingsChange, TraceHeader

WATCH_S: Final = 0.25
CALL_TIMEOUT_S: Final = 2.0
SITE_PREFIX: Final = "site/"
BASE: Final = "base"


class Target:
    """Roles in this process, with a watch of leases and settings.

    Args:
        header: Header of the trace: zones and number of entry hosts.
        files: Settings files of the deployment.
        stage: Stand-ins; its cloud is named to control.
        entries: Entry processes; 0 for as many as the trace says.
    """

    def __init__(
        self,
        header: TraceHeader,
        files: Mapping[str, str],
        stage: Stage,
        entries: int = 0,
    ) -> None:
        self.files = dict(files)
        """Settings files in force, as far as this process changed them."""
        self.stage = stage
        """Stand-ins."""
        self.folder = Path(tempfile.mkdtemp(prefix="tanager-replay-"))
        """Data of the state members; removed at the end."""
        self.stopped = threading.Event()
        """Set to end the watch."""
        site = next(name for name in files if name.startswith(SITE_PREFIX))
        plan = DeploymentPlan(
            cluster=header.firm,
            site=site.removeprefix(SITE_PREFIX),
            files=self.files,
            data_folder=self.folder,
            zones=header.availability_zones,
            entries=entries or header.entry_hosts,
            control_text=f"  cloud_url: http://{stage.cloud.address}\n",
        )
        self.deployment: Deployment = start_deployment(plan)
        """The roles."""
        self.caller_addresses = tuple(self.deployment.caller_addresses)
        """Callers' listeners, also of entry hosts that died."""

    def start_backends(self) -> None:
        """Start the stand-ins and wait until every entry host knows them."""
        self.stage.kill_entry = self.kill_entry
        self.stage.change_settings = self.change_settings
        self.stage.start_backends(self.deployment.announcement_addresses)
        count = len(self.stage.header.backends)
        wait_until(lambda: self._all_known(count), "announcements")
        threading.Thread(target=self._watch, name="watch", daemon=True).start()

    def kill_entry(self, number: int) -> None:
        """Let an entry host die: its connections are reset, its listeners close."""
        entries = self.deployment.entries
        if len(entries) < 2:
            self.stage.note("entry", "the last entry host stays")
            return
        entry = entries.pop(number % len(entries))
        client = next(c for c in self.deployment.clients if c is entry.client)
        client.close()
        for channel in list(entry.callers.server.active_channels.values()):
            reset_connection(channel.socket)
        entry.callers.stop()
        entry.announcements.stop()

    def change_settings(self, change: SettingsChange) -> None:
        """Apply an operator's change on top of what is in force."""
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
            _faults_of,
        )
        if result.is_error():
            self.stage.note("settings", f"not accepted: {result.error}")

    def stop(self) -> int:
        """Stop all roles; return the requests left unfinished."""
        self.stopped.set()
        left = self.deployment.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
        return left

    def _all_known(self, count: int) -> bool:
        entries = self.deployment.entries
        return all(entry.known_backend_servers() >= count for entry in entries)

    def _watch(self) -> None:
        """Note changes of the control lease and of the settings revision."""
        client, history = self.deployment.clients[0], self.deployment.history()
        seen = {"lease": "", "settings": ""}
        while not self.stopped.wait(WATCH_S):
            lease = client.lease(CONTROL_GROUP, CONTROL_LEASE, CALL_TIMEOUT_S)
            revision = history.current()
            now = dict(seen)
            if lease.is_ok():
                held = f"control held by {lease.ok.holder or 'nobody'}"
                now["lease"] = f"{held}, number {lease.ok.fencing_number}"
            if revision.is_ok():
                now["settings"] = f"revision {revision.ok.number} in force"
            for what, detail in now.items():
                if detail != seen[what]:
                    self.stage.note(what, detail)
            seen = now


def _faults_of(files: Mapping[str, str]) -> list[object]:
    """Return the faults of settings files; none when they are allowed."""
    try:
        merge_sites(files)
    except SettingsError as error:
        return list(error.faults)
    return []


def read_files(folder: str | Path, policies: Mapping[str, str]) -> dict[str, str]:
    """Read a deployment's settings, with other policies.

    Args:
        folder: Folder with `base.yaml` and `sites/`.
        policies: Names and values to set under `policies`.

    Returns:
        Settings files by "base" or "site/NAME".

    Raises:
        SettingsError: The files can't be read, or the result is not allowed.
    """
    files = read_folder(folder)
    if policies:
        base = yaml.safe_load(files[BASE])
        base["policies"] = {**base.get("policies", {}), **policies}
        files[BASE] = yaml.safe_dump(base, sort_keys=False)
    merge_sites(files)
    return files


def describe_files(files: Mapping[str, str]) -> str:
    """Return the policies and a digest of the settings, for result files."""
    policies = yaml.safe_load(files[BASE]).get("policies", {})
    words = [f"{name}={value}" for name, value in policies.items()]
    digest = xxhash.xxh64_hexdigest(repr(sorted(files.items())).encode())
    return " ".join([*words, f"files={digest}"])


def start_target(
    header: TraceHeader, files: Mapping[str, str], stage: Stage, entries: int = 0
) -> Target:
    """Start the roles of a deployment in this process."""
    return Target(header, files, stage, entries)
