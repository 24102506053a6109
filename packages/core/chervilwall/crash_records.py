"""Observed crashes of targets, and the requests in flight at each of them."""

from collections import OrderedDict
from collections.abc import Collection, Iterator
from typing import NamedTuple, TypeVar

from chervilwall.fingerprints import is_part
from chervilwall.registry import TargetStart

# A request in flight at this many crashes is considered their cause, unless
# another request of the same crash was in flight at as many.
MIN_CAUSE_CRASHES = 3
# A request in flight at this many crashes is a possible cause of each.
MIN_REPEATED_CRASHES = 2
# Limit on the requests that one router reports for one crash.
MAX_REQUESTS_PER_CRASH = 1024
# Limits on the observations in which one prompt part is recorded, in all and of
# one crash. Two observers allow for one that is mistaken.
MAX_OBSERVATIONS_PER_PART = 64
MAX_OBSERVERS_PER_PART = 2

K = TypeVar("K")


class Crash(NamedTuple):
    """The end of one start of a target, as one router observed it.

    Args:
        start (TargetStart): The start that ended.
        at (float): Monotonic time at which it ended.
        proven (bool): Whether a later start of the same target was seen, which
            proves that this one is no longer running. (In
            `TargetHealth.is_proven`, a target proves that it works.)
        seen_by (str): Router that observed the crash.
    """

    start: TargetStart
    at: float
    proven: bool
    seen_by: str


class ObservationKey(NamedTuple):
    """Key of one router's observation of a crash."""

    start: TargetStart
    seen_by: str


class Observation:
    """One router's observation of a crash.

    Args:
        crash (Crash): The crash.
        changed_at (float): Monotonic time at which the observation was added
            or last changed.
    """

    def __init__(self, crash: Crash, changed_at: float) -> None:
        self.crash = crash
        self.changed_at = changed_at
        self.fingerprints: set[bytes] = set()

    def __repr__(self) -> str:
        return f"Observation(target={self.crash.start.target_id!r})"

    @property
    def key(self) -> ObservationKey:
        """Key under which the observation is stored."""
        return ObservationKey(self.crash.start, self.crash.seen_by)


class CrashSummary(NamedTuple):
    """One crash, combined from the observations of all routers.

    Args:
        fingerprints (frozenset): Requests that were in flight, and the parts
            of their prompts.
        parts (frozenset): Those that are parts.
        cause (bytes | None): The request that was in flight at the most
            crashes, if at MIN_CAUSE_CRASHES or more. None if there is none or
            if several were in flight at equally many.
        repeated_count (int): Number of the requests that were also in flight
            at another crash.
    """

    fingerprints: frozenset[bytes] = frozenset()
    parts: frozenset[bytes] = frozenset()
    cause: bytes | None = None
    repeated_count: int = 0


