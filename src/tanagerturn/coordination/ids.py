"""Ids and numbers of the coordination library."""

from __future__ import annotations

from typing import NewType

ClusterId = NewType("ClusterId", str)
"""Name of a cluster; messages and files of another cluster are rejected."""

GroupId = NewType("GroupId", str)
"""Name of a replication group."""

MemberId = NewType("MemberId", str)
"""Id of a state member; a member whose disk was replaced gets a new id."""

ProcessId = NewType("ProcessId", str)
"""Id of a process, unique in the cluster."""

LeaseName = NewType("LeaseName", str)
"""Name of a lease."""

FencingNumber = NewType("FencingNumber", int)
"""Number of one holding of a lease; each new holder gets a larger number."""

Revision = NewType("Revision", int)
"""Revision of the replicated store; each write transaction increments it."""

Term = NewType("Term", int)
"""Election term of a replication group."""

LogIndex = NewType("LogIndex", int)
"""Index of an entry in a replicated log, from 1."""

ChangeId = NewType("ChangeId", str)
"""Idempotency key of a change; a change whose id is stored is not applied again."""

FoundingValue = NewType("FoundingValue", str)
"""Encoded first members of a replication group, on which the hosts with a disk agree;
empty for none."""
