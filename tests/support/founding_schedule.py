"""Seeded first starts: hosts are frozen, killed or wiped while one founds the group.

Run some: PYTHONPATH=src:tests python -m support.founding_schedule FIRST-LAST
"""

from __future__ import annotations

import heapq
import sys
from random import Random
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.state_group.founding import (
    Round,
    Vote,
    decode_vote,
    founder_to_propose,
    merge_hosts,
    next_round,
    required_votes,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

TOLERATED_LOSSES: Final = 1
ORDER_INTERVAL_S: Final = 0.15
DIGEST_MAX_AGE_S: Final = 4.0
VOTE_TIMEOUT_S: Final = 0.6
LENGTH_S: Final = 40.0


class Host:
    """A host with a disk at its first start."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.disk = Vote().to_bytes()
        """The stored vote."""
        self.known = {name: name}
        self.frozen_until_s = 0.0
        self.starts = 1
        """Number of starts of the process; calls of an earlier one are forgotten."""
        self.is_proposing = False
        self.seen = Vote()
        """Latest round that another host has stated."""
        self.has_founded = False

    @property
    def vote(self) -> Vote:
        """What the host has promised and accepted."""
        return decode_vote(self.disk)


class FirstStart:
    """Hosts of which the first seed orders one after the other to propose itself."""

    def __init__(self, seed: int, *, agrees: bool = True) -> None:
        self.random = Random(seed)
        self.agrees = agrees
        """Whether hosts agree first; as before, an ordered host founds at once."""
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        count = self.random.randrange(3, 7)
        self.hosts = {f"h{n}": Host(f"h{n}") for n in range(count)}
        self.seen_s = dict.fromkeys(self.hosts, 0.0)
        self.founders: list[str] = []

    def run(self) -> None:
        """Run the first start; at most one fault is in effect at a time."""
        self._order()
        self.at(self.random.uniform(0.3, 1.0), self._start_fault)
        while self.events and self.events[0][0] < LENGTH_S:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        order = self.random.randrange(1 << 30)
        heapq.heappush(self.events, (self.now + delay_s, order, action))

    def send(self, host: Host, action: Callable[[Host], None]) -> None:
        """Deliver a message, once or twice, when the host runs."""
        start = host.starts

        def deliver() -> None:
            if self.now < host.frozen_until_s:
                wait_s = host.frozen_until_s - self.now
                self.at(wait_s + self.random.random() * 0.02, deliver)
            elif host.starts == start:
                action(host)

        for _ in range(1 + (self.random.random() < 0.1)):
            self.at(self.random.random() ** 3 * 0.3, deliver)

    def _order(self) -> None:
        """As the first seed, order the first host that was seen lately."""
        self.at(ORDER_INTERVAL_S, self._order)
        for host in self.hosts.values():
            if self.now >= host.frozen_until_s:
                self.seen_s[host.name] = self.now
        recent = [
            host
            for host in self.hosts.values()
            if self.now - self.seen_s[host.name] < DIGEST_MAX_AGE_S
        ]
        if self.founders or self.now < 0.3:
            return
        known = {name: name for name in self.hosts}
        self.send(recent[0], lambda host: self._on_order(host, known))

    def _on_order(self, host: Host, known: dict[str, str]) -> None:
        if not self.agrees:
            self._found(host)
            return
        host.known = merge_hosts(host.known, known.items())
        if host.has_founded or host.is_proposing:
            return
        host.is_proposing = True
        current = next_round(host.name, [host.vote, host.seen])

        def on_promised(votes: list[Vote]) -> None:
            founder = founder_to_propose(host.name, votes)
            self._ask(host, current, founder, lambda _: self._on_agreed(founder))

        self._ask(host, current, "", on_promised)

    def _on_agreed(self, founder: str) -> None:
        self.send(self.hosts[founder], self._found)

    def _ask(
        self,
        proposer: Host,
        current: Round,
        founder: str,
        then: Callable[[list[Vote]], None],
    ) -> None:
        votes: dict[str, Vote] = {}
        required = required_votes(len(proposer.known), TOLERATED_LOSSES)
        start, is_done = proposer.starts, [False]

        def on_vote(name: str, vote: Vote | None, promised: Round) -> None:
            if proposer.starts != start or is_done[0]:
                return
            if vote is None:
                proposer.seen = Vote(max(proposer.seen.promised, promised))
                return
            votes[name] = vote
            if required is not None and len(votes) >= required:
                is_done[0] = True
                then(list(votes.values()))

        def vote_of(host: Host) -> None:
            vote = host.vote
            changed = (
                vote.on_accept(current, founder)
                if founder
                else vote.on_prepare(current)
            )
            if changed is not None:
                host.disk = changed.to_bytes()
            promised = host.vote.promised
            self.send(proposer, lambda _: on_vote(host.name, changed, promised))

        def give_up() -> None:
            if proposer.starts == start and (not is_done[0] or founder):
                proposer.is_proposing = False

        for name in proposer.known:
            self.send(self.hosts[name], vote_of)
        self.at(VOTE_TIMEOUT_S, give_up)

    def _found(self, host: Host) -> None:
        if not host.has_founded:
            host.has_founded = True
            self.founders.append(host.name)

    def _start_fault(self) -> None:
        host = self.random.choice(list(self.hosts.values()))
        if self.random.random() < 0.7:
            host = self.hosts["h0"]
        kind, length_s = self.random.randrange(3), self.random.uniform(0.5, 8.0)
        host.frozen_until_s = self.now + length_s
        if kind:
            host.starts += 1
            host.is_proposing = False
        if kind == 2 and not host.has_founded:
            host.disk = Vote().to_bytes()
        self.at(length_s + 4.0 + self.random.random(), self._start_fault)


def failures(seeds: Iterable[int], *, agrees: bool = True) -> list[str]:
    """Run first starts; return a text for each one without exactly one group."""
    found = []
    for seed in seeds:
        run = FirstStart(seed, agrees=agrees)
        run.run()
        if len(run.founders) != 1:
            found.append(f"seed {seed}: founded by {run.founders or 'no host'}")
    return found


if __name__ == "__main__":
    first, _, last = sys.argv[1].partition("-")
    for failure in failures(range(int(first), int(last or first) + 1)):
        print(failure)
