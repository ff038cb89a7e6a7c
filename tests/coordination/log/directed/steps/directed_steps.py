"""Steps of directed.feature."""

from __future__ import annotations

from behave import given, then, when

from support.log_cluster import Cluster, Profile
from tanagerturn.schema import coordination_pb2 as pb

SEED = 1


@given(
    "a group of {count:d} members with a leader "
    "and an election timeout of {timeout:g} s"
)
def group_with_leader(context, count, timeout):
    profile = Profile(
        voters=count, drop_rate=0, duplicate_rate=0, election_timeout_s=timeout
    )
    context.cluster = Cluster(SEED, profile)
    context.cluster.failures_ended = True
    context.cluster.start()
    advance_time(context, timeout * 10, lambda: context.cluster.leader() is not None)
    context.results = []
    context.member = (
        next(
            n
            for n in context.cluster.nodes.values()
            if n is not context.cluster.leader()
        )
        if count > 1
        else context.cluster.leader()
    )


def advance_time(context, length_s, is_done=lambda: False):
    context.cluster.run_until(context.cluster.now + length_s, is_done)


def change(context, change_id, key="key"):
    put = pb.Put(key=key, value=change_id.encode())
    transaction = pb.Transaction(puts=[put])
    command = pb.Command(change_id=change_id, transaction=transaction)
    node = context.cluster.leader()
    results = context.results
    node.act(lambda replica: replica.propose(command, node.moment(), results.append))


def make_changes(context, count, length_s):
    for number in range(count):
        change(context, f"change {number}", f"key {number % 50}")
        advance_time(context, length_s / count)
    assert [a.is_ok() for a in context.results] == [True] * count


@when("one member is isolated while {count:d} changes are committed within an hour")
def run_while_isolated(context, count):
    others = [n for n in context.cluster.nodes if n != context.member.member]
    pairs = {(context.member.member, o) for o in others}
    context.cluster.blocked |= pairs | {(b, a) for a, b in pairs}
    context.term = context.cluster.leader().replica.core.term
    make_changes(context, count, 3600)


@when("the member's network connection is restored")
def reconnect(context):
    context.cluster.blocked.clear()
    advance_time(context, 300, context.cluster.has_converged)


@when("one member is down while {count:d} changes are committed")
def run_while_down(context, count):
    context.cluster.schedule_restart = lambda node: None
    context.member.crash()
    make_changes(context, count, 30)


@when("the member restarts")
def restart_member(context):
    context.member.start()
    advance_time(context, 10, context.cluster.has_converged)


@then("the member has installed a snapshot and holds the same state as the others")
def has_same_state(context):
    replica = context.member.replica
    assert replica.storage.snapshots.newest().index > 1000
    assert replica.applied_entries < 500, replica.applied_entries
    context.cluster.check_end()


@then("the leader's term has not changed")
def same_term(context):
    assert context.cluster.leader().replica.core.term == context.term


@then("the leader's log holds at most {count:d} entries")
def log_is_compacted(context, count):
    assert len(context.cluster.leader().replica.core.log.entries) <= count


@when('change "{change_id}" is proposed')
@when('change "{change_id}" is proposed again')
def one_change(context, change_id):
    change(context, change_id)
    advance_time(context, 1)


@when("the member's wall clock jumps by an hour and the member crashes")
def jump_and_crash(context):
    context.member.wall_offset_ms += 3_600_000
    context.member.crash()
    advance_time(context, 3)


@then("both results have the same revision")
def same_revision(context):
    first, second = [result.ok.revision for result in context.results]
    assert first == second == 1


@when('change "{change_id}" is proposed while the disk is full')
def disk_full(context, change_id):
    context.member.disk.is_full = True
    change(context, "stalls the member")
    context.results.clear()
    change(context, change_id)


@then("the error says that the disk is full")
def error_says_full(context):
    assert "disk is full" in str(context.results[0].error)


@when("disk space is available again")
def free_disk_space(context):
    context.member.disk.is_full = False
    advance_time(context, 3)
    context.results.clear()


@then("the change is accepted")
def accepted(context):
    assert context.results[0].is_ok()


@when('change "{change_id}" is proposed and the next sync fails')
def sync_fails(context, change_id):
    context.cluster.schedule_restart = lambda node: None
    context.member.disk.syncs_fail = True
    change(context, change_id)


@then("the member has stopped without a result for the change")
def has_stopped(context):
    assert context.member.replica is None
    assert context.results == []
