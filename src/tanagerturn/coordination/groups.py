"""Names of the replication groups that every state member carries."""

from __future__ import annotations

from typing import Final

from tanagerturn.coordination.ids import GroupId

CONTROL_GROUP: Final = GroupId("control")
"""Settings, leases, orders and reclaims."""

REQUESTS_GROUP: Final = GroupId("requests")
"""Request records."""

GROUPS: Final = (CONTROL_GROUP, REQUESTS_GROUP)
"""Groups that a state member starts."""
