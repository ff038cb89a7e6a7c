"""Helpers for pykka actors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    import pykka

ASK_TIMEOUT_S: Final = 2.0


def ask(ref: pykka.ActorRef[Any], message: object) -> Any:
    """Send a message to an actor, wait for its reply and return it.

    Raises:
        pykka.Timeout: The actor did not reply within `ASK_TIMEOUT_S`.
    """
    return ref.ask(message, block=True, timeout=ASK_TIMEOUT_S)
