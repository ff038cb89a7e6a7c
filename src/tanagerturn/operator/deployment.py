"""`tanager service` and `tanager account`: entries of the settings in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click

from tanagerturn.coordination.settings_history import file_contents
from tanagerturn.operator.session import ExitCode, Session, fail
from tanagerturn.schema.serving_pb2 import CallKind, Priority
from tanagerturn.schema.settings_pb2 import ServiceType
from tanagerturn.security import hash_key
from tanagerturn.settings import merge_sites

if TYPE_CHECKING:
    from tanagerturn.schema.settings_pb2 import DeploymentSettings

pass_session = click.make_pass_decorator(Session)


@click.group()
def service() -> None:
    """Show the services of a site."""


@service.command("list")
@click.option("--site", required=True)
@pass_session
def list_services(session: Session, site: str) -> None:
    """List the services of a site with their calls or models."""
    rows: list[dict[str, Any]] = []
    for service in _site_settings(session, site).services:
        calls = [
            f"{call.name}:{CallKind.Name(call.kind).lower()}" for call in service.calls
        ]
        models = [f"{model.model}@{model.version}" for model in service.models]
        rows.append(
            {
                "service": service.name,
                "type": ServiceType.Name(service.type).lower(),
                "priority": Priority.Name(service.priority).lower(),
                "runs": calls + models,
                "hosts": f"{service.capacity.min_hosts}-{service.capacity.max_hosts}",
            }
        )
    session.output.print_rows(rows)


@click.group()
def account() -> None:
    """Show the client accounts of a site and hash their bearer keys."""


@account.command("list")
@click.option("--site", required=True)
@pass_session
def list_accounts(session: Session, site: str) -> None:
    """List the client accounts of a site with their limits."""
    rows = [
        {
            "account": account.name,
            "weight": account.weight,
            "requests_per_s": account.limits.requests_per_s,
            "concurrent_requests": account.limits.concurrent_requests,
            "tokens_per_s": account.limits.tokens_per_s,
            "services": list(account.services) or "all",
        }
        for account in _site_settings(session, site).client_accounts
    ]
    session.output.print_rows(rows)


@account.command("hash")
@click.password_option("--key", prompt="Bearer key", help="Bearer key to hash.")
def hash_account_key(key: str) -> None:
    """Print the salted hash of a bearer key, for `key_hashes` in the settings."""
    click.echo(hash_key(key))


def _site_settings(session: Session, site: str) -> DeploymentSettings:
    revision = session.unwrap_or_exit(session.settings_history.current())
    sites = merge_sites(file_contents(revision)) if revision.number else {}
    if site not in sites:
        fail(
            ExitCode.INVALID,
            f"site {site!r} does not exist in settings revision {revision.number}",
        )
    return sites[site].settings
