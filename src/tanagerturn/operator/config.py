"""`tanager config`: check, apply, show, diff, history and rollback of settings."""

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
from tanagerturn.observe.dumps import masked
from tanagerturn.operator.session import ExitCode, Session, fail
from tanagerturn.settings import SettingsError, merge_sites, read_folder

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.schema.coordination_pb2 import SettingsRevision

pass_session = click.make_pass_decorator(Session)


@click.group()
def config() -> None:
    """Check, apply and look at the deployment's settings."""


@config.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@pass_session
def check(session: Session, folder: str) -> None:
    """Check the base file and overlays in FOLDER without applying them."""
    sites = _merge(_read(folder))
    rows = [
        {
            "site": site.site,
            "services": len(site.settings.services),
            "client_accounts": len(site.settings.client_accounts),
        }
        for site in sites.values()
    ]
    session.output.show(rows)


@config.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--expected", type=int, help="Revision number that you changed from.")
@click.option("--change-id", help="Id of the change; repeat it to send it again.")
@click.option("--author", default=getpass.getuser, help="Who makes the change.")
@click.option("--note", default="", help="Why the change is made.")
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

    After a lost answer run the command again with the same --change-id: the
    change is applied once.
    """
    files = _read(folder)
    if expected is None:
        expected = session.expect(session.history.current()).number
    change_id = change_id or uuid.uuid4().hex
    click.echo(f"change id {change_id}", err=True)
    result = session.history.apply(
        files, expected, ChangeId(change_id), author, note, wall_ms(), _faults
    )
    _show_revision(session, session.expect(result))


@config.command()
@click.argument("number", type=int)
@click.option("--expected", type=int, help="Revision number that you changed from.")
@click.option("--change-id", help="Id of the change; repeat it to send it again.")
@click.option("--author", default=getpass.getuser, help="Who makes the change.")
@click.option("--note", default="", help="Why the change is made.")
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
        expected = session.expect(session.history.current()).number
    change_id = change_id or uuid.uuid4().hex
    click.echo(f"change id {change_id}", err=True)
    result = session.history.rollback(
        number, expected, ChangeId(change_id), author, note, wall_ms(), _faults
    )
    _show_revision(session, session.expect(result))


@config.command()
@click.option("--site", required=True, help="Site whose merged settings to show.")
@click.option("--folder", type=click.Path(exists=True, file_okay=False))
@click.option("--origins", is_flag=True, help="Show where each value came from.")
@pass_session
def show(session: Session, site: str, folder: str | None, origins: bool) -> None:
    """Show the merged settings of a site, in force or in a folder."""
    files = _read(folder) if folder else _current_files(session)
    sites = _merge(files)
    if site not in sites:
        fail(ExitCode.INVALID, f"no site {site!r}; there are {', '.join(sites)}")
    merged = sites[site]
    if origins:
        rows = [{"value": p, "from": str(w)} for p, w in merged.origins.items()]
        session.output.show(rows)
        return
    plain = MessageToDict(masked(merged.settings), preserving_proto_field_name=True)
    if session.output.format == "json":
        session.output.show_value(plain)
        return
    click.echo(yaml.safe_dump(plain, sort_keys=False), nl=False)


@config.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@pass_session
def diff(session: Session, folder: str) -> None:
    """Show how the files in FOLDER differ from those in force."""
    current = _current_files(session)
    wanted = _read(folder)
    for name in sorted(current.keys() | wanted.keys()):
        lines = difflib.unified_diff(
            current.get(name, "").splitlines(),
            wanted.get(name, "").splitlines(),
            f"in force/{name}",
            f"folder/{name}",
            lineterm="",
        )
        for line in lines:
            click.echo(line)


@config.command()
@click.option("--limit", default=20, help="Revisions to show, newest first.")
@pass_session
def history(session: Session, limit: int) -> None:
    """List the accepted revisions."""
    revisions = session.expect(session.history.history(limit))
    session.output.show([_row(revision) for revision in revisions])


def _read(folder: str) -> dict[str, str]:
    try:
        return read_folder(folder)
    except SettingsError as error:
        fail(ExitCode.INVALID, str(error))


def _merge(files: Mapping[str, str]) -> dict[str, Any]:
    try:
        return dict(merge_sites(files))
    except SettingsError as error:
        fail(ExitCode.INVALID, f"settings refused:\n{error}")


def _faults(files: Mapping[str, str]) -> list[str]:
    try:
        merge_sites(files)
    except SettingsError as error:
        return [str(fault) for fault in error.faults]
    return []


def _current_files(session: Session) -> dict[str, str]:
    return file_contents(session.expect(session.history.current()))


def _show_revision(session: Session, revision: SettingsRevision) -> None:
    session.output.show([_row(revision)])


def _row(revision: SettingsRevision) -> dict[str, Any]:
    accepted_s = revision.accepted_at_ms / 1000
    return {
        "number": revision.number,
        "accepted": time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(accepted_s)),
        "author": revision.author,
        "note": revision.note,
        "change_id": revision.change_id,
    }
