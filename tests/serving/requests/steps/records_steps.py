"""Steps of records.feature."""

from __future__ import annotations

from itertools import product

from behave import given, then, when

from support.request_world import GROUP, EntryHost, RequestWorld, new_request
from tanagerturn.coordination.ids import ProcessId
from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.requests import lifecycle, operations
from tanagerturn.serving.requests.replies import ReplyKind

COMMIT_ATTEMPTS = 3
ACCOUNT = "inyenyeri"


@given("a service {query} an outcome query")
def given_service(context, query):
    context.has_query = query == "with"
    context.world = RequestWorld(context.has_query)
    context.hosts = {}
    context.replies = {}


@given('the entry hosts "{one}" and "{other}"')
def two_hosts(context, one, other):
    context.hosts = {name: EntryHost(context.world, name) for name in (one, other)}


@given('the entry host "{name}" whose attempts are "{sends}"')
def host_with_sends(context, name, sends):
    host = EntryHost(context.world, name, behaviours=sends.split())
    context.hosts[name] = host


@given('the entry host "{name}" whose attempts are ""')
def host_without_faults(context, name):
    context.hosts[name] = EntryHost(context.world, name)


@when('"{name}" runs "{key}"')
def host_runs(context, name, key):
    context.replies[name] = context.hosts[name].run(key)


@when('"{name}" runs "{key}" with another body')
def run_other_body(context, name, key):
    context.replies[name] = context.hosts[name].run(key, b"other")


@then('the reply of "{name}" is {kind:w}')
def reply_is(context, name, kind):
    assert context.replies[name].kind is ReplyKind[kind], context.replies[name]


@then('the reply of "{name}" is {kind:w} with the same answer')
def same_answer(context, name, kind):
    reply_is(context, name, kind)
    bodies = {reply.answer.body for reply in context.replies.values()}
    assert bodies == {b"seat for k1"}, bodies


@then('"{key}" was executed {times:d} time')
@then('"{key}" was executed {times:d} times')
def executed_times(context, key, times):
    for host in context.hosts.values():
        for late in host.backend_calls.late:
            context.world.service.execute(late)
    assert context.world.service.executions[key] == times


def finish_run(world: RequestWorld, replies, hosts) -> None:
    """Let a last host take over, apply delayed events, and run the request again."""
    for host in hosts:
        host.lose_lease()
        host.client.deliver_late()
    last = EntryHost(world, "last")
    assert last.sweep()
    replies.append(last.run("k1"))
    for host in hosts:
        host.client.deliver_late()
        for key in host.backend_calls.late:
            world.service.execute(key)
    replies.append(last.run("k1"))
    assert replies[-1].kind is not ReplyKind.RUNNING, "the request k1 never ended"
    assert replies[-1].kind is not ReplyKind.NOT_ACCEPTED, "the request k1 was lost"
    world.check("k1", replies)


def count_crash_points(world: RequestWorld, sends) -> int:
    host = EntryHost(world, "a", behaviours=sends)
    host.run("k1")
    return host.points.count


@then(
    "no crash of a host at any step, with or without that of its successor, "
    "executes a request twice, loses it or misreports it"
)
def crashes_are_safe(context):
    runs = 0
    for sends in ([], ["refused"], ["cut"], ["dropped"], ["late"]):
        steps = count_crash_points(RequestWorld(context.has_query), sends)
        for first, second in product(range(1, steps + 1), range(20)):
            world = RequestWorld(context.has_query)
            crashing = EntryHost(world, "a", crash_at=first, behaviours=sends)
            replies = [crashing.run("k1")]
            assert replies == [None]
            crashing.lose_lease()
            successor = EntryHost(world, "b", crash_at=second)
            if successor.sweep():
                replies.append(successor.run("k1"))
            finish_run(world, replies, [crashing, successor])
            runs += 1
    print(f"\n{runs} combinations of host crashes tested")


@then(
    "no lost commit, applied, late or dropped, "
    "executes a request twice, loses it or misreports it"
)
def lost_commits_are_safe(context):
    runs = 0
    modes = ("", "applied", "late", "lost")
    plans = [
        [*first, *second]
        for first in single_commit_plans(modes)
        for second in single_commit_plans(modes)
    ]
    for sends, plan in product(([], ["refused"], ["cut"], ["late"]), plans):
        world = RequestWorld(context.has_query)
        host = EntryHost(world, "a", plan=plan, behaviours=sends)
        replies = [host.run("k1")]
        other = EntryHost(world, "b")
        replies.append(other.run("k1"))
        finish_run(world, replies, [host, other])
        runs += 1
    print(f"\n{runs} combinations of lost commits tested")


def single_commit_plans(modes):
    """Yield the fault plans of one commit.

    The plans have no fault, a fault at the first attempt, and a fault at each attempt.
    """
    yield [""]
    for mode in modes[1:]:
        yield [mode, ""]
        yield [mode] * COMMIT_ATTEMPTS


@when('"{paused}" is paused before it sends "{key}" and "{other}" takes over')
def paused_owner(context, paused, key, other):
    host = context.hosts[paused]
    send = host.backend_calls.send

    def send_after_takeover(record, permission):
        host.lose_lease()
        assert context.hosts[other].sweep()
        return send(record, permission)

    host.backend_calls.send = send_after_takeover
    host_runs(context, paused, key)


def unknown_keys(context):
    ledger = context.hosts["a"].ledger
    page = operations.list_requests(ledger, pb.OUTCOME_UNKNOWN).ok
    return [line.idempotency_key for line in page.requests]


