"""Actor that keeps the lease of the active control process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import pykka

from tanagerturn.control.messages import Dump, Release, Tick

if TYPE_CHECKING:
    from tanagerturn.coordination.leases import LeaseKeeper


class LeaseActor(pykka.ThreadingActor):
    """Keeps the lease of the active control process.

    Args:
        keeper: Acquires and renews the lease.
        period_s: Time between two looks at the lease, in seconds.
    """

    use_daemon_thread = True

    def __init__(self, keeper: LeaseKeeper, period_s: float) -> None:
        super().__init__()
        self.keeper = keeper
        """Acquires and renews the lease."""
        self.period_s = period_s
        """Time between two looks at the lease, in seconds."""
        self.released = False
        """The lease was given up for good."""

    def on_receive(self, message: Any) -> Any:
        """Handle a message."""
        if isinstance(message, Tick):
            return self.on_tick(message)
        if isinstance(message, Release):
            return self.on_release(message)
        return self.on_dump(message)

    def on_tick(self, message: Tick) -> None:
        """Renew or acquire the lease, then look again after the period."""
        if self.released:
            return
        self.keeper.step()
        time.sleep(self.period_s)
        self.actor_ref.tell(Tick())

    def on_release(self, message: Release) -> None:
        """Give the lease up."""
        self.released = True
        self.keeper.release()

    def on_dump(self, message: Dump) -> dict[str, object]:
        """Return the state."""
        return self.keeper.dump(self.keeper.clock())
