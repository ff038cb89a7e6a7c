"""HTTP interface of a stand-in engine; see docs/PROTOCOLS.md."""

from __future__ import annotations

import select
import socket
from queue import Empty
from typing import TYPE_CHECKING, Any, Final

import orjson
import urllib3
from google.protobuf import json_format

from tanagerturn.schema.serving_pb2 import Order, Priority
from tanagerturn.serving.cache.prompts import prompt_text
from tanagerturn.standins._http import ConnectionAborted, StandinHandler
from tanagerturn.standins.engine._events import EventEncoder, merge_chunks
from tanagerturn.standins.engine.messages import FinishReason, Generation, KvCache
from tanagerturn.standins.faults import Fault

if TYPE_CHECKING:
    from queue import SimpleQueue

    from tanagerturn.standins.engine.messages import Chunk
    from tanagerturn.standins.engine.server import EngineServer

DEFAULT_MAX_TOKENS: Final = 16
"""Tokens to generate if the request body sets no limit."""
POLL_INTERVAL_S: Final = 0.25
"""Time between two checks whether the caller closed the connection, in seconds."""
TOKENS_BEFORE_FAULT: Final = 3
"""Tokens sent before a fault in the middle of a streamed response."""
KV_FETCH_TIMEOUT_S: Final = 10.0
"""Timeout for fetching a KV cache from another engine, in seconds."""
PRIORITIES: Final = {
    "urgent": Priority.URGENT,
    "normal": Priority.NORMAL,
    "low": Priority.LOW,
}
COMPLETION_PATHS: Final = {"/v1/completions": False, "/v1/chat/completions": True}
"""Paths of completions, and whether they are chat completions."""


