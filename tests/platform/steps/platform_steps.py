"""Steps of platform.feature."""

from __future__ import annotations

import copy
import inspect
import json
import re
from dataclasses import asdict
from pathlib import Path

import orjson
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from support.gateway_world import HOST, manifest
from tanagerturn.coordination.errors import RefusedError
from tanagerturn.gateway.configuration import RequestKind
from tanagerturn.gateway.fleet import Fleet
from tanagerturn.gateway.messages import (
    Announce,
    GetRollout,
    MalformedCall,
    StartRollout,
    UnknownRunError,
    Withdraw,
)
from tanagerturn.platform import control_calls, manifests, requests
from tanagerturn.platform.settings import decode_settings, parse_fields

SETTINGS = """
node_name=edge-a-1
zone=a
region=r
ip=10.1.0.14
listen.front=10.1.0.14:8221
listen.ready=10.1.0.14:8224
listen.control=10.1.0.14:8229
internal_ports=7600,7615
seeds=10.1.0.14:8229,10.2.0.4:8229
bootstrap=true
data_dir=/data/my-edge
limits.disk_mb=64
limits.memory_mb=300
fault_tolerance.machines=2
heartbeat_ms=1200
bounds.drain_ms=2500
bounds.retry_allowance=58
cloud.address=10.200.0.35:8225
cloud.duties=usage_report,autoscale
not_explained=anything
"""

ANNOUNCEMENT = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "warmup_left_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1_700_000_000_000,
}


@given("the platform's settings file of a machine with a disk")
def settings_with_disk(context):
    context.settings = decode_settings(parse_fields(SETTINGS), "file")


@then("host, zone, listeners, seeds and bounds have the values of the file")
def settings_decoded(context):
    settings = context.settings
    assert (settings.host, settings.zone, settings.ip) == ("edge-a-1", "a", "10.1.0.14")
    assert settings.callers_address == "10.1.0.14:8221"
    assert settings.readiness_address == "10.1.0.14:8224"
    assert settings.control_address == "10.1.0.14:8229"
    assert settings.link_port == 7600
    assert settings.seed_ips == ("10.1.0.14", "10.2.0.4")
    assert settings.is_first_start
    assert settings.state_members == 5
    assert settings.drain_s == 2.5
    assert settings.retry_allowance == 58
    assert str(settings.data_folder) == "/data/my-edge"
    assert settings.duties is not None
    assert settings.duties.reports_usage
    assert settings.duties.orders_backends


@then("a machine without disk_mb has no data folder")
def no_data_folder(context):
    text = SETTINGS.replace("limits.disk_mb=64", "limits.disk_mb=0")
    assert decode_settings(parse_fields(text), "file").data_folder is None


@given('the platform\'s settings file without "{field}"')
def settings_without(context, field):
    fields = parse_fields(SETTINGS)
    del fields[field]
    try:
        decode_settings(fields, "file")
    except RefusedError as error:
        context.refusal = error
    else:
        raise AssertionError(f"settings without {field!r} were accepted")


@then('the settings are refused with an error that names "{field}"')
def error_names_field(context, field):
    assert field in context.refusal.reason, context.refusal


@given('the platform\'s settings file with "{field}" as "{value}"')
@given('the platform\'s settings file with "{field}" as ""')
def settings_with_limit(context, field, value=""):
    context.settings, context.refusal = None, None
    try:
        fields = {**parse_fields(SETTINGS), field: value}
        context.settings = decode_settings(fields, "file")
    except RefusedError as error:
        context.refusal = error


@then('the gateway has {decoded}, or the error names "{field}"')
def has_limit(context, decoded, field):
    if decoded == "nothing":
        assert field.partition(".")[2] in context.refusal.reason, context.refusal
        return
    settings = context.settings
    found = (f"{settings.memory_bytes} bytes", f"{settings.max_fds} descriptors")
    assert decoded in found, found


@given("a valid manifest")
def valid_manifest(context):
    context.manifest = manifest()


