"""Errors of the coordination library, each with the failed step and the peer."""

from __future__ import annotations


class StepError(Exception):
    """A step failed, possibly at a peer.

    Args:
        step: What was attempted, as a short verb phrase.
        peer: Address or id of the peer, or path of the file; empty without
            either.
        reason: What went wrong.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(step, peer, reason)
        self.step = step
        """What was attempted."""
        self.peer = peer
        """Address or id of the peer, or path of the file; empty without either."""
        self.reason = reason
        """What went wrong."""

    def __str__(self) -> str:
        at_peer = f" at {self.peer}" if self.peer else ""
        return f"{self.step}{at_peer}: {self.reason}"


class UnavailableError(StepError):
    """No definite response arrived: the step may have been performed."""


class NotLeaderError(StepError):
    """The peer is not the leader and did not perform the step.

    Args:
        step: What was attempted.
        peer: Address or id of the peer that refused the step.
        leader: Address or id of the leader; empty when unknown.
    """

    def __init__(self, step: str, peer: str, leader: str) -> None:
        super().__init__(step, peer, f"not leader, leader is {leader or 'unknown'}")
        self.leader = leader
        """Address or id of the leader; empty when unknown."""


class RefusedError(StepError):
    """The peer refused the step and did not perform it."""


class StorageError(StepError):
    """A file or folder in the data folder could not be read or written."""
