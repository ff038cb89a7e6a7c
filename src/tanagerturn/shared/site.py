"""The settings in force at an entry host, as one value that never changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from tanagerturn.schema import settings_pb2 as pb
from tanagerturn.security import KeyRing

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True)
class Site:
    """One revision of the deployment's settings, merged for this site."""

    number: int
    """Number of the settings revision; 0 before the first."""
    settings: pb.DeploymentSettings
    """The merged settings."""
    services: Mapping[str, pb.Service]
    """Services by name."""
    accounts: Mapping[str, pb.ClientAccount]
    """Client accounts by name."""
    account_keys: KeyRing
    """Finds a client account by its bearer key."""
    backend_keys: KeyRing
    """Finds out whether a backend server's key is known."""

    def __repr__(self) -> str:
        return f"Site(number={self.number}, services={list(self.services)})"

    def model_service(self, model: str) -> pb.Service | None:
        """Return the service that runs a model, by service or model name."""
        service = self.services.get(model)
        if service is not None and service.type == pb.MODEL:
            return service
        for candidate in self.services.values():
            if any(entry.model == model for entry in candidate.models):
                return candidate
        return None


def make_site(number: int, settings: pb.DeploymentSettings) -> Site:
    """Return a revision of the settings with its look-ups.

    Args:
        number: Number of the settings revision.
        settings: Settings merged for this site.
    """
    accounts = settings.client_accounts
    return Site(
        number=number,
        settings=settings,
        services={service.name: service for service in settings.services},
        accounts={account.name: account for account in accounts},
        account_keys=KeyRing((a.name, a.key_hashes) for a in accounts),
        backend_keys=KeyRing([("backend", settings.backend_access.key_hashes)]),
    )


def find_call(service: pb.Service, method: str, path: str) -> pb.Call | None:
    """Return the call of a plain service that a method and path name.

    The longest matching path wins; paths match on whole segments.

    Args:
        service: The service.
        method: HTTP method.
        path: Path below the service, with its leading slash.
    """
    matching = [
        call
        for call in service.calls
        if call.method == method and _is_below(path, call.path)
    ]
    return max(matching, key=lambda call: len(call.path), default=None)


def _is_below(path: str, top: str) -> bool:
    top = top.rstrip("/")
    return path == top or path.startswith(top + "/")
