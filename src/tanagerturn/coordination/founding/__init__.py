"""Agreement on the first members of a replication group, at a deployment's first start.

The hosts with a disk agree on one list of first members (single-decree Paxos, Lamport
2001, with a host set that each host learns). The group is founded with all of them at
once, so it never depends on a single one, and any host may propose. `FoundingCore` does
no I/O and reads no clock.
"""
