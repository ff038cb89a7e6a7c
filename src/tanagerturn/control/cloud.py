"""Client of the platform's cloud API; see docs/PROTOCOLS.md."""

from __future__ import annotations

import dataclasses
import http.client
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, TypeVar
from urllib.parse import quote

import orjson
import urllib3
from expression import Error, Ok, Result

from tanagerturn.coordination.errors import RefusedError, StepError, UnavailableError
from tanagerturn.shared.http_pools import make_pools

if TYPE_CHECKING:
    from tanagerturn.schema.serving_pb2 import HostStart

REQUEST_TIMEOUT_S: Final = 2.0
"""Timeout for connecting, and for each read of a response, in seconds."""

MAX_POOLS: Final = 10

MAX_RESPONSE_BYTES: Final = 4 * 1024 * 1024
"""Maximum size of a response body in bytes."""

GRANTED_STATUSES: Final = (200, 201)
"""HTTP statuses by which the cloud API grants a host."""

Item = TypeVar("Item")


@dataclass(frozen=True)
class CloudNotice:
    """Notice that the platform will reclaim a host."""

    sequence: int
    """Sequence number of the notice; later notices have higher numbers."""
    host_id: str
    """Id of the host, which is also the id of the backend server on it."""
    availability_zone: str
    """Availability zone of the host; empty if not stated."""
    ends_in_ms: int
    """Milliseconds until the host is reclaimed; 0 if the time has passed."""


@dataclass(frozen=True)
class CloudOffer:
    """Offer of hosts that can be started."""

    availability_zone: str
    """Availability zone of the hosts."""
    host_class: str
    """Class of the hosts."""
    reclaimable: bool
    """Whether the platform may reclaim the hosts."""
    price_per_hour: float
    """Current price of one host per hour."""


@dataclass(frozen=True)
class CloudHost:
    """A host that the deployment pays for or has paid for."""

    id: str
    """Id of the host, which is also the id of the backend server on it."""
    request_id: str
    """Id of the request that started the host; empty if no request started
    the host."""
    availability_zone: str
    """Availability zone of the host."""
    host_class: str
    """Class of the host."""
    reclaimable: bool
    """Whether the platform may reclaim the host."""
    service: str
    """Service that the host is for; empty if the platform does not know the
    service."""
    state: str
    """State of the host: `starting`, `running`, `noticed` or `gone`."""
    price_per_hour: float
    """Current price of the host per hour."""


@dataclass(frozen=True)
class CloudResponse:
    """HTTP response of the cloud API."""

    status: int
    """HTTP status."""
    body: bytes
    """Body, at most `MAX_RESPONSE_BYTES` long."""


