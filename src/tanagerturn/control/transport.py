"""HTTP calls of the control process to engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import urllib3
from google.protobuf import json_format

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.orders.messages import SendAnswer

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse

CONNECTIONS: Final = 32
REASON_LIMIT: Final = 200
STATUS_STALE: Final = 409


class HttpEngineTransport:
    """Calls to engines over HTTP; each is tried once."""

    def __init__(self) -> None:
        self.pools = urllib3.PoolManager(num_pools=CONNECTIONS, retries=False)
        """Connections."""

    def send(
        self, address: str, order: serving_pb2.Order, timeout_s: float
    ) -> tuple[SendAnswer, str]:
        """Send an order; returns the answer and the engine's reason."""
        body = json_format.MessageToJson(order, preserving_proto_field_name=True)
        url = f"http://{address}/engine/orders"
        response = self._request("POST", url, timeout_s, body.encode())
        if response is None:
            return SendAnswer.LOST, "no answer"
        reason = response.data[:REASON_LIMIT].decode(errors="replace")
        if response.status == STATUS_STALE:
            return SendAnswer.STALE, reason
        if response.status < 300:
            return SendAnswer.ACCEPTED, ""
        if response.status < 500:
            return SendAnswer.REFUSED, reason
        return SendAnswer.LOST, reason

    def ask(self, address: str, timeout_s: float) -> serving_pb2.Announcement | None:
        """Return an engine's state; None when it did not answer."""
        url = f"http://{address}/engine/state"
        response = self._request("GET", url, timeout_s, b"")
        if response is None or response.status != 200:
            return None
        try:
            return json_format.Parse(
                response.data, serving_pb2.Announcement(), ignore_unknown_fields=True
            )
        except (json_format.ParseError, UnicodeDecodeError, RecursionError):
            return None

    def close(self) -> None:
        """Close the connections."""
        self.pools.clear()

    def _request(
        self, method: str, url: str, timeout_s: float, body: bytes
    ) -> BaseHTTPResponse | None:
        try:
            return self.pools.request(
                method,
                url,
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(total=timeout_s),
                retries=False,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
