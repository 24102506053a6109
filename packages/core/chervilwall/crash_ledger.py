"""Crashes of targets, and the requests that they are laid to.

Answers the load pattern of a request that ends each target that runs it, and
that comes again through any router. A crash names all requests that were in
flight on the target; what tells the one that caused it from those beside it is
that it is there at each crash and never ends well. So a request is judged by
the number of target starts that ended under it since it was last answered, a
crash that one request explains counts against no other, and a request that is
refused gets a trial of its own after a pause.
"""

import secrets
from collections.abc import Collection, Iterator, Sequence
from typing import NamedTuple

from chervilwall._latest import LatestTimes, Occurrence
from chervilwall.crash_news import (
    AnsweredNote,
    CrashNews,
    CrashNote,
    TargetNote,
)
from chervilwall.crash_records import (
    Crash,
    CrashRecords,
    Sighting,
    SightingKey,
)
from chervilwall.registry import TargetStart
from chervilwall.trials import REFUSED_CRASHES, trial_pause_s

# Bounds in seconds of what callers of a refused request are told.
LEAST_RETRY_S = 0.5
MOST_RETRY_S = 30.0
# A target that ends in silence under a trial shows it within this time.
SILENT_CRASH_S = 5.0
# What routers saw beyond these is forgotten, the oldest first.
MAX_SIGHTINGS = 1000
ENTRY_TTL_S = 2 * 86_400.0
# News is repeated for this long, as datagrams may be lost.
NEWS_S = 2.0
# Requests named in one report, to keep it in a datagram.
MAX_TOLD = 64
# Refused requests that each report names beside the news, in turn.
HELD_TOLD = 4
# Reports of answers and withdrawn crashes are kept for late news this long.
ANSWER_KEPT_S = 600.0
MAX_ANSWERS = 4096
STAMP_BITS = 62
# A target that still refuses connections is told of again after this time.
LOST_AGAIN_S = 5.0
REASON_CRASH = "another crash"
REASON_EXPLAINED = "another request may explain its crashes"
REASON_ANSWERED = "answered"
REASON_ALIVE = "the target did not crash"
REASON_OLD = "forgotten"


