"""The text of a prompt, from which blocks are hashed and tokens counted."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping


def prompt_text(body: Mapping[str, Any]) -> str:
    """Return the text that a completions or chat body asks to continue.

    Args:
        body: Parsed JSON body of the caller.

    Returns:
        The prompt, or each message as a line `ROLE: CONTENT`.

    Raises:
        ValueError: The body has neither a text prompt nor messages.
    """
    prompt = body.get("prompt")
    if isinstance(prompt, str):
        return prompt
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise ValueError("body needs a prompt or messages")
    return "".join(_message_line(message) for message in messages)


def _message_line(message: object) -> str:
    if not isinstance(message, dict):
        raise ValueError("each message must be an object")
    return f"{message.get('role', '')}: {message.get('content', '')}\n"
