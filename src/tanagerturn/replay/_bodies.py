"""Turns a request of a trace into an HTTP request, and knows its answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import orjson

from tanagerturn.replay.trace import AnswerMode
from tanagerturn.standins.service.ledger import expected_answer
from tanagerturn.standins.tokens import expected_text, prompt_of_blocks

if TYPE_CHECKING:
    from tanagerturn.replay.trace import TraceRequest

CHARACTERS_PER_TOKEN: Final = 4
KEY_SUFFIX: Final = "-example-key"
"""Bearer keys of the example deployments: the account's name and this."""
REPLAY_ID: Final = "X-Replay-Id"
"""Header with the request's id in the trace, for reading logs."""
COMPLETIONS: Final = "/v1/completions"


@dataclass(frozen=True)
class Prepared:
    """An HTTP request, ready to be sent."""

    request: TraceRequest
    """The request of the trace."""
    method: str
    """HTTP method."""
    path: str
    """Path at the entry host."""
    headers: dict[str, str]
    """Headers without the idempotency key."""
    body: bytes
    """Body, or empty."""
    prompt: str = ""
    """Prompt of a model request."""

    @property
    def lookup(self) -> bool:
        """Whether it needs no idempotency key."""
        return not self.prompt and self.method in ("GET", "HEAD")

    def expected_text(self) -> str:
        """Return the whole text that the stand-in engines generate."""
        return expected_text(self.prompt, self.request.max_tokens)

    def expected_fields(self, key: str) -> dict[str, str]:
        """Return the fields that identify the answer of a plain service."""
        return expected_answer(self.method, self.request.path, key, self.body)


def prepare(request: TraceRequest, direct: bool = False) -> Prepared:
    """Build the HTTP request of a trace's request.

    Args:
        request: The request.
        direct: Whether a backend server itself is called.
    """
    headers = {
        "Authorization": f"Bearer {request.client_account}{KEY_SUFFIX}",
        REPLAY_ID: request.id,
    }
    if request.max_tokens:
        return _prepare_model(request, headers)
    path = request.path if direct else f"/services/{request.service}{request.path}"
    body = _plain_body(request)
    if body:
        headers["Content-Type"] = "application/json"
    return Prepared(request, request.method, path, headers, body)


def _plain_body(request: TraceRequest) -> bytes:
    if not request.body_bytes:
        return b""
    start = orjson.dumps({"id": request.id, "note": ""})[:-2]
    return start + b"x" * max(0, request.body_bytes - len(start) - 2) + b'"}'


def _prepare_model(request: TraceRequest, headers: dict[str, str]) -> Prepared:
    names = [f"{run.name}/{i}" for run in request.prefix for i in range(run.blocks)]
    characters = request.prompt_tokens * CHARACTERS_PER_TOKEN
    prompt = prompt_of_blocks(names, characters, request.id)
    body: dict[str, Any] = {
        "model": request.model,
        "prompt": prompt,
        "max_tokens": request.max_tokens,
        "stream": request.answer == AnswerMode.STREAM,
    }
    headers["Content-Type"] = "application/json"
    if request.answer == AnswerMode.ASYNC:
        headers["Prefer"] = "respond-async"
    data = orjson.dumps(body)
    return Prepared(request, "POST", COMPLETIONS, headers, data, prompt)
