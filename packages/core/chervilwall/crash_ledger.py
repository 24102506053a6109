"""Attribution of target crashes to the requests that were in flight.

Handles a request that crashes each target that runs it, and that is sent again
through any router. Every request in flight at a crash is a possible cause. The
actual cause is in flight at each crash and is never answered, while the
requests that shared a target with it by chance are answered elsewhere.

The crashes of a request are therefore those at which it was in flight and after
which it was not answered. Each start of a target counts once, however many
routers observed its end. A crash for which another request is the established
cause doesn't count. A request with too many crashes is quarantined: it is
refused for a pause, and then run once as a trial to find out whether it still
crashes its target.

The parts of the prompts are attributed crashes in the same way; `part_evidence`
judges them. A quarantined part holds back each request whose prompt has it, and
explains the crashes of all others.

Edge routers use this module. Routers with cells use `quarantine`, which keeps
only a count of crashes per request.
"""

import math
import secrets
from collections.abc import Collection, Sequence

from chervilwall._latest import LatestTimes, Occurrence
from chervilwall.crash_attribution import CrashAttribution
from chervilwall.crash_records import (
    Crash,
    CrashRecords,
    Observation,
    ObservationKey,
)
from chervilwall.crash_reporting import (
    MAX_ITEMS_PER_REPORT,
    UPDATE_REPEAT_S,
    CrashReporting,
)
from chervilwall.crash_updates import (
    AnswerUpdate,
    CrashUpdates,
    TargetUpdate,
)
from chervilwall.fingerprints import is_part
from chervilwall.part_evidence import MIN_CRASHES, PartEvidence
from chervilwall.quarantine_status import (
    NO_CRASHES,
    QuarantineChange,
    QuarantineStatus,
    combine_statuses,
)
from chervilwall.registry import TargetStart

# A crash that closes none of the target's connections is detected within this
# time, so a trial isn't repeated sooner.
SILENT_CRASH_DETECTION_S = 5.0
# Interval between trials of requests that can show which of several parts is
# the cause. The first crash ends them, and most crashes are detected at once.
SINGLE_TRIAL_INTERVAL_S = 1.0
# Observations beyond either limit are dropped, the least recently changed
# first.
MAX_OBSERVATIONS = 1000
OBSERVATION_TTL_S = 2 * 86_400.0
# Answers and withdrawals are kept for this long, so that an older report that
# arrives late doesn't restore a crash.
EVENT_RETENTION_S = 600.0
MAX_RETAINED_EVENTS = 4096
STAMP_BITS = 62
# Interval at which a target that still refuses connections is reported again.
UNREACHABLE_REPORT_INTERVAL_S = 5.0
# Reasons of a change, as written to the log. "Forgotten" are observations that
# were dropped because of their age or number.
REASON_CRASH = "another crash"
REASON_OTHERS_ANSWERED = "requests without it were answered meanwhile"
REASON_EXPLAINED = "another request may explain its crashes"
REASON_ANSWERED = "answered"
REASON_ALIVE = "the target did not crash"
REASON_EXPIRED = "forgotten"


