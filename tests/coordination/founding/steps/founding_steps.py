"""Steps of founding.feature."""

from __future__ import annotations

from random import Random
from unittest import mock

from behave import given, then, when

from support import founding_explorer
from support.environment import long_run
from support.founding_explorer import failures
from tanagerturn.coordination.founding import core
from tanagerturn.coordination.founding.core import FoundingCore, FoundingOptions
from tanagerturn.coordination.founding.first_members import (
    FirstMembers,
    addresses_to_order,
    choose_first_members,
    decode_value,
    encode_first_members,
    members_to_start,
)
from tanagerturn.coordination.founding.messages import Answer, Order
from tanagerturn.coordination.founding.votes import (
    NO_VALUE,
    Round,
    Vote,
    decode_vote,
    value_to_propose,
)
from tanagerturn.coordination.ids import FoundingValue
from tanagerturn.schema import coordination_pb2 as pb

LONG_FACTOR = 20
PLANTED_SEEDS = range(1000)


@then(
    "in {count:d} seeded first starts exactly one group is founded, "
    "and it accepts in time"
)
def one_group(context, count):
    found = failures(range(count * LONG_FACTOR if long_run() else count))
    assert not found, "\n".join(found[:5])


def assert_found(patch):
    """Check that some seed fails while the patch is in force."""
    with patch:
        assert any(failures([seed]) for seed in PLANTED_SEEDS)


@then("a proposer that founds the group alone makes a seeded first start fail")
def lone_founder_found(context):
    assert_found(
        mock.patch.object(core, "choose_first_members", lambda own, *rest: [own])
    )


@then("agreement by a single vote makes a seeded first start fail")
def single_vote_found(context):
    assert_found(mock.patch.object(core, "required_votes", return_value=1))


@then("a proposer that ignores votes makes a seeded first start fail")
def ignoring_proposer_found(context):
    assert_found(mock.patch.object(core, "value_to_propose", lambda votes: NO_VALUE))


@then("an empty disk that votes as a first one makes a seeded first start fail")
def voting_empty_disk_found(context):
    real = founding_explorer.FirstStart.start

    def start(self, node, is_first_start):
        real(self, node, True)

    assert_found(mock.patch.object(founding_explorer.FirstStart, "start", start))


@then("a host that forgets its vote at a restart makes a seeded first start fail")
def forgetful_host_found(context):
    forget = mock.patch.object(founding_explorer, "decode_vote", lambda stored: Vote())
    assert_found(forget)


@then("a seed that does not count before it is seen makes a seeded first start fail")
def uncounted_seed_found(context):
    real = FoundingCore.__init__

    def init(self, *args):
        real(self, *args)
        self.hosts = {self.options.address: self.options.host}

    with (
        mock.patch.object(FoundingCore, "__init__", init),
        mock.patch.object(FoundingCore, "_rank", lambda self: 0),
    ):
        assert_found(mock.patch.object(core, "WITNESS_COUNT", 0))


@then("a proposal that only the first seed makes makes a seeded first start fail")
def first_seed_only_found(context):
    def may_propose(self, now_s):
        is_first_seed = self.options.seeds[0] == self.options.address
        return is_first_seed and real(self, now_s)

    real = FoundingCore._may_propose
    assert_found(mock.patch.object(FoundingCore, "_may_propose", may_propose))


@then("a stored vote is read back, and with any byte missing it is refused")
def vote_read_back(context):
    for agreed in ("", '[["m2","h2","z",""]]'):
        vote = Vote(Round(3, "h1"), Round(2, "h2"), "h2", agreed)
        stored = vote.to_bytes()
        assert decode_vote(stored) == vote
        for length in range(len(stored)):
            try:
                decode_vote(stored[:length])
            except ValueError:
                continue
            raise AssertionError(stored[:length])


@then("a vote of an earlier version is read")
def earlier_vote_read(context):
    vote = decode_vote(b'[3,"h1",2,"h2","h2"]')
    assert vote == Vote(Round(3, "h1"), Round(2, "h2"), FoundingValue("h2"))


def member(number, zone="a", incarnation="x"):
    return pb.Member(
        id=f"h{number}-{incarnation}",
        address=f"a{number}",
        role=pb.VOTER,
        availability_zone=zone,
        incarnation=incarnation,
    )


@given(
    "a proposer in zone a, responding hosts in zones a, b and b, and a silent one in c"
)
def candidates(context):
    context.own = member(1)
    zones = {2: "a", 3: "b", 4: "b"}
    context.responding = {f"a{n}": member(n, z) for n, z in zones.items()}
    context.responding["a1"] = context.own
    context.others = {**context.responding, "a5": member(5, "c")}


def chosen_ids(context, count):
    chosen = choose_first_members(
        context.own, context.responding, context.others, count
    )
    return [each.id for each in chosen]


@then("the first 3 members are the proposer and responding hosts of zones b and a")
def three_members(context):
    assert chosen_ids(context, 3) == ["h1-x", "h3-x", "h2-x"]


@then("the first 5 members include the silent one")
def five_members(context):
    assert chosen_ids(context, 5) == ["h1-x", "h3-x", "h2-x", "h4-x", "h5-x"]


@then("a list of members is read back, and its hosts start with all of them")
def members_read_back(context):
    members = (member(1), member(2, "b"), member(3, "c"))
    value = encode_first_members(members)
    assert decode_value(value) == FirstMembers(members)
    assert members_to_start(decode_value(value), "h2", member(2, "b")) == members
    assert members_to_start(decode_value(value), "h4", member(4)) == ()
    assert addresses_to_order(decode_value(value), {}) == ["a1", "a2", "a3"]


@then("a member on a replaced disk does not start")
def replaced_disk(context):
    value = decode_value(encode_first_members([member(1), member(2), member(3)]))
    assert members_to_start(value, "h2", member(2, incarnation="y")) == ()