@then("routes, client accounts and limits have the values of the manifest")
def manifest_decoded(context):
    decoded = manifests.decode_manifest(orjson.dumps(context.manifest))
    assert decoded.is_ok(), decoded
    configuration = context.configuration = decoded.ok
    assert configuration.version == 3
    buy, look, draft, notes = configuration.routes
    assert buy.kind is RequestKind.NOT_REPEATABLE
    assert look.kind is RequestKind.IDEMPOTENT
    assert (draft.kind, draft.is_resumable) == (RequestKind.STREAM, False)
    assert notes.is_resumable
    assert (buy.timeout_s, buy.latency_objective_s) == (1.5, 0.1)
    assert notes.max_backends == 2
    account = configuration.account_for("key-1")
    assert account is not None
    assert (account.counts_tokens, account.rate_per_s) == (True, 1000)
    assert configuration.limits.header_bytes == 2048
    assert configuration.limits.idle_timeout_s == 1.0


@then("a path is routed by the longest matching prefix")
def longest_prefix(context):
    document = copy.deepcopy(context.manifest)
    longer = {**document["routes"][0], "name": "longer", "path_prefix": "/buy/now/"}
    document["routes"].append(longer)
    configuration = manifests.decode_manifest(orjson.dumps(document)).ok
    assert configuration.route_for(HOST, "/buy/now/1").name == "longer"
    assert configuration.route_for(HOST, "/buy/nowhere").name == "buy"
    assert configuration.route_for("other.example", "/buy/1") is None


MANIFEST_FAULTS = {
    "a route names an unknown service": lambda m: m["routes"][0].update(service="no"),
    "two routes have the same host and prefix": lambda m: m["routes"].append(
        m["routes"][0]
    ),
    "the weights of a route add up to 0": lambda m: m["routes"][0].update(
        backends=[{"service": "desk", "weight": 0}]
    ),
    "a timeout is 0": lambda m: m["routes"][0].update(timeout_ms=0),
    "two tenants have the same key": lambda m: m["tenants"].append(
        {**m["tenants"][0], "name": "other"}
    ),
    "the version is not a number": lambda m: m.update(version="7"),
    "a route type is unknown": lambda m: m["routes"][0].update(route_type="odd"),
    "the document is truncated": lambda m: None,
}


@given("a valid manifest changed so that {fault}")
def changed_manifest(context, fault):
    document = manifest()
    MANIFEST_FAULTS[fault](document)
    context.document = orjson.dumps(document)
    if "truncated" in fault:
        context.document = context.document[:-40]


@then("the manifest is refused")
def manifest_refused(context):
    decoded = manifests.decode_manifest(context.document)
    assert decoded.is_error()
    assert isinstance(decoded.error, RefusedError)


@then("arbitrary manifests, announcements and headers are decoded or refused")
def arbitrary_bytes(context):
    json = st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from([*ANNOUNCEMENT, *manifest(), "timeout_ms", "host"]),
                inner,
            )
        ),
        max_leaves=12,
    )

    @for_all(st.binary(max_size=40), json)
    def check(data, value):
        for body in (data, orjson.dumps(value)):
            manifests.decode_manifest(body)
            call = control_calls.decode_control(
                "PUT", "/v1/instances/i-1", body, 1000, 2000
            )
            assert isinstance(call, Announce | MalformedCall)
            withdrawal = control_calls.decode_control(
                "DELETE", "/v1/instances/i", body, 1000, 2000
            )
            assert isinstance(withdrawal, Withdraw)
        names = (b"X-Token-Usage", b"X-Prefix-Hash", b"Last-Event-Id", b"X-Deadline-Ms")
        for name in names:
            requests.decode_request("GET", "/", [(name, data)])
        names = (b"X-Instance-Load", b"Keep-Alive", b"Server-Limit")
        requests.decode_reply(200, [(name, data) for name in names])

    check()


@given("a request with all headers of the platform")
def full_request(context):
    headers = [
        (b"Host", b"Desk.Example:80"),
        (b"X-Request-Id", b"9c41"),
        (b"Last-Event-Id", b"12"),
        (b"Resumes", b"8b30"),
        (b"X-Model", b"m"),
        (b"X-Token-Usage", b"1460,80"),
        (b"X-Prefix-Hash", b"5c1e07a2:800,91bd3f06:410"),
        (b"X-Length-Hint", b"33"),
        (b"X-Deadline-Ms", b"12000"),
        (b"Authorization", b"Bearer abc"),
        (b"X-Tenant", b"forged"),
        (b"Kv-From", b"10.0.0.1:1/h"),
        (b"Connection", b"keep-alive, X-Odd"),
        (b"X-Odd", b"1"),
        (b"X-Kept", b"1"),
    ]
    decoded = requests.decode_request("POST", "/draft/2f?a=b", headers)
    assert decoded.is_ok(), decoded
    context.request = decoded.ok


