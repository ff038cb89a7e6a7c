"""Steps of notices.feature."""

from __future__ import annotations

from dataclasses import dataclass

import orjson
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from support.entry_world import EntryWorld, wait_for
from tanagerturn.actors import ask
from tanagerturn.control.cloud import MAX_RESPONSE_BYTES, CloudClient
from tanagerturn.entry.directory import Dump
from tanagerturn.standins.cloud.messages import StartRequest
from tanagerturn.standins.cloud.model import CloudConfig
from tanagerturn.standins.cloud.server import start_cloud

NOTICE_MS = 60_000.0


@given("two control processes, an entry host, a cloud and {count:d} seat services")
def start_world(context, count):
    context.cloud = start_cloud(CloudConfig())
    context.closers.append(context.cloud.stop)
    context.world = EntryWorld(
        1,
        controls=2,
        extra_control_yaml=f"  cloud_url: http://{context.cloud.address}\n",
    )
    context.closers.append(context.world.close)
    context.world.add_services(count)
    for number, service in enumerate(context.world.services):
        request = StartRequest(f"r{number}", "a", "small", True, "seats")
        context.cloud.adopt(request, service, service.config.id)


@when("the cloud API reports a reclaim that the first service does not announce")
def first_notice(context):
    name = context.world.services[0].config.id
    context.cloud.reclaim([name], NOTICE_MS, announced=False)


def known_notices(context) -> set[str]:
    directory = context.world.entries[0].directory
    return set(ask(directory, Dump())["notices"])


@then("the entry host receives the notice")
def has_notice(context):
    name = context.world.services[0].config.id
    wait_for(lambda: known_notices(context) == {name})


@then("{count:d} lookups are sent to the second service only")
def check_lookups(context, count):
    calls = [count_calls(service) for service in context.world.services]
    for _ in range(count):
        assert context.world.look_up().status == 200
    assert [len(each) for each in calls] == [0, count]


def count_calls(service) -> list[None]:
    """Return a list that gets an entry for each later call to a service."""
    calls: list[None] = []
    begin_call = service.begin_call

    def record_call() -> None:
        calls.append(None)
        begin_call()

    service.begin_call = record_call
    return calls


@when("the active control process stops and the second host is reclaimed too")
def second_notice(context):
    controls = context.world.deployment.controls
    wait_for(lambda: any(control.active() for control in controls))
    active = next(control for control in controls if control.active())
    active.stop()
    controls.remove(active)
    name = context.world.services[1].config.id
    context.cloud.reclaim([name], NOTICE_MS, announced=False)


@then("the entry host has both notices")
def has_both_notices(context):
    names = {service.config.id for service in context.world.services}
    wait_for(lambda: known_notices(context) == names)


@then("no capacity is planned by a control process without an announcement listener")
def check_no_plans(context):
    controls = context.world.deployment.controls
    assert [control.dump()["capacity"] for control in controls] == [{}]


@dataclass
class FakeResponse:
    """Response of a cloud API."""

    status: int
    data: bytes
    chunked = False

    @property
    def headers(self):
        """Return the headers, with the length of the body."""
        return {"Content-Length": str(len(self.data))}

    def read(self, amount):
        """Return up to `amount` bytes of the body."""
        return self.data[:amount]

    def close(self):
        """Close the connection."""

    def release_conn(self):
        """Release the connection."""


@given("a cloud API that sends arbitrary responses")
def arbitrary_responses(context):
    values = st.recursive(
        st.none() | st.booleans() | st.integers(-5, 2**40) | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["notices", "sequence", "host_id", "ends_in_ms"]), inner
            )
        ),
        max_leaves=12,
    )
    context.responses = st.builds(
        FakeResponse,
        st.sampled_from([200, 200, 200, 404, 500]),
        values.map(orjson.dumps) | st.binary(max_size=20),
    )


@then("each response becomes notices or an error, and no exception is raised")
def check_responses(context):
    class FakeHttp:
        """HTTP pool that returns one response to all requests."""

        def request(self, *arguments, **options):
            """Return the response."""
            return self.answer

    @settings(max_examples=200)
    @given_any(context.responses)
    def check(answer):
        client = CloudClient("http://127.0.0.1:1")
        client.http = FakeHttp()
        client.http.answer = answer
        found = client.notices(0)
        if found.is_ok():
            assert all(n.host_id and n.ends_in_ms >= 0 for n in found.ok)

    check()
    oversized = CloudClient("http://127.0.0.1:1")
    oversized.http = FakeHttp()
    oversized.http.answer = FakeResponse(200, b" " * (MAX_RESPONSE_BYTES + 5))
    assert oversized.notices(0).is_error()
