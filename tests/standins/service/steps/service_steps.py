"""Steps of service.feature."""

from __future__ import annotations

import urllib3
from behave import given, then, when

from tanagerturn.standins.faults import Fault, FaultPlan
from tanagerturn.standins.service.config import ServiceConfig
from tanagerturn.standins.service.ledger import Ledger, expected_answer
from tanagerturn.standins.service.server import start_service

PATH = "/purchases"
BODY = b'{"seats": 2}'


def start_hosts(context, count: int, faults: FaultPlan) -> None:
    ledger = Ledger()
    context.hosts = []
    context.answers = {}
    for number in range(count):
        config = ServiceConfig(id=f"s{number}", faults=faults)
        host = start_service(config, ledger)
        context.closers.append(host.stop)
        context.hosts.append(host)


@given("a service of two hosts")
def two_hosts(context):
    start_hosts(context, 2, FaultPlan())


@given('a service with the fault "{fault}"')
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
    context.answers[key] = response.json()


@when('the purchase "{key}" is sent to both hosts')
def send_both(context, key):
    for host in context.hosts:
        send(context, host, key)


@when('the purchase "{key}" is sent to one host')
def send_one(context, key):
    send(context, context.hosts[0], key)


def ask_outcome(context, key: str) -> urllib3.BaseHTTPResponse:
    return urllib3.request("GET", f"http://{context.hosts[-1].address}/outcomes/{key}")


@when('the outcome of "{key}" is asked for')
def asked(context, key):
    assert ask_outcome(context, key).status == 404


@then('"{key}" was executed {times:d} times')
def executed(context, key, times):
    assert context.hosts[0].executions[key] == times


@then('the outcome of "{key}" is its stored answer')
def stored(context, key):
    assert ask_outcome(context, key).json() == context.answers[key]


@then("each answer names its own call")
def names_call(context):
    for key, answer in context.answers.items():
        fields = expected_answer("POST", PATH, key, BODY)
        assert fields.items() <= answer.items()


@then("the call is refused")
def refused(context):
    assert context.status == 409


@then("the caller sees status {status:d}")
def sees_status(context, status):
    assert context.status == status


@then("plans of equal seed choose equally and of other seeds differently")
def seeded(context):
    rates = {Fault.DELAY: 0.2, Fault.REFUSE: 0.3}

    def choices(seed: int) -> list[Fault | None]:
        plan = FaultPlan(seed, rates)
        return [plan.choose(f"k{number}", 0) for number in range(500)]

    first = choices(1)
    assert first == choices(1)
    assert first != choices(2)
    assert 70 <= first.count(Fault.DELAY) <= 130
    assert 110 <= first.count(Fault.REFUSE) <= 190
