"""Steps of shares.feature."""

from __future__ import annotations

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from support.environment import long_run
from support.share_schedule import ShareSchedule
from tanagerturn.coordination.shares.allocator import ShareAllocator
from tanagerturn.coordination.shares.amounts import fair_shares, split_limits
from tanagerturn.coordination.shares.limiter import BURST_S, HostLimiter
from tanagerturn.schema.settings_pb2 import AccountLimits

LIMITS = AccountLimits(requests_per_s=60, concurrent_requests=60, tokens_per_s=6000)


@given(
    "{hosts:d} hosts share {rate:d} requests a second, {count:d} at once and "
    "{tokens:d} tokens a second"
)
def hosts_share(context, hosts, rate, count, tokens):
    limits = AccountLimits(
        requests_per_s=rate, concurrent_requests=count, tokens_per_s=tokens
    )
    context.schedule = ShareSchedule(1, limits, hosts, disturbed=False)
    assert not context.schedule.run(6000)


@when("all callers come to host {index:d} for {s:d} s")
def all_come(context, index, s):
    for number, host in enumerate(context.schedule.hosts):
        host.rate = 1.0 if number == index else 0.0
    assert not context.schedule.run(s * 1000)


@when("host {index:d} is cut off for {s:d} s")
def cut_off(context, index, s):
    schedule = context.schedule
    schedule.hosts[index].cut_until = schedule.now + s * 1000
    assert not schedule.run(s * 1000 - 1)


def share_of(context, index):
    host = context.schedule.hosts[index]
    return host.account.share(host.clock.read(context.schedule.now)).requests_per_s


@then("host {index:d} may use at least {rate:d} requests a second")
def at_least(context, index, rate):
    assert share_of(context, index) >= rate, share_of(context, index)


@then("host {index:d} may use at most {rate:d} requests a second")
def at_most(context, index, rate):
    assert share_of(context, index) <= rate, share_of(context, index)


@then("host {index:d} may use exactly {rate:d} requests a second")
def exactly(context, index, rate):
    assert abs(share_of(context, index) - rate) < 1e-9, share_of(context, index)


@then("a refusal there says that the host is cut off")
def refusal_says(context):
    host = context.schedule.hosts[0]
    now_ms = host.clock.read(context.schedule.now)
    refusals = [host.account.admit(100, now_ms) for _ in range(5)]
    assert refusals[-1].cut_off
    assert refusals[-1].retry_after_ms > 0


@then("{count:d} seeded schedules of {hosts:d} hosts stay within the limits")
def schedules(context, count, hosts):
    for seed in range(count * 10 if long_run() else count):
        schedule = ShareSchedule(seed, LIMITS, hosts)
        faults = schedule.run(40_000)
        assert not faults, (seed, faults[0])
        assert len(schedule.admitted) > 50, seed


@then("{count:d} seeded schedules admit at most the limit with one burst in any 5 s")
def bursts(context, count):
    hosts = 6
    # A bucket holds one request at least, and a share may move once a burst.
    most = LIMITS.requests_per_s * (5 + 2 * BURST_S) + hosts
    for seed in range(count):
        schedule = ShareSchedule(seed, LIMITS, hosts)
        schedule.run(40_000)
        assert schedule.most_in(5000) <= most, (seed, schedule.most_in(5000))


@then("cutting hosts off adds at most their running requests to those at once")
def running_bound(context):
    for seed in range(10):
        schedule = ShareSchedule(seed, LIMITS, 6)
        for host in schedule.hosts:
            host.rate = 1.0
        worst = 0
        for _ in range(400):
            schedule.run(100)
            silent = [h for h in schedule.hosts if h.cut_until > schedule.now - 9000]
            cut = sum(host.account.running for host in silent)
            allowed = LIMITS.concurrent_requests + cut
            assert schedule.running() <= allowed, (seed, schedule.now)
            worst = max(worst, schedule.running())
        assert worst > 20


@then(
    "{hosts:d} hosts that share {few:d} at once may run {most:d} at most, and "
    "{kept:d} when they share {many:d}"
)
def small_limits(context, hosts, few, most, kept, many):
    def total(limit):
        split = split_limits(AccountLimits(concurrent_requests=limit), hosts)
        safe = split.safe.concurrent_requests
        return safe * hosts + split.pool.concurrent_requests

    assert total(few) == most
    assert total(many) == kept


class Forgets(ShareAllocator):
    """Plants a fault: only what was granted last counts."""

    def _grant(self, holder, account, now_ms):
        granted = super()._grant(holder, account, now_ms)
        name = account.client_account
        self.holders[holder].accounts[name].amounts = granted
        return granted


class StartsAtOnce(ShareAllocator):
    """Plants a fault: a new allocator gives at once."""

    def __init__(self, started_at_ms):
        super().__init__(started_at_ms)
        self.quiet_until_ms = started_at_ms


class KeepsGrant(HostLimiter):
    """Plants a fault: a grant counts from when it came."""

    def take_grant(self, grant):
        """Take a grant for twice its time."""
        taken = super().take_grant(grant)
        for account in self.accounts.values():
            account.valid_until_ms += taken * grant.duration_ms
        return taken


PLANTED = {
    "an allocator that forgets what hosts hold": {"make_allocator": Forgets},
    "an allocator that starts without a pause": {"make_allocator": StartsAtOnce},
    "a host that keeps its grant past its time": {"make_limiter": KeepsGrant},
}


@then("seeded schedules find {fault}")
def finds(context, fault):
    options = PLANTED[fault]
    assert any(ShareSchedule(s, LIMITS, 6, **options).run(40_000) for s in range(30))


@then("fair shares of random demands are fair")
def fair(context):
    demands = st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 100), min_size=1)

    @hypothesis_given(demands, st.floats(0, 200))
    def check(wanted, pool):
        shares = fair_shares(wanted, pool)
        assert abs(sum(shares.values()) - pool) < 1e-6
        unmet = [shares[h] for h in wanted if shares[h] < wanted[h] - 1e-6]
        for one in unmet:
            assert all(one >= share - 1e-6 for share in shares.values())

    check()
