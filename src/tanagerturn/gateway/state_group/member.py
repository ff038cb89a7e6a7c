"""This gateway's member of the state group, on hosts with a disk.

The replicated log, its storage and its actor are those of tanager-state. This module
connects them to the links of the gateways, initializes the group and replaces lost
members.
"""

from __future__ import annotations

import asyncio
import os
from concurrent.futures import Future
from random import Random
from typing import TYPE_CHECKING, Any, Final

from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.founding.core import FoundingCore, FoundingOptions
from tanagerturn.coordination.founding.votes import Vote
from tanagerturn.coordination.ids import ClusterId, GroupId, MemberId
from tanagerturn.coordination.log.core import Core
from tanagerturn.coordination.log.membership import voters
from tanagerturn.coordination.log.ready import Options, Role
from tanagerturn.coordination.storage.files import SyncFailedError
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.state_group._member_parts import (
    LoopWatcher,
    MemberClocks,
    MemberTransport,
    exit_process,
)
from tanagerturn.gateway.state_group.founding import GroupFounding, load_vote
from tanagerturn.gateway.state_group.handover import (
    GroupView,
    must_take_leadership,
    spare_members,
    with_reported_states,
)
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.state import messages as m
from tanagerturn.state._repair import GroupHealth, next_membership_change
from tanagerturn.state.group import ReplicationGroup
from tanagerturn.state.metrics import GroupMetrics
from tanagerturn.state.writer import SnapshotWriter

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    import pykka
    from expression import Result

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.coordination.storage.folder import DataFolder
    from tanagerturn.coordination.store import Store
    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.settings import GatewaySettings

CLUSTER: Final = ClusterId("gateways")
GROUP: Final = GroupId("gateways")

HEARTBEAT_S: Final = 0.15
"""Interval of a leader's heartbeats in seconds."""

ELECTION_TIMEOUT_S: Final = 0.9
"""Minimum time in seconds without a leader before an election: six heartbeats, because
a member shares its core with callers' requests."""

TICK_S: Final = 0.075
"""Interval in seconds at which the member's timers advance: half a heartbeat."""

REPLACE_AFTER_S: Final = 2.5
"""Time in seconds without a message from a voter after which the voter is replaced; a
second voter may be lost four seconds after the first is back."""

ELECTION_INTERVAL_S: Final = 1.0
"""Minimum time in seconds between two attempts to take the leadership; an election
takes some round trips."""

START_RETRY_S: Final = 0.5
"""Time in seconds before another attempt to start on a disk that was full."""

SNAPSHOT_ENTRIES: Final = 2_000
"""Number of log entries between two snapshots; each lease renewal adds one, about once
a second."""

log = component_log("member")


