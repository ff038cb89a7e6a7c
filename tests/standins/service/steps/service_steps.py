"""Steps of service.feature."""

from __future__ import annotations

import urllib3
from behave import given, then, when

from tanagerturn.standins.faults import Fault, FaultPlan
from tanagerturn.standins.service.config import ServiceConfig
from tanagerturn.standins.service.ledger import Ledger, expected_response_fields
from tanagerturn.standins.service.server import start_service

PATH = "/purchases"
BODY = b'{"seats": 2}'


def start_hosts(context, count: int, faults: FaultPlan) -> None:
    ledger = Ledger()
    context.hosts = []
    context.responses = {}
    for number in range(count):
        config = ServiceConfig(id=f"s{number}", faults=faults)
        host = start_service(config, ledger)
        context.closers.append(host.stop)
        context.hosts.append(host)


@given("a service of two hosts")
def two_hosts(context):
    start_hosts(context, 2, FaultPlan())


@given('a service that injects the fault "{fault}"')
def faulty_service(context, fault):
    plan = FaultPlan(seed=1, rates={Fault(fault): 1.0}, delay_ms=50)
    start_hosts(context, 1, plan)


def send(context, host, key: str) -> None:
    try:
        response = urllib3.request(
            "POST",
            f"http://{host.address}{PATH}",
            body=BODY,
            headers={"Idempotency-Key": key},
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        context.status = 0
        return
    context.status = response.status
    context.responses[key] = response.json()


@when('the purchase "{key}" is sent to both hosts')
def send_both(context, key):
    for host in context.hosts:
        send(context, host, key)


@when('the purchase "{key}" is sent to one host')
def send_one(context, key):
    send(context, context.hosts[0], key)


def query_outcome(context, key: str) -> urllib3.BaseHTTPResponse:
    return urllib3.request("GET", f"http://{context.hosts[-1].address}/outcomes/{key}")


@when('an outcome query for "{key}" returns status 404')
def outcome_not_executed(context, key):
    assert query_outcome(context, key).status == 404


@then('"{key}" was executed {times:d} times')
def executed(context, key, times):
    assert context.hosts[0].executions[key] == times


@then('an outcome query for "{key}" returns its stored response')
def outcome_is_stored_response(context, key):
    assert query_outcome(context, key).json() == context.responses[key]


@then("each response identifies its call")
def responses_identify_calls(context):
    for key, response in context.responses.items():
        fields = expected_response_fields("POST", PATH, key, BODY)
        assert fields.items() <= response.items()


@then("the call is refused with status 409")
def call_refused(context):
    assert context.status == 409


@then("the caller gets status {status:d}")
def caller_gets_status(context, status):
    assert context.status == status


@then("plans of equal seed select equal faults, and plans of other seeds do not")
def selection_depends_on_seed(context):
    rates = {Fault.DELAY: 0.2, Fault.REFUSE: 0.3}

    def choices(seed: int) -> list[Fault | None]:
        plan = FaultPlan(seed, rates)
        return [plan.choose(f"k{number}", 0) for number in range(500)]

    first = choices(1)
    assert first == choices(1)
    assert first != choices(2)
    assert 70 <= first.count(Fault.DELAY) <= 130
    assert 110 <= first.count(Fault.REFUSE) <= 190
