"""Announces a stand-in to entry hosts: heartbeats, changes, leaving."""

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
READ_TIMEOUT_S: Final = 2.0


class Announcer:
    """Sends announcements to every target from one thread.

    Args:
        targets: IP number and port of each entry host's announcement listener.
        heartbeat_ms: Longest time between two announcements.
        build: Makes the announcement for a receiver that has the cache events
            up to the given sequence.
        key: Bearer key, or empty.
    """

    def __init__(
        self,
        targets: Sequence[str],
        heartbeat_ms: int,
        build: Callable[[int], Announcement],
        key: str = "",
    ) -> None:
        self.targets = list(targets)
        """Announcement listeners of entry hosts."""
        self.heartbeat_ms = heartbeat_ms
        """Longest time between two announcements."""
        self.build = build
        """Makes the announcement."""
        self.key = key
        """Bearer key, or empty."""
        self.incarnation = uuid.uuid4().hex
        """Names this start."""
        self.sequence = 0
        """Sequence of the last announcement."""
        self.acknowledged: dict[str, int] = {}
        """Last cache event that each target has without a gap."""
        self.refused = 0
        """Announcements that were answered with an error or not at all."""
        self.muted = False
        """While true, nothing is sent: the announcing way is cut."""
        self.pool = urllib3.PoolManager(
            num_pools=64,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )
        """Connections to the targets."""
        self.wake = threading.Event()
        """Set to announce at once."""
        self.stopped = threading.Event()
        """Set to end the thread."""
        self.lock = threading.Lock()
        """Keeps announcements in order."""

    def start(self) -> None:
        """Announce now and go on from a thread."""
        threading.Thread(target=self._run, name="announcer", daemon=True).start()

    def stop(self) -> None:
        """End the thread."""
        self.stopped.set()
        self.wake.set()

    def announce_soon(self) -> None:
        """Announce a change from the thread."""
        self.wake.set()

    def announce(self) -> None:
        """Announce to every target and wait for the answers."""
        with self.lock:
            if self.muted:
                return
            self.sequence += 1
            for target in self.targets:
                self._send(target)

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.wake.clear()
            self.announce()
            self.wake.wait(self.heartbeat_ms / 1000)
        self.pool.clear()

    def _send(self, target: str) -> None:
        announcement = self.build(self.acknowledged.get(target, 0))
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
            self._take_answer(target, response)
        except (urllib3.exceptions.HTTPError, ValueError):
            self.refused += 1

    def _take_answer(self, target: str, response: urllib3.BaseHTTPResponse) -> None:
        if response.status != 200:
            self.refused += 1
            return
        answer = orjson.loads(response.data)
        self.acknowledged[target] = int(answer.get("cache_sequence", 0))
