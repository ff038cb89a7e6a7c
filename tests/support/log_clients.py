"""Clients of a simulated replication group, which resend lost operations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from support.log_checks import Operation, require
from tanagerturn.coordination.store import Status
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from support.log_cluster import Cluster

RESEND_S: Final = 0.5
LOST_RESULT_RATE: Final = 0.05
LEASE_MS: Final = 400
KEYS: Final = ("a", "b")
LEASE: Final = "lease"


class Client:
    """A client that runs one operation at a time."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.operation: Operation | None = None
        self.count = 0
        self.fencing_number = 0
        """Fencing number of the lease that this client holds; 0 for none."""
        self.revisions = dict.fromkeys(KEYS, 0)

    @property
    def is_done(self) -> bool:
        """Whether the failures have ended and no operation is in progress."""
        return self.operation is None and self.cluster.failures_ended

    def next(self) -> None:
        """Start the next operation, unless the failures have ended."""
        if self.cluster.failures_ended:
            return
        random = self.cluster.random
        key = random.choice(KEYS)
        command = None if random.random() < 0.3 else self._command(key)
        min_revision = self.cluster.checks.highest_returned
        self.operation = Operation(command, key, min_revision, self.cluster.now)
        self._send(self.operation, hint="")

    def _command(self, key: str) -> pb.Command:
        random = self.cluster.random
        self.count += 1
        change_id = f"{self.name}-{self.count}"
        if random.random() < 0.2:
            return self._lease_command()
        put = pb.Put(key=key, value=change_id.encode())
        if random.random() < 0.5:
            put.expected_revision = self.revisions[key]
        return pb.Command(change_id=change_id, transaction=pb.Transaction(puts=[put]))

    def _lease_command(self) -> pb.Command:
        if self.fencing_number and self.cluster.random.random() < 0.7:
            renew = pb.LeaseRenew(name=LEASE, fencing_number=self.fencing_number)
            return pb.Command(lease_renew=renew)
        if self.fencing_number and self.cluster.random.random() < 0.3:
            release = pb.LeaseRelease(name=LEASE, fencing_number=self.fencing_number)
            lease_valid_until_s = self.cluster.checks.lease_valid_until_s
            lease_valid_until_s[(LEASE, self.fencing_number)] = self.cluster.now
            self.fencing_number = 0
            return pb.Command(lease_release=release)
        acquire = pb.LeaseAcquire(name=LEASE, holder=self.name, duration_ms=LEASE_MS)
        return pb.Command(lease_acquire=acquire)

    def _send(self, operation: Operation, hint: str) -> None:
        """Send an operation to a member, and again when no result arrives."""
        if self.operation is not operation:
            return
        cluster = self.cluster
        operation.attempts += 1
        sent_at_s = cluster.now
        node = cluster.nodes.get(hint) or cluster.random.choice(
            list(cluster.nodes.values())
        )

        def on_result(result: Any) -> None:
            if (
                cluster.random.random() < LOST_RESULT_RATE
                and not cluster.failures_ended
            ):
                return
            delay_s = cluster.random.random() * 0.01
            cluster.at(delay_s, lambda: self._on_result(operation, result, sent_at_s))

        if node.replica is not None and not node.is_paused:
            node.act(
                lambda replica: self._call(replica, node.moment(), operation, on_result)
            )
        attempt = operation.attempts
        cluster.at(RESEND_S, lambda: self._resend(operation, attempt))

    def _resend(self, operation: Operation, attempt: int) -> None:
        if operation.attempts == attempt:
            self._send(operation, hint="")

    def _call(
        self, replica: Any, at: Any, operation: Operation, on_result: Any
    ) -> None:
        if operation.command is not None:
            command = pb.Command()
            command.CopyFrom(operation.command)
            replica.propose(command, at, on_result)
            return
        key = operation.key
        replica.query(
            lambda store: (store.revision, store.entries.get(key)),
            on_result,
            stale_allowed=False,
        )

    def _on_result(self, operation: Operation, result: Any, sent_at_s: float) -> None:
        if self.operation is not operation:
            return
        if result.is_error():
            hint = getattr(result.error, "leader", "")
            operation.attempts += 1
            pause_s = 0.01 if hint else 0.05
            self.cluster.at(pause_s, lambda: self._send(operation, hint))
            return
        self.operation = None
        checks = self.cluster.checks
        if operation.command is None:
            revision, found = result.ok
            checks.on_read(operation, revision, found)
            self.revisions[operation.key] = found.mod_revision if found else 0
        else:
            checks.on_written(operation, result.ok)
            self._on_lease(operation.command, result.ok, sent_at_s)
        self.cluster.at(0.01 + self.cluster.random.random() * 0.05, self.next)

    def _on_lease(
        self, command: pb.Command, result: pb.CommandResult, sent_at_s: float
    ) -> None:
        """Record until when the client relies on a lease, from its request on."""
        if not (command.HasField("lease_acquire") or command.HasField("lease_renew")):
            return
        if result.status != Status.APPLIED:
            self.fencing_number = 0
            return
        require(result.lease.holder == self.name, "a client got another holder's lease")
        self.fencing_number = result.lease.fencing_number
        until_s = sent_at_s + LEASE_MS / 1000
        lease_valid_until_s = self.cluster.checks.lease_valid_until_s
        lease_valid_until_s[(LEASE, self.fencing_number)] = max(
            lease_valid_until_s.get((LEASE, self.fencing_number), 0), until_s
        )
