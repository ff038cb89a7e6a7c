"""Steps of gate.feature."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from behave import given, then, when

from support.processes import wait_for
from tanagerturn.entry.gate import Gate
from tanagerturn.shared.problems import ProblemError

SERVICE = "seats"
DEADLINE_MS = 20_000


def call():
    return SimpleNamespace(
        service=SimpleNamespace(name=SERVICE),
        account=SimpleNamespace(name="choir", weight=1.0),
        priority=0,
        deadline_ms=DEADLINE_MS,
    )


@given("a gate with 1 slot, a running request and 3 waiting ones")
def waiting(context):
    context.gate = Gate(16, lambda: {SERVICE: 1})
    context.running = context.gate._wait_for_admission(call(), time.monotonic())
    context.threads = ThreadPoolExecutor(3)
    context.closers.append(context.threads.shutdown)

    def ask():
        try:
            context.gate._wait_for_admission(call(), time.monotonic())
        except ProblemError as error:
            return error, time.monotonic()
        return None, time.monotonic()

    context.asked = [context.threads.submit(ask) for _ in range(3)]
    wait_for(lambda: context.gate.admission.waiting() == 3, "3 requests wait")


@when("the process drains and is about to end")
def ending(context):
    context.gate.drain()
    context.ending_s = time.monotonic()
    context.gate.refuse_waiting()


@then("the 3 waiting requests are refused within 0.5 s as not run, with a retry delay")
def refused(context):
    for asked in context.asked:
        error, at_s = asked.result(timeout=5)
        assert error is not None
        assert error.status == 503, error
        assert error.outcome == "not_run", error
        assert error.retry_after_s, error
        assert at_s - context.ending_s < 0.5


@then("the running request keeps its slot until it is released")
def still_running(context):
    state = context.gate.admission.services[SERVICE]
    assert len(state.running) == 1
    context.running.release()
    assert not state.running
