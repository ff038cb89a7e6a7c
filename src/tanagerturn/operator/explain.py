"""`tanager explain`: what the logs of all processes say about one request."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import click
import orjson

from tanagerturn.gateway.log_events import COMMON_FIELDS, EVENTS

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

LogLine = dict[str, Any]
"""Decoded JSON of a log line: value of each field by its name."""

END_EVENTS: Final = frozenset(
    (
        "answered",
        "broken_off",
        "caller_left",
        "failed_by_backend",
        "refused",
        "refused_at_once",
    )
)
"""Names of the events that end a request."""

CHANGE_WINDOW_S: Final = 3.0
"""Time before the last log line of a request in which change events are shown, in
seconds."""

CHANGE_EVENTS: Final = frozenset(
    (
        "backend_announced",
        "backend_withdrawn",
        "configuration_in_force",
        "gateway_changed",
        "limit_owner_silent",
        "stopping",
        "started",
    )
)
"""Names of the events that may be the cause of a request's outcome."""

NEXT_STEPS: Final[dict[str, str]] = {
    "answered": "The answer is complete; compare expected_s with first_event_s.",
    "failed_by_backend": "Search the backend server's own log for the request id.",
    "refused": "Check the cause; for a full or late engine, see `backends_ordered`.",
    "refused_at_once": "Check the client account's limits and keys, and the routes.",
    "broken_off": "Check whether the backend server stopped, and had announced it.",
    "caller_left": "Check how long the caller waited, and whether it received events.",
    "": "No outcome is logged: the process may have crashed; see `started`.",
}
"""Advice for the operator by the event that ended the request; the empty key is for a
request without such an event."""


DELIMITERS: Final[dict[str, str]] = {
    "length": "its length was stated",
    "chunked": "in chunks",
    "close": (
        "by the close of its connection, which looks the same when the backend server "
        "stops in the middle"
    ),
}
"""How a response was delimited, by the field `framing`."""

MOVE_STATES: Final[dict[str, str]] = {
    "none": "it had not been ordered to move",
    "pending": "it had been ordered to move, without an answer until then",
    "moved": "its backend server had stopped and copied it",
    "failed": "an order to move it had failed, which may have stopped it",
    "unknown_run": "its backend server no longer ran it when ordered to move it",
}
"""State of the migration when a stream ended, by the field `move`."""

PROOFS: Final[dict[str, str]] = {
    "count": "the number of events, which allows no further one",
    "report": "the backend server's report, which lists its requests",
    "connection": "a new connection to the backend server",
    "move": "the answer to the order to move it",
}
"""What shows, or had to show, that a response is complete, by the field `proof`."""

STREAM_ENDS: Final[dict[str, str]] = {
    "answered": "counted as its complete end",
    "attempt_broke": "counted as a failure",
    "broken_off": "the caller's response was broken off",
}
"""What the gateway took the end of a stream for, by the event."""


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.Path(exists=True, dir_okay=False))
def explain(request_id: str, files: tuple[str, ...]) -> None:
    """Explain the outcome of a request from logs.

    Reads the log FILES, or standard input if no FILES are given.
    """
    lines = list(parse_lines(_read_sources(files)))
    report = format_report(request_id, lines)
    if report is None:
        raise click.ClickException(
            f"request {request_id} is in none of the {len(lines)} log lines"
        )
    click.echo(report)


def parse_lines(sources: Iterable[Iterable[str]]) -> Iterator[LogLine]:
    """Yield the decoded log lines of all sources; lines without an event are skipped.

    Text before the JSON of a line, such as a prefix that a log collector added, is
    ignored.
    """
    for source in sources:
        for raw_line in source:
            start = raw_line.find("{")
            if start < 0:
                continue
            try:
                line = orjson.loads(raw_line[start:])
            except orjson.JSONDecodeError:
                # The line was truncated or comes from another program.
                continue
            if isinstance(line, dict) and "event" in line and "at" in line:
                yield line


def format_report(request_id: str, lines: Iterable[LogLine]) -> str | None:
    """Return a report on a request; None if no line has the request id.

    The report lists the lines of the request in order of time, the cause and timing of
    its outcome, the changes shortly before the last line, and what to check next.
    """
    ordered = sorted(lines, key=lambda line: line["at"])
    request_lines = [line for line in ordered if line.get("request") == request_id]
    if not request_lines:
        return None
    report = [_format_line(line, request_lines[0]["at"]) for line in request_lines]
    end = next((line for line in request_lines if line["event"] in END_EVENTS), None)
    changes = _recent_changes(ordered, request_lines, request_lines[-1]["at"])
    report += ["", _describe_cause(end)]
    report += _describe_stream_ends(request_lines)
    timing = _describe_timing(request_lines, end) if end else ""
    if timing:
        report.append(timing)
    if changes:
        report += ["", "Changes shortly before, by the clock of each process:"]
        report += [_format_line(line, request_lines[0]["at"]) for line in changes]
    report += ["", f"Next: {NEXT_STEPS[end['event'] if end else '']}"]
    return "\n".join(report)


def _read_sources(files: tuple[str, ...]) -> Iterator[Iterable[str]]:
    if not files:
        yield sys.stdin
    for name in files:
        yield Path(name).read_text(encoding="utf-8", errors="replace").splitlines()


def _recent_changes(
    ordered: list[LogLine], request_lines: list[LogLine], end_s: float
) -> list[LogLine]:
    """Return the change events of the request's processes and backend servers."""
    processes = {line["process"] for line in request_lines}
    backends = {id_ for line in request_lines for id_ in _backend_ids(line)}
    return [
        line
        for line in ordered
        if line["event"] in CHANGE_EVENTS
        and 0 <= end_s - line["at"] <= CHANGE_WINDOW_S
        and (line["process"] in processes or line.get("backend") in backends)
    ]


