"""Calls to the state group from any gateway, with or without a disk."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import (
    NotLeaderError,
    StepError,
    UnavailableError,
)
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from tanagerturn.coordination.store import Store
    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.member import StateMember

PAUSE_S: Final = 0.06
"""Time between two tries; an election takes many of them."""

TRY_TIMEOUT_S: Final = 0.6
"""Longest time of one try; a commit takes some milliseconds."""


class ReplicatedStore:
    """Reads and writes of the state group, by way of its leader.

    Args:
        links: Links to other gateways.
        member: The gateway's own member; None on hosts without a disk.
        digests: Returns the last digests of other gateways.
    """

    def __init__(
        self,
        links: Links,
        member: StateMember | None,
        digests: Callable[[], Sequence[gpb.Digest]],
    ) -> None:
        self.links = links
        """Links to other gateways."""
        self.member = member
        """The gateway's own member."""
        self.digests = digests
        """Returns the last digests of other gateways."""

    async def propose(
        self, command: pb.Command, timeout_s: float
    ) -> Result[pb.CommandResult, StepError]:
        """Commit a command once; after an error it may still be carried out."""
        frame = gpb.Frame(propose=gpb.ProposeCall(command=command))
        answered = await self._call(frame, timeout_s)
        return answered.map(lambda answer: answer.result)

    async def read(
        self, key: str, timeout_s: float
    ) -> Result[pb.KeyValue | None, StepError]:
        """Read the newest value of a key, confirmed by a majority."""
        frame = gpb.Frame(read=gpb.ReadCall(key=key))
        answered = await self._call(frame, timeout_s)
        return answered.map(
            lambda a: a.answer.entry if a.answer.HasField("entry") else None
        )

    async def serve(self, frame: gpb.Frame) -> gpb.Frame:
        """Answer a call of another gateway, or of this one."""
        member = self.member
        if member is None or member.actor is None:
            return _failure("no member here", "")
        if frame.WhichOneof("kind") == "propose":
            command = frame.propose.command
            if not member.is_complete:
                return _failure("the group is not complete", member.leader_address)
            proposed = await member.propose(command)
            if proposed.is_error():
                return _refused(proposed.error)
            return gpb.Frame(result=proposed.ok)
        key = frame.read.key
        stale = frame.read.stale_allowed
        read = await member.query(_reader(key), stale_allowed=stale)
        if read.is_error():
            return _refused(read.error)
        return gpb.Frame(answer=gpb.ReadAnswer(entry=read.ok))

    async def _call(
        self, frame: gpb.Frame, timeout_s: float
    ) -> Result[gpb.Frame, StepError]:
        """Call the leader, wherever it is, until the time is over."""
        deadline_s = boot_s() + timeout_s
        hint = self._hint()
        reason = "no leader is known"
        while True:
            left_s = deadline_s - boot_s()
            if left_s <= 0:
                return Error(UnavailableError("call state group", hint, reason))
            answered = await self._try(frame, hint, min(left_s, TRY_TIMEOUT_S))
            if answered.is_ok():
                answer = answered.ok
                if answer.WhichOneof("kind") != "failure":
                    return Ok(answer)
                reason = answer.failure.reason
                told = answer.failure.leader_address
                if told and told != hint:
                    hint = told
                    continue
            else:
                reason = answered.error.reason
            if frame.WhichOneof("kind") == "propose" and not _is_not_run(answered):
                # It may have been committed: the caller has to look first.
                return Error(UnavailableError("call state group", hint, reason))
            await asyncio.sleep(min(PAUSE_S, max(0.0, left_s)))
            hint = self._hint()

    async def _try(
        self, frame: gpb.Frame, address: str, timeout_s: float
    ) -> Result[gpb.Frame, StepError]:
        member = self.member
        own = member.transport.addresses.get(member.id, "") if member else ""
        if member is not None and address in ("", own):
            try:
                async with asyncio.timeout(timeout_s):
                    return Ok(await self.serve(frame))
            except TimeoutError:
                return Error(UnavailableError("call state group", own, "no answer"))
        if not address:
            return Ok(_failure("no leader is known", ""))
        sent = gpb.Frame()
        sent.CopyFrom(frame)
        return await self.links.to(address).call(sent, timeout_s)

    def _hint(self) -> str:
        """Return where the leader is, by the highest term that is known."""
        own = self.member.leader_address if self.member is not None else ""
        if own:
            return own
        known = [d for d in self.digests() if d.leader_address]
        if known:
            return max(known, key=lambda d: d.term).leader_address
        members = [d.link_address for d in self.digests() if d.founded]
        return members[0] if members else ""


def _reader(key: str) -> Callable[[Store], pb.KeyValue | None]:
    return lambda store: store.entries.get(key)


def _failure(reason: str, leader_address: str) -> gpb.Frame:
    return gpb.Frame(failure=gpb.Failure(reason=reason, leader_address=leader_address))


def _refused(error: StepError) -> gpb.Frame:
    leader = error.leader if isinstance(error, NotLeaderError) else ""
    frame = _failure(error.reason, leader)
    frame.failure.may_have_run = not isinstance(error, NotLeaderError)
    return frame


def _is_not_run(answered: Result[gpb.Frame, StepError]) -> bool:
    return answered.is_ok() and not answered.ok.failure.may_have_run
