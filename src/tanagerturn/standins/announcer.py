"""Announces a stand-in backend server to entry hosts."""

from __future__ import annotations

import threading
import uuid
from typing import TYPE_CHECKING, Final

import orjson
import urllib3
from google.protobuf import json_format

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from tanagerturn.schema.serving_pb2 import Announcement

CONNECT_TIMEOUT_S: Final = 0.5
"""Timeout for connecting to an announcement listener, in seconds."""
READ_TIMEOUT_S: Final = 2.0
"""Timeout for the response to an announcement, in seconds."""


class Announcer:
    """Sends announcements to every target, periodically and after changes.

    Args:
        targets: IP address and port of each entry host's announcement listener.
        heartbeat_ms: Longest time between two announcements, in milliseconds.
        build: Builds the announcement for a target. Its argument is the sequence
            up to which the target has received all cache events.
        key: Bearer key; empty to send none.
    """

    def __init__(
        self,
        targets: Sequence[str],
        heartbeat_ms: int,
        build: Callable[[int], Announcement],
        key: str = "",
    ) -> None:
        self.targets = list(targets)
        """IP address and port of each entry host's announcement listener."""
        self.heartbeat_ms = heartbeat_ms
        """Longest time between two announcements, in milliseconds."""
        self.build = build
        """Builds the announcement for a target; the argument is the sequence up to
        which the target has received all cache events."""
        self.key = key
        """Bearer key; empty to send none."""
        self.incarnation = uuid.uuid4().hex
        """Random id of this start of the backend server."""
        self.sequence = 0
        """Sequence of the last announcement; 0 before the first."""
        self.acknowledged_sequences: dict[str, int] = {}
        """Sequence up to which each target acknowledged all cache events."""
        self.failed_count = 0
        """Number of announcements that got no valid response with status 200."""
        self.paused = False
        """Whether no announcements are sent; simulates a broken path to all
        targets."""
        self.pool = urllib3.PoolManager(
            num_pools=64,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )
        """HTTP connections to the targets."""
        self.wake_event = threading.Event()
        """Set to make the thread announce before the next heartbeat is due."""
        self.stopped = threading.Event()
        """Set to stop the thread."""
        self.lock = threading.Lock()
        """Serializes announcements, so that targets get them in sequence."""

    def start(self) -> None:
        """Start the thread, which announces at once and then periodically."""
        threading.Thread(target=self._run, name="announcer", daemon=True).start()

    def stop(self) -> None:
        """Stop the thread."""
        self.stopped.set()
        self.wake_event.set()

    def announce_soon(self) -> None:
        """Make the thread announce at once; don't wait for the announcement."""
        self.wake_event.set()

    def announce(self) -> None:
        """Announce to every target and wait for the responses."""
        with self.lock:
            if self.paused:
                return
            self.sequence += 1
            for target in self.targets:
                self._send(target)

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.wake_event.clear()
            self.announce()
            self.wake_event.wait(self.heartbeat_ms / 1000)
        self.pool.clear()

    def _send(self, target: str) -> None:
        announcement = self.build(self.acknowledged_sequences.get(target, 0))
        announcement.incarnation = self.incarnation
        announcement.sequence = self.sequence
        announcement.heartbeat_ms = self.heartbeat_ms
        text = json_format.MessageToJson(
            announcement, preserving_proto_field_name=True, indent=None
        )
        headers = {"Content-Type": "application/json"}
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        try:
            response = self.pool.request(
                "POST", f"http://{target}/announcements", body=text, headers=headers
            )
            self._process_response(target, response)
        except (urllib3.exceptions.HTTPError, ValueError):
            self.failed_count += 1

    def _process_response(
        self, target: str, response: urllib3.BaseHTTPResponse
    ) -> None:
        if response.status != 200:
            self.failed_count += 1
            return
        fields = orjson.loads(response.data)
        self.acknowledged_sequences[target] = int(fields.get("cache_sequence", 0))