class CrashLedger:
    """Collect the crashes seen by all routers, and quarantine their causes.

    Merging the reports of peers is commutative and idempotent, so their order
    and repetition don't matter: observations are combined by union, and of
    answers the latest one counts.
    """

    def __init__(self) -> None:
        self._records = CrashRecords()
        self._alive = LatestTimes[TargetStart](
            retention_s=EVENT_RETENTION_S, max_occurrences=MAX_RETAINED_EVENTS
        )
        self._unreachable = LatestTimes[TargetStart](
            retention_s=EVENT_RETENTION_S, max_occurrences=MAX_RETAINED_EVENTS
        )
        self._answered = LatestTimes[bytes](
            retention_s=EVENT_RETENTION_S, max_occurrences=MAX_RETAINED_EVENTS
        )
        # Answers that released a quarantined request.
        self._released = LatestTimes[bytes](
            retention_s=EVENT_RETENTION_S, max_occurrences=MAX_RETAINED_EVENTS
        )
        self._parts = PartEvidence()
        self._trial_started_at: dict[bytes, float] = {}
        # The same for trials of requests without any other quarantined part.
        self._single_trial_started_at: dict[bytes, float] = {}
        # Parts that were in flight at MIN_CRASHES crashes or more, but are not
        # quarantined.
        self._suspect_parts: set[bytes] = set()
        # Quarantined requests and parts, with their crash count in the latest
        # change.
        self._quarantined: dict[bytes, int] = {}
        self._changes: list[QuarantineChange] = []
        self._attribution = CrashAttribution(
            self._records, self._parts, self._quarantined
        )
        self._reporting = CrashReporting(
            self._records, self._attribution, self._quarantined
        )

    def __repr__(self) -> str:
        return f"CrashLedger(records={self._records!r})"

    def status(self, fingerprint: bytes) -> QuarantineStatus:
        """Returns the quarantine status of a request or a prompt part."""
        if fingerprint not in self._records:
            return NO_CRASHES
        crashes = self._attribution.crashes(fingerprint)
        pause_s = self._attribution.pause_s(fingerprint, crashes)
        if pause_s is None:
            if is_part(fingerprint) and not self._parts.is_candidate(
                fingerprint
            ):
                return NO_CRASHES
            return QuarantineStatus(crashes)
        trial_at = max(
            crashes[-1].at + pause_s,
            _next_trial_at(self._trial_started_at.get(fingerprint), pause_s),
        )
        return QuarantineStatus(crashes, True, trial_at, (fingerprint,))

    def combined_status(
        self, fingerprints: Collection[bytes]
    ) -> QuarantineStatus:
        """Returns the quarantine status of a request.

        Args:
            fingerprints (Collection): Fingerprints of the request and of the
                parts of its prompt.
        """
        statuses = []
        for fingerprint in fingerprints:
            status = self.status(fingerprint)
            if status.is_quarantined and self._attribution.has_equal_suspect(
                fingerprint, fingerprints
            ):
                started_at = self._single_trial_started_at.get(
                    fingerprint, -math.inf
                )
                status = status._replace(
                    trial_at=started_at + SINGLE_TRIAL_INTERVAL_S
                )
            statuses.append(status)
        return combine_statuses(statuses)

    def record_trial(self, causes: Collection[bytes], now: float) -> None:
        """Records that a quarantined request starts to run as a trial.

        Args:
            causes (Collection): Fingerprints for which it is quarantined.
            now (float): Monotonic time.
        """
        for fingerprint in causes:
            self._trial_started_at[fingerprint] = now
            if len(causes) == 1:
                self._single_trial_started_at[fingerprint] = now

    def cancel_trial(self, causes: Collection[bytes]) -> None:
        """Removes the record of a trial that did not run after all."""
        for fingerprint in causes:
            self._forget_trials(fingerprint)

    def _forget_trials(self, fingerprint: bytes) -> None:
        self._trial_started_at.pop(fingerprint, None)
        self._single_trial_started_at.pop(fingerprint, None)

    def record_unreachable(
        self, start: TargetStart, at: float, now: float
    ) -> bool:
        """Records that a target refuses connections, to be reported to peers.

        Args:
            start (TargetStart): The start of the target.
            at (float): Monotonic time at which a connection was refused.
            now (float): Monotonic time.

        Returns:
            Whether it will be reported; False if the target was already found
            unreachable within the last `UNREACHABLE_REPORT_INTERVAL_S`.
        """
        if at - self._unreachable.at(start) < UNREACHABLE_REPORT_INTERVAL_S:
            return False
        return self._unreachable.put(Occurrence(start, at, _new_stamp()), now)

    def has_crashed_since(self, start: TargetStart, since: float) -> bool:
        """Returns whether a target crashed at or after a time.

        Args:
            start (TargetStart): The start of the target. Crashes that ended
                other starts of it are left out.
            since (float): Monotonic time.
        """
        return any(
            observation.crash.at >= since
            for observation in self._records.for_start(start)
        )

    def record_crash(
        self, crash: Crash, fingerprints: Collection[bytes], now: float
    ) -> bool:
        """Records a router's observation of a crash.

        Args:
            crash (Crash): The crash.
            fingerprints (Collection): Requests that were in flight.
            now (float): Monotonic time.

        Returns:
            True if a request was added to the observation or the crash became
            proven.
        """
        key = ObservationKey(crash.start, crash.seen_by)
        observation = self._records.get(key) or Observation(crash, now)
        known = observation.crash
        is_proven = known.proven or crash.proven
        is_withdrawn = not is_proven and self._alive.at(crash.start) >= known.at
        if is_withdrawn or now - known.at > OBSERVATION_TTL_S:
            return False
        for fingerprint in fingerprints:
            self._report_local_answer(fingerprint, known.at, now)
        added = [
            f
            for f in fingerprints
            if f not in observation.fingerprints
            and self._answered.at(f) < known.at
            and self._records.has_room(f, crash.start)
        ]
        is_new_proof = is_proven != known.proven and observation.fingerprints
        if not added and not is_new_proof:
            return False
        observation.crash = known._replace(proven=is_proven)
        observation.changed_at = now
        self._records.add_requests(observation, added)
        self._reevaluate(self._affected(added), REASON_CRASH)
        self._evict(now)
        return True

    def record_alive(self, start: TargetStart, at: float, now: float) -> bool:
        """Records that a target answered, which withdraws unproven crashes.

        Args:
            start (TargetStart): The start of the target that answered.
            at (float): Monotonic time at which the request that it answered
                was sent.
            now (float): Monotonic time.

        Returns:
            Whether a crash was withdrawn.
        """
        if not self._contradicted_by_answer(start, at):
            return False
        self._alive.put(Occurrence(start, at, _new_stamp()), now)
        self._withdraw(start, at)
        return True

    def _report_local_answer(
        self, fingerprint: bytes, since: float, now: float
    ) -> None:
        """Reports that a part was answered here since a crash.

        Answers to parts that are not suspect are recorded here only, as there
        are too many to report.
        """
        answered_at = self._parts.answered_at(fingerprint)
        if answered_at >= since and self._answered.at(fingerprint) < since:
            answer = Occurrence(fingerprint, answered_at, _new_stamp())
            self._answered.put(answer, now)

    def record_parts_answered(
        self, fingerprints: Sequence[bytes], now: float
    ) -> bool:
        """Records that a request with these prompt parts was answered.

        Args:
            fingerprints (Sequence): Fingerprints of the parts.
            now (float): Monotonic time.

        Returns:
            Whether any part was in flight at a recorded crash.
        """
        self._parts.record_answered(fingerprints, now)
        found = [f for f in fingerprints if self.record_answered(f, now, now)]
        self._suspect_parts = {
            f for f in self._suspect_parts if f in self._records
        }
        quarantined = [
            f for f in self._suspect_parts if self.status(f).is_quarantined
        ]
        if quarantined:
            self._reevaluate(quarantined, REASON_OTHERS_ANSWERED)
        return bool(found)

    def record_answered(
        self, fingerprint: bytes, at: float, now: float
    ) -> bool:
        """Records that a request was answered completely.

        Args:
            fingerprint (bytes): Digest of the request.
            at (float): Monotonic time of the answer.
            now (float): Monotonic time.

        Returns:
            Whether the request was in flight at any recorded crash.
        """
        if fingerprint not in self._records:
            return False
        self._apply_answer(Occurrence(fingerprint, at, _new_stamp()), now)
        return True

    def quarantined(self) -> Collection[bytes]:
        """Returns the fingerprints of all quarantined requests."""
        return self._quarantined.keys()

    def take_changes(self) -> list[QuarantineChange]:
        """Returns the changes since the previous call, and clears them."""
        changes, self._changes = self._changes, []
        return changes

    def pending_updates(
        self, now: float, *, quarantined_only: bool
    ) -> CrashUpdates:
        """Returns the updates for the next report to peers.

        A report has a limited size. Successive calls return successive parts of
        the recent crashes and of the quarantined requests.

        Args:
            now (float): Monotonic time.
            quarantined_only (bool): Whether to leave out requests that are
                suspect but not quarantined; only schedulers use these.
        """
        crashes = [
            *self._reporting.recent_crashes(now, quarantined_only),
            *self._reporting.next_quarantined(now),
        ]
        answers = self._released if quarantined_only else self._answered
        unreachable = [
            TargetUpdate(found.key, now - found.at, found.stamp)
            for found in self._unreachable.newest(
                now - UPDATE_REPEAT_S, MAX_ITEMS_PER_REPORT
            )
        ]
        alive = [
            TargetUpdate(found.key, now - found.at, found.stamp)
            for found in self._alive.newest(
                now - UPDATE_REPEAT_S, MAX_ITEMS_PER_REPORT
            )
        ]
        answered = [
            AnswerUpdate(found.key, now - found.at, found.stamp)
            for found in answers.newest(
                now - UPDATE_REPEAT_S, MAX_ITEMS_PER_REPORT
            )
        ]
        return CrashUpdates(
            tuple(crashes), tuple(unreachable), tuple(alive), tuple(answered)
        )

    def merge(
        self,
        updates: CrashUpdates,
        now: float,
        *,
        are_quarantined: bool = False,
    ) -> CrashUpdates:
        """Applies the updates in a peer's report or from the object store.

        Args:
            updates (CrashUpdates): The updates received.
            now (float): Monotonic time.
            are_quarantined (bool): Whether the updates name only requests and
                parts that the fleet has quarantined. Defaults to False.

        Returns:
            The crashes and unreachable targets that were not known before.
        """
        for alive in updates.alive:
            at = now - alive.age_s
            if self._alive.put(Occurrence(alive.start, at, alive.stamp), now):
                self._withdraw(alive.start, at)
        for answer in updates.answered:
            at = now - answer.age_s
            self._apply_answer(
                Occurrence(answer.fingerprint, at, answer.stamp), now
            )
        unreachable = tuple(
            update
            for update in updates.lost
            if self._unreachable.put(
                Occurrence(update.start, now - update.age_s, update.stamp), now
            )
        )
        crashes = []
        for update in updates.crashes:
            if are_quarantined:
                for fingerprint in filter(is_part, update.fingerprints):
                    self._parts.record_quarantined_elsewhere(fingerprint)
            at = now - update.age_s
            crash = Crash(update.start, at, update.proven, update.seen_by)
            if self.record_crash(crash, update.fingerprints, now):
                crashes.append(update)
        return CrashUpdates(tuple(crashes), unreachable)

    def _contradicted_by_answer(
        self, start: TargetStart, at: float
    ) -> list[Observation]:
        """Returns the observations that a target's answer disproves.

        A target that answers a request sent at `at` had not ended before;
        a crash that a later start of the target proves is not in doubt.
        """
        return [
            observation
            for observation in self._records.for_start(start)
            if observation.crash.at <= at and not observation.crash.proven
        ]

    def _withdraw(self, start: TargetStart, at: float) -> None:
        """Discards the observations that a target's answer disproves."""
        for observation in self._contradicted_by_answer(start, at):
            self._discard(observation, REASON_ALIVE)

    def _apply_answer(self, answer: Occurrence[bytes], now: float) -> None:
        """Removes an answered request from all crashes before the answer."""
        if not self._answered.put(answer, now):
            return
        fingerprint, at = answer.key, answer.at
        if is_part(fingerprint):
            self._parts.record_reported_answer(fingerprint, at)
        if fingerprint in self._quarantined:
            self._released.put(answer, now)
        affected = self._affected((fingerprint,))
        for observation in list(self._records.for_request(fingerprint)):
            if observation.crash.at <= at:
                self._records.remove_request(observation, fingerprint)
        self._reevaluate(affected, REASON_ANSWERED)

    def _affected(self, fingerprints: Collection[bytes]) -> set[bytes]:
        """Returns whose status may change with the crashes of some others.

        These are the requests that share a crash with a given request, and the
        given parts. Parts are not followed to the requests that have them, as
        one part may link all requests of all crashes.
        """
        requests = [f for f in fingerprints if not is_part(f)]
        sharing = self._records.sharing_crashes(requests)
        return {f for f in sharing if not is_part(f)}.union(
            filter(is_part, fingerprints)
        )

    def _reevaluate(self, fingerprints: Collection[bytes], reason: str) -> None:
        """Updates the quarantine of some requests and parts.

        Parts come first: with one that is quarantined or released, the crashes
        of the requests beside it become explained or unexplained, and so do
        those of the other quarantined parts.
        """
        parts = [f for f in fingerprints if is_part(f)]
        requests = {f for f in fingerprints if not is_part(f)}
        before = set(self._quarantined)
        self._reevaluate_each(parts, reason)
        changed = {f for f in before ^ self._quarantined.keys() if is_part(f)}
        if changed:
            others = [f for f in self._quarantined if is_part(f)]
            self._reevaluate_each(others, reason)
            requests |= {
                f
                for f in self._records.sharing_crashes(changed)
                if not is_part(f)
            }
        self._reevaluate_each(requests, reason)

    def _reevaluate_each(
        self, fingerprints: Collection[bytes], reason: str
    ) -> None:
        for fingerprint in fingerprints:
            was_quarantined = fingerprint in self._quarantined
            if not was_quarantined and fingerprint not in self._records:
                continue
            status = self.status(fingerprint)
            count = len(status.crashes)
            if is_part(fingerprint):
                self._update_suspect_part(fingerprint, status)
            if status.is_quarantined and count != self._quarantined.get(
                fingerprint
            ):
                self._quarantined[fingerprint] = count
                self._changes.append(
                    QuarantineChange(fingerprint, status, reason)
                )
            elif was_quarantined and not status.is_quarantined:
                self._release(fingerprint, status, reason)

    def _update_suspect_part(
        self, fingerprint: bytes, status: QuarantineStatus
    ) -> None:
        crashes = self._records.crash_count(fingerprint)
        if crashes >= MIN_CRASHES and not status.is_quarantined:
            self._suspect_parts.add(fingerprint)
        else:
            self._suspect_parts.discard(fingerprint)

    def _release(
        self, fingerprint: bytes, status: QuarantineStatus, reason: str
    ) -> None:
        del self._quarantined[fingerprint]
        self._forget_trials(fingerprint)
        if reason in (REASON_CRASH, REASON_OTHERS_ANSWERED):
            # These can release a request only if they make another one, or a
            # part, a possible cause.
            reason = REASON_EXPLAINED
        self._changes.append(QuarantineChange(fingerprint, status, reason))

    def _discard(self, observation: Observation, reason: str) -> None:
        """Deletes an observation and reevaluates the requests it affects."""
        affected = self._affected(observation.fingerprints)
        for fingerprint in list(observation.fingerprints):
            self._records.remove_request(observation, fingerprint)
        self._reevaluate(affected, reason)

    def _evict(self, now: float) -> None:
        """Discards observations beyond the age and count limits.

        Starts with the least recently changed one, and stops when the next is
        recent enough and their number is within the limit. An expired
        observation therefore stays until all that were changed before it are
        gone.
        """
        while len(self._records):
            oldest = self._records.oldest()
            is_fresh = now - oldest.crash.at <= OBSERVATION_TTL_S
            if is_fresh and len(self._records) <= MAX_OBSERVATIONS:
                return
            self._discard(oldest, REASON_EXPIRED)


def _new_stamp() -> int:
    return secrets.randbits(STAMP_BITS)


def _next_trial_at(started_at: float | None, pause_s: float) -> float:
    """Returns when the next trial may start after the previous one."""
    if started_at is None:
        return -math.inf
    return started_at + max(pause_s, SILENT_CRASH_DETECTION_S)
