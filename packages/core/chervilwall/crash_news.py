"""What routers tell each other of crashes."""

from typing import NamedTuple

from chervilwall.registry import TargetStart


class CrashNote(NamedTuple):
    """Tells that a target ended with requests in flight.

    Args:
        start (TargetStart): The start of the target that ended.
        age_s (float): Seconds since it ended.
        proven (bool): Whether a later start of the target was seen, so that no
            answer can withdraw it.
        seen_by (str): Router that saw it first.
        fingerprints (tuple): Digests of requests that were in flight.
    """

    start: TargetStart
    age_s: float
    proven: bool
    seen_by: str
    fingerprints: tuple[bytes, ...]


class TargetNote(NamedTuple):
    """Tells how a start of a target was found.

    Args:
        start (TargetStart): The start of the target.
        age_s (float): Seconds since then.
        stamp (int): Tells what is told again from what happened again.
    """

    start: TargetStart
    age_s: float
    stamp: int


class AnsweredNote(NamedTuple):
    """Tells that a request under suspicion was answered whole.

    Args:
        fingerprint (bytes): Digest of the request.
        age_s (float): Seconds since then.
        stamp (int): Tells what is told again from what happened again.
    """

    fingerprint: bytes
    age_s: float
    stamp: int


class CrashNews(NamedTuple):
    """What a router tells its peers of crashes.

    Args:
        crashes (tuple): Crashes.
        lost (tuple): Targets that did not leave and refuse connections,
            whatever ran there.
        alive (tuple): Targets that were thought to have ended and answer.
        answered (tuple): Requests that are let go.
    """

    crashes: tuple[CrashNote, ...] = ()
    lost: tuple[TargetNote, ...] = ()
    alive: tuple[TargetNote, ...] = ()
    answered: tuple[AnsweredNote, ...] = ()
