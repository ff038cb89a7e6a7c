"""Runs patient requests in the background, without a waiting caller."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import wall_ms
from tanagerturn.entry._patient_execution import (
    OwnershipCheck,
    OwnershipLostError,
    StoppingError,
    execute,
    finish,
    give_up,
)
from tanagerturn.entry.generations import make_completion
from tanagerturn.observe.logs import component_logger
from tanagerturn.serving.requests.layout import record_key
from tanagerturn.shared.problems import ProblemError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tanagerturn.entry.callers import CallerCall
    from tanagerturn.entry.components import EntryComponents
    from tanagerturn.entry.generation_run import GenerationRun
    from tanagerturn.serving.requests.stored import StoredRecord

log = component_logger("patient")

MAX_JOBS: Final = 256
"""Maximum number of background jobs, running or waiting for a thread."""

MAX_BODY_BYTES: Final = 8 * 1024 * 1024
"""Maximum size in bytes of the request bodies of all background jobs together, those
included that are being stored. Each is in memory several times: as received, parsed,
and in its record."""

ADMISSION_RETRY_S: Final = 1.0


class PatientJobs:
    """Runs patient requests as background jobs; tracks the patient requests run here.

    Args:
        threads: Number of jobs that run at once.
    """

    def __init__(self, threads: int) -> None:
        self.pool = ThreadPoolExecutor(threads, "patient")
        """Threads that run the jobs."""
        self.running: set[str] = set()
        """Store keys of the patient requests that run here, with or without caller."""
        self.job_count = 0
        """Number of background jobs, running or waiting for a thread."""
        self.body_bytes = 0
        """Size in bytes of the request bodies of these jobs, without those of streams
        that go on."""
        self.stopping = threading.Event()
        """Set when the remaining jobs are left to other entry hosts."""
        self.lock = threading.Lock()
        """Guards `running`, `job_count` and `body_bytes`."""

    def __repr__(self) -> str:
        return f"PatientJobs(running={len(self.running)}, jobs={self.job_count})"

    def is_running(self, key: str) -> bool:
        """Return whether this process runs the request with this store key."""
        with self.lock:
            return key in self.running

    def mark_running(self, key: str) -> bool:
        """Record that a request runs here; return False if it already ran here."""
        with self.lock:
            if key in self.running:
                return False
            self.running.add(key)
            return True

    def mark_ended(self, key: str) -> None:
        """Record that a request no longer runs here."""
        with self.lock:
            self.running.discard(key)

    def reserve(self, body_bytes: int) -> bool:
        """Count the body of a request that is about to become a background job.

        A job is accepted whatever its size if there is no other. The caller calls
        `unreserve` once the job is started, or will not be.

        Args:
            body_bytes: Size of its request body in bytes.

        Returns:
            Whether another background job is accepted; else nothing is counted.
        """
        with self.lock:
            if self.stopping.is_set() or self.job_count >= MAX_JOBS:
                return False
            if self.body_bytes and self.body_bytes + body_bytes > MAX_BODY_BYTES:
                return False
            self.body_bytes += body_bytes
            return True

    def unreserve(self, body_bytes: int) -> None:
        """No longer count a body; a started job counts its own."""
        with self.lock:
            self.body_bytes -= body_bytes

    def start(
        self, components: EntryComponents, call: CallerCall, stored: StoredRecord
    ) -> None:
        """Run a request that this process owns as a job, unless it runs already."""
        key = record_key(stored.record)
        if not self.mark_running(key):
            return
        with self.lock:
            self.job_count += 1
            self.body_bytes += len(call.body)
        self.pool.submit(self._run, components, call, stored)

    def continue_stream(
        self,
        components: EntryComponents,
        run: GenerationRun,
        events: Iterator[bytes],
        stored: StoredRecord,
    ) -> None:
        """Continue a stream as a job after its caller disconnected."""
        with self.lock:
            self.job_count += 1
        self.pool.submit(self._run_stream, components, run, events, stored)

    def stop(self, timeout_s: float) -> int:
        """Wait for the jobs, then leave the remaining jobs to other entry hosts.

        Args:
            timeout_s: Longest wait for the jobs, in seconds.

        Returns:
            Number of jobs that were not finished.
        """
        deadline_s = time.monotonic() + timeout_s
        while self.job_count and time.monotonic() < deadline_s:
            time.sleep(0.05)
        unfinished_count = self.job_count
        self.stopping.set()
        self.pool.shutdown(wait=True, cancel_futures=True)
        return unfinished_count

    def _run(
        self, components: EntryComponents, call: CallerCall, stored: StoredRecord
    ) -> None:
        admitted = None
        try:
            admitted = components.gate.admit(call, time.monotonic())
            tokens = execute(components, call, stored)
            admitted.tokens = tokens
        except ProblemError as error:
            self._defer_or_give_up(components, call, stored, error)
        except StoppingError:
            log.info("Left request {} to another entry host.", call.request_id)
        except OwnershipLostError:
            log.info(
                "Stopped request {}: it was cancelled or taken over.", call.request_id
            )
        except Exception:
            log.exception(
                "Request {} failed with an unexpected error.", call.request_id
            )
        finally:
            if admitted is not None:
                admitted.release()
            self.unreserve(len(call.body))
            self._on_job_ended(stored)

    def _defer_or_give_up(
        self,
        components: EntryComponents,
        call: CallerCall,
        stored: StoredRecord,
        error: ProblemError,
    ) -> None:
        """Leave a request that was not admitted to a later sweep, or end it."""
        if wall_ms() < stored.record.deadline_at_ms:
            self.stopping.wait(ADMISSION_RETRY_S)
            return
        give_up(components, call, stored, error)

    def _run_stream(
        self,
        components: EntryComponents,
        run: GenerationRun,
        events: Iterator[bytes],
        stored: StoredRecord,
    ) -> None:
        ownership = OwnershipCheck(components, stored)
        try:
            for _ in events:
                ownership.check()
            finish(components, run.call, stored, make_completion(run))
        except ProblemError as error:
            give_up(components, run.call, stored, error)
        except StoppingError:
            log.info("Left request {} to another entry host.", run.call.request_id)
        except OwnershipLostError:
            log.info(
                "Stopped request {}: it was cancelled or taken over.",
                run.call.request_id,
            )
        except Exception:
            log.exception(
                "Request {} failed with an unexpected error.", run.call.request_id
            )
        finally:
            events.close()  # type: ignore[attr-defined]
            self._on_job_ended(stored)

    def _on_job_ended(self, stored: StoredRecord) -> None:
        with self.lock:
            self.job_count -= 1
            self.running.discard(record_key(stored.record))
