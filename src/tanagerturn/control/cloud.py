"""Client of the platform's cloud API; see docs/PROTOCOLS.md."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import orjson
import urllib3
from expression import Error, Ok, Result

from tanagerturn.coordination.errors import RefusedError, StepError, UnavailableError

TIMEOUT_S: Final = 2.0
ANSWER_LIMIT_BYTES: Final = 4 * 1024 * 1024


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

    def close(self) -> None:
        """Close the connections."""
        self.http.clear()

    def _get(self, step: str, path: str) -> Result[dict[str, Any], StepError]:
        try:
            answer = self.http.request(
                "GET", self.url + path, timeout=TIMEOUT_S, redirect=False
            )
            body = orjson.loads(answer.data[:ANSWER_LIMIT_BYTES])
        except (urllib3.exceptions.HTTPError, orjson.JSONDecodeError) as error:
            return Error(UnavailableError(step, self.url, str(error)))
        if answer.status != 200 or not isinstance(body, dict):
            return Error(RefusedError(step, self.url, f"status {answer.status}"))
        return Ok(body)


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
