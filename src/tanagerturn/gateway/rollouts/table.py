"""The rollouts that a gateway knows, and the versions they allow; no I/O.

A version gets requests only once it is confirmed: a read of the state group after its
first backend server was heard of has found no order in progress with it as the target.
The target of an order in progress gets the share that the lease holder permits.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.fleet import service_of
from tanagerturn.gateway.rollouts.attempts import AttemptCounter
from tanagerturn.gateway.rollouts.codec import (
    IssuedPermission,
    permission_of,
    state_of,
)
from tanagerturn.serving.rollouts.evidence import VersionEvidence
from tanagerturn.serving.rollouts.messages import RolloutState, Side
from tanagerturn.serving.rollouts.splitter import Splitter

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from tanagerturn.gateway.fleet import Fleet
    from tanagerturn.gateway.request_run import RequestRun
    from tanagerturn.schema import gateway_pb2 as gpb
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId
    from tanagerturn.serving.rollouts.messages import Permission

STALE_AFTER_MS: Final = 1_000
"""Time in milliseconds after the expiry of a permission from which the state group is
asked for the order: the rollout may have ended while this gateway was cut off."""


@dataclass
class ServiceRollout:
    """What a gateway knows of the newest rollout of one service."""

    confirmed: set[str] = field(default_factory=set)
    """Versions that may get requests, unless they are the target of the order."""
    condemned: set[str] = field(default_factory=set)
    """Targets of earlier orders that were rolled back."""
    issued: IssuedPermission | None = None
    """Newest permission; None without an order."""
    received_ms: int = 0
    """Corrected wall-clock time in milliseconds at which it was received."""
    clock_lead_ms: int = 0
    """Time in milliseconds by which the clock of the issuer is ahead at least."""
    splitter: Splitter = field(default_factory=Splitter)
    """Splits the requests between the versions."""
    counter: AttemptCounter = field(default_factory=AttemptCounter)
    """Counts requests as evidence."""

    @property
    def active(self) -> Permission | None:
        """Permission of the order in progress; None without one."""
        if self.issued is None or self.issued.is_finished:
            return None
        return self.issued.permission

    def share(self, now_ms: int) -> float:
        """Return the share of the requests that may use the target now."""
        permission = self.issued.permission if self.issued is not None else None
        if permission is None or not permission.side_allowed(
            now_ms + self.clock_lead_ms
        ):
            return 0.0
        return permission.share

    def may_run(self, version: str) -> bool:
        """Return whether a version may get requests, other than a target's share."""
        if self.issued is None:
            return version in self.confirmed
        permission = self.issued.permission
        if permission.state is RolloutState.COMPLETED:
            return version == permission.target
        return version != permission.target and version in self.confirmed


