"""OpenAI-compatible events and bodies of a generation."""

from __future__ import annotations

from dataclasses import asdict, replace
from typing import TYPE_CHECKING, Any

import orjson

from tanagerturn.standins.tokens import prompt_digest, tokens_text

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.standins.engine.messages import Chunk, Generation


def merge_chunks(chunks: Iterable[Chunk]) -> list[Chunk]:
    """Join chunks whose tokens follow each other."""
    merged: list[Chunk] = []
    for chunk in chunks:
        last = merged[-1] if merged else None
        if last is not None and chunk.finish is None:
            merged[-1] = replace(last, tokens=last.tokens + chunk.tokens)
        else:
            merged.append(chunk)
    return merged


class EventWriter:
    """Writes the events of one generation.

    Args:
        generation: What was asked for.
        chat: Whether it is a chat completion.
        wrong_id: Marks the events with the id of another request.
    """

    def __init__(self, generation: Generation, chat: bool, wrong_id: bool) -> None:
        self.generation = generation
        """What was asked for."""
        self.chat = chat
        """Whether it is a chat completion."""
        self.shown_id = generation.request_id + ("-other" if wrong_id else "")
        """Request id in the events."""
        self.digest = prompt_digest(generation.prompt)
        """Hash of the prompt."""

    def event(self, chunk: Chunk) -> bytes:
        """Return one server-sent event."""
        text = tokens_text(self.digest, chunk.offset, chunk.tokens)
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        if self.chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        value = self._value("chat.completion.chunk", choice, chunk)
        return b"data: " + orjson.dumps(value) + b"\n\n"

    def whole(self, chunks: list[Chunk]) -> bytes:
        """Return the body of an answer without a stream."""
        offset = self.generation.resume_from
        last = chunks[-1]
        tokens = last.offset - offset
        text = tokens_text(self.digest, offset, tokens)
        choice: dict[str, Any] = {"index": 0}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        joined = replace(last, offset=offset, tokens=tokens)
        return orjson.dumps(self._value("chat.completion", choice, joined))

    def _value(
        self, chat_object: str, choice: dict[str, Any], chunk: Chunk
    ) -> dict[str, Any]:
        if chunk.finish is not None:
            choice["finish_reason"] = chunk.finish.value
        value: dict[str, Any] = {
            "id": f"cmpl-{self.shown_id}",
            "object": chat_object if self.chat else "text_completion",
            "choices": [choice],
            "tanager": {
                "request_id": self.shown_id,
                "attempt": self.generation.attempt,
                "offset": chunk.offset,
                "tokens": chunk.tokens,
            },
        }
        if chunk.usage is not None:
            value["usage"] = asdict(chunk.usage)
        return value
