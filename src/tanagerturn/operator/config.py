"""`tanager config`: check, apply, show, compare and roll back settings."""

from __future__ import annotations

import difflib
import getpass
import time
import uuid
from typing import TYPE_CHECKING, Any

import click
import yaml
from google.protobuf.json_format import MessageToDict

from tanagerturn.clocks import wall_ms
from tanagerturn.coordination.ids import ChangeId
from tanagerturn.coordination.settings_history import file_contents
from tanagerturn.observe.dumps import mask_secrets
from tanagerturn.operator.session import ExitCode, Session, fail
from tanagerturn.settings import SettingsError, merge_sites, read_folder

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.schema.coordination_pb2 import SettingsRevision

pass_session = click.make_pass_decorator(Session)


@click.group()
def config() -> None:
    """Check, change and show the deployment's settings."""


@config.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@pass_session
def check(session: Session, folder: str) -> None:
    """Validate the base file and the overlays in FOLDER without applying them."""
    sites = _merge_files(_read_files(folder))
    rows = [
        {
            "site": site.site,
            "services": len(site.settings.services),
            "client_accounts": len(site.settings.client_accounts),
        }
        for site in sites.values()
    ]
    session.output.print_rows(rows)


@config.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option(
    "--expected",
    type=int,
    help="Revision that the change is based on; default: the revision in force.",
)
@click.option(
    "--change-id", help="Id of the change; repeat it to retry; default: a new id."
)
@click.option("--author", default=getpass.getuser, help="Author of the change.")
@click.option("--note", default="", help="Reason for the change.")
@pass_session
def apply(
    session: Session,
    folder: str,
    expected: int | None,
    change_id: str | None,
    author: str,
    note: str,
) -> None:
    """Make the files in FOLDER the next revision.

    If no response arrives, run the command again with the same --change-id: the
    change is applied at most once.
    """
    files = _read_files(folder)
    if expected is None:
        expected = session.unwrap_or_exit(session.settings_history.current()).number
    change_id = change_id or uuid.uuid4().hex
    click.echo(f"change id {change_id}", err=True)
    result = session.settings_history.apply(
        files, expected, ChangeId(change_id), author, note, wall_ms(), _validate
    )
    _show_revision(session, session.unwrap_or_exit(result))


@config.command()
@click.argument("number", type=int)
@click.option(
    "--expected",
    type=int,
    help="Revision that the change is based on; default: the revision in force.",
)
@click.option(
    "--change-id", help="Id of the change; repeat it to retry; default: a new id."
)
@click.option("--author", default=getpass.getuser, help="Author of the change.")
@click.option("--note", default="", help="Reason for the change.")
@pass_session
def rollback(
    session: Session,
    number: int,
    expected: int | None,
    change_id: str | None,
    author: str,
    note: str,
) -> None:
    """Make the files of revision NUMBER the next revision."""
    if expected is None:
        expected = session.unwrap_or_exit(session.settings_history.current()).number
    change_id = change_id or uuid.uuid4().hex
    click.echo(f"change id {change_id}", err=True)
    result = session.settings_history.rollback(
        number, expected, ChangeId(change_id), author, note, wall_ms(), _validate
    )
    _show_revision(session, session.unwrap_or_exit(result))


@config.command()
@click.option("--site", required=True, help="Site whose settings are shown.")
@click.option("--folder", type=click.Path(exists=True, file_okay=False))
@click.option("--origins", is_flag=True, help="Show the file and line of each value.")
@pass_session
def show(session: Session, site: str, folder: str | None, origins: bool) -> None:
    """Show the merged settings of a site, in force or in --folder."""
    files = _read_files(folder) if folder else _current_files(session)
    sites = _merge_files(files)
    if site not in sites:
        fail(
            ExitCode.INVALID,
            f"site {site!r} does not exist; existing sites: {', '.join(sites)}",
        )
    merged = sites[site]
    if origins:
        rows = [
            {"value": key_path, "from": str(place)}
            for key_path, place in merged.origins.items()
        ]
        session.output.print_rows(rows)
        return
    settings = MessageToDict(
        mask_secrets(merged.settings), preserving_proto_field_name=True
    )
    if session.output.format == "json":
        session.output.print_value(settings)
        return
    click.echo(yaml.safe_dump(settings, sort_keys=False), nl=False)


@config.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@pass_session
def diff(session: Session, folder: str) -> None:
    """Show the differences from the settings in force to the files in FOLDER."""
    current = _current_files(session)
    new = _read_files(folder)
    for name in sorted(current.keys() | new.keys()):
        lines = difflib.unified_diff(
            current.get(name, "").splitlines(),
            new.get(name, "").splitlines(),
            f"in force/{name}",
            f"folder/{name}",
            lineterm="",
        )
        for line in lines:
            click.echo(line)


@config.command()
@click.option("--limit", default=20, help="Maximum number of revisions to list.")
@pass_session
def history(session: Session, limit: int) -> None:
    """List the accepted revisions, newest first."""
    revisions = session.unwrap_or_exit(session.settings_history.history(limit))
    session.output.print_rows([_revision_row(revision) for revision in revisions])


def _read_files(folder: str) -> dict[str, str]:
    try:
        return read_folder(folder)
    except SettingsError as error:
        fail(ExitCode.INVALID, str(error))


def _merge_files(files: Mapping[str, str]) -> dict[str, Any]:
    try:
        return dict(merge_sites(files))
    except SettingsError as error:
        fail(ExitCode.INVALID, f"settings are not valid:\n{error}")


def _validate(files: Mapping[str, str]) -> list[str]:
    try:
        merge_sites(files)
    except SettingsError as error:
        return [str(fault) for fault in error.faults]
    return []


def _current_files(session: Session) -> dict[str, str]:
    return file_contents(session.unwrap_or_exit(session.settings_history.current()))


def _show_revision(session: Session, revision: SettingsRevision) -> None:
    session.output.print_rows([_revision_row(revision)])


def _revision_row(revision: SettingsRevision) -> dict[str, Any]:
    accepted_s = revision.accepted_at_ms / 1000
    return {
        "number": revision.number,
        "accepted": time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(accepted_s)),
        "author": revision.author,
        "note": revision.note,
        "change_id": revision.change_id,
    }
