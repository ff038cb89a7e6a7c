"""A gateway gets SIGTERM while requests wait at it for a busy engine."""

from __future__ import annotations

import http.client
import os
import signal
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support.engine import Engine  # noqa: E402
from support.gateways import (  # noqa: E402
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    FRONT_PORT,
    Deployment,
    Gateway,
    Record,
    manifest,
    run_case,
    wait_for,
)

CONTACT_S = 3.0
"""`contact_ms` of the settings."""

GRACE_S = 8.0
"""`grace_s` of the settings."""

LOSS_SLACK_S = 0.2
"""`loss_slack_ms` of the settings."""

TIMEOUT_S = 15.0
"""Time budget of each client, and `timeout_ms` of the route."""

WORK_S = 2.2
"""Time in seconds that a request takes at an engine."""

SLOTS = 2
"""Number of requests that each of the two engines runs at once."""

CLIENTS = 24
"""Number of clients, each with a channel of its own and one request. The engines serve all
of them within 14 s."""


@dataclass
class Answer:
    """How one request ended for its client."""

    attempt: str
    """Id of the request."""
    status: int = 0
    """Status of the whole answer; 0 if the channel ended without one."""
    sent_s: float = 0.0
    """Time at which its last byte was sent."""
    ended_s: float = 0.0
    """Time at which the answer, or the end of the channel, was seen."""


def main() -> int:
    """Stop one gateway gracefully and judge how its requests end."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(record, count=4, disks=4)
    try:
        return play(deployment, record, trouble=trouble)
    finally:
        deployment.close()


def reports(version: int) -> dict[str, object]:
    """Return a manifest with a route whose requests take seconds."""
    document = manifest(version)
    document["routes"][0].update(
        route_type="idempotent",
        timeout_ms=int(TIMEOUT_S * 1000),
        slo_ms=3000,
        max_attempts=2,
    )
    return document


def play(deployment: Deployment, record: Record, *, trouble: bool) -> int:
    """Return whether a request that was read ends without an answer."""
    gateways = deployment.gateways
    deployment.start()
    first = reports(1)
    if not wait_for(
        lambda: gateways[0].control("PUT", "/v1/config", first)[0] == 200, 20
    ):
        record.line("the manifest was not confirmed")
        return EXIT_NOT_RUN
    engines = [
        Engine(
            f"i-{n}",
            f"{deployment.subnet}.{100 + n}",
            "desk",
            gateways,
            record,
            work_s=WORK_S,
        )
        for n in (1, 2)
    ]
    for engine in engines:
        engine.slots = SLOTS
        engine.start()
    time.sleep(CONTACT_S + 1)
    stopped = gateways[1]
    answers = [Answer(f"report-{n}") for n in range(CLIENTS)]
    threads = [
        threading.Thread(target=ask, args=(stopped, each, record)) for each in answers
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    terminated_s = time.monotonic()
    if trouble:
        stopped.signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    if trouble:
        assert stopped.process is not None
        code = stopped.process.wait(GRACE_S + 5)
        record.line(f"{stopped.name} has ended with code {code}")
    for engine in engines:
        engine.stop()
    passed_on = {attempt for engine in engines for attempt in engine.arrived}
    # Requests at an engine that was still at work are excused by the rule, and so are
    # those whose time budget was over.
    lost = [
        each.attempt
        for each in answers
        if not each.status
        and each.attempt not in passed_on
        and each.ended_s > each.sent_s + LOSS_SLACK_S
        and each.ended_s < each.sent_s + TIMEOUT_S
        and each.ended_s < terminated_s + GRACE_S + 1
    ]
    if not any(each.status == 200 for each in answers):
        record.line("no request was served")
        return EXIT_NOT_RUN
    if lost:
        record.line(
            f"BROKEN: {len(lost)} requests were read, not passed on to an engine and"
            f" never answered: {lost}"
        )
        return EXIT_BROKEN
    return EXIT_HELD


def ask(gateway: Gateway, answer: Answer, record: Record) -> None:
    """Send one request on a channel of its own and wait for its answer."""
    connection = http.client.HTTPConnection(
        gateway.ip, FRONT_PORT, timeout=TIMEOUT_S + 1
    )
    headers = {
        "Host": "site.example",
        "X-Request-Id": answer.attempt,
        "X-Deadline-Ms": str(int(TIMEOUT_S * 1000)),
    }
    try:
        connection.request("GET", "/desk/report", headers=headers)
        answer.sent_s = time.monotonic()
        response = connection.getresponse()
        response.read()
        answer.status = response.status
        outcome = f"answered {response.status}"
    except (OSError, http.client.HTTPException) as error:
        outcome = f"the channel ended: {type(error).__name__}"
    finally:
        connection.close()
    answer.ended_s = time.monotonic()
    record.line(f"{answer.attempt} at {gateway.name}: {outcome}")


if __name__ == "__main__":
    run_case(main)