class CrashRecords:
    """Store observations of crashes, indexed by target start and request."""

    def __init__(self) -> None:
        self._observations: OrderedDict[ObservationKey, Observation] = (
            OrderedDict()
        )
        self._by_start: dict[
            TargetStart, dict[ObservationKey, Observation]
        ] = {}
        self._by_request: dict[bytes, dict[ObservationKey, Observation]] = {}
        # Computed on demand; cleared whenever an observation changes.
        self._summaries: dict[TargetStart, CrashSummary] = {}

    def __repr__(self) -> str:
        return f"CrashRecords(crashes={len(self._by_start)})"

    def __len__(self) -> int:
        return len(self._observations)

    def __contains__(self, fingerprint: bytes) -> bool:
        return fingerprint in self._by_request

    def get(self, key: ObservationKey) -> Observation | None:
        """Returns the observation with a key, or None."""
        return self._observations.get(key)

    def newest(self) -> Iterator[Observation]:
        """Yields all observations, the most recently changed first."""
        return reversed(self._observations.values())

    def oldest(self) -> Observation:
        """Returns the least recently changed observation."""
        return next(iter(self._observations.values()))

    def for_start(self, start: TargetStart) -> Collection[Observation]:
        """Returns all observations of the crash of a target start."""
        return self._by_start.get(start, {}).values()

    def for_request(self, fingerprint: bytes) -> Collection[Observation]:
        """Returns all observations that list a request as in flight."""
        return self._by_request.get(fingerprint, {}).values()

    def starts(self, fingerprint: bytes) -> set[TargetStart]:
        """Returns the target starts that ended with a request in flight."""
        return {key.start for key in self._by_request.get(fingerprint, ())}

    def crash_count(self, fingerprint: bytes) -> int:
        """Returns the number of crashes at which a request was in flight."""
        return len(self.starts(fingerprint))

    def has_room(self, fingerprint: bytes, start: TargetStart) -> bool:
        """Returns whether one more observation of a crash is of use.

        A part that many requests share is in flight at each crash, and each
        router observes it. Further observations would not change its status.
        """
        if not is_part(fingerprint):
            return True
        keys = self._by_request.get(fingerprint, {})
        if len(keys) >= MAX_OBSERVATIONS_PER_PART:
            return False
        observers = sum(key.start == start for key in keys)
        return observers < MAX_OBSERVERS_PER_PART

    def sharing_crashes(self, fingerprints: Collection[bytes]) -> set[bytes]:
        """Returns the given requests and all that share a crash with them."""
        starts = {
            key.start
            for fingerprint in fingerprints
            for key in self._by_request.get(fingerprint, ())
        }
        found = set(fingerprints)
        for start in starts:
            found |= self.summary(start).fingerprints
        return found

    def summary(self, start: TargetStart) -> CrashSummary:
        """Returns the combined record of the crash of a target start."""
        found = self._summaries.get(start)
        if found is None:
            found = self._summaries[start] = self._summarize(start)
        return found

    def add_requests(
        self, observation: Observation, fingerprints: Collection[bytes]
    ) -> None:
        """Adds in-flight requests to an observation, storing it if it is new.

        Requests beyond `MAX_REQUESTS_PER_CRASH` are dropped.
        """
        key = observation.key
        self._observations[key] = observation
        self._observations.move_to_end(key)
        self._by_start.setdefault(key.start, {})[key] = observation
        for fingerprint in fingerprints:
            if len(observation.fingerprints) >= MAX_REQUESTS_PER_CRASH:
                break
            observation.fingerprints.add(fingerprint)
            self._by_request.setdefault(fingerprint, {})[key] = observation
        self._summaries.clear()

    def remove_request(
        self, observation: Observation, fingerprint: bytes
    ) -> None:
        """Removes a request from an observation.

        An observation without any requests left is deleted.
        """
        key = observation.key
        observation.fingerprints.discard(fingerprint)
        _remove_from_index(self._by_request, fingerprint, key)
        if not observation.fingerprints:
            self._observations.pop(key, None)
            _remove_from_index(self._by_start, key.start, key)
        self._summaries.clear()

    def _summarize(self, start: TargetStart) -> CrashSummary:
        fingerprints: set[bytes] = set()
        for observation in self.for_start(start):
            fingerprints |= observation.fingerprints
        parts = frozenset(filter(is_part, fingerprints))
        counts = {f: self.crash_count(f) for f in fingerprints - parts}
        cause, max_count = None, MIN_CAUSE_CRASHES - 1
        for fingerprint, count in counts.items():
            if count > max_count:
                cause, max_count = fingerprint, count
            elif count == max_count:
                cause = None
        repeated_count = sum(n >= MIN_REPEATED_CRASHES for n in counts.values())
        return CrashSummary(
            frozenset(fingerprints), parts, cause, repeated_count
        )


def _remove_from_index(
    index: dict[K, dict[ObservationKey, Observation]],
    index_key: K,
    key: ObservationKey,
) -> None:
    """Removes an observation from an index entry, and the entry if empty."""
    found = index.get(index_key, {})
    found.pop(key, None)
    if not found:
        index.pop(index_key, None)
