"""One host's part in the agreement on the first members of a group; no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.founding.first_members import (
    FirstMembers,
    addresses_to_order,
    choose_first_members,
    decode_value,
    encode_first_members,
    members_to_start,
)
from tanagerturn.coordination.founding.messages import Answer, Ballot, Order
from tanagerturn.coordination.founding.votes import (
    NO_VALUE,
    Round,
    Vote,
    required_votes,
    value_to_propose,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from tanagerturn.coordination.ids import FoundingValue
    from tanagerturn.schema import coordination_pb2 as pb

SETTLE_S: Final = 0.8
"""Time in seconds for which enough hosts must be known before one proposes; digests
report an existing group within three digest intervals."""

SHORTHANDED_S: Final = 1.2
"""The same while a seed has not been heard from, or too few hosts have."""

RANK_DELAY_S: Final = 0.8
"""Time in seconds for which a host leaves the proposal to the one before it."""

ROUND_TIMEOUT_S: Final = 1.5
"""Time in seconds after which a phase of the first round is given up without enough
votes; it waits for a sync at this host and at others."""

TIMEOUT_GROWTH: Final = 1.5
"""Factor by which the timeout grows from round to round: all hosts may be slow."""

MAX_ROUND_TIMEOUT_S: Final = 3.0
"""Longest timeout of a round in seconds."""

GATHER_S: Final = 0.1
"""Time in seconds for which a proposer with enough promises waits for further ones;
hosts that respond are preferred as members."""

RETRY_S: Final = 0.4
"""Shortest time in seconds from a failed round to the next one of the first proposer;
each is a random one to two times longer."""

WITNESS_COUNT: Final = 3
"""Number of witnesses that are asked in a round; one has to answer."""

ORDER_INTERVAL_S: Final = 0.3
"""Interval in seconds at which first members are told to start until the group has a
leader."""


class FoundingState(Enum):
    """What a host believes of the founding."""

    AWAITING_HOSTS = "awaiting hosts"
    PROPOSING = "proposing"
    AGREED = "agreed"
    ENDED = "ended"


@dataclass(frozen=True)
class FoundingOptions:
    """A host's part in the founding."""

    host: str
    """Name of the host."""
    own: pb.Member
    """Member of the host; its address is the host's link address."""
    seeds: tuple[str, ...]
    """Link addresses of the seeds, in the order of the settings."""
    tolerated_losses: int
    """Number of hosts that may be lost at the same time."""
    may_vote: bool
    """Whether the host takes part: it belonged to no group when it was opened, and its
    disk has kept every vote since the first start."""

    @property
    def address(self) -> str:
        """Link address of the host."""
        return self.own.address

    @property
    def member_count(self) -> int:
        """Number of voters with which the group tolerates the losses."""
        return 2 * self.tolerated_losses + 1


@dataclass
class FoundingReady:
    """Output of the core.

    What `vote` promises and accepts has to be stored before it takes effect, but for
    ballots without a value.
    """

    ballots: list[tuple[str, Ballot]] = field(default_factory=list)
    """Ballots to send, with the link address of each receiver."""
    orders: list[tuple[str, Order]] = field(default_factory=list)
    """Orders to send, with the link address of each receiver."""
    start: tuple[pb.Member, ...] = ()
    """Members with which this host has to start the group; empty if it hasn't to."""


@dataclass
class Proposal:
    """A round in which this host proposes."""

    round: Round
    """The round."""
    witnesses: list[str]
    """Link addresses of the witnesses that are asked for the hosts that they know."""
    began_s: float
    """Boot-clock time in seconds at which its current phase began."""
    value: FoundingValue = NO_VALUE
    """Value that hosts have to accept; `NO_VALUE` while promises are awaited."""
    granted: dict[str, Answer] = field(default_factory=dict)
    """Answers that grant the current phase, by link address."""
    refused: set[str] = field(default_factory=set)
    """Link addresses of the hosts that refused the current phase."""
    has_witness: bool = False
    """Whether a witness has answered."""


