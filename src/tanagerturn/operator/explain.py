"""`tanager explain`: the way of one request through the logs of many processes."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import click
import orjson

from tanagerturn.gateway.log_events import COMMON_FIELDS, EVENTS

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

Line = dict[str, Any]

ENDS: Final = frozenset(
    (
        "answered",
        "broken_off",
        "caller_left",
        "failed_by_backend",
        "refused",
        "refused_at_once",
    )
)
"""Events that end a request."""

NEAR_S: Final = 3.0
"""Time before a request's end in which changes may explain it."""

CHANGES: Final = frozenset(
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
"""Events that may explain what happened to a request."""

ADVICE: Final[dict[str, str]] = {
    "answered": "The caller got its answer; look at expected_s against first_event_s.",
    "failed_by_backend": "Look at the backend server's own log for the request id.",
    "refused": "Look at the cause; for a full or late engine at `backends_ordered`.",
    "refused_at_once": "Look at the client account's limit and keys, and the routes.",
    "broken_off": "Look at the backend server: did it end, and was it told before?",
    "caller_left": "Look at how long the caller waited, and whether events came.",
    "": "No end is logged: the process may have been killed; look at `started`.",
}
"""What to look at next, by the event that ended the request."""


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.Path(exists=True, dir_okay=False))
def explain(request_id: str, files: tuple[str, ...]) -> None:
    """Print the way of a request from log FILES, or from standard input."""
    lines = list(read_lines(_sources(files)))
    text = explanation(request_id, lines)
    if text is None:
        raise click.ClickException(f"no line of {len(lines)} names {request_id}")
    click.echo(text)


def read_lines(sources: Iterable[Iterable[str]]) -> Iterator[Line]:
    """Yield the structured lines; text before a line's JSON is skipped."""
    for source in sources:
        for raw in source:
            start = raw.find("{")
            if start < 0:
                continue
            try:
                line = orjson.loads(raw[start:])
            except orjson.JSONDecodeError:
                # Lines of other programs, or cut ones, say nothing here.
                continue
            if isinstance(line, dict) and "event" in line and "at" in line:
                yield line


def explanation(request_id: str, lines: Iterable[Line]) -> str | None:
    """Return the way of a request with its cause; None when nothing names it."""
    ordered = sorted(lines, key=lambda line: line["at"])
    own = [line for line in ordered if line.get("request") == request_id]
    if not own:
        return None
    told = [_described(line, own[0]["at"]) for line in own]
    end = next((line for line in own if line["event"] in ENDS), None)
    near = _near(ordered, own, own[-1]["at"])
    told += ["", _cause(end)]
    timing = _timing(own, end) if end else ""
    if timing:
        told.append(timing)
    if near:
        told += ["", "Changes shortly before, by each process's own clock:"]
        told += [_described(line, own[0]["at"]) for line in near]
    told += ["", f"Next: {ADVICE[end['event'] if end else '']}"]
    return "\n".join(told)


def _sources(files: tuple[str, ...]) -> Iterator[Iterable[str]]:
    if not files:
        yield sys.stdin
    for name in files:
        yield Path(name).read_text(encoding="utf-8", errors="replace").splitlines()


def _near(ordered: list[Line], own: list[Line], end_s: float) -> list[Line]:
    processes = {line["process"] for line in own}
    backends = {b for line in own for b in _backends(line)}
    return [
        line
        for line in ordered
        if line["event"] in CHANGES
        and 0 <= end_s - line["at"] <= NEAR_S
        and (line["process"] in processes or line.get("backend") in backends)
    ]


def _backends(line: Line) -> list[str]:
    return [
        *line.get("backends", ()),
        *([line["backend"]] if "backend" in line else []),
    ]


def _cause(end: Line | None) -> str:
    if end is None:
        return "Cause: not logged; the request has no end here."
    meaning = EVENTS.get(end["event"], end["event"])
    reason = end.get("cause") or "none was logged"
    status = f" Status {end['status']}." if "status" in end else ""
    return f"Cause: {meaning}{status} Reason: {reason}."


def _timing(own: list[Line], end: Line) -> str:
    """Return which part of a request's time was longest, as far as it was measured."""
    taken_s = end.get("taken_s")
    if taken_s is None:
        return ""
    held_s, expected_s = end.get("held_s", 0.0), end.get("expected_s", 0.0)
    sent = [line for line in own if line["event"] == "sent"]
    if not sent:
        return f"Time: not sent; the first event was expected after {expected_s:.2f} s."
    if end["event"] != "answered":
        waited_s = end["at"] - sent[-1]["at"]
        return (
            f"Time: {taken_s:.2f} s in all, {waited_s:.2f} s of it after the last of "
            f"{len(sent)} sendings, to {sent[-1].get('backend')}, where the first "
            f"event was expected after {expected_s:.2f} s."
        )
    first_s = end.get("first_event_s") or taken_s
    parts = {
        "it waited here before it was sent": held_s,
        "the backend server was expected to need so long": expected_s,
        "the backend server needed longer than expected": first_s - held_s - expected_s,
        "the caller waited within the stream": end.get("longest_pause_s", 0.0),
        "the answer was held on its way to the caller": end.get("passed_on_s", 0.0),
    }
    if len(sent) > 1:
        parts[f"{len(sent) - 1} earlier sendings failed"] = (
            sent[-1]["at"] - sent[0]["at"]
        )
    part, time_s = max(parts.items(), key=lambda each: each[1])
    return (
        f"Time: {taken_s:.2f} s in all, the first event after {first_s:.2f} s. "
        f"Longest part: {part}, {time_s:.2f} s."
    )


def _described(line: Line, start_s: float) -> str:
    shown = {
        name: value
        for name, value in line.items()
        if name not in COMMON_FIELDS and name != "request" and value not in ("", None)
    }
    fields = " ".join(f"{name}={value}" for name, value in shown.items())
    return (
        f"{line['at'] - start_s:+9.3f} s  {line['process']}  {line['event']}  {fields}"
    )
