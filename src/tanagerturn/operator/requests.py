"""`tanager request`: requests by state, and those whose outcome is unknown."""

from __future__ import annotations

import dataclasses
import getpass
from typing import IO

import click

from tanagerturn.clocks import wall_ms
from tanagerturn.coordination.groups import REQUESTS_GROUP
from tanagerturn.coordination.ids import ProcessId
from tanagerturn.operator.session import Session
from tanagerturn.schema.serving_pb2 import Answer, Header
from tanagerturn.serving.requests.ledger import RequestLedger
from tanagerturn.serving.requests.operations import (
    list_requests,
    parse_state,
    resolve_request,
    show_request,
)

pass_session = click.make_pass_decorator(Session)


@click.group()
def request() -> None:
    """Look at durable requests and settle those whose outcome is unknown."""


@request.command("list")
@click.option("--state", default="", help="For example outcome_unknown.")
@click.option("--after", default="", help="Key that the page before ended with.")
@click.option("--limit", default=200, help="Requests to look at.")
@pass_session
def list_(session: Session, state: str, after: str, limit: int) -> None:
    """List requests, a page at a time."""
    wanted = session.expect(parse_state(state)) if state else None
    page = session.expect(list_requests(_ledger(session), wanted, after, limit))
    session.output.show([dataclasses.asdict(found) for found in page.requests])
    if page.next_key:
        click.echo(f"more: --after {page.next_key}", err=True)


@request.command()
@click.argument("account")
@click.argument("key")
@pass_session
def show(session: Session, account: str, key: str) -> None:
    """Show the record of the request KEY of the client account ACCOUNT."""
    session.output.show_value(
        session.expect(show_request(_ledger(session), account, key))
    )


@request.command()
@click.argument("account")
@click.argument("key")
@click.option("--not-run", is_flag=True, help="The request did not run.")
@click.option("--status", type=click.IntRange(200, 599), help="Status if it ran.")
@click.option("--body", type=click.File("rb"), help="File with its answer.")
@click.option("--content-type", default="application/json")
@click.option("--operator", default=getpass.getuser, help="Who settles it.")
@pass_session
def resolve(
    session: Session,
    account: str,
    key: str,
    not_run: bool,
    status: int | None,
    body: IO[bytes] | None,
    content_type: str,
    operator: str,
) -> None:
    """Settle a request whose outcome is unknown, by what the service's books say."""
    if not_run == (status is not None):
        raise click.UsageError("give either --not-run or --status")
    answer = None
    if status is not None:
        data = body.read() if body is not None else b""
        headers = [Header(name="Content-Type", value=content_type)]
        answer = Answer(status=status, headers=headers, body=data)
    now_ms = wall_ms()
    resolved = resolve_request(_ledger(session), account, key, operator, answer, now_ms)
    session.output.show_value(session.expect(resolved))


def _ledger(session: Session) -> RequestLedger:
    owner = ProcessId("operator")
    return RequestLedger(session.client, REQUESTS_GROUP, owner, session.timeout_s)
