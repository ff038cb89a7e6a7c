"""Loads the settings of one process."""

from __future__ import annotations

import ipaddress
from pathlib import Path

from tanagerturn.schema import settings_pb2 as pb
from tanagerturn.settings._fill import Filler, Origins
from tanagerturn.settings._nodes import parse_document
from tanagerturn.settings.faults import Fault, Place, SettingsError


def load_process(path: str | Path) -> pb.ProcessSettings:
    """Load and check a process's settings file.

    Args:
        path: Path of the YAML file.

    Returns:
        The settings, defaults filled in.

    Raises:
        SettingsError: The file can't be read or something in it is not allowed.
    """
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        place = Place(str(path), 1)
        raise SettingsError([Fault(place, "", str(error), "a UTF-8 file")]) from error
    return parse_process(text, str(path))


def parse_process(text: str, file: str) -> pb.ProcessSettings:
    """Check the text of a process's settings.

    Args:
        text: YAML text.
        file: Name for messages.

    Returns:
        The settings, defaults filled in.

    Raises:
        SettingsError: Something in it is not allowed.
    """
    node = parse_document(text, file)
    settings = pb.ProcessSettings()
    filler = Filler()
    filler.fill(settings, node)
    faults = filler.faults or _cross_check(settings, filler.origins, node.place)
    if faults:
        raise SettingsError(faults)
    return settings


def _cross_check(
    settings: pb.ProcessSettings, origins: Origins, top: Place
) -> list[Fault]:
    faults = []
    addresses = {path: place for path, place in origins.items() if _is_ip(path)}
    for path, place in addresses.items():
        text = _value_at(settings, path)
        if not _valid_ip(text):
            faults.append(Fault(place, path, repr(text), "an IP number"))
    roles = [settings.HasField(r) for r in ("entry", "state", "control")]
    if sum(roles) > 1:
        allowed = "one of entry, state, control; one process runs one program"
        faults.append(Fault(top, "", "several programs", allowed))
    members = {member.id for member in settings.state_members}
    if settings.HasField("state") and settings.id not in members:
        allowed = "an id listed in state_members"
        place = origins.get("id", top)
        faults.append(Fault(place, "id", repr(settings.id), allowed))
    state = settings.state
    if (
        settings.HasField("state")
        and state.heartbeat_ms * 2 > state.election_timeout_ms
    ):
        place = origins.get("state.heartbeat_ms", top)
        found = f"{state.heartbeat_ms}"
        allowed = "at most half of election_timeout_ms"
        faults.append(Fault(place, "state.heartbeat_ms", found, allowed))
    return faults


def _is_ip(path: str) -> bool:
    return path.endswith((".ip", ".address"))


def _value_at(settings: pb.ProcessSettings, path: str) -> str:
    if path.startswith("state_members["):
        name = path[len("state_members[") : path.index("]")]
        found = next(m.address for m in settings.state_members if m.id == name)
        return found.rsplit(":", 1)[0].strip("[]")
    value: object = settings
    for part in path.split("."):
        value = getattr(value, part)
    return str(value)


def _valid_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
