"""Reads the platform's settings file into the settings of a gateway."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.errors import RefusedError
from tanagerturn.gateway.settings import DutySettings, GatewaySettings
from tanagerturn.serving.limits.spread import Tolerance

if TYPE_CHECKING:
    from collections.abc import Mapping

SETTINGS_VARIABLE: Final = "TANAGERTURN_SETTINGS"

LINK_OFFSET: Final = 0
MEMBERSHIP_OFFSET: Final = 1
DIGEST_OFFSET: Final = 2
"""Ports of the internal range, from its first one on; they are the same on all
machines."""

METRICS_PORT: Final = 9464
"""Port that `deploy/system.toml` names; the usual one of metrics exporters."""

DEFAULT_BOUNDS: Final[Mapping[str, str]] = {
    "drain_ms": "2000",
    "grace_s": "8",
    "retry_budget_ratio": "0.2",
    "retry_window_s": "10",
    "retry_allowance": "10",
    "quota_allowance": "0",
    "quota_overage": "0",
    "quota_window_s": "8",
    "report_window_s": "5",
    "usage_late_s": "10",
    "lease_ms": "3000",
}
"""Bounds of a deployment that does not state them: the strictest known."""


def read_settings() -> GatewaySettings:
    """Read the file that the environment names.

    Raises:
        RefusedError: The file can't be read, or a field is missing or wrong.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise RefusedError("read settings", "", f"{SETTINGS_VARIABLE} is not set")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise RefusedError("read settings", path, str(error)) from error
    return decode_settings(parse_lines(text), path)


def parse_lines(text: str) -> dict[str, str]:
    """Return the fields of a settings file; lines without a field are skipped."""
    fields = {}
    for line in text.splitlines():
        name, separator, value = line.strip().partition("=")
        if separator and not name.startswith("#"):
            fields[name.strip()] = value.strip()
    return fields


def decode_settings(fields: Mapping[str, str], path: str) -> GatewaySettings:
    """Return the settings of a gateway.

    Args:
        fields: Fields of the file.
        path: The file, for errors.

    Raises:
        RefusedError: A field is missing or wrong.
    """
    try:
        return _decode(fields)
    except (KeyError, ValueError) as error:
        raise RefusedError("read settings", path, f"{error!r}") from error


def _decode(fields: Mapping[str, str]) -> GatewaySettings:
    first_port = int(fields["internal_ports"].split(",")[0])
    zone = fields["zone"]

    def bound(name: str) -> float:
        return float(fields.get(f"bounds.{name}") or DEFAULT_BOUNDS[name])

    # A machine has a disk where disk_mb is above 0; data_dir alone does not tell.
    has_disk = float(fields.get("limits.disk_mb") or 0) > 0
    has_disk = has_disk and bool(fields.get("data_dir"))
    return GatewaySettings(
        host=fields["node_name"],
        ip=fields["ip"],
        zone=zone,
        region=fields.get("region") or fields.get(f"zones.{zone}", ""),
        callers_address=fields["listen.front"],
        readiness_address=fields["listen.ready"],
        control_address=fields["listen.control"],
        metrics_address=f"{fields['ip']}:{METRICS_PORT}",
        link_port=first_port + LINK_OFFSET,
        digest_port=first_port + DIGEST_OFFSET,
        membership_port=first_port + MEMBERSHIP_OFFSET,
        # Seeds are addresses of listeners for control; links have other ports.
        seed_ips=tuple(
            seed.rpartition(":")[0] for seed in fields["seeds"].split(",") if seed
        ),
        is_first_start=fields.get("bootstrap") == "true",
        data_folder=Path(fields["data_dir"]) if has_disk else None,
        losses_borne=max(1, int(fields.get("fault_tolerance.machines") or 1)),
        heartbeat_ms=int(float(fields.get("heartbeat_ms") or 1000)),
        drain_s=bound("drain_ms") / 1000,
        grace_s=bound("grace_s"),
        retry_ratio=bound("retry_budget_ratio"),
        retry_window_s=bound("retry_window_s"),
        retry_allowance=bound("retry_allowance"),
        limit_tolerance=Tolerance(
            bound("quota_allowance"), bound("quota_overage"), bound("quota_window_s")
        ),
        report_window_s=bound("report_window_s"),
        # A report is "late" this long after its window's end.
        report_due_s=bound("usage_late_s"),
        duties=_decode_duties(fields, bound("lease_ms")),
    )


def _decode_duties(fields: Mapping[str, str], lease_ms: float) -> DutySettings | None:
    address = fields.get("cloud.address", "")
    duties = fields.get("cloud.duties", "").split(",")
    if not address or not any(duties):
        return None
    return DutySettings(
        address=address,
        reports_usage="usage_report" in duties,
        orders_backends="autoscale" in duties,
        lease_s=lease_ms / 1000,
    )
