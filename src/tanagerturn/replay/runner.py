"""Sends the requests of a trace at their intended times, open loop."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, replace
from queue import SimpleQueue
from typing import TYPE_CHECKING, Final, NoReturn

from hdrh.histogram import HdrHistogram
from tqdm import tqdm

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from tanagerturn.replay.caller import Caller
    from tanagerturn.replay.results import RequestResult
    from tanagerturn.replay.trace import TraceEvent, TraceRequest

MS_PER_S: Final = 1000.0
US_PER_MS: Final = 1000
HISTOGRAM_MAX_US: Final = 7_200_000_000
HISTOGRAM_DIGITS: Final = 3
SPIN_S: Final = 0.0002
"""Sleeps shorter than this are not worth a system call."""


@dataclass(frozen=True)
class Pace:
    """How a trace is played."""

    speed: float = 1.0
    """How much faster than recorded."""
    from_ms: int = 0
    """Start of the window of the trace."""
    to_ms: int = 0
    """End of the window; 0 for the trace's end."""
    threads: int = 32
    """Calls to plain services that may be open at once."""
    draft_threads: int = 128
    """Model requests that may be open at once."""
    progress: bool = False
    """Whether a progress bar is shown."""


def new_histogram() -> HdrHistogram:
    """Make a histogram of times in microseconds."""
    return HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)


def record_ms(histogram: HdrHistogram, value_ms: float) -> None:
    """Record a time in milliseconds."""
    histogram.record_value(max(1, int(value_ms * US_PER_MS)))


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds."""
    return float(histogram.get_value_at_percentile(percentile)) / US_PER_MS


class Runner:
    """Plays requests and events; each request in its own turn of a thread.

    The dispatcher never waits for an answer. A request that finds no free
    thread waits, and the wait counts as the tool's lateness and, since times
    are counted from the intended one, as latency.

    Args:
        caller: Sends one request.
        pace: How the trace is played.
        apply_event: Carries out an event of the trace.
    """

    def __init__(
        self,
        caller: Caller,
        pace: Pace,
        apply_event: Callable[[TraceEvent], None] | None = None,
    ) -> None:
        self.caller = caller
        """Sends one request."""
        self.pace = pace
        """How the trace is played."""
        self.apply_event = apply_event
        """Carries out an event of the trace."""
        self.results: list[RequestResult] = []
        """What callers got; appended by threads."""
        self.started_s = 0.0
        """Start of the run on the monotonic clock."""
        self.bar: tqdm[NoReturn] = tqdm(disable=not pace.progress, unit="req")
        """Progress bar."""

    def run(
        self, requests: Sequence[TraceRequest], events: Sequence[TraceEvent]
    ) -> list[RequestResult]:
        """Play a trace and wait for all answers.

        Args:
            requests: Requests in order of time.
            events: Events in order of time.

        Returns:
            One result for each request in the window, in order of time.
        """
        shown = [request for request in requests if self._in_window(request.at_ms)]
        self.bar.reset(total=len(shown))
        plain: SimpleQueue[tuple[TraceRequest, float] | None] = SimpleQueue()
        drafts: SimpleQueue[tuple[TraceRequest, float] | None] = SimpleQueue()
        workers = self._start_workers(plain, self.pace.threads)
        if any(request.max_tokens for request in shown):
            workers += self._start_workers(drafts, self.pace.draft_threads)
        self.started_s = time.monotonic()
        stop_events = threading.Event()
        player = threading.Thread(target=self._play_events, args=(events, stop_events))
        player.start()
        for request in shown:
            due_s = self.due_s(request.at_ms)
            sleep_until(due_s)
            (drafts if request.max_tokens else plain).put((request, due_s))
        for _ in workers:
            plain.put(None)
            drafts.put(None)
        for worker in workers:
            worker.join()
        stop_events.set()
        player.join()
        self.bar.close()
        return sorted(self.results, key=lambda result: result.at_ms)

    def due_s(self, at_ms: int) -> float:
        """Return the intended time of a moment of the trace."""
        after_ms = (at_ms - self.pace.from_ms) / self.pace.speed
        return self.started_s + after_ms / MS_PER_S

    def _in_window(self, at_ms: int) -> bool:
        before_end = not self.pace.to_ms or at_ms < self.pace.to_ms
        return self.pace.from_ms <= at_ms and before_end

    def _start_workers(
        self, queue: SimpleQueue[tuple[TraceRequest, float] | None], count: int
    ) -> list[threading.Thread]:
        workers = [
            threading.Thread(target=self._work, args=(queue,), daemon=True)
            for _ in range(count)
        ]
        for worker in workers:
            worker.start()
        return workers

    def _work(self, queue: SimpleQueue[tuple[TraceRequest, float] | None]) -> None:
        while True:
            item = queue.get()
            if item is None:
                return
            request, due_s = item
            result = self.caller.call(request, due_s)
            at_ms = round((due_s - self.started_s) * MS_PER_S, 3)
            self.results.append(replace(result, at_ms=at_ms))
            self.bar.update()

    def _play_events(
        self, events: Sequence[TraceEvent], stopped: threading.Event
    ) -> None:
        for event in events:
            if not self._in_window(event.at_ms) or self.apply_event is None:
                continue
            if stopped.wait(max(0.0, self.due_s(event.at_ms) - time.monotonic())):
                return
            self.apply_event(event)


def sleep_until(due_s: float) -> None:
    """Sleep up to a time of the monotonic clock."""
    left_s = due_s - time.monotonic()
    if left_s > SPIN_S:
        time.sleep(left_s)
