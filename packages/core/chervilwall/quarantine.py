"""Requests that were in flight when targets crashed."""

from collections import OrderedDict
from collections.abc import Iterable

from chervilwall.message import Suspicion

SUSPECT_CRASHES = 1
REFUSED_CRASHES = 2
MAX_ENTRIES = 1000
ENTRY_TTL_S = 3600.0


class Quarantine:
    """Remember suspects and the requests refused after a second crash.

    A request is only counted a second time when it ran alone, so a request
    that merely ran beside the culprit is cleared by its own success.

    Args:
        ttl_s (float): Seconds after which an entry is forgotten.
            Defaults to one hour.
    """

    def __init__(self, *, ttl_s: float = ENTRY_TTL_S) -> None:
        self._ttl_s = ttl_s
        self._entries: OrderedDict[bytes, tuple[int, float]] = OrderedDict()

    def __repr__(self) -> str:
        return f"Quarantine(entries={len(self._entries)})"

    def crashes(self, fingerprint: bytes, now: float) -> int:
        """Returns how many crashes are laid to a request."""
        count, at = self._entries.get(fingerprint, (0, now))
        return count if now - at <= self._ttl_s else 0

    def is_suspect(self, fingerprint: bytes, now: float) -> bool:
        """Tells whether a request must run alone."""
        return self.crashes(fingerprint, now) == SUSPECT_CRASHES

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Tells whether a request is refused for its crashes."""
        return self.crashes(fingerprint, now) >= REFUSED_CRASHES

    def record_crash(
        self, fingerprint: bytes, *, alone: bool, now: float
    ) -> int:
        """Records a crash with the request in flight; returns its count."""
        count = (
            REFUSED_CRASHES if alone and self.crashes(fingerprint, now) else 1
        )
        count = max(count, self.crashes(fingerprint, now))
        self._put(fingerprint, count, now)
        return count

    def clear(self, fingerprint: bytes) -> None:
        """Clears a suspect that ran to its end."""
        if self._entries.get(fingerprint, (0, 0.0))[0] < REFUSED_CRASHES:
            self._entries.pop(fingerprint, None)

    def merge(self, suspicions: Iterable[Suspicion], now: float) -> bool:
        """Takes in what a peer knows; returns whether anything was new."""
        changed = False
        for entry in suspicions:
            known = entry.crashes <= self.crashes(entry.fingerprint, now)
            if known or entry.age_s > self._ttl_s:
                continue
            self._put(entry.fingerprint, entry.crashes, now - entry.age_s)
            changed = True
        return changed

    def refused(self, now: float, limit: int = 8) -> tuple[Suspicion, ...]:
        """Returns the newest refused requests, to be gossiped."""
        found = []
        for fingerprint, (count, at) in reversed(self._entries.items()):
            if count >= REFUSED_CRASHES and now - at <= self._ttl_s:
                found.append(Suspicion(fingerprint, count, now - at))
            if len(found) >= limit:
                break
        return tuple(found)

    def _put(self, fingerprint: bytes, count: int, at: float) -> None:
        self._entries[fingerprint] = (count, at)
        self._entries.move_to_end(fingerprint)
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)
