"""The gRPC services of a state member."""

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

ANSWER_LIMIT_S: Final = 30.0
"""Longest wait for an answer when the caller gives no deadline."""

RANGE_LIMIT: Final = 1000


class StateServicer(rpc.StateServiceServicer):
    """Calls of clients.

    Args:
        server: The member.
    """

    def __init__(self, server: StateServer) -> None:
        self.server = server
        """The member."""

    def Propose(  # noqa: N802
        self, request: pb.ProposeRequest, context: grpc.ServicerContext
    ) -> pb.ProposeResponse:
        """Commit a command."""
        answer: Future[Any] = Future()
        group = self._group(request.group, context)
        group.tell(m.Propose(request.command, answer))
        return pb.ProposeResponse(result=_wait(answer, context))

    def Range(  # noqa: N802
        self, request: pb.RangeRequest, context: grpc.ServicerContext
    ) -> pb.RangeResponse:
        """Read keys."""
        answer: Future[Any] = Future()
        group = self._group(request.group, context)
        query = m.Query(
            lambda store: _range(store, request), answer, request.stale_allowed
        )
        group.tell(query)
        response: pb.RangeResponse = _wait(answer, context)
        return response

    def GetLease(  # noqa: N802
        self, request: pb.LeaseRequest, context: grpc.ServicerContext
    ) -> pb.LeaseResponse:
        """Read a lease."""
        answer: Future[Any] = Future()
        group = self._group(request.group, context)
        group.tell(m.Query(lambda store: store.lease(request.name), answer))
        return pb.LeaseResponse(lease=_wait(answer, context))

    def Watch(  # noqa: N802
        self, request: pb.WatchRequest, context: grpc.ServicerContext
    ) -> Iterator[pb.WatchBatch]:
        """Send events as they are applied."""
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
        """Return the state of all groups; none before the member has started."""
        folder = self.server.folder
        response = pb.StatusResponse(
            incarnation=folder.incarnation, cluster=folder.cluster
        )
        for group in self.server.groups.values():
            answer: Future[pb.GroupStatus] = Future()
            group.tell(m.AskStatus(answer))
            response.groups.append(answer.result(timeout=_left_s(context)))
        return response

    def ChangeMember(  # noqa: N802
        self, request: pb.MemberChangeRequest, context: grpc.ServicerContext
    ) -> pb.MemberChangeResponse:
        """Change the members of a group by one step."""
        member = request.member
        if request.action == Action.ADD_LEARNER and not member.incarnation:
            found = self.server.ask(member.address, _left_s(context) / 2)
            if found.is_error():
                reason = f"the new member can't be added: {found.error}"
                context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, reason)
            member.incarnation = found.ok.incarnation
        answer: Future[Any] = Future()
        group = self._group(request.group, context)
        group.tell(m.ChangeMember(request.action, member, answer))
        return pb.MemberChangeResponse(membership=_wait(answer, context))

    def _group(self, name: str, context: grpc.ServicerContext) -> Any:
        group = self.server.groups.get(name)
        if group is not None and group.is_alive():
            return group
        if self.server.groups:
            context.abort(grpc.StatusCode.NOT_FOUND, f"no group {name!r}")
        context.abort(grpc.StatusCode.UNAVAILABLE, "the member has not started")
        raise AssertionError


class LogServicer(rpc.LogServiceServicer):
    """Calls of other members.

    Args:
        server: The member.
    """

    def __init__(self, server: StateServer) -> None:
        self.server = server
        """The member."""

    def Deliver(  # noqa: N802
        self, request_iterator: Iterator[pb.LogMessages], context: grpc.ServicerContext
    ) -> pb.Empty:
        """Pass the messages of a stream on to the groups."""
        for batch in request_iterator:
            by_group: dict[str, list[pb.LogMessage]] = defaultdict(list)
            for message in batch.messages:
                by_group[message.group].append(message)
            for name, messages in by_group.items():
                self.server.tell(name, m.Deliver(messages))
        return pb.Empty()


def _range(store: Store, request: pb.RangeRequest) -> pb.RangeResponse:
    if request.exact:
        found = store.entries.get(request.prefix)
        entries = [] if found is None else [found]
        return pb.RangeResponse(revision=store.revision, entries=entries)
    limit = min(request.limit or RANGE_LIMIT, RANGE_LIMIT)
    entries = list(store.scan(request.prefix, request.after_key, limit + 1))
    return pb.RangeResponse(
        revision=store.revision, entries=entries[:limit], more=len(entries) > limit
    )


def _left_s(context: grpc.ServicerContext) -> float:
    left_s = context.time_remaining()
    return ANSWER_LIMIT_S if left_s is None else min(left_s, ANSWER_LIMIT_S)


def _wait(answer: Future[Any], context: grpc.ServicerContext) -> Any:
    try:
        result = answer.result(timeout=_left_s(context))
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
