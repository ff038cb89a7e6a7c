"""A `StateClient` that calls state members over gRPC."""

from __future__ import annotations

import threading
import time
import uuid
from typing import TYPE_CHECKING, Any, Final

import grpc
from expression import Error, Ok, Result

from tanagerturn.coordination._remote_watch import RemoteWatch
from tanagerturn.coordination.channels import TlsFiles, open_channel
from tanagerturn.coordination.errors import (
    RefusedError,
    StepError,
    UnavailableError,
)
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema.coordination_pb2_grpc import StateServiceStub

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from tanagerturn.coordination.ids import GroupId, LeaseName, Revision

__all__ = ["LEADER_KEY", "RemoteStateClient", "TlsFiles", "connect"]

LEADER_KEY: Final = "tanager-leader"
"""Key of the trailing metadata that holds the leader's IP address and port."""

ATTEMPT_TIMEOUT_S: Final = 1.0
"""Longest wait in seconds for the response of one member before the next attempt."""

RETRY_PAUSE_S: Final = 0.02
"""Pause in seconds before the next attempt when the leader is unknown."""

REFUSAL_CODES: Final = frozenset(
    {
        grpc.StatusCode.INVALID_ARGUMENT,
        grpc.StatusCode.RESOURCE_EXHAUSTED,
        grpc.StatusCode.PERMISSION_DENIED,
        grpc.StatusCode.NOT_FOUND,
        grpc.StatusCode.UNIMPLEMENTED,
    }
)