@then("prompt, timeout, key and last event id have the values of the headers")
def request_decoded(context):
    request = context.request
    assert (request.host, request.path) == ("desk.example", "/draft/2f")
    assert request.target == "/draft/2f?a=b"
    assert (request.attempt_id, request.key) == ("9c41", "abc")
    assert (request.caller_timeout_s, request.last_event_id) == (12.0, 12)
    assert request.resumed_attempt_id == "8b30"
    prompt = request.prompt
    assert (prompt.prompt_tokens, prompt.max_output_tokens) == (1460, 80)
    assert [part.tokens for part in prompt.parts] == [800, 410]
    assert prompt.expected_output_tokens == 33


@then("headers that only the system may set are not forwarded")
def reserved_headers_dropped(context):
    names = {name.lower() for name, _ in context.request.forwarded_headers}
    assert names == {
        b"host",
        b"x-request-id",
        b"x-model",
        b"x-token-usage",
        b"x-prefix-hash",
        b"x-length-hint",
        b"x-kept",
        b"resumes",
    }, names


@given('an announcement with "{field}" set to {value}')
def invalid_announcement(context, field, value):
    body = orjson.dumps({**ANNOUNCEMENT, field: orjson.loads(value)})
    context.call = control_calls.decode_control(
        "PUT", "/v1/instances/i-1", body, 1000, 2000
    )


@then("the call is malformed")
def malformed(context):
    assert isinstance(context.call, MalformedCall), context.call
    assert context.call.status == 400


@then('the software version is "{version}"')
def software_version_is(context, version):
    assert context.call.announcement.software_version == version, context.call


def announce(fleet, backend_id, **fields):
    body = orjson.dumps({**ANNOUNCEMENT, **fields})
    target = f"/v1/instances/{backend_id}"
    call = control_calls.decode_control("PUT", target, body, 1000, 2000)
    assert isinstance(call, Announce), call
    fleet.on_announcement(call.announcement, 10.0, heard=True)


@given("an engine that restarted under the same id")
def restarted_engine(context):
    context.fleet = Fleet()
    announce(context.fleet, "i-1", born=1000, sequence=90, address="10.0.0.1:80")
    announce(context.fleet, "i-1", born=2000, sequence=1, address="10.0.0.2:80")


@when("delayed announcements of the earlier start arrive")
def delayed_announcements(context):
    announce(context.fleet, "i-1", born=1000, sequence=91, address="10.0.0.1:80")
    announce(context.fleet, "i-1", born=1000, sequence=92, state="draining")


@when("an engine that started earlier announces the same address")
def announce_same_address(context):
    announce(context.fleet, "i-0", born=500, sequence=7, address="10.0.0.2:80")


@then("the fleet holds only the later start, at its address")
def later_start_kept(context):
    backend = context.fleet.view.backends["i-1"]
    assert backend.address == "10.0.0.2:80", backend
    assert not backend.leaving
    assert set(context.fleet.view.backends) == {"i-1"}


@given('a response with the header "Server-Limit: {value}"')
def response_with_limit(context, value):
    context.reply = requests.decode_reply(200, [(b"server-limit", value.encode())])


@given('a response with the header "Server-Limit: "')
def response_with_empty_limit(context):
    context.reply = requests.decode_reply(200, [(b"server-limit", b"")])


@then("its request limit is none")
def no_limit(context):
    assert context.reply.limit_per_s is None, context.reply


@then("its request limit is {limit:g}")
def request_limit(context, limit):
    assert context.reply.limit_per_s == limit, context.reply


HEADERS_PAGE = Path(__file__).parents[3] / "docs/reference/response-headers.md"


def documented_headers():
    """Return name, example value and decoded field of each header on the page."""
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in HEADERS_PAGE.read_text(encoding="utf-8").splitlines()
        if line.startswith("| ")
    ]
    return [(name, value, field) for name, value, field, _ in rows[2:]]