@then("the name of a host makes that host start alone")
def sole_founder(context):
    value = decode_value(FoundingValue("h2"))
    assert members_to_start(value, "h2", member(2)) == (member(2),)
    assert members_to_start(value, "h1", member(1)) == ()
    assert addresses_to_order(value, {"a1": "h1", "a2": "h2"}) == ["a2"]


def make_core(number, seeds, losses=1, vote=None):
    options = FoundingOptions(
        f"h{number}", member(number), seeds, losses, may_vote=True
    )
    made = FoundingCore(options, vote or Vote(), Random(number))
    made.sent_orders = []
    return made


@given("4 hosts that know each other")
def four_hosts(context):
    context.cores = {f"a{n}": make_core(n, ("a1", "a2", "a3")) for n in range(1, 5)}
    context.absent = set()
    for each in context.cores.values():
        for n in range(1, 5):
            each.on_report(f"a{n}", f"h{n}", member(n), may_vote=True)
        each.tick(0.0)


@given("4 hosts that know each other, of which {lost} do not run")
def lost_hosts(context, lost):
    four_hosts(context)
    if lost != "no host":
        context.absent = {lost.replace("h", "a")}


def play(context, until_s, from_s=0.0):
    """Deliver all messages at once; return the hosts that proposed, in order."""
    proposers, now_s = [], from_s
    running = {a: c for a, c in context.cores.items() if a not in context.absent}
    while now_s < until_s:
        now_s += 0.05
        for address, each in running.items():
            each.tick(now_s)
            deliver(running, address, now_s, proposers)
    return proposers


def deliver(running, address, now_s, proposers):
    ready = running[address].take_ready()
    running[address].sent_orders += ready.orders
    for receiver, order in ready.orders:
        if receiver in running:
            running[receiver].on_order(order, now_s)
    for receiver, ballot in ready.ballots:
        proposers.append(ballot.round.proposer)
        if receiver in running:
            answer = running[receiver].on_ballot(ballot, now_s)
            running[address].on_answer(receiver, ballot, answer, now_s)
    if ready.ballots:
        deliver(running, address, now_s, proposers)


@then("{proposer} proposes within {limit_s:g} s, and the group is agreed on")
def proposes(context, proposer, limit_s):
    proposers = play(context, limit_s)
    assert set(proposers) == {proposer}, proposers
    first = context.cores[proposer.replace("h", "a")]
    value = decode_value(first.vote.agreed)
    assert len(value.members) == 3
    lost = {address.replace("a", "h") + "-x" for address in context.absent}
    assert not lost & {each.id for each in value.members}


@when("a group is known to exist")
def group_known(context):
    for each in context.cores.values():
        each.on_group_known()


@given("a host that knows one other of 3 seeds that are not heard from")
def lonely_host(context):
    lonely = make_core(4, ("a1", "a2", "a3"))
    lonely.on_report("a5", "h5", member(5), may_vote=True)
    context.cores, context.absent = {"a4": lonely}, set()


@then("none proposes within {limit_s:g} s")
def none_proposes(context, limit_s):
    assert not play(context, limit_s)


@given("10 hosts of which 2 may be lost, split into halves with seeds of their own")
def two_halves(context):
    seeds = ("a1", "a2", "a6")
    context.cores = {f"a{n}": make_core(n, seeds, losses=2) for n in range(1, 11)}
    context.absent = set()
    for half in (range(1, 6), range(6, 11)):
        for n in half:
            for other in half:
                report = (f"a{other}", f"h{other}", member(other))
                context.cores[f"a{n}"].on_report(*report, may_vote=True)
            context.cores[f"a{n}"].add_witnesses(["w"])


@then("no half proposes first members while a gateway without a disk names the others")
def no_half_proposes(context):
    hosts = {f"a{n}": f"h{n}" for n in range(1, 11)}
    halves = [{f"a{n}" for n in half} for half in (range(1, 6), range(6, 11))]
    asked, now_s = 0, 0.0
    while now_s < 6.0:
        now_s += 0.05
        for address, each in context.cores.items():
            each.tick(now_s)
            half = next(h for h in halves if address in h)
            for receiver, ballot in each.take_ready().ballots:
                assert not ballot.value, ballot
                if receiver == "w":
                    asked += 1
                    each.on_answer("w", ballot, Answer(False, Vote(), hosts), now_s)
                elif receiver in half:
                    answer = context.cores[receiver].on_ballot(ballot, now_s)
                    each.on_answer(receiver, ballot, answer, now_s)
    assert asked


@when("the last of them is ordered to propose")
def ordered(context):
    play(context, 0.5)
    context.cores["a4"].on_order(Order(NO_VALUE), 0.85)


@then("the last of them proposes at once")
def proposes_at_once(context):
    ballots = context.cores["a4"].take_ready().ballots
    assert {receiver for receiver, _ in ballots} == {"a1", "a2", "a3"}


@given("4 hosts that know each other, and a host of an earlier version was accepted")
def earlier_founder(context):
    four_hosts(context)
    accepted = Vote(Round(1, "h4"), Round(1, "h4"), FoundingValue("h4"))
    for address in ("a2", "a3"):
        context.cores[address].vote = accepted
    assert value_to_propose([accepted, Vote()]) == "h4"


@then("that host is agreed on, and is ordered to found the group")
def earlier_founder_ordered(context):
    now_s = 0.0
    while now_s < 4.0:
        now_s += 0.05
        for address, each in context.cores.items():
            each.tick(now_s)
            deliver(context.cores, address, now_s, [])
    assert context.cores["a1"].vote.agreed == "h4"
    assert ("a4", Order(NO_VALUE)) in context.cores["a1"].sent_orders
