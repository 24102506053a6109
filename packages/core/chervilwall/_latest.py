"""Latest occurrence of an event per key, with bounded retention."""

import math
from collections import OrderedDict
from collections.abc import Hashable, Iterator
from typing import Generic, NamedTuple, TypeVar

K = TypeVar("K", bound=Hashable)


class Occurrence(NamedTuple, Generic[K]):
    """One occurrence of an event.

    Args:
        key (K): What the event concerns.
        at (float): Monotonic time at which it happened.
        stamp (int): Random id of the occurrence, not a time. It is the same in
            each repetition of a report. The time can't identify repetitions: a
            receiver computes it from the age in the report, and so includes the
            time that each transmission took.
    """

    key: K
    at: float
    stamp: int


class LatestTimes(Generic[K]):
    """Keep the latest occurrence per key for `retention_s` after its receipt.

    Args:
        retention_s (float): Seconds after receipt for which an occurrence is
            kept.
        max_occurrences (int): Maximum number of occurrences remembered; the
            first ones received are dropped first.
    """

    def __init__(self, *, retention_s: float, max_occurrences: int) -> None:
        self._retention_s = retention_s
        self._max_occurrences = max_occurrences
        self._latest: OrderedDict[K, Occurrence[K]] = OrderedDict()
        # Time of first receipt, by stamp.
        self._received_at: OrderedDict[int, float] = OrderedDict()

    def __repr__(self) -> str:
        return f"LatestTimes(keys={len(self._latest)})"

    def at(self, key: K) -> float:
        """Returns the time of a key's latest occurrence, or minus infinity."""
        known = self._latest.get(key)
        return known.at if known else -math.inf

    def put(self, found: Occurrence[K], now: float) -> bool:
        """Records an occurrence, unless its stamp was received before.

        Args:
            found (Occurrence): The occurrence.
            now (float): Monotonic time.

        Returns:
            True if the stamp is new and the occurrence is later than the one
            recorded for its key.
        """
        if found.stamp in self._received_at:
            return False
        self._received_at[found.stamp] = now
        self._evict(now)
        if found.at <= self.at(found.key):
            return False
        self._latest[found.key] = found
        self._latest.move_to_end(found.key)
        return True

    def newest(self, since: float, limit: int) -> Iterator[Occurrence[K]]:
        """Yields occurrences received since a time, the newest first.

        Args:
            since (float): Monotonic time of receipt.
            limit (int): Maximum number of occurrences.
        """
        for number, found in enumerate(reversed(self._latest.values())):
            received_at = self._received_at.get(found.stamp, -math.inf)
            if received_at < since or number >= limit:
                return
            yield found

    def _evict(self, now: float) -> None:
        while self._received_at:
            stamp, received_at = next(iter(self._received_at.items()))
            if now - received_at <= self._retention_s:
                break
            del self._received_at[stamp]
        while len(self._received_at) > self._max_occurrences:
            self._received_at.popitem(last=False)
        while self._latest:
            oldest = next(iter(self._latest.values()))
            if oldest.stamp in self._received_at:
                return
            del self._latest[oldest.key]
