"""Which starts of targets ended, who saw it, and what was in flight."""

from collections import OrderedDict
from collections.abc import Collection, Iterator
from typing import NamedTuple, TypeVar

from chervilwall.registry import TargetStart

# A request under which so many targets ended explains their crashes.
NAMED_CRASHES = 3
# A request that was there at so many crashes may have caused one.
REPEATED_CRASHES = 2
# Requests that one crash may name.
MAX_NAMED = 1024

K = TypeVar("K")


class Crash(NamedTuple):
    """The end of one start of a target.

    Args:
        start (TargetStart): The start.
        at (float): Monotonic time at which it ended.
        proven (bool): Whether a later start of it was seen.
        seen_by (str): Router that saw it.
    """

    start: TargetStart
    at: float
    proven: bool
    seen_by: str


class SightingKey(NamedTuple):
    """Identifies what one router saw of a crash."""

    start: TargetStart
    seen_by: str


class Sighting:
    """What one router saw of a crash.

    Args:
        crash (Crash): The crash.
        changed_at (float): Monotonic time at which it was taken in or changed.
    """

    def __init__(self, crash: Crash, changed_at: float) -> None:
        self.crash = crash
        self.changed_at = changed_at
        self.named: set[bytes] = set()

    def __repr__(self) -> str:
        return f"Sighting(target={self.crash.start.target_id!r})"

    @property
    def key(self) -> SightingKey:
        """What tells it from others."""
        return SightingKey(self.crash.start, self.crash.seen_by)


class Summary(NamedTuple):
    """What is known of one crash from all who saw it.

    Args:
        named (frozenset): Requests that were in flight.
        cause (bytes | None): The one that explains it, if there is one.
        repeated (int): How many of them were there at other crashes too.
    """

    named: frozenset[bytes] = frozenset()
    cause: bytes | None = None
    repeated: int = 0


class CrashRecords:
    """Hold sightings of crashes, by target and by request."""

    def __init__(self) -> None:
        self._sightings: OrderedDict[SightingKey, Sighting] = OrderedDict()
        self._by_start: dict[TargetStart, dict[SightingKey, Sighting]] = {}
        self._by_request: dict[bytes, dict[SightingKey, Sighting]] = {}
        # Added up when asked for, until something changes.
        self._summaries: dict[TargetStart, Summary] = {}

    def __repr__(self) -> str:
        return f"CrashRecords(crashes={len(self._by_start)})"

    def __len__(self) -> int:
        return len(self._sightings)

    def __contains__(self, fingerprint: bytes) -> bool:
        return fingerprint in self._by_request

    def get(self, key: SightingKey) -> Sighting | None:
        """Returns what a router saw of a crash."""
        return self._sightings.get(key)

    def newest(self) -> Iterator[Sighting]:
        """Generates all sightings, those that changed last first."""
        return reversed(self._sightings.values())

    def oldest(self) -> Sighting:
        """Returns the sighting that has not changed for longest."""
        return next(iter(self._sightings.values()))

    def of_start(self, start: TargetStart) -> Collection[Sighting]:
        """Returns what was seen of a crash."""
        return self._by_start.get(start, {}).values()

    def of_request(self, fingerprint: bytes) -> Collection[Sighting]:
        """Returns the sightings that name a request."""
        return self._by_request.get(fingerprint, {}).values()

    def count(self, fingerprint: bytes) -> int:
        """Returns at how many crashes a request was there."""
        return len({key.start for key in self._by_request.get(fingerprint, ())})

    def beside(self, fingerprints: Collection[bytes]) -> set[bytes]:
        """Returns some requests and all that were there at their crashes."""
        starts = {
            key.start
            for fingerprint in fingerprints
            for key in self._by_request.get(fingerprint, ())
        }
        found = set(fingerprints)
        for start in starts:
            found |= self.summary(start).named
        return found

    def summary(self, start: TargetStart) -> Summary:
        """Returns what is known of a crash."""
        found = self._summaries.get(start)
        if found is None:
            found = self._summaries[start] = self._sum_up(start)
        return found

    def name(self, sighting: Sighting, fingerprints: Collection[bytes]) -> None:
        """Adds requests that were in flight at a crash."""
        key = sighting.key
        self._sightings[key] = sighting
        self._sightings.move_to_end(key)
        self._by_start.setdefault(key.start, {})[key] = sighting
        for fingerprint in fingerprints:
            if len(sighting.named) >= MAX_NAMED:
                break
            sighting.named.add(fingerprint)
            self._by_request.setdefault(fingerprint, {})[key] = sighting
        self._summaries.clear()

    def unname(self, sighting: Sighting, fingerprint: bytes) -> None:
        """Takes a request out of a crash, and forgets one without any."""
        key = sighting.key
        sighting.named.discard(fingerprint)
        _remove(self._by_request, fingerprint, key)
        if not sighting.named:
            self._sightings.pop(key, None)
            _remove(self._by_start, key.start, key)
        self._summaries.clear()

    def _sum_up(self, start: TargetStart) -> Summary:
        named: set[bytes] = set()
        for sighting in self.of_start(start):
            named |= sighting.named
        counts = {f: self.count(f) for f in named}
        cause, most = None, NAMED_CRASHES - 1
        for fingerprint, count in counts.items():
            if count > most:
                cause, most = fingerprint, count
            elif count == most:
                cause = None
        repeated = sum(n >= REPEATED_CRASHES for n in counts.values())
        return Summary(frozenset(named), cause, repeated)


def _remove(
    index: dict[K, dict[SightingKey, Sighting]], of: K, key: SightingKey
) -> None:
    """Takes a sighting out of an index, and forgets an empty line of it."""
    found = index.get(of, {})
    found.pop(key, None)
    if not found:
        index.pop(of, None)
