"""Requests that were in flight when targets crashed."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from chervilwall.message import Suspicion

SUSPECT_CRASHES = 1
REFUSED_CRASHES = 2
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
    second crash names the request; its success clears it.

    Args:
        ttl_s (float): Seconds after which an entry is forgotten.
            Defaults to one hour.
    """

    def __init__(self, *, ttl_s: float = ENTRY_TTL_S) -> None:
        self._ttl_s = ttl_s
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()

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
        return self.crashes(fingerprint, now) == SUSPECT_CRASHES

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Tells whether a request is refused for its crashes."""
        return self.crashes(fingerprint, now) >= REFUSED_CRASHES

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
        count = REFUSED_CRASHES if suspect and known else SUSPECT_CRASHES
        count = max(count, known)
        self._put(fingerprint, _Entry(count, now, zone))
        return count

    def clear(self, fingerprint: bytes) -> None:
        """Clears a suspect that ran to its end."""
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.crashes < REFUSED_CRASHES:
            del self._entries[fingerprint]

    def merge(self, suspicions: Iterable[Suspicion], now: float) -> bool:
        """Takes in what a peer knows; returns whether anything was new."""
        changed = False
        for entry in suspicions:
            known = entry.crashes <= self.crashes(entry.fingerprint, now)
            if known or entry.age_s > self._ttl_s:
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
