"""Reads answers and compares them with what the request should get."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import orjson

from tanagerturn.replay.results import CallerOutcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    import urllib3

    from tanagerturn.replay._bodies import Prepared

EVENT_START: Final = b"data: "
STREAM_END: Final = b"[DONE]"
LENGTH: Final = "length"


@dataclass
class Received:
    """What one attempt got."""

    outcome: CallerOutcome = CallerOutcome.NO_ANSWER
    """What the caller is left with."""
    status: int = 0
    """HTTP status; 0 for none."""
    retry_after_s: float = 0.0
    """Time asked for before another attempt."""
    first_token_s: float = 0.0
    """When the first token came, on the monotonic clock."""
    tokens: int = 0
    """Tokens received."""
    recomputed_tokens: int = 0
    """Tokens computed again, as the answer tells."""
    right: bool = True
    """Whether the answer is the request's own."""
    in_order: bool = True
    """Whether tokens came in order, each once."""
    detail: str = ""
    """What was wrong."""


def read_answer(
    response: urllib3.BaseHTTPResponse, prepared: Prepared, received: Received
) -> None:
    """Read an answer in one piece."""
    value = _parse_object(response.data)
    if response.status >= 300:
        _read_problem(value, received)
        return
    received.outcome = CallerOutcome.ANSWERED
    if prepared.prompt:
        _check_completion(value, prepared, received)
    else:
        _check_plain(value, prepared, received)


def _read_problem(value: dict[str, Any], received: Received) -> None:
    told = str(value.get("outcome") or value.get("state") or "")
    received.detail = str(value.get("detail", ""))[:200]
    if told == "not_run":
        received.outcome = CallerOutcome.NOT_RUN
    elif told == "outcome_unknown":
        received.outcome = CallerOutcome.OUTCOME_UNKNOWN
    elif received.status in (429, 503):
        received.outcome = CallerOutcome.NOT_RUN
    elif received.status >= 500:
        received.outcome = CallerOutcome.OUTCOME_UNKNOWN
    else:
        received.outcome = CallerOutcome.REJECTED


def _check_plain(value: dict[str, Any], prepared: Prepared, received: Received) -> None:
    key = str(value.get("key", ""))
    known_key = key == "" if prepared.lookup else _own_key(key, prepared)
    fields = prepared.expected_fields(key)
    if not known_key or not fields.items() <= value.items():
        received.right = False
        received.detail = f"answer of {value.get('method')} {value.get('path')} {key}"


def _own_key(key: str, prepared: Prepared) -> bool:
    return key.split("~", 1)[0] == prepared.request.id


def _check_completion(
    value: dict[str, Any], prepared: Prepared, received: Received
) -> None:
    choice = _first_choice(value)
    text = str(choice.get("text", ""))
    _take_usage(value, received)
    received.tokens = len(text) // 8
    _judge_text(text, str(choice.get("finish_reason")), prepared, received)


def _judge_text(text: str, finish: str, prepared: Prepared, received: Received) -> None:
    expected = prepared.expected_text()
    if text == expected:
        received.outcome = CallerOutcome.ANSWERED
        received.detail = ""
        return
    received.outcome = CallerOutcome.NO_ANSWER
    if expected.startswith(text):
        received.detail = f"{len(text) // 8} tokens, finish {finish}"
        return
    received.outcome = CallerOutcome.ANSWERED
    received.right = False
    received.detail = "text is not the expected one"


def read_stream(
    response: urllib3.BaseHTTPResponse, prepared: Prepared, received: Received
) -> None:
    """Read a stream of events to its end."""
    received.outcome = CallerOutcome.NO_ANSWER
    received.detail = "stream was cut"
    texts: list[str] = []
    finish = ""
    for data in _events(response):
        if data.startswith(STREAM_END):
            _judge_text("".join(texts), finish, prepared, received)
            return
        value = _parse_object(data)
        choice = _first_choice(value)
        finish = str(choice.get("finish_reason") or finish)
        text = str(choice.get("text") or "")
        _take_usage(value, received)
        if not text:
            continue
        if not received.first_token_s:
            received.first_token_s = time.monotonic()
        _check_order(value, received)
        received.tokens += len(text) // 8
        texts.append(text)


def _check_order(value: dict[str, Any], received: Received) -> None:
    place = value.get("tanager")
    if not isinstance(place, dict):
        return
    if place.get("offset") != received.tokens:
        received.in_order = False
        received.detail = f"offset {place.get('offset')} after {received.tokens}"


def _take_usage(value: dict[str, Any], received: Received) -> None:
    usage = value.get("usage")
    if isinstance(usage, dict):
        recomputed = usage.get("recomputed_tokens", 0)
        received.recomputed_tokens = recomputed if isinstance(recomputed, int) else 0


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    rest = b""
    for data in response.stream():
        *lines, rest = (rest + data).split(b"\n")
        for line in lines:
            if line.startswith(EVENT_START):
                yield line[len(EVENT_START) :].strip()
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
