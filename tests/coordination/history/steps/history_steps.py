"""Steps of history.feature."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from behave import given, then, when
from expression import Ok

from support.environment import long_run
from support.faulty_client import FaultyClient
from tanagerturn.coordination.errors import RefusedError, UnavailableError
from tanagerturn.coordination.local import LocalStateClient
from tanagerturn.coordination.settings_history import (
    SettingsConflict,
    SettingsHistory,
    SettingsInvalid,
    file_contents,
)

GROUP = "control"
HOUR_MS = 3_600_000


def validate(files):
    return [f"{name}: faulty" for name, text in files.items() if text == "faulty"]


@given("an empty settings history")
def empty_history(context):
    context.history = SettingsHistory(LocalStateClient(), GROUP)
    context.results = {}


@given("an empty settings history that stores the files of {kept:d} revisions")
def short_history(context, kept):
    context.history = SettingsHistory(LocalStateClient(), GROUP, history_kept=kept)


@when('"{author}" applies change "{change}" with "{text}" expecting revision {n:d}')
def apply_change(context, author, change, text, n):
    context.results[change] = context.history.apply(
        {"base": text}, n, change, author, "", 0, validate
    )


@when('"{author}" rolls back to {to:d} as change "{change}" expecting revision {n:d}')
def roll_back(context, author, to, change, n):
    context.results[change] = context.history.rollback(
        to, n, change, author, "", 0, validate
    )


@when("{count:d} changes are applied")
def apply_many(context, count):
    for n in range(count):
        files = {"base": f"x: {n}"}
        assert context.history.apply(files, n, f"c{n}", "ana", "", 0, validate).is_ok()


@then('change "{change}" is revision {number:d}')
def is_revision(context, change, number):
    assert context.results[change].ok.number == number


@then('change "{change}" conflicts with revision {number:d} by "{author}"')
def conflicts(context, change, number, author):
    error = context.results[change].error
    assert isinstance(error, SettingsConflict)
    assert (error.current.number, error.current.author) == (number, author)


@then('change "{change}" is refused for "{fault}"')
def refused(context, change, fault):
    error = context.results[change].error
    assert isinstance(error, SettingsInvalid)
    assert error.faults == (fault,)


@then("the current revision is {number:d}")
def current_number(context, number):
    assert context.history.current().ok.number == number


@then('the current files are "{text}"')
def current_files(context, text):
    assert file_contents(context.history.current().ok) == {"base": text}


@then('the history is "{changes}"')
def history_is(context, changes):
    found = [r.change_id for r in context.history.history().ok]
    assert found == changes.split(), found


@then("the first change still is revision 1 when it is resent")
def first_again(context):
    resent_result = context.history.apply(
        {"base": "x: 0"}, 0, "c0", "ana", "", 0, validate
    )
    assert resent_result.ok.number == 1


@then(
    "rolling back to revision {removed:d} is refused "
    "and to revision {kept:d} is accepted"
)
def roll_back_far(context, removed, kept):
    refused = context.history.rollback(removed, 1000, "r1", "ana", "", 0, validate)
    assert isinstance(refused.error, RefusedError)
    assert context.history.rollback(kept, 1000, "r2", "ana", "", 0, validate).is_ok()


@dataclass
class Change:
    """A change that an operator resends until a response arrives."""

    change_id: str
    author: str
    expected: int
    text: str


class Race:
    """Concurrent operators that resend changes, with checks of the responses."""

    def __init__(self, seed: int, history_class: type[SettingsHistory]) -> None:
        self.random = Random(seed)
        store = LocalStateClient()
        self.client = FaultyClient(store, self.random, loss=0.15)
        self.history = history_class(self.client, GROUP)
        self.reader = SettingsHistory(store, GROUP)
        self.pending: dict[str, Change] = {}
        self.accepted: dict[str, tuple[Change, int]] = {}
        self.refused: set[str] = set()
        self.violations: list[str] = []
        self.depth = 0
        self.client.between = self._interleave

    def run(self) -> list[str]:
        """Run the race and return the violations."""
        for _ in range(30):
            self.client.now_ms += self.random.choice((10, 1000, HOUR_MS))
            self._send_change(self.random.choice(("ana", "ben", "eva")))
        self.client.loss = 0
        for change, number in list(self.accepted.values()):
            resent_result = self._send(change)
            if resent_result.is_error() or resent_result.ok.number != number:
                self.violations.append(
                    f"change {change.change_id}, resent, did not get revision {number}"
                )
        self._check_history()
        return self.violations

    def _interleave(self) -> None:
        if self.depth < 2 and self.random.random() < 0.4:
            self._send_change(self.random.choice(("ana", "ben", "eva")))

    def _send_change(self, author: str) -> None:
        self.depth += 1
        change = self.pending.get(author) or self._new_change(author)
        self.pending[author] = change
        self._check_answer(change, self._send(change))
        self.depth -= 1

    def _new_change(self, author: str) -> Change:
        number = self.reader.current().ok.number
        change_id = f"{author}{self.random.randrange(10**9)}"
        return Change(change_id, author, number, change_id)

    def _send(self, change: Change):
        files = {"base": change.text}
        return self.history.apply(
            files, change.expected, change.change_id, change.author, "", 0, validate
        )

    def _check_answer(self, change: Change, result) -> None:
        if result.is_error() and isinstance(result.error, UnavailableError):
            return
        self.pending.pop(change.author, None)
        if result.is_ok():
            self._check_acceptance(change, result.ok)
            return
        self.refused.add(change.change_id)
        if not isinstance(result.error, SettingsConflict):
            self.violations.append(
                f"change {change.change_id} got an unexpected error: {result.error}"
            )
        elif result.error.current.number <= change.expected:
            self.violations.append(
                "a conflict holds no later revision than the change expected"
            )
        elif result.error.current.change_id == change.change_id:
            self.violations.append("a change conflicts with itself")

    def _check_acceptance(self, change: Change, revision) -> None:
        earlier = self.accepted.setdefault(change.change_id, (change, revision.number))
        if earlier[1] != revision.number or revision.change_id != change.change_id:
            self.violations.append(
                f"change {change.change_id} did not get its own first revision"
            )

    def _check_history(self) -> None:
        revisions = self.reader.history(limit=1000).ok
        ids = [r.change_id for r in revisions]
        numbers = [r.number for r in reversed(revisions)]
        if numbers != list(range(1, len(numbers) + 1)):
            self.violations.append("revision numbers are not contiguous")
        if len(set(ids)) != len(ids):
            self.violations.append("a change is in the history twice")
        if not set(self.accepted) <= set(ids):
            self.violations.append("an accepted change is missing from the history")
        if self.refused & set(ids):
            self.violations.append("a refused change is in the history")


class ForgetsChangeIds(SettingsHistory):
    """Defect: the ids of earlier changes are not looked up."""

    def _find_change(self, change_id):
        return Ok(None)


class SkipsComparison(SettingsHistory):
    """Defect: neither revision numbers nor store revisions are compared."""

    def _command(self, revision, current, expected):
        revision.number = current.number + 1
        command = super()._command(revision, current, expected)
        for put in command.transaction.puts:
            put.ClearField("expected_revision")
        return command


@then("{count:d} seeded races have no violation")
def races(context, count):
    for seed in range(count * 10 if long_run() else count):
        violations = Race(seed, SettingsHistory).run()
        assert not violations, (seed, violations)


@then("seeded races detect a history that forgets change ids")
def detects_forgotten_ids(context):
    assert any(Race(seed, ForgetsChangeIds).run() for seed in range(20))


@then("seeded races detect a history that does not compare revisions")
def detects_missing_comparison(context):
    assert any(Race(seed, SkipsComparison).run() for seed in range(20))
