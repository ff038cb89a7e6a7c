"""Relays among watchers of one process, for tests and small embedders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from tanagerturn.coordination.errors import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.coordination.dissemination.watcher import SettingsWatcher
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.schema import dissemination_pb2 as dpb


class LocalFollow:
    """A followed relay of a `LocalRelays`."""

    def __init__(
        self,
        watcher: SettingsWatcher,
        after_number: Callable[[], int],
        on_delta: Callable[[dpb.SettingsDelta], None],
    ) -> None:
        self.watcher = watcher
        """The relay."""
        self.after_number = after_number
        """Returns the number that the follower has."""
        self.on_delta = on_delta
        """Takes what the follower lacks."""

    def wake(self) -> None:
        """Hand over what the follower lacks."""
        delta = self.watcher.lacking(self.after_number())
        if delta is not None:
            self.on_delta(delta)

    def stop(self) -> None:
        """End the following."""
        self.watcher.unsubscribe(self.wake)


class LocalRelays:
    """A `RelayClient` over watchers in the same process."""

    def __init__(self) -> None:
        self.watchers: dict[str, SettingsWatcher] = {}
        """The relays by address."""

    def fetch(
        self, address: str, after_number: int, timeout_s: float
    ) -> Result[dpb.SettingsDelta | None, StepError]:
        """Return what the caller lacks; None when nothing."""
        watcher = self.watchers.get(address)
        if watcher is None:
            return Error(UnavailableError("fetch settings", address, "no relay"))
        return Ok(watcher.lacking(after_number))

    def follow(
        self,
        address: str,
        after_number: Callable[[], int],
        on_delta: Callable[[dpb.SettingsDelta], None],
    ) -> LocalFollow:
        """Deliver what the caller lacks, and each later revision."""
        follow = LocalFollow(self.watchers[address], after_number, on_delta)
        follow.watcher.subscribe(follow.wake)
        follow.wake()
        return follow
