"""Reads answers that arrive just after their request was given up.

A backend server that answers at the deadline which it was given, or as the caller
leaves, may state a pause or its departure in that answer, which has to be obeyed.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.backends.exchange import ResponseError
from tanagerturn.gateway.logs import component_log

if TYPE_CHECKING:
    from tanagerturn.gateway.backends.exchange import BackendExchange

LATE_ANSWER_S: Final = 0.1
"""Time in seconds for which an answer is awaited after the request was given up: many
round trips, and short beside the time within which a request has to be cancelled."""

log = component_log("relay")


class LateAnswers:
    """Connections whose request was given up before the head of its response."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        """Readers of these connections."""

    def read(self, exchange: BackendExchange) -> None:
        """Cancel the request of an exchange, and read an answer that is on its way.

        The connection is closed in this direction at once, which cancels the request,
        and wholly after at most `LATE_ANSWER_S`.
        """
        exchange.connection.tcp.end_writing()
        task = asyncio.create_task(_read(exchange))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


async def _read(exchange: BackendExchange) -> None:
    try:
        async with asyncio.timeout(LATE_ANSWER_S):
            head = await exchange.read_head()
    except (ResponseError, TimeoutError):
        return
    finally:
        exchange.connection.close()
    log.info(
        "late_answer",
        request=exchange.attempt_id,
        backend=exchange.connection.backend_id,
        status=head.reply.status,
    )
