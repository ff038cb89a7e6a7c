"""Endpoint `/requests/KEY`: status, stored response and cancellation of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

import orjson

from tanagerturn.clocks import wall_ms
from tanagerturn.entry.callers import authenticate
from tanagerturn.entry.components import CallerResponse
from tanagerturn.entry.stored_requests import RETRY_SOON_S, stored_response
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.requests.ids import ClientAccountId, IdempotencyKey
from tanagerturn.serving.requests.lifecycle import OPEN_STATES
from tanagerturn.shared.problems import OUTCOME_UNKNOWN, ProblemError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.entry.components import EntryComponents
    from tanagerturn.serving.requests.stored import StoredRecord
    from tanagerturn.shared.resolved_settings import ResolvedSettings

REQUESTS_PATH = "/requests/"


def handle_collect(
    components: EntryComponents,
    environ: Mapping[str, Any],
    resolved_settings: ResolvedSettings,
) -> CallerResponse:
    """Respond to GET or DELETE of `/requests/KEY`.

    Raises:
        ProblemError: The record can't be read or does not exist, the method is not
            allowed, or the request has no response or can't be cancelled.
    """
    account = authenticate(environ, resolved_settings)
    key = IdempotencyKey(unquote(environ["PATH_INFO"][len(REQUESTS_PATH) :]))
    found = components.ledger.read(ClientAccountId(account.name), key)
    if found.is_error():
        raise ProblemError(
            503, "State not available", str(found.error), OUTCOME_UNKNOWN, "collect",
            RETRY_SOON_S,
        )  # fmt: skip
    if found.ok is None:
        detail = "No request with this key is kept."
        raise ProblemError(404, "No such request", detail, "none", "collect")
    if environ["REQUEST_METHOD"] == "DELETE":
        return _cancel(components, found.ok)
    if environ["REQUEST_METHOD"] != "GET":
        raise ProblemError(405, "Method not allowed", "Use GET or DELETE.")
    record = found.ok.record
    if record.state in OPEN_STATES:
        return _running(record)
    return stored_response(record)


def _running(record: serving_pb2.RequestRecord) -> CallerResponse:
    body = orjson.dumps(
        {
            "state": serving_pb2.RequestState.Name(record.state).lower(),
            "request_id": record.request_id,
            "attempt": record.attempt,
        }
    )
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Retry-After", str(round(RETRY_SOON_S))),
        ("X-Request-Id", record.request_id),
    ]
    return CallerResponse(202, headers, [body])


def _cancel(components: EntryComponents, stored: StoredRecord) -> CallerResponse:
    ended = components.ledger.cancel(stored, wall_ms())
    if ended.is_error():
        detail = f"It can't be cancelled: {ended.error.reason}."
        raise ProblemError(409, "Not cancelled", detail, OUTCOME_UNKNOWN, "cancel")
    return CallerResponse(204, [("X-Request-Id", stored.record.request_id)], [])
