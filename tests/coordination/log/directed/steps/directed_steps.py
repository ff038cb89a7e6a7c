"""Steps of directed.feature."""

from __future__ import annotations

from behave import given, then, when

from support.log_cluster import Cluster, Profile
from tanagerturn.schema import coordination_pb2 as pb

SEED = 1


@given("a settled group of {count:d} members with an election timeout of {timeout:g} s")
def settled_group(context, count, timeout):
    profile = Profile(voters=count, drop=0, duplicate=0, election_s=timeout)
    context.cluster = Cluster(SEED, profile)
    context.cluster.is_healed = True
    context.cluster.start()
    let_pass(context, timeout * 10, lambda: context.cluster.leader() is not None)
    context.answers = []
    context.member = (
        next(
            n
            for n in context.cluster.nodes.values()
            if n is not context.cluster.leader()
        )
        if count > 1
        else context.cluster.leader()
    )


def let_pass(context, length_s, is_done=lambda: False):
    context.cluster.run_until(context.cluster.now + length_s, is_done)


def change(context, change_id, key="key"):
    put = pb.Put(key=key, value=change_id.encode())
    transaction = pb.Transaction(puts=[put])
    command = pb.Command(change_id=change_id, transaction=transaction)
    node = context.cluster.leader()
    answers = context.answers
    node.act(lambda host: host.propose(command, node.moment(), answers.append))


def make_changes(context, count, length_s):
    for number in range(count):
        change(context, f"change {number}", f"key {number % 50}")
        let_pass(context, length_s / count)
    assert [a.is_ok() for a in context.answers] == [True] * count


@when("one member is cut off while {count:d} changes are made within an hour")
def cut_off(context, count):
    others = [n for n in context.cluster.nodes if n != context.member.member]
    pairs = {(context.member.member, o) for o in others}
    context.cluster.blocked |= pairs | {(b, a) for a, b in pairs}
    context.term = context.cluster.leader().host.core.term
    make_changes(context, count, 3600)


@when("the member is connected again")
def connected(context):
    context.cluster.blocked.clear()
    let_pass(context, 300, context.cluster.is_settled)


@when("one member is down while {count:d} changes are made")
def down(context, count):
    context.cluster.restart_later = lambda node: None
    context.member.crash()
    make_changes(context, count, 30)


@when("the member starts again")
def starts_again(context):
    context.member.start()
    let_pass(context, 10, context.cluster.is_settled)


@then("it has installed a snapshot and holds the same state")
def same_state(context):
    host = context.member.host
    assert host.storage.snapshots.newest().index > 1000
    assert host.applied_entries < 500, host.applied_entries
    context.cluster.check_end()


@then("its return has not ended the leader's term")
def same_term(context):
    assert context.cluster.leader().host.core.term == context.term


@then("the leader keeps at most {count:d} entries")
def log_is_cut(context, count):
    assert len(context.cluster.leader().host.core.log.entries) <= count


@when('the change "{change_id}" is made')
@when('the change "{change_id}" is made again')
def one_change(context, change_id):
    change(context, change_id)
    let_pass(context, 1)


@when("the member's wall clock jumps by an hour and the member crashes")
def jump(context):
    context.member.wall_offset_ms += 3_600_000
    context.member.crash()
    let_pass(context, 3)


@then("both answers name the same revision")
def same_revision(context):
    first, second = [answer.ok.revision for answer in context.answers]
    assert first == second == 1


@when('the disk is full and the change "{change_id}" is made')
def disk_full(context, change_id):
    context.member.disk.is_full = True
    change(context, "stalls the member")
    context.answers.clear()
    change(context, change_id)


@then("the answer says that the disk is full")
def says_full(context):
    assert "disk is full" in str(context.answers[0].error)


@when("the disk has room again")
def has_room(context):
    context.member.disk.is_full = False
    let_pass(context, 3)
    context.answers.clear()


@then("the change is accepted")
def accepted(context):
    assert context.answers[0].is_ok()


@when('the next sync fails and the change "{change_id}" is made')
def sync_fails(context, change_id):
    context.cluster.restart_later = lambda node: None
    context.member.disk.is_failing = True
    change(context, change_id)


@then("the member has ended without an answer")
def has_ended(context):
    assert context.member.host is None
    assert context.answers == []
