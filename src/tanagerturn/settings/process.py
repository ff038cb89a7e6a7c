"""Loads and validates the settings file of a process."""

from __future__ import annotations

import ipaddress
from pathlib import Path

from tanagerturn.schema import settings_pb2 as pb
from tanagerturn.settings._decoder import MessageDecoder, Origins
from tanagerturn.settings._nodes import parse_document
from tanagerturn.settings.faults import Fault, Place, SettingsError


def load_process(path: str | Path) -> pb.ProcessSettings:
    """Load and validate the settings file of a process.

    Args:
        path: Path of the YAML file.

    Returns:
        The settings, with defaults for values that the file leaves out.

    Raises:
        SettingsError: The file can't be read or is not valid.
    """
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        place = Place(str(path), 1)
        raise SettingsError([Fault(place, "", str(error), "a UTF-8 file")]) from error
    return parse_process(text, str(path))


def parse_process(text: str, file: str) -> pb.ProcessSettings:
    """Parse and validate the settings of a process.

    Args:
        text: The settings as YAML.
        file: Path or name of the file, for the positions of faults.

    Returns:
        The settings, with defaults for values that the text leaves out.

    Raises:
        SettingsError: The settings are not valid.
    """
    node = parse_document(text, file)
    settings = pb.ProcessSettings()
    decoder = MessageDecoder()
    decoder.decode(settings, node)
    faults = decoder.faults or _check_across_fields(
        settings, decoder.origins, node.place
    )
    if faults:
        raise SettingsError(faults)
    return settings


def _check_across_fields(
    settings: pb.ProcessSettings, origins: Origins, top_place: Place
) -> list[Fault]:
    faults = []
    addresses = {path: place for path, place in origins.items() if _is_ip_path(path)}
    for path, place in addresses.items():
        ip = _ip_at(settings, path)
        if not _is_valid_ip(ip):
            faults.append(Fault(place, path, repr(ip), "an IP address"))
    programs = [settings.HasField(r) for r in ("entry", "state", "control")]
    if sum(programs) > 1:
        allowed = "only one of entry, state and control"
        faults.append(Fault(top_place, "", "settings of several programs", allowed))
    members = {member.id for member in settings.state_members}
    if settings.HasField("state") and settings.id not in members:
        allowed = "an id listed in state_members"
        place = origins.get("id", top_place)
        faults.append(Fault(place, "id", repr(settings.id), allowed))
    state = settings.state
    if (
        settings.HasField("state")
        and state.heartbeat_ms * 2 > state.election_timeout_ms
    ):
        place = origins.get("state.heartbeat_ms", top_place)
        found = f"{state.heartbeat_ms}"
        allowed = "at most half of election_timeout_ms"
        faults.append(Fault(place, "state.heartbeat_ms", found, allowed))
    return faults


def _is_ip_path(path: str) -> bool:
    return path.endswith((".ip", ".address"))


def _ip_at(settings: pb.ProcessSettings, path: str) -> str:
    if path.startswith("state_members["):
        name = path[len("state_members[") : path.index("]")]
        found = next(m.address for m in settings.state_members if m.id == name)
        return found.rsplit(":", 1)[0].strip("[]")
    value: object = settings
    for part in path.split("."):
        value = getattr(value, part)
    return str(value)


def _is_valid_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
