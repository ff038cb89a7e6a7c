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
from tanagerturn.control.cloud import ANSWER_LIMIT_BYTES, CloudClient
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


@when("the cloud gives notice for the first service, which says nothing itself")
def first_notice(context):
    name = context.world.services[0].config.id
    context.cloud.reclaim([name], NOTICE_MS, announced=False)


def known_notices(context) -> set[str]:
    directory = context.world.entries[0].directory
    return set(ask(directory, Dump())["notices"])


@then("the entry host knows of the reclaim")
def knows(context):
    name = context.world.services[0].config.id
    wait_for(lambda: known_notices(context) == {name})


@then("{count:d} lookups go to the second service only")
def lookups(context, count):
    calls = [count_calls(service) for service in context.world.services]
    for _ in range(count):
        assert context.world.look_up().status == 200
    assert [len(each) for each in calls] == [0, count]


def count_calls(service) -> list[None]:
    """Note each call that a service gets from now on."""
    calls: list[None] = []
    enter = service.begin_call

    def note() -> None:
        calls.append(None)
        enter()

    service.begin_call = note
    return calls


@when("the active control process stops and the cloud gives a second notice")
def second_notice(context):
    controls = context.world.deployment.controls
    wait_for(lambda: any(control.active() for control in controls))
    active = next(control for control in controls if control.active())
    active.stop()
    controls.remove(active)
    name = context.world.services[1].config.id
    context.cloud.reclaim([name], NOTICE_MS, announced=False)


@then("the entry host knows of both")
def knows_both(context):
    names = {service.config.id for service in context.world.services}
    wait_for(lambda: known_notices(context) == names)


@then("no hosts are planned where control hears no announcements")
def no_plans(context):
    controls = context.world.deployment.controls
    assert [control.dump()["capacity"] for control in controls] == [{}]


@dataclass
class FakeAnswer:
    """An answer of a cloud API."""

    status: int
    data: bytes

    def read(self, amount):
        """Return the body."""
        return self.data[:amount]

    def close(self):
        """Close the connection."""

    def release_conn(self):
        """Give the connection back."""


@given("a cloud API that answers anything")
def any_answers(context):
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
    context.answers = st.builds(
        FakeAnswer,
        st.sampled_from([200, 200, 200, 404, 500]),
        values.map(orjson.dumps) | st.binary(max_size=20),
    )


@then("each answer gives notices or an error, and no other failure")
def survives(context):
    class FakeHttp:
        """Gives one answer."""

        def request(self, *arguments, **options):
            """Return the answer."""
            return self.answer

    @settings(max_examples=200)
    @given_any(context.answers)
    def check(answer):
        client = CloudClient("http://127.0.0.1:1")
        client.http = FakeHttp()
        client.http.answer = answer
        found = client.notices(0)
        if found.is_ok():
            assert all(n.host_id and n.ends_in_ms >= 0 for n in found.ok)

    check()
    endless = CloudClient("http://127.0.0.1:1")
    endless.http = FakeHttp()
    endless.http.answer = FakeAnswer(200, b" " * (ANSWER_LIMIT_BYTES + 5))
    assert endless.notices(0).is_error()
