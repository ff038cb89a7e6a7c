"""`tanager service` and `tanager account`: what the settings in force name."""

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
    """Look at services."""


@service.command("list")
@click.option("--site", required=True)
@pass_session
def list_services(session: Session, site: str) -> None:
    """List the services of a site with their calls."""
    rows: list[dict[str, Any]] = []
    for found in _settings(session, site).services:
        calls = [f"{c.name}:{CallKind.Name(c.kind).lower()}" for c in found.calls]
        models = [f"{m.model}@{m.version}" for m in found.models]
        rows.append(
            {
                "service": found.name,
                "type": ServiceType.Name(found.type).lower(),
                "priority": Priority.Name(found.priority).lower(),
                "runs": calls + models,
                "hosts": f"{found.capacity.min_hosts}-{found.capacity.max_hosts}",
            }
        )
    session.output.show(rows)


@click.group()
def account() -> None:
    """Look at client accounts and hash their keys."""


@account.command("list")
@click.option("--site", required=True)
@pass_session
def list_accounts(session: Session, site: str) -> None:
    """List the client accounts of a site with their limits."""
    rows = [
        {
            "account": found.name,
            "weight": found.weight,
            "requests_per_s": found.limits.requests_per_s,
            "concurrent_requests": found.limits.concurrent_requests,
            "tokens_per_s": found.limits.tokens_per_s,
            "services": list(found.services) or "all",
        }
        for found in _settings(session, site).client_accounts
    ]
    session.output.show(rows)


@account.command("hash")
@click.password_option("--key", prompt="Bearer key", help="The key to hash.")
def hash_account_key(key: str) -> None:
    """Print the salted hash of a bearer key, for key_hashes."""
    click.echo(hash_key(key))


def _settings(session: Session, site: str) -> DeploymentSettings:
    revision = session.expect(session.history.current())
    sites = merge_sites(file_contents(revision)) if revision.number else {}
    if site not in sites:
        fail(ExitCode.INVALID, f"no site {site!r} in revision {revision.number}")
    return sites[site].settings