class RemoteStateClient:
    """Calls to state members; follows the leader and retries until the timeout.

    Args:
        addresses: IP addresses and ports of state members, at least one.
        tls: TLS files, or None for plain TCP.
    """

    def __init__(self, addresses: Sequence[str], tls: TlsFiles | None) -> None:
        self.addresses = list(addresses)
        """IP addresses and ports of state members."""
        self.tls = tls
        """TLS files, or None for plain TCP."""
        self.leaders: dict[str, str] = {}
        """Last known IP address and port of the leader, by replication group."""
        self.watches: list[RemoteWatch] = []
        """Running watches."""
        self._lock = threading.Lock()
        self._channels: dict[str, grpc.Channel] = {}
        self._stubs: dict[str, StateServiceStub] = {}

    def close(self) -> None:
        """Stop all watches and close all channels."""
        for watch in list(self.watches):
            watch.stop()
        with self._lock:
            channels = list(self._channels.values())
            self._channels = {}
            self._stubs = {}
        for channel in channels:
            channel.close()

    def stub(self, address: str) -> StateServiceStub:
        """Return the gRPC stub of the member at an IP address and port."""
        with self._lock:
            if address not in self._stubs:
                channel = open_channel(address, self.tls)
                self._channels[address] = channel
                self._stubs[address] = StateServiceStub(channel)
            return self._stubs[address]

    def propose(
        self, group: GroupId, command: pb.Command, timeout_s: float
    ) -> Result[pb.CommandResult, StepError]:
        """Commit a command; a transaction without a change id gets a random one."""
        sent = pb.Command()
        sent.CopyFrom(command)
        if not sent.change_id and sent.HasField("transaction"):
            sent.change_id = uuid.uuid4().hex
        request = pb.ProposeRequest(group=group, command=sent)
        response = self._call("propose", group, "Propose", request, timeout_s)
        return response.map(lambda response: response.result)

    def read(
        self, group: GroupId, key: str, timeout_s: float
    ) -> Result[pb.KeyValue | None, StepError]:
        """Read the entry of one key linearizably; None when the key does not exist."""
        request = pb.RangeRequest(group=group, prefix=key, exact=True, limit=1)
        response = self._call("read", group, "Range", request, timeout_s)
        return response.map(lambda found: next(iter(found.entries), None))

    def scan(
        self,
        group: GroupId,
        prefix: str,
        timeout_s: float,
        after_key: str = "",
        limit: int = 1000,
    ) -> Result[pb.RangeResponse, StepError]:
        """Read up to `limit` entries under a prefix, after a key, linearizably."""
        request = pb.RangeRequest(
            group=group, prefix=prefix, after_key=after_key, limit=limit
        )
        return self._call("scan", group, "Range", request, timeout_s)

    def lease(
        self, group: GroupId, name: LeaseName, timeout_s: float
    ) -> Result[pb.Lease, StepError]:
        """Read a lease linearizably; the holder is empty when the lease is free."""
        request = pb.LeaseRequest(group=group, name=name)
        response = self._call("read lease", group, "GetLease", request, timeout_s)
        return response.map(lambda response: response.lease)

    def change_member(
        self, group: GroupId, action: int, member: pb.Member, timeout_s: float
    ) -> Result[pb.Membership, StepError]:
        """Add, promote or remove one member; return the new membership.

        Args:
            group: Replication group to change.
            action: `MemberChangeRequest.Action`.
            member: Member to add, promote or remove.
            timeout_s: Timeout in seconds.
        """
        request = pb.MemberChangeRequest(group=group, member=member)
        request.action = action  # type: ignore[assignment]
        response = self._call(
            "change member", group, "ChangeMember", request, timeout_s
        )
        return response.map(lambda response: response.membership)

    def status(
        self, address: str, timeout_s: float
    ) -> Result[pb.StatusResponse, StepError]:
        """Request the status of the member at an IP address and port."""
        try:
            return Ok(self.stub(address).Status(pb.Empty(), timeout=timeout_s))
        except grpc.RpcError as error:
            return Error(UnavailableError("ask status", address, _status_text(error)))

    def watch(
        self,
        group: GroupId,
        prefix: str,
        after_revision: Revision,
        on_batch: Callable[[pb.WatchBatch], None],
    ) -> RemoteWatch:
        """Call `on_batch` with the events under a prefix, on a separate thread."""
        watch = RemoteWatch(self, group, prefix, after_revision, on_batch)
        self.watches.append(watch)
        watch.start()
        return watch

    def _call(
        self, step: str, group: str, method: str, request: Any, timeout_s: float
    ) -> Result[Any, StepError]:
        deadline_s = time.monotonic() + timeout_s
        attempt = 0
        last_error: StepError = UnavailableError(
            step, "", f"no member was tried within the timeout of {timeout_s:g} s"
        )
        while (remaining_s := deadline_s - time.monotonic()) > 0:
            address = self._target_address(group, attempt)
            attempt += 1
            call = getattr(self.stub(address), method)
            try:
                return Ok(call(request, timeout=min(remaining_s, ATTEMPT_TIMEOUT_S)))
            except grpc.RpcError as error:
                last_error = self._error_of(step, group, address, error)
            except ValueError as error:
                return Error(UnavailableError(step, address, str(error)))
            if isinstance(last_error, RefusedError):
                return Error(last_error)
            if group not in self.leaders:
                time.sleep(min(RETRY_PAUSE_S, max(0.0, deadline_s - time.monotonic())))
        return Error(last_error)

    def _target_address(self, group: str, attempt: int) -> str:
        leader = self.leaders.get(group)
        return leader or self.addresses[attempt % len(self.addresses)]

    def _error_of(
        self, step: str, group: str, address: str, error: grpc.RpcError
    ) -> StepError:
        self.leaders.pop(group, None)
        code = error.code()
        if code in REFUSAL_CODES:
            return RefusedError(step, address, _status_text(error))
        if code is grpc.StatusCode.FAILED_PRECONDITION:
            leader = _leader_from_trailer(error)
            if leader and leader != address:
                self.leaders[group] = leader
        return UnavailableError(step, address, _status_text(error))


def connect(addresses: Sequence[str], tls: TlsFiles | None = None) -> RemoteStateClient:
    """Return a client of state members, which connects on first use.

    Args:
        addresses: IP addresses and ports of state members, at least one.
        tls: TLS files, or None for plain TCP.
    """
    return RemoteStateClient(addresses, tls)


def _leader_from_trailer(error: Any) -> str:
    for key, value in error.trailing_metadata() or ():
        if key == LEADER_KEY:
            return str(value)
    return ""


def _status_text(error: Any) -> str:
    return f"{error.code().name}: {error.details()}"
