"""Loads the settings of a deployment: a base file and one overlay per site."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import settings_pb2 as pb
from tanagerturn.schema.serving_pb2 import CallKind
from tanagerturn.settings._decoder import MessageDecoder, Origins
from tanagerturn.settings._merge import Merger
from tanagerturn.settings._nodes import Node, parse_document
from tanagerturn.settings.faults import Fault, Place, SettingsError

if TYPE_CHECKING:
    from collections.abc import Mapping

BASE_NAME: Final = "base"
"""Name of the base file among the files of a deployment."""

SITE_PREFIX: Final = "site/"
"""Prefix of the name of an overlay, before the name of its site."""


@dataclass(frozen=True)
class SiteSettings:
    """Settings of one site: the base file merged with the site's overlay."""

    site: str
    """Name of the site."""
    settings: pb.DeploymentSettings
    """Merged settings, with defaults for values that no file sets."""
    origins: Origins
    """Position of each value in its file, by key path."""

    def __repr__(self) -> str:
        services = [service.name for service in self.settings.services]
        return f"SiteSettings({self.site!r}, services={services})"


def read_folder(folder: str | Path) -> dict[str, str]:
    """Read `base.yaml` and all `sites/NAME.yaml` of a deployment's folder.

    Args:
        folder: Path of the folder.

    Returns:
        Text of each file by its name: "base" or "site/NAME".

    Raises:
        SettingsError: A file can't be read, or there is no base file.
    """
    folder = Path(folder)
    paths = {BASE_NAME: folder / "base.yaml"}
    for path in sorted((folder / "sites").glob("*.yaml")):
        paths[SITE_PREFIX + path.stem] = path
    files = {}
    for name, path in paths.items():
        try:
            files[name] = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            fault = Fault(Place(str(path), 1), "", str(error), "a UTF-8 file")
            raise SettingsError([fault]) from error
    return files


def merge_sites(files: Mapping[str, str]) -> dict[str, SiteSettings]:
    """Merge and validate the settings of each site of a deployment.

    Args:
        files: Text of each file by its name: "base" or "site/NAME".

    Returns:
        Merged settings of each site by its name.

    Raises:
        SettingsError: The settings of at least one site are not valid, or there is
            no base file or no site. The error holds the faults of all sites; a fault
            that several sites have in common is reported once.
    """
    faults: dict[str, Fault] = {}
    nodes = _parse_files(files, faults)
    sites: dict[str, SiteSettings] = {}
    names = [name for name in nodes if name.startswith(SITE_PREFIX)]
    if BASE_NAME in nodes:
        for name in names:
            site = name[len(SITE_PREFIX) :]
            sites[site] = _merge_site(site, nodes[BASE_NAME], nodes[name], faults)
    if not names and not faults:
        place = Place(BASE_NAME, 1)
        faults[""] = Fault(place, "", "no site", "an overlay for at least one site")
    if faults:
        raise SettingsError(list(faults.values()))
    return sites


def _parse_files(files: Mapping[str, str], faults: dict[str, Fault]) -> dict[str, Node]:
    nodes = {}
    if BASE_NAME not in files:
        fault = Fault(Place(BASE_NAME, 1), "", "no base file", "a base file")
        faults[str(fault)] = fault
    for name, text in files.items():
        try:
            node = parse_document(text, name)
            if not isinstance(node.value, dict):
                raise SettingsError(
                    [Fault(node.place, "", node.describe(), "a mapping")]
                )
            nodes[name] = node
        except SettingsError as error:
            faults.update({str(fault): fault for fault in error.faults})
    return nodes


def _merge_site(
    site: str, base: Node, overlay: Node, faults: dict[str, Fault]
) -> SiteSettings:
    merger = Merger()
    merged = merger.merge(pb.DeploymentSettings.DESCRIPTOR, base, overlay)
    settings = pb.DeploymentSettings()
    decoder = MessageDecoder()
    decoder.decode(settings, merged)
    found = merger.faults + decoder.faults
    found = found or _check_across_fields(settings, decoder.origins, merged.place)
    faults.update({str(fault): fault for fault in found})
    return SiteSettings(site, settings, decoder.origins)


def _check_across_fields(
    settings: pb.DeploymentSettings, origins: Origins, top_place: Place
) -> list[Fault]:
    faults = []

    def add(path: str, found: str, allowed: str) -> None:
        faults.append(Fault(origins.get(path, top_place), path, found, allowed))

    services = {service.name for service in settings.services}
    for service in settings.services:
        path = f"services[{service.name}]"
        _check_service(service, path, add)
    for account in settings.client_accounts:
        path = f"client_accounts[{account.name}].services"
        for index, name in enumerate(account.services):
            if name not in services:
                allowed = f"one of {', '.join(sorted(services)) or '(none defined)'}"
                add(f"{path}[{index}]", repr(name), allowed)
    for index, network in enumerate(settings.backend_access.networks):
        try:
            ipaddress.ip_network(network)
        except ValueError:
            add(
                f"backend_access.networks[{index}]",
                repr(network),
                "a network in CIDR notation",
            )
    return faults


def _check_service(service: pb.Service, path: str, add: _AddFault) -> None:
    if service.type == pb.MODEL and service.calls:
        add(
            f"{path}.type", "a model service with calls", "calls only in plain services"
        )
    if service.type == pb.MODEL and not service.models:
        add(
            f"{path}.type",
            "a model service without models",
            "at least one entry in models",
        )
    if service.type == pb.PLAIN and not service.calls:
        add(
            f"{path}.type",
            "a plain service without calls",
            "at least one entry in calls",
        )
    for call in service.calls:
        changes_state = call.method not in ("GET", "HEAD")
        if changes_state or call.kind == CallKind.IDEMPOTENT:
            continue
        found = f"{CallKind.Name(call.kind).lower()} for {call.method}"
        add(f"{path}.calls[{call.name}].kind", found, "idempotent for GET and HEAD")
    bounds = service.capacity
    if bounds.min_hosts > bounds.max_hosts:
        found = f"{bounds.min_hosts} above max_hosts {bounds.max_hosts}"
        add(f"{path}.capacity.min_hosts", found, "at most max_hosts")


if TYPE_CHECKING:
    from typing import Protocol

    class _AddFault(Protocol):
        def __call__(self, path: str, found: str, allowed: str) -> None: ...
