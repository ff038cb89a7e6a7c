"""Actor that starts and releases hosts while the control lease is held."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import pykka

from tanagerturn.actors import ask
from tanagerturn.clocks import wall_ms
from tanagerturn.control.messages import Dump, GetLoads, Tick
from tanagerturn.control.notice_actor import GetLeavingHosts

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.control.host_manager import HostManager
    from tanagerturn.schema.settings_pb2 import DeploymentSettings


class CapacityActor(pykka.ThreadingActor):
    """Plans the capacity of all services periodically and applies the plans.

    Args:
        host_manager: Plans, starts and releases the hosts.
        orders: Order actor, which returns the load of the backend servers.
        notices: Notice actor, which returns the hosts recorded as leaving.
        settings: Function that returns the deployment settings in force.
        period_s: Time from the end of one plan to the start of the next, in seconds.
    """

    use_daemon_thread = True

    def __init__(
        self,
        host_manager: HostManager,
        orders: pykka.ActorRef[Any],
        notices: pykka.ActorRef[Any],
        settings: Callable[[], DeploymentSettings],
        period_s: float,
    ) -> None:
        super().__init__()
        self.host_manager = host_manager
        """Plans, starts and releases the hosts."""
        self.orders = orders
        """Order actor, which returns the load of the backend servers."""
        self.notices = notices
        """Notice actor, which returns the hosts recorded as leaving."""
        self.settings = settings
        """Function that returns the deployment settings in force."""
        self.period_s = period_s
        """Time from the end of one plan to the start of the next, in seconds."""

    def on_receive(self, message: Any) -> Any:
        """Handle a `Tick` or `Dump`."""
        if isinstance(message, Tick):
            return self.on_tick(message)
        if isinstance(message, Dump):
            return self.on_dump(message)
        raise TypeError(f"capacity actor does not handle message {message!r}")

    def on_tick(self, message: Tick) -> None:
        """Plan if the lease is held, wait for the period and send the next tick."""
        if self.host_manager.lease.is_held():
            self._plan()
        time.sleep(self.period_s)
        self.actor_ref.tell(Tick())

    def on_dump(self, message: Dump) -> dict[str, Any]:
        """Return pending starts, draining hosts and the last plan of each service."""
        return {
            "starts": list(self.host_manager.pending_starts.values()),
            "draining": sorted(self.host_manager.draining),
            "plans": {
                name: {
                    "steps": plan.steps,
                    "wanted": {str(key): n for key, n in plan.wanted.items()},
                    "short_slots": plan.short_slots,
                    "cost_per_hour": plan.cost_per_hour,
                }
                for name, plan in self.host_manager.plans.items()
            },
        }

    def _plan(self) -> None:
        backends = ask(self.orders, GetLoads())
        leaving_hosts = ask(self.notices, GetLeavingHosts())
        self.host_manager.reconcile(self.settings(), backends, leaving_hosts, wall_ms())
