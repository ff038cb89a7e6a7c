"""Replication groups that every state member takes part in."""

from __future__ import annotations

from typing import Final

from tanagerturn.coordination.ids import GroupId

CONTROL_GROUP: Final = GroupId("control")
"""Group of the settings, leases, orders and reclaims."""

REQUESTS_GROUP: Final = GroupId("requests")
"""Group of the request records."""

GROUPS: Final = (CONTROL_GROUP, REQUESTS_GROUP)
"""All groups that a state member starts."""
