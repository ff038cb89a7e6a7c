"""Builds the HTTP request of a trace's request and its expected response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import orjson

from tanagerturn.replay.trace import AnswerMode
from tanagerturn.standins.service.ledger import expected_response_fields
from tanagerturn.standins.tokens import build_prompt, expected_text

if TYPE_CHECKING:
    from tanagerturn.replay.trace import TraceRequest

CHARACTERS_PER_TOKEN: Final = 4
API_KEY_SUFFIX: Final = "-example-key"
"""Suffix of API keys in the example deployments, after the client account's name."""
REPLAY_ID_HEADER: Final = "X-Replay-Id"
"""Header with the request's id in the trace, to find the request in logs."""
COMPLETIONS_PATH: Final = "/v1/completions"


@dataclass(frozen=True)
class PreparedRequest:
    """An HTTP request that is ready to be sent."""

    request: TraceRequest
    """Request in the trace."""
    method: str
    """HTTP method."""
    path: str
    """Path at the entry host, or at the backend server if it is called directly."""
    headers: dict[str, str]
    """HTTP headers except the idempotency key."""
    body: bytes
    """HTTP body; empty for none."""
    prompt: str = ""
    """Prompt of a model request; empty for a call of a plain service."""

    @property
    def is_lookup(self) -> bool:
        """Whether the request is a lookup, which is sent without an idempotency key."""
        return not self.prompt and self.method in ("GET", "HEAD")

    def expected_text(self) -> str:
        """Return the complete text that stand-in engines generate for the prompt."""
        return expected_text(self.prompt, self.request.max_tokens)

    def expected_fields(self, key: str) -> dict[str, str]:
        """Return the fields of a plain service's response to this request.

        Args:
            key: Idempotency key of the call; empty for a lookup.
        """
        return expected_response_fields(self.method, self.request.path, key, self.body)


def prepare_request(request: TraceRequest, direct: bool = False) -> PreparedRequest:
    """Build the HTTP request of a request in a trace.

    Args:
        request: Request in the trace.
        direct: Whether a backend server is called directly; otherwise paths of plain
            services start with `/services/NAME`.
    """
    headers = {
        "Authorization": f"Bearer {request.client_account}{API_KEY_SUFFIX}",
        REPLAY_ID_HEADER: request.id,
    }
    if request.max_tokens:
        return _prepare_model(request, headers)
    path = request.path if direct else f"/services/{request.service}{request.path}"
    body = _plain_body(request)
    if body:
        headers["Content-Type"] = "application/json"
    return PreparedRequest(request, request.method, path, headers, body)


def _plain_body(request: TraceRequest) -> bytes:
    if not request.body_bytes:
        return b""
    json_start = orjson.dumps({"id": request.id, "note": ""})[:-2]
    return json_start + b"x" * max(0, request.body_bytes - len(json_start) - 2) + b'"}'


def _prepare_model(request: TraceRequest, headers: dict[str, str]) -> PreparedRequest:
    block_names = [
        f"{prefix_run.name}/{i}"
        for prefix_run in request.prefix
        for i in range(prefix_run.blocks)
    ]
    prompt_characters = request.prompt_tokens * CHARACTERS_PER_TOKEN
    prompt = build_prompt(block_names, prompt_characters, request.id)
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
    return PreparedRequest(request, "POST", COMPLETIONS_PATH, headers, data, prompt)