class CloudClient:
    """Sends requests to the cloud API, without retries.

    Args:
        url: Base URL of the cloud API; trailing slashes are removed.
    """

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")
        """Base URL of the cloud API, without a trailing slash."""
        self.http = make_pools(MAX_POOLS, maxsize=2)
        """HTTP connection pool."""

    def notices(self, after: int) -> Result[list[CloudNotice], StepError]:
        """Return the notices after a sequence number, sorted by sequence number.

        Invalid entries of the response are ignored.
        """
        step = "read notices"
        response = self._get_object(step, f"/notices?after={after}")
        if response.is_error():
            return Error(response.error)
        entries = response.ok.get("notices")
        if not isinstance(entries, list):
            return Error(RefusedError(step, self.url, "response has no list 'notices'"))
        notices = [_parse_notice(each) for each in entries]
        valid_notices = [notice for notice in notices if notice is not None]
        return Ok(sorted(valid_notices, key=lambda notice: notice.sequence))

    def offers(self) -> Result[list[CloudOffer], StepError]:
        """Return the offers of hosts that can be started."""
        return self._get_list("read offers", "/offers", "offers", CloudOffer)

    def hosts(self) -> Result[list[CloudHost], StepError]:
        """Return the hosts that the deployment pays for or has paid for."""
        return self._get_list("read hosts", "/hosts", "hosts", CloudHost)

    def start(self, request: HostStart) -> Result[bool, StepError]:
        """Request the start of a host; a repeated request id returns the same host.

        Returns:
            Whether the host was granted; `UnavailableError` if that is unknown.
        """
        body = {
            "request_id": request.request_id,
            "availability_zone": request.availability_zone,
            "host_class": request.host_class,
            "reclaimable": request.reclaimable,
            "service": request.service,
        }
        step = "start host"
        response = self._request(step, "POST", "/hosts", orjson.dumps(body))
        if response.is_error():
            return Error(response.error)
        if response.ok.status in GRANTED_STATUSES:
            return Ok(True)
        if 400 <= response.ok.status < 500:
            return Ok(False)
        reason = f"status {response.ok.status}, expected 200, 201 or 4xx"
        return Error(UnavailableError(step, self.url, reason))

    def release_host(self, host_id: str) -> Result[bool, StepError]:
        """Release a host; return False on any status except 200."""
        path = f"/hosts/{quote(host_id, safe='')}"
        response = self._request("release host", "DELETE", path, b"")
        return response.map(lambda received: received.status == 200)

    def close(self) -> None:
        """Close all pooled connections."""
        self.http.clear()

    def _get_list(
        self, step: str, path: str, name: str, item_type: type[Item]
    ) -> Result[list[Item], StepError]:
        response = self._get_object(step, path)
        if response.is_error():
            return Error(response.error)
        entries = response.ok.get(name)
        if not isinstance(entries, list):
            return Error(RefusedError(step, self.url, f"response has no list {name!r}"))
        items = [_parse_item(each, item_type) for each in entries]
        return Ok([item for item in items if item is not None])

    def _get_object(self, step: str, path: str) -> Result[dict[str, Any], StepError]:
        response = self._request(step, "GET", path, b"")
        if response.is_error():
            return Error(response.error)
        try:
            body = orjson.loads(response.ok.body)
        except orjson.JSONDecodeError as error:
            return Error(UnavailableError(step, self.url, str(error)))
        if response.ok.status != 200 or not isinstance(body, dict):
            return Error(
                RefusedError(
                    step,
                    self.url,
                    f"status {response.ok.status}, expected 200 and an object",
                )
            )
        return Ok(body)

    def _request(
        self, step: str, method: str, path: str, body: bytes
    ) -> Result[CloudResponse, StepError]:
        headers = {"Content-Type": "application/json"}
        try:
            response = self.http.request(
                method,
                self.url + path,
                body=body or None,
                headers=headers,
                timeout=REQUEST_TIMEOUT_S,
                redirect=False,
                preload_content=False,
            )
            data = response.read(MAX_RESPONSE_BYTES + 1)
            if len(data) > MAX_RESPONSE_BYTES:
                response.close()
            response.release_conn()
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ) as error:
            return Error(UnavailableError(step, self.url, str(error)))
        if len(data) > MAX_RESPONSE_BYTES:
            return Error(
                UnavailableError(
                    step, self.url, f"response exceeds {MAX_RESPONSE_BYTES} bytes"
                )
            )
        return Ok(CloudResponse(response.status, data))


def _parse_item(entry: object, item_type: type[Item]) -> Item | None:
    """Convert an entry of a list; return None if a field is missing or invalid."""
    if not isinstance(entry, dict):
        return None
    values = {}
    for field in dataclasses.fields(item_type):  # type: ignore[arg-type]
        value = entry.get(field.name)
        expected = {"str": str, "bool": bool, "float": int | float}[str(field.type)]
        if not isinstance(value, expected):
            return None
        values[field.name] = value
    return item_type(**values)


def _parse_notice(entry: object) -> CloudNotice | None:
    """Convert a notice; return None if a field is missing or invalid."""
    if not isinstance(entry, dict):
        return None
    sequence, ends_in_ms = entry.get("sequence"), entry.get("ends_in_ms")
    host_id, zone = entry.get("host_id"), entry.get("availability_zone", "")
    if not isinstance(sequence, int) or not isinstance(ends_in_ms, int | float):
        return None
    if not isinstance(host_id, str) or not host_id or not isinstance(zone, str):
        return None
    return CloudNotice(sequence, host_id, zone, max(0, int(ends_in_ms)))
