"""Helpers of tests that use stand-ins over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
import urllib3
from google.protobuf import json_format

from tanagerturn.schema.serving_pb2 import Announcement
from tanagerturn.standins._http import StandinHandler, StandinHttpServer

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


class RecordingListener:
    """An announcement listener that records what it receives."""

    def __init__(self) -> None:
        self.announcements: list[Announcement] = []
        handler = type("BoundListener", (_ListenerHandler,), {"listener": self})
        self.server = StandinHttpServer("127.0.0.1", 0, handler)
        self.server.start("listener")

    @property
    def address(self) -> str:
        """IP address and port that it listens on."""
        return self.server.address

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.server.abort()


class _ListenerHandler(StandinHandler):
    listener: RecordingListener

    def dispatch(self) -> None:
        announcement = json_format.Parse(self.read_body(), Announcement())
        self.listener.announcements.append(announcement)
        last = max((e.sequence for e in announcement.cache_events), default=0)
        self.respond_json(200, {"cache_sequence": last})


class StreamedCompletion:
    """A streamed completion, read until it ends or its connection breaks.

    `status` is 0 if there was no response; `completed` is set when the final [DONE]
    event was read.
    """

    def __init__(self, address: str, body: object, headers: Mapping[str, str]) -> None:
        self.status = 0
        self.completed = False
        self.response: urllib3.BaseHTTPResponse | None = None
        try:
            self.response = urllib3.request(
                "POST",
                f"http://{address}/v1/completions",
                body=orjson.dumps(body),
                headers=dict(headers),
                preload_content=False,
                retries=False,
                timeout=10.0,
            )
            self.status = self.response.status
        except urllib3.exceptions.HTTPError:
            return

    def __enter__(self) -> StreamedCompletion:
        return self

    def __exit__(self, *_: object) -> None:
        if self.response is not None:
            self.response.close()

    def _lines(self, response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
        rest = b""
        for data in response.stream():
            *lines, rest = (rest + data).split(b"\n")
            yield from lines

    def events(self) -> Iterator[dict[str, Any]]:
        """Read the events until the stream ends or its connection breaks."""
        if self.response is None or self.status != 200:
            return
        try:
            for line in self._lines(self.response):
                if line.startswith(b"data: [DONE]"):
                    self.completed = True
                elif line.startswith(b"data: "):
                    yield orjson.loads(line[6:])
        except (urllib3.exceptions.HTTPError, OSError):
            return
