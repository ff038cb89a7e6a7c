"""Actor that acquires, renews and releases the control lease."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import pykka

from tanagerturn.control.messages import Dump, ReleaseLease, Tick

if TYPE_CHECKING:
    from tanagerturn.coordination.leases import LeaseKeeper


class LeaseActor(pykka.ThreadingActor):
    """Acquires and renews the control lease, whose holder is the active process.

    Args:
        keeper: Keeper of the control lease.
        period_s: Time in seconds between two checks for due lease requests.
    """

    use_daemon_thread = True

    def __init__(self, keeper: LeaseKeeper, period_s: float) -> None:
        super().__init__()
        self.keeper = keeper
        """Keeper of the control lease."""
        self.period_s = period_s
        """Time in seconds between two checks for due lease requests."""
        self.released = False
        """Whether the lease was released; a released lease is not acquired again."""

    def on_receive(self, message: Any) -> Any:
        """Handle a `Tick`, `ReleaseLease` or `Dump`."""
        if isinstance(message, Tick):
            return self.on_tick(message)
        if isinstance(message, ReleaseLease):
            return self.on_release_lease(message)
        return self.on_dump(message)

    def on_tick(self, message: Tick) -> None:
        """Acquire or renew the lease if due, wait and send the next tick."""
        if self.released:
            return
        self.keeper.step()
        time.sleep(self.period_s)
        self.actor_ref.tell(Tick())

    def on_release_lease(self, message: ReleaseLease) -> None:
        """Release the lease and stop acquiring it."""
        self.released = True
        self.keeper.release()

    def on_dump(self, message: Dump) -> dict[str, object]:
        """Return the state of the lease."""
        return self.keeper.dump(self.keeper.clock())
