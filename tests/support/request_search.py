"""Searches all orders of events of one request on two entry hosts.

The search uses `life.apply` and `call.step` themselves. The model around them:
a store with compare-and-set and fences whose answers get lost and whose writes
arrive late, hosts that crash, lose their lease and wake again, a service that
executes what it gets whenever it gets it, and an operator.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from functools import cache
from typing import TYPE_CHECKING, NamedTuple

from tanagerturn.coordination.ids import ProcessId
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests import call as calls
from tanagerturn.serving.requests import life

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

TRIES = 2


class Budget(NamedTuple):
    """How often each failure may still happen."""

    crashes: int = 1
    restarts: int = 1
    lapses: int = 1
    lost_commits: int = 1
    refused: int = 1
    lost_answers: int = 1
    failed_queries: int = 1


class Host(NamedTuple):
    """One entry host."""

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
    told: str = ""


class World(NamedTuple):
    """Everything at one moment."""

    record: bytes | None
    revision: int
    late: tuple[tuple[int, bytes, int], ...]
    hosts: tuple[Host, ...]
    in_flight: int
    executed: int
    refuses: bool
    told: frozenset[str]
    budget: Budget


@dataclass(frozen=True)
class Rules:
    """What is searched: the mechanism, or one with a planted fault."""

    has_query: bool
    step: Callable[[object, calls.Call], calls.Step] = calls.step
    apply: Callable[..., life.Moved] = life.apply
    settles_early: bool = False
    sends_unconfirmed: bool = False


@dataclass
class Found:
    """Outcome of a search."""

    states: int = 0
    faults: dict[str, list[str]] = field(default_factory=dict)


def fresh(owner: str) -> pb.RequestRecord:
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
def parse(value: bytes) -> pb.RequestRecord:
    return pb.RequestRecord.FromString(value)


class Search:
    """Breadth-first search from the start, with the path to each fault."""

    def __init__(self, rules: Rules, budget: Budget) -> None:
        self.rules = rules
        self.budget = budget
        self.moves: dict[tuple[str, bytes], bytes | None] = {}

    def run(self) -> Found:
        """Visit every state that can be reached."""
        hosts = (Host("A"), Host("B"))
        start = World(None, 0, (), hosts, 0, 0, False, frozenset(), self.budget)
        found = Found()
        parents: dict[World, tuple[World, str] | None] = {start: None}
        queue = deque([start])
        while queue:
            world = queue.popleft()
            found.states += 1
            after = list(self.successors(world))
            fault = self.fault(world, last=not after)
            if fault:
                found.faults.setdefault(fault, self.path(parents, world))
                continue
            for name, successor in after:
                if successor not in parents:
                    parents[successor] = (world, name)
                    queue.append(successor)
        return found

    def path(self, parents, world: World) -> list[str]:
        """Return the events that led to a state."""
        names = []
        while parents[world] is not None:
            world, name = parents[world]
            names.append(name)
        return names[::-1]

    def fault(self, world: World, last: bool) -> str:
        """Name what is wrong in a state; empty when nothing is."""
        state = parse(world.record).state if world.record else None
        if world.executed > 1:
            return "executed twice"
        if world.executed and ("not_run" in world.told or state == pb.NOT_RUN):
            return "false not run"
        if not world.executed and ("answered" in world.told or state == pb.ANSWERED):
            return "false answer"
        working = [h for h in world.hosts if h.alive and h.leased]
        if not last or not working:
            return ""
        if state in life.OPEN:
            return "never ended"
        if any(h.asked and not h.told for h in working):
            return "never told"
        return ""

    def move(self, move: life.Move, value: bytes) -> bytes | None:
        """Return the record after a move; None when it is refused."""
        key = (repr(move), value)
        if key not in self.moves:
            after = self.rules.apply(move, parse(value), 0)
            done = after.ok.SerializeToString() if after.is_ok() else None
            self.moves[key] = done
        return self.moves[key]

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield every event that can happen next."""
        for at, host in enumerate(world.hosts):
            for name, after in self.host_steps(world, at, host):
                yield f"{host.owner}: {name}", after
        yield from self.store_steps(world)
        yield from self.service_steps(world)

    def host_steps(self, world: World, at: int, host: Host):
        """Yield what a host can do or suffer."""
        spare = world.budget
        if not host.alive:
            if spare.restarts:
                again = Host(host.owner + "'")
                after = self.put(world, at, again, restarts=spare.restarts - 1)
                yield "restarts", after
            return
        if spare.crashes:
            dead = host._replace(
                alive=False, leased=False, permitted=False, call=None, action=None
            )
            yield "crashes", self.put(world, at, dead, crashes=spare.crashes - 1)
        if host.leased and spare.lapses:
            lapsed = host._replace(leased=False)
            yield (
                "loses its lease",
                self.put(world, at, lapsed, lapses=spare.lapses - 1),
            )
        if host.permitted and not host.leased:
            yield "permission ends", self.put(world, at, host._replace(permitted=False))
        if not host.asked:
            first, action = calls.open_call(TRIES, self.rules.has_query)
            asked = host._replace(asked=True, call=first, action=action)
            yield "is asked", self.put(world, at, asked)
        if host.call is None or host.action is None:
            yield from self.sweep(world, at, host)
            return
        yield from self.act(world, at, host)

    def put(self, world: World, at: int, host: Host, **spent: int) -> World:
        """Return the world with one host replaced."""
        hosts = (*world.hosts[:at], host, *world.hosts[at + 1 :])
        told = world.told | {host.told} if host.told else world.told
        budget = world.budget._replace(**spent) if spent else world.budget
        return world._replace(hosts=hosts, told=told, budget=budget)

    def event(self, world: World, at: int, host: Host, event: object, **spent) -> World:
        """Return the world after an event of a host's call."""
        call, action = self.rules.step(event, host.call)
        after = host._replace(call=call, action=action, sent=False)
        return self.put(world, at, after, **spent)

    def sweep(self, world: World, at: int, host: Host):
        """Yield takeovers and records to settle."""
        if world.record is None or not host.leased:
            return
        record = parse(world.record)
        if not life.is_open(record):
            return
        owners = {h.owner: h for h in world.hosts}
        holder = owners.get(record.owner)
        if record.owner == host.owner:
            if host.call is not None and host.call.stage is not calls.Stage.DONE:
                return
            if not self.rules.settles_early and any(
                h.permitted for h in world.hosts if h is not host
            ):
                return
            yield "settles", self.settle(world, at, host)
            return
        if holder is not None and holder.leased:
            return
        move = life.TakeOver(ProcessId(record.owner), ProcessId(host.owner))
        value = self.move(move, world.record)
        if value is not None:
            taken = world._replace(record=value, revision=world.revision + 1)
            yield "takes over", taken

    def settle(self, world: World, at: int, host: Host) -> World:
        """Start to settle the stored record."""
        if parse(world.record).state == pb.ACCEPTED:
            call = calls.Call(calls.Stage.COMMITTING, 0, 1)
            action: object = calls.CommitAttempt(again=False)
        else:
            call, action = calls.settle_call(self.rules.has_query)
        taken = host._replace(
            call=call, action=action, record=world.record, revision=world.revision
        )
        return self.put(world, at, taken)

    def act(self, world: World, at: int, host: Host):
        """Yield what the action of a host can lead to."""
        action = host.action
        if isinstance(action, calls.Send):
            yield from self.send(world, at, host)
        elif isinstance(action, calls.AskOutcome):
            yield from self.ask(world, at, host)
        elif isinstance(action, calls.Abandon):
            yield from self.abandon(world, at, host)
        elif isinstance(action, calls.ReplyAnswer):
            yield "replies", self.reply(world, at, host, "answered")
        elif isinstance(action, calls.ReplyUnknown):
            yield "replies", self.reply(world, at, host, "unknown")
        elif isinstance(action, calls.ReplyRecord):
            yield "replies", self.reply(world, at, host, self.outcome(world))
        else:
            yield from self.commit(world, at, host)

    def reply(self, world: World, at: int, host: Host, told: str) -> World:
        """Tell the caller."""
        done = host._replace(action=None, told=host.told or told)
        return self.put(world, at, done)._replace(told=world.told | {told})

    def outcome(self, world: World) -> str:
        """Return what the stored record says."""
        state = parse(world.record).state if world.record else None
        names = {pb.ANSWERED: "answered", pb.NOT_RUN: "not_run"}
        return names.get(state, "unknown")

    def commit(self, world: World, at: int, host: Host):
        """Yield the outcomes of a commit."""
        base = host.record or fresh(host.owner).SerializeToString()
        actor = life.Actor(ProcessId(parse(base).owner), parse(base).fencing_number)
        value = self.move(self.move_of(host.action, actor), base)
        lost = world.budget.lost_commits
        if value is None or not host.leased or world.revision != host.revision:
            yield "is displaced", self.event(world, at, host, calls.Displaced())
        else:
            applied = world._replace(record=value, revision=world.revision + 1)
            held = host._replace(record=value, revision=world.revision + 1)
            if isinstance(host.action, calls.CommitAttempt):
                held = held._replace(permitted=True)
            yield "commits", self.event(applied, at, held, calls.Committed())
            if lost:
                event = calls.CommitLost()
                host = host._replace(permitted=self.rules.sends_unconfirmed)
                after = self.event(applied, at, host, event, lost_commits=lost - 1)
                yield "commits, answer lost", after
        if lost and value is not None:
            late = (*world.late, (host.revision, value, at))
            delayed = world._replace(late=late)
            host = host._replace(permitted=self.rules.sends_unconfirmed)
            event = calls.CommitLost()
            after = self.event(delayed, at, host, event, lost_commits=lost - 1)
            yield "commit delayed", after

    def move_of(self, action: object, actor: life.Actor) -> life.Move:
        """Return the move that an action commits."""
        if isinstance(action, calls.CommitAttempt):
            return life.PermitAgain(actor, True) if action.again else life.Permit(actor)
        if isinstance(action, calls.CommitAnswer):
            return life.Finish(actor, action.answer)
        if isinstance(action, calls.CommitNotRun):
            return life.GiveUp(actor, action.proof, "", "")
        return life.LoseTrack(actor, "", "")

    def abandon(self, world: World, at: int, host: Host):
        """Settle a lost first commit."""
        mine = parse(world.record).owner == host.owner if world.record else True
        if not host.leased or not mine or world.revision > host.revision + 1:
            yield "abandons", self.event(world, at, host, calls.Displaced())
            return
        record = parse(world.record) if world.record else fresh(host.owner)
        ended = pb.RequestRecord()
        ended.CopyFrom(record)
        ended.state = pb.NOT_RUN
        done = world._replace(
            record=ended.SerializeToString(), revision=world.revision + 1
        )
        yield "abandons", self.event(done, at, host, calls.Committed())

    def send(self, world: World, at: int, host: Host):
        """Yield the outcomes of sending."""
        spare = world.budget
        if not host.sent:
            refused = spare.refused
            if not host.permitted:
                yield "may not send", self.event(world, at, host, calls.NoByteLeft())
                return
            if refused:
                event = calls.NoByteLeft()
                after = self.event(world, at, host, event, refused=refused - 1)
                yield "is refused", after
            sent = self.put(world, at, host._replace(sent=True))
            yield "sends", sent._replace(in_flight=world.in_flight + 1)
            return
        if world.executed:
            yield "is answered", self.event(world, at, host, calls.Answered())
        if spare.lost_answers or not world.in_flight:
            left = max(0, spare.lost_answers - 1)
            event = calls.AnswerLost()
            yield (
                "loses the answer",
                self.event(world, at, host, event, lost_answers=left),
            )

    def ask(self, world: World, at: int, host: Host):
        """Yield the outcomes of the outcome query."""
        spare = world.budget.failed_queries
        if world.executed:
            yield "query: ran", self.event(world, at, host, calls.QueryRan())
        else:
            refusing = world._replace(refuses=True)
            event = calls.QueryDidNotRun()
            yield "query: did not run", self.event(refusing, at, host, event)
        if spare:
            event = calls.QueryFailed()
            after = self.event(world, at, host, event, failed_queries=spare - 1)
            yield "query fails", after

    def store_steps(self, world: World):
        """Yield what late commits can do."""
        for index, (expected, value, at) in enumerate(world.late):
            rest = world.late[:index] + world.late[index + 1 :]
            dropped = world._replace(late=rest)
            yield "late commit is dropped", dropped
            if expected == world.revision and world.hosts[at].leased:
                applied = dropped._replace(record=value, revision=world.revision + 1)
                yield "late commit is applied", applied

    def service_steps(self, world: World):
        """Yield what the service and an operator can do."""
        if world.in_flight:
            arrived = world._replace(in_flight=world.in_flight - 1)
            yield "call is lost", arrived
            if not world.refuses:
                executed = arrived._replace(executed=world.executed + 1)
                yield "call is executed", executed
        if world.record is None or world.in_flight or world.executed:
            return
        if parse(world.record).state == pb.OUTCOME_UNKNOWN:
            value = self.move(life.Resolve("op", None), world.record)
            resolved = world._replace(record=value, revision=world.revision + 1)
            yield (
                "operator resolves: did not run",
                resolved._replace(told=world.told | {"not_run"}),
            )
