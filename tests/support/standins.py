"""What tests need to talk to stand-ins over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
import urllib3
from google.protobuf import json_format

from tanagerturn.schema.serving_pb2 import Announcement
from tanagerturn.standins._http import StandinHandler, StandinHttpServer

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


class Listener:
    """Keeps the announcements that it gets."""

    def __init__(self) -> None:
        self.announcements: list[Announcement] = []
        handler = type("BoundListener", (_ListenerHandler,), {"listener": self})
        self.server = StandinHttpServer("127.0.0.1", 0, handler)
        self.server.start("listener")

    @property
    def address(self) -> str:
        """IP number and port."""
        return self.server.address

    def stop(self) -> None:
        """Stop listening."""
        self.server.cut()


class _ListenerHandler(StandinHandler):
    listener: Listener

    def dispatch(self) -> None:
        announcement = json_format.Parse(self.read_body(), Announcement())
        self.listener.announcements.append(announcement)
        last = max((e.sequence for e in announcement.cache_events), default=0)
        self.answer_json(200, {"cache_sequence": last})


class read_stream:  # noqa: N801
    """A streamed answer, read to its end or its breaking off."""

    def __init__(self, address: str, body: object, headers: Mapping[str, str]) -> None:
        self.status = 0
        self.ended = False
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

    def __enter__(self) -> read_stream:
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
        """Read the events up to the end or the breaking off."""
        if self.response is None or self.status != 200:
            return
        try:
            for line in self._lines(self.response):
                if line.startswith(b"data: [DONE]"):
                    self.ended = True
                elif line.startswith(b"data: "):
                    yield orjson.loads(line[6:])
        except (urllib3.exceptions.HTTPError, OSError):
            return
