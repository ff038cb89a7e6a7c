"""Writes the settings and metrics references from the schema and the code."""

from __future__ import annotations

import importlib
import re
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from google.protobuf.descriptor import FieldDescriptor
from prometheus_client import REGISTRY

from tanagerturn.entry.metrics import make_entry_metrics
from tanagerturn.gateway.log_events import COMMON_FIELDS, EVENTS
from tanagerturn.gateway.metrics import make_gateway_metrics
from tanagerturn.schema import settings_pb2
from tanagerturn.settings._decoder import enum_values_by_name, field_constraints

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client import CollectorRegistry

SCHEMA: Final = Path("schema/tanagerturn/schema/settings.proto")
TOPS: Final = ("ProcessSettings", "DeploymentSettings")


def main() -> None:
    """Write both pages into the folder given as first argument."""
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    settings_page = make_settings_page(SCHEMA.read_text(encoding="utf-8"))
    (folder / "settings.md").write_text(settings_page, encoding="utf-8")
    # The metrics of state members are made when their module is loaded.
    importlib.import_module("tanagerturn.state.metrics")
    registries = {
        "tanager-entry": make_entry_metrics().registry,
        "tanager-state": REGISTRY,
        "tanager-gateway": make_gateway_metrics().registry,
    }
    (folder / "log-events.md").write_text(make_events_page(), encoding="utf-8")
    (folder / "metrics.md").write_text(make_metrics_page(registries), encoding="utf-8")


def make_settings_page(schema: str) -> str:
    """Return the settings reference as Markdown.

    Args:
        schema: Text of the schema's source, for its comments.
    """
    comments = read_comments(schema)
    lines = ["# Settings reference", "", "Made by `bin/reference`.", ""]
    done: set[str] = set()
    for top in TOPS:
        lines += _message_lines(settings_pb2, top, comments, done)
    return "\n".join(lines) + "\n"


def make_metrics_page(registries: dict[str, CollectorRegistry]) -> str:
    """Return the metrics reference as Markdown.

    Args:
        registries: Program name to its registry.
    """
    lines = ["# Metrics reference", "", "Made by `bin/reference`.", ""]
    for program, registry in registries.items():
        lines += [
            f"## {program}",
            "",
            "| Metric | Type | Meaning |",
            "| --- | --- | --- |",
        ]
        lines += [
            f"| `{metric.name}` | {metric.type} | {metric.documentation} |"
            for metric in registry.collect()
            if metric.name.startswith("tanager")
        ]
        lines.append("")
    return "\n".join(lines)


def make_events_page() -> str:
    """Return the reference of a gateway's log events as Markdown."""
    common = ", ".join(f"`{name}`" for name in COMMON_FIELDS)
    lines = [
        "# Log events of a gateway",
        "",
        "Made by `bin/reference`.",
        "",
        f"Each line is one JSON object with {common}, and the event's own fields.",
        "Lines of the coordination library hold a sentence in place of an event.",
        "",
        "| Event | Meaning |",
        "| --- | --- |",
    ]
    lines += [f"| `{event}` | {meaning} |" for event, meaning in EVENTS.items()]
    return "\n".join(lines) + "\n"


def read_comments(schema: str) -> dict[tuple[str, str], str]:
    """Return the comments above messages and fields of a schema.

    Args:
        schema: Text of the schema's source.

    Returns:
        Message and field name (empty for the message itself) to its comment.
    """
    comments: dict[tuple[str, str], str] = {}
    message = ""
    pending: list[str] = []
    for raw in schema.splitlines():
        line = raw.strip()
        if line.startswith("//"):
            pending.append(line.lstrip("/ "))
            continue
        start = re.match(r"message (\w+)", line)
        field = re.match(r"(?:repeated )?[\w.]+ (\w+) = \d+", line)
        if start:
            message = start[1]
            comments[message, ""] = " ".join(pending)
        elif field:
            comments[message, field[1]] = " ".join(pending)
        pending = []
    return comments


def _message_lines(
    module: Any, name: str, comments: dict[tuple[str, str], str], done: set[str]
) -> Iterator[str]:
    if name in done:
        return
    done.add(name)
    descriptor = module.DESCRIPTOR.message_types_by_name[name]
    yield f"## {name}"
    yield ""
    yield comments.get((name, ""), "")
    yield ""
    yield "| Key | Type | Allowed | Default | Meaning |"
    yield "| --- | --- | --- | --- | --- |"
    nested = []
    for field in descriptor.fields:
        kind = field.message_type.name if field.message_type else _kind(field)
        if field.message_type:
            nested.append(kind)
        listed = "list of " if field.is_repeated else ""
        allowed = field_constraints(field)
        default = "required" if allowed.required else allowed.default.lower()
        yield (
            f"| `{field.name}` | {listed}{kind} | {_range(field)} | {default} "
            f"| {comments.get((name, field.name), '')} |"
        )
    yield ""
    for kind in nested:
        yield from _message_lines(module, kind, comments, done)


def _kind(field: Any) -> str:
    if field.type == FieldDescriptor.TYPE_ENUM:
        return "name"
    if field.type == FieldDescriptor.TYPE_STRING:
        return "text"
    if field.type == FieldDescriptor.TYPE_BOOL:
        return "true or false"
    return "number" if field.type == FieldDescriptor.TYPE_DOUBLE else "whole number"


def _range(field: Any) -> str:
    allowed = field_constraints(field)
    if field.type == FieldDescriptor.TYPE_ENUM:
        return ", ".join(enum_values_by_name(field.enum_type))
    if allowed.pattern:
        return f"`{allowed.pattern}`".replace("|", "\\|")
    low = f"from {allowed.min:g} " if allowed.HasField("min") else ""
    high = f"to {allowed.max:g} " if allowed.HasField("max") else ""
    return f"{low}{high}{allowed.unit}".strip()


if __name__ == "__main__":
    main()
