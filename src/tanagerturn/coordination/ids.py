"""Ids and numbers of the coordination library."""

from __future__ import annotations

from typing import NewType

ClusterId = NewType("ClusterId", str)
"""Name of a cluster; members of another cluster are refused."""

GroupId = NewType("GroupId", str)
"""Name of a replication group."""

MemberId = NewType("MemberId", str)
"""Name of a state member; a replaced disk gets a new one."""

ProcessId = NewType("ProcessId", str)
"""Name of a process, unique in the cluster."""

LeaseName = NewType("LeaseName", str)
"""Name of a lease."""

FencingNumber = NewType("FencingNumber", int)
"""Number of a lease's holder; it only grows."""

Revision = NewType("Revision", int)
"""Number of a write to the replicated store; it only grows."""

Term = NewType("Term", int)
"""Election term of a replication group."""

LogIndex = NewType("LogIndex", int)
"""Position in a replicated log, from 1."""

ChangeId = NewType("ChangeId", str)
"""Name of a change; one id is applied once."""
