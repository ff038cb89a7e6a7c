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
    MAX_REPORTS,
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
    from tanagerturn.gateway.messages import BackendReport
    from tanagerturn.gateway.request_run import RequestRun
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.backend import Backend

REPORT_TIMEOUT_S: Final = 0.3
"""Timeout of one report in seconds; many times a round trip within a region."""

REPORT_INTERVAL_S: Final = 0.2
"""Pause between two reports in seconds."""

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
            reason = await self._check_connection(run, backend)
        elif proof in (EndProof.MOVE, EndProof.NONE):
            reason = "the order to move the stream may have stopped it"
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
            leaving=end.is_leaving,
            events=run.progress.event_count,
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
            self.state.fleet.view.is_leaving(backend),
            run.progress.last_id,
            prompt.max_output_tokens if prompt else 0,
        )

    async def _check_reports(self, run: RequestRun, backend: Backend) -> str:
        """Return why the reports do not show that a stream is complete; else empty."""
        events = max(run.progress.last_id or 0, run.progress.event_count)
        for number in range(MAX_REPORTS):
            if number:
                await asyncio.sleep(REPORT_INTERVAL_S)
            if self.state.backend_limits.is_paused(backend.id, boot_s()):
                return "the backend server asked for a pause and can't be queried"
            report = await self._read_report(backend)
            if report.is_error():
                return str(report.error)
            verdict = judge_report(
                report.ok.runs, run.request.attempt_id, events, run.move
            )
            if verdict is ReportVerdict.COMPLETE:
                return ""
            if verdict is ReportVerdict.INCOMPLETE:
                return "the report does not show that the stream has ended"
        return "the backend server still reports the stream"

    async def _read_report(self, backend: Backend) -> Result[BackendReport, StepError]:
        dialect = self.state.dialect
        answered = await call(
            backend.address,
            dialect.report_path,
            [],
            b"",
            REPORT_TIMEOUT_S,
            method="GET",
        )
        if answered.is_ok():
            read_call_statements(self.state, backend, answered.ok, boot_s())
        return answered.bind(
            lambda a: dialect.decode_report(a.status, a.body, backend.address)
        )

    async def _check_connection(self, run: RequestRun, backend: Backend) -> str:
        """Open a connection to a backend server, which the pool keeps.

        Returns:
            Why it could not be opened; empty if it was.
        """
        pool = self.state.pool
        try:
            connection = await pool.open(
                backend.id, backend.address, run.time_left_s(boot_s())
            )
        except OSError as error:
            return f"it accepts no connection: {str(error) or 'connect timeout'}"
        # Lets the event loop receive a reset of a listener that is being closed.
        await asyncio.sleep(0)
        if not connection.tcp.is_usable:
            connection.close()
            return "it closed a new connection at once"
        pool.release(connection, None, boot_s())
        return ""
