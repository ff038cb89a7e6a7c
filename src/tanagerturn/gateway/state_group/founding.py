"""Runs a host's part in founding the state group, over its links and its disk."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Final

from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.founding.core import MAX_ROUND_TIMEOUT_S
from tanagerturn.coordination.founding.messages import Answer, Ballot, Order
from tanagerturn.coordination.founding.votes import NO_ROUND, Round, Vote, decode_vote
from tanagerturn.coordination.ids import FoundingValue
from tanagerturn.coordination.storage.files import DamageError
from tanagerturn.coordination.storage.folder import write_atomically
from tanagerturn.gateway.logs import component_log
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence

    from tanagerturn.coordination.founding.core import FoundingCore
    from tanagerturn.coordination.storage.files import Files
    from tanagerturn.gateway.links import Links
    from tanagerturn.schema import coordination_pb2 as pb

VOTE_FILE: Final = "founding"

CALL_TIMEOUT_S: Final = MAX_ROUND_TIMEOUT_S
"""Timeout of a call to another host in seconds; later answers have no effect."""

log = component_log("member")


class GroupFounding:
    """This host's part in founding the state group.

    Args:
        core: Decides.
        links: Links to peer gateways.
        files: Files of the state member, in which the vote is stored.
        start_member: Starts the member with the first members of the group, and returns
            once it has started.
        take_leadership: Starts an election.
    """

    def __init__(
        self,
        core: FoundingCore,
        links: Links,
        files: Files,
        start_member: Callable[[Sequence[pb.Member]], Awaitable[None]],
        take_leadership: Callable[[], None],
    ) -> None:
        self.core = core
        """Decides."""
        self.links = links
        """Links to peer gateways."""
        self.files = files
        """Files of the state member."""
        self.start_member = start_member
        """Starts the member with the first members of the group."""
        self.take_leadership = take_leadership
        """Starts an election."""
        self.stored_vote = core.vote
        """The vote as stored."""
        self.lock = asyncio.Lock()
        """Held while the vote is stored."""
        self.started_addresses = {core.options.address}
        """Link addresses of the first members that have started."""
        self.has_taken_leadership = False
        """Whether this host has started the group's first election."""
        self.starting: asyncio.Task[None] | None = None
        """Starts the member; None until this host is known to be a first member."""
        self.logged_state = ""
        """State that was logged last; empty before the first one."""
        self.has_logged_agreed = False
        """Whether what was agreed on was logged."""
        self.tasks: set[asyncio.Task[object]] = set()
        """Calls to other hosts in progress."""

    @property
    def part(self) -> gpb.FoundingPart.ValueType:
        """What this host's digests state of its part."""
        if self.core.has_started:
            return gpb.FOUNDING_PART_MEMBER
        if self.core.options.may_vote:
            return gpb.FOUNDING_PART_VOTER
        return gpb.FOUNDING_PART_NEW_DISK

    @property
    def addresses(self) -> set[str]:
        """Link addresses of the hosts that this one may have to call."""
        return set() if self.core.is_group_known else set(self.core.hosts)

    def on_digests(self, digests: Sequence[gpb.Digest]) -> None:
        """Learn from the recent digests of peers."""
        for digest in digests:
            part = digest.founding_part
            if digest.member.id:
                can_start = part in (
                    gpb.FOUNDING_PART_VOTER,
                    gpb.FOUNDING_PART_NEW_DISK,
                )
                self.core.on_report(
                    digest.link_address,
                    digest.host,
                    digest.member if can_start else None,
                    may_vote=_has_voted_disk(digest),
                )
            elif part == gpb.FOUNDING_PART_WITNESS:
                self.core.add_witnesses([digest.link_address])
            if digest.configuration_version or digest.leader_address:
                self.core.on_group_known()

    async def tick(self) -> None:
        """Begin or end rounds, and repeat orders."""
        self.core.tick(boot_s())
        await self._process()

    async def respond(self, call: gpb.FoundingCall) -> gpb.Frame:
        """Return the response to a ballot; a failure if nothing can be stored."""
        ballot = Ballot(
            _decode_round(call.round),
            FoundingValue(call.value),
            _decode_hosts(call.hosts),
        )
        answer = self.core.on_ballot(ballot, boot_s())
        if not await self._process():
            return gpb.Frame(failure=gpb.Failure(reason="the vote was not stored"))
        return gpb.Frame(founding_vote=_encode_answer(answer))

    async def on_order(self, call: gpb.FoundCall) -> gpb.Frame:
        """Handle a peer's order; respond once this host has done its part."""
        self.core.add_hosts(_decode_hosts(call.hosts))
        self.core.on_order(Order(FoundingValue(call.agreed)), boot_s())
        if not await self._process():
            return gpb.Frame(failure=gpb.Failure(reason="the vote was not stored"))
        if self.starting is not None:
            await asyncio.shield(self.starting)
        return gpb.Frame(done=gpb.Done())

    async def learn_agreed(self, address: str) -> bool:
        """Ask a member of the group what was agreed on.

        Returns:
            Whether it answered; it knows nothing of a group that was founded otherwise.
        """
        ballot = Ballot(NO_ROUND, hosts=self.core.known_hosts)
        answer = await self._send_ballot(address, ballot)
        if answer is None:
            return False
        if answer.vote.agreed:
            self.core.on_agreed(answer.vote.agreed)
        return True

    async def _process(self) -> bool:
        """Store the vote, and let the core's output take effect; False if it is lost.

        The core repeats all output of which nothing comes.
        """
        ready, vote = self.core.take_ready(), self.core.vote
        # A round may become known before its proposer has stored its own promise.
        for address, ballot in ready.ballots:
            if not ballot.value:
                self._track(self._ask(address, ballot))
        if replace(vote, agreed=self.stored_vote.agreed) != self.stored_vote:
            if not await self._store():
                return False
        elif vote != self.stored_vote and not self.lock.locked():
            # What is agreed on is final, so it may take effect before it is stored.
            self._track(self._store())
        self._log_state()
        for address, ballot in ready.ballots:
            if ballot.value:
                self._track(self._ask(address, ballot))
        for address, order in ready.orders:
            self._track(self._order(address, order))
        if ready.start and self.starting is None:
            self.starting = asyncio.get_running_loop().create_task(
                self._start(ready.start)
            )
        return True

    async def _store(self) -> bool:
        """Store the vote, unless it is stored; return whether it is."""
        async with self.lock:
            vote = self.core.vote
            if vote == self.stored_vote:
                return True
            try:
                await asyncio.get_running_loop().run_in_executor(
                    None, write_atomically, self.files, VOTE_FILE, vote.to_bytes()
                )
            except StorageError as error:
                log.warning("vote_not_stored", reason=str(error))
                return False
            self.stored_vote = vote
            return True

    async def _start(self, members: Sequence[pb.Member]) -> None:
        await self.start_member(members)
        self._lead()

    async def _ask(self, address: str, ballot: Ballot) -> None:
        answer = await self._send_ballot(address, ballot)
        if answer is not None:
            self.core.on_answer(address, ballot, answer, boot_s())
            await self._process()

    async def _send_ballot(self, address: str, ballot: Ballot) -> Answer | None:
        call = gpb.FoundingCall(
            round=_encode_round(ballot.round),
            value=ballot.value,
            hosts=encode_hosts(ballot.hosts),
        )
        link = self.links.link_to(address)
        answered = await link.call(gpb.Frame(founding=call), CALL_TIMEOUT_S)
        if answered.is_error():
            return None
        if answered.ok.WhichOneof("kind") == "founding_vote":
            return _decode_answer(answered.ok.founding_vote)
        # A witness of an earlier version states no hosts.
        return Answer(False, Vote()) if address in self.core.witnesses else None

    async def _order(self, address: str, order: Order) -> None:
        call = gpb.FoundCall(
            hosts=encode_hosts(self.core.known_hosts), agreed=order.agreed
        )
        link = self.links.link_to(address)
        answered = await link.call(gpb.Frame(found=call), CALL_TIMEOUT_S)
        if order.agreed and answered.is_ok() and answered.ok.HasField("done"):
            self.started_addresses.add(address)
            self._lead()

    def _lead(self) -> None:
        """Start the first election, once a majority of the members has started.

        Only the proposer does, which saves the time of an election timeout.
        """
        count = self.core.options.member_count
        has_majority = 2 * len(self.started_addresses) > count
        if (
            self.core.is_proposer
            and self.core.has_started
            and has_majority
            and not self.has_taken_leadership
        ):
            self.has_taken_leadership = True
            self.take_leadership()

    def _track(self, call: Coroutine[Any, Any, object]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _log_state(self) -> None:
        core = self.core
        if core.state.value == self.logged_state:
            return
        if core.vote.agreed and not self.has_logged_agreed:
            self.has_logged_agreed = True
            log.info("first_members_agreed", value=core.vote.agreed)
        self.logged_state = core.state.value
        unheard = [address for address, host in core.hosts.items() if not host]
        log.info(
            "founding_state",
            state=self.logged_state,
            hosts=len(core.known_hosts),
            required=core.required_votes() or 0,
            unheard=",".join(unheard),
            awaited=",".join(core.awaited),
        )


def load_vote(files: Files, *, has_group: bool, is_first_start: bool) -> Vote | None:
    """Return the stored vote; None if this host can't know what it has voted.

    Args:
        files: Files of the state member.
        has_group: Whether the member belongs to a group: its vote is not needed any
            more.
        is_first_start: Whether the deployment starts for the first time, so that a disk
            without a vote has never had one.

    Raises:
        DamageError: The stored vote is damaged, and no group is known.
        StorageError: The first vote can't be stored.
    """
    if VOTE_FILE not in files.names(""):
        if has_group or not is_first_start:
            return None
        write_atomically(files, VOTE_FILE, Vote().to_bytes())
        return Vote()
    try:
        return decode_vote(files.read(VOTE_FILE))
    except ValueError as error:
        if has_group:
            return None
        raise DamageError("read vote", VOTE_FILE, str(error)) from error


def serve_witness(digests: Sequence[gpb.Digest]) -> gpb.Frame:
    """Return the response of a host without a disk to a ballot: the hosts with one.

    Args:
        digests: Recent digests of the peer gateways.
    """
    hosts = {
        digest.link_address: digest.host
        for digest in digests
        if _has_voted_disk(digest)
    }
    return gpb.Frame(founding_vote=gpb.FoundingVote(hosts=encode_hosts(hosts)))


def _has_voted_disk(digest: gpb.Digest) -> bool:
    """Return whether a host has a disk that may hold votes of the first start."""
    is_new = digest.founding_part == gpb.FOUNDING_PART_NEW_DISK
    return bool(digest.member.id) and not is_new


def encode_hosts(hosts: Mapping[str, str]) -> list[gpb.FoundingHost]:
    """Return the message form of hosts by link address."""
    return [
        gpb.FoundingHost(host=host, link_address=address)
        for address, host in sorted(hosts.items())
    ]


def _decode_hosts(hosts: Sequence[gpb.FoundingHost]) -> dict[str, str]:
    return {each.link_address: each.host for each in hosts}


def _encode_round(each: Round) -> gpb.FoundingRound:
    return gpb.FoundingRound(number=each.number, proposer=each.proposer)


def _decode_round(each: gpb.FoundingRound) -> Round:
    return Round(each.number, each.proposer)


def _encode_answer(answer: Answer) -> gpb.FoundingVote:
    vote = answer.vote
    return gpb.FoundingVote(
        granted=answer.granted,
        promised=_encode_round(vote.promised),
        accepted=_encode_round(vote.accepted),
        value=vote.value,
        hosts=encode_hosts(answer.hosts),
        agreed=vote.agreed,
        member=answer.member,
    )


def _decode_answer(answer: gpb.FoundingVote) -> Answer:
    vote = Vote(
        _decode_round(answer.promised),
        _decode_round(answer.accepted),
        FoundingValue(answer.value),
        FoundingValue(answer.agreed),
    )
    member = answer.member if answer.HasField("member") else None
    return Answer(answer.granted, vote, _decode_hosts(answer.hosts), member)
