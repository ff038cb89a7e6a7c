"""Steps of departures.feature."""

from __future__ import annotations

import asyncio
from itertools import count

from behave import given, then, when
from expression import Error

from support.gateway_cluster import Cluster
from tanagerturn.clocks import boot_s
from tanagerturn.coordination.errors import UnavailableError
from tanagerturn.gateway.messages import Announce, Withdraw
from tanagerturn.schema import serving_pb2

DIGESTS_S = 1.0
"""Time in seconds in which each gateway receives several digests of each peer."""

SAVED_S = 1.2
"""Time in seconds in which each host with a disk saves what it knows."""

KNOWN_TIMEOUT_S = 3.0
"""Time in seconds in which all gateways know a new backend server."""


def make_announcement(backend_id, number=1):
    return serving_pb2.Announcement(
        id=backend_id,
        address=f"127.0.0.1:{number}",
        incarnation="b1",
        sequence=1,
        services=["desk"],
        availability_zone="z1",
        slots=6,
        heartbeat_ms=60_000,
        born_ms=1,
    )


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def selecting_hosts(context, backend_id):
    """Return the hosts of the gateways that may send requests to a backend server."""
    return {
        host
        for host, gateway in context.cluster.gateways.items()
        if any(
            backend.id == backend_id
            for backend in gateway.state.fleet.candidates("desk", (), boot_s())
        )
    }


async def announce(context, host, announcement):
    control = context.cluster.gateways[host].control
    status, _ = await control.execute(Announce(announcement))
    assert status == 200, status


@given(
    "{with_disk:d} gateways with a disk and {diskless:d} without, which know the "
    'backend server "{backend_id}"'
)
def gateways_know_backend(context, with_disk, diskless, backend_id):
    context.loop = asyncio.new_event_loop()
    context.cluster = Cluster(with_disk, diskless)

    def close():
        context.loop.run_until_complete(context.cluster.close())
        context.loop.close()

    context.closers.append(close)

    async def start():
        cluster = context.cluster
        await cluster.start_all()
        known = cluster.gateways.values()
        await cluster.wait_until(
            lambda: all(len(g.mesh.present_hosts()) == len(known) - 1 for g in known)
        )
        await announce(context, "g2", make_announcement(backend_id))
        await announce(context, "g3", make_announcement("i-stays", 2))
        await cluster.wait_until(
            lambda: len(selecting_hosts(context, backend_id)) == len(known),
            KNOWN_TIMEOUT_S,
        )

    run(context, start())


@given('"{host}" does not know "{backend_id}"')
def does_not_know(context, host, backend_id):
    context.cluster.gateways[host].state.fleet.view.forget(backend_id)


@when('a late announcement of "{backend_id}" reaches "{host}"')
def late_announcement(context, backend_id, host):
    run(context, announce(context, host, make_announcement(backend_id)))


def make_older(gateway):
    """Let a gateway ignore, and not send, what older versions do not know."""
    digests = gateway.digests
    fill_digest, stamp_digest = digests.fill_digest, digests.stamp_digest

    def fill(digest, now_s):
        fill_digest(digest, now_s)
        digest.repeats_departures = False

    def stamp(digest, now_s):
        stamp_digest(digest, now_s)
        digest.ClearField("departures")

    gateway.mesh.fill_digest, gateway.mesh.stamp_digest = fill, stamp
    digests.on_departures = lambda departures, source, peer, now_s: None
    gateway.departure_spread.confirm = confirm_nothing
    gateway.mesh._repeats_departures = lambda member: False


async def confirm_nothing(start):
    """Acknowledge without confirmation, as older versions do."""
    return True


@given("{which} of them are of an older version")
def some_are_older(context, which):
    names = set(which.partition('"')[2].rstrip('"').split(", "))
    is_complement = which.startswith("all but")
    for host, gateway in context.cluster.gateways.items():
        if (host in names) != is_complement:
            make_older(gateway)
    run(context, asyncio.sleep(DIGESTS_S))


@when('"{backend_id}" withdraws at "{host}" immediately again')
def withdraws_again(context, backend_id, host):
    run(context, withdraw(context, backend_id, host))


@when('the datagrams of "{host}" arrive again for {time_s:g} s')
def datagrams_arrive(context, host, time_s):
    context.restore_datagrams()
    run(context, asyncio.sleep(time_s))


@given("a configuration is in force")
def configuration_in_force(context):
    cluster = context.cluster

    async def put():
        accepted = await cluster.put_configuration("g1", 3)
        assert accepted.is_ok(), accepted
        await cluster.wait_until(lambda: set(cluster.versions_in_force()) == {3})
        # All hosts with a disk have saved it.
        await asyncio.sleep(SAVED_S)

    run(context, put())


@given("other backend servers stay")
def others_stay(context):
    pass


