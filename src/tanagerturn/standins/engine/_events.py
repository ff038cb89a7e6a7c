"""Encodes a generation as OpenAI-compatible events or as one response body."""

from __future__ import annotations

from dataclasses import asdict, replace
from typing import TYPE_CHECKING, Any

import orjson

from tanagerturn.standins.tokens import prompt_digest, tokens_text

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.standins.engine.messages import Chunk, Generation


def merge_chunks(chunks: Iterable[Chunk]) -> list[Chunk]:
    """Merge the chunks of consecutive tokens; the last chunk stays separate.

    Args:
        chunks: Consecutive chunks of one request.
    """
    merged: list[Chunk] = []
    for chunk in chunks:
        last = merged[-1] if merged else None
        if last is not None and chunk.finish is None:
            merged[-1] = replace(last, tokens=last.tokens + chunk.tokens)
        else:
            merged.append(chunk)
    return merged


class EventEncoder:
    """Encodes the events or the response body of one generation.

    Args:
        generation: The requested generation.
        chat: Whether the generation is a chat completion, not a text completion.
        wrong_id: Whether to put the id of another request into the events.
    """

    def __init__(self, generation: Generation, chat: bool, wrong_id: bool) -> None:
        self.generation = generation
        """The requested generation."""
        self.chat = chat
        """Whether the generation is a chat completion, not a text completion."""
        self.reported_id = generation.request_id + ("-other" if wrong_id else "")
        """Request id that the events and the response body state."""
        self.digest = prompt_digest(generation.prompt)
        """Hash of the prompt."""

    def encode_event(self, chunk: Chunk) -> bytes:
        """Encode one chunk as a server-sent event."""
        text = tokens_text(self.digest, chunk.offset, chunk.tokens)
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        if self.chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        value = self._build_payload("chat.completion.chunk", choice, chunk)
        return b"data: " + orjson.dumps(value) + b"\n\n"

    def encode_response(self, chunks: list[Chunk]) -> bytes:
        """Encode the body of a response that is not streamed.

        Args:
            chunks: All chunks of the generation; the last one has its finish reason.
        """
        offset = self.generation.resume_from
        last = chunks[-1]
        tokens = last.offset - offset
        text = tokens_text(self.digest, offset, tokens)
        choice: dict[str, Any] = {"index": 0}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        merged = replace(last, offset=offset, tokens=tokens)
        return orjson.dumps(self._build_payload("chat.completion", choice, merged))

    def _build_payload(
        self, chat_object: str, choice: dict[str, Any], chunk: Chunk
    ) -> dict[str, Any]:
        if chunk.finish is not None:
            choice["finish_reason"] = chunk.finish.value
        value: dict[str, Any] = {
            "id": f"cmpl-{self.reported_id}",
            "object": chat_object if self.chat else "text_completion",
            "choices": [choice],
            "tanager": {
                "request_id": self.reported_id,
                "attempt": self.generation.attempt,
                "offset": chunk.offset,
                "tokens": chunk.tokens,
            },
        }
        if chunk.usage is not None:
            value["usage"] = asdict(chunk.usage)
        return value
