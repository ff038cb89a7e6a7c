"""Headers of requests that a gateway forwards to a peer, and of their responses."""

from __future__ import annotations

import binascii
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from google.protobuf.message import DecodeError

from tanagerturn.clocks import to_ms
from tanagerturn.gateway.rollouts.codec import SIDES, SIDES_BY_NUMBER
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.backends.messages import BackendId, SoftwareVersion
from tanagerturn.serving.streams.origins import StreamOrigin

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from tanagerturn.gateway.messages import RawHeaders
    from tanagerturn.gateway.request_run import RequestRun
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.rollouts.messages import Side

REQUEST_HEADER: Final = b"tanagerturn-forwarded-request"
"""Header with the `ForwardedRequest`, in base64."""

ANSWER_HEADER: Final = b"tanagerturn-forwarded-answer"
"""Header with the `ForwardedAnswer`, in base64."""

ANSWER_MARGIN_S: Final = 0.005
"""Time in seconds before the deadline reserved for the way back from the peer."""


class InvalidForwarding(Exception):
    """Raised when a header between gateways is missing or malformed.

    Args:
        reason: What is wrong with it.
    """


@dataclass
class ForwardedCall:
    """A request that a peer forwarded, and what this gateway states in response."""

    request: gpb.ForwardedRequest
    """What the peer states of the request."""
    answer: gpb.ForwardedAnswer = field(default_factory=gpb.ForwardedAnswer)
    """What is known of the response when its head is sent."""

    @property
    def origin(self) -> StreamOrigin | None:
        """Where the stream began; None before its first event."""
        if not self.request.HasField("origin_version"):
            return None
        version = SoftwareVersion(self.request.origin_version)
        return StreamOrigin(self.request.service, version)

    @property
    def rollout_side(self) -> Side | None:
        """Versions at which the request may run during a rollout; None without one."""
        if not self.request.HasField("rollout_side"):
            return None
        return SIDES_BY_NUMBER[self.request.rollout_side]

    @property
    def tried_backend_ids(self) -> set[BackendId]:
        """Backend servers with an attempt at the peer."""
        return {BackendId(each) for each in self.request.tried_backends}

    def name_backend(self, backend: Backend) -> None:
        """State which backend server makes the response."""
        self.answer.backend = backend.id
        self.answer.backend_born_ms = backend.announcement.born_ms

    def answer_headers(self) -> RawHeaders:
        """Return the header of the response."""
        return [(ANSWER_HEADER, _encode(self.answer))]


def encode_request(run: RequestRun, time_left_s: float) -> tuple[bytes, bytes]:
    """Return the header of a request that is forwarded to a peer.

    Args:
        run: The request.
        time_left_s: Time in seconds within which the response is of use.
    """
    origin = run.origin
    message = gpb.ForwardedRequest(
        time_left_ms=max(0, to_ms(time_left_s - ANSWER_MARGIN_S)),
        service=run.service,
        last_event_id=run.progress.last_id,
        origin_version=None if origin is None else origin.software_version,
        tried_backends=sorted(run.tried_backend_ids),
        sent_count=run.sent_count,
        may_have_run=run.may_have_run,
        start_counted=run.is_start_counted,
        trial=run.is_trial,
        rollout_side=None if run.rollout_side is None else SIDES[run.rollout_side],
        rollout_number=run.rollout_number,
    )
    return REQUEST_HEADER, _encode(message)


def decode_request(headers: RawHeaders) -> ForwardedCall:
    """Decode the header of a forwarded request.

    Raises:
        InvalidForwarding: It is missing or malformed.
    """
    message = gpb.ForwardedRequest()
    _decode(headers, REQUEST_HEADER, message)
    return ForwardedCall(message)


def decode_answer(headers: RawHeaders) -> gpb.ForwardedAnswer:
    """Decode the header of a peer's response.

    Raises:
        InvalidForwarding: It is missing or malformed.
    """
    message = gpb.ForwardedAnswer()
    _decode(headers, ANSWER_HEADER, message)
    return message


def without_forwarding(headers: RawHeaders) -> RawHeaders:
    """Return the headers without those between gateways."""
    own = (REQUEST_HEADER, ANSWER_HEADER)
    return [(name, value) for name, value in headers if name.lower() not in own]


def _encode(message: Message) -> bytes:
    return b64encode(message.SerializeToString())


def _decode(headers: RawHeaders, name: bytes, message: Message) -> None:
    values = [value for each, value in headers if each.lower() == name]
    if len(values) != 1:
        raise InvalidForwarding(f"{len(values)} headers {name.decode()}, expected 1")
    try:
        message.ParseFromString(b64decode(values[0], validate=True))
    except (binascii.Error, DecodeError) as error:
        raise InvalidForwarding(f"malformed {name.decode()}: {error}") from error
