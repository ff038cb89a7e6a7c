"""Carries one request of a caller to backend servers until it is answered."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway import placement
from tanagerturn.gateway.calls import call
from tanagerturn.gateway.failures import (
    LEAST_TIME_S,
    REACH_TRIES,
    Ending,
    Sendings,
    Step,
    next_step,
)
from tanagerturn.gateway.intake import Intake
from tanagerturn.gateway.logs import part_log
from tanagerturn.gateway.outcomes import log_end, refuse
from tanagerturn.gateway.run import (
    Moved,
    Refusal,
    Run,
    has_to_move,
    rank_of,
    waited_before_s,
)
from tanagerturn.gateway.sending import Sender
from tanagerturn.serving.admission.expected import SentAway, admit

if TYPE_CHECKING:
    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.placement import Choice
    from tanagerturn.gateway.server import Exchange
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.backend import Backend

NO_BACKEND_RETRY_S: Final = 0.4
"""Backend servers that are lost are replaced or reached again after some tenths
of a second at the soonest."""

LOOK_AGAIN_S: Final = 0.25
"""Time after which a waiting request looks for a place even if none was freed
here; places are freed by other gateways, too."""

MOVE_TIMEOUT_S: Final = 0.8
"""Longest time of a move, queued behind others on the same link."""

log = part_log("relay")


class Relay:
    """Answers requests of callers.

    Args:
        state: State of the gateway.
        links: Links to other gateways, which keep limits of client accounts.
    """

    def __init__(self, state: GatewayState, links: Links) -> None:
        self.state = state
        """State of the gateway."""
        self.intake = Intake(state, links)
        """Lets requests in."""
        self.sender = Sender(state, self.wake)
        """Sends them to backend servers."""
        self.waiters: set[asyncio.Future[None]] = set()
        """Requests that wait for a place at a backend server."""

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        run: Run | None = None
        try:
            run = await self.intake.begin(exchange)
            await self._carry(run)
        except Refusal as refusal:
            if run is not None and not run.may_have_run:
                self.intake.give_back(run)
            await refuse(self.state, exchange, run, refusal)
        except asyncio.CancelledError:
            if run is not None:
                log_end(self.state, run, "caller_left")
            raise

    def wake(self) -> None:
        """Let waiting requests look for a place again."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def _carry(self, run: Run) -> None:
        """Send a request until it is answered or given up."""
        moved: Moved | None = None
        while True:
            backend = moved.backend if moved else await self._choose(run)
            ending = await self.sender.send(
                run, backend, moved.kv_copy if moved else None
            )
            if ending is None:
                return
            if self._may_reach_again(run, moved, ending):
                continue
            moved = await self._moved(run)
            if moved is not None:
                continue
            step = self._next_step(run, ending)
            if step is not Step.TRY_ANOTHER:
                await self._give_up(run, step)
                return
            log.info(
                "tried_again",
                request=run.request.attempt_id,
                after=backend.id,
                cause=run.cause,
                sent=run.sent,
            )

    def _may_reach_again(self, run: Run, moved: Moved | None, ending: Ending) -> bool:
        """Tell whether the engine that holds a copy is to be tried once more.

        Nowhere else may a run go on that can't be repeated.
        """
        is_unused = moved is not None and ending is Ending.NOT_SENT
        in_time = run.time_left_s(boot_s()) > LEAST_TIME_S
        return is_unused and in_time and run.unreached < REACH_TRIES

    def _next_step(self, run: Run, ending: Ending) -> Step:
        now_s = boot_s()
        sendings = Sendings(
            run.route.kind,
            run.resumable,
            run.route.most_backends,
            run.sent,
            run.unreached,
            run.may_have_run,
            run.time_left_s(now_s),
        )
        step = next_step(sendings, ending, budget=True)
        if step is not Step.TRY_ANOTHER or not run.sent:
            return step
        window = self.state.retry_window(run.service)
        if window.take(self.state.gateways, now_s):
            return step
        return next_step(sendings, ending, budget=False)

    async def _give_up(self, run: Run, step: Step) -> None:
        if run.exchange.status:
            log_end(self.state, run, "broken_off")
            run.exchange.break_off()
            return
        if run.failure is not None:
            head, body = run.failure
            await run.exchange.respond(head.reply.status, head.headers, body)
            log_end(self.state, run, "failed_by_backend")
            return
        if step is Step.REFUSE:
            raise Refusal(503, run.cause, NO_BACKEND_RETRY_S)
        timed_out = run.time_left_s(boot_s()) <= 0
        raise Refusal(504 if timed_out else 502, run.cause)

    async def _choose(self, run: Run) -> Backend:
        """Return the backend server for the next sending; wait while all are full."""
        while True:
            now_s = boot_s()
            if run.time_left_s(now_s) <= 0:
                raise self._no_place(run, "its time ended while it waited", now_s)
            choice = self._best(run, now_s)
            if choice is None:
                cause = run.cause or f"no backend server of {run.service}"
                raise self._no_place(run, cause, now_s)
            self._send_away_if_late(run, choice, now_s)
            if not choice.is_full:
                run.expected_s, run.pace = choice.first_event_s, choice.pace
                return choice.backend
            await self._wait_for_place(run, now_s)

    def _best(self, run: Run, now_s: float) -> Choice | None:
        """Return where a run would go now, other than where it was."""
        state = self.state
        return placement.choose(
            state.fleet,
            run.service,
            run.request.prompt,
            run.tried,
            state.settings.zone,
            now_s,
        )

    def _send_away_if_late(self, run: Run, choice: Choice, now_s: float) -> None:
        """Refuse a generation that was not sent yet and would be late."""
        if run.request.prompt is None or run.sent:
            return
        before_s = waited_before_s(run.request, run.route)
        admitted = admit(
            choice.first_event_s,
            choice.own_s,
            before_s + now_s - run.exchange.arrived_s,
            run.route.objective_s,
            rank_of(run),
            run.time_left_s(now_s),
        )
        if isinstance(admitted, SentAway):
            run.expected_s = choice.first_event_s
            cause = f"it would be late at {choice.backend.id}"
            raise Refusal(503, cause, admitted.retry_after_s)

    async def _wait_for_place(self, run: Run, now_s: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(min(LOOK_AGAIN_S, run.time_left_s(now_s))):
                await waiter
        except TimeoutError:
            return
        finally:
            self.waiters.discard(waiter)

    def _no_place(self, run: Run, cause: str, now_s: float) -> Refusal:
        if run.may_have_run:
            return Refusal(504 if run.time_left_s(now_s) <= 0 else 502, cause)
        return Refusal(503, cause, NO_BACKEND_RETRY_S)

    def evacuate(self, now_s: float) -> None:
        """Move runs off engines that are about to end."""
        for run in self.sender.running:
            source = run.backend
            if run.moving is None and source and has_to_move(run, now_s):
                run.moving = asyncio.create_task(self._move(run, source))

    async def _move(self, run: Run, source: Backend) -> Moved | None:
        """Stop a run at its engine and copy its memory to another one."""
        target = self._best(run, boot_s())
        if target is None:
            return None
        attempt = run.request.attempt_id
        path, body = self.state.dialect.encode_move(attempt, target.backend.address)
        answered = await call(source.address, path, [], body, MOVE_TIMEOUT_S)
        moved = answered.bind(
            lambda a: self.state.dialect.decode_moved(a.status, a.body, source.address)
        )
        outcome = str(moved.error) if moved.is_error() else "moved"
        log.info(
            "moved",
            request=attempt,
            source=source.id,
            target=target.backend.id,
            events=run.progress.count,
            outcome=outcome,
        )
        return None if moved.is_error() else Moved(target.backend, moved.ok)

    async def _moved(self, run: Run) -> Moved | None:
        """Return where a run goes on after its engine stopped it."""
        if run.moving is None:
            return None
        moving, run.moving = run.moving, None
        return await moving
