"""Problem bodies (RFC 9457) for callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import orjson

PROBLEM_TYPE: Final = "application/problem+json"
NOT_RUN: Final = "not_run"
OUTCOME_UNKNOWN: Final = "outcome_unknown"


class ProblemError(Exception):
    """A request ends with a problem body.

    Args:
        status: HTTP status.
        title: Short summary of the kind of problem.
        detail: What happened with this request.
        outcome: `not_run` when the request did not run and never will,
            `outcome_unknown` when that is not known.
        step: Step at which it ended.
        retry_after_s: When to come back, in seconds; None for no advice.
    """

    def __init__(
        self,
        status: int,
        title: str,
        detail: str,
        outcome: str = NOT_RUN,
        step: str = "receive",
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{status} {title}: {detail}")
        self.status = status
        """HTTP status."""
        self.title = title
        """Short summary of the kind of problem."""
        self.detail = detail
        """What happened with this request."""
        self.outcome = outcome
        """`not_run` or `outcome_unknown`."""
        self.step = step
        """Step at which it ended."""
        self.retry_after_s = retry_after_s
        """When to come back, in seconds, or None."""


@dataclass(frozen=True)
class Problem:
    """A problem body with its headers."""

    status: int
    """HTTP status."""
    headers: list[tuple[str, str]]
    """Response headers."""
    body: bytes
    """JSON text."""


def make_problem(error: ProblemError, request_id: str) -> Problem:
    """Return the response of a problem.

    Args:
        error: The problem.
        request_id: Id of the request, repeated to the caller.
    """
    body = orjson.dumps(
        {
            "type": "about:blank",
            "title": error.title,
            "status": error.status,
            "detail": error.detail,
            "outcome": error.outcome,
            "step": error.step,
            "request_id": request_id,
        }
    )
    headers = [
        ("Content-Type", PROBLEM_TYPE),
        ("Content-Length", str(len(body))),
        ("X-Request-Id", request_id),
    ]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    return Problem(error.status, headers, body)
