"""Replication groups that every state member takes part in."""

from __future__ import annotations

from typing import Final

from tanagerturn.coordination.ids import GroupId

CONTROL_GROUP: Final = GroupId("control")
"""Name of the group that stores settings, leases, orders and reclaims."""

REQUESTS_GROUP: Final = GroupId("requests")
"""Name of the group that stores request records."""

GROUPS: Final = (CONTROL_GROUP, REQUESTS_GROUP)
"""Names of all groups that a state member starts."""
