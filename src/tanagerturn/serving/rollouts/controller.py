"""Decides on the share of a service's requests that its target version receives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.serving.rollouts.messages import Decision, RolloutState

if TYPE_CHECKING:
    from collections.abc import Collection

    from tanagerturn.serving.rollouts.evidence import VersionEvidence
    from tanagerturn.serving.rollouts.messages import ExposureBound, RolloutOrder

STEP_MS = 100
"""Interval in milliseconds at which the holder of the lease calls `step`."""


class RolloutController:
    """Controller of one rollout, at the holder of the lease.

    A new holder makes one from what is committed; the evidence is collected again.

    Args:
        order: The order, with its time on the clock of `now_ms`.
        bound: Limits on the requests that a bad version may receive.
        now_ms: Current time in milliseconds.
        state: Committed state.
        share: Committed share; 0 for a new order.
    """

    def __init__(
        self,
        order: RolloutOrder,
        bound: ExposureBound,
        now_ms: int,
        state: RolloutState = RolloutState.ACTIVE,
        share: float = 0.0,
    ) -> None:
        self.order = order
        """The order."""
        self.bound = bound
        """Limits on the requests that a bad version may receive."""
        self.state = state
        """State of the rollout."""
        self.share = share
        """Share of the requests for the target, as decided last."""

    def on_evidence(self, sender: str, evidence: VersionEvidence, now_ms: int) -> None:
        """Take in a report; reports of other orders and repeated ones do no harm.

        The report is copied: the caller may go on counting in it.

        Args:
            sender: Host of the gateway.
            evidence: All counters of the gateway's process for the order.
            now_ms: Current time in milliseconds.
        """

    def step(
        self,
        now_ms: int,
        ready_versions: Collection[str],
        gateways: Collection[str] = (),
    ) -> Decision:
        """Return the decision that is due now; call it every `STEP_MS`.

        Args:
            now_ms: Current time in milliseconds.
            ready_versions: Versions with at least one ready backend server.
            gateways: Hosts of the gateways that are known to be alive. A completion waits
                for the reports of all of them; if empty, of those that have reported.
        """
        return Decision(self.state, self.share, "", 0)
