"""Errors of the coordination library; each names the failed step and the peer."""

from __future__ import annotations


class StepError(Exception):
    """A step failed, possibly at a peer.

    Args:
        step: What was attempted, as a short verb phrase.
        peer: Address or id of the peer, or path of the file; empty when there is none.
        reason: What went wrong.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(step, peer, reason)
        self.step = step
        """What was attempted."""
        self.peer = peer
        """Address or id of the peer, or path of the file; empty when there is none."""
        self.reason = reason
        """What went wrong."""

    def __str__(self) -> str:
        at_peer = f" at {self.peer}" if self.peer else ""
        return f"{self.step}{at_peer}: {self.reason}"


class UnavailableError(StepError):
    """There was no definite answer: the step may have been carried out."""


class NotLeaderError(StepError):
    """The peer is not the leader; nothing was carried out.

    Args:
        step: What was attempted.
        peer: Address or id of the peer that was asked.
        leader: Address or id of the leader; empty when unknown.
    """

    def __init__(self, step: str, peer: str, leader: str) -> None:
        super().__init__(step, peer, f"not leader, leader is {leader or 'unknown'}")
        self.leader = leader
        """Address or id of the leader; empty when unknown."""


class RefusedError(StepError):
    """The peer refused the step; nothing was carried out."""


class StorageError(StepError):
    """A file or folder of the data folder could not be read or written."""
