"""Reads and writes the state group from any gateway, with or without a disk."""

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
    from tanagerturn.gateway.state_group.member import StateMember

RETRY_DELAY_S: Final = 0.06
"""Delay in seconds before another attempt; an election takes many times as long."""

ATTEMPT_TIMEOUT_S: Final = 0.6
"""Timeout of one attempt in seconds; a commit takes a few milliseconds."""


class ReplicatedStore:
    """Forwards reads and writes to the leader of the state group.

    Args:
        links: Links to peer gateways.
        member: This gateway's member of the group; None on hosts without a disk.
        digests: Returns the latest digests of peer gateways.
    """

    def __init__(
        self,
        links: Links,
        member: StateMember | None,
        digests: Callable[[], Sequence[gpb.Digest]],
    ) -> None:
        self.links = links
        """Links to peer gateways."""
        self.member = member
        """This gateway's member of the group; None on hosts without a disk."""
        self.digests = digests
        """Returns the latest digests of peer gateways."""

    async def propose(
        self, command: pb.Command, timeout_s: float
    ) -> Result[pb.CommandResult, StepError]:
        """Commit a command at most once; after an error it may still be committed."""
        frame = gpb.Frame(propose=gpb.ProposeCall(command=command))
        result = await self._call(frame, timeout_s)
        return result.map(lambda response: response.result)

    async def read(
        self, key: str, timeout_s: float
    ) -> Result[pb.KeyValue | None, StepError]:
        """Read the latest value of a key, confirmed by a majority."""
        frame = gpb.Frame(read=gpb.ReadCall(key=key))
        result = await self._call(frame, timeout_s)
        return result.map(
            lambda a: a.answer.entry if a.answer.HasField("entry") else None
        )

    async def serve(self, frame: gpb.Frame) -> gpb.Frame:
        """Execute a call of any gateway at the local member and return the response."""
        member = self.member
        if member is None or member.actor is None:
            return _failure_frame("no member here", "")
        if frame.WhichOneof("kind") == "propose":
            command = frame.propose.command
            if not member.is_complete:
                return _failure_frame(
                    "the group is not complete", member.leader_address
                )
            proposed = await member.propose(command)
            if proposed.is_error():
                return _error_frame(proposed.error)
            return gpb.Frame(result=proposed.ok)
        key = frame.read.key
        stale = frame.read.stale_allowed
        read = await member.query(_read_key(key), stale_allowed=stale)
        if read.is_error():
            return _error_frame(read.error)
        return gpb.Frame(answer=gpb.ReadAnswer(entry=read.ok))

    async def _call(
        self, frame: gpb.Frame, timeout_s: float
    ) -> Result[gpb.Frame, StepError]:
        """Call the current leader and retry until the timeout."""
        deadline_s = boot_s() + timeout_s
        hint = self._leader_hint()
        reason = "no leader is known"
        while True:
            remaining_s = deadline_s - boot_s()
            if remaining_s <= 0:
                return Error(UnavailableError("call state group", hint, reason))
            result = await self._call_once(
                frame, hint, min(remaining_s, ATTEMPT_TIMEOUT_S)
            )
            if result.is_ok():
                response = result.ok
                if response.WhichOneof("kind") != "failure":
                    return Ok(response)
                reason = response.failure.reason
                reported_leader = response.failure.leader_address
                if reported_leader and reported_leader != hint:
                    hint = reported_leader
                    continue
            else:
                reason = result.error.reason
            if frame.WhichOneof("kind") == "propose" and not _was_not_executed(result):
                # The proposal may have been committed: the caller must read the state
                # before it proposes again.
                return Error(UnavailableError("call state group", hint, reason))
            await asyncio.sleep(min(RETRY_DELAY_S, max(0.0, remaining_s)))
            hint = self._leader_hint()

    async def _call_once(
        self, frame: gpb.Frame, address: str, timeout_s: float
    ) -> Result[gpb.Frame, StepError]:
        member = self.member
        local_address = member.transport.addresses.get(member.id, "") if member else ""
        if member is not None and address in ("", local_address):
            try:
                async with asyncio.timeout(timeout_s):
                    return Ok(await self.serve(frame))
            except TimeoutError:
                return Error(
                    UnavailableError(
                        "call state group",
                        local_address,
                        f"no response within {timeout_s} s",
                    )
                )
        if not address:
            return Ok(_failure_frame("no leader is known", ""))
        call_frame = gpb.Frame()
        call_frame.CopyFrom(frame)
        return await self.links.link_to(address).call(call_frame, timeout_s)

    def _leader_hint(self) -> str:
        """Return the leader's link address as known locally, or else reported by peers.

        Of several reports the one with the highest term is used. Returns the address of
        any group member if no leader is known, and an empty string if no member is
        known.
        """
        local_hint = self.member.leader_address if self.member is not None else ""
        if local_hint:
            return local_hint
        reported = [d for d in self.digests() if d.leader_address]
        if reported:
            return max(reported, key=lambda d: d.term).leader_address
        members = [d.link_address for d in self.digests() if d.founded]
        return members[0] if members else ""


def _read_key(key: str) -> Callable[[Store], pb.KeyValue | None]:
    return lambda store: store.entries.get(key)


def _failure_frame(reason: str, leader_address: str) -> gpb.Frame:
    return gpb.Frame(failure=gpb.Failure(reason=reason, leader_address=leader_address))


def _error_frame(error: StepError) -> gpb.Frame:
    leader = error.leader if isinstance(error, NotLeaderError) else ""
    frame = _failure_frame(error.reason, leader)
    frame.failure.may_have_run = not isinstance(error, NotLeaderError)
    return frame


def _was_not_executed(result: Result[gpb.Frame, StepError]) -> bool:
    return result.is_ok() and not result.ok.failure.may_have_run
