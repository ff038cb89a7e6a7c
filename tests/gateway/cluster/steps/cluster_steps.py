"""Steps of cluster.feature; each scenario has its own event loop."""

from __future__ import annotations

import asyncio

import orjson
from behave import given, then, when

from support.gateway_cluster import Cluster
from support.gateway_world import manifest, route
from tanagerturn.coordination.errors import RefusedError
from tanagerturn.gateway.calls import call
from tanagerturn.gateway.messages import Announce, Withdraw
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import serving_pb2


@given("{with_disk:d} gateways with a disk and {diskless:d} without")
def gateways_started(context, with_disk, diskless):
    context.loop = asyncio.new_event_loop()
    context.cluster = Cluster(with_disk, diskless)

    def close():
        context.loop.run_until_complete(context.cluster.close())
        context.loop.close()

    context.closers.append(close)
    context.loop.run_until_complete(context.cluster.start_all())


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def until_in_force(context, version, timeout_s):
    cluster = context.cluster
    run(
        context,
        cluster.wait_until(
            lambda: set(cluster.versions_in_force()) == {version}, timeout_s
        ),
    )


@when('version {version:d} is accepted at "{host}"')
def version_accepted(context, version, host):
    result = run(context, context.cluster.put_configuration(host, version))
    assert result.is_ok(), result


@when('version {version:d} is sent to "{host}"')
def version_sent(context, version, host):
    context.result = run(context, context.cluster.put_configuration(host, version))


@then('version 5 is in force at all gateways within 2 s and read back at "{host}"')
def version_in_force(context, host):
    until_in_force(context, 5, 2.0)
    assert run(context, context.cluster.read_version(host)) == 5


@then("version 4 is acknowledged and version 5 stays in force")
def newer_version_stays(context):
    assert context.result.is_ok(), context.result
    assert set(context.cluster.versions_in_force()) == {5}


@when('versions 7 and 8 are sent concurrently to "{one}" and "{other}"')
def sent_concurrently(context, one, other):
    async def both():
        cluster = context.cluster
        return await asyncio.gather(
            cluster.put_configuration(one, 7), cluster.put_configuration(other, 8)
        )

    results = run(context, both())
    assert all(result.is_ok() for result in results), results


@then('version 8 is in force at all gateways within 2 s and read back at "{host}"')
def newest_in_force(context, host):
    until_in_force(context, 8, 2.0)
    assert run(context, context.cluster.read_version(host)) == 8


@when('an invalid version 9 is sent to "{host}"')
def invalid_version_sent(context, host):
    configurations = context.cluster.gateways[host].configurations
    context.result = run(context, configurations.put(b'{"version": 9, "routes": [{}]}'))


@then("version 9 is rejected and no version is in force")
def version_rejected(context):
    assert isinstance(context.result.error, RefusedError), context.result
    assert set(context.cluster.versions_in_force()) == {0}


def is_leader(gateway):
    return gateway.member.leader_address == gateway.settings.link_address


@when("20 proposals at the leader are cancelled before they are committed")
def proposals_cancelled(context):
    member = next(g.member for g in context.cluster.members() if is_leader(g))
    put = pb.Put(key="test/cancelled", value=b"x")
    command = pb.Command(transaction=pb.Transaction(puts=[put]))

    async def cancel():
        for _ in range(20):
            task = asyncio.create_task(member.propose(command))
            await asyncio.sleep(0)
            task.cancel()
        # The cancelled proposals are committed, but no task awaits their results.
        assert (await member.propose(command)).is_ok()

    run(context, cancel())


@when("version 5 is accepted at the leader, which immediately loses its disk")
def leader_lost(context):
    cluster = context.cluster

    async def lose():
        leader = next(g for g in cluster.members() if is_leader(g))
        host = leader.settings.host
        context.lost_member_id = leader.member.id
        result = await cluster.put_configuration(host, 5)
        assert result.is_ok(), result
        await cluster.kill(host, wipe=True)
        await cluster.start(int(host[1:]), is_first_start=False)

    run(context, lose())


@then('version 5 is read back at "{host}" within 8 s')
def read_back(context, host):
    cluster = context.cluster

    async def read():
        async with asyncio.timeout(8.0):
            while await cluster.read_version(host) != 5:
                await asyncio.sleep(0.1)

    run(context, read())


@then("the group has 3 voters again, without the member on the lost disk")
def voters_replaced(context):
    def is_repaired():
        for gateway in context.cluster.members():
            member = gateway.member
            if member is None or not member.is_complete:
                continue
            ids = {each.id for each in member.core.log.membership.members}
            if context.lost_member_id not in ids:
                return True
        return False

    run(context, context.cluster.wait_until(is_repaired, 8.0))


@when('"{host}" restarts')
def restarts(context, host):
    async def restart():
        await context.cluster.kill(host)
        await context.cluster.start(int(host[1:]), is_first_start=False)

    run(context, restart())