class RolloutTable:
    """Rollouts of all services at one gateway.

    Args:
        started_ms: Wall-clock time of the process start in milliseconds.
        random: Random number generator.
    """

    def __init__(self, started_ms: int, random: Random) -> None:
        self.started_ms = started_ms
        """Wall-clock time of the process start in milliseconds."""
        self.random = random
        """Random number generator."""
        self.services: dict[str, ServiceRollout] = {}
        """What is known by service."""
        self.changed: set[str] = set()
        """Services whose permission changed since they were taken for the log."""

    def service(self, name: str) -> ServiceRollout:
        """Return what is known of a service; an empty entry is added if missing."""
        known = self.services.get(name)
        if known is None:
            known = self.services[name] = ServiceRollout()
        return known

    def on_issued(self, issued: IssuedPermission, now_ms: int) -> bool:
        """Apply a permission unless a newer one is known.

        Args:
            issued: The permission.
            now_ms: Current corrected wall-clock time in milliseconds.

        Returns:
            Whether it is newer.
        """
        permission = issued.permission
        known = self.service(permission.service)
        previous = known.issued
        if previous is not None and issued.rank <= previous.rank:
            return False
        is_new_order = (
            previous is None or previous.permission.number < permission.number
        )
        if previous is None or _has_changed(previous.permission, permission):
            self.changed.add(permission.service)
        if is_new_order and previous is not None:
            _finish(known, previous.permission)
        if is_new_order or (previous and previous.holder != issued.holder):
            known.clock_lead_ms = 0
        known.clock_lead_ms = max(known.clock_lead_ms, permission.issued_ms - now_ms)
        known.issued, known.received_ms = issued, now_ms
        if issued.is_finished:
            _finish(known, permission)
            known.counter.end()
            return True
        if is_new_order:
            evidence = VersionEvidence(permission.number, self.started_ms)
            known.counter.begin(permission.target, evidence)
        if known.counter.evidence is not None:
            known.counter.evidence.permission_ms = permission.issued_ms
        return True

    def on_confirmed(
        self,
        service: str,
        stored: gpb.StoredRollout | None,
        heard: set[str],
        now_ms: int,
    ) -> None:
        """Apply the newest order as read from the state group.

        Args:
            service: The service.
            stored: Its newest order; None without one.
            heard: Versions that were known before the read began.
            now_ms: Current corrected wall-clock time in milliseconds.
        """
        known = self.service(service)
        number = 0
        if stored is not None:
            number = stored.number
            self.on_issued(permission_of(stored), now_ms)
            known.condemned = rolled_back_targets(stored)
            if state_of(stored) is RolloutState.COMPLETED:
                return
            heard = heard - {stored.target}
        if known.issued is None or known.issued.permission.number <= number:
            known.confirmed |= heard - known.condemned

    def on_known(self, service: str, number: int, confirmed: set[str]) -> None:
        """Apply the versions that a peer, or this gateway before a restart, confirmed.

        Args:
            service: The service.
            number: Number of the newest order known there; 0 for none.
            confirmed: The versions.
        """
        known = self.service(service)
        issued = known.issued
        if issued is None or issued.permission.number == number:
            known.confirmed |= confirmed - known.condemned

    def needs_read(self, service: str, versions: set[str], now_ms: int) -> bool:
        """Return whether the state group has to be asked for a service's order.

        Args:
            service: The service.
            versions: Versions of its backend servers.
            now_ms: Current corrected wall-clock time in milliseconds.
        """
        known = self.service(service)
        if known.issued is not None:
            permission = known.issued.permission
            if permission.state is RolloutState.ACTIVE:
                expiry_ms = permission.issued_ms + permission.valid_ms
                if now_ms > max(expiry_ms, known.received_ms) + STALE_AFTER_MS:
                    return True
            versions = versions - {permission.target}
            if permission.state is RolloutState.COMPLETED:
                # The old versions leave; another one may be the target of a new order.
                return bool(versions - known.confirmed)
        return bool(versions - known.confirmed - known.condemned)

    def is_confirmed(self, fleet: Fleet) -> bool:
        """Return whether each known version has been looked up once."""
        for backend in fleet.view.backends.values():
            known = self.service(service_of(backend))
            if known.issued is None and backend.software_version not in known.confirmed:
                return False
        return True

    def excluded_ids(
        self,
        run: RequestRun,
        fleet: Fleet,
        settled_versions: Collection[str],
        now_s: float,
        now_ms: int,
    ) -> set[BackendId]:
        """Return the backend servers that a rollout keeps from a request now.

        Args:
            run: The request.
            fleet: State of the backend servers.
            settled_versions: Versions at which new resumable streams may begin.
            now_s: Current boot-clock time in seconds.
            now_ms: Current corrected wall-clock time in milliseconds.
        """
        pool = fleet.view.pool(run.service)
        known = self.service(run.service)
        old = {b.id for b in pool if known.may_run(b.software_version)}
        permission = known.active
        if permission is None:
            return {b.id for b in pool} - old
        targets = {b.id for b in pool if b.software_version == permission.target}
        others = {b.id for b in pool} - old - targets
        if not self._may_use_target(known, run, settled_versions, now_ms):
            return others | targets
        if run.origin is not None:
            return others
        # A failed attempt is repeated at the old versions while they remain in use.
        is_whole = permission.share >= 1.0
        second = old if is_whole or not run.sent_count else targets
        first_left = fleet.candidates(
            run.service, run.tried_backend_ids | second | others, now_s
        )
        healthy = [b for b in first_left if fleet.is_healthy(b, now_s)]
        if second is old:
            healthy = [b for b in healthy if is_warm(b)]
        if not healthy:
            return others
        if second is old and not is_whole:
            return others | old | targets - {self._next_target(known, healthy, fleet)}
        return others | second

    def allows(
        self, run: RequestRun, backend: Backend, fleet: Fleet, now_s: float, now_ms: int
    ) -> bool:
        """Return whether a request may still be sent to a backend server.

        It may have been chosen some time ago, before a connection was opened.
        """
        known = self.service(run.service)
        permission = known.active
        version = backend.software_version
        if permission is None or version not in (permission.target, *known.confirmed):
            return known.may_run(version)
        if version == permission.target:
            return self._may_use_target(known, run, None, now_ms)
        if permission.share < 1.0 or run.origin is not None:
            return known.may_run(version)
        if not self._may_use_target(known, run, None, now_ms):
            return known.may_run(version)
        targets = [
            b
            for b in fleet.view.pool(run.service)
            if b.software_version == permission.target
            and b.id not in run.tried_backend_ids
            and is_warm(b)
        ]
        return not any(fleet.is_healthy(b, now_s) for b in targets)

    def give_up_target(self, run: RequestRun, now_ms: int) -> bool:
        """Let a request use the old versions, because the target has no room for it.

        Returns:
            Whether it was to use the target; False also once all requests are.
        """
        known = self.service(run.service)
        permission = known.active
        if permission is None or permission.share >= 1.0 or run.origin is not None:
            return False
        if not permission.side_allowed(now_ms + known.clock_lead_ms):
            return False
        if run.rollout_side is not Side.TARGET:
            return False
        run.rollout_side = Side.OLD
        return True

    def _next_target(
        self, known: ServiceRollout, healthy: Sequence[Backend], fleet: Fleet
    ) -> BackendId:
        """Return the backend server of the target for the next request.

        A few requests per second would all go to the same one, by its id, and a fault
        of the version could not be told from one of its host.
        """
        sent_to = known.counter.sent_to

        def order(backend: Backend) -> tuple[int, int, float]:
            running = len(fleet.state(backend.id).in_flight)
            return running, sent_to[backend.id], self.random.random()

        return min(healthy, key=order).id

    def _may_use_target(
        self,
        known: ServiceRollout,
        run: RequestRun,
        settled_versions: Collection[str] | None,
        now_ms: int,
    ) -> bool:
        """Return whether a request may use the target; choose its side at first."""
        permission = known.active
        if permission is None:
            return False
        issuer_ms = now_ms + known.clock_lead_ms
        if not permission.side_allowed(issuer_ms):
            return False
        if run.origin is not None:
            return run.origin.software_version == permission.target
        if permission.share >= 1.0:
            return True
        if run.rollout_side is None or run.rollout_number != permission.number:
            run.rollout_number = permission.number
            is_young = bool(
                settled_versions
                and run.is_resumable
                and permission.target not in settled_versions
            )
            run.rollout_side = (
                Side.OLD
                if is_young
                else known.splitter.choose(permission, issuer_ms, self.random.random())
            )
        return run.rollout_side is Side.TARGET


def is_warm(backend: Backend) -> bool:
    """Return whether a backend server of a target is past its warm-up.

    Before, it is slower than those that have run for long, whatever its version.
    """
    return not backend.announcement.warmup_left_ms


def rolled_back_targets(stored: gpb.StoredRollout) -> set[str]:
    """Return the targets whose newest order was rolled back."""
    states: dict[str, RolloutState] = {}
    for each in (stored, *stored.earlier):
        states.setdefault(each.target, state_of(each))
    return {v for v, state in states.items() if state is RolloutState.ROLLED_BACK}


def _finish(known: ServiceRollout, permission: Permission) -> None:
    """Apply the end of a rollout to the confirmed versions."""
    if permission.state is RolloutState.COMPLETED:
        known.confirmed = {permission.target}
        known.condemned.discard(permission.target)
    elif permission.state is RolloutState.ROLLED_BACK:
        known.confirmed.discard(permission.target)
        known.condemned.add(permission.target)


def _has_changed(previous: Permission, permission: Permission) -> bool:
    return (previous.number, previous.state, previous.share) != (
        permission.number,
        permission.state,
        permission.share,
    )
