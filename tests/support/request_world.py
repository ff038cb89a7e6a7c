"""Simulated entry hosts that execute calls to one service in a single thread."""

from __future__ import annotations

from collections import Counter

from support.flaky_state import CrashPoints, FlakyStateClient, HostCrashed
from tanagerturn.coordination.ids import GroupId, ProcessId
from tanagerturn.coordination.local import LocalStateClient
from tanagerturn.schema import coordination_pb2
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests import call as calls
from tanagerturn.serving.requests.executor import CallExecutor
from tanagerturn.serving.requests.ids import (
    ClientAccountId,
    IdempotencyKey,
    RequestId,
)
from tanagerturn.serving.requests.ledger import RequestLedger
from tanagerturn.serving.requests.ports import CallPolicy
from tanagerturn.serving.requests.replies import ReplyKind
from tanagerturn.serving.requests.settle import Settler
from tanagerturn.serving.requests.stored import NewRequest
from tanagerturn.serving.requests.takeover import make_owner, owner_lease

GROUP = GroupId("requests")
PERMISSION_EXPIRED_S = 3.0


class FakeClock:
    """Clock whose time advances only by `pause`."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def wall_ms(self) -> int:
        """Return the wall clock time in milliseconds."""
        return int(self.now_s * 1000)

    def monotonic_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self.now_s

    def pause(self, seconds: float) -> None:
        """Advance the time by a number of seconds."""
        self.now_s += seconds


class FakeService:
    """Executes every call without deduplication and counts executions by key."""

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        self.refused: set[str] = set()

    def execute(self, key: str) -> pb.Answer | None:
        """Execute a call; return None after an outcome query that has ruled it out."""
        if key in self.refused:
            return None
        self.executions[key] += 1
        return pb.Answer(status=200, body=f"seat for {key}".encode())

    def outcome(self, key: str) -> calls.QueryExecuted | calls.QueryNotExecuted:
        """Respond to an outcome query, which rules out a call that has not run yet."""
        if self.executions[key]:
            body = f"seat for {key}".encode()
            return calls.QueryExecuted(pb.Answer(status=200, body=body))
        self.refused.add(key)
        return calls.QueryNotExecuted()


class FakeBackendCalls:
    """Backend calls with one configured behaviour per attempt, "" after the last one.

    "refused" fails before the first byte is sent, "dropped" after that and before the
    execution, "cut" after the execution and before the response; the test executes
    "late" at a later time.
    """

    def __init__(self, service, clock, points, behaviours) -> None:
        self.service = service
        self.clock = clock
        self.points = points
        self.behaviours = list(behaviours)
        self.late: list[str] = []

    def choose(self, record) -> str:
        """Return the id of the only backend server."""
        return "desk-1"

    def send(self, record, permission):
        """Send one attempt with the next configured behaviour."""
        self.points.reach()
        behaviour = self.behaviours.pop(0) if self.behaviours else ""
        if behaviour == "refused" or not permission.allows(self.clock.monotonic_s()):
            return calls.NotSent()
        if behaviour == "late":
            self.late.append(record.idempotency_key)
        if behaviour in ("late", "dropped"):
            return calls.AnswerLost()
        answer = self.service.execute(record.idempotency_key)
        self.points.reach()
        if behaviour == "cut" or answer is None:
            return calls.AnswerLost()
        return calls.Answered(answer)

    def ask(self, record):
        """Query the service for the outcome of a call."""
        self.points.reach()
        outcome = self.service.outcome(record.idempotency_key)
        self.points.reach()
        return outcome


class EntryHost:
    """One entry host with its lease, call executor and settler."""

    def __init__(self, world, name: str, plan=(), crash_at: int = 0, behaviours=()):
        self.world = world
        self.owner = make_owner(ProcessId(name), "1")
        self.points = CrashPoints(crash_at)
        self.client = FlakyStateClient(world.local, list(plan), self.points)
        self.backend_calls = FakeBackendCalls(
            world.service, world.clock, self.points, behaviours
        )
        self.ledger = RequestLedger(self.client, GROUP, self.owner)
        acquire = coordination_pb2.LeaseAcquire(
            name=owner_lease(self.owner), holder=self.owner, duration_ms=3000
        )
        command = coordination_pb2.Command(lease_acquire=acquire)
        lease = world.local.propose(GROUP, command, 1.0).ok.lease
        self.ledger.fence = coordination_pb2.Fence(
            lease=lease.name, fencing_number=lease.fencing_number
        )
        self.call_executor = CallExecutor(self.ledger, world.clock)
        self.settler = Settler(self.call_executor, lambda key: False)

    def run(self, key: str, body: bytes = b"body", kind=pb.NOT_REPEATABLE):
        """Execute a call; return None if the host crashed meanwhile."""
        try:
            new = new_request(key, body, kind)
            return self.call_executor.run(new, self.world.policy, self.backend_calls)
        except HostCrashed:
            return None

    def lose_lease(self) -> None:
        """Expire the lease of the host, as the leader of the group does."""
        lease = self.world.local.lease(GROUP, owner_lease(self.owner), 1.0).ok
        lapse = coordination_pb2.LeaseLapse(
            name=lease.name,
            fencing_number=lease.fencing_number,
            renewals=lease.renewals,
        )
        command = coordination_pb2.Command(lease_lapse=lapse)
        self.world.local.propose(GROUP, command, 1.0)

    def sweep(self) -> bool:
        """Run three takeover sweeps and settle the records that they return.

        Time advances after each sweep. Returns False if the host crashed meanwhile.
        """
        try:
            for _ in range(3):
                for held in self.settler.sweep().ok:
                    self.call_executor.settle(
                        held, self.world.policy, self.backend_calls
                    )
                self.world.clock.pause(PERMISSION_EXPIRED_S)
        except HostCrashed:
            return False
        return True


class RequestWorld:
    """The store, service and clock that the hosts share."""

    def __init__(self, has_query: bool, max_attempts: int = 2) -> None:
        self.local = LocalStateClient()
        self.service = FakeService()
        self.clock = FakeClock()
        self.policy = CallPolicy(max_attempts, has_query, answer_limit_bytes=1000)

    def check(self, key: str, replies) -> None:
        """Assert that a request ran at most once and that no reply about it is false.

        Args:
            key: Idempotency key of the request.
            replies: Replies of all hosts; None for a host that crashed.
        """
        ran = self.service.executions[key]
        kinds = {reply.kind for reply in replies if reply is not None}
        assert ran <= 1, f"{key} executed {ran} times"
        if kinds & {ReplyKind.NOT_RUN, ReplyKind.NOT_ACCEPTED}:
            assert ran == 0, f"{key} ran, but the replies were {kinds}"
        if ReplyKind.ANSWERED in kinds:
            assert ran == 1, f"{key} did not run, but the replies were {kinds}"


def new_request(key: str, body: bytes = b"body", kind=pb.NOT_REPEATABLE) -> NewRequest:
    """Return a request of the client account `inyenyeri`."""
    return NewRequest(
        client_account=ClientAccountId("inyenyeri"),
        idempotency_key=IdempotencyKey(key),
        request_id=RequestId(f"r-{key}"),
        service="seats",
        kind=kind,
        priority=pb.URGENT,
        fingerprint=body,
        request=pb.CallerRequest(method="POST", path="/purchases", body=body),
        deadline_at_ms=2_000_000,
        keep_ms=60_000,
    )
