"""Watch stream of a remote client that reconnects without skipping events."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any, Final

import grpc

from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.coordination.ids import GroupId, Revision
    from tanagerturn.coordination.remote import RemoteStateClient

MIN_PAUSE_S: Final = 0.05
MAX_PAUSE_S: Final = 1.0


class RemoteWatch:
    """Keeps one watch stream open in a thread, at one member after another.

    Args:
        client: Client that knows the addresses of the state members.
        group: Replication group whose keys are watched.
        prefix: Prefix of the watched keys; empty for all keys.
        after_revision: Store revision that the caller already has; 0 for none.
        on_batch: Called with each batch, by the watch's thread.
    """

    def __init__(
        self,
        client: RemoteStateClient,
        group: GroupId,
        prefix: str,
        after_revision: Revision,
        on_batch: Callable[[pb.WatchBatch], None],
    ) -> None:
        self.client = client
        """Client that knows the addresses of the state members."""
        self.group = group
        """Replication group whose keys are watched."""
        self.prefix = prefix
        """Prefix of the watched keys; empty for all keys."""
        self.revision = int(after_revision)
        """Store revision up to which batches were delivered; never decreases."""
        self.on_batch = on_batch
        """Called with each batch."""
        self.received_bytes = 0
        """Total size of the received batches in bytes."""
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._delivery = threading.RLock()
        self._call: Any = None
        self._thread = threading.Thread(
            target=self._run, name=f"watch-{group}", daemon=True
        )

    def start(self) -> None:
        """Start the thread that keeps the stream open."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the watch; no batch is delivered after this method returns."""
        self._stopped.set()
        with self._lock:
            if self._call is not None:
                self._call.cancel()
        with self._delivery:
            if self in self.client.watches:
                self.client.watches.remove(self)
        if threading.current_thread() is not self._thread:
            self._thread.join(timeout=MAX_PAUSE_S)

    def _run(self) -> None:
        attempt = 0
        pause_s = MIN_PAUSE_S
        while not self._stopped.is_set():
            addresses = self.client.addresses
            address = addresses[attempt % len(addresses)]
            attempt += 1
            if self._stream_from(address):
                pause_s = MIN_PAUSE_S
            self._stopped.wait(pause_s)
            pause_s = min(MAX_PAUSE_S, pause_s * 2)

    def _stream_from(self, address: str) -> bool:
        """Deliver batches until the stream ends; return whether any was delivered."""
        request = pb.WatchRequest(
            group=self.group, prefix=self.prefix, after_revision=self.revision
        )
        is_delivered = False
        try:
            with self._lock:
                if self._stopped.is_set():
                    return False
                self._call = self.client.stub(address).Watch(request)
            for batch in self._call:
                self._deliver(batch)
                is_delivered = True
        except (grpc.RpcError, ValueError):
            return is_delivered
        return is_delivered

    def _deliver(self, batch: pb.WatchBatch) -> None:
        with self._delivery:
            if self._stopped.is_set() or batch.revision < self.revision:
                return
            self.received_bytes += batch.ByteSize()
            self.on_batch(batch)
            self.revision = batch.revision
