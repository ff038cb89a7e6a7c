"""Decides on the share of a service's requests that its target version receives.

The share stays small for most of the rollout and then becomes 1 for a short time at the
end, so that a version that becomes bad late, or only under load, is still unproven when
the requests at it are few. `_budget.py` derives the shares from `ExposureBound`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.serving.rollouts._budget import ExposureBudget
from tanagerturn.serving.rollouts._reports import Reports
from tanagerturn.serving.rollouts.messages import Decision, RolloutState
from tanagerturn.serving.rollouts.verdict import VersionTest

if TYPE_CHECKING:
    from collections.abc import Collection

    from tanagerturn.serving.rollouts.evidence import VersionEvidence
    from tanagerturn.serving.rollouts.messages import ExposureBound, RolloutOrder

STEP_MS: Final = 100
"""Interval in milliseconds at which the holder of the lease calls `step`."""

PAUSE_MS: Final = 500
"""Interval between two steps from which this process may have been paused. Reports may
then wait unread, so no permission is issued before the next step."""

STAGES: Final = (0.01, 0.02, 0.03, 0.05, 0.08, 0.12, 0.2, 0.35, 0.5)
"""Shares before all requests go to the target. Few values, since each is committed."""

KEPT: Final = 1.5
RAISED: Final = 1.6
"""Factors between the share in use and the planned one within which it is kept, since
each change is committed."""

START_SHARE: Final = 0.05
"""Highest share before the target has `START_RESPONSES`."""

START_RESPONSES: Final = 15
"""Number of responses of the target after which its share may exceed `START_SHARE`."""

START_MS: Final = 2000
"""Time in milliseconds in which services with few requests may reach that number."""

WANTED_RESPONSES: Final = 40
"""Number of responses of the target that should be tested before it gets all requests.
A version of which a fifth of the responses is bad passes them without a verdict in less
than 1 of 20 rollouts, and is found in the next ones."""

MIN_RESPONSES: Final = 3
"""Number of responses of the target without which it does not get all requests. Slow
services with short rollouts reach no more."""

SUSPICION: Final = 0.5
"""Level of the test from which the last stage does not begin early, and the share is
one that soon gives `SUSPECT_RESPONSES`. With a lower share a good version stayed
suspect after a burst until the duration ended."""

SUSPECT_RESPONSES: Final = 20
"""Number of responses within `START_MS` that settle a suspicion."""

STRONG_SUSPICION: Final = 0.75
"""Level from which the target neither gets all requests nor is completed. Two defective
backend servers of a good version reach 0.7."""

COMMIT_MS: Final = 800
"""Time in milliseconds reserved for the commit of `COMPLETED` before the duration
ends: a commit took 0.4 s, and a read by the operator follows."""

FULL_RESPONSES: Final = 150
"""Number of responses of the target, with all requests there, that are waited for
before `COMPLETED` while the budget and the time last. They show faults under load."""

MAX_FULL_SHARE: Final = 0.25
"""Upper bound on the time that this takes, as a share of the duration."""

SETTLE_MS: Final = 300
"""Least time in milliseconds with all requests at the target before `COMPLETED`; it is
as long as reports take, so that they show faults under load."""

MAX_SETTLE_SHARE: Final = 0.1
"""Upper bound on that time as a share of the duration."""

WANTED_SETTLE_MS: Final = 1500
"""The same while the budget lasts: slow responses are noticed by their age."""

SPARE_SHARE: Final = 0.2
"""Share of the duration that is kept for a change of the holder during the last
stage."""

MAX_SPARE_MS: Final = 3500
"""Upper bound on that time in milliseconds: detection, election and new reports."""


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
        self.reports = Reports(order, now_ms)
        """Latest reports of the gateways."""
        self.test = VersionTest()
        """Test of the target."""
        self.budget = ExposureBudget(bound, order.duration_ms)
        """Requests that the target may still get."""
        self.is_new = share == 0.0
        """Whether the target has not received requests before."""
        self.began_ms = now_ms
        """Time in milliseconds from which this controller has collected reports."""
        self.stepped_ms = now_ms
        """Time of the last step in milliseconds."""
        self.full_since_ms: int | None = None
        """Time in milliseconds from which this controller has issued a share of 1."""
        self.settled_ms: int | None = None
        """Time in milliseconds from which all gateways have applied it."""
        self.responses_before = 0
        """Number of responses of the target before that time."""

    @property
    def end_ms(self) -> int:
        """Time in milliseconds at which the state must have been decided."""
        return self.order.ordered_ms + self.order.duration_ms - COMMIT_MS

    def on_evidence(self, sender: str, evidence: VersionEvidence, now_ms: int) -> None:
        """Take in a report; reports of other orders and repeated ones do no harm.

        The report is copied: the caller may go on counting in it.

        Args:
            sender: Host of the gateway.
            evidence: All counters of the gateway's process for the order.
            now_ms: Current time in milliseconds.
        """
        if evidence.number != self.order.number or self.state is not (
            RolloutState.ACTIVE
        ):
            return
        others, target = self.reports.add(sender, evidence, now_ms)
        for route, counts in others.items():
            self.test.add_others(route, counts)
        self.test.add_target(target)

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
            gateways: Hosts of the gateways that are known to be alive. A completion
                waits for the reports of all of them; if empty, of those that have
                reported.
        """
        if self.state is not RolloutState.ACTIVE:
            return self._decide(self.state, self.share, "ended")
        was_paused = now_ms - self.stepped_ms > PAUSE_MS
        self.stepped_ms = now_ms
        self.test.step(now_ms)
        self.test.test_waiting(*self.reports.waiting())
        if self.test.finding:
            return self._decide(RolloutState.ROLLED_BACK, 0.0, self.test.finding)
        loop_ms = self.reports.loop_ms(gateways, now_ms)
        self.budget.update(self.reports, self.share, now_ms)
        if now_ms >= self.end_ms:
            return self._end()
        if self.order.target not in ready_versions:
            self._leave_full()
            return self._decide(self.state, 0.0, "no backend server is ready")
        if was_paused or not self._knows_enough(gateways, loop_ms, now_ms):
            return Decision(self.state, self.share, "waiting for reports", 0)
        if self._is_full_due(loop_ms, now_ms):
            return self._step_full(gateways, now_ms, loop_ms)
        return self._step_partial(loop_ms, now_ms)

    def valid_ms(self, loop_ms: int) -> int:
        """Return the validity of a permission in milliseconds.

        It outlasts the spread of the next one, and is at most half of `rollback_ms`, so
        that a gateway that gets no rollback stops in time.

        Args:
            loop_ms: Time in milliseconds until reports reflect a permission.
        """
        longest_ms = self.bound.rollback_ms // 2
        return min(longest_ms, max(1000, loop_ms + 2 * STEP_MS))

    def _decide(
        self, state: RolloutState, share: float, reason: str, loop_ms: int = 0
    ) -> Decision:
        if state is RolloutState.COMPLETED:
            share = 1.0
        self.state, self.share = state, share
        return Decision(state, share, reason, self.valid_ms(loop_ms))

    def _knows_enough(
        self, gateways: Collection[str], loop_ms: int, now_ms: int
    ) -> bool:
        """Return whether the reports suffice for a permission.

        A new holder does not know yet what the target has received. A gateway without a
        report has got no permission from this controller, so a lost one does not matter
        after a while.
        """
        if self.is_new or now_ms - self.began_ms >= loop_ms:
            return bool(self.reports.latest)
        return bool(self.reports.latest) and all(
            sender in self.reports.latest for sender in gateways
        )

    def _full_ms(self, loop_ms: int) -> int:
        """Return the time in milliseconds that the last stage takes."""
        return loop_ms + self._settle_ms(loop_ms) + STEP_MS

    def _settle_ms(self, loop_ms: int) -> int:
        longest_ms = int(MAX_SETTLE_SHARE * self.order.duration_ms)
        return max(SETTLE_MS, min(loop_ms, longest_ms))

    def _is_full_due(self, loop_ms: int, now_ms: int) -> bool:
        if self.test.responses < MIN_RESPONSES or self.test.level >= STRONG_SUSPICION:
            return self.full_since_ms is not None
        latest_ms = self.end_ms - self._full_ms(loop_ms)
        if now_ms >= latest_ms:
            is_small = self.budget.allows_full(self.end_ms - now_ms)
            return is_small or self.test.responses >= START_RESPONSES
        if self.full_since_ms is not None:
            return self.budget.allows_full(STEP_MS)
        begin_ms = latest_ms - self._spare_ms()
        if self.test.level >= SUSPICION or now_ms < begin_ms - self._test_ms():
            return False
        if self.budget.allows_full(self.end_ms + COMMIT_MS - now_ms):
            return True
        exposed_ms = float(self._full_ms(loop_ms) + loop_ms)
        if now_ms < begin_ms:
            exposed_ms += self._test_ms()
        is_known = self.test.responses >= WANTED_RESPONSES
        return is_known and self.budget.allows_full(exposed_ms)

    def _spare_ms(self) -> float:
        """Return the time in milliseconds that is kept for a change of the holder."""
        return min(MAX_SPARE_MS, SPARE_SHARE * self.order.duration_ms)

    def _test_ms(self) -> float:
        """Return the time in milliseconds in which `FULL_RESPONSES` should arrive."""
        rate_per_ms = self.budget.rate_per_ms
        wanted_ms = FULL_RESPONSES / rate_per_ms if rate_per_ms else 0.0
        wanted_ms = max(wanted_ms, WANTED_SETTLE_MS - SETTLE_MS)
        return min(MAX_FULL_SHARE * self.order.duration_ms, wanted_ms)

    def _step_full(
        self, gateways: Collection[str], now_ms: int, loop_ms: int
    ) -> Decision:
        if self.full_since_ms is None:
            self.full_since_ms = now_ms
        if not self.reports.have_applied(self.full_since_ms, gateways, now_ms):
            self.settled_ms = None
        elif self.settled_ms is None:
            self.settled_ms = now_ms
            self.responses_before = self.test.responses
        settled_ms = 0 if self.settled_ms is None else now_ms - self.settled_ms
        is_suspect = self.test.level >= STRONG_SUSPICION
        # Old requests that still run and responses under load are waited for while the
        # budget lasts; the time is bounded by the end of the duration.
        is_tested = self.test.responses - self.responses_before >= FULL_RESPONSES
        is_waiting = settled_ms < WANTED_SETTLE_MS or not is_tested
        is_waiting = is_waiting or self.reports.runs_old(now_ms)
        may_wait = is_waiting and self.budget.allows_full(loop_ms)
        begin_ms = self.end_ms - self._full_ms(loop_ms) - self._spare_ms()
        if not may_wait and not is_tested and now_ms < begin_ms:
            # There is time to try again with more budget, or at the end.
            return self._step_partial(loop_ms, now_ms)
        if settled_ms >= self._settle_ms(loop_ms) and not may_wait and not is_suspect:
            return self._decide(
                RolloutState.COMPLETED, 1.0, "all requests at the target"
            )
        return self._decide(self.state, 1.0, "moving all requests", loop_ms)

    def _step_partial(self, loop_ms: int, now_ms: int) -> Decision:
        self._leave_full()
        share = self._partial_share(loop_ms, now_ms)
        return self._decide(self.state, share, "collecting evidence", loop_ms)

    def _leave_full(self) -> None:
        self.full_since_ms = self.settled_ms = None

    def _partial_share(self, loop_ms: int, now_ms: int) -> float:
        full_ms = self._full_ms(loop_ms)
        reserve_ms = full_ms + self._spare_ms() + self._test_ms()
        left_ms = max(self.end_ms - reserve_ms - now_ms, 2.0 * loop_ms)
        exposed_ms = full_ms + self._test_ms() + loop_ms
        planned = self.budget.planned_share(left_ms, full_ms + loop_ms, exposed_ms)
        # Evidence comes before a reserve for the last stage that may never be used.
        missing = WANTED_RESPONSES - self.test.responses
        wanted = self.budget.share_for(missing, left_ms - loop_ms)
        share = max(planned, min(wanted, self.bound.share))
        if self.test.responses < START_RESPONSES:
            soon = self.budget.share_for(START_RESPONSES, START_MS)
            share = min(share, max(START_SHARE, soon))
        if self.test.level >= SUSPICION:
            share = self.budget.share_for(SUSPECT_RESPONSES, START_MS)
            share = max(share, min(self.share, STAGES[-1]))
        share = max(share, STAGES[0])
        if left_ms <= 2.0 * loop_ms and self.test.responses >= START_RESPONSES:
            share = min(share, self.share)
        highest = self.budget.highest_share(self.valid_ms(loop_ms))
        if self.share <= min(highest, KEPT * share) and share < RAISED * self.share:
            return self.share
        share = min(share, highest)
        return max((stage for stage in STAGES if stage <= share), default=0.0)

    def _end(self) -> Decision:
        """Decide at the end of the duration.

        A version without a finding is completed if all requests were being moved to it,
        even if some gateways have not reported that; all others are rolled back.
        """
        is_suspect = self.test.level >= STRONG_SUSPICION
        if self.full_since_ms is not None and not is_suspect:
            return self._decide(RolloutState.COMPLETED, 1.0, "the duration has ended")
        reason = "not enough evidence in time"
        if not self.test.responses:
            reason = "no response of the target in time"
        return self._decide(RolloutState.ROLLED_BACK, 0.0, reason)