@then("each header of docs/reference/response-headers.md changes the field it states")
def headers_change_fields(context):
    without = asdict(requests.decode_reply(503, []))
    documented = documented_headers()
    assert len(documented) >= 15, documented
    for name, value, field in documented:
        reply = asdict(requests.decode_reply(503, [(name.encode(), value.encode())]))
        changed = {key for key in reply if reply[key] != without[key]}
        assert changed == ({field} - {"-"}), (name, changed)


@then("the decoder of responses reads no other header")
def no_other_header(context):
    source = inspect.getsource(requests.decode_reply)
    read = set(re.findall(r'b"([a-z-]+)"', source))
    decoded = {n.lower() for n, _, field in documented_headers() if field != "-"}
    assert read == decoded, read ^ decoded


@given("an engine that announces itself")
def engine_announced(context):
    context.fleet = Fleet()
    announce(context.fleet, "i-1", born=1000, sequence=4, address="10.0.0.1:80")


@when('another writer announces it with "{field}" set to {value}')
def odd_entry(context, field, value):
    fields = {**ANNOUNCEMENT, "born": 1000, "sequence": 5}
    text = json.dumps({**fields, field: None}).replace(
        f'"{field}": null', f'"{field}": {value}'
    )
    target = "/v1/instances/i-1"
    call = control_calls.decode_control("PUT", target, text.encode(), 1000, 2000)
    if isinstance(call, Announce):
        context.fleet.on_announcement(call.announcement, 10.0, heard=True)


@when("the engine announces itself again with another address")
def engine_announces_again(context):
    announce(context.fleet, "i-1", born=1000, sequence=6, address="10.0.0.2:80")


@then("the fleet holds the engine at its new address")
def engine_followed(context):
    backends = context.fleet.view.backends
    assert set(backends) == {"i-1"}, backends
    assert backends["i-1"].address == "10.0.0.2:80", backends["i-1"].address


@when('another writer announces it without "{field}"')
def entry_without_field(context, field):
    fields = {**ANNOUNCEMENT, "born": 1000, "sequence": 5}
    del fields[field]
    target = "/v1/instances/i-1"
    body = orjson.dumps(fields)
    context.call = control_calls.decode_control("PUT", target, body, 1000, 2000)


@then('the entry is refused, and the log line names "{field}"')
def entry_refused(context, field):
    assert isinstance(context.call, MalformedCall), context.call
    assert context.call.status == 400
    assert repr(field) in context.call.reason, context.call.reason


@when("the engine announces that it leaves")
def engine_leaves(context):
    announce(context.fleet, "i-1", born=1000, sequence=6, state="draining")


@then("the fleet holds the engine as leaving")
def engine_is_leaving(context):
    assert context.fleet.view.backends["i-1"].leaving


FOREIGN_FIELDS = st.fixed_dictionaries(
    {},
    optional={
        **{
            name: st.one_of(
                st.just(value), st.none(), st.integers(), st.text(), st.booleans()
            )
            for name, value in ANNOUNCEMENT.items()
            # A whole entry with a later start time is another start of the engine.
            if name not in ("born", "sequence")
        },
        "born": st.one_of(st.none(), st.text(), st.integers(-9, 1000), st.floats()),
        "sequence": st.one_of(st.none(), st.text(), st.integers(-9, 2**64)),
        "foreign": st.integers(),
    },
)


@then(
    "with any fields missing, retyped or foreign, an engine can still state its"
    " departure"
)
def departure_never_hidden(context):
    @for_all(FOREIGN_FIELDS)
    def check(fields):
        fleet = Fleet()
        announce(fleet, "i-1", born=1000, sequence=4)
        target = "/v1/instances/i-1"
        body = json.dumps(fields).encode()
        call = control_calls.decode_control("PUT", target, body, 1000, 2000)
        if isinstance(call, Announce):
            fleet.on_announcement(call.announcement, 10.0, heard=True)
        announce(fleet, "i-1", born=1000, sequence=5, state="draining")
        assert fleet.view.backends["i-1"].leaving

    check()


def load_of(report):
    headers = [(b"X-Instance-Load", report.encode("latin-1"))]
    return requests.decode_reply(200, headers).load


