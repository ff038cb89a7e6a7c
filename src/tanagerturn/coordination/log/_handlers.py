"""Dispatch of messages by payload type."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, cast

from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from tanagerturn.coordination.log.core import Core


@singledispatch
def handle(payload: Message, core: Core, message: pb.LogMessage, now: float) -> None:
    """Handle a payload of the current term; unknown payload types are dropped."""


def payload_of(message: pb.LogMessage) -> Message | None:
    """Return the payload of a message, or None when it has none."""
    kind = message.WhichOneof("kind")
    return None if kind is None else cast("Message", getattr(message, kind))


def has_prospective_term(payload: Message) -> bool:
    """Whether the term of this message is prospective, so it must not be adopted."""
    if isinstance(payload, pb.PreVoteResponse):
        return payload.granted
    return isinstance(payload, pb.PreVoteRequest)
