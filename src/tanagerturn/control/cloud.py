"""Client of the platform's cloud API; see docs/PROTOCOLS.md."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, TypeVar
from urllib.parse import quote

import orjson
import urllib3
from expression import Error, Ok, Result

from tanagerturn.coordination.errors import RefusedError, StepError, UnavailableError

if TYPE_CHECKING:
    from tanagerturn.schema.serving_pb2 import HostStart

TIMEOUT_S: Final = 2.0
ANSWER_LIMIT_BYTES: Final = 4 * 1024 * 1024
GRANTED: Final = (200, 201)

Item = TypeVar("Item")


@dataclass(frozen=True)
class CloudNotice:
    """The platform will take a host."""

    sequence: int
    """Number of the notice; it grows."""
    host_id: str
    """Host, which is the id of the backend server on it."""
    availability_zone: str
    """Its availability zone."""
    ends_in_ms: int
    """Time until it is taken."""


@dataclass(frozen=True)
class CloudOffer:
    """Hosts that can be asked for."""

    availability_zone: str
    """Availability zone."""
    host_class: str
    """Class of hosts."""
    reclaimable: bool
    """Whether the platform may take them back."""
    price_per_hour: float
    """Present price of one host."""


@dataclass(frozen=True)
class CloudHost:
    """A host that is paid for, or was."""

    id: str
    """Host, which is the id of the backend server on it."""
    request_id: str
    """Request that started it; empty when it was not started by one."""
    availability_zone: str
    """Availability zone."""
    host_class: str
    """Class of the host."""
    reclaimable: bool
    """Whether the platform may take it back."""
    service: str
    """Service that it is for; empty when the platform does not know."""
    state: str
    """`starting`, `running`, `noticed` or `gone`."""
    price_per_hour: float
    """Present price."""


@dataclass(frozen=True)
class CloudAnswer:
    """An answer of the cloud API."""

    status: int
    """HTTP status."""
    body: bytes
    """Body, of bounded size."""


class CloudClient:
    """Calls to the cloud API; each is tried once.

    Args:
        url: Start of its addresses, without a slash at the end.
    """

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")
        """Start of its addresses."""
        self.http = urllib3.PoolManager(maxsize=2, retries=False)
        """Connections."""

    def notices(self, after: int) -> Result[list[CloudNotice], StepError]:
        """Return the notices after a sequence number, in order."""
        step = "read notices"
        answer = self._get(step, f"/notices?after={after}")
        if answer.is_error():
            return Error(answer.error)
        found = answer.ok.get("notices")
        if not isinstance(found, list):
            return Error(RefusedError(step, self.url, "no list of notices"))
        notices = [_read_notice(each) for each in found]
        known = [notice for notice in notices if notice is not None]
        return Ok(sorted(known, key=lambda notice: notice.sequence))

    def offers(self) -> Result[list[CloudOffer], StepError]:
        """Return the hosts that can be asked for."""
        return self._list("read offers", "/offers", "offers", CloudOffer)

    def hosts(self) -> Result[list[CloudHost], StepError]:
        """Return the hosts that are or were paid for."""
        return self._list("read hosts", "/hosts", "hosts", CloudHost)

    def start(self, request: HostStart) -> Result[bool, StepError]:
        """Ask for a host; the same request id gives the same host.

        Returns:
            Whether it was granted; an `UnavailableError` when that is unknown.
        """
        body = {
            "request_id": request.request_id,
            "availability_zone": request.availability_zone,
            "host_class": request.host_class,
            "reclaimable": request.reclaimable,
            "service": request.service,
        }
        step = "start host"
        answer = self._send(step, "POST", "/hosts", orjson.dumps(body))
        if answer.is_error():
            return Error(answer.error)
        if answer.ok.status in GRANTED:
            return Ok(True)
        if 400 <= answer.ok.status < 500:
            return Ok(False)
        reason = f"status {answer.ok.status}"
        return Error(UnavailableError(step, self.url, reason))

    def give_back(self, host_id: str) -> Result[bool, StepError]:
        """Give a host back; False when the platform does not know it."""
        path = f"/hosts/{quote(host_id, safe='')}"
        answer = self._send("give host back", "DELETE", path, b"")
        return answer.map(lambda found: found.status == 200)

    def close(self) -> None:
        """Close the connections."""
        self.http.clear()

    def _list(
        self, step: str, path: str, name: str, kind: type[Item]
    ) -> Result[list[Item], StepError]:
        answer = self._get(step, path)
        if answer.is_error():
            return Error(answer.error)
        found = answer.ok.get(name)
        if not isinstance(found, list):
            return Error(RefusedError(step, self.url, f"no list of {name}"))
        items = [_read_item(each, kind) for each in found]
        return Ok([item for item in items if item is not None])

    def _get(self, step: str, path: str) -> Result[dict[str, Any], StepError]:
        answer = self._send(step, "GET", path, b"")
        if answer.is_error():
            return Error(answer.error)
        try:
            body = orjson.loads(answer.ok.body)
        except orjson.JSONDecodeError as error:
            return Error(UnavailableError(step, self.url, str(error)))
        if answer.ok.status != 200 or not isinstance(body, dict):
            return Error(RefusedError(step, self.url, f"status {answer.ok.status}"))
        return Ok(body)

    def _send(
        self, step: str, method: str, path: str, body: bytes
    ) -> Result[CloudAnswer, StepError]:
        headers = {"Content-Type": "application/json"}
        try:
            answer = self.http.request(
                method,
                self.url + path,
                body=body or None,
                headers=headers,
                timeout=TIMEOUT_S,
                redirect=False,
                preload_content=False,
            )
            data = answer.read(ANSWER_LIMIT_BYTES + 1)
            if len(data) > ANSWER_LIMIT_BYTES:
                answer.close()
            answer.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Error(UnavailableError(step, self.url, str(error)))
        if len(data) > ANSWER_LIMIT_BYTES:
            return Error(UnavailableError(step, self.url, "the answer is too large"))
        return Ok(CloudAnswer(answer.status, data))


def _read_item(found: object, kind: type[Item]) -> Item | None:
    """Return an entry of a list, or None when it makes no sense."""
    if not isinstance(found, dict):
        return None
    values = {}
    for field in dataclasses.fields(kind):  # type: ignore[arg-type]
        value = found.get(field.name)
        wanted = {"str": str, "bool": bool, "float": int | float}[str(field.type)]
        if not isinstance(value, wanted):
            return None
        values[field.name] = value
    return kind(**values)


def _read_notice(found: object) -> CloudNotice | None:
    """Return a notice, or None when it makes no sense."""
    if not isinstance(found, dict):
        return None
    sequence, ends_in_ms = found.get("sequence"), found.get("ends_in_ms")
    host_id, zone = found.get("host_id"), found.get("availability_zone", "")
    if not isinstance(sequence, int) or not isinstance(ends_in_ms, int | float):
        return None
    if not isinstance(host_id, str) or not host_id or not isinstance(zone, str):
        return None
    return CloudNotice(sequence, host_id, zone, max(0, int(ends_in_ms)))