@then(
    'the load report "{report}" has the figures "{figures}", time "{percent}" and '
    "{unknown:d} unknown fields"
)
@then(
    'the load report "{report}" has the figures "{figures}", time "" and '
    "{unknown:d} unknown fields"
)
def load_report_read(context, report, figures, unknown, percent=None):
    load = load_of(report)
    assert load is not None
    assert f"{load.running},{load.waiting},{load.slots}" == figures, load
    assert load.time_percent == (int(percent) if percent else None), load
    assert load.unknown_fields == unknown, load


@then('the load report "" is dropped')
@then('the load report "{report}" is dropped')
def load_report_dropped(context, report=""):
    assert load_of(report) is None, load_of(report)


@then("a load report with a figure of {count:d} digits is dropped")
def long_load_report_dropped(context, count):
    assert load_of("1,0," + "9" * count) is None


ORDER = {"service": "desk", "target": "v2", "duration_s": 12}


@when('a settings file has the contracts "{contracts}"')
def settings_with_contracts(context, contracts):
    line = "" if contracts == "none" else f"contracts={contracts}\n"
    text = f"{SETTINGS}{line}bounds.exposure_share=0.2\n"
    context.settings = decode_settings(parse_fields(text), "file")


@then("its gateways {support} rollouts, and a call for one is decoded accordingly")
def rollouts_supported(context, support):
    bound = context.settings.rollouts
    call = control_calls.decode_control(
        "POST",
        "/v1/rollouts",
        orjson.dumps(ORDER),
        1000,
        2000,
        has_rollouts=bound is not None,
    )
    read = control_calls.decode_control(
        "GET", "/v1/rollouts/a%2Fb", b"", 1000, 2000, has_rollouts=bound is not None
    )
    if support == "support":
        assert (bound.share, bound.allowance, bound.rollback_ms) == (0.2, 50, 5000)
        assert call == StartRollout("desk", "v2", 12_000)
        assert read == GetRollout("a/b")
    else:
        assert bound is None
        assert (call.status, read.status) == (404, 404)


@when("an order for a rollout with {field} set to {value} is decoded")
def rollout_decoded(context, field, value):
    fields = {key: orjson.dumps(each).decode() for key, each in ORDER.items()}
    fields[field] = value
    body = ",".join(f'"{key}":{each}' for key, each in fields.items())
    context.call = control_calls.decode_control(
        "POST", "/v1/rollouts", f"{{{body}}}".encode(), 1000, 2000, has_rollouts=True
    )


@then("the order is {status}")
def call_decoded(context, status):
    if status == "decoded":
        assert isinstance(context.call, StartRollout), context.call
        assert context.call.duration_ms > 0
    else:
        assert context.call.status == int(status), context.call


def decode_runs(runs):
    """Return the decoded list of a report whose other fields are valid."""
    body = orjson.dumps({"leaves_ms": 900, "runs": runs})
    report = requests.decode_report(200, body, "10.128.0.9:8080")
    assert report.ok.leaving_in_ms == 900, report
    return report.ok.runs


@then("reports with valid lists of running requests state the events of each")
def running_requests_read(context):
    assert decode_runs([]) == {}
    runs = [["r1", 1460, 12, 5], ["r2", 80, 0, 0, "new field"], ["r3", None, 1]]
    assert decode_runs(runs) == {"r1": 12, "r2": 0, "r3": 1}


@then("reports with invalid lists of running requests are read without them")
def invalid_running_requests(context):
    valid = ["r1", 1460, 12, 5]
    for runs in (None, 3, "r1", {}, {"r1": valid}, valid):
        assert decode_runs(runs) is None, runs
    for entry in (None, 3, "r1x", [], ["r1"], ["r1", 2], {}):
        assert decode_runs([valid, entry]) is None, entry
    for run_id, events in ((1, 2), (None, 2), ("r2", "2"), ("r2", 2.5), ("r2", True)):
        assert decode_runs([valid, [run_id, 1460, events, 5]]) is None, run_id
    report = requests.decode_report(200, b"{}", "10.128.0.9:8080")
    assert report.ok.runs is None


@then(
    "of the answers to a move with status 404, 409, 500 and 503 only 404 states no run"
)
def move_answers_differ(context):
    for status in (404, 409, 500, 503):
        decoded = requests.decode_migration(status, b"{}", "10.128.0.9:8080")
        assert isinstance(decoded.error, UnknownRunError) == (status == 404), decoded