class FoundingCore:
    """Decides who proposes the first members, votes, and says when to start the group.

    Each host that may vote proposes; a host leaves it to the seeds, and to hosts at
    lower addresses, as long as they may have it done in time. Before any answer or
    other output leaves the host, what `vote` promises and accepts has to be stored;
    what is agreed on is final, and may be stored later. Ballots that ask for a promise
    may be sent earlier: without a value, a round that is begun again does no harm.

    Args:
        options: The host's part.
        vote: The vote that the host has stored.
        random: Draws the times between failed rounds.
    """

    def __init__(self, options: FoundingOptions, vote: Vote, random: Random) -> None:
        self.options = options
        """The host's part."""
        self.vote = vote
        """The vote as it has to be stored."""
        self.random = random
        """Draws the times between failed rounds."""
        self.hosts: dict[str, str] = dict.fromkeys(options.seeds, "")
        """Names of all hosts with a disk by link address, empty for seeds that have not
        been heard from: all hosts count them, so that they have hosts in common."""
        self.hosts[options.address] = options.host
        self.newcomers: set[str] = set()
        """Link addresses of hosts with a new disk that may or may not have started with
        the others."""
        self.witnesses: set[str] = set()
        """Link addresses of the known gateways without a disk. They may know hosts that
        this one is cut off from, which then count among those that have to agree."""
        self.members = {options.address: options.own}
        """Latest known members that may be first members, by link address."""
        self.proposal: Proposal | None = None
        """The round in which this host proposes; None while there is none."""
        self.latest_number = vote.promised.number
        """Highest number of a round that is known."""
        self.is_group_known = False
        """Whether a group with a leader or a configuration is known to exist."""
        self.has_started = False
        """Whether this host's member has started."""
        self.enough_since_s: float | None = None
        """Boot-clock time in seconds since which enough hosts are known; None
        before."""
        self.next_round_s = 0.0
        """Boot-clock time in seconds before which this host begins no round."""
        self.next_orders_s = 0.0
        """Boot-clock time in seconds of the next orders."""
        self.awaited: list[str] = []
        """Link addresses of the hosts that did not answer in the last failed round."""
        self.is_proposer = False
        """Whether a round of this host has led to the agreement."""
        self.is_ordered = False
        """Whether a host of an earlier version ordered this one to propose."""
        self.ready = FoundingReady()
        """Output since the last `take_ready`."""

    @property
    def state(self) -> FoundingState:
        """What this host believes of the founding."""
        if self.is_group_known:
            return FoundingState.ENDED
        if self.vote.agreed:
            return FoundingState.AGREED
        if self.proposal is not None:
            return FoundingState.PROPOSING
        return FoundingState.AWAITING_HOSTS

    @property
    def is_done(self) -> bool:
        """Whether this host has nothing to do for the founding any more."""
        must_start = not self.has_started and bool(self.members_to_start())
        return self.is_group_known and not must_start

    @property
    def known_hosts(self) -> dict[str, str]:
        """Names of the hosts with a disk that were ever heard of, by link address."""
        return {address: host for address, host in self.hosts.items() if host}

    def silent_hosts(self, proposal: Proposal) -> list[str]:
        """Return the link addresses of the hosts that have not answered in a round."""
        answered = {*proposal.granted, *proposal.refused}
        return sorted(set(self.hosts) - answered)

    def required_votes(self) -> int | None:
        """Return how many hosts have to agree; None if too few are known."""
        count, least = len(self.hosts), self.options.member_count
        if count < least:
            count = min(least, len(self.newcomers - set(self.hosts)) + count)
        return required_votes(count, self.options.tolerated_losses)

    def round_timeout_s(self) -> float:
        """Return the time in seconds after which a phase of the latest round ends."""
        growth = TIMEOUT_GROWTH ** min(max(self.latest_number - 1, 0), 10)
        return min(ROUND_TIMEOUT_S * growth, MAX_ROUND_TIMEOUT_S)

    def members_to_start(self) -> tuple[pb.Member, ...]:
        """Return the first members, this host among them; empty if it is none."""
        if not self.vote.agreed:
            return ()
        agreed = decode_value(self.vote.agreed)
        return members_to_start(agreed, self.options.host, self.options.own)

    def take_ready(self) -> FoundingReady:
        """Return the output collected since the last call and clear it."""
        ready, self.ready = self.ready, FoundingReady()
        return ready

    def add_hosts(self, hosts: Mapping[str, str]) -> None:
        """Take further hosts with a disk into account.

        Args:
            hosts: Names of hosts by link address; a name that is known is kept.
        """
        for address, host in hosts.items():
            if host and not self.hosts.get(address):
                self.hosts[address] = host

    def on_report(
        self, address: str, host: str, member: pb.Member | None, *, may_vote: bool
    ) -> None:
        """Take into account what a host with a disk reports of itself.

        Args:
            address: Link address of the host.
            host: Name of the host.
            member: Its member, which may be a first member; None if it can't be one.
            may_vote: Whether its disk may hold votes. One that does not, being new,
                counts if it is known from before, or else too few hosts are known.
        """
        if may_vote or address in self.hosts:
            self.add_hosts({address: host})
        else:
            self.newcomers.add(address)
        if member is not None and address != self.options.address:
            self.members[address] = member

    def add_witnesses(self, addresses: Iterable[str]) -> None:
        """Take gateways without a disk into account.

        Args:
            addresses: Their link addresses; seeds among them have no vote.
        """
        for address in addresses:
            self.witnesses.add(address)
            if self.hosts.get(address) == "":
                del self.hosts[address]

    def on_group_known(self) -> None:
        """Stop proposing, because a group exists."""
        self.is_group_known = True
        self.proposal = None

    def on_started(self) -> None:
        """Record that this host's member has started, as a first one or a later one."""
        self.has_started = True
        self.proposal = None

    def on_ballot(self, ballot: Ballot, now_s: float) -> Answer:
        """Promise a round, or accept a value.

        Args:
            ballot: The ballot of another host.
            now_s: Current boot-clock time in seconds.
        """
        answer = self._vote_on(ballot)
        if answer.granted:
            # The other round would fail if this host began one of its own.
            wait_s = ROUND_TIMEOUT_S + RANK_DELAY_S * self._rank()
            self.next_round_s = max(self.next_round_s, now_s + wait_s)
        return answer

    def _vote_on(self, ballot: Ballot) -> Answer:
        self.add_hosts(ballot.hosts)
        self.latest_number = max(self.latest_number, ballot.round.number)
        changed = self._changed_vote(ballot)
        if changed is not None:
            self.vote = changed
        own = None if self.has_started else self.options.own
        return Answer(changed is not None, self.vote, self.known_hosts, own)

    def _changed_vote(self, ballot: Ballot) -> Vote | None:
        if not self.options.may_vote or self.vote.agreed or self.has_started:
            return None
        if ballot.value:
            return self.vote.on_accept(ballot.round, ballot.value)
        return self.vote.on_prepare(ballot.round)

    def on_answer(
        self, address: str, ballot: Ballot, answer: Answer, now_s: float
    ) -> None:
        """Count the answer of another host to a ballot of this one.

        Args:
            address: Link address of the other host.
            ballot: The ballot.
            answer: The answer.
            now_s: Current boot-clock time in seconds.
        """
        self.add_hosts(answer.hosts)
        if answer.member is not None:
            self.members[address] = answer.member
        self.latest_number = max(self.latest_number, answer.vote.promised.number)
        if answer.vote.agreed:
            self.on_agreed(answer.vote.agreed)
            self.tick(now_s)
            return
        proposal = self.proposal
        if proposal is None or (ballot.round, ballot.value) != (
            proposal.round,
            proposal.value,
        ):
            return
        if address in proposal.witnesses:
            proposal.has_witness = True
        elif answer.granted:
            proposal.granted[address] = answer
        else:
            proposal.refused.add(address)
        self._advance(proposal, now_s)

    def on_order(self, order: Order, now_s: float) -> None:
        """Learn what was agreed on, or propose soon if nothing was.

        Args:
            order: The order of another host.
            now_s: Current boot-clock time in seconds.
        """
        if order.agreed:
            self.on_agreed(order.agreed)
        else:
            self.is_ordered = True
        self.tick(now_s)

    def on_agreed(self, value: FoundingValue) -> None:
        """Record a value that enough hosts have accepted."""
        self.proposal = None
        if not self.vote.agreed:
            self.vote = replace(self.vote, agreed=value)

    def tick(self, now_s: float) -> None:
        """Begin or end rounds, and repeat orders.

        Args:
            now_s: Current boot-clock time in seconds.
        """
        if self.vote.agreed:
            self._start_group(now_s)
            return
        if self.is_group_known or self.has_started or not self.options.may_vote:
            return
        if self.proposal is not None:
            self._advance(self.proposal, now_s)
        elif self._may_propose(now_s):
            self._begin_round(now_s)

    def _start_group(self, now_s: float) -> None:
        if not self.has_started:
            self.ready.start = self.members_to_start()
        if self.is_group_known or now_s < self.next_orders_s:
            return
        self.next_orders_s = now_s + ORDER_INTERVAL_S
        agreed = decode_value(self.vote.agreed)
        # A sole founder of an earlier version has to propose itself.
        is_list = isinstance(agreed, FirstMembers)
        order = Order(self.vote.agreed if is_list else NO_VALUE)
        self.ready.orders = [
            (address, order)
            for address in addresses_to_order(agreed, self.hosts)
            if address != self.options.address
        ]

    def _may_propose(self, now_s: float) -> bool:
        host_count = len(self.known_hosts)
        required = self.required_votes()
        if required is None or host_count < required:
            self.enough_since_s = None
            return False
        if self.enough_since_s is None:
            self.enough_since_s = now_s
        is_full = host_count >= self.options.member_count and all(self.hosts.values())
        wait_s = SETTLE_S if is_full else SHORTHANDED_S
        if not self.is_ordered:
            wait_s += RANK_DELAY_S * self._rank()
        return now_s >= max(self.enough_since_s + wait_s, self.next_round_s)

    def _rank(self) -> int:
        """Return how many hosts come before this one as the proposer."""
        seeds = [seed for seed in self.options.seeds if seed in self.hosts]
        others = sorted(set(self.hosts) - set(seeds))
        return [*seeds, *others].index(self.options.address)

    def _begin_round(self, now_s: float) -> None:
        self.latest_number += 1
        current = Round(self.latest_number, self.options.host)
        count = min(WITNESS_COUNT, len(self.witnesses))
        witnesses = self.random.sample(sorted(self.witnesses), count)
        self.proposal = Proposal(current, witnesses, now_s)
        self._ask(self.proposal, now_s)
        ballot = Ballot(current, NO_VALUE, self.known_hosts)
        self.ready.ballots += [(address, ballot) for address in witnesses]

    def _ask(self, proposal: Proposal, now_s: float) -> None:
        """Begin a phase of a round: vote for it, and ask all others."""
        proposal.began_s = now_s
        proposal.granted.clear()
        proposal.refused.clear()
        ballot = Ballot(proposal.round, proposal.value, self.known_hosts)
        answer = self._vote_on(ballot)
        if not answer.granted:
            self._give_up(now_s)
            return
        proposal.granted[self.options.address] = answer
        self.ready.ballots += [
            (address, ballot)
            for address in self.hosts
            if address != self.options.address
        ]

    def _give_up(self, now_s: float) -> None:
        if self.proposal is not None:
            self.awaited = self.silent_hosts(self.proposal)
        self.proposal = None
        self.is_ordered = False
        wait_s = RETRY_S * (1 + self.random.random()) + RANK_DELAY_S * self._rank()
        self.next_round_s = max(self.next_round_s, now_s + wait_s)

    def _advance(self, proposal: Proposal, now_s: float) -> None:
        """Begin the next phase if enough hosts grant this one, or end the round."""
        granted = {a: v for a, v in proposal.granted.items() if a in self.hosts}
        refused = proposal.refused & set(self.hosts)
        required = self.required_votes()
        elapsed_s = now_s - proposal.began_s
        if required is None or len(self.hosts) - len(refused) < required:
            self._give_up(now_s)
        elif len(granted) < required or (
            proposal.witnesses and not proposal.has_witness
        ):
            if elapsed_s >= self.round_timeout_s():
                self._give_up(now_s)
        elif proposal.value:
            self.is_proposer = True
            self.on_agreed(proposal.value)
            self.tick(now_s)
        elif len(granted) + len(refused) >= len(self.hosts) or elapsed_s >= GATHER_S:
            votes = [answer.vote for answer in granted.values()]
            proposal.value = value_to_propose(votes) or self._choose_value(granted)
            if proposal.value:
                self._ask(proposal, now_s)
            else:
                self._give_up(now_s)

    def _choose_value(self, granted: Mapping[str, Answer]) -> FoundingValue:
        """Return a value of this host's choice; `NO_VALUE` if too few could be members.

        A group of fewer voters would accept nothing. Hosts of earlier versions can't be
        first members; with some of them, fewer have to do.
        """
        responding = {
            address: answer.member
            for address, answer in granted.items()
            if answer.member is not None
        }
        count = self.options.member_count
        chosen = choose_first_members(self.options.own, responding, self.members, count)
        if len(chosen) < count and len(responding) == len(granted):
            return NO_VALUE
        return encode_first_members(chosen)
