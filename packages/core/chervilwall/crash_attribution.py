"""Decision which crashes count for a request, and whether it is quarantined."""

from collections.abc import Collection, Mapping, Sequence

from chervilwall.crash_records import Crash, CrashRecords
from chervilwall.fingerprints import is_part
from chervilwall.part_evidence import PartEvidence
from chervilwall.registry import TargetStart
from chervilwall.trial_pauses import CRASHES_TO_REFUSE, trial_pause_s


class CrashAttribution:
    """Attribute recorded crashes to requests and to the parts of prompts.

    Args:
        records (CrashRecords): Observations of crashes.
        parts (PartEvidence): Evidence on prompt parts.
        quarantined (Mapping): What is quarantined now, by fingerprint.
    """

    def __init__(
        self,
        records: CrashRecords,
        parts: PartEvidence,
        quarantined: Mapping[bytes, int],
    ) -> None:
        self._records = records
        self._parts = parts
        self._quarantined = quarantined

    def __repr__(self) -> str:
        return f"CrashAttribution(records={self._records!r})"

    def pause_s(
        self, fingerprint: bytes, crashes: Sequence[Crash]
    ) -> float | None:
        """Judges a request or a part by the crashes attributed to it.

        Returns:
            None if they do not warrant its quarantine. Otherwise the pause in
            seconds from the last crash to a trial.
        """
        if is_part(fingerprint):
            return self._part_pause_s(fingerprint, crashes)
        if not self._warrants_quarantine(crashes):
            return None
        return trial_pause_s(len(crashes))

    def _part_pause_s(
        self, fingerprint: bytes, crashes: Sequence[Crash]
    ) -> float | None:
        # What explains the crashes is looked up only if it matters.
        if self._parts.pause_s(fingerprint, crashes) is None:
            return None
        if self._is_explained_by_other_part(fingerprint):
            return None
        distinct = self._count_causes_once(crashes)
        return self._parts.pause_s(fingerprint, distinct)

    def crashes(self, fingerprint: bytes) -> tuple[Crash, ...]:
        """Returns the crashes of a request without another cause.

        Of a part, it returns all crashes. Of several observations of one crash,
        the earliest is returned.
        """
        found: dict[TargetStart, Crash] = {}
        for observation in self._records.for_request(fingerprint):
            crash = observation.crash
            known = found.get(crash.start)
            if known is None or crash.at < known.at:
                found[crash.start] = crash
        crashes = sorted(found.values(), key=lambda crash: crash.at)
        if is_part(fingerprint):
            return tuple(crashes)
        return tuple(
            crash
            for crash in crashes
            if self._is_unexplained(crash.start, fingerprint)
        )

    def has_equal_suspect(
        self, fingerprint: bytes, fingerprints: Collection[bytes]
    ) -> bool:
        """Returns whether a request can show that another part is the cause.

        The other part is quarantined for the same crashes, and the request
        lacks it. Its only quarantined part is the given one, so the request
        shows at once which of the two is the cause.

        Args:
            fingerprint (bytes): A quarantined part.
            fingerprints (Collection): Fingerprints of the request.
        """
        if not is_part(fingerprint):
            return False
        if any(
            f in self._quarantined for f in fingerprints if f != fingerprint
        ):
            return False
        starts = self._records.starts(fingerprint)
        return any(
            is_part(other)
            and other != fingerprint
            and self._records.starts(other) == starts
            for other in self._quarantined
        )

    def _is_unexplained(self, start: TargetStart, fingerprint: bytes) -> bool:
        """Returns whether nothing but a request is known to cause a crash."""
        summary = self._records.summary(start)
        if summary.cause not in (None, fingerprint):
            return False
        return self._quarantined.keys().isdisjoint(summary.parts)

    def _is_explained_by_other_part(self, fingerprint: bytes) -> bool:
        """Returns whether a part explains all crashes of another and more."""
        starts = self._records.starts(fingerprint)
        return any(
            is_part(other) and self._records.starts(other) > starts
            for other in self._quarantined
        )

    def _count_causes_once(self, crashes: Sequence[Crash]) -> tuple[Crash, ...]:
        """Leaves out all but the first of the crashes that a request caused.

        One request that crashes targets again and again says as little about
        the parts of its prompt as a single crash.
        """
        causes: set[bytes] = set()
        found = []
        for crash in crashes:
            cause = self._records.summary(crash.start).cause
            if cause not in causes:
                found.append(crash)
            if cause is not None:
                causes.add(cause)
        return tuple(found)

    def _warrants_quarantine(self, crashes: Sequence[Crash]) -> bool:
        """Returns whether the crashes attributed to a request quarantine it.

        More than `CRASHES_TO_REFUSE` always do. Exactly that many do only if no
        other request could have caused the latest of them as well, that is, if
        every other request in flight at it was in flight at no other crash.
        """
        if len(crashes) != CRASHES_TO_REFUSE:
            return len(crashes) > CRASHES_TO_REFUSE
        return self._records.summary(crashes[-1].start).repeated_count == 1
