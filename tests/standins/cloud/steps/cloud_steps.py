"""Steps of cloud.feature."""

from __future__ import annotations

import time

import urllib3
from behave import given, then, when

from tanagerturn.standins.cloud.messages import (
    Host,
    HostState,
    Offer,
    Refusal,
    Shortage,
    StartRequest,
)
from tanagerturn.standins.cloud.model import CloudConfig, CloudModel
from tanagerturn.standins.cloud.server import start_cloud
from tanagerturn.standins.engine.config import EngineConfig
from tanagerturn.standins.engine.server import start_engine
from tanagerturn.standins.weights.server import (
    LoadRateLimiter,
    WeightStoreConfig,
    start_weight_store,
)

HALF_HOUR_MS = 1_800_000
OFFERS = (Offer("a", "small", True, 1.0), Offer("b", "small", True, 2.0))


def wait_for(condition, seconds: float = 10.0) -> None:
    """Wait until a condition holds."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, f"condition not met within {seconds} s"
        time.sleep(0.02)


def request(zone: str, request_id: str = "r") -> StartRequest:
    return StartRequest(request_id, zone, "small", True, "drafting")


@given("a cloud model with two zones")
def cloud_model(context):
    offers = tuple(Offer(**vars(offer)) for offer in OFFERS)
    context.cloud = CloudModel(CloudConfig(offers=offers, start_ms=0))


@when('starts in zone "{zone}" are refused from 0 to {until:d} ms')
def refuse_zone(context, zone, until):
    context.cloud.add_shortage(Shortage(zone, "", False, until))


@then('a start in zone "{zone}" at {now:d} ms is refused')
def start_refused(context, zone, now):
    assert isinstance(context.cloud.start(request(zone, f"{zone}{now}"), now), Refusal)


@then('a start requested twice in zone "{zone}" at {now:d} ms starts one host')
def one_host_started(context, zone, now):
    hosts = [context.cloud.start(request(zone, f"{zone}{now}"), now) for _ in range(2)]
    assert isinstance(hosts[0], Host)
    assert hosts[0] is hosts[1]


@when('a host runs in zone "a" for 1 h, and its price doubles after 30 min')
def run_one_hour(context):
    context.host = context.cloud.start(request("a"), 0)
    assert context.cloud.advance(0) == [context.host]
    context.cloud.set_price("a", "small", 2.0, HALF_HOUR_MS)
    context.cloud.advance(2 * HALF_HOUR_MS)


@when("the host is reclaimed with a notice of 30 min")
def reclaim_host(context):
    noticed = context.cloud.give_notice(
        [context.host.id], HALF_HOUR_MS, 2 * HALF_HOUR_MS
    )
    assert noticed == [context.host]
    assert context.cloud.advance(3 * HALF_HOUR_MS) == [context.host]
    assert context.host.state == HostState.GONE


@then("the cost is {cost:f}")
def cost_is(context, cost):
    assert abs(context.cloud.cost - cost) < 1e-9, context.cloud.cost


@then("the cost does not increase after the end of the host")
def cost_unchanged(context):
    before = context.cloud.cost
    context.cloud.advance(9 * HALF_HOUR_MS)
    assert context.cloud.cost == before


@then("of 100 loads at 20 per second, the burst and 2 per second are allowed")
def loads_limited(context):
    limiter = LoadRateLimiter(WeightStoreConfig(loads_per_s=2, burst=3), 0.0)
    waits = [limiter.charge(number * 50.0) for number in range(100)]
    assert waits.count(0.0) == 3 + int(99 * 0.05 * 2)
    assert all(wait <= 500 for wait in waits)


@given("a cloud over HTTP that starts engines on its hosts")
def cloud_server(context):
    def start_backend(host: Host):
        engine = start_engine(EngineConfig(id=host.id))
        context.closers.append(engine.kill)
        return engine

    config = CloudConfig(offers=OFFERS, start_ms=50)
    context.cloud = start_cloud(config, start_backend)
    context.closers.append(context.cloud.stop)
    context.url = f"http://{context.cloud.address}"


@when("a host is requested over HTTP")
def request_host(context):
    offers = urllib3.request("GET", f"{context.url}/offers").json()["offers"]
    offer = {k: v for k, v in offers[0].items() if k != "price_per_hour"}
    body = {**offer, "request_id": "r1", "service": "drafting"}
    hosts = [
        urllib3.request("POST", f"{context.url}/hosts", json=body).json()["id"]
        for _ in range(2)
    ]
    assert hosts[0] == hosts[1]
    context.host_id = hosts[0]


def listed_host(context) -> dict:
    hosts = urllib3.request("GET", f"{context.url}/hosts").json()["hosts"]
    return next(host for host in hosts if host["id"] == context.host_id)


@then("the host's engine responds")
def engine_responds(context):
    wait_for(lambda: listed_host(context)["address"])
    context.engine_url = f"http://{listed_host(context)['address']}/engine/state"
    assert urllib3.request("GET", context.engine_url).json()["id"] == context.host_id


@when("the cloud reclaims the host with a notice of 100 ms")
def reclaim_with_notice(context):
    context.cloud.reclaim([context.host_id], 100)


@then("the API lists the notice once and the engine stops")
def notice_listed_once(context):
    notices = urllib3.request("GET", f"{context.url}/notices?after=0").json()
    assert [notice["host_id"] for notice in notices["notices"]] == [context.host_id]
    after = notices["sequence"]
    later = urllib3.request("GET", f"{context.url}/notices?after={after}").json()
    assert later["notices"] == []
    wait_for(lambda: listed_host(context)["state"] == "gone")
    wait_for(lambda: not engine_reachable(context))


def engine_reachable(context) -> bool:
    try:
        urllib3.request("GET", context.engine_url, retries=False)
    except urllib3.exceptions.HTTPError:
        return False
    return True


@given("an engine over HTTP and a weight store that allows 1 load per 200 ms")
def engine_with_store(context):
    store = WeightStoreConfig(loads_per_s=5, burst=1)
    context.store = start_weight_store(store)
    context.closers.append(context.store.stop)
    url = f"http://{context.store.address}"
    config = EngineConfig(weight_store_url=url, load_model_ms=10)
    context.engine = start_engine(config)
    context.closers.append(context.engine.kill)


@when("two orders to load different versions of a model are sent")
def send_two_orders(context):
    for number in (1, 2):
        order = {
            "order_id": f"o{number}",
            "fencing_number": str(number),
            "action": "LOAD_MODEL",
            "model": "new",
            "version": str(number),
        }
        url = f"http://{context.engine.address}/engine/orders"
        assert urllib3.request("POST", url, json=order).status == 200


@then("both weights are fetched once and the second version is ready")
def both_weights_fetched(context):
    orders = context.engine.model.orders
    wait_for(lambda: len(orders.outcomes) == 2)
    assert context.store.loads == {"new/1": 1, "new/2": 1}
    assert orders.models["new"].ready
    assert orders.models["new"].version == "2"
