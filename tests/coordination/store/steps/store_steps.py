"""Steps of store.feature."""

from __future__ import annotations

from behave import given, then, when

from tanagerturn.coordination.store import Status, Store
from tanagerturn.schema import coordination_pb2 as pb


def put(key: str, value: str, **fields: object) -> pb.Command:
    change = pb.Put(key=key, value=value.encode(), **fields)
    return pb.Command(transaction=pb.Transaction(puts=[change]))


@given("an empty store")
def empty_store(context):
    context.store = Store()
    context.results = {}


@when('"{name}" puts "{key}" expecting revision {revision:d}')
def put_expecting(context, name, key, revision):
    command = put(key, name, expected_revision=revision)
    context.results[name] = context.store.apply(command)


@then('"{name}" gets APPLIED')
def is_applied(context, name):
    assert context.results[name].status == Status.APPLIED


@then('"{name}" gets CONFLICT showing "{other}"')
def is_conflict(context, name, other):
    result = context.results[name]
    assert result.status == Status.CONFLICT
    assert [entry.value for entry in result.current] == [other.encode()]


@when('change "{change_id}" puts "{key}" twice')
def put_twice(context, change_id, key):
    command = put(key, "value")
    command.change_id = change_id
    context.results = [context.store.apply(command) for _ in range(2)]


@then("the store is at revision {revision:d}")
def at_revision(context, revision):
    assert context.store.revision == revision


@then("both results are equal")
def equal_results(context):
    assert context.results[0] == context.results[1]


@when('"{holder}" acquires the lease "{name}"')
def acquire(context, holder, name):
    command = pb.LeaseAcquire(name=name, holder=holder, duration_ms=1000)
    result = context.store.apply(pb.Command(lease_acquire=command))
    assert result.status == Status.APPLIED


@when('the lease "{name}" expires')
def expire_lease(context, name):
    lease = context.store.lease(name)
    command = pb.LeaseLapse(
        name=name, fencing_number=lease.fencing_number, renewals=lease.renewals
    )
    result = context.store.apply(pb.Command(lease_lapse=command))
    assert result.status == Status.APPLIED


@then('the lease "{name}" has holder "{holder}" and fencing number {number:d}')
def has_holder(context, name, holder, number):
    lease = context.store.lease(name)
    assert (lease.holder, lease.fencing_number) == (holder, number)


def fenced_status(context, number: int) -> int:
    command = put("order", "value")
    fence = pb.Fence(lease="control", fencing_number=number)
    command.transaction.fences.append(fence)
    return context.store.apply(command).status


@then("a write with fencing number {number:d} is refused")
def write_refused(context, number):
    assert fenced_status(context, number) == Status.FENCED


@then("a write with fencing number {number:d} is applied")
def write_applied(context, number):
    assert fenced_status(context, number) == Status.APPLIED
