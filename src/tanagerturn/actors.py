"""Small helpers for pykka actors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    import pykka

ASK_TIMEOUT_S: Final = 2.0


def ask(ref: pykka.ActorRef[Any], message: object) -> Any:
    """Send a message to an actor and return its answer.

    Raises:
        pykka.Timeout: No answer came within `ASK_TIMEOUT_S`.
    """
    return ref.ask(message, block=True, timeout=ASK_TIMEOUT_S)
