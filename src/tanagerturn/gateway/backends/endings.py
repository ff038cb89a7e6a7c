"""Verifies the end of responses that end when their connection closes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends.exchange import ResponseError
from tanagerturn.gateway.backends.statements import read_call_statements
from tanagerturn.gateway.calls import call
from tanagerturn.gateway.logs import component_log
from tanagerturn.serving.streams.endings import (
    EndProof,
    Framing,
    ReportVerdict,
    ResponseEnd,
    judge_report,
    required_proof,
)

if TYPE_CHECKING:
    from expression import Result

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.gateway.backends.exchange import BackendExchange
    from tanagerturn.gateway.calls import CallResponse
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

log = component_log("relay")


class EndVerifier:
    """Finds out whether responses whose connection has closed are complete.

    Args:
        state: State that the components of the gateway share.
    """

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        """State that the components of the gateway share."""

    async def verify(
        self,
        run: RequestRun,
        backend: Backend,
        exchange: BackendExchange,
        *,
        is_stream: bool,
    ) -> None:
        """Return once the response that was read to its end is known to be complete.

        Args:
            run: The request.
            backend: Backend server that sent the response.
            exchange: Exchange whose response body was read.
            is_stream: Whether the response is a stream that is being forwarded.

        Raises:
            ResponseError: The response may be incomplete.
        """
        end = self._observe(run, backend, exchange, is_stream=is_stream)
        proof = required_proof(end)
        if proof is EndProof.MOVE and run.migration_task is not None:
            # The task also serves the attempt that follows, so it is not cancelled.
            await asyncio.wait((run.migration_task,))
            end = self._observe(run, backend, exchange, is_stream=is_stream)
            proof = required_proof(end)
        reason = ""
        if proof is EndProof.REPORT:
            reason = await self._check_reports(run, backend)
        elif proof is EndProof.CONNECTION:
            reason = await self._check_connection(run, backend, exchange.keep_alive_s)
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

    async def _check_reports(self, run: RequestRun, backend: Backend) -> str:
        """Return why the reports do not show that a stream is complete; else empty."""
        events = max(run.progress.last_id or 0, run.progress.event_count)
        reason = ""
        for number in range(MAX_REPORTS):
            await asyncio.sleep(REPORT_INTERVAL_S if number else EXIT_TIME_S)
            if self.state.backend_limits.is_paused(backend.id, boot_s()):
                return "the backend server asked for a pause and can't be queried"
            asked_s = boot_s()
            answered = await self._ask_report(backend)
            if answered.is_error():
                # A full backend server refuses connections for a moment.
                reason = str(answered.error)
                continue
            report = self.state.dialect.decode_report(
                answered.ok.status, answered.ok.body, backend.address
            )
            verdict = judge_report(
                report.ok.runs if report.is_ok() else None,
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
        """Ask for a report; any response shows that the backend server lives."""
        path = self.state.dialect.report_path
        answered = await call(
            backend.address, path, [], b"", REPORT_TIMEOUT_S, method="GET"
        )
        if answered.is_ok():
            read_call_statements(self.state, backend, answered.ok, boot_s())
        return answered

    async def _check_connection(
        self, run: RequestRun, backend: Backend, keep_alive_s: float | None
    ) -> str:
        """Open a connection to a backend server, which the pool keeps.

        Args:
            run: The request.
            backend: Backend server that closed the connection of the response.
            keep_alive_s: Idle timeout in seconds that the response announced; None if
                it announced none.

        Returns:
            Why it could not be opened; empty if it was.
        """
        pool = self.state.pool
        await asyncio.sleep(EXIT_TIME_S)
        try:
            connection = await pool.open(
                backend.id, backend.address, run.time_left_s(boot_s())
            )
        except OSError as error:
            return f"it accepts no connection: {str(error) or 'connect timeout'}"
        pool.release(connection, keep_alive_s, boot_s())
        return ""