@then('the list of unknown outcomes names "{key}"')
def lists_unknown(context, key):
    assert unknown_keys(context) == [key]


@then("the list of unknown outcomes is empty")
def lists_nothing(context):
    assert unknown_keys(context) == []


def resolve_unknown(context, key, answer):
    ledger = context.hosts["a"].ledger
    answer_to_store = pb.Answer(status=200, body=answer.encode())
    return operations.resolve_request(ledger, ACCOUNT, key, "ops", answer_to_store, 1)


@when('an operator resolves "{key}" with the answer "{answer}"')
def operator_resolves(context, key, answer):
    assert resolve_unknown(context, key, answer).is_ok()


@then('a second resolution of "{key}" is refused')
def resolve_twice(context, key):
    assert resolve_unknown(context, key, "other").is_error()


def expire_after(context, seconds):
    clock = context.world.clock
    now_ms = clock.wall_ms() + seconds * 1000
    return operations.remove_expired(context.hosts["a"].ledger, now_ms).ok


@then("no record is removed after {seconds:d} seconds")
def not_expired(context, seconds):
    assert expire_after(context, seconds) == 0


@then(
    "the store is empty after the removal of expired records after {seconds:d} seconds"
)
def all_expired(context, seconds):
    assert expire_after(context, seconds) == 1
    assert not context.world.local.store(GROUP).entries


@when('"{name}" accepts the patient request "{key}" and crashes')
def patient_owner_crashes(context, name, key):
    host = context.hosts[name]
    new = new_request(key, kind=pb.PATIENT)
    held = host.ledger.accept(new, 1).ok
    assert host.ledger.permit(held, "engine-1", 1, 1.0).is_ok()
    host.lose_lease()


@then('one sweep of "{name}" returns "{key}" to run, owned by "{name}"')
def returned_to_run(context, name, key):
    host = context.hosts[name]
    (held,) = host.settler.sweep().ok
    record = held.record
    assert record.idempotency_key == key
    assert (record.state, record.owner) == (pb.ACCEPTED, host.owner)
    assert record.request.body == b"body"
    assert host.ledger.permit(held, "engine-2", 1, 1.0).is_ok()


@when('the store loses all commits of "{name}" after the permission for "{key}"')
def lose_after_permission(context, name, key):
    host = context.hosts[name]
    host.client.plan = ["", *["lost"] * COMMIT_ATTEMPTS]
    host_runs(context, name, key)


@then('after a sweep of "{name}" the reply of "{other}" to "{key}" is ANSWERED')
def answer_committed_later(context, name, other, key):
    assert context.hosts[name].sweep()
    assert context.hosts[other].run(key).kind is ReplyKind.ANSWERED
    assert context.world.service.executions[key] == 1


def forbidden_transitions():
    owner = lifecycle.Actor(ProcessId("a"), 2)
    stale = lifecycle.Actor(ProcessId("a"), 1)
    proof = lifecycle.Proof
    return {
        "permit": (lifecycle.Permit(owner), 2),
        "permit again after bytes": (
            lifecycle.PermitAgain(owner, no_byte_sent=False),
            2,
        ),
        "permit again by another": (lifecycle.PermitAgain(owner, no_byte_sent=True), 1),
        "finish": (lifecycle.Finish(owner, pb.Answer()), 2),
        "give up as never permitted": (
            lifecycle.GiveUp(owner, proof.NEVER_PERMITTED, "", ""),
            2,
        ),
        "give up by another sender": (
            lifecycle.GiveUp(owner, proof.NO_BYTE_SENT, "", ""),
            1,
        ),
        "cancel": (lifecycle.Cancel(owner), 2),
        "finish by stale owner": (lifecycle.Finish(stale, pb.Answer()), 2),
        "take over": (lifecycle.TakeOver(ProcessId("a"), ProcessId("b")), 2),
        "resolve": (lifecycle.Resolve("ops", None), 2),
    }


@then("the transition {transition} from {state:w} is refused for a non-repeatable call")
def transition_refused(context, transition, state):
    forbidden, permitted_number = forbidden_transitions()[transition]
    record = pb.RequestRecord(
        kind=pb.NOT_REPEATABLE,
        state=pb.RequestState.Value(state.upper()),
        owner="a",
        fencing_number=2,
        permitted_number=permitted_number,
    )
    assert lifecycle.apply(forbidden, record, 1).is_error()


@when('"{name}" crashes before it sends "{key}"')
def crashes_before_send(context, name, key):
    host = context.hosts[name]
    new = new_request(key)
    assert host.ledger.accept_and_permit(new, "desk-1", 1, 1.0).is_ok()
    host.lose_lease()


@then('the sweeps of "{name}" return nothing for {seconds:d} seconds, and then "{key}"')
def returned_after_expiry(context, name, seconds, key):
    settler, clock = context.hosts[name].settler, context.world.clock
    for _ in range(seconds * 10):
        assert settler.sweep().ok == []
        clock.pause(0.1)
    clock.pause(1.0)
    (held,) = settler.sweep().ok
    assert held.record.idempotency_key == key


@when('"{name}" has lost its lease and runs "{key}"')
def run_without_lease(context, name, key):
    context.hosts[name].lose_lease()
    host_runs(context, name, key)


@when('"{name}" has no backend server and runs "{key}"')
def run_without_server(context, name, key):
    context.hosts[name].backend_calls.choose = lambda record: ""
    host_runs(context, name, key)