class StateMember:
    """The state group member of one gateway.

    Args:
        settings: Settings of the process.
        folder: The open data folder.
        links: Links to peer gateways.
        loop: Event loop of the gateway.
        on_batch: Called on the event loop with each batch of committed writes.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        folder: DataFolder,
        links: Links,
        loop: asyncio.AbstractEventLoop,
        on_batch: Callable[[pb.WatchBatch], None],
    ) -> None:
        self.settings = settings
        """Settings of the process."""
        self.loop = loop
        """Event loop of the gateway."""
        self.on_batch = on_batch
        """Called on the event loop with each batch of committed writes."""
        self.transport = MemberTransport(links, loop)
        """Sends log messages to other members of the state group."""
        self.folder = folder
        """The open data folder."""
        has_group = folder.has_state((GROUP,))
        self.id = MemberId(f"{settings.host}-{self.folder.incarnation}")
        """Id of the member; an emptied disk gives the member a new id."""
        self.actor: pykka.ActorRef[Any] | None = None
        """Actor that runs the member; None until the member belongs to a group."""
        self.core: Core | None = None
        """Log and election state, which only the actor changes; None until the member
        has started."""
        self.watcher: LoopWatcher | None = None
        """The current watch of committed writes; None before the first tick."""
        self.repair_task: asyncio.Task[None] | None = None
        """The last health check and membership change; None before the first one."""
        self.is_draining = False
        """Whether the process was told to stop, so that another member has to take
        this one's place."""
        self.next_election_s = 0.0
        """Boot-clock time in seconds before which this member does not take the
        leadership again."""
        self.start_task: asyncio.Task[None] | None = None
        """Starts the member after it was added to a group or founds one; None before
        that."""
        self.founding_task: asyncio.Task[None] | None = None
        """The last step of the founding; None before the first one."""
        self.learning_task: asyncio.Task[None] | None = None
        """Asks a member of the group for its first members; None before."""
        vote = load_vote(
            folder.files, has_group=has_group, is_first_start=settings.is_first_start
        )
        self.founding = GroupFounding(
            self._make_founding(vote, has_group=has_group),
            links,
            folder.files,
            self.start_with,
            self.take_leadership,
        )
        """This host's part in founding the group."""
        if has_group:
            self._start(pb.Membership())

    @property
    def member_record(self) -> pb.Member:
        """Record with which a leader adds this member to a group."""
        return pb.Member(
            id=self.id,
            address=self.settings.link_address,
            role=pb.VOTER,
            availability_zone=self.settings.zone,
            incarnation=self.folder.incarnation,
        )

    @property
    def is_in_group(self) -> bool:
        """Whether the member belongs to a group."""
        return self.core is not None and bool(self.core.log.membership.members)

    @property
    def is_complete(self) -> bool:
        """Whether the group has the number of voters that the settings require."""
        if self.core is None:
            return False
        return len(voters(self.core.log.membership)) >= self.settings.state_members

    @property
    def leader_address(self) -> str:
        """Link address of the leader; empty if it is unknown."""
        if self.core is None or not self.core.leader:
            return ""
        return self.transport.addresses.get(self.core.leader, "")

    def _make_founding(self, vote: Vote | None, *, has_group: bool) -> FoundingCore:
        settings = self.settings
        options = FoundingOptions(
            settings.host,
            self.member_record,
            settings.seed_link_addresses,
            settings.tolerated_losses,
            may_vote=vote is not None and not has_group,
        )
        core = FoundingCore(options, vote or Vote(), Random(os.urandom(16)))
        if has_group:
            core.on_started()
        return core

    async def start_with(self, members: Sequence[pb.Member]) -> None:
        """Start the group with its first members, and return once this one has started.

        Args:
            members: All first members, with this one.
        """
        if self.actor is None and self.start_task is None:
            ids = ",".join(member.id for member in members)
            log.info("group_founded", member=self.id, members=ids)
            self._begin_start(pb.Membership(members=members))
        if self.start_task is not None:
            await asyncio.shield(self.start_task)

    def take_leadership(self) -> None:
        """Start an election, unless this member leads."""
        if self.actor is not None:
            self.actor.tell(m.TakeLeadership())

    def tick_founding(self, digests: Sequence[gpb.Digest]) -> None:
        """Take part in founding the group, until one is known to exist.

        Args:
            digests: Recent digests of the peer gateways.
        """
        core = self.founding.core
        if core.is_done:
            return
        self.founding.on_digests(digests)
        if self.leader_address:
            core.on_group_known()
        if self.founding_task is None or self.founding_task.done():
            self.founding_task = self.loop.create_task(self.founding.tick())

    def deliver(self, messages: Sequence[pb.LogMessage]) -> None:
        """Process log messages from other members.

        The first message for this member means that it belongs to a group; the member
        is then started. Messages that are dropped until then are sent again.
        """
        if self.actor is not None:
            self.actor.tell(m.Deliver(messages))
            return
        sender = next((e.sender for e in messages if e.receiver == self.id), None)
        if sender is None or self.start_task is not None:
            return
        if self.learning_task is None or self.learning_task.done():
            address = self.transport.addresses.get(sender, "")
            self.learning_task = self.loop.create_task(self._join(address))

    async def _join(self, address: str) -> None:
        """Start as a first member, or as one that was added later.

        A first member that started without the others' list could not be elected.

        Args:
            address: Link address of a member of the group; empty if it is unknown.
        """
        core = self.founding.core
        if not core.vote.agreed and not (
            address and await self.founding.learn_agreed(address)
        ):
            return
        await self.founding.tick()
        # A first member whose disk is full is tried again at the next message.
        if self.start_task is None and not core.members_to_start():
            log.info("added_to_group", member=self.id)
            self._begin_start(pb.Membership())

    def tick(self) -> None:
        """Advance the member's timers, and replace a watch that has ended."""
        if self.actor is None:
            return
        self.actor.tell(m.Tick())
        if self.watcher is None or self.watcher.is_ended:
            self.watcher = LoopWatcher("", self.loop, self.on_batch)
            self.actor.tell(m.AddWatch(self.watcher))

    def view(
        self, digests: Sequence[gpb.Digest], present: Collection[str]
    ) -> GroupView:
        """Return the group as this member sees it.

        Args:
            digests: Recent digests of the peer gateways.
            present: Hosts of the peer gateways that failure detection finds present.
        """
        core = self.core
        return GroupView(
            self.id,
            self.is_draining,
            core.log.membership if core is not None else pb.Membership(),
            self.leader_address,
            core is not None and core.role is Role.LEADER,
            digests,
            present,
        )

    @property
    def committed_voters(self) -> list[MemberId]:
        """Ids of the voters; empty unless this member leads the group.

        Also empty while a membership change is not committed.
        """
        core = self.core
        if core is None or core.role is not Role.LEADER:
            return []
        if core.log.membership_index > core.commit_index:
            return []
        return voters(core.log.membership)

    def drain(self) -> None:
        """Hand over the member's place in the group, because the process will stop."""
        self.is_draining = True

    def repair(self, view: GroupView, now_s: float) -> None:
        """Check the group's health; a leader makes one membership change if needed.

        Args:
            view: The group as this member sees it.
            now_s: Current boot-clock time in seconds.
        """
        if self.actor is None:
            return
        if now_s >= self.next_election_s and must_take_leadership(view):
            self.next_election_s = now_s + ELECTION_INTERVAL_S
            log.info("leadership_taken", leader=view.leader_address)
            self.take_leadership()
            return
        if self.repair_task is None or self.repair_task.done():
            self.repair_task = self.loop.create_task(self._repair(view))

    async def propose(self, command: pb.Command) -> Result[pb.CommandResult, StepError]:
        """Commit a command, if this member is the leader."""
        reply: Future[Result[pb.CommandResult, StepError]] = Future()
        result: Result[pb.CommandResult, StepError] = await self._ask_actor(
            m.Propose(command, reply), reply
        )
        return result

    async def query(
        self, read_store: Callable[[Store], Any], *, stale_allowed: bool = False
    ) -> Result[Any, StepError]:
        """Read the store.

        Args:
            read_store: Reads the store and returns the result.
            stale_allowed: Skip the confirmation by a majority that the state is the
                latest.
        """
        reply: Future[Result[Any, StepError]] = Future()
        result: Result[Any, StepError] = await self._ask_actor(
            m.Query(read_store, reply, stale_allowed), reply
        )
        return result

    def transfer_leadership(self) -> None:
        """Transfer the leadership to another member before the process stops."""
        if self.actor is not None:
            self.actor.tell(m.TransferLeadership())

    async def _ask_actor(self, message: object, reply: Future[Any]) -> Any:
        assert self.actor is not None
        result_future = self.loop.create_future()
        reply.add_done_callback(
            lambda done: self.loop.call_soon_threadsafe(
                _copy_result, done, result_future
            )
        )
        self.actor.tell(message)
        # A separate future is awaited: its cancellation must not cancel the reply.
        return await result_future

    async def _repair(self, view: GroupView) -> None:
        reply: Future[GroupHealth | None] = Future()
        health = await self._ask_actor(m.GetHealth(reply), reply)
        if health is None:
            return
        health = with_reported_states(health, view)
        spares = spare_members(view)
        change = next_membership_change(
            health, spares, self.settings.state_members, REPLACE_AFTER_S
        )
        if change is None:
            if self.is_draining and not spares:
                self._transfer_to_staying(health)
            return
        change_reply: Future[Result[pb.Membership, StepError]] = Future()
        result = await self._ask_actor(
            m.ChangeMember(change.action, change.member, change_reply), change_reply
        )
        outcome = str(result.error) if result.is_error() else "committed"
        log.info(
            "member_change",
            action=change.action,
            peer=change.member.id,
            outcome=outcome,
        )

    def _transfer_to_staying(self, health: GroupHealth) -> None:
        """Transfer the leadership to a voter that was not told to stop, if any."""
        for voter in voters(health.membership):
            if voter in health.caught_up and voter not in health.draining:
                assert self.actor is not None
                self.actor.tell(m.TransferLeadership(voter))
                return

    def _begin_start(self, membership: pb.Membership) -> None:
        """Start the member in a thread; messages dropped meanwhile are sent again."""
        self.start_task = self.loop.create_task(self._start_once_writable(membership))

    async def _start_once_writable(self, membership: pb.Membership) -> None:
        while self.actor is None:
            try:
                await self.loop.run_in_executor(None, self._start, membership)
                self.founding.core.on_started()
            except SyncFailedError as error:
                exit_process(error)
            except (StorageError, OSError) as error:
                log.warning("member_not_started", member=self.id, reason=str(error))
                await asyncio.sleep(START_RETRY_S)

    def _start(self, membership: pb.Membership) -> None:
        storage = self.folder.group(GROUP)
        if not storage.has_state and membership.members:
            storage.initialize(membership)
        recovered, store = storage.recover()
        options = Options(
            cluster=CLUSTER,
            group=GROUP,
            member=self.id,
            election_timeout_s=ELECTION_TIMEOUT_S,
            heartbeat_s=HEARTBEAT_S,
        )
        self.core = Core(options, recovered, Random(os.urandom(16)), boot_s())
        self.transport.update_addresses([self.member_record])
        self.transport.update_addresses(self.core.log.membership.members)
        writer = SnapshotWriter.start(storage.snapshots, self._tell_actor, exit_process)
        self.actor = ReplicationGroup.start(
            core=self.core,
            storage=storage,
            store=store,
            transport=self.transport,
            clocks=MemberClocks(),
            writer=writer,
            snapshot_entries=SNAPSHOT_ENTRIES,
            metrics=GroupMetrics(self.settings.host, GROUP),
            on_fatal=exit_process,
        )

    def _tell_actor(self, message: object) -> None:
        if self.actor is not None:
            self.actor.tell(message)


def _copy_result(reply: Future[Any], result_future: asyncio.Future[Any]) -> None:
    if not result_future.done():
        result_future.set_result(reply.result())
