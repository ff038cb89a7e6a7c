"""Access log: one line per request, without headers, body or prompt text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.observe.logs import component_logger
from tanagerturn.schema.serving_pb2 import CallKind, Priority
from tanagerturn.shared.resolved_settings import find_call

if TYPE_CHECKING:
    from tanagerturn.entry.callers import CallerCall

log = component_logger("access")

DRAFT: Final = "draft"
"""Call name that the access log gives to requests for model engines."""


def log_access(call: CallerCall, now_ms: int) -> None:
    """Log a request that is about to run.

    In logs of format JSON, `extra.access` holds the fields from which
    `tanager-replay record` makes a trace.

    Args:
        call: The request to log.
        now_ms: Current wall clock time in milliseconds.
    """
    fields = {
        "time_ms": now_ms,
        "request_id": call.request_id,
        "client_account": call.account.name,
        "service": call.service.name,
        "kind": CallKind.Name(call.kind).lower(),
        "priority": Priority.Name(call.priority).lower(),
        "deadline_ms": call.deadline_ms,
        "method": call.method,
    }
    fields |= _model_fields(call) if call.is_model else _plain_fields(call)
    bound = log.bind(request_id=call.request_id, access=fields)
    bound.info("{} {} by {}.", call.method, call.path, call.account.name)


def _plain_fields(call: CallerCall) -> dict[str, object]:
    path = call.path.partition("?")[0]
    found = find_call(call.service, call.method, path)
    name = found.name if found is not None else ""
    return {"call": name, "path": call.path, "body_bytes": len(call.body)}


def _model_fields(call: CallerCall) -> dict[str, object]:
    mode = "stream" if call.stream else "whole"
    return {
        "call": DRAFT,
        "model": str(call.payload.get("model", "")),
        "blocks": list(call.prompt.blocks),
        "prompt_tokens": call.prompt.tokens,
        "max_tokens": max(1, call.prompt.output_tokens),
        "answer": "async" if call.respond_async else mode,
    }
