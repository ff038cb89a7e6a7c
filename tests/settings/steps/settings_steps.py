"""Steps of settings.feature."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from unittest import mock

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerturn.observe.dumps import to_json
from tanagerturn.security import KeyRing, KeyVerifier, hash_key, matches
from tanagerturn.settings import (
    SettingsError,
    load_process,
    merge_sites,
    parse_process,
    read_folder,
)

EXAMPLES = Path(__file__).parents[3] / "examples"
SERVICE = "services:\n- name: s\n  type: plain\n  calls:\n  - name: c\n"
CALL = SERVICE + "    method: GET\n    path: /p\n    kind: idempotent\n"
MODEL = "services:\n- name: m\n  type: model\n"

# Text of the base file, line of the fault, and prefix of its key path.
INVALID_DEPLOYMENTS = [
    ("services: 5\n", 1, "services"),
    ("servces: []\n", 1, "servces"),
    ("services:\n- name: UPPER\n  type: model\n", 2, "services[UPPER].name"),
    ("services:\n- name: a\n", 2, "services[a].type"),
    ("services:\n- name: a\n  type: other\n", 3, "services[a].type"),
    ("services:\n- name: a\n  type: plain\n", 3, "services[a].type"),
    (MODEL, 3, "services[m].type"),
    (SERVICE + "    method: GET\n    path: p\n    kind: idempotent\n", 7, "services"),
    (SERVICE + "    method: GOT\n    path: /p\n    kind: idempotent\n", 6, "services"),
    (SERVICE + "    method: GET\n    path: /p\n    kind: once\n", 8, "services"),
    (SERVICE + "    method: GET\n    path: /p\n    kind: patient\n", 8, "services"),
    (CALL + "    deadline_ms: 1\n", 9, "services[s].calls[c].deadline_ms"),
    (CALL + "    deadline_ms: soon\n", 9, "services[s].calls[c].deadline_ms"),
    (CALL + "    deadline_ms: 1.5\n", 9, "services[s].calls[c].deadline_ms"),
    (CALL + "  retry_budget: 2\n", 9, "services[s].retry_budget"),
    (CALL + "  retry_budget: .nan\n", 9, "services[s].retry_budget"),
    (CALL + "  outcome_query:\n    path: /o\n", 10, "services[s].outcome_query.path"),
    (CALL + "  capacity:\n    min_hosts: 9\n", 10, "services[s].capacity.min_hosts"),
    ("client_accounts:\n- name: a\n  key_hashes: [plain]\n", 3, "client_accounts[a]"),
    ("client_accounts:\n- name: a\n  services: [x]\n", 2, "client_accounts[a]"),
    ("services: &a []\nclient_accounts: *a\n", 2, ""),
    ("services:\n\t- x\n", 2, ""),
    ("services: []\nservices: []\n", 2, ""),
    ("backend_access:\n  networks: [10.0.0.0/99]\n", 2, "backend_access.networks[0]"),
]


@when('the deployment "{firm}" is loaded')
def load_deployment(context, firm):
    context.sites = merge_sites(read_folder(EXAMPLES / firm))


@then('its site "{site}" has {services:d} services and {accounts:d} client accounts')
def site_has(context, site, services, accounts):
    merged = context.sites[site].settings
    assert len(merged.services) == services
    assert len(merged.client_accounts) == accounts


@then('all 3 process files of "{firm}" are valid')
def process_files_valid(context, firm):
    paths = sorted((EXAMPLES / firm / "processes").glob("*.yaml"))
    assert len(paths) == 3
    for path in paths:
        load_process(path)


@then('at "{site}" the value "{path}" is {value:g} from "{file}"')
def value_from(context, site, path, value, file):
    merged = context.sites[site]
    found = next(s for s in merged.settings.services if f"[{s.name}]" in path)
    for part in path.split(".")[1:]:
        found = getattr(found, part)
    assert found == value, found
    assert merged.origins[path].file == file


@then("each invalid deployment is refused with its line and key path")
def invalid_deployments_refused(context):
    for text, line, key_path in INVALID_DEPLOYMENTS:
        try:
            merge_sites({"base": text, "site/x": ""})
        except SettingsError as error:
            found = [(f.place.line, f.key_path) for f in error.faults]
            matching = [
                at for at in found if at[0] == line and at[1].startswith(key_path)
            ]
            assert matching, (text, found)
            assert all(fault.found and fault.allowed for fault in error.faults)
        else:
            raise AssertionError(f"accepted: {text}")


@when("a deployment with three faults is loaded for two sites")
def load_with_three_faults(context):
    text = CALL + "    deadline_ms: 1\n  bogus: 1\n  retry_budget: 3\n"
    try:
        merge_sites({"base": text, "site/x": "", "site/y": ""})
    except SettingsError as error:
        context.faults = error.faults


@then("three faults are reported")
def three_reported(context):
    assert len(context.faults) == 3, context.faults


@then("random texts and corrupted examples are accepted or refused with faults")
def fuzz_loaders(context):
    valid_text = (EXAMPLES / "inyenyeri" / "base.yaml").read_text(encoding="utf-8")

    def load(text: str) -> None:
        for check in (lambda: parse_process(text, "f"), lambda: merge(text)):
            try:
                check()
            except SettingsError as error:
                assert error.faults

    def merge(text: str) -> None:
        merge_sites({"base": text, "site/x": text})

    @settings(max_examples=60)
    @given(st.text(alphabet="abc:-[]{}&*!#|>'\"\n \t019.~", max_size=60))
    def random_texts(text):
        load(text)

    @settings(max_examples=15)
    @given(st.integers(0, len(valid_text)), st.characters())
    def corrupted_examples(position, character):
        load(valid_text[:position] + character + valid_text[position + 1 :])

    random_texts()
    corrupted_examples()


@then("16 concurrent lookups in each of 2 key rings compare a key with each hash once")
def one_comparison_per_hash(context):
    verifier = KeyVerifier()
    hashes = [hash_key(key) for key in ("one", "two", "three")]
    compared = []

    def count(key: str, key_hash: str) -> bool:
        compared.append(key_hash)
        return matches(key, key_hash)

    with mock.patch("tanagerturn.security.matches", count):
        for _ in range(2):  # Each settings revision makes a new key ring.
            ring = KeyRing([("owner", hashes)], verifier)
            with ThreadPoolExecutor(8) as pool:
                found = set(pool.map(ring.owner_of, ["three"] * 16))
            assert found == {"owner"}
    assert sorted(compared) == sorted(hashes), compared


@then("a key ring returns the owner of a known key and no owner of an unknown one")
def key_ring(context):
    ring = KeyRing([("a", [hash_key("one")]), ("b", [hash_key("two")])])
    assert [ring.owner_of(key) for key in ("one", "two", "one", "x")] == [
        "a",
        "b",
        "a",
        "",
    ]


@then('a dump of the settings of "{site}" has client accounts but no key hashes')
def masked_dump(context, site):
    settings_of_site = context.sites[site].settings
    text = to_json(settings_of_site).decode()
    assert "studio-marin" in text
    assert "scrypt:" not in text
    assert "scrypt:" in str(settings_of_site)


@when('a deployment is loaded whose file "{file}" contains {text}')
def load_with_file(context, file, text):
    files = {"base": "", "site/one": "", file: f"{text}\n"}
    try:
        merge_sites(files)
    except SettingsError as error:
        context.faults = error.faults
    else:
        raise AssertionError(f"{file} with {text!r} was accepted")


@then('line 1 of "{file}" is refused because it is not a mapping')
def refused_as_no_mapping(context, file):
    (fault,) = context.faults
    assert (fault.place.file, fault.place.line) == (file, 1), fault
    assert fault.allowed == "a mapping", fault
