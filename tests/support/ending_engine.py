"""An engine whose responses end in the ways that the path of a request names."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from support.gateway_world import CALL_PATHS, STAMP, ScriptedBackend
from support.processes import ChildProcess

if TYPE_CHECKING:
    from support.gateway_world import CallerResponse, ReceivedRequest

EVENT_COUNT = 6
"""Number of events of a whole stream."""

STOPPED_AFTER = 3
"""Number of events that a stream has sent when a move stops it."""

MOVE_ANSWERS = (
    "200",
    "404",
    "409",
    "500",
    "503",
    "503-with-handle",
    "late",
    "lost",
    "reset",
    "junk",
)
"""What becomes of the answer to a move that has stopped its stream."""

FRAMINGS = ("close", "chunked", "length")

LATE_S = 1.0
"""Time in seconds after which a late answer to a move is sent; more than the gateway
waits."""

STATUSES_WITHOUT_BODY = ("204", "304")

BODY_PARTS = (b"the first half, ", b"the second half")
"""Body of a whole plain response."""

STALE_REPORTS = 1
"""Number of reports that still list a run after its end."""


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: word{number}\n\n".encode()


class EndingEngine:
    """Responds to requests whose path is `/ROUTE/FRAMING/STORY`.

    Routes `buy` and `look` get a plain body and others a stream.

    The story is one of `MOVE_ANSWERS`: the run makes `STOPPED_AFTER` events, a move
    stops it and its connection is closed in order. Other stories:

    - `whole`: the run makes all events and ends.
    - `crossed`: the run makes all events; it ends when the order to move it arrives,
      which is answered with 404.
    - `counted`: as `crossed`, and the order is answered with 503.
    - `ended`: as `whole`, and the response ends once `release` is set.
    - `cut`: the run makes `STOPPED_AFTER` events, and its connection is closed once
      `release` is set, while reports list a later event.
    - `wait`: the run makes `STOPPED_AFTER` events and then nothing. A plain body stops
      after its first half.
    - `204` and `304`, on routes with a plain body: the response has no body.

    Args:
        backend_id: Id of the backend server.
        is_sound: Whether each story counts as `whole`.
    """

    def __init__(self, backend_id: str, *, is_sound: bool = False) -> None:
        self.is_sound = is_sound
        """Whether each story counts as `whole`."""
        self.backend = ScriptedBackend(backend_id, [self.handle], scripts_calls=True)
        """Listens for requests."""
        self.runs: dict[str, int] = {}
        """Events made by each run that reports list."""
        self.ended: dict[str, int] = {}
        """Number of reports that still list a run which has ended."""
        self.stops: dict[str, asyncio.Event] = {}
        """Set once a move has arrived, by run."""
        self.release = asyncio.Event()
        """Set once responses of the stories `ended` and `cut` end."""
        self.stories: dict[str, str] = {}
        """Story of each run."""
        self.moved_ids: list[str] = []
        """Runs whose move was ordered."""
        self.report_status = 200
        """Status of reports."""
        self.report_count = 0
        """Number of reports that were requested."""
        self.reports_before_end = 0
        """Number of them until the last end of a stream."""

    async def handle(self, call: ReceivedRequest) -> None:
        """Handle one request."""
        if call.target == "/v1/kv-move":
            await self.move(call, orjson.loads(call.body)["id"])
        elif call.target in CALL_PATHS:
            await self.report(call)
        elif "last-event-id" in call.headers:
            await self.resume(call)
        else:
            _, route, framing, story, *_ = call.target.split("/")
            story = "whole" if self.is_sound else story
            if route in ("buy", "look"):
                await self.send_body(call, framing, story)
            else:
                await self.run(call, framing, story)

    async def send_body(self, call: ReceivedRequest, framing: str, story: str) -> None:
        """Send a plain response."""
        if call.method == "HEAD" or story in STATUSES_WITHOUT_BODY:
            status = 200 if call.method == "HEAD" else int(story)
            await self.send_head(call, "Connection: close", status=status)
            call.writer.close()
            return
        size = sum(map(len, BODY_PARTS))
        line = "Connection: close" if framing == "close" else f"Content-Length: {size}"
        await self.send_head(call, line)
        await call.send(BODY_PARTS[0])
        self.runs[call.headers["x-request-id"]] = 1
        if story == "wait":
            await call.is_closed.wait()
        await call.send(BODY_PARTS[1])
        if story == "ended":
            await self.release.wait()
        call.writer.close()

    async def send_head(
        self, call: ReceivedRequest, *lines: str, status: int = 200
    ) -> None:
        """Send the head of a response."""
        first = f"HTTP/1.1 {status} X"
        own = f"X-Request-Id: {call.headers['x-request-id']}"
        await call.send("\r\n".join([first, own, STAMP, *lines, "", ""]))

    async def run(self, call: ReceivedRequest, framing: str, story: str) -> None:
        """Run a stream from its beginning."""
        run_id = call.headers["x-request-id"]
        self.stories[run_id] = story
        self.stops[run_id] = asyncio.Event()
        is_whole = story in ("whole", "crossed", "counted", "ended")
        count = EVENT_COUNT if is_whole else STOPPED_AFTER
        await self.begin(call, framing)
        for number in range(1, count + 1):
            self.runs[run_id] = number
            await self.send_event(call, framing, number)
        if story in ("ended", "cut"):
            await self.release.wait()
        elif story != "whole":
            await self.stops[run_id].wait()
        if framing == "chunked" and is_whole:
            await call.send("0\r\n\r\n")
        if story == "cut":
            self.runs[run_id] += 1
        self.ended[run_id] = STALE_REPORTS
        self.reports_before_end = self.report_count
        call.writer.close()

    async def resume(self, call: ReceivedRequest) -> None:
        """Go on with a stream that began at another engine."""
        await self.begin(call, "chunked")
        for number in range(int(call.headers["last-event-id"]) + 1, EVENT_COUNT + 1):
            await self.send_event(call, "chunked", number)
        await call.send("0\r\n\r\n")

    async def begin(self, call: ReceivedRequest, framing: str) -> None:
        """Send the head of a stream."""
        size = sum(len(event(number)) for number in range(1, EVENT_COUNT + 1))
        lines = {
            "close": "Connection: close",
            "chunked": "Transfer-Encoding: chunked",
            "length": f"Content-Length: {size}",
        }
        await self.send_head(call, "Content-Type: text/event-stream", lines[framing])

    async def send_event(
        self, call: ReceivedRequest, framing: str, number: int
    ) -> None:
        """Send one event of a stream."""
        data = event(number)
        if framing == "chunked":
            data = b"%x\r\n%s\r\n" % (len(data), data)
        await call.send(data)

    async def move(self, call: ReceivedRequest, run_id: str) -> None:
        """Stop a run, and answer the order as its story says."""
        self.moved_ids.append(run_id)
        story = self.stories[run_id]
        if story == "404":
            # The run went on without the caller before it was stopped.
            self.runs[run_id] += 1
        self.stops[run_id].set()
        await asyncio.sleep(0)
        handle = f'{{"handle":"h-{run_id}","made":{self.runs[run_id]}}}'
        if story == "late":
            await asyncio.sleep(LATE_S)
        if story == "lost":
            call.writer.close()
        elif story == "reset":
            call.reset()
        elif story == "junk":
            await call.answer(200, '{"han', stamp=False)
        elif story in ("200", "late"):
            await call.answer(200, handle, stamp=False)
        elif story == "503-with-handle":
            await call.answer(503, handle, stamp=False)
        elif story == "counted":
            await call.answer(503, "{}", stamp=False)
        elif story == "crossed":
            await call.answer(404, "{}", stamp=False)
        else:
            await call.answer(int(story), "{}", stamp=False)

    async def report(self, call: ReceivedRequest) -> None:
        """Report the runs; the report is late by `STALE_REPORTS`."""
        self.report_count += 1
        runs = []
        for run_id, made in self.runs.items():
            left = self.ended.get(run_id, 1)
            if left or self.stories.get(run_id) in ("404", "cut"):
                runs.append([run_id, 100, made, 5])
            if run_id in self.ended:
                self.ended[run_id] = max(0, left - 1)
        body = orjson.dumps({"leaves_ms": 900, "runs": runs}).decode()
        await call.answer(self.report_status, body, stamp=False)


def event_ids(response: CallerResponse) -> list[int]:
    """Return the ids of the events that a caller received."""
    lines = response.body.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def is_wrong(response: CallerResponse) -> bool:
    """Return whether a response ended as complete without all events in order."""
    is_sound = event_ids(response) == list(range(1, EVENT_COUNT + 1))
    return response.is_whole and not is_sound


@dataclass
class EngineProcess(ChildProcess):
    """An `EndingEngine` in a process of its own, which can be killed."""

    address: str = ""
    """IP address and port; empty before the start."""

    def start(self) -> None:
        """Start the process and wait until it listens."""
        code = "from support.ending_engine import main; main()"
        self.popen = subprocess.Popen(
            [sys.executable, "-c", code], stdout=subprocess.PIPE
        )
        assert self.popen.stdout is not None
        self.address = self.popen.stdout.readline().decode().strip()


def main() -> None:
    """Run an engine and print its address."""

    async def serve() -> None:
        engine = EndingEngine("i-1")
        await engine.backend.start()
        print(engine.backend.address, flush=True)
        await asyncio.Event().wait()

    asyncio.run(serve())
