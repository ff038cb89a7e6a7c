"""Runs the agreement on the founder of the state group between hosts with a disk."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.errors import StorageError
from tanagerturn.coordination.storage.files import DamageError
from tanagerturn.coordination.storage.folder import write_atomically
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.state_group.founding import (
    Round,
    Vote,
    decode_vote,
    founder_to_propose,
    merge_hosts,
    next_round,
    required_votes,
)
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.coordination.storage.files import Files
    from tanagerturn.gateway.links import Links

VOTE_FILE: Final = "founding"

VOTE_TIMEOUT_S: Final = 0.6
"""Timeout in seconds of a call to another host; a sync takes a few milliseconds."""

log = component_log("member")


class FounderAgreement:
    """This host's part in the agreement on the founder of the state group.

    Args:
        host: This host.
        address: Link address of this host.
        tolerated_losses: Number of hosts that may be lost at the same time.
        links: Links to peer gateways.
        files: Files of the state member, in which the vote is stored.

        has_group: Whether the member belonged to a group when it was opened: it grants
            no votes, and its stored vote is not needed any more.

    Raises:
        DamageError: The stored vote is damaged, and no group is known.
    """

    def __init__(
        self,
        host: str,
        address: str,
        tolerated_losses: int,
        links: Links,
        files: Files,
        *,
        has_group: bool,
    ) -> None:
        self.host = host
        """This host."""
        self.tolerated_losses = tolerated_losses
        """Number of hosts that may be lost at the same time."""
        self.links = links
        """Links to peer gateways."""
        self.files = files
        """Files of the state member."""
        self.has_group = has_group
        """Whether the member belonged to a group when it was opened."""
        self.vote = Vote() if has_group else _load_vote(files)
        """What this host has promised and accepted, as stored."""
        self.hosts = {host: address}
        """Link addresses of all hosts with a disk that were ever known, by host."""
        self.lock = asyncio.Lock()
        """Held while the vote is changed and stored."""

    def add_hosts(self, hosts: Iterable[tuple[str, str]]) -> None:
        """Take further hosts with a disk into account.

        Args:
            hosts: Hosts and link addresses.
        """
        self.hosts = merge_hosts(self.hosts, hosts)

    async def respond(self, call: gpb.FoundingCall) -> gpb.Frame:
        """Return the response to a peer's call; a failure if nothing can be stored."""
        try:
            return gpb.Frame(founding_vote=await self.serve(call))
        except StorageError as error:
            log.warning("vote_not_stored", reason=str(error))
            return gpb.Frame(failure=gpb.Failure(reason=str(error)))

    async def serve(self, call: gpb.FoundingCall) -> gpb.FoundingVote:
        """Promise a round or accept a founder, and return what is stored then.

        Raises:
            StorageError: The vote can't be stored.
        """
        proposed = _decode_round(call.round)
        async with self.lock:
            changed = self._changed_vote(proposed, call.founder)
            if changed is not None and changed != self.vote:
                data = changed.to_bytes()
                await asyncio.get_running_loop().run_in_executor(
                    None, write_atomically, self.files, VOTE_FILE, data
                )
                self.vote = changed
        return gpb.FoundingVote(
            granted=changed is not None,
            promised=_encode_round(self.vote.promised),
            accepted=_encode_round(self.vote.accepted),
            founder=self.vote.founder,
            hosts=self.known_hosts(),
        )

    def _changed_vote(self, proposed: Round, founder: str) -> Vote | None:
        if self.has_group:
            return None
        if founder:
            return self.vote.on_accept(proposed, founder)
        return self.vote.on_prepare(proposed)

    def known_hosts(self) -> list[gpb.FoundingHost]:
        """Return all hosts with a disk that were ever known."""
        return [
            gpb.FoundingHost(host=host, link_address=address)
            for host, address in sorted(self.hosts.items())
        ]

    async def propose(self) -> str:
        """Run one round in which this host proposes.

        Returns:
            The founder, on which all hosts agree for good; empty if the round failed.

        Raises:
            StorageError: The own vote can't be stored.
        """
        current = next_round(self.host, [self.vote])
        granted = await self._ask_all(current, "")
        if granted is None:
            return ""
        founder = founder_to_propose(self.host, granted)
        if await self._ask_all(current, founder) is None:
            return ""
        log.info("founder_agreed", founder=founder, round=current.number)
        return founder

    def send_order(self, founder: str) -> None:
        """Tell the founder that was agreed on to propose itself."""
        address = self.hosts.get(founder)
        if address is not None:
            order = gpb.FoundCall(hosts=self.known_hosts())
            self.links.link_to(address).send_one_way(gpb.Frame(found=order))

    async def _ask_all(self, current: Round, founder: str) -> list[Vote] | None:
        """Return the votes of the hosts that agree; None if too few do."""
        call = gpb.FoundingCall(round=_encode_round(current), founder=founder)
        hosts = dict(self.hosts)
        answers = await asyncio.gather(
            self.serve(call),
            *(self._ask(a, call) for host, a in hosts.items() if host != self.host),
        )
        votes = []
        for answer in answers:
            if answer is None:
                continue
            self.add_hosts((h.host, h.link_address) for h in answer.hosts)
            if answer.granted:
                votes.append(_decode_vote(answer))
            elif _decode_round(answer.promised) > self.vote.promised:
                # The next round of this host has to be later than that one.
                await self._observe(_decode_round(answer.promised))
        required = required_votes(len(self.hosts), self.tolerated_losses)
        return votes if required is not None and len(votes) >= required else None

    async def _observe(self, promised: Round) -> None:
        observed = Round(promised.number, "")
        await self.serve(gpb.FoundingCall(round=_encode_round(observed)))

    async def _ask(
        self, address: str, call: gpb.FoundingCall
    ) -> gpb.FoundingVote | None:
        frame = gpb.Frame(founding=call)
        answered = await self.links.link_to(address).call(frame, VOTE_TIMEOUT_S)
        if answered.is_error() or answered.ok.WhichOneof("kind") != "founding_vote":
            return None
        return answered.ok.founding_vote


def _load_vote(files: Files) -> Vote:
    if VOTE_FILE not in files.names(""):
        return Vote()
    try:
        return decode_vote(files.read(VOTE_FILE))
    except ValueError as error:
        raise DamageError("read vote", VOTE_FILE, str(error)) from error


def _encode_round(each: Round) -> gpb.FoundingRound:
    return gpb.FoundingRound(number=each.number, proposer=each.proposer)


def _decode_round(each: gpb.FoundingRound) -> Round:
    return Round(each.number, each.proposer)


def _decode_vote(answer: gpb.FoundingVote) -> Vote:
    return Vote(
        _decode_round(answer.promised), _decode_round(answer.accepted), answer.founder
    )
