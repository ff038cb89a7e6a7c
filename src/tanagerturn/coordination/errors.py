"""Errors of the coordination library; each carries the step and the peer."""

from __future__ import annotations


class StepError(Exception):
    """Something failed at a step, perhaps at a peer.

    Args:
        step: What was being done, as a short verb phrase.
        peer: Address or id of the other side; empty when there is none.
        reason: What went wrong.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(step, peer, reason)
        self.step = step
        """What was being done."""
        self.peer = peer
        """Address or id of the other side; empty when there is none."""
        self.reason = reason
        """What went wrong."""

    def __str__(self) -> str:
        at_peer = f" at {self.peer}" if self.peer else ""
        return f"{self.step}{at_peer}: {self.reason}"


class UnavailableError(StepError):
    """No answer: the step may or may not have been carried out."""


class NotLeaderError(StepError):
    """The peer is not the leader; nothing was carried out.

    Args:
        step: What was being done.
        peer: The peer that was asked.
        leader: Address of the leader, or empty when it is not known.
    """

    def __init__(self, step: str, peer: str, leader: str) -> None:
        super().__init__(step, peer, f"not leader, leader is {leader or 'unknown'}")
        self.leader = leader
        """Address of the leader, or empty."""


class RefusedError(StepError):
    """The peer refused the step; nothing was carried out."""


class StorageError(StepError):
    """The data folder could not be read or written."""
