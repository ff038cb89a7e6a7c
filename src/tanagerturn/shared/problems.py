"""Problem details (RFC 9457): HTTP bodies of error responses to callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import orjson

PROBLEM_CONTENT_TYPE: Final = "application/problem+json"
NOT_RUN: Final = "not_run"
OUTCOME_UNKNOWN: Final = "outcome_unknown"


class ProblemError(Exception):
    """Ends a request with an error response that holds problem details.

    Args:
        status: HTTP status of the response.
        title: Short summary of the kind of problem.
        detail: Explanation of the problem of this request.
        outcome: `not_run` when the request did not run and never will,
            `outcome_unknown` when it may have run or may still run.
        step: Processing step at which the request failed.
        retry_after_s: Delay in seconds after which the caller may retry; None sends
            no Retry-After header.
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
        """HTTP status of the response."""
        self.title = title
        """Short summary of the kind of problem."""
        self.detail = detail
        """Explanation of the problem of this request."""
        self.outcome = outcome
        """`not_run` or `outcome_unknown`; see the argument."""
        self.step = step
        """Processing step at which the request failed."""
        self.retry_after_s = retry_after_s
        """Delay in seconds after which the caller may retry; None for no header."""


@dataclass(frozen=True)
class ProblemResponse:
    """An error response with problem details."""

    status: int
    """HTTP status."""
    headers: list[tuple[str, str]]
    """Response headers as pairs of name and value."""
    body: bytes
    """Problem details as JSON in UTF-8."""


def make_problem_response(error: ProblemError, request_id: str) -> ProblemResponse:
    """Return the error response of a request.

    Args:
        error: Error that ended the request.
        request_id: Id of the request, sent in the body and in X-Request-Id; empty
            for a request without an id.
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
        ("Content-Type", PROBLEM_CONTENT_TYPE),
        ("Content-Length", str(len(body))),
        ("X-Request-Id", request_id),
    ]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    return ProblemResponse(error.status, headers, body)
