"""Explores all event orders of one request on two entry hosts.

The search runs the production functions `lifecycle.apply` and `call.step`. The model
around them consists of a store with compare-and-set and fences, whose responses can be
lost and whose writes can be delayed; hosts that crash, lose their lease and resume; a
service that executes each received call at any later time; and an operator.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from functools import cache
from typing import TYPE_CHECKING, NamedTuple

from tanagerturn.coordination.ids import ProcessId
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests import call as calls
from tanagerturn.serving.requests import lifecycle

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MAX_ATTEMPTS = 2


class Budget(NamedTuple):
    """Number of times that each kind of failure may still occur."""

    crashes: int = 1
    restarts: int = 1
    expiries: int = 1
    lost_commits: int = 1
    refused: int = 1
    lost_answers: int = 1
    failed_queries: int = 1


class Host(NamedTuple):
    """State of one entry host.

    Attributes:
        owner: Owner id of the host.
        alive: Whether the host has not crashed.
        leased: Whether the host holds its lease.
        asked: Whether a caller has sent the request to the host.
        call: State of the call on the host; None if it processes none.
        action: Next action of the call; None if there is none.
        record: Serialized record as the host last wrote it; None before that.
        revision: Revision of the record as the host last wrote or read it.
        permitted: Whether the host has a permission that has not expired.
        sent: Whether the current attempt was sent.
        reply: First reply of the host to the caller; empty before it.
    """

    owner: str
    alive: bool = True
    leased: bool = True
    asked: bool = False
    call: calls.Call | None = None
    action: object = None
    record: bytes | None = None
    revision: int = 0
    permitted: bool = False
    sent: bool = False
    reply: str = ""


class World(NamedTuple):
    """State of the whole model.

    Attributes:
        record: Serialized stored record; None if no record is stored.
        revision: Store revision of the record.
        late: Delayed commits: expected revision, serialized record, index of the host.
        hosts: State of each host.
        in_flight: Number of sent calls that the service has not received yet.
        executed: Number of executions of the request.
        refuses: Whether an outcome query has ruled out further executions.
        replies: All replies to callers.
        budget: Failures that may still occur.
    """

    record: bytes | None
    revision: int
    late: tuple[tuple[int, bytes, int], ...]
    hosts: tuple[Host, ...]
    in_flight: int
    executed: int
    refuses: bool
    replies: frozenset[str]
    budget: Budget


@dataclass(frozen=True)
class Rules:
    """The functions and settings to search, possibly with an injected defect.

    Attributes:
        has_query: Whether the service has an outcome query.
        step: State machine of the call.
        apply: Function that applies a transition to a record.
        settles_before_expiry: Defect: settle before permissions have expired.
        sends_after_unconfirmed_commit: Defect: send although the commit of the
            permission is not confirmed.
    """

    has_query: bool
    step: Callable[[object, calls.Call], calls.Step] = calls.step
    apply: Callable[..., lifecycle.TransitionResult] = lifecycle.apply
    settles_before_expiry: bool = False
    sends_after_unconfirmed_commit: bool = False


@dataclass
class SearchResult:
    """Result of a search.

    Attributes:
        states: Number of visited states.
        violations: Events that lead to the first state with each kind of violation.
    """

    states: int = 0
    violations: dict[str, list[str]] = field(default_factory=dict)


def new_record(owner: str) -> pb.RequestRecord:
    return pb.RequestRecord(
        client_account="a",
        idempotency_key="k",
        request_id=owner,
        kind=pb.NOT_REPEATABLE,
        state=pb.ACCEPTED,
        owner=owner,
        fencing_number=1,
    )


@cache
def parse_record(value: bytes) -> pb.RequestRecord:
    return pb.RequestRecord.FromString(value)


class Search:
    """Breadth-first search from the initial state, with the path to each violation."""

    def __init__(self, rules: Rules, budget: Budget) -> None:
        self.rules = rules
        self.budget = budget
        self.transitions: dict[tuple[str, bytes], bytes | None] = {}

    def run(self) -> SearchResult:
        """Visit every reachable state."""
        hosts = (Host("A"), Host("B"))
        start = World(None, 0, (), hosts, 0, 0, False, frozenset(), self.budget)
        found = SearchResult()
        parents: dict[World, tuple[World, str] | None] = {start: None}
        queue = deque([start])
        while queue:
            world = queue.popleft()
            found.states += 1
            after = list(self.successors(world))
            violation = self.violation(world, last=not after)
            if violation:
                found.violations.setdefault(violation, self.path(parents, world))
                continue
            for name, successor in after:
                if successor not in parents:
                    parents[successor] = (world, name)
                    queue.append(successor)
        return found

    def path(self, parents, world: World) -> list[str]:
        """Return the events that lead from the initial state to a state."""
        names = []
        while parents[world] is not None:
            world, name = parents[world]
            names.append(name)
        return names[::-1]

    def violation(self, world: World, last: bool) -> str:
        """Return the invariant violation in a state; empty if there is none.

        Args:
            world: The state.
            last: Whether no event can follow the state.
        """
        state = parse_record(world.record).state if world.record else None
        if world.executed > 1:
            return "executed twice"
        if world.executed and ("not_run" in world.replies or state == pb.NOT_RUN):
            return "false not run"
        if not world.executed and ("answered" in world.replies or state == pb.ANSWERED):
            return "false answer"
        working = [h for h in world.hosts if h.alive and h.leased]
        if not last or not working:
            return ""
        if state in lifecycle.OPEN_STATES:
            return "never ended"
        if any(h.asked and not h.reply for h in working):
            return "never told"
        return ""

    def transition(
        self, transition: lifecycle.Transition, value: bytes
    ) -> bytes | None:
        """Return the serialized record after a transition; None if it is refused."""
        key = (repr(transition), value)
        if key not in self.transitions:
            after = self.rules.apply(transition, parse_record(value), 0)
            done = after.ok.SerializeToString() if after.is_ok() else None
            self.transitions[key] = done
        return self.transitions[key]

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield each possible next event with the state after it."""
        for host_index, host in enumerate(world.hosts):
            for name, after in self.host_events(world, host_index, host):
                yield f"{host.owner}: {name}", after
        yield from self.store_events(world)
        yield from self.service_events(world)

    def host_events(self, world: World, host_index: int, host: Host):
        """Yield the possible events of a host with the state after each."""
        budget = world.budget
        if not host.alive:
            if budget.restarts:
                restarted = Host(host.owner + "'")
                after = self.replace_host(
                    world, host_index, restarted, restarts=budget.restarts - 1
                )
                yield "restarts", after
            return
        if budget.crashes:
            dead = host._replace(
                alive=False, leased=False, permitted=False, call=None, action=None
            )
            yield (
                "crashes",
                self.replace_host(world, host_index, dead, crashes=budget.crashes - 1),
            )
        if host.leased and budget.expiries:
            expired = host._replace(leased=False)
            yield (
                "loses its lease",
                self.replace_host(
                    world, host_index, expired, expiries=budget.expiries - 1
                ),
            )
        if host.permitted and not host.leased:
            yield (
                "permission ends",
                self.replace_host(world, host_index, host._replace(permitted=False)),
            )
        if not host.asked:
            first, action = calls.start_call(MAX_ATTEMPTS, self.rules.has_query)
            asked = host._replace(asked=True, call=first, action=action)
            yield "is asked", self.replace_host(world, host_index, asked)
        if host.call is None or host.action is None:
            yield from self.sweep(world, host_index, host)
            return
        yield from self.perform(world, host_index, host)

    def replace_host(
        self, world: World, host_index: int, host: Host, **spent: int
    ) -> World:
        """Return the state with one host replaced.

        Args:
            world: The state.
            host_index: Index of the host.
            host: New state of the host.
            spent: New counts of the failure budget.
        """
        hosts = (*world.hosts[:host_index], host, *world.hosts[host_index + 1 :])
        replies = world.replies | {host.reply} if host.reply else world.replies
        budget = world.budget._replace(**spent) if spent else world.budget
        return world._replace(hosts=hosts, replies=replies, budget=budget)

    def event(
        self, world: World, host_index: int, host: Host, event: object, **spent
    ) -> World:
        """Return the state after an event of the call on a host."""
        call, action = self.rules.step(event, host.call)
        after = host._replace(call=call, action=action, sent=False)
        return self.replace_host(world, host_index, after, **spent)

    def sweep(self, world: World, host_index: int, host: Host):
        """Yield the takeover or settlement that a host can start."""
        if world.record is None or not host.leased:
            return
        record = parse_record(world.record)
        if not lifecycle.is_open(record):
            return
        owners = {h.owner: h for h in world.hosts}
        holder = owners.get(record.owner)
        if record.owner == host.owner:
            if host.call is not None and host.call.stage is not calls.Stage.DONE:
                return
            if not self.rules.settles_before_expiry and any(
                h.permitted for h in world.hosts if h is not host
            ):
                return
            yield "settles", self.settle(world, host_index, host)
            return
        if holder is not None and holder.leased:
            return
        transition = lifecycle.TakeOver(ProcessId(record.owner), ProcessId(host.owner))
        value = self.transition(transition, world.record)
        if value is not None:
            taken = world._replace(record=value, revision=world.revision + 1)
            yield "takes over", taken

    def settle(self, world: World, host_index: int, host: Host) -> World:
        """Return the state after a host starts to settle the stored record."""
        if parse_record(world.record).state == pb.ACCEPTED:
            call = calls.Call(calls.Stage.COMMITTING_ATTEMPT, 0, 1)
            action: object = calls.CommitAttempt(is_retry=False)
        else:
            call, action = calls.start_settlement(self.rules.has_query)
        taken = host._replace(
            call=call, action=action, record=world.record, revision=world.revision
        )
        return self.replace_host(world, host_index, taken)

    def perform(self, world: World, host_index: int, host: Host):
        """Yield the possible results of the next action of a host."""
        action = host.action
        if isinstance(action, calls.Send):
            yield from self.send(world, host_index, host)
        elif isinstance(action, calls.QueryOutcome):
            yield from self.ask(world, host_index, host)
        elif isinstance(action, calls.Abandon):
            yield from self.abandon(world, host_index, host)
        elif isinstance(action, calls.ReplyAnswer):
            yield "replies", self.reply(world, host_index, host, "answered")
        elif isinstance(action, calls.ReplyUnknown):
            yield "replies", self.reply(world, host_index, host, "unknown")
        elif isinstance(action, calls.ReplyRecord):
            yield "replies", self.reply(world, host_index, host, self.outcome(world))
        else:
            yield from self.commit(world, host_index, host)

    def reply(self, world: World, host_index: int, host: Host, reply: str) -> World:
        """Return the state after a reply to the caller."""
        done = host._replace(action=None, reply=host.reply or reply)
        return self.replace_host(world, host_index, done)._replace(
            replies=world.replies | {reply}
        )

    def outcome(self, world: World) -> str:
        """Return the reply that follows from the stored record."""
        state = parse_record(world.record).state if world.record else None
        names = {pb.ANSWERED: "answered", pb.NOT_RUN: "not_run"}
        return names.get(state, "unknown")

    def commit(self, world: World, host_index: int, host: Host):
        """Yield the possible results of a commit."""
        base = host.record or new_record(host.owner).SerializeToString()
        actor = lifecycle.Actor(
            ProcessId(parse_record(base).owner), parse_record(base).fencing_number
        )
        value = self.transition(self.transition_of(host.action, actor), base)
        lost = world.budget.lost_commits
        if value is None or not host.leased or world.revision != host.revision:
            yield (
                "is displaced",
                self.event(world, host_index, host, calls.OwnershipLost()),
            )
        else:
            applied = world._replace(record=value, revision=world.revision + 1)
            held = host._replace(record=value, revision=world.revision + 1)
            if isinstance(host.action, calls.CommitAttempt):
                held = held._replace(permitted=True)
            yield "commits", self.event(applied, host_index, held, calls.Committed())
            if lost:
                event = calls.CommitUnconfirmed()
                host = host._replace(
                    permitted=self.rules.sends_after_unconfirmed_commit
                )
                after = self.event(
                    applied, host_index, host, event, lost_commits=lost - 1
                )
                yield "commits, answer lost", after
        if lost and value is not None:
            late = (*world.late, (host.revision, value, host_index))
            delayed = world._replace(late=late)
            host = host._replace(permitted=self.rules.sends_after_unconfirmed_commit)
            event = calls.CommitUnconfirmed()
            after = self.event(delayed, host_index, host, event, lost_commits=lost - 1)
            yield "commit delayed", after

    def transition_of(
        self, action: object, actor: lifecycle.Actor
    ) -> lifecycle.Transition:
        """Return the transition that an action commits."""
        if isinstance(action, calls.CommitAttempt):
            return (
                lifecycle.PermitAgain(actor, True)
                if action.is_retry
                else lifecycle.Permit(actor)
            )
        if isinstance(action, calls.CommitAnswer):
            return lifecycle.Finish(actor, action.answer)
        if isinstance(action, calls.CommitNotRun):
            return lifecycle.GiveUp(actor, action.proof, "", "")
        return lifecycle.LoseTrack(actor, "", "")

    def abandon(self, world: World, host_index: int, host: Host):
        """Yield the result of settling a lost first commit as not run."""
        is_own = (
            parse_record(world.record).owner == host.owner if world.record else True
        )
        if not host.leased or not is_own or world.revision > host.revision + 1:
            yield "abandons", self.event(world, host_index, host, calls.OwnershipLost())
            return
        record = parse_record(world.record) if world.record else new_record(host.owner)
        ended = pb.RequestRecord()
        ended.CopyFrom(record)
        ended.state = pb.NOT_RUN
        done = world._replace(
            record=ended.SerializeToString(), revision=world.revision + 1
        )
        yield "abandons", self.event(done, host_index, host, calls.Committed())

    def send(self, world: World, host_index: int, host: Host):
        """Yield the possible results of sending an attempt."""
        budget = world.budget
        if not host.sent:
            refused = budget.refused
            if not host.permitted:
                yield (
                    "may not send",
                    self.event(world, host_index, host, calls.NotSent()),
                )
                return
            if refused:
                event = calls.NotSent()
                after = self.event(world, host_index, host, event, refused=refused - 1)
                yield "is refused", after
            sent = self.replace_host(world, host_index, host._replace(sent=True))
            yield "sends", sent._replace(in_flight=world.in_flight + 1)
            return
        if world.executed:
            yield "is answered", self.event(world, host_index, host, calls.Answered())
        if budget.lost_answers or not world.in_flight:
            left = max(0, budget.lost_answers - 1)
            event = calls.AnswerLost()
            yield (
                "loses the answer",
                self.event(world, host_index, host, event, lost_answers=left),
            )

    def ask(self, world: World, host_index: int, host: Host):
        """Yield the possible results of the outcome query."""
        budget = world.budget.failed_queries
        if world.executed:
            yield (
                "query: ran",
                self.event(world, host_index, host, calls.QueryExecuted()),
            )
        else:
            refusing = world._replace(refuses=True)
            event = calls.QueryNotExecuted()
            yield "query: did not run", self.event(refusing, host_index, host, event)
        if budget:
            event = calls.QueryFailed()
            after = self.event(
                world, host_index, host, event, failed_queries=budget - 1
            )
            yield "query fails", after

    def store_events(self, world: World):
        """Yield the possible events of delayed commits."""
        for index, (expected, value, host_index) in enumerate(world.late):
            remaining = world.late[:index] + world.late[index + 1 :]
            dropped = world._replace(late=remaining)
            yield "late commit is dropped", dropped
            if expected == world.revision and world.hosts[host_index].leased:
                applied = dropped._replace(record=value, revision=world.revision + 1)
                yield "late commit is applied", applied

    def service_events(self, world: World):
        """Yield the possible events of the service and the operator."""
        if world.in_flight:
            arrived = world._replace(in_flight=world.in_flight - 1)
            yield "call is lost", arrived
            if not world.refuses:
                executed = arrived._replace(executed=world.executed + 1)
                yield "call is executed", executed
        if world.record is None or world.in_flight or world.executed:
            return
        if parse_record(world.record).state == pb.OUTCOME_UNKNOWN:
            value = self.transition(lifecycle.Resolve("op", None), world.record)
            resolved = world._replace(record=value, revision=world.revision + 1)
            yield (
                "operator resolves: did not run",
                resolved._replace(replies=world.replies | {"not_run"}),
            )
