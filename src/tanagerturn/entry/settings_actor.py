"""Actor that applies accepted settings revisions in this process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import pykka

from tanagerturn.observe.logs import component_logger
from tanagerturn.schema import settings_pb2
from tanagerturn.settings import SettingsError, merge_sites
from tanagerturn.shared.resolved_settings import ResolvedSettings, resolve_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.schema.coordination_pb2 import SettingsRevision

log = component_logger("settings")


@dataclass(frozen=True)
class NewRevision:
    """Reports that a settings revision was accepted."""

    revision: SettingsRevision
    """The accepted revision with its files."""


class SettingsActor(pykka.ThreadingActor):
    """Resolves accepted revisions for this site, in order of increasing number.

    Args:
        site: Name of this site.
        on_settings: Function that is called with new resolved settings, on the actor's
            thread.
    """

    use_daemon_thread = True

    def __init__(
        self, site: str, on_settings: Callable[[ResolvedSettings], None]
    ) -> None:
        super().__init__()
        self.site = site
        """Name of this site."""
        self.on_settings = on_settings
        """Function that is called with new resolved settings, on the actor's thread."""
        self.current = resolve_settings(0, settings_pb2.DeploymentSettings())
        """Resolved settings in force; revision 0 before the first revision."""

    def on_receive(self, message: Any) -> Any:
        """Handle a message."""
        if isinstance(message, NewRevision):
            self.on_new_revision(message)

    def on_new_revision(self, message: NewRevision) -> None:
        """Apply a revision that is newer, is valid and has settings for this site."""
        revision = message.revision
        if revision.number <= self.current.number:
            return
        files = {file.name: file.content for file in revision.files}
        try:
            merged = merge_sites(files)
        except SettingsError as error:
            log.error(
                "Settings revision {} not applied: its settings are not valid: {}",
                revision.number,
                error,
            )
            return
        if self.site not in merged:
            log.warning(
                "Settings revision {} not applied: it has no site {}.",
                revision.number,
                self.site,
            )
            return
        self.current = resolve_settings(revision.number, merged[self.site].settings)
        self.on_settings(self.current)
        log.info("Settings revision {} is in force.", revision.number)
