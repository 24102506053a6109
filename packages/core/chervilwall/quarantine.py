"""Quarantine of requests that were in flight when targets crashed."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from chervilwall.cell_messages import Suspicion
from chervilwall.trial_pauses import CRASHES_TO_REFUSE, trial_pause_s

CRASHES_TO_SUSPECT = 1
MAX_ENTRIES = 1000
# Crashes are forgotten this long after the end of their trial pause.
ENTRY_TTL_S = 3600.0
MAX_RECENT_ENTRIES = 8
MAX_RECENT_AGE_S = 60.0


class _Entry(NamedTuple):
    """Record of a suspect or refused request.

    Args:
        crashes (int): Number of crashes attributed to it.
        at (float): Monotonic time of its last crash or trial.
        zone (str): Availability zone of its last crash, empty if a peer
            reported it.
    """

    crashes: int
    at: float
    zone: str


class Quarantine:
    """Track suspects, and refuse requests that crashed targets repeatedly.

    Every request in flight at a crash becomes a suspect. A suspect next runs
    without other suspects, preferably on a target that has answered a request
    since the target last failed. If such a target crashes too, the suspect is
    the likely cause and is refused for a pause. It is then run once more, in
    isolation, as both crashes may still have been coincidence. A success clears
    it.

    Args:
        ttl_s (float): Seconds for which an entry counts, after its last crash
            or trial and the pause that follows. Defaults to one hour.
    """

    def __init__(self, *, ttl_s: float = ENTRY_TTL_S) -> None:
        self._ttl_s = ttl_s
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()
        # Monotonic times at which requests were cleared: older entries that
        # peers still gossip are ignored.
        self._cleared_at: OrderedDict[bytes, float] = OrderedDict()

    def __repr__(self) -> str:
        return f"Quarantine(entries={len(self._entries)})"

    def crashes(self, fingerprint: bytes, now: float) -> int:
        """Returns the number of crashes attributed to a request."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return 0
        age_s = now - entry.at
        return 0 if self._is_expired(entry.crashes, age_s) else entry.crashes

    def _is_expired(self, crashes: int, age_s: float) -> bool:
        pause_s = trial_pause_s(crashes) if crashes >= CRASHES_TO_REFUSE else 0
        return age_s > pause_s + self._ttl_s

    def zone(self, fingerprint: bytes) -> str:
        """Returns the availability zone of a request's last crash.

        It is empty if the request has no entry or a peer reported the crash.
        """
        entry = self._entries.get(fingerprint)
        return entry.zone if entry else ""

    def is_suspect(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether a request must run apart from other suspects."""
        crashes = self.crashes(fingerprint, now)
        is_refused = self.is_refused(fingerprint, now)
        return crashes >= CRASHES_TO_SUSPECT and not is_refused

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether a request is refused because of its crashes."""
        return self.retry_after_s(fingerprint, now) > 0

    def retry_after_s(self, fingerprint: bytes, now: float) -> float:
        """Returns the seconds for which a request is refused, or 0."""
        crashes = self.crashes(fingerprint, now)
        if crashes < CRASHES_TO_REFUSE:
            return 0.0
        until = self._entries[fingerprint].at + trial_pause_s(crashes)
        return max(0.0, until - now)

    def record_trial(self, fingerprint: bytes, now: float) -> None:
        """Records that a request starts to run.

        A request that has been refused for its crashes runs again as a trial
        only: its pause starts anew. For any other request nothing is recorded.
        """
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.crashes >= CRASHES_TO_REFUSE:
            self._entries[fingerprint] = entry._replace(at=now)

    def record_crash(
        self, fingerprint: bytes, *, zone: str, suspect: bool, now: float
    ) -> int:
        """Records a crash at which a request was in flight.

        The count rises only for a request that ran in isolation. Any other one
        keeps its count, which is then at least `CRASHES_TO_SUSPECT`.

        Args:
            fingerprint (bytes): Digest of the request.
            zone (str): Availability zone of the target.
            suspect (bool): Whether it was a suspect that ran in isolation: as
                the only suspect on a target that had answered a request since
                the target last failed.
            now (float): Monotonic time.

        Returns:
            The number of crashes attributed to it now.
        """
        known = self.crashes(fingerprint, now)
        count = max(CRASHES_TO_SUSPECT, known + 1 if suspect else known)
        self._put(fingerprint, _Entry(count, now, zone))
        return count

    def clear(self, fingerprint: bytes, now: float) -> None:
        """Removes the entry of a request that ran to completion."""
        if self._entries.pop(fingerprint, None) is not None:
            self._cleared_at[fingerprint] = now
            while len(self._cleared_at) > MAX_ENTRIES:
                self._cleared_at.popitem(last=False)

    def merge(self, suspicions: Iterable[Suspicion], now: float) -> bool:
        """Applies a peer's entries; returns whether any of them was new.

        An entry is ignored if it has no more crashes than the known one, has
        expired, or is no newer than the last success of its request.
        """
        changed = False
        for entry in suspicions:
            is_known = entry.crashes <= self.crashes(entry.fingerprint, now)
            cleared_at = self._cleared_at.get(entry.fingerprint, -math.inf)
            is_cleared = now - entry.age_s <= cleared_at
            is_expired = self._is_expired(entry.crashes, entry.age_s)
            if is_known or is_cleared or is_expired:
                continue
            received = _Entry(entry.crashes, now - entry.age_s, "")
            self._put(entry.fingerprint, received)
            changed = True
        return changed

    def refused(self, now: float) -> set[bytes]:
        """Returns the fingerprints of all refused requests."""
        return {f for f in self._entries if self.is_refused(f, now)}

    def recent(self, now: float) -> tuple[Suspicion, ...]:
        """Returns the newest entries, to be gossiped to peers.

        They include suspects as well as refused requests, as a caller may
        resend a suspect within seconds through a cell with another scheduler.
        """
        found: list[Suspicion] = []
        for fingerprint, entry in reversed(self._entries.items()):
            age_s = now - entry.at
            if len(found) >= MAX_RECENT_ENTRIES or age_s > MAX_RECENT_AGE_S:
                break
            found.append(Suspicion(fingerprint, entry.crashes, age_s))
        return tuple(found)

    def _put(self, fingerprint: bytes, entry: _Entry) -> None:
        self._entries[fingerprint] = entry
        self._entries.move_to_end(fingerprint)
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)
