"""Loads YAML settings files into validated protobuf messages."""

from __future__ import annotations

from tanagerturn.settings.deployment import SiteSettings, merge_sites, read_folder
from tanagerturn.settings.faults import Fault, Place, SettingsError
from tanagerturn.settings.process import load_process, parse_process

__all__ = [
    "Fault",
    "Place",
    "SettingsError",
    "SiteSettings",
    "load_process",
    "merge_sites",
    "parse_process",
    "read_folder",
]
