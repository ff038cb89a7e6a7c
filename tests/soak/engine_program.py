"""A model engine as a process, whose streams can be moved to another engine.

It is started with the name of the start, its address, a seed, the path of a file, to
which it appends one JSON object for each step of a stream, and the descriptor of a
listening socket, or -1. The file survives a kill. It serves once it has read its id
from the standard input.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import orjson

from soak.history import MODEL_EVENTS
from support.framed_streams import FramedStream, event_text
from support.gateway_world import ScriptedBackend
from tanagerturn.serving.streams.endings import Framing

if TYPE_CHECKING:
    from support.gateway_world import ReceivedRequest

LEAVE_PATH = "/soak/leave/"
"""Prefix of the path of a call that lets the engine leave; the milliseconds follow."""

EVENT_INTERVAL_S = (0.03, 0.06)
"""Minimum and maximum time in seconds between two events, drawn for each stream."""

FRAMING_WEIGHTS = {Framing.CLOSE: 5, Framing.CHUNKED: 3, Framing.LENGTH: 2}
"""Weight of each way to delimit a response in the random choice."""

MOVE_WEIGHTS = {
    "200": 6,
    "409": 1,
    "409, run goes on": 1,
    "503": 1,
    "503 with handle": 1,
    "late": 1,
    "lost": 1,
    "reset": 1,
    "junk": 1,
}
"""Weight of each answer to the order to move a run in the random choice."""

LATE_ANSWER_S = 1.2
"""Time in seconds after which a late answer is sent; longer than a gateway waits."""

MOVE_DELAY_S = 0.15
"""Maximum time in seconds until a move is answered, and until a stopped stream is
closed; either may come first."""

REJECT_PROBABILITY, RESET_PROBABILITY, CUT_PROBABILITY = 0.01, 0.01, 0.01
"""Probabilities that a request is rejected, and that its stream is reset or, unless
that would look like its end, closed in the middle of an event."""

FINISH_EVENTS = 3
"""Number of events before the end within which half of the runs that should move
complete instead, so that their end and the order cross."""

SNAPSHOT_INTERVAL_S = 0.05
"""Time in seconds between two states that a report may state."""

REPORT_LAG_S = (0.05, 0.35)
"""Minimum and maximum age in seconds of the state that the reports of an engine
state."""

LINGER_S = 0.2
"""Maximum time in seconds from the close of the streams of a leaving engine to its
exit."""


@dataclass
class Run:
    """One stream in progress."""

    id: str
    """Id of the run, the same after a move."""
    event_count: int = 0
    """Id of the last event that was sent."""
    is_stopped: asyncio.Event = field(default_factory=asyncio.Event)
    """Set when the run stops before its end."""
    close_delay_s: float = 0.0
    """Time in seconds from the stop to the close of the stream."""
    cause: str = ""
    """Why it was stopped; empty while it runs."""
    is_finished: asyncio.Event = field(default_factory=asyncio.Event)
    """Set when its stream was closed."""

    def stop(self, cause: str, close_delay_s: float) -> None:
        """Stop the run; its stream is closed without its end."""
        self.cause, self.close_delay_s = cause, close_delay_s
        self.is_stopped.set()


class Engine:
    """Model engine that runs streams and can stop them for a move.

    Args:
        id: Id of the engine.
        name: Name of the start, which no other start has.
        random: Chooses delimiters, delays, faults and answers.
        log: Descriptor of the file to which the steps of streams are written.
    """

    def __init__(self, id: str, name: str, random: Random, log: int) -> None:
        self.id = id
        """Id of the engine."""
        self.name = name
        """Name of the start, which no other start has."""
        self.started_s = time.monotonic()
        """Monotonic time in seconds of the start."""
        self.random = random
        """Chooses delimiters, delays, faults and answers."""
        self.log = log
        """Descriptor of the file to which the steps of streams are written."""
        self.runs: dict[str, Run] = {}
        """Runs in progress by request id."""
        self.run_count = 0
        """Number of runs that began here."""
        self.used_handles: set[str] = set()
        """Handles of copies that were used here."""
        lag_s = random.uniform(*REPORT_LAG_S)
        self.snapshots: deque[dict[str, object]] = deque(
            maxlen=1 + int(lag_s / SNAPSHOT_INTERVAL_S)
        )
        """Latest states of the runs, oldest first; a report states the oldest."""
        self.stops_at_s: float | None = None
        """Monotonic time in seconds at which it stops; None unless it leaves."""

    def record(self, step: str, request: str, **fields: object) -> None:
        """Write one step of a stream."""
        line = {"at": time.monotonic(), "engine": self.name, "step": step}
        os.write(self.log, orjson.dumps({**line, "request": request, **fields}) + b"\n")

    async def serve(self, call: ReceivedRequest) -> None:
        """Handle one request or call."""
        if call.target.startswith(LEAVE_PATH):
            self._leave(int(call.target.removeprefix(LEAVE_PATH)) / 1000)
            await answer_call(call, 200, b"{}")
        elif call.target == "/v1/report":
            await self._report(call)
        elif call.target == "/v1/kv-move":
            await self._move(call)
        elif call.target == "/healthz":
            await answer_call(call, 200, b"", f"X-Instance-Id: {self.id}")
        elif call.headers.get("x-expect-instance") != self.id:
            await call.answer(421, "", "X-Not-Executed: 1", stamp=False)
        else:
            await self._run(call)

    def _leave(self, time_s: float) -> None:
        if self.stops_at_s is None:
            self.stops_at_s = time.monotonic() + time_s
            loop = asyncio.get_running_loop()
            loop.call_later(time_s, self.stop, "left", LINGER_S)

    def stop(self, cause: str, linger_s: float) -> None:
        """Close all streams in order and exit at most `linger_s` seconds later."""
        for run in self.runs.values():
            run.stop(cause, 0.0)
        # The streams are closed in this turn of the event loop or the next ones.
        exit_s = 0.01 + self.random.uniform(0.0, linger_s)
        asyncio.get_running_loop().call_later(exit_s, os._exit, 0)

    async def take_snapshots(self) -> None:
        """Take a snapshot of the runs periodically."""
        while True:
            runs = [[id, 100, run.event_count, 1] for id, run in self.runs.items()]
            state = "ready" if self.stops_at_s is None else "draining"
            self.snapshots.append({"running": len(runs), "state": state, "runs": runs})
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)

    async def _report(self, call: ReceivedRequest) -> None:
        report: dict[str, object] = {
            "stage": "both",
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "kv_used": 0,
            "kv_total": 90_000,
            "handles": 0,
            **self.snapshots[0],
        }
        if self.stops_at_s is not None and report["state"] == "draining":
            left_s = max(0.0, self.stops_at_s - time.monotonic())
            report["leaves_ms"] = int(left_s * 1000)
        await answer_call(call, 200, orjson.dumps(report))

    async def _move(self, call: ReceivedRequest) -> None:
        order = orjson.loads(call.body)
        request_id = order["id"]
        run = self.runs.get(request_id)
        left = MODEL_EVENTS - run.event_count if run else 0
        if run and left <= FINISH_EVENTS and self.random.random() < 0.5:
            await run.is_finished.wait()
            run = None
        if run is None or run.is_stopped.is_set():
            self.record("move", request_id, answer="404")
            await answer_call(call, 404, b"{}")
            return
        (kind,) = self.random.choices(list(MOVE_WEIGHTS), list(MOVE_WEIGHTS.values()))
        if kind != "409, run goes on":
            run.stop(f"moved, answer {kind}", self.random.uniform(0.0, MOVE_DELAY_S))
        self.record("move", request_id, answer=kind)
        await asyncio.sleep(self.random.uniform(0.0, MOVE_DELAY_S))
        made_s = time.monotonic()
        handle = f"{request_id}~{run.id}~{run.event_count}~{made_s}"
        made = orjson.dumps({"handle": handle, "made": run.event_count})
        if kind == "200":
            await answer_call(call, 200, made)
        elif kind == "late":
            await asyncio.sleep(LATE_ANSWER_S)
            await answer_call(call, 200, made)
        elif kind == "lost":
            # The connection stays open without an answer.
            await asyncio.sleep(4 * LATE_ANSWER_S)
        elif kind == "reset":
            call.reset()
        elif kind == "junk":
            await answer_call(call, 200, b"handle: none")
        else:
            body = made if kind == "503 with handle" else b"{}"
            await answer_call(call, int(kind[:3]), body)

    async def _run(self, call: ReceivedRequest) -> None:
        request_id = call.headers["x-request-id"]
        draw = self.random.random()
        if draw < REJECT_PROBABILITY:
            await call.answer(503, "", "X-Not-Executed: 1")
            return
        copy = call.headers.get("kv-from", "").rpartition("/")[2]
        if copy and (
            copy in self.used_handles
            or not copy.startswith(f"{request_id}~")
            or float(copy.rpartition("~")[2]) < self.started_s
        ):
            await call.answer(503, "", "X-Not-Executed: 1")
            return
        self.run_count += 1
        run = Run(copy.split("~")[1] if copy else f"{self.name}.{self.run_count}")
        if copy:
            self.used_handles.add(copy)
        first = int(call.headers.get("last-event-id", "0")) + 1
        (framing,) = self.random.choices(
            list(FRAMING_WEIGHTS), list(FRAMING_WEIGHTS.values())
        )
        step = "resumed" if copy else "run"
        self.record(
            step, request_id, path=call.target, first=first, framing=framing.value
        )
        self.runs[request_id] = run
        try:
            await self._stream(call, run, framing, first)
        finally:
            run.is_finished.set()
            if self.runs.get(request_id) is run:
                del self.runs[request_id]

    async def _stream(
        self, call: ReceivedRequest, run: Run, framing: Framing, first: int
    ) -> None:
        request_id = call.headers["x-request-id"]
        text = f"{request_id}/{run.id}/"
        numbers = range(first, MODEL_EVENTS + 1)
        length_bytes = sum(len(event_text(n, text)) for n in numbers)
        stream = FramedStream(call, framing, length_bytes)
        await stream.begin()
        interval_s = self.random.uniform(*EVENT_INTERVAL_S)
        fault = self._draw_fault(framing)
        fault_number = self.random.choice(numbers) if numbers else 0
        for number in numbers:
            if fault and number == fault_number:
                self.record("stopped", request_id, cause=fault, events=run.event_count)
                await stream.event(number, text, cut=True)
                (call.reset if fault == "reset" else stream.close)()
                return
            await stream.event(number, text)
            run.event_count = number
            if await happens_within(run.is_stopped, interval_s):
                await asyncio.sleep(run.close_delay_s)
                self.record(
                    "stopped", request_id, cause=run.cause, events=run.event_count
                )
                stream.close()
                return
        self.record("done", request_id)
        await stream.end()

    def _draw_fault(self, framing: Framing) -> str:
        draw = self.random.random()
        if draw < RESET_PROBABILITY:
            return "reset"
        is_cut = draw < RESET_PROBABILITY + CUT_PROBABILITY
        return "cut" if is_cut and framing is not Framing.CLOSE else ""


async def happens_within(event: asyncio.Event, time_s: float) -> bool:
    """Return whether an event is set within a time in seconds."""
    try:
        async with asyncio.timeout(time_s):
            await event.wait()
    except TimeoutError:
        return False
    return True


async def answer_call(
    call: ReceivedRequest, status: int, body: bytes, *headers: str
) -> None:
    """Answer a call that is no request of a caller."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    await call.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


async def run_engine(
    name: str, address: str, seed: str, log_path: str, descriptor: str
) -> None:
    """Run an engine until it stops itself."""
    log = os.open(log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    id = sys.stdin.readline().strip()
    engine = Engine(id, name, Random(seed), log)
    server = ScriptedBackend(id, [engine.serve], scripts_calls=True)
    if int(descriptor) >= 0:
        listening = socket.socket(fileno=int(descriptor))
        listener = await asyncio.start_server(server.serve, sock=listening)
    else:
        ip, _, port = address.rpartition(":")
        listener = await asyncio.start_server(server.serve, ip, int(port))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, engine.stop, "stopped", 0.0)
    snapshots = asyncio.create_task(engine.take_snapshots())
    await asyncio.sleep(0)
    Path(f"{log_path}.{name}").touch()
    await asyncio.gather(listener.serve_forever(), snapshots)


if __name__ == "__main__":
    asyncio.run(run_engine(*sys.argv[1:]))
