"""Builds a control process out of its parts and stops it gracefully."""

from __future__ import annotations

import secrets
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import pykka
from prometheus_client import CollectorRegistry, Gauge

from tanagerturn.actors import ask
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.ids import LeaseName, ProcessId
from tanagerturn.coordination.leases import LeaseKeeper, LeaseTerms, holder_id
from tanagerturn.observe.logs import part_logger
from tanagerturn.observe.operations import OperationsServer

if TYPE_CHECKING:
    from tanagerturn.coordination.client import StateClient
    from tanagerturn.schema.settings_pb2 import ProcessSettings

log = part_logger("control")

CONTROL_LEASE: Final = LeaseName("control")


@dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True)
class Release:
    """The process stops: the lease is to be given up."""


@dataclass(frozen=True)
class Dump:
    """Asks for the actor's state."""


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
        return self.keeper.dump(monotonic_ms())


class ControlServer:
    """A running control process.

    Args:
        settings: Settings of the process, with its `control` part.
        client: Calls to the replicated store.
    """

    def __init__(self, settings: ProcessSettings, client: StateClient) -> None:
        self.settings = settings
        """Settings of the process."""
        self.registry = CollectorRegistry()
        """Metrics of the process."""
        self.keeper = LeaseKeeper(
            client,
            CONTROL_GROUP,
            CONTROL_LEASE,
            holder_id(ProcessId(settings.id), secrets.token_hex(4)),
            LeaseTerms(settings.control.lease_ms),
            monotonic_ms,
        )
        """Keeps the lease of the active control process."""
        active = Gauge(
            "tanager_control_active",
            "1 while this process holds the control lease.",
            registry=self.registry,
        )
        active.set_function(lambda: float(self.active()))
        self.lease_actor = LeaseActor.start(
            self.keeper, settings.control.period_ms / 1000
        )
        """Actor that keeps the lease."""
        self.lease_actor.tell(Tick())
        self.operations = OperationsServer(
            settings.operations, self.registry, lambda: True, self.dump
        )
        """Listener for operators."""
        log.info("Control process {} is up.", settings.id)

    def active(self) -> bool:
        """Tell whether this process holds the control lease now."""
        return self.keeper.held(monotonic_ms())

    def dump(self) -> dict[str, Any]:
        """Return the state of the process."""
        return {"process": self.settings, "lease": ask(self.lease_actor, Dump())}

    def stop(self) -> None:
        """Give the lease up and stop."""
        ask(self.lease_actor, Release())
        self.lease_actor.stop()
        self.operations.stop()
        log.info("Control process {} has stopped.", self.settings.id)


def start_control(settings: ProcessSettings, client: StateClient) -> ControlServer:
    """Start a control process inside this one.

    Args:
        settings: Settings of the process, with its `control` part.
        client: Calls to the replicated store.
    """
    return ControlServer(settings, client)


def monotonic_ms() -> int:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000
