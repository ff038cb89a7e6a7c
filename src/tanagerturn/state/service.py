"""gRPC services of a state member."""

from __future__ import annotations

from collections import defaultdict
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING, Any, Final

import grpc

from tanagerturn.coordination.errors import (
    NotLeaderError,
    RefusedError,
    StepError,
)
from tanagerturn.coordination.log.membership import Action
from tanagerturn.coordination.remote import LEADER_KEY
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import coordination_pb2_grpc as rpc
from tanagerturn.state import messages as m
from tanagerturn.state._watches import Watcher

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tanagerturn.coordination.store import Store
    from tanagerturn.state.server import StateServer

MAX_REPLY_WAIT_S: Final = 30.0
"""Longest wait for the reply of a group's actor, in seconds; a shorter deadline of the
caller takes precedence."""

MAX_RANGE_KEYS: Final = 1000
"""Largest number of entries in one `Range` response; applies also if the request gives
no limit."""


class StateServicer(rpc.StateServiceServicer):
    """gRPC service for clients of the replicated store.

    Args:
        server: State member that handles the calls.
    """

    def __init__(self, server: StateServer) -> None:
        self.server = server
        """State member that handles the calls."""

    def Propose(  # noqa: N802
        self, request: pb.ProposeRequest, context: grpc.ServicerContext
    ) -> pb.ProposeResponse:
        """Commit a command and return its result."""
        reply: Future[Any] = Future()
        group = self._group(request.group, context)
        group.tell(m.Propose(request.command, reply))
        return pb.ProposeResponse(result=_wait_for_result(reply, context))

    def Range(  # noqa: N802
        self, request: pb.RangeRequest, context: grpc.ServicerContext
    ) -> pb.RangeResponse:
        """Return the entry of one key, or the entries under a prefix."""
        reply: Future[Any] = Future()
        group = self._group(request.group, context)
        query = m.Query(
            lambda store: _read_range(store, request), reply, request.stale_allowed
        )
        group.tell(query)
        response: pb.RangeResponse = _wait_for_result(reply, context)
        return response

    def GetLease(  # noqa: N802
        self, request: pb.LeaseRequest, context: grpc.ServicerContext
    ) -> pb.LeaseResponse:
        """Return a lease."""
        reply: Future[Any] = Future()
        group = self._group(request.group, context)
        group.tell(m.Query(lambda store: store.lease(request.name), reply))
        return pb.LeaseResponse(lease=_wait_for_result(reply, context))

    def Watch(  # noqa: N802
        self, request: pb.WatchRequest, context: grpc.ServicerContext
    ) -> Iterator[pb.WatchBatch]:
        """Send batches of the events under a prefix as the events are applied."""
        group = self._group(request.group, context)
        watcher = Watcher(request.prefix, request.after_revision)
        if not context.add_callback(watcher.end):
            return
        group.tell(m.AddWatch(watcher))
        try:
            while (batch := watcher.batches.get()) is not None:
                yield batch
        finally:
            self.server.tell(request.group, m.RemoveWatch(watcher))

    def Status(  # noqa: N802
        self, request: pb.Empty, context: grpc.ServicerContext
    ) -> pb.StatusResponse:
        """Return the status of all groups; no groups before all have started."""
        folder = self.server.folder
        response = pb.StatusResponse(
            incarnation=folder.incarnation, cluster=folder.cluster
        )
        for group in self.server.groups.values():
            reply: Future[pb.GroupStatus] = Future()
            group.tell(m.GetStatus(reply))
            response.groups.append(reply.result(timeout=_remaining_s(context)))
        return response

    def ChangeMember(  # noqa: N802
        self, request: pb.MemberChangeRequest, context: grpc.ServicerContext
    ) -> pb.MemberChangeResponse:
        """Commit one membership change of a group and return the new membership.

        If the request adds a member without its incarnation, the incarnation is taken
        from the status of that member.
        """
        member = request.member
        if request.action == Action.ADD_LEARNER and not member.incarnation:
            status = self.server.fetch_status(member.address, _remaining_s(context) / 2)
            if status.is_error():
                reason = f"the new member can't be added: {status.error}"
                context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, reason)
            member.incarnation = status.ok.incarnation
        reply: Future[Any] = Future()
        group = self._group(request.group, context)
        group.tell(m.ChangeMember(request.action, member, reply))
        return pb.MemberChangeResponse(membership=_wait_for_result(reply, context))

    def _group(self, name: str, context: grpc.ServicerContext) -> Any:
        group = self.server.groups.get(name)
        if group is not None and group.is_alive():
            return group
        if self.server.groups:
            context.abort(grpc.StatusCode.NOT_FOUND, f"no group {name!r}")
        context.abort(grpc.StatusCode.UNAVAILABLE, "the member has not started")
        raise AssertionError


class LogServicer(rpc.LogServiceServicer):
    """gRPC service for the log streams of other members.

    Args:
        server: State member that handles the messages.
    """

    def __init__(self, server: StateServer) -> None:
        self.server = server
        """State member that handles the calls."""

    def Deliver(  # noqa: N802
        self, request_iterator: Iterator[pb.LogMessages], context: grpc.ServicerContext
    ) -> pb.Empty:
        """Pass the log messages of a stream to the actors of their groups."""
        for batch in request_iterator:
            by_group: dict[str, list[pb.LogMessage]] = defaultdict(list)
            for message in batch.messages:
                by_group[message.group].append(message)
            for name, messages in by_group.items():
                self.server.tell(name, m.Deliver(messages))
        return pb.Empty()


def _read_range(store: Store, request: pb.RangeRequest) -> pb.RangeResponse:
    if request.exact:
        entry = store.entries.get(request.prefix)
        entries = [] if entry is None else [entry]
        return pb.RangeResponse(revision=store.revision, entries=entries)
    limit = min(request.limit or MAX_RANGE_KEYS, MAX_RANGE_KEYS)
    entries = list(store.scan(request.prefix, request.after_key, limit + 1))
    return pb.RangeResponse(
        revision=store.revision, entries=entries[:limit], more=len(entries) > limit
    )


def _remaining_s(context: grpc.ServicerContext) -> float:
    remaining_s = context.time_remaining()
    return (
        MAX_REPLY_WAIT_S if remaining_s is None else min(remaining_s, MAX_REPLY_WAIT_S)
    )


def _wait_for_result(reply: Future[Any], context: grpc.ServicerContext) -> Any:
    try:
        result = reply.result(timeout=_remaining_s(context))
    except FutureTimeoutError:
        context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "not committed in time")
    if result.is_ok():
        return result.ok
    _abort(result.error, context)
    raise AssertionError


def _abort(error: StepError, context: grpc.ServicerContext) -> None:
    if isinstance(error, NotLeaderError):
        context.set_trailing_metadata(((LEADER_KEY, error.leader),))
        context.abort(grpc.StatusCode.FAILED_PRECONDITION, str(error))
    if isinstance(error, RefusedError):
        context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, str(error))
    context.abort(grpc.StatusCode.UNAVAILABLE, str(error))
