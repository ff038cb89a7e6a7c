"""`tanager preview`: where a gateway would send a given request now, and why."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final
from urllib.parse import urlencode

import click

from tanagerturn.gateway.callers.preview import PATH
from tanagerturn.operator.output import format_rows

if TYPE_CHECKING:
    from tanagerturn.operator.session import Session

COLUMNS: Final = (
    "id",
    "excluded_by",
    "running",
    "slots",
    "prompt_tokens",
    "cached_tokens",
    "pace",
    "first_event_s",
    "peer_digest_age_s",
    "heard_ago_s",
)
"""Figures of a candidate that the text shows; JSON has all."""


@click.command()
@click.argument("gateway")
@click.option("--host", required=True, help="Host name of the request.")
@click.option("--path", required=True, help="Path of the request.")
@click.option("--account", default="", help="Name of the client account.")
@click.option("--prompt-tokens", type=int, help="Prompt tokens of a generation.")
@click.option("--output-tokens", type=int, help="Output tokens of a generation.")
@click.option("--parts", default="", help="Prompt parts, ID:TOKENS,ID:TOKENS.")
@click.option("--timeout-s", type=float, help="Time for which the caller waits.")
@click.pass_obj
def preview(session: Session, /, gateway: str, **options: object) -> None:
    """Explain where a request would go now, without sending it.

    GATEWAY is the address of a gateway's metrics listener, IP:PORT.
    """
    query = {name: value for name, value in options.items() if value not in (None, "")}
    explained = session.request_json(gateway, f"{PATH}?{urlencode(query)}")
    if session.output.format == "json":
        session.output.print_value(explained)
        return
    click.echo(format_preview(explained))


def format_preview(explained: dict[str, Any]) -> str:
    """Return a preview as text."""
    lines = [
        f"gateway {explained['gateway']}, configuration {explained['configuration']}"
    ]
    if "route" in explained:
        lines.append("route " + _format_fields(explained["route"]))
    if "account" in explained:
        lines.append("account " + _format_fields(explained["account"]))
    if "verdict" in explained:
        lines.append(f"{explained['verdict']}: {explained['reason']}")
    for service in explained.get("services", ()):
        target = f" to {service['backend']}" if "backend" in service else ""
        lines += [
            "",
            f"service {service['service']} (share {service['share']}), priority"
            f" {service['priority']}: {service['verdict']}{target},"
            f" {service['reason']}",
            "capacity " + _format_fields(service["capacity"]),
            format_rows(
                [{name: c[name] for name in COLUMNS} for c in service["candidates"]]
            ),
        ]
    return "\n".join(lines)


def _format_fields(fields: dict[str, Any]) -> str:
    return " ".join(f"{name}={value}" for name, value in fields.items())
