"""Translates crashes between evidence and messages to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

from tanagerturn.clocks import to_ms
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.quarantine.evidence import Crash, CrashId

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from tanagerturn.serving.quarantine.evidence import CrashEvidence


class TrialFields(TypedDict):
    """Fields of `CrashEvidence` about trials."""

    crashed_trials: int
    admitted_s: float | None
    tried_s: float | None


def encode_crashes(
    crashes: Mapping[CrashId, Crash], now_s: float
) -> list[gpb.EngineCrash]:
    """Return crashes as messages.

    Args:
        crashes: Crashes by their ids.
        now_s: Current boot-clock time in seconds.
    """
    return [
        gpb.EngineCrash(
            crash=crash,
            seen_ago_ms=age_ms(seen.seen_s, now_s),
            requests=seen.requests,
        )
        for crash, seen in crashes.items()
    ]


def decode_crashes(
    messages: Iterable[gpb.EngineCrash], now_s: float
) -> dict[CrashId, Crash]:
    """Return crashes by their ids, in this gateway's boot-clock time.

    Args:
        messages: Crashes as received.
        now_s: Current boot-clock time in seconds.
    """
    return {
        CrashId(each.crash): Crash(now_s - each.seen_ago_ms / 1000, each.requests)
        for each in messages
    }


def encode_trials(evidence: CrashEvidence, now_s: float) -> gpb.Trials:
    """Return the trials of a suspect as a message.

    Args:
        evidence: Evidence against the suspect.
        now_s: Current boot-clock time in seconds.
    """
    trials = gpb.Trials(crashed=evidence.crashed_trials)
    if evidence.admitted_s is not None:
        trials.admitted_ago_ms = age_ms(evidence.admitted_s, now_s)
    if evidence.tried_s is not None:
        trials.tried_ago_ms = age_ms(evidence.tried_s, now_s)
    return trials


def decode_trials(message: gpb.Trials, now_s: float) -> TrialFields:
    """Return the trials of a suspect, in this gateway's boot-clock time.

    Args:
        message: Trials as received.
        now_s: Current boot-clock time in seconds.
    """
    trials = TrialFields(crashed_trials=message.crashed, admitted_s=None, tried_s=None)
    if message.HasField("admitted_ago_ms"):
        trials["admitted_s"] = now_s - message.admitted_ago_ms / 1000
    if message.HasField("tried_ago_ms"):
        trials["tried_s"] = now_s - message.tried_ago_ms / 1000
    return trials


def age_ms(at_s: float, now_s: float) -> int:
    """Return the time since a moment in milliseconds; 0 for one in the future."""
    return max(0, to_ms(now_s - at_s))