class EngineHandler(StandinHandler):
    """Handles the requests of one connection to the engine."""

    engine: EngineServer
    """The engine; set by the subclass that its server makes."""

    def dispatch(self) -> None:
        """Handle one request; methods other than POST are handled as GET."""
        if self.command == "POST":
            self._post()
        else:
            self._get()

    def _get(self) -> None:
        """Send the engine's state, its counts or an exported KV cache."""
        if self.path == "/engine/state":
            announcement = self.engine.build_announcement(0)
            text = json_format.MessageToJson(
                announcement, preserving_proto_field_name=True, indent=None
            )
            self.respond(200, text.encode())
        elif self.path == "/standin/counts":
            self.respond_json(200, self.engine.count_values())
        elif self.path.startswith("/engine/kv/"):
            self._send_kv(self.path.removeprefix("/engine/kv/"))
        else:
            self.respond_problem(404, "no such path")

    def _post(self) -> None:
        """Run a completion or execute a command."""
        try:
            body = self.read_json()
            if self.path in COMPLETION_PATHS:
                self._generate(body, COMPLETION_PATHS[self.path])
            elif self.path == "/engine/cancel":
                self.engine.cancel(str(body.get("request_id")))
                self.respond_json(200, {})
            elif self.path == "/engine/kv/export":
                self._export_kv(str(body.get("request_id")))
            elif self.path == "/engine/kv/import":
                self._import_kv(body)
            elif self.path == "/engine/orders":
                self._execute_order(body)
            else:
                self.respond_problem(404, "no such path")
        except (ValueError, json_format.ParseError) as error:
            self.respond_problem(400, str(error))

    def _decode_generation(self, body: dict[str, Any]) -> Generation:
        deadline_at_ms = float("inf")
        remaining_ms = self.headers.get("X-Deadline-Ms")
        if remaining_ms:
            deadline_at_ms = self.engine.now_ms() + float(remaining_ms)
        request_id = self.headers.get("X-Request-Id") or f"anonymous-{id(body)}"
        max_tokens = body.get("max_tokens") or body.get("max_completion_tokens")
        return Generation(
            request_id=request_id,
            prompt=prompt_text(body),
            max_tokens=int(max_tokens or DEFAULT_MAX_TOKENS),
            attempt=int(self.headers.get("X-Attempt") or 1),
            priority=PRIORITIES.get(
                self.headers.get("X-Priority", "normal").lower(), Priority.NORMAL
            ),
            resume_from=int(self.headers.get("X-Resume-From") or 0),
            cache_seed=self.engine.model.orders.cache_seed(
                str(body.get("model") or "")
            ),
            kv_handle=self.headers.get("X-Kv-Handle", ""),
            deadline_at_ms=deadline_at_ms,
        )

    def _generate(self, body: dict[str, Any], chat: bool) -> None:
        generation = self._decode_generation(body)
        fault = self.engine.faults.next_fault(generation.request_id)
        if fault == Fault.DIE_BEFORE_FIRST_BYTE:
            self.abort()
        if not self.engine.model.orders.is_ready(str(body.get("model") or "")):
            self.respond_problem(503, "model is not loaded", {"Retry-After": "1"})
            return
        if fault == Fault.DELAY:
            self.engine.stopped.wait(self.engine.faults.plan.delay_ms / 1000)
        chunks = None if fault == Fault.REFUSE else self.engine.submit(generation)
        if chunks is None:
            headers = self.engine.load_headers() | {"Retry-After": "1"}
            self.respond_problem(503, "engine takes no more requests", headers)
            return
        encoder = EventEncoder(generation, chat, fault == Fault.WRONG_REQUEST_ID)
        try:
            if body.get("stream"):
                self._respond_stream(encoder, chunks, fault)
            else:
                self._respond_whole(encoder, chunks)
        except (OSError, ConnectionAborted):
            self.engine.cancel(generation.request_id)
            raise

    def _respond_stream(
        self, encoder: EventEncoder, chunks: SimpleQueue[Chunk], fault: Fault | None
    ) -> None:
        received = self._next_chunks(chunks)
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Cache-Control", "no-cache")
        self.send_header("Transfer-Encoding", "chunked")
        for name, value in self.engine.load_headers().items():
            self.send_header(name, value)
        self.end_headers()
        delivered = 0
        while True:
            merged = merge_chunks(received)
            delivered += sum(chunk.tokens for chunk in merged)
            events = b"".join(encoder.encode_event(chunk) for chunk in merged)
            if merged[-1].finish is not None:
                self._write_chunk(events + b"data: [DONE]\n\n")
                self._write_chunk(b"")
                return
            self._write_chunk(events)
            if delivered >= TOKENS_BEFORE_FAULT:
                self._inject_mid_stream(fault)
            received = self._next_chunks(chunks)

    def _write_chunk(self, data: bytes) -> None:
        """Write one chunk of the chunked transfer encoding; empty data ends the body.

        Args:
            data: Content of the chunk.
        """
        self.wfile.write(b"%x\r\n" % len(data) + data + b"\r\n")
        self.wfile.flush()

    def _inject_mid_stream(self, fault: Fault | None) -> None:
        if fault == Fault.DIE_MID_ANSWER:
            self.abort()
        if fault == Fault.STALL:
            while not self._connection_ended():
                self.engine.stopped.wait(POLL_INTERVAL_S)
            self.abort()

    def _respond_whole(self, encoder: EventEncoder, chunks: SimpleQueue[Chunk]) -> None:
        received: list[Chunk] = []
        while not received or received[-1].finish is None:
            received += self._next_chunks(chunks)
        if received[-1].finish == FinishReason.DEADLINE:
            self.respond_problem(504, "deadline passed")
            return
        body = encoder.encode_response(received)
        self.respond(200, body, headers=self.engine.load_headers())

    def _next_chunks(self, chunks: SimpleQueue[Chunk]) -> list[Chunk]:
        """Wait for a chunk and return it with all others that are queued.

        Args:
            chunks: Queue of the request's chunks.

        Raises:
            ConnectionAborted: The engine stopped or the caller closed the connection.
        """
        received: list[Chunk] = []
        while not received:
            try:
                received.append(chunks.get(timeout=POLL_INTERVAL_S))
            except Empty:
                if self.engine.stopped.is_set() or self._connection_ended():
                    self.abort()
        while not chunks.empty():
            received.append(chunks.get())
        return received

    def _connection_ended(self) -> bool:
        """Return whether the engine stopped or the caller closed the connection."""
        if self.engine.stopped.is_set():
            return True
        readable, _, _ = select.select([self.connection], [], [], 0)
        if not readable:
            return False
        peeked: bytes = self.connection.recv(1, socket.MSG_PEEK)
        return not peeked

    def _export_kv(self, request_id: str) -> None:
        exported = self.engine.export_kv(request_id)
        if exported is None:
            self.respond_problem(404, "request is not running")
            return
        size = exported.tokens * self.engine.config.kv_bytes_per_token
        fields = {"handle": exported.handle, "tokens": exported.tokens, "bytes": size}
        self.respond_json(200, fields)

    def _send_kv(self, handle: str) -> None:
        cache = self.engine.model.exported.get(handle)
        if cache is None:
            self.respond_problem(404, "no such KV cache")
            return
        header = {
            "request_id": cache.request_id,
            "prompt_digest": cache.prompt_digest,
            "tokens": cache.tokens,
        }
        padding = bytes(cache.tokens * self.engine.config.kv_bytes_per_token)
        body = orjson.dumps(header) + b"\n" + padding
        self.respond(200, body, "application/octet-stream")

    def _import_kv(self, body: dict[str, Any]) -> None:
        url = f"http://{body['source']}/engine/kv/{body['handle']}"
        try:
            response = urllib3.request(
                "GET", url, retries=False, timeout=KV_FETCH_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError as error:
            self.respond_problem(502, f"source did not answer: {error}")
            return
        if response.status != 200:
            self.respond_problem(404, "source has no such KV cache")
            return
        header = orjson.loads(response.data.split(b"\n", 1)[0])
        imported = self.engine.import_kv(KvCache(handle=body["handle"], **header))
        if imported is None:
            self.respond_problem(507, "no room for the KV cache")
            return
        self.respond_json(200, {"handle": imported.handle})

    def _execute_order(self, body: dict[str, Any]) -> None:
        order = json_format.ParseDict(body, Order())
        if self.engine.execute_order(order):
            self.respond_json(200, {"order_id": order.order_id})
        else:
            self.respond_problem(409, "stale fencing number")
