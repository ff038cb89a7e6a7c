"""The relays' gRPC service and its client."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

import grpc
from expression import Error, Ok, Result
from loguru import logger

from tanagerturn.coordination.errors import UnavailableError
from tanagerturn.schema import dissemination_pb2 as dpb
from tanagerturn.schema import dissemination_pb2_grpc as dpb_grpc

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from tanagerturn.coordination.dissemination.watcher import SettingsWatcher
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.coordination.ids import ClusterId, ProcessId

WAKE_LIMIT_S: Final = 5.0
"""Longest sleep of a stream without a look at its caller."""

RETRY_S: Final = 0.5
"""Time before a lost stream is opened again."""


class RelayServicer(dpb_grpc.RelayServiceServicer):
    """Serves the settings of one process to its followers.

    Args:
        cluster: Name of the cluster; callers of another one are refused.
        watcher: The process's settings.
    """

    def __init__(self, cluster: ClusterId, watcher: SettingsWatcher) -> None:
        self.cluster = cluster
        """Name of the cluster."""
        self.watcher = watcher
        """The process's settings."""

    def Follow(  # noqa: N802
        self, request: dpb.FollowRequest, context: grpc.ServicerContext
    ) -> Iterator[dpb.SettingsDelta]:
        """Send what the caller lacks, and each later revision."""
        self._check(request, context)
        woken = threading.Event()
        self.watcher.subscribe(woken.set)
        context.add_callback(woken.set)
        number = request.after_number
        try:
            while context.is_active():
                woken.clear()
                delta = self.watcher.lacking(number)
                if delta is not None:
                    number = delta.revision.number
                    yield delta
                    continue
                woken.wait(WAKE_LIMIT_S)
        finally:
            self.watcher.unsubscribe(woken.set)

    def Fetch(  # noqa: N802
        self, request: dpb.FollowRequest, context: grpc.ServicerContext
    ) -> dpb.SettingsDelta:
        """Send what the caller lacks now; number 0 when nothing."""
        self._check(request, context)
        return self.watcher.lacking(request.after_number) or dpb.SettingsDelta()

    def _check(self, request: dpb.FollowRequest, context: grpc.ServicerContext) -> None:
        if request.cluster != self.cluster:
            context.abort(grpc.StatusCode.PERMISSION_DENIED, "another cluster")


class RelayFollow:
    """A stream from a relay, opened again after each loss.

    Args:
        relays: The client that opens channels.
        address: IP number and port of the relay.
        after_number: Returns the number that the follower has.
        on_delta: Takes what the follower lacks.
    """

    def __init__(
        self,
        relays: GrpcRelays,
        address: str,
        after_number: Callable[[], int],
        on_delta: Callable[[dpb.SettingsDelta], None],
    ) -> None:
        self.relays = relays
        """The client that opens channels."""
        self.address = address
        """IP number and port of the relay."""
        self.after_number = after_number
        """Returns the number that the follower has."""
        self.on_delta = on_delta
        """Takes what the follower lacks."""
        self.stopped = threading.Event()
        """Set when the stream has to end."""
        self.call: grpc.Call | None = None
        """The open stream."""
        self.thread = threading.Thread(
            target=self._run, name=f"settings-{address}", daemon=True
        )
        """Reads the stream."""

    def start(self) -> None:
        """Open the stream."""
        self.thread.start()

    def stop(self) -> None:
        """End the stream; no delta is delivered after the return."""
        self.stopped.set()
        if self.call is not None:
            self.call.cancel()
        if threading.current_thread() is not self.thread:
            self.thread.join()

    def _run(self) -> None:
        while not self.stopped.is_set():
            try:
                self._read()
            except grpc.RpcError as error:
                if self.stopped.is_set():
                    return
                reason = _reason(error)
                logger.warning("settings: relay {} lost: {}", self.address, reason)
            self.stopped.wait(RETRY_S)

    def _read(self) -> None:
        with self.relays.open(self.address) as channel:
            stub = dpb_grpc.RelayServiceStub(channel)
            request = self.relays.request(self.after_number())
            stream = stub.Follow(request)
            self.call = stream
            for delta in stream:
                if self.stopped.is_set():
                    return
                self.on_delta(delta)


class GrpcRelays:
    """A `RelayClient` over gRPC.

    Args:
        cluster: Name of the cluster.
        process: Name of the calling process.
        make_channel: Opens a channel to an address, with TLS where it is used.
    """

    def __init__(
        self,
        cluster: ClusterId,
        process: ProcessId,
        make_channel: Callable[[str], grpc.Channel],
    ) -> None:
        self.cluster = cluster
        """Name of the cluster."""
        self.process = process
        """Name of the calling process."""
        self.open = make_channel
        """Opens a channel to an address."""

    def request(self, after_number: int) -> dpb.FollowRequest:
        """Return the request of this process."""
        return dpb.FollowRequest(
            cluster=self.cluster, process=self.process, after_number=after_number
        )

    def fetch(
        self, address: str, after_number: int, timeout_s: float
    ) -> Result[dpb.SettingsDelta | None, StepError]:
        """Return what the caller lacks; None when nothing."""
        with self.open(address) as channel:
            stub = dpb_grpc.RelayServiceStub(channel)
            try:
                delta = stub.Fetch(self.request(after_number), timeout=timeout_s)
            except grpc.RpcError as error:
                failure = UnavailableError("fetch settings", address, _reason(error))
                return Error(failure)
        return Ok(delta if delta.revision.number else None)

    def follow(
        self,
        address: str,
        after_number: Callable[[], int],
        on_delta: Callable[[dpb.SettingsDelta], None],
    ) -> RelayFollow:
        """Deliver what the caller lacks, and each later revision."""
        follow = RelayFollow(self, address, after_number, on_delta)
        follow.start()
        return follow


def _reason(error: grpc.RpcError) -> str:
    # Errors of a call carry a status code; the type does not say so.
    code = getattr(error, "code", None)
    return str(code()) if callable(code) else str(error)
