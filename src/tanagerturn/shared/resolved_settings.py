"""Immutable view of one settings revision of a site, indexed for lookups."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from tanagerturn.schema import settings_pb2 as pb
from tanagerturn.security import KeyRing

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True)
class ResolvedSettings:
    """One revision of the deployment's settings, merged for one site."""

    number: int
    """Number of the settings revision; 0 before the first is received."""
    settings: pb.DeploymentSettings
    """Settings merged for the site."""
    services: Mapping[str, pb.Service]
    """Services by name."""
    accounts: Mapping[str, pb.ClientAccount]
    """Client accounts by name."""
    account_keys: KeyRing
    """Maps the bearer key of a caller to the name of its client account."""
    backend_keys: KeyRing
    """Bearer keys by which backend servers authenticate announcements."""

    def __repr__(self) -> str:
        return f"ResolvedSettings(number={self.number}, services={list(self.services)})"

    def model_service(self, model: str) -> pb.Service | None:
        """Return the service that runs a model; None when no service does.

        Args:
            model: Name of a model service or of a model. A service of that name
                takes precedence.
        """
        service = self.services.get(model)
        if service is not None and service.type == pb.MODEL:
            return service
        for candidate in self.services.values():
            if any(entry.model == model for entry in candidate.models):
                return candidate
        return None


def resolve_settings(number: int, settings: pb.DeploymentSettings) -> ResolvedSettings:
    """Index the settings of one revision.

    Args:
        number: Number of the settings revision.
        settings: Settings merged for the site.
    """
    accounts = settings.client_accounts
    return ResolvedSettings(
        number=number,
        settings=settings,
        services={service.name: service for service in settings.services},
        accounts={account.name: account for account in accounts},
        account_keys=KeyRing((a.name, a.key_hashes) for a in accounts),
        backend_keys=KeyRing([("backend", settings.backend_access.key_hashes)]),
    )


def find_call(service: pb.Service, method: str, path: str) -> pb.Call | None:
    """Return the configured call of a plain service that a request matches.

    Paths are compared by whole segments. Of several matching calls, the call with the
    longest path is returned; None when no call matches.

    Args:
        service: Plain service.
        method: HTTP method of the request.
        path: Path of the request below the service, with its leading slash.
    """
    matching = [
        call
        for call in service.calls
        if call.method == method and _has_path_prefix(path, call.path)
    ]
    return max(matching, key=lambda call: len(call.path), default=None)


def _has_path_prefix(path: str, prefix: str) -> bool:
    prefix = prefix.rstrip("/")
    return path == prefix or path.startswith(prefix + "/")
