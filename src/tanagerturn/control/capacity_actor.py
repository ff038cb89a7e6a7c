"""Actor that holds hosts while the control lease is held."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import pykka

from tanagerturn.actors import ask
from tanagerturn.clocks import wall_ms
from tanagerturn.control.messages import Dump, Loads, Tick
from tanagerturn.control.notice_actor import Recorded

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.control.hosts import HostKeeper
    from tanagerturn.schema.settings_pb2 import DeploymentSettings


class CapacityActor(pykka.ThreadingActor):
    """Plans and holds hosts each period.

    Args:
        hosts: Plans and holds the hosts.
        orders: Actor that knows the backend servers.
        notices: Actor that knows the hosts that leave.
        settings: Returns the settings in force.
        period_s: Time between two plans, in seconds.
    """

    use_daemon_thread = True

    def __init__(
        self,
        hosts: HostKeeper,
        orders: pykka.ActorRef[Any],
        notices: pykka.ActorRef[Any],
        settings: Callable[[], DeploymentSettings],
        period_s: float,
    ) -> None:
        super().__init__()
        self.hosts = hosts
        """Plans and holds the hosts."""
        self.orders = orders
        """Actor that knows the backend servers."""
        self.notices = notices
        """Actor that knows the hosts that leave."""
        self.settings = settings
        """Returns the settings in force."""
        self.period_s = period_s
        """Time between two plans, in seconds."""

    def on_receive(self, message: Any) -> Any:
        """Handle a message."""
        if isinstance(message, Tick):
            return self.on_tick(message)
        if isinstance(message, Dump):
            return self.on_dump(message)
        raise TypeError(f"unknown message {message!r}")

    def on_tick(self, message: Tick) -> None:
        """Plan while the lease is held, then look again after the period."""
        if self.hosts.lease.holds():
            self._plan()
        time.sleep(self.period_s)
        self.actor_ref.tell(Tick())

    def on_dump(self, message: Dump) -> dict[str, Any]:
        """Return the state."""
        return {
            "starts": list(self.hosts.starts.values()),
            "draining": sorted(self.hosts.draining),
            "plans": {
                name: {
                    "steps": plan.steps,
                    "wanted": {str(key): n for key, n in plan.wanted.items()},
                    "short_slots": plan.short_slots,
                    "cost_per_hour": plan.cost_per_hour,
                }
                for name, plan in self.hosts.plans.items()
            },
        }

    def _plan(self) -> None:
        backends = ask(self.orders, Loads())
        recorded = ask(self.notices, Recorded())
        self.hosts.step(self.settings(), backends, recorded, wall_ms())
