"""Verifies the end of responses that end when their connection closes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends.exchange import (
    STATUSES_WITHOUT_BODY,
    ResponseError,
)
from tanagerturn.gateway.backends.statements import read_call_statements
from tanagerturn.gateway.backends.witnesses import WitnessCall, Witnesses
from tanagerturn.gateway.calls import call
from tanagerturn.gateway.configuration import RequestKind
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.messages import BackendReport
from tanagerturn.serving.streams.endings import (
    REPORT_AGE_S,
    EndProof,
    Framing,
    ReportVerdict,
    ResponseEnd,
    StartVerdict,
    judge_report,
    judge_start,
    required_proof,
)
from tanagerturn.serving.streams.framings import (
    FramingHabit,
    FramingHistory,
    ResponseKind,
)

if TYPE_CHECKING:
    from expression import Result

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.gateway.backends.exchange import BackendExchange
    from tanagerturn.gateway.backends.witnesses import Witness
    from tanagerturn.gateway.calls import CallResponse
    from tanagerturn.gateway.messages import BackendReply
    from tanagerturn.gateway.request_run import RequestRun
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.backend import Backend

REPORT_TIMEOUT_S: Final = 0.5
"""Timeout of one report in seconds; many times a round trip within a region."""

REPORT_INTERVAL_S: Final = 0.2
"""Pause between two reports in seconds."""

MAX_REPORTS: Final = 5
"""Maximum number of reports that are read for one response; the last ones are of a time
after its end, although reports are some hundred ms old."""

EXIT_TIME_S: Final = 0.05
"""Time in seconds after the close of a connection before its backend server is asked
whether it lives: a process that ends closes its connections and its listener one after
another, and accepts connections until the last of these."""

MAX_LISTINGS: Final = 3
"""Maximum number of reports in which a running stream is looked for."""

NOT_SHOWN: Final = "nothing shows that the process that answers wrote the response"

log = component_log("relay")


@dataclass(eq=False)
class ProcessWatch:
    """What shows that the process that writes a response has not restarted."""

    backend: Backend
    """Backend server that the request is sent to."""
    kind: ResponseKind
    """Kind of the response."""
    sent_s: float = 0.0
    """Boot-clock time in seconds at which the request was sent; 0 before that."""
    witness: Witness | None = None
    """Claimed witness of the process that writes the response; None without one."""
    identifying: asyncio.Task[None] | None = None
    """Task that finds a witness while the response is written; None without one."""
    call_count: int = 0
    """Number of calls that were made to verify the end."""

    @property
    def has_witness(self) -> bool:
        """Whether a witness can answer."""
        return self.witness is not None and self.witness.is_usable


class EndVerifier:
    """Finds out whether responses whose connection has closed are complete.

    Args:
        state: State that the components of the gateway share.
    """

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        """State that the components of the gateway share."""
        self.framings = FramingHistory()
        """How responses have been delimited."""
        self.witnesses = Witnesses(state)
        """Connections that show that backend servers have not restarted."""

    def watch(self, run: RequestRun, backend: Backend) -> ProcessWatch:
        """Return what `claim_witness` fills in and `end_watch` has to release.

        Args:
            run: A request that is about to be sent.
            backend: Backend server that it will be sent to.
        """
        is_stream = run.route.kind is RequestKind.STREAM
        kind = ResponseKind(run.service, backend.software_version, is_stream)
        return ProcessWatch(backend, kind)

    def expects_close(self, watch: ProcessWatch) -> bool:
        """Return whether the response is expected to end with its connection."""
        return self.framings.habit(watch.kind) is FramingHabit.CLOSING

    async def claim_witness(self, watch: ProcessWatch, run: RequestRun) -> None:
        """Claim a witness if the end of the response may be that of its connection."""
        if not self.framings.needs_witness(watch.kind):
            return
        if self.state.backend_limits.is_paused(watch.backend.id, boot_s()):
            return
        watch.witness = await self.witnesses.claim(
            watch.backend,
            self._witness_call(run),
            is_shared=run.is_repeatable or not self.expects_close(watch),
        )

    def on_head(
        self,
        watch: ProcessWatch,
        run: RequestRun,
        exchange: BackendExchange,
        reply: BackendReply,
    ) -> None:
        """Record how a response is delimited, once its head was read."""
        may_have_body = run.request.method != "HEAD"
        may_have_body &= reply.status not in STATUSES_WITHOUT_BODY
        if reply.status < 300 and may_have_body:
            self.framings.on_response(watch.kind, exchange.framing)
        if exchange.framing is not Framing.CLOSE:
            self._release_witness(watch)
            return
        if not watch.has_witness:
            self._release_witness(watch)
            watch.witness = self.witnesses.claim_idle(
                watch.backend, self._witness_call(run), watch.sent_s
            )
        if watch.witness is not None:
            watch.witness.on_keep_alive(exchange.keep_alive_s)
        if run.request.prompt is not None and watch.kind.is_stream:
            watch.identifying = asyncio.create_task(self._identify(watch, run))

    def end_watch(self, watch: ProcessWatch) -> None:
        """Release what `watch` claimed."""
        if watch.identifying is not None:
            watch.identifying.cancel()
        self._release_witness(watch)

    def _release_witness(self, watch: ProcessWatch) -> None:
        if watch.witness is not None:
            self.witnesses.release(watch.witness)
            watch.witness = None

    def _witness_call(self, run: RequestRun) -> WitnessCall:
        """Return the call to backend servers of a request's service.

        Neither a report of an engine nor a call that no backend server runs needs a
        slot, unlike a health check.
        """
        service = self.state.configuration.services.get(run.service)
        is_engine = service is not None and service.engine is not None
        dialect = self.state.dialect
        if is_engine or run.request.prompt is not None:
            return WitnessCall(dialect.report_path, [])
        path = service.health_path if service is not None else ""
        return WitnessCall(path or "/", dialect.encode_unexecuted_call())

    async def _identify(self, watch: ProcessWatch, run: RequestRun) -> None:
        """Find a witness of a running stream if there is none, or it is lost.

        Only the process that runs the stream lists it in its report.
        """
        backend, limits = watch.backend, self.state.backend_limits
        for _ in range(MAX_LISTINGS):
            while (
                watch.has_witness
                or not run.writing_since_s
                or limits.is_paused(backend.id, boot_s())
            ):
                await asyncio.sleep(REPORT_AGE_S)
            if not self.framings.needs_witness(watch.kind):
                return
            await asyncio.sleep(REPORT_AGE_S)
            self._release_witness(watch)
            witness = await self.witnesses.claim(
                backend, self._witness_call(run), is_shared=True
            )
            if witness is None:
                continue
            is_shown = False
            try:
                answered = await self.witnesses.ask(witness, boot_s())
                report = self._read_report(watch, answered)
                is_shown = run.request.attempt_id in (report.runs or {})
                if not witness.is_usable:
                    # It closes each connection after one response.
                    return
            finally:
                if is_shown:
                    watch.witness = witness
                else:
                    self.witnesses.release(witness)

    async def verify(
        self,
        run: RequestRun,
        backend: Backend,
        exchange: BackendExchange,
        watch: ProcessWatch,
        *,
        is_stream: bool,
    ) -> None:
        """Return once the response that was read to its end is known to be complete.

        Args:
            run: The request.
            backend: Backend server that sent the response.
            exchange: Exchange whose response body was read.
            watch: What shows that the process of the backend server lives on.
            is_stream: Whether the response is a stream that is being forwarded.

        Raises:
            ResponseError: The response may be incomplete.
        """
        ended_s = boot_s()
        end = self._observe(run, backend, exchange, is_stream=is_stream)
        proof = required_proof(end)
        if proof is EndProof.MOVE and run.migration_task is not None:
            # The task also serves the attempt that follows, so it is not cancelled.
            await asyncio.wait((run.migration_task,))
            end = self._observe(run, backend, exchange, is_stream=is_stream)
            proof = required_proof(end)
        reason = ""
        if proof is EndProof.REPORT:
            reason = await self._check_reports(run, watch)
        elif proof is EndProof.CONNECTION:
            reason = await self._check_process(run, watch)
        elif proof in (EndProof.MOVE, EndProof.NONE):
            reason = (
                "the order to move the stream may have stopped it"
                if end.event_count
                else "the stream has no event"
            )
        if is_stream:
            shown_by = (EndProof.NONE if reason else proof).value
            labels = (end.framing.value, end.move.value, shown_by)
            self.state.metrics.stream_ends.labels(*labels).inc()
        if end.framing is not Framing.CLOSE:
            return
        log.info(
            "end_checked",
            request=run.request.attempt_id,
            backend=backend.id,
            complete=not reason,
            proof=proof.value,
            reason=reason,
            taken_s=round(boot_s() - ended_s, 3),
            calls=watch.call_count,
            move=end.move.value,
            leaving=self.state.fleet.view.is_leaving(backend),
            events=end.event_count,
            last_event=end.last_event_id,
            max_output_tokens=end.max_output_tokens,
        )
        if reason:
            raise ResponseError(
                "the connection closed, which does not show the end of the response:"
                f" {reason}"
            )

    def _observe(
        self,
        run: RequestRun,
        backend: Backend,
        exchange: BackendExchange,
        *,
        is_stream: bool,
    ) -> ResponseEnd:
        prompt = run.request.prompt
        return ResponseEnd(
            exchange.framing,
            is_stream and prompt is not None,
            run.move,
            run.progress.event_count,
            run.progress.last_id,
            prompt.max_output_tokens if prompt else 0,
        )

    async def _check_reports(self, run: RequestRun, watch: ProcessWatch) -> str:
        """Return why the reports do not show that a stream is complete; else empty."""
        events = max(run.progress.last_id or 0, run.progress.event_count)
        reason = ""
        for number in range(MAX_REPORTS):
            await asyncio.sleep(REPORT_INTERVAL_S if number else EXIT_TIME_S)
            if not await self._wait_for_pause(run, watch.backend):
                return "the backend server asked for a pause and can't be queried"
            asked_s = boot_s()
            watch.call_count += 1
            witness = watch.witness if watch.has_witness else None
            if witness is None:
                answered = await self._ask_report(watch.backend)
            else:
                answered = await self.witnesses.ask(witness, asked_s)
            if answered.is_error():
                # A full backend server refuses connections for a moment.
                reason = str(answered.error)
                continue
            report = self._read_report(watch, answered)
            start = judge_start(report.born_ms, watch.backend.announcement.born_ms)
            if start is StartVerdict.OTHER:
                return "another start of the backend server reports"
            if start is StartVerdict.UNKNOWN and witness is None:
                return NOT_SHOWN
            verdict = judge_report(
                report.runs,
                run.request.attempt_id,
                events,
                run.move,
                asked_s - run.writing_since_s,
            )
            if verdict is ReportVerdict.COMPLETE:
                return ""
            if verdict is ReportVerdict.INCOMPLETE:
                return "the report does not show that the stream has ended"
            reason = "the backend server still reports the stream"
        return reason

    async def _ask_report(self, backend: Backend) -> Result[CallResponse, StepError]:
        """Ask for a report on a new connection."""
        path = self.state.dialect.report_path
        answered = await call(
            backend.address, path, [], b"", REPORT_TIMEOUT_S, method="GET"
        )
        if answered.is_ok():
            read_call_statements(self.state, backend, answered.ok, boot_s())
        return answered

    def _read_report(
        self, watch: ProcessWatch, answered: Result[CallResponse, StepError]
    ) -> BackendReport:
        """Return an answered report; one without any statement if it is not valid."""
        report = answered.bind(
            lambda a: self.state.dialect.decode_report(
                a.status, a.body, watch.backend.address
            )
        ).default_value(BackendReport(None))
        if answered.is_ok():
            self.framings.on_report(watch.kind, states_start=report.born_ms is not None)
        return report

    async def _check_process(self, run: RequestRun, watch: ProcessWatch) -> str:
        """Return why the process that wrote a response may have ended; else empty."""
        await asyncio.sleep(EXIT_TIME_S)
        if not await self._wait_for_pause(run, watch.backend):
            return "the backend server asked for a pause and can't be queried"
        if watch.witness is None or not watch.has_witness:
            return NOT_SHOWN
        watch.call_count += 1
        answered = await self.witnesses.ask(watch.witness, boot_s())
        return str(answered.error) if answered.is_error() else ""

    async def _wait_for_pause(self, run: RequestRun, backend: Backend) -> bool:
        """Wait for the end of a pause; return whether the backend server may be asked.

        A request that may be repeated does not wait.
        """
        now_s = boot_s()
        until_s = self.state.backend_limits.paused_until_s.get(backend.id, now_s)
        if until_s <= now_s:
            return True
        if run.is_repeatable or until_s >= run.deadline_s:
            return False
        await asyncio.sleep(until_s - now_s)
        return True