class Standing(NamedTuple):
    """What is held against a request.

    Args:
        crashes (tuple): Crashes that may be laid to it, the oldest first.
        is_held (bool): Whether it runs as a trial only.
        trial_at (float): Monotonic time from which a trial may run; it is
            refused before if it is held.
    """

    crashes: tuple[Crash, ...] = ()
    is_held: bool = False
    trial_at: float = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether any crash may be laid to it."""
        return bool(self.crashes)

    def is_refused(self, now: float) -> bool:
        """Tells whether it may not run now."""
        return self.is_held and now < self.trial_at

    def retry_after_s(self, now: float) -> float:
        """Returns the seconds until a refused request may come again."""
        return min(max(self.trial_at - now, LEAST_RETRY_S), MOST_RETRY_S)


class Change(NamedTuple):
    """A request that is refused from now on, or let go.

    Args:
        fingerprint (bytes): Digest of the request.
        standing (Standing): What is held against it now.
        reason (str): What changed it.
    """

    fingerprint: bytes
    standing: Standing
    reason: str


CLEAR = Standing()


class CrashLedger:
    """Hold the crashes that any router saw, and judge requests by them.

    What peers tell is joined: what each router saw by a union, answers by the
    newest one. So it does not matter in which order, or how often, it is told.
    """

    def __init__(self) -> None:
        self._records = CrashRecords()
        self._alive = LatestTimes[TargetStart](
            kept_s=ANSWER_KEPT_S, most=MAX_ANSWERS
        )
        self._lost = LatestTimes[TargetStart](
            kept_s=ANSWER_KEPT_S, most=MAX_ANSWERS
        )
        self._answered = LatestTimes[bytes](
            kept_s=ANSWER_KEPT_S, most=MAX_ANSWERS
        )
        # The latest answers of requests that were refused until then.
        self._freed = LatestTimes[bytes](kept_s=ANSWER_KEPT_S, most=MAX_ANSWERS)
        self._trials: dict[bytes, float] = {}
        # Refused requests, with the number of crashes last made known.
        self._held: dict[bytes, int] = {}
        self._changes: list[Change] = []
        self._told = 0
        self._held_told = 0

    def __repr__(self) -> str:
        return f"CrashLedger(records={self._records!r})"

    def standing(self, fingerprint: bytes) -> Standing:
        """Returns what is held against a request."""
        if fingerprint not in self._records:
            return CLEAR
        crashes = self._laid_to(fingerprint)
        if not self._is_held(crashes):
            return Standing(crashes)
        pause_s = trial_pause_s(len(crashes))
        trial_at = crashes[-1].at + pause_s
        began_at = self._trials.get(fingerprint)
        if began_at is not None:
            trial_at = max(trial_at, began_at + max(pause_s, SILENT_CRASH_S))
        return Standing(crashes, True, trial_at)

    def note_trial(self, fingerprint: bytes, now: float) -> None:
        """Notes that a refused request runs once more."""
        self._trials[fingerprint] = now

    def drop_trial(self, fingerprint: bytes) -> None:
        """Notes that a trial was not run."""
        self._trials.pop(fingerprint, None)

    def note_lost(self, start: TargetStart, at: float, now: float) -> bool:
        """Takes in that a target refuses connections, to be told to peers.

        Args:
            start (TargetStart): The start of the target.
            at (float): Monotonic time at which it was seen.
            now (float): Monotonic time.

        Returns:
            Whether that is news.
        """
        if at - self._lost.at(start) < LOST_AGAIN_S:
            return False
        return self._lost.put(Occurrence(start, at, _stamp()), now)

    def knows_crash(self, start: TargetStart, since: float) -> bool:
        """Tells whether a start of a target ended after a time."""
        return any(
            sighting.crash.at >= since
            for sighting in self._records.of_start(start)
        )

    def note_crash(
        self, crash: Crash, fingerprints: Collection[bytes], now: float
    ) -> bool:
        """Takes in what a router saw; returns whether anything of it is news.

        Args:
            crash (Crash): The crash.
            fingerprints (Collection): Requests that were in flight.
            now (float): Monotonic time.
        """
        key = SightingKey(crash.start, crash.seen_by)
        sighting = self._records.get(key) or Sighting(crash, now)
        known = sighting.crash
        is_proven = known.proven or crash.proven
        is_over = not is_proven and self._alive.at(crash.start) >= known.at
        if is_over or now - known.at > ENTRY_TTL_S:
            return False
        fresh = [
            f
            for f in fingerprints
            if f not in sighting.named and self._answered.at(f) < known.at
        ]
        is_new_proof = is_proven != known.proven and sighting.named
        if not fresh and not is_new_proof:
            return False
        sighting.crash = known._replace(proven=is_proven)
        sighting.changed_at = now
        self._records.name(sighting, fresh)
        self._review(self._records.beside(sighting.named), REASON_CRASH)
        self._trim(now)
        return True

    def note_alive(self, start: TargetStart, at: float, now: float) -> bool:
        """Takes in an answer of a target; returns whether it withdraws a crash.

        Args:
            start (TargetStart): The start of the target that answered.
            at (float): Monotonic time after which it was asked.
            now (float): Monotonic time.
        """
        if not self._doubtful(start, at):
            return False
        self._alive.put(Occurrence(start, at, _stamp()), now)
        self._withdraw(start, at)
        return True

    def note_answered(self, fingerprint: bytes, at: float, now: float) -> bool:
        """Takes in that a request ended well; returns whether that is news.

        Args:
            fingerprint (bytes): Digest of the request.
            at (float): Monotonic time of the answer.
            now (float): Monotonic time.
        """
        if fingerprint not in self._records:
            return False
        self._take_answer(Occurrence(fingerprint, at, _stamp()), now)
        return True

    def held(self) -> Collection[bytes]:
        """Returns the requests that are refused or run as trials only."""
        return self._held.keys()

    def take_changes(self) -> list[Change]:
        """Returns the requests that were refused or let go since the last."""
        changes, self._changes = self._changes, []
        return changes

    def news(self, now: float, *, held_only: bool) -> CrashNews:
        """Returns what to tell peers now.

        Args:
            now (float): Monotonic time.
            held_only (bool): Whether to leave out requests that are only
                suspected, of which schedulers alone make use.
        """
        crashes = [*self._recent(now, held_only), *self._held_in_turn(now)]
        answers = self._freed if held_only else self._answered
        lost = [
            TargetNote(found.key, now - found.at, found.stamp)
            for found in self._lost.newest(now - NEWS_S, MAX_TOLD)
        ]
        alive = [
            TargetNote(found.key, now - found.at, found.stamp)
            for found in self._alive.newest(now - NEWS_S, MAX_TOLD)
        ]
        answered = [
            AnsweredNote(found.key, now - found.at, found.stamp)
            for found in answers.newest(now - NEWS_S, MAX_TOLD)
        ]
        return CrashNews(
            tuple(crashes), tuple(lost), tuple(alive), tuple(answered)
        )

    def merge(self, news: CrashNews, now: float) -> CrashNews:
        """Takes in what a peer told.

        Returns:
            The crashes and the lost targets that were news.
        """
        for alive in news.alive:
            at = now - alive.age_s
            if self._alive.put(Occurrence(alive.start, at, alive.stamp), now):
                self._withdraw(alive.start, at)
        for done in news.answered:
            at = now - done.age_s
            self._take_answer(Occurrence(done.fingerprint, at, done.stamp), now)
        lost = tuple(
            note
            for note in news.lost
            if self._lost.put(
                Occurrence(note.start, now - note.age_s, note.stamp), now
            )
        )
        crashes = []
        for note in news.crashes:
            at = now - note.age_s
            crash = Crash(note.start, at, note.proven, note.seen_by)
            if self.note_crash(crash, note.fingerprints, now):
                crashes.append(note)
        return CrashNews(tuple(crashes), lost)

    def _doubtful(self, start: TargetStart, at: float) -> list[Sighting]:
        """Returns what an answer of a target after a time withdraws."""
        return [
            sighting
            for sighting in self._records.of_start(start)
            if sighting.crash.at <= at and not sighting.crash.proven
        ]

    def _withdraw(self, start: TargetStart, at: float) -> None:
        for sighting in self._doubtful(start, at):
            self._drop(sighting, REASON_ALIVE)

    def _take_answer(self, answer: Occurrence[bytes], now: float) -> None:
        """Takes a request out of the crashes before its answer."""
        if not self._answered.put(answer, now):
            return
        fingerprint, at = answer.key, answer.at
        if fingerprint in self._held:
            self._freed.put(answer, now)
        beside = self._records.beside((fingerprint,))
        for sighting in list(self._records.of_request(fingerprint)):
            if sighting.crash.at <= at:
                self._records.unname(sighting, fingerprint)
        self._review(beside, REASON_ANSWERED)

    def _laid_to(self, fingerprint: bytes) -> tuple[Crash, ...]:
        """Returns the crashes that no other request explains."""
        found: dict[TargetStart, Crash] = {}
        for sighting in self._records.of_request(fingerprint):
            crash = sighting.crash
            known = found.get(crash.start)
            if known is None or crash.at < known.at:
                found[crash.start] = crash
        crashes = [
            crash
            for start, crash in found.items()
            if self._records.summary(start).cause in (None, fingerprint)
        ]
        return tuple(sorted(crashes, key=lambda crash: crash.at))

    def _is_held(self, crashes: Sequence[Crash]) -> bool:
        """Tells whether so many crashes are enough to refuse a request.

        Two are where no other request could have caused the second as well.
        """
        if len(crashes) != REFUSED_CRASHES:
            return len(crashes) > REFUSED_CRASHES
        return self._records.summary(crashes[-1].start).repeated == 1

    def _review(self, fingerprints: Collection[bytes], reason: str) -> None:
        """Notes which of some requests are refused now, or let go."""
        for fingerprint in fingerprints:
            was_held = fingerprint in self._held
            if not was_held and fingerprint not in self._records:
                continue
            standing = self.standing(fingerprint)
            count = len(standing.crashes)
            if standing.is_held and count != self._held.get(fingerprint):
                self._held[fingerprint] = count
                self._changes.append(Change(fingerprint, standing, reason))
            elif was_held and not standing.is_held:
                self._release(fingerprint, standing, reason)

    def _release(
        self, fingerprint: bytes, standing: Standing, reason: str
    ) -> None:
        del self._held[fingerprint]
        self._trials.pop(fingerprint, None)
        if reason == REASON_CRASH:
            reason = REASON_EXPLAINED
        self._changes.append(Change(fingerprint, standing, reason))

    def _recent(self, now: float, held_only: bool) -> list[CrashNote]:
        """Returns a part of what is news, the next one at each call."""
        found: list[tuple[Sighting, bytes]] = []
        for sighting in self._records.newest():
            if now - sighting.changed_at > NEWS_S:
                break
            for fingerprint in sighting.named:
                if not held_only or fingerprint in self._held:
                    found.append((sighting, fingerprint))
        if not found:
            return []
        at = self._told % len(found)
        self._told += MAX_TOLD
        named: dict[SightingKey, list[bytes]] = {}
        crashes: dict[SightingKey, Crash] = {}
        for sighting, fingerprint in (found[at:] + found[:at])[:MAX_TOLD]:
            crashes[sighting.key] = sighting.crash
            named.setdefault(sighting.key, []).append(fingerprint)
        return [_note(crashes[key], named[key], now) for key in named]

    def _held_in_turn(self, now: float) -> Iterator[CrashNote]:
        """Generates what routers must know that were not there before."""
        held = list(self._held)
        for _ in range(min(HELD_TOLD, len(held))):
            self._held_told += 1
            fingerprint = held[self._held_told % len(held)]
            for crash in self._laid_to(fingerprint):
                yield _note(crash, [fingerprint], now)

    def _drop(self, sighting: Sighting, reason: str) -> None:
        """Forgets what a router saw of a crash."""
        beside = self._records.beside(sighting.named)
        for fingerprint in list(sighting.named):
            self._records.unname(sighting, fingerprint)
        self._review(beside, reason)

    def _trim(self, now: float) -> None:
        while len(self._records):
            oldest = self._records.oldest()
            is_fresh = now - oldest.crash.at <= ENTRY_TTL_S
            if is_fresh and len(self._records) <= MAX_SIGHTINGS:
                return
            self._drop(oldest, REASON_OLD)


def _stamp() -> int:
    return secrets.randbits(STAMP_BITS)


def _note(crash: Crash, named: list[bytes], now: float) -> CrashNote:
    age_s = now - crash.at
    return CrashNote(
        crash.start, age_s, crash.proven, crash.seen_by, tuple(named)
    )
