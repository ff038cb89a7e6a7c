"""Steps of fuzz.feature about backend servers that answer anything."""

from __future__ import annotations

import socketserver
import threading
import time
import uuid

import urllib3
from behave import given as behave_given
from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from support.environment import long_run
from support.generated import changed
from tanagerturn.control.cloud import CloudClient
from tanagerturn.coordination.errors import StepError
from tanagerturn.deploy import wait_until
from tanagerturn.schema.serving_pb2 import Announcement, HostStart, LoadedModel
from tanagerturn.standins.announcer import Announcer

KEY = "Bearer parish-desk-example-key"
EVENT = b'data: {"choices":[{"text":"a "}],"tanager":{"offset":0,"tokens":1}}\n\n'
STREAM = EVENT + b"data: [DONE]\n\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
ANSWERS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
    STREAM_HEAD + b"Content-Length: %d\r\n\r\n" % len(STREAM) + STREAM,
    STREAM_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(STREAM)
    + STREAM
    + b"\r\n0\r\n\r\n",
)
IN_TIME_S = 15.0


class AnythingHandler(socketserver.BaseRequestHandler):
    """Reads one request's beginning, writes the planned bytes and closes."""

    def handle(self) -> None:
        """Answer one connection."""
        self.request.settimeout(5)
        try:
            if self.request.recv(65536):
                self.request.sendall(self.server.answer)
        except OSError:
            return


def start_server(context) -> tuple[socketserver.ThreadingTCPServer, str]:
    server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), AnythingHandler)
    server.daemon_threads = True
    server.answer = ANSWERS[0]
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    context.closers += [server.server_close, server.shutdown]
    ip, port = server.server_address
    return server, f"{ip}:{port}"


def start_anything(context, name: str, announcement: Announcement) -> None:
    server, address = start_server(context)
    announcement.id = name
    announcement.address = address
    announcement.availability_zone = "a"
    announcement.slots = 64
    target = (context.entry.announcements.address,)
    announcer = Announcer(target, 1000, lambda after: announcement)
    announcer.start()
    context.servers.append(server)
    context.closers.append(announcer.stop)


@behave_given("an entry host whose backend servers answer anything")
def answering_anything(context):
    context.execute_steps("Given an entry host alone")
    context.servers = []
    model = LoadedModel(model="choir-writer", version="1", ready=True)
    for number in range(3):
        plain = Announcement(services=["seats"])
        start_anything(context, f"seats-{number}", plain)
        engine = Announcement(services=["drafts"], models=[model], kv_tokens=65536)
        start_anything(context, f"engine-{number}", engine)
    wait_until(lambda: context.entry.known_backend_servers() == 6, "announcements")


def send_each(context) -> list[urllib3.BaseHTTPResponse]:
    url = f"http://{context.entry.callers.address}"
    headers = {"Authorization": KEY}
    keyed = headers | {"Idempotency-Key": uuid.uuid4().hex}
    body = {"model": "choir-writer", "prompt": "p", "max_tokens": 1}
    calls = (
        ("GET", "/services/seats/seats/1", {"headers": headers}),
        ("POST", "/services/seats/purchases", {"headers": keyed, "body": b"{}"}),
        ("POST", "/v1/completions", {"headers": headers, "json": body}),
        ("POST", "/v1/completions", {"headers": headers, "json": body | {"stream": 1}}),
    )
    return [
        urllib3.request(method, url + path, retries=False, timeout=IN_TIME_S, **options)
        for method, path, options in calls
    ]


@then("callers get answers or problems in time, no traceback and no server error")
def in_time(context):
    context.slowest_s = 0.0

    @settings(max_examples=200 if long_run() else 8)
    @given(st.sampled_from(ANSWERS).flatmap(changed))
    def check(answer):
        for server in context.servers:
            server.answer = answer
        started_s = time.monotonic()
        for response in send_each(context):
            assert b"Traceback" not in response.data, (answer, response.data)
            assert response.status != 500, (answer, response.data)
        context.slowest_s = max(context.slowest_s, time.monotonic() - started_s)

    check()
    assert context.slowest_s < IN_TIME_S


CLOUD_ANSWER = (
    b'{"notices":[{"sequence":1,"host_id":"h","availability_zone":"a",'
    b'"ends_in_ms":1e999}],"offers":[{"availability_zone":"a","host_class":"c",'
    b'"reclaimable":true,"price_per_hour":1.5}],"hosts":[{"id":"h"},7,null]}'
)


@then("the cloud client returns results or errors with their step, in time")
def any_cloud_answer(context):
    server, address = start_server(context)
    client = CloudClient(f"http://{address}")
    context.closers.append(client.close)
    calls = (
        lambda: client.notices(0),
        client.offers,
        client.hosts,
        lambda: client.start(HostStart(request_id="r")),
        lambda: client.give_back("h/../x"),
    )

    def check_answer(answer: bytes) -> None:
        server.answer = answer
        for call in calls:
            result = call()
            assert result.is_ok() or isinstance(result.error, StepError), answer

    def in_body(body: bytes) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body

    check_answer(in_body(CLOUD_ANSWER))

    @settings(max_examples=60)
    @given(changed(CLOUD_ANSWER), changed(in_body(CLOUD_ANSWER)))
    def check(body, raw):
        check_answer(in_body(body))
        check_answer(raw)

    check()
