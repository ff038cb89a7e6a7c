"""Prompt text of a request, used to hash blocks and to estimate tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping


def prompt_text(body: Mapping[str, Any]) -> str:
    """Return the prompt text of a completions or chat request.

    Args:
        body: Parsed JSON body of the request.

    Returns:
        The prompt, or one line `ROLE: CONTENT` per message.

    Raises:
        ValueError: The body has neither a text prompt nor a list of messages, or a
            message is not an object.
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
