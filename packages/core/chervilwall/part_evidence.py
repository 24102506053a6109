"""Evidence on whether a prompt part crashes the targets that answer to it.

Designed for requests that are all different but share a part of their prompts
which crashes each target, among many sound requests that share all the other
parts. Every part in flight at a crash is a candidate. The deadly one is never
answered, while the others are, by other targets, between the crashes.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Sequence

from chervilwall.crash_records import Crash
from chervilwall.fingerprints import service_of
from chervilwall.trial_pauses import CRASHES_TO_REFUSE, trial_pause_s

# Crashes of several targets within this time have one cause outside of the
# requests more often than not, and count as one moment.
MOMENT_S = 0.5
# Crashes and moments that quarantine a part that was never seen answered, if
# other requests of its service were answered meanwhile.
MIN_CRASHES = 3
MIN_MOMENTS = 2
# Moments that quarantine a part that was answered before, and one that was not
# if nothing else was answered meanwhile, so that all targets may have failed.
MIN_MOMENTS_IN_DOUBT = 5
# Answers to other requests of the service that count as proof that it works.
MIN_OTHER_ANSWERS = 6
# An answered part is remembered for this long.
ANSWER_RETENTION_S = 600.0
MAX_ANSWERED_PARTS = 4096


class PartEvidence:
    """Remember which parts were answered, and judge the crashes of the rest."""

    def __init__(self) -> None:
        self._answered: OrderedDict[bytes, float] = OrderedDict()
        # Times of the latest answers of each service.
        self._service_answers: dict[bytes, deque[float]] = {}
        # Parts that other routers quarantined, as read from the object store.
        self._quarantined_elsewhere: set[bytes] = set()

    def __repr__(self) -> str:
        return f"PartEvidence(answered={len(self._answered)})"

    def record_answered(
        self, fingerprints: Sequence[bytes], now: float
    ) -> None:
        """Records the answer to one request.

        Args:
            fingerprints (Sequence): Fingerprints of its prompt parts.
            now (float): Monotonic time.
        """
        if not fingerprints:
            return
        service = service_of(fingerprints[0])
        answers = self._service_answers.get(service)
        if answers is None:
            answers = deque(maxlen=MIN_OTHER_ANSWERS)
            self._service_answers[service] = answers
        answers.append(now)
        for fingerprint in fingerprints:
            self.record_reported_answer(fingerprint, now)
        self._evict(now)

    def record_reported_answer(self, fingerprint: bytes, at: float) -> None:
        """Records that a part was answered, here or at a peer.

        Args:
            fingerprint (bytes): Fingerprint of the part.
            at (float): Monotonic time of the answer.
        """
        self._quarantined_elsewhere.discard(fingerprint)
        self._answered[fingerprint] = max(at, self.answered_at(fingerprint))
        self._answered.move_to_end(fingerprint)

    def record_quarantined_elsewhere(self, fingerprint: bytes) -> None:
        """Records that other routers have quarantined a part."""
        if fingerprint not in self._answered:
            self._quarantined_elsewhere.add(fingerprint)

    def answered_at(self, fingerprint: bytes) -> float:
        """Returns when a part was last answered, or minus infinity."""
        return self._answered.get(fingerprint, -math.inf)

    def is_candidate(self, fingerprint: bytes) -> bool:
        """Returns whether a part may be suspected from its first crash on."""
        return fingerprint not in self._answered

    def pause_s(
        self, fingerprint: bytes, crashes: Sequence[Crash]
    ) -> float | None:
        """Judges a part by the crashes since it was last answered.

        Args:
            fingerprint (bytes): Fingerprint of the part.
            crashes (Sequence): The crashes, the oldest first.

        Returns:
            None if the crashes do not warrant its quarantine. Otherwise the
            pause in seconds until a request with it may run as a trial.
        """
        if len(crashes) < MIN_CRASHES:
            return None
        is_candidate = self.is_candidate(fingerprint)
        needed = MIN_MOMENTS_IN_DOUBT
        if self._works_without(fingerprint, crashes[0].at):
            needed = MIN_MOMENTS if is_candidate else MIN_MOMENTS_IN_DOUBT
        elif not is_candidate:
            return None
        extra_moments = count_moments(crashes) - needed
        if extra_moments < 0:
            return None
        return trial_pause_s(CRASHES_TO_REFUSE + extra_moments)

    def _works_without(self, fingerprint: bytes, since: float) -> bool:
        """Returns whether the service answered others since a time."""
        if fingerprint in self._quarantined_elsewhere:
            return True
        answers = self._service_answers.get(service_of(fingerprint))
        if answers is None or len(answers) < MIN_OTHER_ANSWERS:
            return False
        return answers[0] > since

    def _evict(self, now: float) -> None:
        while self._answered:
            fingerprint, at = next(iter(self._answered.items()))
            is_recent = now - at <= ANSWER_RETENTION_S
            if is_recent and len(self._answered) <= MAX_ANSWERED_PARTS:
                return
            del self._answered[fingerprint]


def count_moments(crashes: Sequence[Crash]) -> int:
    """Returns the number of moments into which crashes fall.

    Args:
        crashes (Sequence): The crashes, the oldest first.
    """
    moments, began_at = 0, -math.inf
    for crash in crashes:
        if crash.at - began_at >= MOMENT_S:
            moments += 1
            began_at = crash.at
    return moments
