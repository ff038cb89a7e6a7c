"""Steps of programs.feature."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import orjson
import urllib3
from behave import given, then, when

from support.processes import make_cluster, wait_for
from tanagerturn.deploy import DeploymentPlan
from tanagerturn.settings import read_folder
from tanagerturn.standins.engine.config import EngineConfig
from tanagerturn.standins.engine.server import start_engine
from tanagerturn.standins.service.config import ServiceConfig
from tanagerturn.standins.service.server import start_service
from tanagerturn.standins.tokens import expected_text

EXAMPLES = Path(__file__).parents[3] / "examples"
TOKENS = 40


@given(
    '{states:d} state, {controls:d} control and {entries:d} entry processes of "{firm}"'
)
def start_programs(context, states, controls, entries, firm):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.files = EXAMPLES / firm
    plan = DeploymentPlan(
        cluster=firm,
        site="kigali",
        files=read_folder(context.files),
        data_folder=Path(folder.name),
        state_members=states,
        controls=controls,
        entries=entries,
    )
    context.cluster = make_cluster(plan)
    context.closers.append(context.cluster.close)
    context.log_paths = context.cluster.log_paths
    for program in context.cluster.programs:
        program.start()
    context.purchases = {}
    context.http = urllib3.PoolManager(retries=False)


@given("a stand-in engine and service that announce themselves")
def start_standins(context):
    announce_to = tuple(entry.announcements for entry in context.cluster.entries)
    context.engine = start_engine(
        EngineConfig(
            announce_to=announce_to, services=("drafts",), model="choir-writer"
        )
    )
    context.service = start_service(
        ServiceConfig(announce_to=announce_to, services=("seats",))
    )
    context.closers += [context.engine.kill, context.service.kill]


def run_tanager(context, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [
        sys.executable,
        "-c",
        "from tanagerturn.operator.main import main; main()",
    ]
    for address in context.cluster.addresses:
        command += ["--member", address]
    return subprocess.run(
        [*command, "--timeout", "20", "--output", "json", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@when("the operator applies the example settings")
def apply_example(context):
    result = run_tanager(
        context, "config", "apply", str(context.files), "--expected", "0"
    )
    assert result.returncode == 0, result.stderr
    assert orjson.loads(result.stdout)[0]["number"] == 1


@then("all entry processes are ready and list {count:d} backend servers")
def entries_ready(context, count):
    cluster = context.cluster
    for entry in cluster.entries:
        wait_for(lambda: cluster.ready(entry), f"readiness of {entry.name}")  # noqa: B023
    wait_for(
        lambda: all(
            len(cluster.dump(e)["directory"]["backend_servers"]) == count
            for e in cluster.entries
        ),
        "announcements of the backend servers",
    )


def send(context, method, path, account, body=b"", **headers):
    entry = next(e for e in context.cluster.entries if e.alive())
    return context.http.request(
        method,
        f"http://{entry.callers}{path}",
        body=body or None,
        headers={"Authorization": f"Bearer {account}-example-key", **headers},
        timeout=30.0,
    )


def buy(context, key: str):
    return send(
        context,
        "POST",
        "/services/seats/purchases",
        "families-app",
        b'{"seat": "%s"}' % key.encode(),
        **{"Idempotency-Key": key},
    )


@then("a lookup, a purchase and a streamed draft are answered")
def requests_answered(context):
    lookup = send(context, "GET", "/services/seats/seats/12", "families-app")
    assert lookup.status == 200, lookup.data
    key = f"order-{len(context.purchases)}"
    purchase = buy(context, key)
    assert purchase.status == 200, purchase.data
    context.purchases[key] = purchase.data
    body = {
        "model": "choir-writer",
        "prompt": key,
        "stream": True,
        "max_tokens": TOKENS,
    }
    draft = send(context, "POST", "/v1/completions", "choir-union", orjson.dumps(body))
    assert draft.status == 200, draft.data
    text = "".join(
        orjson.loads(line[6:])["choices"][0].get("text", "")
        for line in draft.data.split(b"\n")
        if line.startswith(b"data: {") and b'"choices":[{' in line
    )
    assert text == expected_text(key, TOKENS), text
    assert draft.data.rstrip().endswith(b"data: [DONE]")


@when("the state leader, the active control and the first entry process are killed")
def kill_one_of_each(context):
    cluster = context.cluster
    status = orjson.loads(run_tanager(context, "status").stdout)
    leader = next(row["leader"] for row in status if row["leader"])
    next(p for p in cluster.states if p.name == leader).kill()
    wait_for(lambda: active_control(context) is not None, "an active control")
    active_control(context).kill()
    cluster.entries[0].kill()


def active_control(context):
    for program in context.cluster.controls:
        if program.alive() and context.cluster.dump(program)["lease"]["held"]:
            return program
    return None


@then(
    "the earlier purchases, sent again, get the same responses and were executed once"
)
def purchases_repeated(context):
    for key, response in context.purchases.items():
        repeated = buy(context, key)
        assert (repeated.status, repeated.data) == (200, response), repeated.data
        assert context.service.executions[key] == 1


@then("another control process becomes active")
def other_control_active(context):
    wait_for(lambda: active_control(context) is not None, "an active control")


@when("the operator applies a settings change twice with the same change id")
def apply_change_twice(context):
    apply = ("config", "apply", str(context.files), "--expected", "1")
    first = run_tanager(context, *apply, "--change-id", "c2")
    repeated = run_tanager(context, *apply, "--change-id", "c2")
    assert first.returncode == 0, first.stderr
    assert repeated.stdout == first.stdout, repeated.stderr


@then("revision {number:d} is in force on every entry process")
def revision_in_force(context, number):
    cluster = context.cluster
    alive = [entry for entry in cluster.entries if entry.alive()]
    wait_for(
        lambda: all(cluster.dump(e)["settings_revision"] == number for e in alive),
        "the settings revision on every entry process",
    )


@then("a change that expects revision {number:d} is refused with exit code {code:d}")
def change_refused(context, number, code):
    result = run_tanager(
        context, "config", "apply", str(context.files), "--expected", str(number)
    )
    assert result.returncode == code, (result.returncode, result.stderr)
    assert "revision 2" in result.stderr.lower(), result.stderr


@then("the operator lists the services, accounts and answered requests")
def operator_lists(context):
    def names(column: str, *arguments: str) -> set[str]:
        result = run_tanager(context, *arguments)
        assert result.returncode == 0, result.stderr
        return {row[column] for row in orjson.loads(result.stdout)}

    assert names("service", "service", "list", "--site", "kigali") == {
        "drafts",
        "seats",
    }
    assert len(names("account", "account", "list", "--site", "kigali")) == 5
    keys = names("idempotency_key", "request", "list", "--state", "answered")
    assert keys >= set(context.purchases), keys
    assert not names("idempotency_key", "request", "list", "--state", "outcome_unknown")
    assert names("number", "config", "history") == {1, 2}
    assert names("leader", "member", "list") == {"", "yes"}


@then("the operator drains the second entry process, which exits with code {code:d}")
def drain_entry(context, code):
    entry = context.cluster.entries[1]
    result = run_tanager(context, "drain", entry.operations)
    assert result.returncode == 0, result.stderr
    assert entry.popen.wait(30) == code


@then("all remaining processes stop gracefully with exit code 0")
def stop_all(context):
    cluster = context.cluster
    for program in (*cluster.entries, *cluster.controls, *cluster.states):
        if program.alive():
            code = program.stop()
            log = program.path.with_suffix(".log").read_text(encoding="utf-8")
            assert code == 0, (program.name, code, log[-2000:])


@then("each program accepts its example and refuses an invalid one with exit code 2")
def settings_validated(context):
    for role in ("entry", "state", "control"):
        path = EXAMPLES / "inyenyeri" / "processes" / f"{role}-1.yaml"
        valid = validate_settings(role, path)
        assert valid.returncode == 0, valid.stderr
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as invalid_file:
            invalid_file.write(
                path.read_text(encoding="utf-8").replace("site:", "sight:")
            )
            invalid_file.flush()
            invalid = validate_settings(role, invalid_file.name)
        assert invalid.returncode == 2, invalid
        assert "sight" in invalid.stderr
        assert "Traceback" not in invalid.stderr


def validate_settings(role: str, path) -> subprocess.CompletedProcess[str]:
    code = f"from tanagerturn.{role}.main import main; main()"
    return subprocess.run(
        [sys.executable, "-c", code, "--settings", str(path), "--check"],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
