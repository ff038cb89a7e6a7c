"""Decodes the platform's settings file into the settings of a gateway."""

from __future__ import annotations

import math
import os
import re
from pathlib import Path
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.errors import RefusedError
from tanagerturn.gateway.callers.descriptors import DEFAULT_MAX_FDS
from tanagerturn.gateway.callers.memory_budget import (
    DEFAULT_MEMORY_BYTES,
    MIB,
    PROCESS_BYTES,
)
from tanagerturn.gateway.settings import DutySettings, GatewaySettings
from tanagerturn.serving.limits.terms import Tolerance
from tanagerturn.serving.rollouts.messages import ExposureBound

if TYPE_CHECKING:
    from collections.abc import Mapping

SETTINGS_VARIABLE: Final = "TANAGERTURN_SETTINGS"
"""Environment variable with the path of the settings file."""

LINK_PORT_OFFSET: Final = 0
MEMBERSHIP_PORT_OFFSET: Final = 1
DIGEST_PORT_OFFSET: Final = 2
FORWARDING_PORT_OFFSET: Final = 3
"""Offsets of the gateway's ports from the first port of `internal_ports`, which is
the same on all machines."""

ROLLOUT_CONTRACT: Final = "rollout"
"""Name in `contracts` that asks for rollouts."""

CONTRACT_NAME: Final = re.compile(r"[\w-]+")
"""A name in `contracts`; commas and spaces separate them."""

METRICS_PORT: Final = 9464
"""TCP port for metrics; `deploy/system.toml` states the same port, which is the default
of common metrics exporters."""

MIN_MEMORY_MB: Final = PROCESS_BYTES // MIB + 1
MAX_MEMORY_MB: Final = 1024 * 1024
"""Permitted memory of a host in MiB: more than a gateway takes without callers."""

MAX_FDS: Final = 1_000_000

MIN_FDS: Final = 128
"""Smallest permitted descriptor limit; a gateway without callers opens about 30, and
more with each peer and backend server."""

SHARED_PRICE_FIELD: Final = "admission.shared_price"
"""Setting of the system itself: `true` admits generations by a shared price."""

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
    "exposure_share": "0.1",
    "exposure_allowance": "50",
    "rollback_ms": "5000",
}
"""Values of the `bounds.*` fields that a settings file leaves out: the strictest values
of all known deployments."""


def read_settings() -> GatewaySettings:
    """Read and decode the settings file named by `TANAGERTURN_SETTINGS`.

    Raises:
        RefusedError: The variable is not set, the file can't be read, or a field is
            missing or not valid.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise RefusedError(
            "read settings", "", f"environment variable {SETTINGS_VARIABLE} is not set"
        )
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise RefusedError("read settings", path, str(error)) from error
    return decode_settings(parse_fields(text), path)


def parse_fields(text: str) -> dict[str, str]:
    """Return the fields of a settings file by name.

    Comments and lines without `=` are skipped; of a repeated field, the last value
    counts.
    """
    fields = {}
    for line in text.splitlines():
        name, separator, value = line.strip().partition("=")
        if separator and not name.startswith("#"):
            fields[name.strip()] = value.strip()
    return fields


def decode_settings(fields: Mapping[str, str], path: str) -> GatewaySettings:
    """Decode the fields of a settings file into the settings of a gateway.

    Args:
        fields: Field name to its value.
        path: Path of the file, for the error message.

    Raises:
        RefusedError: A field is missing or not valid.
    """
    try:
        return _decode_fields(fields)
    except (KeyError, ValueError) as error:
        raise RefusedError(
            "read settings", path, f"missing or invalid field: {error!r}"
        ) from error


def _decode_fields(fields: Mapping[str, str]) -> GatewaySettings:
    first_port = int(fields["internal_ports"].split(",")[0])
    zone = fields["zone"]

    def bound(name: str) -> float:
        return float(fields.get(f"bounds.{name}") or DEFAULT_BOUNDS[name])

    # data_dir is set on machines without a disk too; only disk_mb above 0 means that
    # the machine has a disk.
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
        link_port=first_port + LINK_PORT_OFFSET,
        forwarding_port=first_port + FORWARDING_PORT_OFFSET,
        digest_port=first_port + DIGEST_PORT_OFFSET,
        membership_port=first_port + MEMBERSHIP_PORT_OFFSET,
        # Seeds name the control listeners of other gateways. Only their IP addresses
        # are used: links and membership datagrams have separate ports.
        seed_ips=tuple(
            seed.rpartition(":")[0] for seed in fields["seeds"].split(",") if seed
        ),
        is_first_start=fields.get("bootstrap") == "true",
        data_folder=Path(fields["data_dir"]) if has_disk else None,
        tolerated_losses=max(1, int(fields.get("fault_tolerance.machines") or 1)),
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
        # usage_late_s is counted from the end of the reporting window.
        report_due_s=bound("usage_late_s"),
        duties=_decode_duties(fields, bound("lease_ms")),
        rollouts=ExposureBound(
            share=bound("exposure_share"),
            allowance=bound("exposure_allowance"),
            rollback_ms=int(bound("rollback_ms")),
        )
        if ROLLOUT_CONTRACT in CONTRACT_NAME.findall(fields.get("contracts", ""))
        else None,
        shares_price=fields.get(SHARED_PRICE_FIELD) == "true",
        memory_bytes=MIB
        * _decode_limit(
            fields,
            "limits.memory_mb",
            DEFAULT_MEMORY_BYTES // MIB,
            MIN_MEMORY_MB,
            MAX_MEMORY_MB,
        ),
        max_fds=_decode_limit(
            fields, "limits.max_fds", DEFAULT_MAX_FDS, MIN_FDS, MAX_FDS
        ),
    )


def _decode_limit(
    fields: Mapping[str, str], name: str, default: int, least: int, most: int
) -> int:
    """Return a limit of the host; the default if the file does not state it.

    Raises:
        ValueError: It is no number, or outside the permitted range.
    """
    text = fields.get(name)
    if not text:
        return default
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not least <= value <= most:
        raise ValueError(f"{name} is {text!r}, expected {least} to {most}")
    return int(value)


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
