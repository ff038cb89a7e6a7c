"""A state client that loses requests and answers at random."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error

from tanagerturn.coordination.errors import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from tanagerturn.coordination.local import LocalStateClient


class FaultyClient:
    """Passes calls to a `LocalStateClient`, or loses them.

    Args:
        inner: Client that the calls are passed to.
        random: Decides which requests and answers are lost.
        loss: Probability that a request is lost, and that an answer is lost.
    """

    def __init__(self, inner: LocalStateClient, random: Random, loss: float) -> None:
        self.inner = inner
        self.random = random
        self.loss = loss
        self.isolated = False
        self.now_ms = 0
        self.between: Callable[[], None] = lambda: None

    def _lost(self, step: str):
        if self.isolated or self.random.random() < self.loss:
            return Error(UnavailableError(step, "state", "no answer"))
        return None

    def propose(self, group, command, timeout_s):
        """Apply a command; the request or the answer may be lost."""
        self.between()
        command.accepted_at_ms = self.now_ms
        lost = self._lost("propose")
        if lost:
            return lost
        result = self.inner.propose(group, command, timeout_s)
        return self._lost("propose") or result

    def read(self, group, key, timeout_s):
        """Read one key."""
        return self._lost("read") or self.inner.read(group, key, timeout_s)

    def scan(self, group, prefix, timeout_s, after_key="", limit=1000):
        """Read keys under a prefix."""
        lost = self._lost("scan")
        return lost or self.inner.scan(group, prefix, timeout_s, after_key, limit)

    def lease(self, group, name, timeout_s):
        """Read a lease."""
        return self._lost("lease") or self.inner.lease(group, name, timeout_s)

    def watch(self, group, prefix, after_revision, on_batch):
        """Deliver batches, except while isolated."""

        def deliver(batch):
            if not self.isolated:
                on_batch(batch)

        return self.inner.watch(group, prefix, after_revision, deliver)
