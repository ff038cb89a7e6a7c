"""The platform's dialect: all its translations behind one interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.platform import control_calls, documents, requests

if TYPE_CHECKING:
    from collections.abc import Mapping

    from expression import Result

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.gateway.configuration import Configuration, ServiceName
    from tanagerturn.gateway.messages import (
        BackendReply,
        BackendReport,
        ControlCall,
        Forwarding,
        InboundRequest,
        KvCopy,
        RawHeaders,
    )


class PlatformDialect:
    """Implements `tanagerturn.gateway.dialect.Dialect`.

    Args:
        heartbeat_ms: Time between two announcements of an engine.
        drain_ms: Time that a draining engine serves on, when it does not tell.
    """

    readiness_path = "/v1/readyz"
    report_path = "/v1/report"

    def __init__(self, heartbeat_ms: int, drain_ms: int = 2000) -> None:
        self.heartbeat_ms = heartbeat_ms
        """Time between two announcements of an engine."""
        self.drain_ms = drain_ms
        """Time that a draining engine serves on, when it does not tell."""

    def decode_request(
        self, method: str, target: str, headers: RawHeaders
    ) -> Result[InboundRequest, StepError]:
        """Decode the head of a caller's request."""
        return requests.decode_request(method, target, headers)

    def encode_forwarding(
        self, request: InboundRequest, forwarding: Forwarding, address: str
    ) -> RawHeaders:
        """Return the headers with which a request goes to an engine."""
        return requests.encode_forwarding(request, forwarding, address)

    def decode_reply(self, status: int, headers: RawHeaders) -> BackendReply:
        """Decode the head of an engine's answer."""
        return requests.decode_reply(status, headers)

    def encode_refusal(self, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of a gateway's own failure."""
        return requests.encode_refusal(retry_after_s)

    def decode_report(
        self, status: int, body: bytes, address: str
    ) -> Result[BackendReport, StepError]:
        """Decode what an engine tells of itself."""
        return requests.decode_report(status, body, address)

    def encode_move(self, attempt_id: str, target_address: str) -> tuple[str, bytes]:
        """Return path and body of a call that stops a run and copies its memory."""
        return requests.encode_move(attempt_id, target_address)

    def decode_moved(
        self, status: int, body: bytes, source_address: str
    ) -> Result[KvCopy, StepError]:
        """Decode the answer to such a call."""
        return requests.decode_moved(status, body, source_address)

    def decode_control(self, method: str, target: str, body: bytes) -> ControlCall:
        """Decode a call of an engine or an operator."""
        return control_calls.decode_control(
            method, target, body, self.heartbeat_ms, self.drain_ms
        )

    def decode_configuration(self, document: bytes) -> Result[Configuration, StepError]:
        """Check a manifest and decode it."""
        return documents.decode_document(document)

    def encode_usage(self, window: int, counts: Mapping[str, int]) -> tuple[str, bytes]:
        """Return path and body of a usage report."""
        return control_calls.encode_usage(window, counts)

    def encode_scale(
        self, service: ServiceName, zone: str, count: int, *, reclaimable: bool
    ) -> tuple[str, bytes]:
        """Return path and body of an order for engines."""
        return control_calls.encode_scale(service, zone, count, reclaimable=reclaimable)

    def encode_duty(self, holder: str, fencing_number: int) -> RawHeaders:
        """Return the headers of a call that one machine at a time may make."""
        return control_calls.encode_duty(holder, fencing_number)
