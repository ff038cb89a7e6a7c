"""The `Dialect` of a gateway on the hosting platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.platform import control_calls, manifests, requests

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
    """Implements `tanagerturn.gateway.dialect.Dialect` for the hosting platform.

    Args:
        heartbeat_ms: Time between two announcements of a backend server, in
            milliseconds.
        drain_ms: Time for which a draining backend server keeps serving, in
            milliseconds, if its announcement does not state one.
        has_rollouts: Whether operators may start rollouts.
    """

    readiness_path = "/v1/readyz"
    report_path = "/v1/report"

    def __init__(
        self, heartbeat_ms: int, drain_ms: int = 2000, *, has_rollouts: bool = False
    ) -> None:
        self.heartbeat_ms = heartbeat_ms
        """Time between two announcements of a backend server, in milliseconds."""
        self.drain_ms = drain_ms
        """Default time for which a draining backend server keeps serving, in
        milliseconds."""
        self.has_rollouts = has_rollouts
        """Whether operators may start rollouts."""

    def decode_request(
        self, method: str, target: str, headers: RawHeaders
    ) -> Result[InboundRequest, StepError]:
        """Decode request line and headers of a caller's request."""
        return requests.decode_request(method, target, headers)

    def encode_forwarding(
        self, request: InboundRequest, forwarding: Forwarding, address: str
    ) -> RawHeaders:
        """Return the headers of a request that is forwarded to a backend server."""
        return requests.encode_forwarding(request, forwarding, address)

    def decode_reply(self, status: int, headers: RawHeaders) -> BackendReply:
        """Decode status and headers of a backend server's response."""
        return requests.decode_reply(status, headers)

    def encode_error_headers(self, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of an error response that the gateway itself sends."""
        return requests.encode_error_headers(retry_after_s)

    def decode_report(
        self, status: int, body: bytes, address: str
    ) -> Result[BackendReport, StepError]:
        """Decode a backend server's response at `report_path`."""
        return requests.decode_report(status, body, address)

    def encode_unexecuted_call(self) -> RawHeaders:
        """Return the headers of a call that each backend server refuses to execute."""
        return requests.encode_unexecuted_call()

    def encode_migration(
        self, attempt_id: str, target_address: str
    ) -> tuple[str, bytes]:
        """Return path and body of a call that migrates a request to another engine."""
        return requests.encode_migration(attempt_id, target_address)

    def decode_migration(
        self, status: int, body: bytes, source_address: str
    ) -> Result[KvCopy, StepError]:
        """Decode the response to a migration call."""
        return requests.decode_migration(status, body, source_address)

    def decode_control(self, method: str, target: str, body: bytes) -> ControlCall:
        """Decode a call of a backend server or an operator."""
        return control_calls.decode_control(
            method,
            target,
            body,
            self.heartbeat_ms,
            self.drain_ms,
            has_rollouts=self.has_rollouts,
        )

    def encode_rollout(self, state: str, target: str) -> bytes:
        """Return the body of the response to a request for a rollout."""
        return control_calls.encode_rollout(state, target)

    def decode_configuration(self, document: bytes) -> Result[Configuration, StepError]:
        """Validate a manifest and decode it into a configuration."""
        return manifests.decode_manifest(document)

    def encode_usage(self, window: int, counts: Mapping[str, int]) -> tuple[str, bytes]:
        """Return path and body of a usage report to the cloud API."""
        return control_calls.encode_usage(window, counts)

    def encode_scale(
        self, service: ServiceName, zone: str, count: int, *, reclaimable: bool
    ) -> tuple[str, bytes]:
        """Return path and body of a call that sets the number of backend servers."""
        return control_calls.encode_scale(service, zone, count, reclaimable=reclaimable)

    def encode_duty(self, holder: str, fencing_number: int) -> RawHeaders:
        """Return the headers that name the lease holder in a cloud API call."""
        return control_calls.encode_duty(holder, fencing_number)
