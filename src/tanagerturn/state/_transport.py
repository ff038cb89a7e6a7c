"""Sends messages of the replicated log to other members, one stream each."""

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

QUEUE_LIMIT: Final = 4096
"""Messages that wait for a peer; more are dropped, the log sends them again."""

BATCH_LIMIT: Final = 64
BATCH_LIMIT_BYTES: Final = 4 * 1024 * 1024
RECONNECT_S: Final = 0.05


class Peer:
    """The stream to one member.

    Args:
        address: IP number and port.
        tls: Certificates, None for plain TCP.
    """

    def __init__(self, address: str, tls: TlsFiles | None) -> None:
        self.address = address
        """IP number and port."""
        self.sent_bytes = 0
        """Bytes of all messages sent."""
        self.dropped = 0
        """Messages dropped because too many waited."""
        self._queue: queue.Queue[pb.LogMessage | None] = queue.Queue(QUEUE_LIMIT)
        self._stopped = threading.Event()
        self._channel = open_channel(address, tls)
        self._stub = LogServiceStub(self._channel)
        self._thread = threading.Thread(
            target=self._run, name=f"peer-{address}", daemon=True
        )
        self._thread.start()

    def send(self, message: pb.LogMessage) -> None:
        """Queue a message."""
        try:
            self._queue.put_nowait(message)
        except queue.Full:
            self.dropped += 1

    def stop(self) -> None:
        """Close the stream."""
        self._stopped.set()
        self.send_end()
        self._channel.close()
        self._thread.join(timeout=1)

    def send_end(self) -> None:
        """Wake the stream up so that it ends."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            self.dropped += 1

    def _run(self) -> None:
        is_connected = True
        while not self._stopped.is_set():
            ended = threading.Event()
            try:
                self._stub.Deliver(self._batches(ended))
            except (grpc.RpcError, ValueError) as error:
                if is_connected and not self._stopped.is_set():
                    log.info("Stream to {} ended: {}.", self.address, _reason(error))
                is_connected = False
            ended.set()
            self.send_end()
            self._stopped.wait(RECONNECT_S)

    def _batches(self, ended: threading.Event) -> Iterator[pb.LogMessages]:
        while not ended.is_set() and not self._stopped.is_set():
            first = self._queue.get()
            if first is None:
                continue
            batch = pb.LogMessages(messages=[first])
            size = first.ByteSize()
            while len(batch.messages) < BATCH_LIMIT and size < BATCH_LIMIT_BYTES:
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
    """Streams to all other members.

    Args:
        tls: Certificates, None for plain TCP.
    """

    def __init__(self, tls: TlsFiles | None) -> None:
        self.tls = tls
        """Certificates."""
        self.addresses: dict[str, str] = {}
        """Address by member."""
        self.peers: dict[str, Peer] = {}
        """Streams by address."""
        self._lock = threading.Lock()

    def learn(self, members: Sequence[pb.Member]) -> None:
        """Take over the addresses of a membership."""
        with self._lock:
            for member in members:
                self.addresses[member.id] = member.address

    def send(self, messages: Sequence[pb.LogMessage]) -> None:
        """Queue messages; those to unknown members are dropped."""
        for message in messages:
            address = self.addresses.get(message.receiver)
            if address is not None:
                self._peer(address).send(message)

    def close(self) -> None:
        """Close all streams."""
        with self._lock:
            peers, self.peers = list(self.peers.values()), {}
        for peer in peers:
            peer.stop()

    def _peer(self, address: str) -> Peer:
        peer = self.peers.get(address)
        if peer is not None:
            return peer
        with self._lock:
            if address not in self.peers:
                self.peers[address] = Peer(address, self.tls)
            return self.peers[address]


def _reason(error: Exception) -> str:
    details = getattr(error, "details", None)
    return str(details() if callable(details) else error)
