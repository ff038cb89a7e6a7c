"""Interface between a gateway and the adapter of the platform that it runs on."""

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
    """Decodes and encodes the messages that a gateway exchanges on the platform.

    The other side is a caller, a backend server, an operator or the cloud API.
    """

    readiness_path: str
    """Path at which the load balancer checks whether this gateway accepts callers."""

    report_path: str
    """Path at which a backend server reports its own state."""

    def decode_request(
        self, method: str, target: str, headers: RawHeaders
    ) -> Result[InboundRequest, StepError]:
        """Decode the head of a caller's request."""
        ...

    def encode_forwarding(
        self, request: InboundRequest, forwarding: Forwarding, address: str
    ) -> RawHeaders:
        """Return the headers of a request as forwarded to a backend server."""
        ...

    def decode_reply(self, status: int, headers: RawHeaders) -> BackendReply:
        """Decode the head of a backend server's response."""
        ...

    def encode_error_headers(self, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of an error response of the gateway itself.

        Args:
            retry_after_s: Time in seconds after which the caller may retry; None if it
                must not retry.
        """
        ...

    def decode_report(
        self, status: int, body: bytes, address: str
    ) -> Result[BackendReport, StepError]:
        """Decode the response in which a backend server reports its own state."""
        ...

    def encode_unexecuted_call(self) -> RawHeaders:
        """Return the headers of a call that each backend server refuses to execute."""
        ...

    def encode_migration(
        self, attempt_id: str, target_address: str
    ) -> tuple[str, bytes]:
        """Return path and body of a call that migrates a request to another engine.

        The called engine stops the request and copies its KV cache to the target.

        Args:
            attempt_id: Id of the attempt that runs the request.
            target_address: IP address and port of the other engine.
        """
        ...

    def decode_migration(
        self, status: int, body: bytes, source_address: str
    ) -> Result[KvCopy, StepError]:
        """Decode the response to a migration call."""
        ...

    def decode_control(self, method: str, target: str, body: bytes) -> ControlCall:
        """Decode a control call of a backend server or an operator."""
        ...

    def encode_rollout(self, state: str, target: str) -> bytes:
        """Return the body of the response to a request for a rollout.

        Args:
            state: State of the rollout.
            target: Software version that the service is moved to.
        """
        ...

    def decode_configuration(self, document: bytes) -> Result[Configuration, StepError]:
        """Validate and decode a configuration document of an operator."""
        ...

    def encode_usage(self, window: int, counts: Mapping[str, int]) -> tuple[str, bytes]:
        """Return path and body of a usage report.

        Args:
            window: Number of the report window.
            counts: Number of started requests by client account.
        """
        ...

    def encode_scale(
        self, service: ServiceName, zone: str, count: int, *, reclaimable: bool
    ) -> tuple[str, bytes]:
        """Return path and body of an order for backend servers.

        Args:
            service: Service that the backend servers run.
            zone: Availability zone of the backend servers.
            count: Total number of backend servers of this kind to hold in the zone.
            reclaimable: Reclaimable backend servers are ordered, not on-demand ones.
        """
        ...

    def encode_duty(self, holder: str, fencing_number: int) -> RawHeaders:
        """Return the headers of a cloud API call that only the lease holder makes.

        Args:
            holder: Host of the gateway that holds the lease.
            fencing_number: Fencing number of the lease.
        """
        ...
