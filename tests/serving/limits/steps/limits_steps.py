"""Steps of limits.feature."""

from __future__ import annotations

from behave import given, then, when

from tanagerturn.serving.limits.limiter import (
    AccountLimiter,
    Allowance,
    Limit,
    LimitExceeded,
    Within,
    scale_allowance,
)

ACCOUNT = "big"
UNLIMITED = Allowance(1e6, 10**6, 1e6)


def make_hosts(count: int, allowance: Allowance) -> list[AccountLimiter]:
    hosts = [AccountLimiter() for _ in range(count)]
    for host in hosts:
        host.set_allowance(ACCOUNT, scale_allowance(allowance, 1 / count), 0.0)
    return hosts


@given("{count:d} entry hosts with equal shares of {rate:d} requests per second")
def hosts_with_rate(context, count, rate):
    context.hosts = make_hosts(count, Allowance(rate, 10**6, 1e6))


@given("{count:d} entry hosts with equal shares of {limit:d} concurrent requests")
def hosts_with_concurrency(context, count, limit):
    context.hosts = make_hosts(count, Allowance(1e6, limit, 1e6))


@given("1 entry host with an allowance of {tokens:d} tokens per second")
def host_with_tokens(context, tokens):
    context.hosts = make_hosts(1, Allowance(100, 10**6, tokens))


@when("{rate:d} requests per second arrive over all hosts for {seconds:d} seconds")
def requests_arrive(context, rate, seconds):
    context.admitted, context.retry_times = 0, []
    for number in range(rate * seconds):
        now_s = number / rate
        host = context.hosts[number % len(context.hosts)]
        outcome = host.start(ACCOUNT, now_s)
        if isinstance(outcome, Within):
            context.admitted += 1
            host.finish(ACCOUNT, 0, now_s)
        else:
            context.retry_times.append((host, now_s + outcome.retry_after_s))


@then("between {minimum:d} and {maximum:d} requests were admitted")
def admitted_between(context, minimum, maximum):
    print(f"\n{context.admitted} requests admitted")
    assert minimum <= context.admitted <= maximum, context.admitted


@then("a refused request is admitted after its retry delay")
def retry_after_is_enough(context):
    host, at_s = context.retry_times[-1]
    assert isinstance(host.start(ACCOUNT, at_s + 1e-6), Within)


@when("{count:d} requests start and none ends")
def start_many(context, count):
    hosts = context.hosts
    outcomes = [hosts[n % len(hosts)].start(ACCOUNT, 0.0) for n in range(count)]
    context.admitted = sum(isinstance(outcome, Within) for outcome in outcomes)


@then("{count:d} requests were admitted")
def exactly_admitted(context, count):
    assert context.admitted == count


@when("{count:d} of the admitted requests end on one host")
def some_end(context, count):
    for _ in range(count):
        context.hosts[0].finish(ACCOUNT, 0, 1.0)


@then("that host admits {count:d} more requests")
def admits_more(context, count):
    outcomes = [context.hosts[0].start(ACCOUNT, 1.0) for _ in range(count + 3)]
    assert sum(isinstance(outcome, Within) for outcome in outcomes) == count


@when("a request ends with {tokens:d} generated tokens")
def ends_with_tokens(context, tokens):
    (host,) = context.hosts
    assert isinstance(host.start(ACCOUNT, 0.0), Within)
    host.finish(ACCOUNT, tokens, 0.0)


@then(
    "the next request is refused because of {limit:w} for {least:d} to {most:d} seconds"
)
def refused_for(context, limit, least, most):
    outcome = context.hosts[0].start(ACCOUNT, 0.0)
    assert isinstance(outcome, LimitExceeded)
    assert outcome.limit is Limit[limit]
    assert least <= outcome.retry_after_s <= most, outcome
    context.at_s = outcome.retry_after_s


@then("a request is admitted after that time")
def admitted_then(context):
    assert isinstance(context.hosts[0].start(ACCOUNT, context.at_s + 1e-6), Within)


@when("the host's share of the allowance is reduced to a tenth")
def share_reduced(context):
    allowance = scale_allowance(Allowance(100, 10**6, 1e6), 0.1)
    context.hosts[0].set_allowance(ACCOUNT, allowance, 1.0)


@then("at most {count:d} requests are admitted in the next second")
def admitted_in_second(context, count):
    (host,) = context.hosts
    times = [1.0 + n / 1000 for n in range(1000)]
    outcomes = [host.start(ACCOUNT, now_s) for now_s in times]
    assert sum(isinstance(outcome, Within) for outcome in outcomes) <= 2 * count
    later = [host.start(ACCOUNT, now_s + 1) for now_s in times]
    assert sum(isinstance(outcome, Within) for outcome in later) <= count
