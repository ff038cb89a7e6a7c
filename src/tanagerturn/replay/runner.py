"""Open-loop load generator: sends a trace's requests at their intended times."""

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
MIN_SLEEP_S: Final = 0.0002
"""Minimum sleep, in seconds; a shorter sleep is not worth a system call."""


@dataclass(frozen=True)
class ReplayOptions:
    """Speed, window and concurrency of a replay."""

    speed: float = 1.0
    """Factor by which requests are sent faster than recorded."""
    from_ms: int = 0
    """Start of the window, in milliseconds after the start of the trace."""
    to_ms: int = 0
    """End of the window, in milliseconds after the start of the trace; 0 for the
    trace's end."""
    threads: int = 32
    """Maximum number of concurrent calls of plain services."""
    draft_threads: int = 128
    """Maximum number of concurrent model requests."""
    progress: bool = False
    """Whether a progress bar is shown."""


def new_histogram() -> HdrHistogram:
    """Create a histogram of times in microseconds."""
    return HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)


def record_ms(histogram: HdrHistogram, value_ms: float) -> None:
    """Record a time, given in milliseconds, in a histogram."""
    histogram.record_value(max(1, int(value_ms * US_PER_MS)))


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return the value at a percentile, 0 to 100, in milliseconds."""
    return float(histogram.get_value_at_percentile(percentile)) / US_PER_MS


class Runner:
    """Sends a trace's requests from a thread pool and applies its events.

    The dispatcher never waits for a response. A request waits in a queue while all
    threads are busy; this wait counts as lateness and, as latency is measured from
    the intended send time, also as latency.

    Args:
        caller: Sends one request.
        options: Speed, window and concurrency of the replay.
        apply_event: Applies an event of the trace; None to ignore events.
    """

    def __init__(
        self,
        caller: Caller,
        options: ReplayOptions,
        apply_event: Callable[[TraceEvent], None] | None = None,
    ) -> None:
        self.caller = caller
        """Sends one request."""
        self.options = options
        """Speed, window and concurrency of the replay."""
        self.apply_event = apply_event
        """Applies an event of the trace; None to ignore events."""
        self.results: list[RequestResult] = []
        """Results of the finished requests; worker threads append to this list."""
        self.started_s = 0.0
        """Start of the run on the monotonic clock, in seconds."""
        self.progress_bar: tqdm[NoReturn] = tqdm(
            disable=not options.progress, unit="req"
        )
        """Progress bar of the finished requests; disabled unless requested."""

    def run(
        self, requests: Sequence[TraceRequest], events: Sequence[TraceEvent]
    ) -> list[RequestResult]:
        """Replay a trace and wait until every request has its result.

        Args:
            requests: Requests in order of time.
            events: Events in order of time.

        Returns:
            One result for each request in the window, by intended send time.
        """
        selected = [request for request in requests if self._in_window(request.at_ms)]
        self.progress_bar.reset(total=len(selected))
        plain_queue: SimpleQueue[tuple[TraceRequest, float] | None] = SimpleQueue()
        draft_queue: SimpleQueue[tuple[TraceRequest, float] | None] = SimpleQueue()
        workers = self._start_workers(plain_queue, self.options.threads)
        if any(request.max_tokens for request in selected):
            workers += self._start_workers(draft_queue, self.options.draft_threads)
        self.started_s = time.monotonic()
        stop_events = threading.Event()
        event_thread = threading.Thread(
            target=self._apply_events, args=(events, stop_events)
        )
        event_thread.start()
        for request in selected:
            due_s = self.due_s(request.at_ms)
            sleep_until(due_s)
            (draft_queue if request.max_tokens else plain_queue).put((request, due_s))
        for _ in workers:
            plain_queue.put(None)
            draft_queue.put(None)
        for worker in workers:
            worker.join()
        stop_events.set()
        event_thread.join()
        self.progress_bar.close()
        return sorted(self.results, key=lambda result: result.at_ms)

    def due_s(self, at_ms: int) -> float:
        """Convert a time of the trace to the monotonic clock, in seconds."""
        after_ms = (at_ms - self.options.from_ms) / self.options.speed
        return self.started_s + after_ms / MS_PER_S

    def _in_window(self, at_ms: int) -> bool:
        before_end = not self.options.to_ms or at_ms < self.options.to_ms
        return self.options.from_ms <= at_ms and before_end

    def _start_workers(
        self, queue: SimpleQueue[tuple[TraceRequest, float] | None], count: int
    ) -> list[threading.Thread]:
        workers = [
            threading.Thread(target=self._run_worker, args=(queue,), daemon=True)
            for _ in range(count)
        ]
        for worker in workers:
            worker.start()
        return workers

    def _run_worker(
        self, queue: SimpleQueue[tuple[TraceRequest, float] | None]
    ) -> None:
        while True:
            item = queue.get()
            if item is None:
                return
            request, due_s = item
            result = self.caller.call(request, due_s)
            at_ms = round((due_s - self.started_s) * MS_PER_S, 3)
            self.results.append(replace(result, at_ms=at_ms))
            self.progress_bar.update()

    def _apply_events(
        self, events: Sequence[TraceEvent], stopped: threading.Event
    ) -> None:
        for event in events:
            if not self._in_window(event.at_ms) or self.apply_event is None:
                continue
            if stopped.wait(max(0.0, self.due_s(event.at_ms) - time.monotonic())):
                return
            self.apply_event(event)


def sleep_until(due_s: float) -> None:
    """Sleep until a time on the monotonic clock, in seconds."""
    remaining_s = due_s - time.monotonic()
    if remaining_s > MIN_SLEEP_S:
        time.sleep(remaining_s)
