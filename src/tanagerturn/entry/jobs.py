"""Patient requests that no caller waits for."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import wall_ms
from tanagerturn.entry._execution import (
    NotOursError,
    StoppingError,
    Watchful,
    execute,
    finish,
    give_up,
)
from tanagerturn.entry.drafts import whole_answer
from tanagerturn.observe.logs import component_logger
from tanagerturn.serving.requests.layout import record_key
from tanagerturn.shared.problems import ProblemError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tanagerturn.entry.callers import CallerCall
    from tanagerturn.entry.draft_run import DraftRun
    from tanagerturn.entry.parts import Parts
    from tanagerturn.serving.requests.stored import StoredRecord

log = component_logger("patient")

JOB_LIMIT: Final = 256
"""Requests that no caller waits for, running or waiting for a thread."""

RETRY_S: Final = 1.0


class PatientJobs:
    """Runs patient requests that no caller waits for.

    Args:
        threads: Requests that run at once.
    """

    def __init__(self, threads: int) -> None:
        self.pool = ThreadPoolExecutor(threads, "patient")
        """Threads that run them."""
        self.running: set[str] = set()
        """Store keys of the patient requests of this process."""
        self.jobs = 0
        """Requests that no caller waits for."""
        self.stopping = threading.Event()
        """Set when the rest is left to other entry hosts."""
        self.lock = threading.Lock()
        """Guards the set and the count."""

    def __repr__(self) -> str:
        return f"PatientJobs(running={len(self.running)}, jobs={self.jobs})"

    def is_running(self, key: str) -> bool:
        """Tell whether this process runs the request of a store key."""
        with self.lock:
            return key in self.running

    def begin(self, key: str) -> bool:
        """Note that a request runs here; False when it does already."""
        with self.lock:
            if key in self.running:
                return False
            self.running.add(key)
            return True

    def end(self, key: str) -> None:
        """Note that a request does not run here any more."""
        with self.lock:
            self.running.discard(key)

    def has_room(self) -> bool:
        """Tell whether one more request may be taken."""
        return self.jobs < JOB_LIMIT and not self.stopping.is_set()

    def start(self, parts: Parts, call: CallerCall, held: StoredRecord) -> None:
        """Run a request of this process without a caller."""
        key = record_key(held.record)
        if not self.begin(key):
            return
        with self.lock:
            self.jobs += 1
        self.pool.submit(self._run, parts, call, held)

    def adopt(
        self, parts: Parts, run: DraftRun, events: Iterator[bytes], held: StoredRecord
    ) -> None:
        """Go on with a stream whose caller left."""
        with self.lock:
            self.jobs += 1
        self.pool.submit(self._go_on, parts, run, events, held)

    def stop(self, timeout_s: float) -> int:
        """Leave what still runs to other hosts; return how many that were."""
        until_s = time.monotonic() + timeout_s
        while self.jobs and time.monotonic() < until_s:
            time.sleep(0.05)
        left = self.jobs
        self.stopping.set()
        self.pool.shutdown(wait=True, cancel_futures=True)
        return left

    def _run(self, parts: Parts, call: CallerCall, held: StoredRecord) -> None:
        passed = None
        try:
            passed = parts.gate.enter(call, time.monotonic())
            run = execute(parts, call, held)
            passed.tokens = run
        except ProblemError as error:
            self._again(parts, call, held, error)
        except StoppingError:
            log.info("{} is left to another host.", call.request_id)
        except NotOursError:
            log.info("{} was cancelled or taken over.", call.request_id)
        except Exception:
            log.exception("{} failed inside this process.", call.request_id)
        finally:
            if passed is not None:
                passed.leave()
            self._done(held)

    def _again(
        self, parts: Parts, call: CallerCall, held: StoredRecord, error: ProblemError
    ) -> None:
        """Leave a request that was not let in to a later sweep, or end it."""
        if wall_ms() < held.record.deadline_at_ms:
            self.stopping.wait(RETRY_S)
            return
        give_up(parts, call, held, error)

    def _go_on(
        self, parts: Parts, run: DraftRun, events: Iterator[bytes], held: StoredRecord
    ) -> None:
        watchful = Watchful(parts, held)
        try:
            for _ in events:
                watchful.check()
            finish(parts, run.call, held, whole_answer(run))
        except ProblemError as error:
            give_up(parts, run.call, held, error)
        except StoppingError:
            log.info("{} is left to another host.", run.call.request_id)
        except NotOursError:
            log.info("{} was cancelled or taken over.", run.call.request_id)
        except Exception:
            log.exception("{} failed inside this process.", run.call.request_id)
        finally:
            events.close()  # type: ignore[attr-defined]
            self._done(held)

    def _done(self, held: StoredRecord) -> None:
        with self.lock:
            self.jobs -= 1
            self.running.discard(record_key(held.record))
