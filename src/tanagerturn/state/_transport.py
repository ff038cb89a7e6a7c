"""Sends messages of the replicated log to other state members over gRPC streams."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING, Final

import grpc

from tanagerturn.coordination.channels import open_channel
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema.coordination_pb2_grpc import LogServiceStub
from tanagerturn.state._log import log

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from tanagerturn.coordination.channels import TlsFiles

MAX_QUEUED_MESSAGES: Final = 4096
"""Largest number of messages queued for one member; further messages are dropped, and
the replicated log sends their content again."""

MAX_BATCH_MESSAGES: Final = 64
MAX_BATCH_BYTES: Final = 4 * 1024 * 1024
"""Size in bytes from which no message is added to a batch; the last message of a batch
may exceed this size."""

RECONNECT_DELAY_S: Final = 0.05
"""Wait after the end of a stream before the stream is opened again, in seconds."""


class PeerStream:
    """Stream of log messages to one other member, with its queue and thread.

    Args:
        address: IP address and port of the other member.
        tls: TLS files; None for plain TCP.
    """

    def __init__(self, address: str, tls: TlsFiles | None) -> None:
        self.address = address
        """IP address and port of the other member."""
        self.sent_bytes = 0
        """Total size of the messages passed to gRPC, in bytes."""
        self.dropped_count = 0
        """Number of messages dropped because the queue was full."""
        self._queue: queue.Queue[pb.LogMessage | None] = queue.Queue(
            MAX_QUEUED_MESSAGES
        )
        self._stopped = threading.Event()
        self._channel = open_channel(address, tls)
        self._stub = LogServiceStub(self._channel)
        self._thread = threading.Thread(
            target=self._run, name=f"peer-{address}", daemon=True
        )
        self._thread.start()

    def send(self, message: pb.LogMessage) -> None:
        """Queue a message; drop the message if the queue is full."""
        try:
            self._queue.put_nowait(message)
        except queue.Full:
            self.dropped_count += 1

    def stop(self) -> None:
        """Close the stream and wait up to 1 s until its thread ends."""
        self._stopped.set()
        self.wake()
        self._channel.close()
        self._thread.join(timeout=1)

    def wake(self) -> None:
        """Wake the thread if it waits for a message, so that the stream ends."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            self.dropped_count += 1

    def _run(self) -> None:
        is_connected = True
        while not self._stopped.is_set():
            ended = threading.Event()
            try:
                self._stub.Deliver(self._batches(ended))
            except (grpc.RpcError, ValueError) as error:
                if is_connected and not self._stopped.is_set():
                    log.info(
                        "Log stream to the member at {} failed, reconnecting: {}.",
                        self.address,
                        _error_text(error),
                    )
                is_connected = False
            ended.set()
            self.wake()
            self._stopped.wait(RECONNECT_DELAY_S)

    def _batches(self, ended: threading.Event) -> Iterator[pb.LogMessages]:
        while not ended.is_set() and not self._stopped.is_set():
            first = self._queue.get()
            if first is None:
                continue
            batch = pb.LogMessages(messages=[first])
            size = first.ByteSize()
            while len(batch.messages) < MAX_BATCH_MESSAGES and size < MAX_BATCH_BYTES:
                try:
                    message = self._queue.get_nowait()
                except queue.Empty:
                    break
                if message is None:
                    continue
                batch.messages.append(message)
                size += message.ByteSize()
            self.sent_bytes += size
            yield batch


class Transport:
    """Log streams to all other members; a stream is opened by its first message.

    Args:
        tls: TLS files; None for plain TCP.
    """

    def __init__(self, tls: TlsFiles | None) -> None:
        self.tls = tls
        """TLS files; None for plain TCP."""
        self.addresses: dict[str, str] = {}
        """IP address and port by member id."""
        self.streams: dict[str, PeerStream] = {}
        """Open streams by IP address and port."""
        self._lock = threading.Lock()

    def update_addresses(self, members: Sequence[pb.Member]) -> None:
        """Record the addresses of the given members; other known addresses stay."""
        with self._lock:
            for member in members:
                self.addresses[member.id] = member.address

    def send(self, messages: Sequence[pb.LogMessage]) -> None:
        """Queue messages; drop those to members without a known address."""
        for message in messages:
            address = self.addresses.get(message.receiver)
            if address is not None:
                self._stream_to(address).send(message)

    def close(self) -> None:
        """Close all streams."""
        with self._lock:
            streams, self.streams = list(self.streams.values()), {}
        for stream in streams:
            stream.stop()

    def _stream_to(self, address: str) -> PeerStream:
        stream = self.streams.get(address)
        if stream is not None:
            return stream
        with self._lock:
            if address not in self.streams:
                self.streams[address] = PeerStream(address, self.tls)
            return self.streams[address]


def _error_text(error: Exception) -> str:
    details = getattr(error, "details", None)
    return str(details() if callable(details) else error)
