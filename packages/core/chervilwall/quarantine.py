"""Requests that were in flight when targets crashed."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from chervilwall.message import Suspicion
from chervilwall.trials import REFUSED_CRASHES, trial_pause_s

SUSPECT_CRASHES = 1
MAX_ENTRIES = 1000
ENTRY_TTL_S = 3600.0
MAX_RECENT = 8
RECENT_AGE_S = 60.0


class _Entry(NamedTuple):
    crashes: int
    at: float
    zone: str


class Quarantine:
    """Remember suspects and the requests refused after a second crash.

    All requests in flight at a crash are suspects. A suspect is the only one
    on its next target, which has answered since its own last failure, so a
    second crash names the request. After a pause it runs once more, apart from
    others, as it may have been there by chance; a success clears it.

    Args:
        ttl_s (float): Seconds after which an entry is forgotten.
            Defaults to one hour.
    """

    def __init__(self, *, ttl_s: float = ENTRY_TTL_S) -> None:
        self._ttl_s = ttl_s
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()
        # When requests were cleared, as peers may tell of them still.
        self._cleared: OrderedDict[bytes, float] = OrderedDict()

    def __repr__(self) -> str:
        return f"Quarantine(entries={len(self._entries)})"

    def crashes(self, fingerprint: bytes, now: float) -> int:
        """Returns how many crashes are laid to a request."""
        entry = self._entries.get(fingerprint)
        if entry is None or now - entry.at > self._ttl_s:
            return 0
        return entry.crashes

    def zone(self, fingerprint: bytes) -> str:
        """Returns the availability zone of a request's last crash."""
        entry = self._entries.get(fingerprint)
        return entry.zone if entry else ""

    def is_suspect(self, fingerprint: bytes, now: float) -> bool:
        """Tells whether a request must run apart from other suspects."""
        crashes = self.crashes(fingerprint, now)
        is_refused = self.is_refused(fingerprint, now)
        return crashes >= SUSPECT_CRASHES and not is_refused

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Tells whether a request is refused for its crashes."""
        return self.retry_after_s(fingerprint, now) > 0

    def retry_after_s(self, fingerprint: bytes, now: float) -> float:
        """Returns the seconds for which a request is refused, 0 for not."""
        crashes = self.crashes(fingerprint, now)
        if crashes < REFUSED_CRASHES:
            return 0.0
        until = self._entries[fingerprint].at + trial_pause_s(crashes)
        return max(0.0, until - now)

    def note_trial(self, fingerprint: bytes, now: float) -> None:
        """Notes that a request runs, so that one refused before waits again."""
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.crashes >= REFUSED_CRASHES:
            self._entries[fingerprint] = entry._replace(at=now)

    def record_crash(
        self, fingerprint: bytes, *, zone: str, suspect: bool, now: float
    ) -> int:
        """Records a crash with the request in flight.

        Args:
            fingerprint (bytes): Digest of the request.
            zone (str): Availability zone of the target.
            suspect (bool): Whether it ran as the only suspect on a target
                that was known to work.
            now (float): Monotonic time.

        Returns:
            How many crashes are laid to it now.
        """
        known = self.crashes(fingerprint, now)
        count = max(SUSPECT_CRASHES, known + 1 if suspect else known)
        self._put(fingerprint, _Entry(count, now, zone))
        return count

    def clear(self, fingerprint: bytes, now: float) -> None:
        """Clears a suspect that ran to its end."""
        if self._entries.pop(fingerprint, None) is not None:
            self._cleared[fingerprint] = now
            while len(self._cleared) > MAX_ENTRIES:
                self._cleared.popitem(last=False)

    def merge(self, suspicions: Iterable[Suspicion], now: float) -> bool:
        """Takes in what a peer knows; returns whether anything was new."""
        changed = False
        for entry in suspicions:
            known = entry.crashes <= self.crashes(entry.fingerprint, now)
            cleared_at = self._cleared.get(entry.fingerprint, -math.inf)
            is_over = now - entry.age_s <= cleared_at
            if known or is_over or entry.age_s > self._ttl_s:
                continue
            kept = _Entry(entry.crashes, now - entry.age_s, "")
            self._put(entry.fingerprint, kept)
            changed = True
        return changed

    def refused(self, now: float) -> set[bytes]:
        """Returns the fingerprints of all refused requests."""
        return {f for f in self._entries if self.is_refused(f, now)}

    def recent(self, now: float) -> tuple[Suspicion, ...]:
        """Returns the newest entries, to be gossiped.

        Suspects are told as well as refused requests: a caller may send one
        again through a cell with another scheduler within seconds.
        """
        found: list[Suspicion] = []
        for fingerprint, entry in reversed(self._entries.items()):
            age_s = now - entry.at
            if len(found) >= MAX_RECENT or age_s > RECENT_AGE_S:
                break
            found.append(Suspicion(fingerprint, entry.crashes, age_s))
        return tuple(found)

    def _put(self, fingerprint: bytes, entry: _Entry) -> None:
        self._entries[fingerprint] = entry
        self._entries.move_to_end(fingerprint)
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)