@when('"{host}" restarts and receives no datagrams from its peers')
def restarts_without_datagrams(context, host):
    cluster = context.cluster

    async def restart():
        await cluster.kill(host)
        gateway = await cluster.start(int(host[1:]), is_first_start=False)
        # Ignores the datagrams in which peers report their state.
        gateway.mesh.on_version = lambda version, ip: None
        gateway.mesh.on_digest = lambda digest, now_s: None
        gateway.mesh.on_backend_updates = lambda news, now_s: None

    run(context, restart())


@then('"g6" knows version 5 and the backend server within 0.5 s')
def knows_both(context):
    gateway = context.cluster.gateways["g6"]

    def knows():
        is_in_force = gateway.state.configuration.version == 5
        return is_in_force and "i-1" in gateway.state.fleet.view.backends

    run(context, context.cluster.wait_until(knows, 0.5))


@then('"g6" knows version 5 within 3 s')
def knows_version(context):
    until_in_force(context, 5, 3.0)


def announcement():
    return serving_pb2.Announcement(
        id="i-1",
        address="127.0.0.1:9",
        incarnation="b1",
        sequence=1,
        services=["desk"],
        availability_zone="z1",
        slots=6,
        heartbeat_ms=1200,
        born_ms=1,
    )


def selectable(context):
    found = []
    for gateway in context.cluster.gateways.values():
        fleet = gateway.state.fleet
        backend = fleet.view.backends.get("i-1")
        found.append(backend is not None and not fleet.view.is_leaving(backend))
    return found


@when('a backend server announces itself to "{host}"')
def backend_announces(context, host):
    control = context.cluster.gateways[host].control
    status, _ = run(context, control.execute(Announce(announcement())))
    assert status == 200


@then("all gateways know the backend server within 1 s")
def all_know_backend(context):
    run(context, context.cluster.wait_until(lambda: all(selectable(context)), 1.0))


@when('the backend server withdraws at "{host}"')
def backend_withdraws(context, host):
    control = context.cluster.gateways[host].control
    status, _ = run(context, control.execute(Withdraw("i-1", 1)))
    assert status == 200


@then("within 1 s no gateway selects it for requests")
def no_gateway_selects_backend(context):
    run(context, context.cluster.wait_until(lambda: not any(selectable(context)), 1.0))


@when("all gateways are killed after 2 s and 3 restart without a majority of voters")
def all_killed(context):
    async def restart():
        cluster = context.cluster
        await asyncio.sleep(2.0)
        for host in list(cluster.gateways):
            await cluster.kill(host)
        for number in (1, 5, 6):
            await cluster.start(number, is_first_start=False)

    run(context, restart())


@then("all running gateways know version 5 and the backend server within 2 s")
def all_know_both(context):
    cluster = context.cluster

    def is_known():
        return set(cluster.versions_in_force()) == {5} and all(selectable(context))

    run(context, cluster.wait_until(is_known, 2.0))


@when('it announces itself {count:d} times more to "{host}", which {what}')
def announces_more(context, count, host, what):
    control = context.cluster.gateways[host].control
    for sequence in range(2, 2 + count):
        announced = announcement()
        announced.sequence = sequence
        status, _ = run(context, control.execute(Announce(announced)))
        assert status == 200
    if what == "is killed just then":
        run(context, context.cluster.kill(host))


@when('a late announcement of it reaches "{host}"')
def late_announcement(context, host):
    announced = announcement()
    announced.sequence = 90
    control = context.cluster.gateways[host].control
    run(context, control.execute(Announce(announced)))


@then("for 1 s no gateway selects it for requests")
def not_selected(context):
    async def check():
        for _ in range(20):
            assert not any(selectable(context))
            await asyncio.sleep(0.05)

    run(context, check())


@when('it starts again under the same id and announces itself to "{host}"')
def starts_again(context, host):
    announced = announcement()
    announced.incarnation, announced.born_ms = "b2", 2
    control = context.cluster.gateways[host].control
    status, _ = run(context, control.execute(Announce(announced)))
    assert status == 200


def send_large(context, version, host):
    """Send a configuration by HTTP; return the status of the response."""
    limits = {"max_header_bytes": 2048, "max_body_bytes": 4096}
    routes = [route(f"/buy/{n}/", "non_idempotent") for n in range(350)]
    body = orjson.dumps(manifest(version=version, routes=routes, limits=limits))
    assert len(body) > 4096
    address = context.cluster.gateways[host].settings.control_address
    answered = run(context, call(address, "/v1/config", [], body, 5.0, "PUT"))
    return answered.ok.status if answered.is_ok() else 0


@when('version 5 with 350 routes and a body limit of 4096 bytes is sent to "{host}"')
def large_sent(context, host):
    context.statuses = [send_large(context, 5, host)]


@then('it is acknowledged at "g1", and again at "g1" and "g5"')
def large_acknowledged(context):
    until_in_force(context, 5, 2.0)
    context.statuses += [send_large(context, 5, host) for host in ("g1", "g5")]
    assert context.statuses == [200, 200, 200], context.statuses


@then('version 6 of that kind is acknowledged at "{host}"')
def next_large_acknowledged(context, host):
    assert send_large(context, 6, host) == 200
