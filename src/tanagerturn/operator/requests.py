"""`tanager request`: list, show and resolve stored requests."""

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
    """Show stored requests, and resolve requests whose outcome is unknown."""


@request.command("list")
@click.option(
    "--state",
    default="",
    help="List only requests in this state, such as outcome_unknown.",
)
@click.option(
    "--after",
    default="",
    help="Key after which the page starts, as the previous page printed it.",
)
@click.option("--limit", default=200, help="Number of keys to scan for a page.")
@pass_session
def list_page(session: Session, state: str, after: str, limit: int) -> None:
    """List one page of the stored requests."""
    state_filter = session.unwrap_or_exit(parse_state(state)) if state else None
    page = session.unwrap_or_exit(
        list_requests(_make_ledger(session), state_filter, after, limit)
    )
    session.output.print_rows(
        [dataclasses.asdict(summary) for summary in page.requests]
    )
    if page.next_key:
        click.echo(f"more: --after {page.next_key}", err=True)


@request.command()
@click.argument("account")
@click.argument("key")
@pass_session
def show(session: Session, account: str, key: str) -> None:
    """Show the record of a request.

    ACCOUNT is the client account and KEY the idempotency key of the request.
    """
    session.output.print_value(
        session.unwrap_or_exit(show_request(_make_ledger(session), account, key))
    )


@request.command()
@click.argument("account")
@click.argument("key")
@click.option(
    "--not-run", is_flag=True, help="The service did not execute the request."
)
@click.option(
    "--status",
    type=click.IntRange(200, 599),
    help="Status of the response if the service executed it.",
)
@click.option(
    "--body",
    type=click.File("rb"),
    help="File with the body of the response; default: an empty body.",
)
@click.option("--content-type", default="application/json")
@click.option(
    "--operator",
    default=getpass.getuser,
    help="Name to store as the operator who resolves the request.",
)
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
    """Resolve a request whose outcome is unknown.

    Look up in the service's own records whether it executed the request, then give
    --not-run, or --status and --body with the response that callers get from now on.
    ACCOUNT is the client account and KEY the idempotency key of the request.
    """
    if not_run == (status is not None):
        raise click.UsageError("give exactly one of --not-run and --status")
    answer = None
    if status is not None:
        data = body.read() if body is not None else b""
        headers = [Header(name="Content-Type", value=content_type)]
        answer = Answer(status=status, headers=headers, body=data)
    now_ms = wall_ms()
    result = resolve_request(
        _make_ledger(session), account, key, operator, answer, now_ms
    )
    session.output.print_value(session.unwrap_or_exit(result))


def _make_ledger(session: Session) -> RequestLedger:
    owner = ProcessId("operator")
    return RequestLedger(session.client, REQUESTS_GROUP, owner, session.timeout_s)
