"""Relays between watchers in one process, for tests and single-process embedders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from tanagerturn.coordination.errors import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.coordination.dissemination.watcher import SettingsWatcher
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.schema import dissemination_pb2 as dpb


class LocalSubscription:
    """Subscription of a follower to a relay in the same process."""

    def __init__(
        self,
        watcher: SettingsWatcher,
        after_number: Callable[[], int],
        on_delta: Callable[[dpb.SettingsDelta], None],
    ) -> None:
        self.watcher = watcher
        """Watcher that acts as the relay."""
        self.after_number = after_number
        """Returns the revision number in force at the follower."""
        self.on_delta = on_delta
        """Called with each delta for the follower."""

    def wake(self) -> None:
        """Deliver the delta from the follower's revision to the newest, if any."""
        delta = self.watcher.delta_for(self.after_number())
        if delta is not None:
            self.on_delta(delta)

    def stop(self) -> None:
        """End the subscription."""
        self.watcher.unsubscribe(self.wake)


class LocalRelays:
    """A `RelayClient` for watchers in the same process."""

    def __init__(self) -> None:
        self.watchers: dict[str, SettingsWatcher] = {}
        """Watchers that act as relays, by relay address."""

    def fetch(
        self, address: str, after_number: int, timeout_s: float
    ) -> Result[dpb.SettingsDelta | None, StepError]:
        """Return the delta to the newest revision; None if the caller has it."""
        watcher = self.watchers.get(address)
        if watcher is None:
            return Error(
                UnavailableError("fetch settings", address, "no relay at this address")
            )
        return Ok(watcher.delta_for(after_number))

    def follow(
        self,
        address: str,
        after_number: Callable[[], int],
        on_delta: Callable[[dpb.SettingsDelta], None],
    ) -> LocalSubscription:
        """Deliver the delta to the newest revision, and one for each later revision."""
        follow = LocalSubscription(self.watchers[address], after_number, on_delta)
        follow.watcher.subscribe(follow.wake)
        follow.wake()
        return follow
