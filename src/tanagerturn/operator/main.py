"""Entry point of the command line `tanager`; --help prints the text after this line.

Exit codes: 0 success, 1 failure, 2 invalid input or settings, 3 conflict with
another operator's change, 4 no response, so that the outcome is unknown.
"""

from __future__ import annotations

import click

from tanagerturn.coordination.channels import TlsFiles
from tanagerturn.operator.config import config
from tanagerturn.operator.deployment import account, service
from tanagerturn.operator.explain import explain
from tanagerturn.operator.output import Output
from tanagerturn.operator.preview import preview
from tanagerturn.operator.processes import drain, dump, member, status
from tanagerturn.operator.requests import request
from tanagerturn.operator.session import Session
from tanagerturn.program import VERSION


@click.group(epilog=(__doc__ or "").partition("\n\n")[2])
@click.option(
    "--member",
    "members",
    multiple=True,
    help="Address of a state member, IP:PORT; repeatable.",
)
@click.option(
    "--settings",
    "settings_file",
    default="",
    help="Settings file of a process; options take precedence over the file.",
)
@click.option("--certificate", default="", help="PEM file of the client certificate.")
@click.option("--private-key", default="", help="PEM file of the client's private key.")
@click.option("--authority", default="", help="PEM file of the certificate authority.")
@click.option(
    "--timeout", default=5.0, help="Timeout of one call to a state member, in seconds."
)
@click.option(
    "--output", type=click.Choice(["table", "json"]), default="table", show_default=True
)
@click.version_option(VERSION)
@click.pass_context
def main(
    context: click.Context,
    members: tuple[str, ...],
    settings_file: str,
    certificate: str,
    private_key: str,
    authority: str,
    timeout: float,
    output: str,
) -> None:
    """Administer a tanagerturn deployment."""
    tls = None
    if certificate or private_key or authority:
        tls = TlsFiles(certificate, private_key, authority)
    context.obj = Session(Output(output), members, settings_file, tls, timeout)


for command in (
    config,
    service,
    account,
    request,
    member,
    status,
    drain,
    dump,
    explain,
    preview,
):
    main.add_command(command)
