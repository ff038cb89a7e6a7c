"""gRPC service of the settings relays, and its client."""

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

CALLER_CHECK_INTERVAL_S: Final = 5.0
"""Longest wait in seconds of a stream before it checks that its caller is connected."""

RECONNECT_PAUSE_S: Final = 0.5
"""Wait in seconds after the end of a stream before it is opened again."""


class RelayServicer(dpb_grpc.RelayServiceServicer):
    """Serves the settings of one process to its followers.

    Args:
        cluster: Name of the cluster; callers of another cluster are refused.
        watcher: Keeps the settings of the process up to date.
    """

    def __init__(self, cluster: ClusterId, watcher: SettingsWatcher) -> None:
        self.cluster = cluster
        """Name of the cluster; callers of another cluster are refused."""
        self.watcher = watcher
        """Keeps the settings of the process up to date."""

    def Follow(  # noqa: N802
        self, request: dpb.FollowRequest, context: grpc.ServicerContext
    ) -> Iterator[dpb.SettingsDelta]:
        """Send the delta to the newest revision, and one for each later revision."""
        self._check(request, context)
        update_event = threading.Event()
        self.watcher.subscribe(update_event.set)
        context.add_callback(update_event.set)
        number = request.after_number
        try:
            while context.is_active():
                update_event.clear()
                delta = self.watcher.delta_for(number)
                if delta is not None:
                    number = delta.revision.number
                    yield delta
                    continue
                update_event.wait(CALLER_CHECK_INTERVAL_S)
        finally:
            self.watcher.unsubscribe(update_event.set)

    def Fetch(  # noqa: N802
        self, request: dpb.FollowRequest, context: grpc.ServicerContext
    ) -> dpb.SettingsDelta:
        """Send the delta to the newest revision; empty if the caller has it."""
        self._check(request, context)
        return self.watcher.delta_for(request.after_number) or dpb.SettingsDelta()

    def _check(self, request: dpb.FollowRequest, context: grpc.ServicerContext) -> None:
        if request.cluster != self.cluster:
            context.abort(grpc.StatusCode.PERMISSION_DENIED, "another cluster")


class RelayStream:
    """Stream of deltas from a relay, reopened whenever it ends.

    Args:
        relays: Client that opens channels to relays.
        address: IP address and port of the relay.
        after_number: Returns the revision number in force at the follower.
        on_delta: Called with each delta.
    """

    def __init__(
        self,
        relays: GrpcRelays,
        address: str,
        after_number: Callable[[], int],
        on_delta: Callable[[dpb.SettingsDelta], None],
    ) -> None:
        self.relays = relays
        """Client that opens channels to relays."""
        self.address = address
        """IP address and port of the relay."""
        self.after_number = after_number
        """Returns the revision number in force at the follower."""
        self.on_delta = on_delta
        """Called with each delta."""
        self.stopped = threading.Event()
        """Set to end `thread`."""
        self.call: grpc.Call | None = None
        """Last opened stream; None before the first."""
        self.thread = threading.Thread(
            target=self._run, name=f"settings-{address}", daemon=True
        )
        """Thread that reads the stream."""

    def start(self) -> None:
        """Start the thread that opens and reads the stream."""
        self.thread.start()

    def stop(self) -> None:
        """End the stream; no delta is delivered after this method returns."""
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
                logger.warning(
                    "settings: stream from the relay at {} ended, reconnecting: {}",
                    self.address,
                    reason,
                )
            self.stopped.wait(RECONNECT_PAUSE_S)

    def _read(self) -> None:
        with self.relays.make_channel(self.address) as channel:
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
        cluster: Name of the cluster, sent in each request.
        process: Id of the calling process.
        make_channel: Opens a channel to an IP address and port, with TLS if it is
            configured.
    """

    def __init__(
        self,
        cluster: ClusterId,
        process: ProcessId,
        make_channel: Callable[[str], grpc.Channel],
    ) -> None:
        self.cluster = cluster
        """Name of the cluster; callers of another cluster are refused."""
        self.process = process
        """Id of the calling process."""
        self.make_channel = make_channel
        """Opens a channel to an IP address and port."""

    def request(self, after_number: int) -> dpb.FollowRequest:
        """Return a request of this process for the deltas after a revision number."""
        return dpb.FollowRequest(
            cluster=self.cluster, process=self.process, after_number=after_number
        )

    def fetch(
        self, address: str, after_number: int, timeout_s: float
    ) -> Result[dpb.SettingsDelta | None, StepError]:
        """Return the delta to the newest revision; None if the caller has it."""
        with self.make_channel(address) as channel:
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
    ) -> RelayStream:
        """Deliver the delta to the newest revision, and one for each later revision."""
        follow = RelayStream(self, address, after_number, on_delta)
        follow.start()
        return follow


def _reason(error: grpc.RpcError) -> str:
    # Errors of a gRPC call have a `code` method, but `RpcError` does not declare it.
    code = getattr(error, "code", None)
    return str(code()) if callable(code) else str(error)
