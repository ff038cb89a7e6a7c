"""What a gateway needs from the adapter of the platform that it runs on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

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


class Dialect(Protocol):
    """Decodes and encodes the messages of callers, backend servers and operators."""

    readiness_path: str
    """Path at which the balancer asks whether this gateway takes connections."""

    report_path: str
    """Path at which a backend server tells of itself."""

    def decode_request(
        self, method: str, target: str, headers: RawHeaders
    ) -> Result[InboundRequest, StepError]:
        """Decode the head of a caller's request."""
        ...

    def encode_forwarding(
        self, request: InboundRequest, forwarding: Forwarding, address: str
    ) -> RawHeaders:
        """Return the headers with which a request goes to a backend server."""
        ...

    def decode_reply(self, status: int, headers: RawHeaders) -> BackendReply:
        """Decode the head of a backend server's answer."""
        ...

    def encode_refusal(self, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of a gateway's own failure."""
        ...

    def decode_report(
        self, status: int, body: bytes, address: str
    ) -> Result[BackendReport, StepError]:
        """Decode what a backend server tells of itself."""
        ...

    def encode_move(self, attempt_id: str, target_address: str) -> tuple[str, bytes]:
        """Return path and body of a call that stops a run and copies its memory."""
        ...

    def decode_moved(
        self, status: int, body: bytes, source_address: str
    ) -> Result[KvCopy, StepError]:
        """Decode the answer to such a call."""
        ...

    def decode_control(self, method: str, target: str, body: bytes) -> ControlCall:
        """Decode a call of a backend server or an operator."""
        ...

    def decode_configuration(self, document: bytes) -> Result[Configuration, StepError]:
        """Check an operator's document and decode it."""
        ...

    def encode_usage(self, window: int, counts: Mapping[str, int]) -> tuple[str, bytes]:
        """Return path and body of a usage report."""
        ...

    def encode_scale(
        self, service: ServiceName, zone: str, count: int, *, reclaimable: bool
    ) -> tuple[str, bytes]:
        """Return path and body of an order for backend servers."""
        ...

    def encode_duty(self, holder: str, fencing_number: int) -> RawHeaders:
        """Return the headers of a call that one gateway at a time may make."""
        ...
