"""Reads HTTP responses and compares them with the expected responses."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import orjson

from tanagerturn.replay.results import CallerOutcome
from tanagerturn.shared.http_pools import is_delimited

if TYPE_CHECKING:
    from collections.abc import Iterator

    import urllib3

    from tanagerturn.replay._requests import PreparedRequest

SSE_DATA_PREFIX: Final = b"data: "
SSE_DONE: Final = b"[DONE]"
LENGTH_FINISH_REASON: Final = "length"


@dataclass
class AttemptResult:
    """Result of one caller attempt."""

    outcome: CallerOutcome = CallerOutcome.NO_ANSWER
    """Outcome from the caller's point of view."""
    status: int = 0
    """HTTP status of the response; 0 if there was none."""
    retry_after_s: float = 0.0
    """Value of the Retry-After header, in seconds; 0 if absent or invalid."""
    first_token_s: float = 0.0
    """Time of the first token on the monotonic clock, in seconds; 0 if none came."""
    tokens: int = 0
    """Number of generated tokens received."""
    recomputed_tokens: int = 0
    """Number of tokens computed again, as `usage` in the response reports."""
    right: bool = True
    """Whether the response belongs to this request."""
    in_order: bool = True
    """Whether the tokens came in order and without duplicates."""
    detail: str = ""
    """Description of the fault that was found; empty if there is none."""


def read_whole_response(
    response: urllib3.BaseHTTPResponse, prepared: PreparedRequest, result: AttemptResult
) -> None:
    """Read a response that is not streamed and record its outcome.

    Args:
        response: Response with its body unread.
        prepared: Request that was sent.
        result: Result of the attempt, which is updated.
    """
    if not is_delimited(response):
        result.detail = "the answer has neither a length nor chunks"
        response.close()
        return
    value = _parse_object(response.data)
    if response.status >= 300:
        _read_problem(value, result)
        return
    result.outcome = CallerOutcome.ANSWERED
    if prepared.prompt:
        _check_completion_response(value, prepared, result)
    else:
        _check_plain_response(value, prepared, result)


def _read_problem(value: dict[str, Any], result: AttemptResult) -> None:
    reported_outcome = str(value.get("outcome") or value.get("state") or "")
    result.detail = str(value.get("detail", ""))[:200]
    if reported_outcome == "not_run":
        result.outcome = CallerOutcome.NOT_RUN
    elif reported_outcome == "outcome_unknown":
        result.outcome = CallerOutcome.OUTCOME_UNKNOWN
    elif result.status in (429, 503):
        result.outcome = CallerOutcome.NOT_RUN
    elif result.status >= 500:
        result.outcome = CallerOutcome.OUTCOME_UNKNOWN
    else:
        result.outcome = CallerOutcome.REJECTED


def _check_plain_response(
    value: dict[str, Any], prepared: PreparedRequest, result: AttemptResult
) -> None:
    key = str(value.get("key", ""))
    has_valid_key = key == "" if prepared.is_lookup else _is_request_key(key, prepared)
    fields = prepared.expected_fields(key)
    if not has_valid_key or not fields.items() <= value.items():
        result.right = False
        result.detail = f"answer of {value.get('method')} {value.get('path')} {key}"


def _is_request_key(key: str, prepared: PreparedRequest) -> bool:
    return key.split("~", 1)[0] == prepared.request.id


def _check_completion_response(
    value: dict[str, Any], prepared: PreparedRequest, result: AttemptResult
) -> None:
    choice = _first_choice(value)
    text = str(choice.get("text", ""))
    _record_usage(value, result)
    result.tokens = len(text) // 8
    _check_text(text, str(choice.get("finish_reason")), prepared, result)


def _check_text(
    text: str, finish_reason: str, prepared: PreparedRequest, result: AttemptResult
) -> None:
    expected = prepared.expected_text()
    if text == expected:
        result.outcome = CallerOutcome.ANSWERED
        result.detail = ""
        return
    result.outcome = CallerOutcome.NO_ANSWER
    if expected.startswith(text):
        result.detail = f"{len(text) // 8} tokens, finish {finish_reason}"
        return
    result.outcome = CallerOutcome.ANSWERED
    result.right = False
    result.detail = "text is not the expected one"


def read_event_stream(
    response: urllib3.BaseHTTPResponse, prepared: PreparedRequest, result: AttemptResult
) -> None:
    """Read a stream of server-sent events to its end and record the outcome.

    Args:
        response: Response with its body unread.
        prepared: Request that was sent.
        result: Result of the attempt, which is updated.
    """
    result.outcome = CallerOutcome.NO_ANSWER
    result.detail = "stream was cut"
    texts: list[str] = []
    finish_reason = ""
    for data in _event_data(response):
        if data.startswith(SSE_DONE):
            _check_text("".join(texts), finish_reason, prepared, result)
            return
        value = _parse_object(data)
        choice = _first_choice(value)
        finish_reason = str(choice.get("finish_reason") or finish_reason)
        text = str(choice.get("text") or "")
        _record_usage(value, result)
        if not text:
            continue
        if not result.first_token_s:
            result.first_token_s = time.monotonic()
        _check_order(value, result)
        result.tokens += len(text) // 8
        texts.append(text)


def _check_order(value: dict[str, Any], result: AttemptResult) -> None:
    position = value.get("tanager")
    if not isinstance(position, dict):
        return
    if position.get("offset") != result.tokens:
        result.in_order = False
        result.detail = f"offset {position.get('offset')} after {result.tokens}"


def _record_usage(value: dict[str, Any], result: AttemptResult) -> None:
    usage = value.get("usage")
    if isinstance(usage, dict):
        recomputed = usage.get("recomputed_tokens", 0)
        result.recomputed_tokens = recomputed if isinstance(recomputed, int) else 0


def _event_data(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    remainder = b""
    for data in response.stream():
        *lines, remainder = (remainder + data).split(b"\n")
        for line in lines:
            if line.startswith(SSE_DATA_PREFIX):
                yield line[len(SSE_DATA_PREFIX) :].strip()
    response.release_conn()


def _first_choice(value: dict[str, Any]) -> dict[str, Any]:
    choices = value.get("choices")
    if not isinstance(choices, list) or not choices:
        return {}
    return choices[0] if isinstance(choices[0], dict) else {}


def _parse_object(data: bytes) -> dict[str, Any]:
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}
