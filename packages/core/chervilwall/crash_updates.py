"""Crash updates that edge routers exchange.

A start is one run of a target, from its start to its end.
"""

from typing import NamedTuple

from chervilwall.registry import TargetStart
from chervilwall.untrusted import Finite


class CrashUpdate(NamedTuple):
    """Report that a target ended with requests in flight.

    Args:
        start (TargetStart): The start of the target that ended.
        age_s (float): Seconds since it ended.
        proven (bool): Whether a later start of the target was seen. An answer
            of the start that ended can then no longer disprove the crash.
        seen_by (str): Router that observed the crash.
        fingerprints (tuple): Digests of the requests in flight.
    """

    start: TargetStart
    age_s: Finite
    proven: bool
    seen_by: str
    fingerprints: tuple[bytes, ...]


class TargetUpdate(NamedTuple):
    """Report that a start of a target was found unreachable or alive.

    Which of the two depends on the field of `CrashUpdates` that lists it.

    Args:
        start (TargetStart): The start of the target.
        age_s (float): Seconds since it was found unreachable, or since the
            request that it answered was sent.
        stamp (int): Random id of the occurrence, the same in each repetition
            of the report.
    """

    start: TargetStart
    age_s: Finite
    stamp: int


class AnswerUpdate(NamedTuple):
    """Report that a suspect request was answered completely.

    Args:
        fingerprint (bytes): Digest of the request.
        age_s (float): Seconds since the answer.
        stamp (int): Random id of the occurrence, the same in each repetition
            of the report.
    """

    fingerprint: bytes
    age_s: Finite
    stamp: int


class CrashUpdates(NamedTuple):
    """The crash updates in one report to a peer.

    Args:
        crashes (tuple): Crashes with requests in flight.
        lost (tuple): Unreachable targets: those that refuse connections without
            having announced that they leave, whether or not requests were in
            flight there.
        alive (tuple): Targets that were thought to have ended, but answered.
        answered (tuple): Suspect requests that were answered. An answer removes
            them from the crashes before it.
    """

    crashes: tuple[CrashUpdate, ...] = ()
    lost: tuple[TargetUpdate, ...] = ()
    alive: tuple[TargetUpdate, ...] = ()
    answered: tuple[AnswerUpdate, ...] = ()