def _backend_ids(line: LogLine) -> list[str]:
    return [
        *line.get("backends", ()),
        *([line["backend"]] if "backend" in line else []),
    ]


def _describe_cause(end: LogLine | None) -> str:
    if end is None:
        return "Cause: not logged; no line gives the outcome of the request."
    meaning = EVENTS.get(end["event"], end["event"])
    reason = end.get("cause") or "not logged"
    status = f" Status {end['status']}." if "status" in end else ""
    return f"Cause: {meaning}{status} Reason: {reason}."


def _describe_stream_ends(request_lines: list[LogLine]) -> list[str]:
    """Return for each attempt at a stream a sentence on what decided its end.

    Streams that no one ordered to move are described only if their end may also be the
    stop of the backend server.

    Args:
        request_lines: All lines of the request, in order of time.
    """
    sentences = []
    for line in request_lines:
        framing, move = line.get("framing"), line.get("move", "none")
        if line["event"] not in STREAM_ENDS or not framing:
            continue
        if framing != "close" and move == "none":
            continue
        backend = line.get("backend") or _last_backend(request_lines, line)
        sentence = (
            f"Stream end at {backend}: delimited {DELIMITERS.get(framing, framing)}; "
            f"{MOVE_STATES.get(move, move)}; {STREAM_ENDS[line['event']]} after event "
            f"{line.get('last_event', line.get('events'))}"
        )
        if line.get("cause") and line["event"] != "answered":
            sentence += f", since {line['cause']}"
        check = _last_check(request_lines, backend, line["at"])
        if check is not None:
            sentence += f"; {_describe_check(check)}"
        order = _move_from(request_lines, backend)
        if order is not None:
            after_s = order["at"] - line["at"]
            relation = "before" if after_s < 0 else "after"
            sentence += (
                f". The order to move it to {order['target']} got "
                f'"{order["outcome"]}" {abs(after_s):.3f} s {relation} that'
            )
        sentences.append(f"{sentence}.")
    return sentences


def _last_check(
    request_lines: list[LogLine], backend: str, end_s: float
) -> LogLine | None:
    """Return the line on the check of a stream's end at a backend server, if any."""
    checks = [
        line
        for line in request_lines
        if line["event"] == "end_checked"
        and line["backend"] == backend
        and line["at"] <= end_s
    ]
    return checks[-1] if checks else None


def _describe_check(check: LogLine) -> str:
    proof = check["proof"]
    if proof == "none":
        return "nothing can show that it is complete"
    if check["complete"]:
        return f"shown by {PROOFS.get(proof, proof)}"
    return f"{PROOFS.get(proof, proof)} did not show that it is complete"


def _last_backend(request_lines: list[LogLine], end: LogLine) -> str:
    """Return the backend server of the last attempt before the end of a request."""
    backends = [
        line["backend"]
        for line in request_lines
        if line["event"] == "sent"
        and line["process"] == end["process"]
        and line["at"] <= end["at"]
    ]
    return backends[-1] if backends else "an unknown backend server"


def _move_from(request_lines: list[LogLine], backend: str) -> LogLine | None:
    """Return the line on the order to move a stream from a backend server, if any."""
    moves = (line for line in request_lines if line["event"] == "moved")
    return next((line for line in moves if line.get("source") == backend), None)


def _describe_timing(request_lines: list[LogLine], end: LogLine) -> str:
    """Return the time that a request took, and the longest part of that time.

    Args:
        request_lines: All lines of the request, in order of time.
        end: Line of the event that ended the request.

    Returns:
        A sentence, or an empty string if the time was not logged.
    """
    taken_s = end.get("taken_s")
    if taken_s is None:
        return ""
    held_s, expected_s = end.get("held_s", 0.0), end.get("expected_s", 0.0)
    attempts = [line for line in request_lines if line["event"] == "sent"]
    if not attempts:
        return f"Time: not sent; the first event was expected after {expected_s:.2f} s."
    if end["event"] != "answered":
        waited_s = end["at"] - attempts[-1]["at"]
        return (
            f"Time: {taken_s:.2f} s in total, {waited_s:.2f} s of it after the start "
            f"of the last of {len(attempts)} attempts, at "
            f"{attempts[-1].get('backend')}, where the first event was expected after "
            f"{expected_s:.2f} s."
        )
    first_s = end.get("first_event_s") or taken_s
    durations_s = {
        "the request waited in the gateway before it was sent": held_s,
        "the expected time to the first event of the backend server": expected_s,
        "the delay of the first event beyond the expected time": first_s
        - held_s
        - expected_s,
        "the longest pause between events of the stream": end.get(
            "longest_pause_s", 0.0
        ),
        "the delay of bytes in the gateway on their way to the caller": end.get(
            "passed_on_s", 0.0
        ),
    }
    if len(attempts) > 1:
        durations_s[f"the time of {len(attempts) - 1} failed earlier attempts"] = (
            attempts[-1]["at"] - attempts[0]["at"]
        )
    part, time_s = max(durations_s.items(), key=lambda item: item[1])
    return (
        f"Time: {taken_s:.2f} s in total, the first event after {first_s:.2f} s. "
        f"Longest part: {part}, {time_s:.2f} s."
    )


def _format_line(line: LogLine, start_s: float) -> str:
    """Return a line with its time relative to `start_s` and its non-empty fields."""
    shown_fields = {
        name: value
        for name, value in line.items()
        if name not in COMMON_FIELDS and name != "request" and value not in ("", None)
    }
    fields = " ".join(f"{name}={value}" for name, value in shown_fields.items())
    return (
        f"{line['at'] - start_s:+9.3f} s  {line['process']}  {line['event']}  {fields}"
    )
