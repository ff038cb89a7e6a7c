"""Shares the evidence against requests that come again with peer gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.gateway._crash_messages import (
    age_ms,
    decode_crashes,
    decode_trials,
    encode_crashes,
    encode_trials,
)
from tanagerturn.gateway.fingerprints import fingerprint_text
from tanagerturn.gateway.logs import component_log
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.quarantine.evidence import CrashId, Fingerprint
from tanagerturn.serving.quarantine.repeats import RepeatEvidence

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.serving.quarantine.evidence import PartId
    from tanagerturn.serving.quarantine.repeats import RepeatQuarantine

REPORT_DURATION_S: Final = 4.0
"""Time in seconds after a change for which digests report a suspected request; with
many gateways that is several digests."""

MAX_REPORTED_REQUESTS: Final = 32
"""Maximum number of suspected requests in a digest."""

log = component_log("quarantine")


def encode_suspect_requests(
    repeats: RepeatQuarantine, fingerprints: Iterable[Fingerprint], now_s: float
) -> gpb.SuspectRequests:
    """Return the evidence against requests as a message to peers.

    Args:
        repeats: Evidence against requests.
        fingerprints: Requests to report.
        now_s: Current boot-clock time in seconds.
    """
    message = gpb.SuspectRequests()
    for fingerprint in fingerprints:
        evidence = repeats.evidence[fingerprint]
        message.requests.add(
            fingerprint=fingerprint,
            crashes=encode_crashes(evidence.crashes, now_s),
            cleared=evidence.cleared,
            idle_ms=age_ms(evidence.crashed_s, now_s),
            trials=encode_trials(evidence, now_s),
        )
    return message


def reported_requests(repeats: RepeatQuarantine, now_s: float) -> list[Fingerprint]:
    """Return the requests to report in a digest: at many crashes, or changed.

    Those at most crashes come first.
    """
    reported = [
        fingerprint
        for fingerprint, evidence in repeats.evidence.items()
        if evidence.has_many_crashes or now_s - evidence.changed_s < REPORT_DURATION_S
    ]
    return repeats.by_crashes(reported)[:MAX_REPORTED_REQUESTS]


def apply_suspect_requests(
    repeats: RepeatQuarantine, message: gpb.SuspectRequests, now_s: float
) -> None:
    """Merge the evidence of a peer, or of a warm start.

    Args:
        repeats: Evidence against requests.
        message: The evidence as received.
        now_s: Current boot-clock time in seconds.
    """
    for reported in message.requests:
        evidence = RepeatEvidence(
            crashed_s=now_s - reported.idle_ms / 1000,
            changed_s=now_s,
            crashes=decode_crashes(reported.crashes, now_s),
            cleared={CrashId(crash): None for crash in reported.cleared},
            **decode_trials(reported.trials, now_s),
        )
        repeats.merge(Fingerprint(reported.fingerprint), evidence, now_s)


def trial_turn(suspect: Fingerprint | PartId, host: str, peers: Iterable[str]) -> int:
    """Return the position of a gateway in the order of trials of one suspect.

    Args:
        suspect: The request or prompt part.
        host: Host of the gateway.
        peers: Hosts of the other present gateways.
    """

    def rank(gateway: str) -> int:
        return xxhash.xxh64_intdigest(f"{gateway}|{suspect}".encode())

    local_rank = rank(host)
    return sum(rank(peer) < local_rank for peer in peers)


def log_repeat_changes(
    repeats: RepeatQuarantine, previous: frozenset[Fingerprint]
) -> None:
    """Log which requests have been quarantined or released.

    Args:
        repeats: Evidence against requests.
        previous: Requests that were quarantined before.
    """
    quarantined = repeats.quarantined()
    for fingerprint in sorted(quarantined - previous):
        log.warning(
            "request_quarantined",
            fingerprint=fingerprint_text(fingerprint),
            crashes=len(repeats.evidence[fingerprint].crashes),
            guilty=repeats.is_guilty(fingerprint),
        )
    for fingerprint in sorted(previous - quarantined):
        log.warning("request_released", fingerprint=fingerprint_text(fingerprint))
