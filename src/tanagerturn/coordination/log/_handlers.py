"""Dispatch of log messages by payload type."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, cast

from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from tanagerturn.coordination.log.core import Core


@singledispatch
def handle(payload: Message, core: Core, message: pb.LogMessage, now_s: float) -> None:
    """Handle the payload of a message of the current term; drop unknown types."""


def payload_of(message: pb.LogMessage) -> Message | None:
    """Return the payload of a message, or None when it has none."""
    kind = message.WhichOneof("kind")
    return None if kind is None else cast("Message", getattr(message, kind))


def has_prospective_term(payload: Message) -> bool:
    """Return whether the message's term is only proposed by a pre-vote.

    A receiver must not enter such a term.
    """
    if isinstance(payload, pb.PreVoteResponse):
        return payload.granted
    return isinstance(payload, pb.PreVoteRequest)