@given("other backend servers come and go each {interval_s:g} s for {time_s:g} s")
def others_come_and_go(context, interval_s, time_s):
    """Let backend servers come and go, also after this step."""

    async def change():
        for number in count(3):
            others = [h for h in context.cluster.gateways if h != "g6"]
            host = others[number % len(others)]
            announcement = make_announcement(f"i-{number}", number)
            await announce(context, host, announcement)
            previous = Withdraw(f"i-{number - 1}", 1)
            await context.cluster.gateways[host].control.execute(previous)
            await asyncio.sleep(interval_s)

    task = context.loop.create_task(change())
    context.closers.append(task.cancel)
    run(context, asyncio.sleep(time_s))


def lose_datagrams(gateway):
    """Let all datagrams of a gateway be lost; return the function that ends it."""
    socket = gateway.mesh.datagram_socket
    send, socket.send = socket.send, lambda data, ip, port: None

    def restore():
        socket.send = send

    return restore


async def withdraw(context, backend_id, host, born_ms=1):
    sent_s = boot_s()
    control = context.cluster.gateways[host].control
    context.status, _ = await control.execute(Withdraw(backend_id, born_ms))
    context.answered_s = boot_s()
    context.took_s = context.answered_s - sent_s


@when('"{backend_id}" withdraws at "{host}"')
def withdraws(context, backend_id, host):
    run(context, withdraw(context, backend_id, host))


@when('"{backend_id}" withdraws at "{host}" without its start time')
def withdraws_without_start(context, backend_id, host):
    run(context, withdraw(context, backend_id, host, born_ms=0))


@when("{wait_s:g} s later {which} are killed and started again")
def killed_and_started(context, wait_s, which):
    cluster = context.cluster
    hosts = (
        list(cluster.gateways)
        if which == "all gateways"
        else which.strip('"').split(", ")
    )

    async def restart():
        await asyncio.sleep(wait_s)
        for host in hosts:
            await cluster.kill(host)
        for host in hosts:
            await cluster.start(int(host[1:]), is_first_start=False)
        await cluster.wait_until(
            lambda: all(
                gateway.state.configuration.version
                and selecting_hosts(context, "i-stays")
                for gateway in cluster.gateways.values()
            )
        )

    run(context, restart())


@when('"{backend_id}" withdraws at "{host}", whose datagrams are lost for {lost_s:g} s')
def withdraws_at_lossy(context, backend_id, host, lost_s):
    restore = lose_datagrams(context.cluster.gateways[host])

    async def lose():
        context.loop.call_later(lost_s, restore)
        await withdraw(context, backend_id, host)

    run(context, lose())


@when(
    '"{backend_id}" withdraws at "{host}", whose datagrams are lost until it is killed '
    "after its response"
)
def withdraws_at_dying(context, backend_id, host):
    lose_datagrams(context.cluster.gateways[host])

    async def die():
        await withdraw(context, backend_id, host)
        await context.cluster.kill(host)

    run(context, die())


@when('"{backend_id}" withdraws at "{host}", which reaches no peer')
def withdraws_at_cut_off(context, backend_id, host):
    gateway = context.cluster.gateways[host]
    context.restore_datagrams = lose_datagrams(gateway)

    class UnreachableLink:
        """Link whose calls find no peer."""

        async def call(self, frame, timeout_s):
            """Time out."""
            await asyncio.sleep(timeout_s)
            return Error(UnavailableError("call gateway", "", "no response"))

        def send_one_way(self, frame):
            """Lose a frame."""

        def close(self):
            """Close nothing."""

    async def lose_frame(frame, peer):
        """Leave a peer without a response, so that it learns nothing from this host."""
        await asyncio.Event().wait()

    gateway.links.link_to = lambda address: UnreachableLink()
    gateway.links.handler = lose_frame
    run(context, withdraw(context, backend_id, host))


@then("it is acknowledged within 1 s")
def acknowledged(context):
    assert context.status == 200, context.status
    assert context.took_s < 1.0, context.took_s


@then("it gets status 503 within 1 s")
def refused(context):
    assert context.status == 503, context.status
    assert context.took_s < 1.0, context.took_s


def assert_bound(context, backend_id, excluded):
    """Assert that no gateway selects a backend server when the bound has passed."""
    gateways = context.cluster.gateways
    bound_s = next(iter(gateways.values())).settings.drain_s
    run(context, asyncio.sleep(max(0.0, context.answered_s + bound_s - boot_s())))
    late = selecting_hosts(context, backend_id) - excluded
    assert not late, f"{len(late)} of {len(gateways)} gateways: {sorted(late)}"


@then('within the bound for draining no gateway selects "{backend_id}"')
def none_selects(context, backend_id):
    assert_bound(context, backend_id, set())


@then(
    'within the bound for draining no gateway but "{host}" selects "{backend_id}"',
)
def none_but_selects(context, backend_id, host):
    assert_bound(context, backend_id, {host})
