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

# Text of the base file, line of the fault, start of its key path.
BROKEN = [
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


@when('the deployment "{firm}" is read')
def read_deployment(context, firm):
    context.sites = merge_sites(read_folder(EXAMPLES / firm))


@then('it has the site "{site}" with {services:d} services and {n:d} client accounts')
def has_site(context, site, services, n):
    merged = context.sites[site].settings
    assert len(merged.services) == services
    assert len(merged.client_accounts) == n


@then('every process file of "{firm}" is good')
def process_files_good(context, firm):
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


@then("each broken deployment is refused where it is broken")
def broken_refused(context):
    for text, line, key_path in BROKEN:
        try:
            merge_sites({"base": text, "site/x": ""})
        except SettingsError as error:
            places = [(f.place.line, f.key_path) for f in error.faults]
            hit = [at for at in places if at[0] == line and at[1].startswith(key_path)]
            assert hit, (text, places)
            assert all(fault.found and fault.allowed for fault in error.faults)
        else:
            raise AssertionError(f"accepted: {text}")


@when("a deployment with three faults is read")
def read_three_faults(context):
    text = CALL + "    deadline_ms: 1\n  bogus: 1\n  retry_budget: 3\n"
    try:
        merge_sites({"base": text, "site/x": "", "site/y": ""})
    except SettingsError as error:
        context.faults = error.faults


@then("three faults are reported")
def three_reported(context):
    assert len(context.faults) == 3, context.faults


@then("random texts and damaged examples are accepted or refused with faults")
def fuzz_loader(context):
    good = (EXAMPLES / "inyenyeri" / "base.yaml").read_text(encoding="utf-8")

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
    @given(st.integers(0, len(good)), st.characters())
    def damaged(position, character):
        load(good[:position] + character + good[position + 1 :])

    random_texts()
    damaged()


@then("many first requests with one key cost one comparison for each hash")
def one_comparison(context):
    verifier = KeyVerifier()
    hashes = [hash_key(key) for key in ("one", "two", "three")]
    compared = []

    def count(key: str, key_hash: str) -> bool:
        compared.append(key_hash)
        return matches(key, key_hash)

    with mock.patch("tanagerturn.security.matches", count):
        for _ in range(2):  # A new revision of the settings makes a new ring.
            ring = KeyRing([("owner", hashes)], verifier)
            with ThreadPoolExecutor(8) as pool:
                found = set(pool.map(ring.owner_of, ["three"] * 16))
            assert found == {"owner"}
    assert sorted(compared) == sorted(hashes), compared


@then("a key ring finds the owner of a key and refuses others")
def key_ring(context):
    ring = KeyRing([("a", [hash_key("one")]), ("b", [hash_key("two")])])
    assert [ring.owner_of(key) for key in ("one", "two", "one", "x")] == [
        "a",
        "b",
        "a",
        "",
    ]


@then('a dump of its settings for "{site}" shows accounts without their key hashes')
def masked_dump(context, site):
    settings_of_site = context.sites[site].settings
    text = to_json(settings_of_site).decode()
    assert "studio-marin" in text
    assert "scrypt:" not in text
    assert "scrypt:" in str(settings_of_site)


@when('the file "{file}" of a deployment holds {text}')
def file_holds(context, file, text):
    files = {"base": "", "site/one": "", file: f"{text}\n"}
    try:
        merge_sites(files)
    except SettingsError as error:
        context.faults = error.faults
    else:
        raise AssertionError("it was taken")


@then('it is refused at "{file}" for want of a mapping')
def refused_at(context, file):
    (fault,) = context.faults
    assert (fault.place.file, fault.place.line) == (file, 1), fault
    assert fault.allowed == "a mapping", fault
