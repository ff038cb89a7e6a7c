"""HTTP client of the control process for engines."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import urllib3
from google.protobuf import json_format

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.orders.messages import SendAnswer
from tanagerturn.shared.http_pools import is_delimited, make_pools

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse

MAX_POOLS: Final = 32
"""Maximum number of engines to which connections are pooled."""

MAX_REASON_BYTES: Final = 200
"""Maximum length of the reason of a refusal, in bytes of the response body."""

STATUS_STALE: Final = 409
"""HTTP status by which an engine refuses an order with a stale fencing number."""


MAX_RESPONSE_BYTES: Final = 256 * 1024
"""Maximum size in bytes of a response body; a larger one is no response."""


@dataclass(frozen=True)
class EngineResponse:
    """A whole response of an engine."""

    status: int
    """HTTP status."""
    body: bytes
    """Response body."""


class HttpEngineTransport:
    """Sends requests to engines over HTTP, without retries."""

    def __init__(self) -> None:
        self.pools = make_pools(MAX_POOLS)
        """Connection pools, one for each engine address."""

    def send(
        self, address: str, order: serving_pb2.Order, timeout_s: float
    ) -> tuple[SendAnswer, str]:
        """Send an order; return the answer, and the reason unless it was accepted."""
        body = json_format.MessageToJson(order, preserving_proto_field_name=True)
        url = f"http://{address}/engine/orders"
        response = self._request("POST", url, timeout_s, body.encode())
        if response is None:
            return SendAnswer.LOST, "no response"
        reason = response.body[:MAX_REASON_BYTES].decode(errors="replace")
        if response.status == STATUS_STALE:
            return SendAnswer.STALE, reason
        if response.status < 300:
            return SendAnswer.ACCEPTED, ""
        if response.status < 500:
            return SendAnswer.REFUSED, reason
        return SendAnswer.LOST, reason

    def query_state(
        self, address: str, timeout_s: float
    ) -> serving_pb2.Announcement | None:
        """Return the state of an engine; None without a valid response."""
        url = f"http://{address}/engine/state"
        response = self._request("GET", url, timeout_s, b"")
        if response is None or response.status != 200:
            return None
        try:
            return json_format.Parse(
                response.body, serving_pb2.Announcement(), ignore_unknown_fields=True
            )
        except (json_format.ParseError, UnicodeDecodeError, RecursionError):
            return None

    def close(self) -> None:
        """Close all pooled connections."""
        self.pools.clear()

    def _request(
        self, method: str, url: str, timeout_s: float, body: bytes
    ) -> EngineResponse | None:
        """Return a whole response of at most `MAX_RESPONSE_BYTES`, or None."""
        try:
            response = self.pools.request(
                method,
                url,
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(total=timeout_s),
                retries=False,
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError):
            return None
        return _read_response(response)


def _read_response(response: BaseHTTPResponse) -> EngineResponse | None:
    """Return a response whose body is read; None if it is too large or incomplete."""
    if not is_delimited(response):
        response.close()
        return None
    try:
        body = response.read(MAX_RESPONSE_BYTES + 1)
    except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError):
        return None
    if len(body) > MAX_RESPONSE_BYTES:
        response.close()
        return None
    response.release_conn()
    return EngineResponse(response.status, body)
